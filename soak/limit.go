package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"auburnscale/platform/standin"
)

const (
	// limitSeries is how many times in a run targets name rate limits.
	limitSeries = 3
	// minLimitTime and maxLimitTime bound how long a target names its limit.
	minLimitTime = 6 * time.Second
	maxLimitTime = 16 * time.Second
	// maxLimit bounds the limits, in requests a second.
	maxLimit = 8.0
)

// A targetLimit is a rate limit that a target names from at on, counted from the start of the
// injection. Halfway it names another one.
type targetLimit struct {
	at, span      time.Duration
	target        int
	first, second float64
}

// targetLimits draws the rate limits of a run of the given duration.
func targetLimits(seed uint64, span time.Duration) (limits []targetLimit) {
	random := rand.New(rand.NewPCG(seed, 3))
	for range limitSeries {
		limits = append(limits, targetLimit{
			at: time.Duration(random.Int64N(int64(span))), span: minLimitTime + time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime))),
			target: random.IntN(1 << 16), first: maxLimit * random.Float64(), second: maxLimit * random.Float64(),
		})
	}
	return limits
}

// limitTargets lets targets name the limits until all are over. A target that starts again
// meanwhile names none.
func (e *env) limitTargets(ctx context.Context) {
	for _, l := range targetLimits(e.config.Seed, e.config.Span) {
		e.group.Go(func() {
			e.sleep(ctx, l.at)
			e.targets[l.target%len(e.targets)].nameLimits(ctx, l)
		})
	}
}

// nameLimits lets the current incarnation name the limits.
func (t *target) nameLimits(ctx context.Context, l targetLimit) {
	t.limiting.Lock()
	defer t.limiting.Unlock()
	t.mutex.Lock()
	current := t.current
	t.mutex.Unlock()
	for _, perSecond := range []float64{l.first, l.second} {
		current.SetLimit(strconv.FormatFloat(perSecond, 'f', 2, 64))
		t.env.sleep(ctx, l.span/2)
	}
	arrivals, _ := current.LimitedArrivals()
	current.SetLimit("")
	t.env.history.withLock(func() { t.env.history.LimitedTargets = append(t.env.history.LimitedTargets, arrivals) })
}

// A sender is one start of an entry instance.
type sender struct {
	entry       string
	incarnation int
}

// checkLimits checks that no target got more requests than its rate limit allows, from the contact
// time after it first named one, of the instances that had passed on a response of it. Requests
// of an instance do not count during a fault of the instance and for the contact time after that.
func (h *History) checkLimits(b Bounds, report func(string, string, ...any)) {
	attempts := map[string]*Attempt{}
	for i := range h.Attempts {
		attempts[h.Attempts[i].ID] = &h.Attempts[i]
	}
	for _, arrivals := range h.LimitedTargets {
		if len(arrivals) == 0 {
			continue
		}
		told := toldAt(arrivals, attempts)
		for i, a := range arrivals {
			attempt := attempts[a.ID]
			if attempt == nil {
				continue
			}
			at, wasTold := told[sender{attempt.Entry, attempt.Incarnation}]
			arrivals[i].Told = wasTold && a.At.Sub(at) >= standin.LimitNotice && !h.entryDisturbed(attempt.Entry, a.At, b)
		}
		if err := standin.CheckLimit(arrivals, arrivals[0].At.Add(b.Contact)); err != nil {
			report("targets get no more than their rate limits", "%v", err)
		}
	}
}

// toldAt returns when each sender first passed on a response to one of the arrivals.
func toldAt(arrivals []standin.LimitedArrival, attempts map[string]*Attempt) map[sender]time.Time {
	told := map[sender]time.Time{}
	for _, arrival := range arrivals {
		a := attempts[arrival.ID]
		if a == nil || !a.Response.Complete || a.Response.Status != http.StatusOK {
			continue
		}
		s := sender{a.Entry, a.Incarnation}
		if at, known := told[s]; !known || a.Response.Ended.Before(at) {
			told[s] = a.Response.Ended
		}
	}
	return told
}

// entryDisturbed reports whether a fault of the entry instance lasted at the time or ended less
// than the contact time before.
func (h *History) entryDisturbed(entry string, at time.Time, b Bounds) bool {
	for _, s := range h.EntryFaults {
		if s.Name == entry && !at.Before(s.From) && at.Before(s.To.Add(b.Contact)) {
			return true
		}
	}
	return false
}
