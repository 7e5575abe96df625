package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"auburnscale/account"
	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/connlimit"
	"auburnscale/exchange"
	"auburnscale/origin"
	"auburnscale/quarantine"
	"auburnscale/route"
)

// A call is the state of one caller's request from its arrival to its response.
type call struct {
	server *Server
	writer http.ResponseWriter
	http   *http.Request

	info          RequestInfo
	configuration *catalog.Snapshot
	route         *catalog.Route
	service       *catalog.Service
	workspace     *catalog.Workspace
	body          []byte
	// hold is the memory that the body takes, and connection the caller's connection. They are nil without limits.
	hold        *account.Hold
	connection  *connlimit.Conn
	recorder    *headerRecorder
	prompt      route.Prompt
	fingerprint uint64
	// suspects holds the ids by which crashes of targets are explained: those of the prompt
	// blocks that other requests may share, and the fingerprint.
	suspects  []uint64
	admission quarantine.Admission
	arrived   time.Time
	// deadline is when the caller gets a response at the latest.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	// outlastStop exempts the request from those that a stopping server answers before it ends.
	outlastStop func() bool

	// recorded is the part of the request in the record of its origin; nil if its response cannot go
	// on at another target. origin is what may continue the stream, once that is fixed, and began
	// the target that began it, if this request did.
	recorded *origin.Stream
	origin   origin.Origin
	began    *route.Target
	// uncertain is true if it is not certain which start of a target began the stream.
	uncertain bool

	// excluded holds the names of the targets that further attempts must not use.
	excluded []string
	// sends counts the times that the request was sent to a target, runs those of
	// them in which the target may have started to run it.
	sends, runs int
	// localPrefill is true once the decode target is to prefill the prompt itself,
	// without a KV cache transfer.
	localPrefill bool
	// prefillAttempts counts the prefill targets to which the prompt was sent.
	prefillAttempts int
	// kvSource names the prompt's KV cache on the prefill target, until a decode
	// target has taken it over. kvOffers counts the decode targets to which it was
	// offered.
	kvSource string
	kvOffers int
	// prefillRuns counts the prefills that a target may have started.
	prefillRuns int
	// heldOff counts the times that the request was not sent because the rate limit of the
	// chosen target was used up.
	heldOff int
	// charges is what the request has taken from the quota of its workspace.
	charges charges
	// lastFailure is a target's own 5xx response, which the caller gets if no other
	// attempt succeeds.
	lastFailure *bufferedResponse
	// wait is the bounded wait for the target that the request was last sent to; nil if that wait
	// is not bounded by observed times.
	wait *targetWait
	// observesAnswers is true if waits at the service are bounded; what its targets answer is then
	// recorded.
	observesAnswers bool
	// admitted is true if the Gate let the request through.
	admitted bool

	// ambiguousEnd is the last event of a response that may have been broken off before a \n. loneReturns is true if a
	// line that the caller has ends with \r alone.
	ambiguousEnd []byte
	loneReturns  bool
	// counted is true once the request has been counted as run, demandCounted once it has been
	// counted as demand.
	counted         bool
	demandCounted   bool
	firstEventAfter time.Duration
	status          string
	// blockedBy is the quarantined block, or the fingerprint, for which the request was refused, in
	// hexadecimal.
	blockedBy      string
	target         string
	targetVersion  string
	estimatedFirst time.Duration
	// prefillTarget is the target that was last asked to prefill the prompt ahead
	// of the decode target, prefillTime the time that all such prefills took.
	prefillTarget string
	prefillTime   time.Duration
	// prefillTokens is the estimated number of prompt tokens left to prefill there.
	prefillTokens int64
	cost          costRecord
}

const (
	// maxSends bounds how often a request is sent to targets, including the times
	// that a target declined it.
	maxSends = 3
	// maxAttempts bounds the attempts to place and send a request, including those
	// at unreachable targets.
	maxAttempts = 6
	// maxHeldOff bounds how often a request is placed again because the rate limit of the
	// chosen target was used up.
	maxHeldOff = 8
	// maxPrefillAttempts bounds the prefill targets to which a prompt is sent. After
	// that the decode target prefills it, which takes longer and delays the requests
	// that run there.
	maxPrefillAttempts = 3
	// typicalStartTime is how long an instance usually takes from its start to its
	// first configuration when the control group starts at the same time: an
	// election and a response. Callers of an instance that has no configuration yet
	// are told to retry once that time has passed since its start.
	typicalStartTime = 1600 * time.Millisecond
	// maxConfigurationWait and configurationWaitDivisor bound how long a request
	// waits for the first configuration: by a fixed time, and by the caller's timeout
	// divided by configurationWaitDivisor.
	maxConfigurationWait      = 1200 * time.Millisecond
	configurationWaitDivisor  = 3
	configurationPollInterval = 20 * time.Millisecond
	// minStartRetryAfter is the least Retry-After sent to callers of an instance
	// that has no configuration yet.
	minStartRetryAfter = 300 * time.Millisecond
)

// serve runs the request and sends the caller the response.
func (c *call) serve() {
	s := c.server
	c.ctx, c.cancel = context.WithDeadline(c.http.Context(), c.deadline)
	defer c.cancel()
	c.outlastStop = context.AfterFunc(s.stopped, c.cancel)
	defer c.outlastStop()
	if f := c.takeUp(); f != nil {
		c.respondWithFailure(f)
		return
	}
	if f := c.admit(); f != nil {
		c.respondWithFailure(f)
		return
	}
	defer c.recordDuration()
	if c.resumable() {
		c.recorded = s.deps.Origins.Open(origin.Hash(c.workspaceName(), c.info.ID))
		defer c.recorded.Close()
	}
	s.deps.Budget.CountRequest(c.service.Name, clock.Now())
	c.admission = s.deps.Blocks.Admit(c.suspects)
	defer s.deps.Blocks.End(c.admission)
	// A trial reaches a single target.
	c.localPrefill = c.admission.Trial()
	defer c.returnCharges()
	if f := c.run(); f != nil {
		c.respondWithFailure(f)
		return
	}
	s.logServed(c)
}

// respondWithFailure sends the caller the failure, or the target's own 5xx response if
// there is one and the request may have run.
func (c *call) respondWithFailure(f *failure) {
	if c.http.Context().Err() != nil {
		c.server.logDisconnected(c)
		// A caller that has closed only its sending side still reads.
		c.writer.Header().Set("Connection", "close")
		c.disconnected(f).write(c.writer, c.info.ID)
		return
	}
	if c.lastFailure != nil && !f.notRun {
		c.lastFailure.write(c)
		c.server.logServed(c)
		return
	}
	c.server.logRefusal(c, f)
	f.write(c.writer, c.info.ID)
}

// disconnected returns the failure of a request whose caller has closed its connection, in place of f.
func (c *call) disconnected(f *failure) *failure {
	if !f.notRun {
		return fail(http.StatusBadGateway, "caller_disconnected", "the caller closed its connection or its sending side, and the request may have run")
	}
	return refuse(http.StatusServiceUnavailable, "caller_disconnected", "the caller closed its connection or its sending side before the request was run").withRetryAfter(minRetryAfter)
}

// run attempts the request until a response has been sent to the caller. It
// returns a failure if no further attempt is allowed or possible.
func (c *call) run() *failure {
	// Failures alone do not tell a request that crashes targets from one whose connections were cut.
	if wait, failed := c.server.deps.Suspects.Quarantined(c.fingerprint); failed && c.server.deps.Blocks.Suspected(c.fingerprint) {
		c.blockedBy = strconv.FormatUint(c.fingerprint, 16)
		return refuse(http.StatusServiceUnavailable, "quarantined", "targets failed repeatedly while running this request").withRetryAfter(wait)
	}
	for attempts := 0; attempts < maxAttempts && c.heldOff <= maxHeldOff; {
		if f := c.refuseIfStopping(); f != nil {
			return f
		}
		if f := c.refuseIfQuarantined(); f != nil {
			return f
		}
		placement := c.place()
		c.countDemand(placement)
		if placement.DecodeTarget == nil {
			return c.noTarget()
		}
		if f := c.refuseIfLate(placement); f != nil {
			return f
		}
		if f := c.charge(); f != nil {
			return f
		}
		heldOff := c.heldOff
		done, f := c.attempt(placement)
		if done {
			return nil
		}
		if c.heldOff == heldOff {
			attempts++
		}
		if f != nil {
			return f
		}
		if c.ctx.Err() != nil {
			return c.timedOut()
		}
	}
	return c.noTarget()
}

// refuseIfQuarantined returns the failure of a request with a quarantined block: a refusal
// if the request cannot have run. It is checked before each time that the request is sent.
func (c *call) refuseIfQuarantined() *failure {
	decision := c.admission
	if !decision.Refused {
		decision = c.server.deps.Blocks.Check(c.suspects, c.admission)
	}
	if !decision.Refused {
		return nil
	}
	c.blockedBy = strconv.FormatUint(decision.Block, 16)
	if c.runs > 0 {
		return fail(http.StatusBadGateway, "quarantined", "the target failed during the request, and targets crash when they run requests with the same prompt block")
	}
	return refuse(http.StatusServiceUnavailable, "quarantined", "targets crash when they run requests with the same prompt block").withRetryAfter(max(minQuarantineRetryAfter, decision.Wait))
}

// minQuarantineRetryAfter is the least Retry-After sent to callers of a request with a
// quarantined block.
const minQuarantineRetryAfter = time.Second

// place chooses the targets for the next attempt.
func (c *call) place() route.Placement {
	fleet, now := c.fleet(), time.Now()
	c.predictCost(fleet, now)
	prompt := c.prompt
	if c.localPrefill || c.kvSource != "" {
		return c.server.deps.Fleets.Placer().Direct(fleet, prompt, c.excluded, now)
	}
	return c.server.deps.Fleets.Placer().Place(fleet, prompt, c.excluded, now)
}

// noTarget returns the failure for a request that no target can take: a refusal
// if the request cannot have run.
func (c *call) noTarget() *failure {
	if c.runs > 0 {
		return fail(http.StatusBadGateway, "target_failed", "the target failed during the request and no other target can take it")
	}
	if f := c.targetsPaused(); f != nil {
		return f
	}
	return refuse(http.StatusServiceUnavailable, "no_target", "no target of the service can take the request now").withRetryAfter(c.retryAfter())
}

// targetsPaused returns the refusal of a request whose service has no target that takes
// requests now, because each asked for a pause or has used up its rate limit, or nil if that is
// not so.
func (c *call) targetsPaused() *failure {
	now, fleets := time.Now(), c.server.deps.Fleets
	wait := fleets.Fleet(c.service.Name).PauseLeft(now)
	if wait == 0 {
		return nil
	}
	if fleets.limitOf(c.service.Name) == 0 {
		return refuse(http.StatusServiceUnavailable, "targets_paused", "every target of the service asked for a pause").withRetryAfter(wait)
	}
	return refuse(http.StatusServiceUnavailable, "targets_limited", "every target of the service asked for a pause or has used up its rate limit").withRetryAfter(fleets.ReturnAfter(c.service.Name, wait, now))
}

// stoppingRetryAfter is the Retry-After of a request that an instance refuses because it stops. Others are ready.
const stoppingRetryAfter = 50 * time.Millisecond

// refuseIfStopping refuses the request at once if the instance may end before the request's deadline. Until the
// load balancer has had its time to send requests elsewhere they are taken, and most end long before.
func (c *call) refuseIfStopping() *failure {
	s := c.server
	if c.runs > 0 || !s.noticeOver.Load() || !c.deadline.After(time.Unix(0, s.answerBy.Load())) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "stopping", "the instance is about to end, maybe before the request would").withRetryAfter(stoppingRetryAfter)
}

// timedOut returns the failure for a request whose time is over, or that of its instance: a refusal if the
// request cannot have run.
func (c *call) timedOut() *failure {
	if c.server.stopped.Err() != nil && time.Now().Before(c.deadline) {
		if c.runs > 0 {
			return fail(http.StatusGatewayTimeout, "stopping", "the instance is about to end and the target has not responded")
		}
		return refuse(http.StatusServiceUnavailable, "stopping", "the instance is about to end").withRetryAfter(stoppingRetryAfter)
	}
	if c.runs > 0 {
		return fail(http.StatusGatewayTimeout, "timeout", "the target did not respond in time")
	}
	return refuse(http.StatusServiceUnavailable, "timeout", "no target accepted the request in time").withRetryAfter(c.retryAfter())
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After header: long enough for
	// a target to become free, short enough for the caller's deadline.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = time.Second
)

// retryAfter returns the time after which the caller is told to retry: the route's
// latency objective, within bounds.
func (c *call) retryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, c.route.LatencyObjective))
}

// firstEventTimeout estimates how long a caller waits for the first event of a
// stream before it disconnects.
func (c *call) firstEventTimeout() time.Duration {
	const least, objectives, gaps = 2 * time.Second, 4, 8
	return max(least, objectives*c.route.LatencyObjective, gaps*c.route.EventGapObjective)
}

// refuseIfLate refuses the request at once if the first event is estimated to come
// after the deadline or, on a stream, after the caller has stopped waiting. A
// request that may have run is not refused.
func (c *call) refuseIfLate(p route.Placement) *failure {
	c.estimatedFirst = p.FirstEvent
	left := time.Until(c.deadline)
	if c.route.RequestKind == catalog.Streaming {
		left = min(left, c.firstEventTimeout()-time.Since(c.arrived))
	}
	if p.FirstEvent < left || c.runs > 0 {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "overloaded", "the estimated time to the first response is longer than the time left").withRetryAfter(max(c.retryAfter(), p.FirstEvent-left))
}

// mayRetry reports whether a request that may have run may be sent to another
// target.
func (c *call) mayRetry() bool {
	return c.route.RetrySafe() && !c.admission.Trial() && c.runs < c.route.MaxAttempts && c.sends < maxSends
}

// setTarget records the target that the request was last sent to, for the log.
func (c *call) setTarget(t *route.Target) { c.target, c.targetVersion = t.Name(), t.Version() }

// spendRetry reports whether the request may be sent once more within maxSends and
// the service's retry budget, and spends from the budget if so.
func (c *call) spendRetry() bool {
	return c.sends < maxSends && c.server.deps.Budget.TrySpend(c.service.Name, clock.Now())
}

// priority returns the workspace's priority if it has one, else the route's.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority >= 0 {
		return c.workspace.Priority
	}
	return c.route.Priority
}

func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// countRun counts, once per request, that a target started to run the request, and
// records the time to the first event.
func (c *call) countRun() {
	if c.counted {
		return
	}
	c.counted = true
	c.firstEventAfter = time.Since(c.arrived)
	c.server.deps.Runs.Count(c.workspaceName())
}

// streamedFor returns the time since the first event of the response, 0 if there was none.
func (c *call) streamedFor() time.Duration {
	if !c.counted {
		return 0
	}
	return time.Since(c.arrived) - c.firstEventAfter
}

// request returns the request to send to a target.
func (c *call) request(t *route.Target, d Dispatch) *exchange.Request {
	d.Workspace = c.workspaceName()
	d.Remaining = time.Until(c.deadline)
	d.Priority = c.priority()
	r := &exchange.Request{
		Method: c.http.Method, URI: c.http.URL.RequestURI(), Host: c.http.Host,
		Header: c.server.deps.Codec.TargetHeader(c.http.Header, d), Body: c.body, NewConnection: c.route.RequestKind == catalog.NonIdempotent,
		Retryable: d.PrefillOnly || c.route.RetrySafe(),
	}
	if !d.PrefillOnly {
		r.Identification = c.identification(t)
	}
	return r
}

// callerDisconnected reports whether err was caused by the caller's disconnecting.
func (c *call) callerDisconnected(err error) bool {
	return err != nil && errors.Is(c.http.Context().Err(), context.Canceled)
}
