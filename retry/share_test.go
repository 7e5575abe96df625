package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShareFollowsRequests(t *testing.T) {
	s := NewBudgetShare(0.2, 0, 10*time.Second)
	require.False(t, s.TrySpend("lm", time.Second), "no request, no repeat")
	for range 100 {
		s.CountRequest("lm", time.Second)
	}
	spent := 0
	for s.TrySpend("lm", time.Second) {
		spent++
	}
	require.Equal(t, 16, spent)
	require.False(t, s.TrySpend("desk", time.Second), "each service has its own")
	require.False(t, s.TrySpend("lm", 30*time.Second), "the window has passed, and its requests")
}

// TestSharesAddUp draws requests and repeats over several instances. Over any
// window the repeats stay under the bound of the fleet.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 50.0, 10 * time.Second
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		shares := make([]*BudgetShare, n)
		for i := range shares {
			shares[i] = NewBudgetShare(ratio, slack, window)
			shares[i].SetEntries(n)
		}
		type moment struct {
			at     time.Duration
			repeat bool
		}
		var log []moment
		now := time.Minute
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			share := shares[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				share.CountRequest("lm", now)
				log = append(log, moment{now, false})
			} else if share.TrySpend("lm", now) {
				log = append(log, moment{now, true})
			}
		}
		for _, from := range log {
			requests, repeats, before := 0, 0, 0
			for _, m := range log {
				switch {
				case m.at < from.at-window || m.at >= from.at+window:
				case m.at < from.at:
					if !m.repeat {
						before++
					}
				case m.repeat:
					repeats++
				default:
					requests++
				}
			}
			require.LessOrEqual(t, float64(repeats), ratio*float64(max(requests, before))+slack)
		}
	})
}

func TestSharersNeverShrink(t *testing.T) {
	s := NewBudgetShare(0, 90, 10*time.Second)
	s.SetEntries(9)
	s.SetEntries(1)
	spent := 0
	for s.TrySpend("lm", time.Second) {
		spent++
	}
	require.Equal(t, 8, spent)
}

func TestSuspectsAddUp(t *testing.T) {
	s := NewSuspects()
	s.RecordFailure(1, time.Second)
	s.RecordFailure(1, time.Second)
	_, refused := s.Quarantined(1)
	require.False(t, refused)
	s.SetReported([]Suspicion{{Fingerprint: 1, Failures: 3}})
	_, refused = s.Quarantined(1)
	require.True(t, refused, "others saw the third")
	s.SetReported(nil)
	s.Clear(1)
	_, refused = s.Quarantined(1)
	require.False(t, refused)
	s.RecordFailure(2, time.Second)
	require.Len(t, s.OwnSuspicions(2*time.Second), 1)
	require.Empty(t, s.OwnSuspicions(2*time.Minute), "old suspicions are dropped")
}
