package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/retry"
	"auburnscale/route"
)

// errWaitEnded ends the exchange with a target when another one is used instead.
var errWaitEnded = errors.New("another target is expected to cost the caller less than waiting longer")

const (
	// minWaitInterval and maxWaitInterval bound the time between two decisions on a wait. What is
	// known of the target and the other targets' load change within tenths of a second.
	minWaitInterval = 5 * time.Millisecond
	maxWaitInterval = 200 * time.Millisecond
	// keptWaitInterval is the time to the next decision on a wait that goes on only because the
	// retry budget or the bound on abandoned sends is used up, or no other target is available.
	keptWaitInterval = 50 * time.Millisecond
	// minPlainTime is the least time that is first expected of a plain request, also if its route
	// has no objective.
	minPlainTime = 100 * time.Millisecond
)

// A targetWait ends the exchange with a target once waiting longer for its response is expected to
// cost the caller more than using another target would. A nil targetWait has no effect.
type targetWait struct {
	// call is the request; what the wait reads of it does not change meanwhile.
	call   *call
	target *route.Target
	wait   *retry.Wait
	ctx    context.Context
	cancel context.CancelCauseFunc
	// conditions hold when the request was sent, at sent.
	conditions retry.Conditions
	sent       time.Duration
	// elsewhere returns the time that another target is expected to take, and whether there is one.
	elsewhere func() (time.Duration, bool)

	mutex     sync.Mutex
	timer     *time.Timer
	ended     bool
	wasLeft   bool
	leftState retry.TargetState
}

// beginRunWait starts the bounded wait for a target that is to run the request. A request that may
// run only once more, or is not idempotent, waits without this bound.
func (c *call) beginRunWait(ctx context.Context, t *route.Target, d Dispatch) (context.Context, *targetWait) {
	if !c.route.RetrySafe() || c.admission.Trial() || c.runs+1 >= c.route.MaxAttempts || c.sends+1 >= maxSends {
		return ctx, nil
	}
	placer := c.server.deps.Fleets.Placer()
	switch {
	case c.route.RequestKind == catalog.Idempotent:
		return c.beginWait(ctx, t, retry.PlainStage, max(minPlainTime, c.route.LatencyObjective))
	case d.KVSource != "":
		return c.beginWait(ctx, t, retry.TransferStage, placer.TransferDelay+placer.CrossDomainDelay)
	}
	return c.beginWait(ctx, t, retry.FirstEventStage, c.estimatedFirst)
}

// beginWait starts the bounded wait for a target that is about to get the request, and returns the
// context of the exchange. It returns nil if waits at the service are not bounded.
func (c *call) beginWait(ctx context.Context, t *route.Target, stage retry.WaitStage, expected time.Duration) (context.Context, *targetWait) {
	waiting, fleet := c.server.deps.Waiting, c.fleet()
	if !waiting.Active(fleet.SpeedStated(time.Now())) {
		return ctx, nil
	}
	c.observesAnswers = true
	ctx, cancel := context.WithCancelCause(ctx)
	limit := c.deadline.Sub(c.arrived)
	if c.route.RequestKind == catalog.Streaming {
		limit = min(limit, c.firstEventTimeout())
	}
	now := clock.Now()
	w := &targetWait{
		call: c, target: t, ctx: ctx, cancel: cancel, sent: now,
		wait:       waiting.Begin(c.service.Name, c.waitGroup(stage), t.Name(), stage, expected, now),
		conditions: retry.Conditions{Age: time.Since(c.arrived), Objective: c.route.LatencyObjective, Limit: limit, Elsewhere: expected},
		elsewhere:  c.elsewhere(fleet, t, stage, expected),
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = time.AfterFunc(waitInterval(w.wait.KeepWaiting(w.conditions, now)), w.check)
	return ctx, w
}

// waitGroup names the requests with whose times the request is compared: those to its service, whose
// times are estimated, or plain ones on its route, since only the route tells how long they take.
func (c *call) waitGroup(stage retry.WaitStage) string {
	if stage == retry.PlainStage {
		return c.service.Name + " " + c.route.Name
	}
	return c.service.Name
}

// elsewhere returns a function that returns the time that another target is expected to take. It
// runs while the request waits, and uses what is fixed until then.
func (c *call) elsewhere(fleet *route.Fleet, t *route.Target, stage retry.WaitStage, expected time.Duration) func() (time.Duration, bool) {
	placer, prompt := c.server.deps.Fleets.Placer(), c.prompt
	excluded := append(slices.Clone(c.excluded), t.Name())
	return func() (time.Duration, bool) {
		if stage == retry.PrefillStage {
			p := placer.Place(fleet, prompt, excluded, time.Now())
			return p.FirstEvent, p.DecodeTarget != nil
		}
		p := placer.Direct(fleet, prompt, excluded, time.Now())
		if stage == retry.PlainStage {
			// Placement does not estimate how long a plain request runs.
			return expected, p.DecodeTarget != nil
		}
		return p.FirstEvent, p.DecodeTarget != nil
	}
}

func waitInterval(d time.Duration) time.Duration {
	return min(maxWaitInterval, max(minWaitInterval, d))
}

// check decides whether the wait goes on, and ends the exchange if not.
func (w *targetWait) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return
	}
	now := clock.Now()
	conditions := w.conditions
	conditions.Age += now - w.sent
	conditions.State = w.wait.State(w.target.Silent())
	found := false
	if conditions.Elsewhere, found = w.elsewhere(); !found {
		w.keep("no_target")
		return
	}
	if more := w.wait.KeepWaiting(conditions, now); more > 0 {
		w.timer.Reset(waitInterval(more))
		return
	}
	if !w.call.server.deps.Budget.Fits(w.call.service.Name, now) {
		w.keep("retry_budget")
		return
	}
	if !w.wait.TryAbandon() {
		w.keep("abandon_limit")
		return
	}
	w.ended, w.wasLeft, w.leftState = true, true, conditions.State
	w.wait.Unended(conditions.State, now)
	w.call.server.deps.Metrics.Tagged(map[string]string{"stage": w.wait.Stage().String(), "state": conditions.State.String()}).Counter("waits_ended").Inc(1)
	w.call.server.deps.Logger.Log(event.WaitEnded, w.call.fields(zap.String("target", w.target.Name()), zap.Stringer("stage", w.wait.Stage()), zap.Stringer("state", conditions.State),
		zap.Int64("expected_ms", w.conditions.Elsewhere.Milliseconds()), zap.Int64("waited_ms", (now-w.sent).Milliseconds()), zap.Int64("elsewhere_ms", conditions.Elsewhere.Milliseconds()))...)
	w.cancel(errWaitEnded)
}

// keep lets the wait go on for the reason, although another target would cost the caller less.
// w.mutex must be held.
func (w *targetWait) keep(reason string) {
	w.call.server.deps.Metrics.Tagged(map[string]string{"reason": reason}).Counter("waits_kept").Inc(1)
	w.timer.Reset(keptWaitInterval)
}

// responded records that the awaited response came. The exchange goes on without a bound.
func (w *targetWait) responded() {
	if w.stop() {
		w.wait.Responded(clock.Now())
	}
}

// respondedBefore returns a function that records that the response came and then calls onStart.
func (w *targetWait) respondedBefore(onStart func()) func() {
	return func() {
		w.responded()
		onStart()
	}
}

// end ends the wait and releases its context. If the time of the attempt or of the request is over
// without a response, it records that.
func (w *targetWait) end() {
	if w == nil {
		return
	}
	if w.stop() && w.ctx.Err() != nil {
		w.wait.Unended(w.wait.State(w.target.Silent()), clock.Now())
	}
	w.cancel(nil)
}

// stop ends the wait, and reports whether it was not over.
func (w *targetWait) stop() bool {
	if w == nil {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return false
	}
	w.ended = true
	w.timer.Stop()
	return true
}

// abandoned reports whether the exchange with the target was ended because another target was
// expected to cost the caller less.
func (w *targetWait) abandoned(t *route.Target) bool {
	if w == nil || w.target != t {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.wasLeft
}

// recordAbandoned records that the request is sent to another target than this one, whose response
// was awaited for too long. A target that answers others is busy and keeps its requests; one that
// was not heard from counts as failed.
func (c *call) recordAbandoned(t *route.Target) {
	if c.wait.leftState == retry.Answering {
		return
	}
	t.RecordDecline(time.Now())
	c.server.deps.Fleets.Failed(c.service.Name, t, false)
}

// answered records that a part of a response arrived, which tells that the target is alive.
func (c *call) answered(t *route.Target) {
	if c.observesAnswers {
		c.server.deps.Waiting.Answered(t.Name(), clock.Now())
	}
}
