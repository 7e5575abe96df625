package permit

import (
	"context"
	"sync"
	"time"

	"auburnscale/peer"
)

const (
	// askTimeout bounds the wait for a permit. The leader answers within a round trip.
	askTimeout = 200 * time.Millisecond
	// askBackoff is the time without requests for permits after no leader has responded.
	askBackoff = 300 * time.Millisecond
	// ownPartDelay is the time without an answer of a leader after which an instance uses its
	// own part of the limits. A change of the leader takes less.
	ownPartDelay = 3 * time.Second
	// maxAsksPerSecond bounds the requests for permits of all instances together, and thereby the
	// processor time of the leader. Each instance may send an equal share, and askBurst at once.
	maxAsksPerSecond = 2000
	askBurst         = 10
	// reportInterval is the time between two reports of a limit that responses renew.
	reportInterval = time.Second
)

// An Asker asks the control leader for permits.
type Asker interface {
	// Ask returns the response of a leader, or an error if none answered.
	Ask(ctx context.Context, limit *peer.TargetLimit) (*peer.PermitResponse, error)
}

// A Gate decides on an instance whether a request may be sent to a target. It is safe for
// concurrent use.
type Gate struct {
	now   func() time.Duration
	asker Asker
	book  *Book

	mutex sync.Mutex
	// instances is the number of instances that send requests, or 0 if it is not known.
	instances int
	// lostAt is the time of the first failed request since the last response of a leader, or 0.
	// askFrom is the earliest time of the next request for a permit.
	lostAt, askFrom time.Duration
	// asks is the number of tokens for requests for permits, as of asksAt.
	asks   float64
	asksAt time.Duration
	// ownPart holds the time from which the own part of a limit allows a request.
	ownPart map[key]time.Duration
	// reported holds the time of the last report of each limit, unreported those to report.
	reported   map[key]time.Duration
	unreported map[key]bool
}

// NewGate returns a gate that knows no limits.
func NewGate(now func() time.Duration, asker Asker) *Gate {
	return &Gate{now: now, asker: asker, book: NewBook(now), asks: askBurst, asksAt: now(), ownPart: map[key]time.Duration{}, reported: map[key]time.Duration{}, unreported: map[key]bool{}}
}

// SetInstances sets the number of instances that send requests. It never decreases, since
// instances that are cut off continue to use their part.
func (g *Gate) SetInstances(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.instances = max(g.instances, n)
}

// Named records that a response of the target named the limit, in requests a second. It reports
// whether this changes the known limit.
func (g *Gate) Named(target, incarnation string, perSecond float64) bool {
	return g.observe(key{target, incarnation}, perSecond, false, g.now())
}

// Unnamed records that the response to a request that was sent at the given time, on the clock
// of the gate, named no limit. It reports whether the limit has ended by that. A limit that was
// named since the request was sent has not.
func (g *Gate) Unnamed(target, incarnation string, sent time.Duration) bool {
	k := key{target, incarnation}
	if g.book.limitOf(k) == nil {
		return false
	}
	return g.observe(k, 0, true, sent)
}

func (g *Gate) observe(k key, perSecond float64, ended bool, at time.Duration) bool {
	g.book.mutex.Lock()
	changed := g.book.record(k, perSecond, ended, at)
	g.book.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now := g.now(); changed || !ended && now-g.reported[k] >= reportInterval {
		g.unreported[k], g.reported[k] = true, now
	}
	return changed
}

// Merge records the limits that other instances know, and returns those that change what is
// known.
func (g *Gate) Merge(limits []*peer.TargetLimit) (changed []*peer.TargetLimit) {
	for _, l := range limits {
		if news, _ := g.book.Merge(l); news {
			changed = append(changed, l)
		}
	}
	return changed
}

// Limited returns the number of starts of targets that have a limit.
func (g *Gate) Limited() int { return g.book.Limited() }

// PerSecond returns the limit of the start of a target, and whether it has one.
func (g *Gate) PerSecond(target, incarnation string) (float64, bool) {
	l := g.book.limitOf(key{target, incarnation})
	return max(minPerSecond, l.GetPerSecond()), l != nil
}

// Acquire decides whether one request may be sent to the target now. Each request needs a
// decision of its own, right before it is sent.
func (g *Gate) Acquire(ctx context.Context, target, incarnation string) Decision {
	k := key{target, incarnation}
	l := g.book.limitOf(k)
	if l == nil {
		return Decision{allowed: true, reason: Unlimited}
	}
	if wait := g.askAfter(); wait > 0 {
		return g.takeOwnPart(k, l.PerSecond, wait)
	}
	if wait := g.pace(); wait > 0 {
		return Decision{wait: wait, reason: Paced}
	}
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := g.asker.Ask(asking, l)
	if err != nil {
		return g.unanswered(ctx, k, l.PerSecond)
	}
	g.answered()
	g.book.Merge(response.Limit)
	if response.Issued {
		return Decision{allowed: true, reason: Issued}
	}
	return Decision{wait: max(minWait, time.Duration(response.WaitMs)*time.Millisecond), reason: Exhausted}
}

// askAfter returns the remaining backoff of requests for permits.
func (g *Gate) askAfter() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return max(0, g.askFrom-g.now())
}

// pace takes a token for a request for a permit. If there is none, it returns the time until the
// next one.
func (g *Gate) pace() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now, perSecond := g.now(), maxAsksPerSecond/float64(max(1, g.instances))
	g.asks = min(askBurst, g.asks+perSecond*max(0, (now-g.asksAt).Seconds()))
	g.asksAt = now
	if g.asks < 1 {
		return max(minWait, time.Duration((1-g.asks)/perSecond*float64(time.Second)))
	}
	g.asks--
	return 0
}

func (g *Gate) answered() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lostAt, g.askFrom = 0, 0
	clear(g.ownPart)
}

// unanswered decides after no leader has answered. If the caller has left instead, nothing is
// known of the leader.
func (g *Gate) unanswered(ctx context.Context, k key, perSecond float64) Decision {
	if ctx.Err() != nil {
		return Decision{wait: minWait, reason: NoLeader}
	}
	g.mutex.Lock()
	g.askFrom = g.now() + askBackoff
	if g.lostAt == 0 {
		g.lostAt = g.now()
	}
	g.mutex.Unlock()
	return g.takeOwnPart(k, perSecond, askBackoff)
}
