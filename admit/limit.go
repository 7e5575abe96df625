package admit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits enforces the workspaces' token rates. Each instance enforces its part
// of a limit, the whole divided by the living instances, so the sum over the
// instances never exceeds the limit by more than one burst each.
type Limits struct {
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewLimits returns limits without any state.
func NewLimits() *Limits { return &Limits{limiters: map[string]*rate.Limiter{}} }

// Take takes the work from the bucket of the name, which refills at tokens a
// second up to burst. It returns a Refusal if the bucket does not hold it.
func (l *Limits) Take(name string, tokensPerSecond, burst, work float64, instances int) error {
	part := max(1, float64(instances))
	limiter := l.limiter(name, rate.Limit(tokensPerSecond/part), int(max(1, burst/part)))
	now := time.Now()
	need := min(int(work), limiter.Burst())
	reservation := limiter.ReserveN(now, need)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return &Refusal{reason: "the workspace's token limit is used up", retryAfter: delay}
}

func (l *Limits) limiter(name string, limit rate.Limit, burst int) *rate.Limiter {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limiter := l.limiters[name]
	if limiter == nil {
		limiter = rate.NewLimiter(limit, burst)
		l.limiters[name] = limiter
	}
	if limiter.Limit() != limit {
		limiter.SetLimit(limit)
	}
	if limiter.Burst() != burst {
		limiter.SetBurst(burst)
	}
	return limiter
}
