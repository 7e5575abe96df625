package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"auburnscale/origin"
	"auburnscale/route"
)

const (
	// minOriginSpan is the least time for which it must be known which software served before a
	// stream that is on no record goes on, and originSpanTimeouts the same in timeouts of the route.
	minOriginSpan      = 30 * time.Second
	originSpanTimeouts = 2
	// startTimeout bounds how long a target is asked for its start.
	startTimeout = 300 * time.Millisecond
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
	// Incarnation returns the start of the target that runs at the address now, or 0 if the
	// target states none.
	Incarnation(ctx context.Context, target, address string) (int64, error)
}

// needsStart reports whether the target must be asked for its start before it gets the request: if it
// is to continue a stream, or to begin one after a connection to it failed. A start that the target's
// heartbeats do not tell of yet may run another version.
func (c *call) needsStart(t *route.Target) bool {
	return c.origin != (origin.Origin{}) || c.resumable() && t.Doubtful()
}

// sameStart reports whether the target still runs the start that this instance knows of. One that
// started again under its id may run another version, and would continue the stream all the same. Plain
// services state no start, and neither do targets whose heartbeats name none.
func (c *call) sameStart(t *route.Target) bool {
	if c.service.Engine == nil || t.Incarnation() == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout)
	defer cancel()
	running, err := c.server.deps.Starts.Incarnation(ctx, t.Name(), t.Address())
	switch {
	case err != nil:
		c.recordError(t, err)
		return false
	case running != 0 && running != t.Incarnation():
		c.excluded = append(c.excluded, t.Name())
		c.server.logOtherStart(c, t, running)
		return false
	}
	t.SetDoubtful(false)
	return true
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
// forwarded.
func (c *call) bind(t *route.Target) error {
	if c.origin != (origin.Origin{}) {
		if c.origin.Software != t.Software() || !c.server.deps.Fleets.certainSoftware(t) {
			return errOtherSoftware
		}
		return nil
	}
	c.origin = origin.Origin{Service: c.service.Name, Software: t.Software()}
	c.began = t
	return nil
}

// mayContinue reports whether it is certain what began the stream. The target that began it may have
// turned out to have started again before.
func (c *call) mayContinue() bool {
	return c.began == nil || c.server.deps.Fleets.certainSoftware(c.began)
}
