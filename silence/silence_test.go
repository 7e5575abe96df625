package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOwnSilence(t *testing.T) {
	const span = 5 * time.Second
	e, now := New(span), time.Hour
	require.False(t, e.Conclusive(now), "nobody was ever heard")
	e.Record(now)
	require.False(t, e.Conclusive(now), "the others have had no time")
	for range 5 {
		now += time.Second
		e.Record(now)
	}
	require.True(t, e.Conclusive(now))
	now += span
	require.False(t, e.Conclusive(now), "nobody is heard any more")
	e.Record(now + time.Second)
	require.False(t, e.Conclusive(now+time.Second), "the others have had no time since")
}
