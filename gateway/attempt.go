package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/exchange"
	"auburnscale/route"
)

const (
	// maxResponseBytes bounds a response that is read in full before it is forwarded.
	maxResponseBytes = 16 << 20
	// maxHandleBytes bounds the response to a prefill-only request.
	maxHandleBytes = 64 << 10
)

const (
	// minPrefillTimeout and prefillTimeoutFactor set the timeout of a prefill on
	// another target: prefillTimeoutFactor times its estimated time, and at least
	// minPrefillTimeout. After that the prefill target is taken for failed.
	minPrefillTimeout    = 1500 * time.Millisecond
	prefillTimeoutFactor = 6
	// minAttemptTimeout and attemptTimeoutObjectives set the timeout of an attempt
	// that another target can repeat: attemptTimeoutObjectives times the route's
	// latency objective, and at least minAttemptTimeout.
	minAttemptTimeout        = 300 * time.Millisecond
	attemptTimeoutObjectives = 3
)

// maxKVOffers bounds the number of decode targets to which the KV cache of a
// prefilled prompt is offered. A target that declines may have failed to fetch it.
const maxKVOffers = 2

// attempt makes one attempt at the request with the targets of the placement. It
// returns true if the caller has the response, a failure if there must be no further
// attempt, and neither if another target can be tried.
func (c *call) attempt(p route.Placement) (bool, *failure) {
	if p.PrefillTarget != nil && c.kvSource == "" {
		c.kvSource = c.prefillElsewhere(p)
		if c.ctx.Err() != nil {
			return false, c.timedOut()
		}
		if c.kvSource == "" {
			// The prefill failed; the request is placed again.
			c.localPrefill = c.localPrefill || c.prefillAttempts >= maxPrefillAttempts
			return false, nil
		}
		if f := c.refuseIfQuarantined(); f != nil {
			return false, f
		}
		if p.DecodeTarget = c.currentDecodeTarget(p.DecodeTarget); p.DecodeTarget == nil {
			return false, nil
		}
	}
	if !c.permitted(p.DecodeTarget) || !c.maySend(p.DecodeTarget) {
		return false, nil
	}
	prefillTokens, source := p.PrefillTokens, c.kvSource
	if source != "" {
		prefillTokens = 0
		c.kvOffers++
	}
	p.DecodeTarget.Begin(prefillTokens)
	pendingTokens := prefillTokens
	defer func() { p.DecodeTarget.PrefillDone(pendingTokens); p.DecodeTarget.End() }()
	sent := time.Now()
	job := c.startCost(p, source != "", sent)
	defer job.End()
	onStart := func() {
		job.PrefillDone()
		p.DecodeTarget.PrefillDone(pendingTokens)
		pendingTokens = 0
		if source == "" {
			p.Observe(time.Since(sent), time.Now())
		}
		// A target keeps a transferred KV cache like one that it computed.
		c.server.deps.Fleets.AddPrefix(c.service.Name, p.DecodeTarget, c.prompt.Blocks)
	}
	return c.send(p.DecodeTarget, Dispatch{Target: p.DecodeTarget.Name(), KVSource: source, LastEventID: c.info.LastEventID}, onStart)
}

// permitted reports whether the request may be sent to the target now. If the target's rate
// limit is used up, the request is placed again.
func (c *call) permitted(t *route.Target) bool {
	if c.server.deps.Fleets.Permit(c.ctx, t) {
		return true
	}
	c.heldOff++
	return false
}

// recordError records that the target failed to respond, and excludes it from further
// attempts of this request. If the request's context has ended, it only excludes the
// target, since the error may not be the target's fault.
func (c *call) recordError(t *route.Target, err error) {
	c.excluded = append(c.excluded, t.Name())
	if c.ctx.Err() != nil {
		return
	}
	if c.wait.abandoned(t) {
		c.recordAbandoned(t)
		return
	}
	if exchange.NotSent(err) {
		t.RecordDecline(time.Now())
	}
	if exchange.ConnectionEnded(err) || errors.Is(err, errIncompleteEvent) {
		c.server.deps.Blocks.Crashed(t.Name(), strconv.FormatInt(t.Incarnation(), 10), c.suspects)
	}
	if exchange.ConnectTimedOut(err) {
		c.server.deps.Fleets.ConnectTimedOut(t, time.Now())
	}
	c.server.deps.Fleets.Failed(c.service.Name, t, false)
	c.server.logTargetFailed(c, t, err)
}

// recordResponse records that the target responded, and what it states of itself: its
// load, that it is leaving, that it asks for a pause or names a rate limit. sent is when the
// request was sent, on clock.Now. It returns the decoded status and header.
func (c *call) recordResponse(t *route.Target, response *exchange.Response, sent time.Duration) ResponseInfo {
	info := c.server.deps.Codec.DecodeResponse(response.Status(), response.Header())
	c.server.deps.Fleets.Responded(t)
	c.answered(t)
	c.server.deps.Blocks.Alive(t.Name(), strconv.FormatInt(t.Incarnation(), 10), sent)
	if info.HasLoad {
		t.SetReport(route.Load{Running: info.Load.Running, Waiting: info.Load.Waiting}, time.Now())
		c.server.deps.Fleets.RecordSpeed(c.service.Name, t, info.Load.WorkFactor, time.Now())
	}
	if info.Leaving {
		c.server.deps.Fleets.Leaving(t)
	}
	if info.RetryAfter != 0 {
		c.server.deps.Fleets.Pause(t, info.RetryAfter, time.Now())
	}
	if !info.WrongTarget {
		c.server.deps.Fleets.RecordLimit(t, response.Status(), info, sent)
	}
	return info
}

// send sends the request to the target that is to run it. Its results are those of
// attempt. It calls onStart when the first bytes of a stream arrive.
func (c *call) send(t *route.Target, d Dispatch, onStart func()) (bool, *failure) {
	c.setTarget(t)
	if c.sends > 0 && !c.spendRetry() {
		return false, c.noTarget()
	}
	ctx, cancel := c.attemptContext()
	defer cancel()
	ctx, c.wait = c.beginRunWait(ctx, t, d)
	defer c.wait.end()
	kind := sendFirst
	if c.sends > 0 {
		kind = sendRepeated
	}
	c.server.countSend(t, kind)
	sent := clock.Now()
	response, err := c.server.deps.Dialer.Send(ctx, t.Address(), c.request(t, d))
	if err != nil {
		return c.sendFailed(t, err)
	}
	defer response.Close()
	c.sends++
	info := c.recordResponse(t, response, sent)
	if info.NotRun {
		return c.notRun(t, info, d.KVSource != "")
	}
	c.runs++
	c.kvSource, c.localPrefill = "", true
	t.RecordAccept()
	if response.Status() >= http.StatusInternalServerError {
		return c.targetFailed(t, response, info)
	}
	if !info.FromTarget {
		return false, c.requestFailed(t, errNotFromTarget)
	}
	if c.route.RequestKind == catalog.Streaming && response.Status() == http.StatusOK {
		return c.stream(t, response, c.wait.respondedBefore(onStart))
	}
	c.wait.responded()
	return c.deliver(t, response)
}

// attemptContext returns the context of one attempt. Its time is limited if the
// request is idempotent and another attempt is left.
func (c *call) attemptContext() (context.Context, context.CancelFunc) {
	if c.route.RequestKind != catalog.Idempotent || c.runs+1 >= c.route.MaxAttempts {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, max(minAttemptTimeout, attemptTimeoutObjectives*c.route.LatencyObjective))
}

// sendFailed handles an error before the response's header was read.
func (c *call) sendFailed(t *route.Target, err error) (bool, *failure) {
	if errors.Is(err, exchange.ErrOtherIdentity) || errors.Is(err, exchange.ErrNoIdentity) {
		c.excluded = append(c.excluded, t.Name())
		c.server.logOtherStart(c, t, err)
		return false, nil
	}
	if exchange.NotSent(err) {
		c.recordError(t, err)
		return false, nil
	}
	c.sends++
	c.runs++
	return false, c.requestFailed(t, err)
}

// notRun handles a target's statement that it did not run the request.
func (c *call) notRun(t *route.Target, info ResponseInfo, withKVSource bool) (bool, *failure) {
	c.server.logDeclined(c, t, info)
	c.excluded = append(c.excluded, t.Name())
	switch {
	case info.WrongTarget:
		c.server.deps.Fleets.Failed(c.service.Name, t, true)
	case withKVSource && c.kvOffers < maxKVOffers:
		// The target may have declined only because it could not fetch the KV cache.
	case withKVSource:
		c.kvSource, c.localPrefill = "", true
	case info.RetryAfter <= 0:
		t.RecordDecline(time.Now())
	}
	return false, nil
}

// requestFailed handles an exchange that failed when the request may have run. It
// returns nil if the request may be sent to another target.
func (c *call) requestFailed(t *route.Target, err error) *failure {
	if c.callerDisconnected(err) {
		return c.timedOut()
	}
	if c.ctx.Err() != nil {
		return c.timedOut()
	}
	if errors.Is(err, exchange.ErrBuffersFull) {
		// Neither the target nor the request is at fault, and another target would not help.
		return fail(http.StatusBadGateway, "memory_full", "the memory for responses is in use, and the request may have run")
	}
	c.recordError(t, err)
	if !c.wait.abandoned(t) {
		c.server.deps.Suspects.RecordFailure(c.fingerprint, clock.Now())
	}
	if c.mayRetry() {
		return nil
	}
	if errors.Is(err, exchange.ErrMismatched) {
		return fail(http.StatusBadGateway, "target_failed", "the target's response does not carry the request's id")
	}
	return fail(http.StatusBadGateway, "target_failed", "the target failed during the request, which may have run")
}

// targetFailed handles a target's own 5xx response, which counts as a run.
func (c *call) targetFailed(t *route.Target, response *exchange.Response, info ResponseInfo) (bool, *failure) {
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return false, c.requestFailed(t, err)
	}
	if !info.FromTarget {
		c.recordError(t, errNotFromTarget)
		if c.mayRetry() {
			return false, nil
		}
		return false, fail(http.StatusBadGateway, "target_failed", "the response does not come from a target")
	}
	c.countRun()
	if info.RetryAfter <= 0 {
		c.server.deps.Fleets.Failed(c.service.Name, t, false)
	}
	c.lastFailure = &bufferedResponse{status: response.Status(), header: response.Header(), body: body, hold: response.Hold()}
	if c.mayRetry() {
		c.excluded = append(c.excluded, t.Name())
		return false, nil
	}
	c.lastFailure.write(c)
	return true, nil
}

var errNotFromTarget = errors.New("response has no target stamp")

// deliver reads a response in full and then forwards it to the caller.
func (c *call) deliver(t *route.Target, response *exchange.Response) (bool, *failure) {
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return false, c.requestFailed(t, err)
	}
	c.countRun()
	c.server.deps.Fleets.Succeeded(c.service.Name, t)
	c.server.deps.Suspects.Clear(c.fingerprint)
	if response.Status() < http.StatusMultipleChoices {
		c.server.deps.Blocks.Served(c.suspects)
	}
	buffered := &bufferedResponse{status: response.Status(), header: response.Header(), body: body, hold: response.Hold()}
	buffered.write(c)
	return true, nil
}
