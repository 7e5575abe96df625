package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBudgetLimitsRetriesToShareOfRequests(t *testing.T) {
	b := NewBudget("budget", 0.1)
	spent := 0
	for range 1000 {
		b.Deposit("guild")
		if b.TrySpend("guild", 1) {
			spent++
		}
	}
	require.InDelta(t, 110, spent, 3)
	require.False(t, b.TrySpend("other", 1), "a workspace without requests has no retries")
}

func TestBaselineRetriesThreeTimes(t *testing.T) {
	b := NewBudget("three_times", 0)
	require.True(t, b.TrySpend("guild", 3))
	require.False(t, b.TrySpend("guild", 4))
}

func TestBreakerNeverEjectsMoreThanHalf(t *testing.T) {
	b := NewBreaker()
	now := time.Now()
	for range 10 {
		for i := range 8 {
			b.Failure(fmt.Sprint(i), 8, now)
		}
	}
	ejected := 0
	for i := range 8 {
		if b.Ejected(fmt.Sprint(i), now) {
			ejected++
		}
	}
	require.Equal(t, 4, ejected)
}

func TestEjectionEndsAndDoubles(t *testing.T) {
	b := NewBreaker()
	now := time.Now()
	for range failureThreshold {
		b.Failure("t", 4, now)
	}
	require.True(t, b.Ejected("t", now.Add(initialEjection-time.Millisecond)))
	now = now.Add(initialEjection)
	require.False(t, b.Ejected("t", now))
	b.Failure("t", 4, now)
	require.True(t, b.Ejected("t", now.Add(2*initialEjection-time.Millisecond)), "one more failure ejects for twice as long")
	b.Success("t")
	require.False(t, b.Ejected("t", now))
}
