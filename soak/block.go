package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"auburnscale/platform/standin"
)

const (
	// crashingBlock is the id of the prompt block that crashes decode engines.
	crashingBlock = "bad0bad"
	// One in crashingInterval streams has the block while the series lasts.
	crashingInterval = 4
	// crashedTargetPause is the time from a crash to the next start at the address.
	crashedTargetPause = 800 * time.Millisecond
)

// blockStart returns when, from the start of the injection on, callers begin to send prompts with
// crashingBlock, and whether they do so in the run of the seed. They go on to the end of the run.
func blockStart(seed uint64, span time.Duration) (time.Duration, bool) {
	random := rand.New(rand.NewPCG(seed, 2))
	return span/8 + time.Duration(random.Int64N(int64(span/2))), seed%4 >= 2
}

// hasCrashingBlock reports whether callers send the block at the moment.
func (e *env) hasCrashingBlock() bool { return e.blockBegun.Load() }

// armCrash makes the current incarnation crash on crashingBlock; another starts after a pause.
func (t *target) armCrash(current *standin.Target) { current.CrashOnBlock(crashingBlock, t.crashed) }

func (t *target) crashed(at time.Time) {
	t.mutex.Lock()
	t.stopped = true
	t.mutex.Unlock()
	crash := Span{From: at, To: time.Now().Add(crashedTargetPause)}
	t.env.history.withLock(func() { t.env.history.TargetCrashes = append(t.env.history.TargetCrashes, crash) })
	time.AfterFunc(crashedTargetPause, t.replaceCrashed)
}

func (t *target) replaceCrashed() {
	if t.env.closed.Load() {
		return
	}
	if err := t.start(); err != nil {
		t.env.addFinding("test harness", "target at %s: %v", t.address(), err)
	}
}

const (
	// countedCrashes is the number of crashes after which few more requests with the block may
	// reach targets, and maxLateRequests how many, later than the contact time after that.
	countedCrashes  = 5
	maxLateRequests = 3
	// minCompared is the least number of requests whose shares are compared.
	minCompared = 20
)

// checkBlock checks the bounds of a block that crashes targets: few requests with it reach targets
// after the fifth crash, and sound requests of the same routes, key and first blocks are served
// half as often as before, at least. Times around other faults do not count.
func (h *History) checkBlock(b Bounds, report func(string, string, ...any)) {
	if len(h.TargetCrashes) == 0 {
		return
	}
	last := h.TargetCrashes[min(len(h.TargetCrashes), countedCrashes)-1].From
	late := map[string]bool{}
	for _, a := range h.Arrivals {
		if a.CrashingBlock && len(h.TargetCrashes) >= countedCrashes && a.At.After(last.Add(b.Contact)) && h.undisturbed(a.At.Add(-b.Contact), a.At) {
			late[a.ID] = true
		}
	}
	if len(late) > maxLateRequests {
		report("few requests reach targets after a block crashed them", "%d requests with the block after %d crashes", len(late), len(h.TargetCrashes))
	}
	before, after := h.soundStreams(b, time.Time{}, h.TargetCrashes[0].From), h.soundStreams(b, last.Add(2*b.Contact), h.endOfCalm())
	if before.sent >= minCompared && after.sent >= minCompared && 2*after.share() < before.share() {
		report("sound requests go on beside a crashing block", "%.2f of %d were served, %.2f of %d before", after.share(), after.sent, before.share(), before.sent)
	}
}

// served counts requests and those of them that were served.
type served struct{ sent, served int }

func (s served) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// soundStreams counts the streams without the block that were sent between the times, outside
// other faults.
func (h *History) soundStreams(b Bounds, from, to time.Time) (n served) {
	for _, a := range h.Attempts {
		sound := a.Stream && !a.CrashingBlock && a.Version == 0
		if !sound || a.Started.Before(from) || a.Started.After(to) || !h.undisturbed(a.Started.Add(-b.Contact), a.Response.Ended) {
			continue
		}
		n.sent++
		if a.Response.Status == http.StatusOK && a.Response.Complete {
			n.served++
		}
	}
	return n
}

// endOfCalm returns a time after all attempts.
func (h *History) endOfCalm() time.Time {
	end := time.Time{}
	for _, a := range h.Attempts {
		if a.Response.Ended.After(end) {
			end = a.Response.Ended
		}
	}
	return end
}
