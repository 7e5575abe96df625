package admit

import (
	"context"
	"sync"
	"time"

	"auburnscale/clock"
)

// A SharedBuckets is the source of token buckets that all instances share.
type SharedBuckets interface {
	// TakeTokens takes the amount from the bucket of that name, which refills at perSecond up
	// to burst. It returns the time until there are enough, or 0 if the amount was taken, and
	// an error if the buckets cannot be reached.
	TakeTokens(ctx context.Context, bucket string, perSecond, burst, amount float64) (time.Duration, error)
}

// Limits enforces the workspaces' token rates over all instances. While the shared buckets cannot
// be reached, each instance enforces an equal part of a limit, divided by the number of live
// instances; all together then exceed it by at most one burst, or one request at each instance if
// that is more. It is safe for concurrent use.
type Limits struct {
	shared SharedBuckets

	mutex sync.Mutex
	parts map[string]*part
	// askFrom is the time on clock.Now from which the shared buckets are asked.
	askFrom time.Duration
}

// sharedBackoff is how long the shared buckets are not asked after they could not be reached.
const sharedBackoff = 500 * time.Millisecond

// A part is this instance's part of a limit. tokens is negative after a request that cost more
// than the part holds.
type part struct {
	tokens float64
	at     time.Duration
}

// NewLimits returns limits with full buckets.
func NewLimits(shared SharedBuckets) *Limits {
	return &Limits{shared: shared, parts: map[string]*part{}}
}

// Take takes the cost from the token bucket of that name, which refills at tokensPerSecond up to
// burst. It returns a Refusal if the bucket holds too few tokens. A cost above burst needs a full
// bucket, and is charged in full.
func (l *Limits) Take(ctx context.Context, name string, tokensPerSecond, burst, cost float64, instances int) error {
	wait, ok := l.takeShared(ctx, name, tokensPerSecond, burst, cost)
	if !ok {
		n := max(1, float64(instances))
		wait = l.takePart(name, tokensPerSecond/n, max(1, burst/n), cost)
	}
	if wait == 0 {
		return nil
	}
	return &Refusal{reason: "the workspace's token limit is used up", retryAfter: wait}
}

// takeShared takes the cost from the shared bucket. It returns false if that cannot be reached.
func (l *Limits) takeShared(ctx context.Context, name string, perSecond, burst, cost float64) (time.Duration, bool) {
	l.mutex.Lock()
	ask := clock.Now() >= l.askFrom
	l.mutex.Unlock()
	if !ask {
		return 0, false
	}
	wait, err := l.shared.TakeTokens(ctx, name, perSecond, burst, cost)
	if err != nil {
		l.mutex.Lock()
		l.askFrom = clock.Now() + sharedBackoff
		l.mutex.Unlock()
	}
	return wait, err == nil
}

// takePart takes the cost from this instance's part. It returns the time until there is enough, or
// 0 if it was taken.
func (l *Limits) takePart(name string, perSecond, burst, cost float64) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, p := clock.Now(), l.parts[name]
	if p == nil {
		p = &part{tokens: burst, at: now}
		l.parts[name] = p
	}
	p.tokens = min(burst, p.tokens+perSecond*(now-p.at).Seconds())
	p.at = now
	if missing := min(cost, burst) - p.tokens; missing > 0 {
		return time.Duration(missing / perSecond * float64(time.Second))
	}
	p.tokens -= cost
	return 0
}
