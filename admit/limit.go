package admit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits enforces the workspaces' token rates. Each instance enforces an equal part
// of a limit, divided by the number of live instances, so that all instances together
// exceed the limit by at most one burst each.
type Limits struct {
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewLimits returns limits with full buckets.
func NewLimits() *Limits { return &Limits{limiters: map[string]*rate.Limiter{}} }

// Take takes the cost from the token bucket of that name. The bucket refills at
// tokensPerSecond up to burst, both divided by the number of instances. It returns a
// Refusal if the bucket holds too few tokens. A cost above the bucket's size takes a
// full bucket.
func (l *Limits) Take(name string, tokensPerSecond, burst, cost float64, instances int) error {
	part := max(1, float64(instances))
	limiter := l.limiter(name, rate.Limit(tokensPerSecond/part), int(max(1, burst/part)))
	now := time.Now()
	need := min(int(cost), limiter.Burst())
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
