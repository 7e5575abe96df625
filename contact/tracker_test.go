package contact

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOwnInterruptionIsInconclusive(t *testing.T) {
	const span = 5 * time.Second
	tracker, now := New(span), time.Hour
	require.False(t, tracker.Conclusive(now), "no contact yet")
	tracker.Record(now)
	require.False(t, tracker.Conclusive(now), "the others have had no time to make contact")
	for range 5 {
		now += time.Second
		tracker.Record(now)
	}
	require.True(t, tracker.Conclusive(now))
	now += span
	require.False(t, tracker.Conclusive(now), "no contact with any instance")
	tracker.Record(now + time.Second)
	require.False(t, tracker.Conclusive(now+time.Second), "the others have had no time since the interruption")
}
