package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"auburnscale/exchange"
	"auburnscale/origin"
	"auburnscale/route"
)

const (
	// minOriginSpan is the least time for which it must be known which software served before a
	// stream that is on no record goes on, and originSpanTimeouts the same in timeouts of the route.
	minOriginSpan      = 30 * time.Second
	originSpanTimeouts = 2
	// unknownOriginRetryAfter is the Retry-After of a stream that is on no record: its record may be
	// under way, or at a control instance that did not answer.
	unknownOriginRetryAfter = 300 * time.Millisecond
)

// An OriginFinder finds what began a stream.
type OriginFinder interface {
	// Find returns what may continue the stream that the request with the hash began, at most
	// span ago, at a target of one of the services.
	Find(ctx context.Context, hash uint64, services []string, span time.Duration) origin.Decision
}

// A StartAsker asks targets which start of them is running.
type StartAsker interface {
	// Identification returns the question which start of the target runs at the other end of a
	// connection. It is meant for the incarnation, in Unix milliseconds.
	Identification(target string, incarnation int64) *exchange.Identification
}

// identification returns the question for the target's start, on the connection over which it gets a
// request whose stream may go on at another target, or nil. A start of which no heartbeat
// is known yet may run another version, and would begin or continue the stream all the same.
// Plain services state no start, and neither do targets whose heartbeats name none.
func (c *call) identification(t *route.Target) *exchange.Identification {
	if !c.resumable() || c.service.Engine == nil || t.Incarnation() == 0 {
		return nil
	}
	i := c.server.deps.Starts.Identification(t.Name(), t.Incarnation())
	i.Required = c.origin != (origin.Origin{})
	return i
}

// certainStart reports whether the response comes from the start of the target that this instance knows of,
// as far as targets of the service state their starts.
func (c *call) certainStart(t *route.Target, response *exchange.Response) bool {
	return c.identification(t) == nil || response.Identified()
}

// resumable reports whether the response is a stream that may go on at another target.
func (c *call) resumable() bool { return c.route.Resumable }

// fleet returns the targets that the request may be sent to: those of its service, or only those
// that may continue its stream, or begin it as control instances may already have on record.
func (c *call) fleet() *route.Fleet {
	o := c.origin
	if o == (origin.Origin{}) {
		bound, ok := c.recorded.Bound()
		if !ok {
			return c.server.deps.Fleets.Fleet(c.service.Name)
		}
		o = bound
	}
	return c.server.deps.Fleets.Continuing(o, time.Now())
}

// takeUp finds what began the stream that the caller takes up, if it takes up one, and restricts the
// request to it. It returns a refusal if that is unknown or does not serve any more.
func (c *call) takeUp() *failure {
	if !c.resumable() || c.info.LastEventID == "" {
		return nil
	}
	hash := origin.Hash(c.workspaceName(), c.info.Resumes)
	span := max(minOriginSpan, originSpanTimeouts*c.route.Timeout)
	decision := c.server.deps.OriginFinder.Find(c.ctx, hash, c.route.Services(), span)
	c.server.logTakenUp(c, decision)
	o, known := decision.Origin()
	if !known {
		f := refuse(http.StatusServiceUnavailable, "version_unknown", "it is not known which software version began the stream, and its rest may not fit; send the request again without the last event's id")
		if decision.Reason() != origin.Disputed || !decision.Conclusive() {
			return f.withRetryAfter(unknownOriginRetryAfter)
		}
		return f
	}
	service := c.configuration.Service(o.Service)
	if service == nil || !slices.Contains(c.route.Services(), o.Service) {
		return versionGone()
	}
	c.service, c.origin = service, o
	if len(c.fleet().DecodeTargets()) == 0 {
		if c.server.deps.Fleets.Runs(o) {
			return c.noTarget()
		}
		return versionGone()
	}
	return nil
}

// versionGone returns the refusal of a stream that no target can continue.
func versionGone() *failure {
	return refuse(http.StatusServiceUnavailable, "version_gone", "no target runs the software version that began the stream; send the request again without the last event's id")
}

// maySend records that the request is about to be sent to the target, which may begin its stream. It
// returns false if that would be other software than control instances may have on record.
func (c *call) maySend(t *route.Target) bool {
	return c.recorded.Sent(origin.Origin{Service: c.service.Name, Software: t.Software()}, t.Name(), t.Incarnation())
}

var errOtherSoftware = errors.New("the target may have started again with other software than began the stream")

// bind restricts the stream to the software of the target, whose first event is about to be
// forwarded. certain is true if it is certain which start of the target began it.
func (c *call) bind(t *route.Target, certain bool) error {
	if c.origin != (origin.Origin{}) {
		if c.origin.Software != t.Software() || !c.server.deps.Fleets.certainSoftware(t) {
			return errOtherSoftware
		}
		return nil
	}
	c.origin = origin.Origin{Service: c.service.Name, Software: t.Software()}
	c.began = t
	if !certain {
		c.uncertain = true
		c.recorded.Uncertain()
	}
	return nil
}

// mayContinue reports whether it is certain what began the stream. The target that began it may have
// turned out to have started again before.
func (c *call) mayContinue() bool {
	return !c.uncertain && (c.began == nil || c.server.deps.Fleets.certainSoftware(c.began))
}
