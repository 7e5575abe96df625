package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/exchange"
	"auburnscale/route"
)

// A call represents one request on its way.
type call struct {
	server *Server
	writer http.ResponseWriter
	http   *http.Request

	ask           Ask
	configuration *catalog.Snapshot
	route         *catalog.Route
	service       *catalog.Service
	workspace     *catalog.Workspace
	body          []byte
	prompt        route.Prompt
	fingerprint   uint64
	arrived       time.Time
	// limit is when the caller is answered in any case.
	limit  time.Time
	ctx    context.Context
	cancel context.CancelFunc

	avoid []string
	// sends counts requests that reached a target, runs those that it may have
	// begun to run.
	sends, runs int
	// reread is true if the request goes without a hand-over from now on.
	reread bool
	// readers counts the targets that were asked to read the prompt.
	readers int
	// source names the prompt's cache at the target that read it, until a
	// runner took it. It is offered to offers runners at most.
	source string
	offers int
	// reads counts the readings that a target may have begun.
	reads int
	// last is a target's own failure that is passed on if no other try helps.
	last *keptReply

	begun     bool
	first     time.Duration
	outcome   string
	target    string
	estimated time.Duration
	// reader read the prompt in readTime, if another target than the last did.
	reader   string
	readTime time.Duration
	// unread is the tokens of prompt that were thought to be left to read.
	unread int64
}

const (
	// maxSends bounds how often one request is sent, refusals included.
	maxSends = 3
	// maxTries bounds the targets tried for one request, unreachable ones
	// included.
	maxTries = 6
	// maxReaders bounds the targets that are asked to read one prompt. After that
	// the runner reads it, which takes longer and delays what runs there.
	maxReaders = 3
	// startTime is how long an instance usually takes from its start to its
	// configuration when the control group starts with it: an election and an
	// answer. Callers of an instance that has none come back then.
	startTime = 1600 * time.Millisecond
	// longestStartWait and startWaitShare bound how long a caller waits for the
	// first configuration: by itself, and as a part of the time that it has.
	longestStartWait = 1200 * time.Millisecond
	startWaitShare   = 3
	startPoll        = 20 * time.Millisecond
	// leastStartWait is the least they are told to wait.
	leastStartWait = 300 * time.Millisecond
)

// serve runs the request and answers the caller.
func (c *call) serve() {
	s := c.server
	c.ctx, c.cancel = context.WithDeadline(c.http.Context(), c.limit)
	defer c.cancel()
	s.parts.Budget.Request(c.service.Name, clock.Now())
	if f := c.run(); f != nil {
		c.finish(f)
		return
	}
	s.logServed(c)
}

// finish answers with a failure, or with what a target said of its own.
func (c *call) finish(f *failure) {
	if c.http.Context().Err() != nil {
		c.server.logGone(c)
		return
	}
	if c.last != nil && !f.notRun {
		c.last.write(c)
		c.server.logServed(c)
		return
	}
	c.server.logRefusal(c, f)
	f.write(c.writer, c.ask.ID)
}

// run sends the request until an answer is on its way to the caller, or nothing
// more can be tried.
func (c *call) run() *failure {
	if wait, poisoned := c.server.parts.Suspects.Refused(c.fingerprint); poisoned {
		return refuse(http.StatusServiceUnavailable, "quarantined", "targets broke off while they ran this request").after(wait)
	}
	for range maxTries {
		placement := c.place()
		if placement.DecodeTarget == nil {
			return c.noTarget()
		}
		if f := c.tooLate(placement); f != nil {
			return f
		}
		done, f := c.try(placement)
		if done {
			return nil
		}
		if f != nil {
			return f
		}
		if c.ctx.Err() != nil {
			return c.overdue()
		}
	}
	return c.noTarget()
}

func (c *call) place() route.Placement {
	fleet := c.server.parts.Fleets.Fleet(c.service.Name)
	prompt := c.prompt
	if c.reread || c.source != "" {
		return c.server.parts.Fleets.Placer().Direct(fleet, prompt, c.avoid, time.Now())
	}
	return c.server.parts.Fleets.Placer().Place(fleet, prompt, c.avoid, time.Now())
}

// noTarget refuses a request that cannot have run, and fails any other.
func (c *call) noTarget() *failure {
	if c.runs > 0 {
		return fail(http.StatusBadGateway, "target_failed", "the target broke off and no other can take the request")
	}
	return refuse(http.StatusServiceUnavailable, "no_target", "no target of the service can take the request now").after(c.comeBack())
}

func (c *call) overdue() *failure {
	if c.runs > 0 {
		return fail(http.StatusGatewayTimeout, "timeout", "the answer did not come in time")
	}
	return refuse(http.StatusServiceUnavailable, "timeout", "no target took the request in time").after(c.comeBack())
}

const (
	// minComeBack and maxComeBack bound Retry-After: long enough for a target
	// to come free, short enough for the caller's deadline.
	minComeBack = 150 * time.Millisecond
	maxComeBack = time.Second
)

// comeBack is a fair time after which the caller can be served if it can at all.
func (c *call) comeBack() time.Duration {
	return min(maxComeBack, max(minComeBack, c.route.LatencyObjective))
}

// patience is how long a caller waits for the first event of a stream before it
// goes, as far as the system knows.
func (c *call) patience() time.Duration {
	const least, objectives, gaps = 2 * time.Second, 4, 8
	return max(least, objectives*c.route.LatencyObjective, gaps*c.route.EventGapObjective)
}

// tooLate refuses at once what is estimated to come when nobody waits any more.
func (c *call) tooLate(p route.Placement) *failure {
	c.estimated = p.FirstEvent
	left := time.Until(c.limit)
	if c.route.RequestKind == catalog.Streaming {
		left = min(left, c.patience()-time.Since(c.arrived))
	}
	if p.FirstEvent < left || c.runs > 0 {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "overloaded", "the answer would come too late").after(max(c.comeBack(), p.FirstEvent-left))
}

// mayRepeat reports whether the request may be sent to another target after it
// may have run.
func (c *call) mayRepeat() bool {
	return c.route.RetrySafe() && c.runs < c.route.MaxAttempts && c.sends < maxSends
}

// repeat asks the budget for one more arrival at the service.
func (c *call) repeat() bool {
	return c.sends < maxSends && c.server.parts.Budget.Spend(c.service.Name, clock.Now())
}

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

// count notes that a target began to run the request.
func (c *call) count() {
	if c.begun {
		return
	}
	c.begun = true
	c.first = time.Since(c.arrived)
	c.server.parts.Begun.Count(c.workspaceName())
}

// request builds what goes to the target.
func (c *call) request(d Dispatch) *exchange.Request {
	d.Workspace = c.workspaceName()
	d.Left = time.Until(c.limit)
	d.Priority = c.priority()
	return &exchange.Request{
		Method: c.http.Method, URI: c.http.URL.RequestURI(), Host: c.http.Host,
		Header: c.server.parts.Codec.Outgoing(c.http.Header, d), Body: c.body, Fresh: c.route.RequestKind == catalog.NonIdempotent,
		Repeatable: d.ReadOnly || c.route.RetrySafe(),
	}
}

// isCaller reports whether the failure is due to the caller's leaving.
func (c *call) isCaller(err error) bool {
	return err != nil && errors.Is(c.http.Context().Err(), context.Canceled)
}
