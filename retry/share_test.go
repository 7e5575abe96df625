package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShareIsRatioOfRequests(t *testing.T) {
	s := NewBudgetShare(0.2, 0, 10*time.Second)
	require.False(t, s.TrySpend("lm", time.Second), "no requests, no retries")
	for range 100 {
		s.CountRequest("lm", time.Second)
	}
	spent := 0
	for s.TrySpend("lm", time.Second) {
		spent++
	}
	require.Equal(t, 16, spent)
	require.False(t, s.TrySpend("desk", time.Second), "each service has its own budget")
	require.False(t, s.TrySpend("lm", 30*time.Second), "requests count only within the window")
}

// TestSharesStayWithinBudget generates requests and retries at several instances. In
// any window the retries of all instances together must stay within the budget of the
// fleet.
func TestSharesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 50.0, 10 * time.Second
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		shares := make([]*BudgetShare, n)
		for i := range shares {
			shares[i] = NewBudgetShare(ratio, slack, window)
			shares[i].SetEntries(n)
		}
		type arrival struct {
			at    time.Duration
			retry bool
		}
		var arrivals []arrival
		now := time.Minute
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			share := shares[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				share.CountRequest("lm", now)
				arrivals = append(arrivals, arrival{now, false})
			} else if share.TrySpend("lm", now) {
				arrivals = append(arrivals, arrival{now, true})
			}
		}
		for _, from := range arrivals {
			requests, retries, before := 0, 0, 0
			for _, m := range arrivals {
				switch {
				case m.at < from.at-window || m.at >= from.at+window:
				case m.at < from.at:
					if !m.retry {
						before++
					}
				case m.retry:
					retries++
				default:
					requests++
				}
			}
			require.LessOrEqual(t, float64(retries), ratio*float64(max(requests, before))+slack)
		}
	})
}

func TestEntriesNeverDecrease(t *testing.T) {
	s := NewBudgetShare(0, 90, 10*time.Second)
	s.SetEntries(9)
	s.SetEntries(1)
	spent := 0
	for s.TrySpend("lm", time.Second) {
		spent++
	}
	require.Equal(t, 8, spent)
}

func TestSuspicionsOfInstancesAreCombined(t *testing.T) {
	s := NewSuspects()
	s.RecordFailure(1, time.Second)
	s.RecordFailure(1, time.Second)
	_, quarantined := s.Quarantined(1)
	require.False(t, quarantined)
	s.SetReported([]Suspicion{{Fingerprint: 1, Failures: 3}})
	_, quarantined = s.Quarantined(1)
	require.True(t, quarantined, "another instance saw the third failure")
	s.SetReported(nil)
	s.Clear(1)
	_, quarantined = s.Quarantined(1)
	require.False(t, quarantined)
	s.RecordFailure(2, time.Second)
	require.Len(t, s.OwnSuspicions(2*time.Second), 1)
	require.Empty(t, s.OwnSuspicions(2*time.Minute), "suspicions expire")
}
