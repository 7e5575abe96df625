package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOwnSilence(t *testing.T) {
	const span = 5 * time.Second
	e, now := New(span), time.Hour
	require.False(t, e.Sure(now), "nobody was ever heard")
	e.Hear(now)
	require.False(t, e.Sure(now), "the others have had no time")
	for range 5 {
		now += time.Second
		e.Hear(now)
	}
	require.True(t, e.Sure(now))
	now += span
	require.False(t, e.Sure(now), "nobody is heard any more")
	e.Hear(now + time.Second)
	require.False(t, e.Sure(now+time.Second), "the others have had no time since")
}
