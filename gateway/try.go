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

const (
	// maxAnswerBytes bounds an answer that is read whole before it goes on.
	maxAnswerBytes = 16 << 20
	// maxHandleBytes bounds the answer to a request that was only read.
	maxHandleBytes = 64 << 10
)

const (
	// leastReadWait and readWaitFactor bound the wait for a prompt to be read
	// elsewhere, by the estimate. Beyond them the reader is taken for lost.
	leastReadWait  = 1500 * time.Millisecond
	readWaitFactor = 6
	// leastTryWait and tryWaitObjectives bound the wait for an answer that
	// another target may give as well.
	leastTryWait      = 300 * time.Millisecond
	tryWaitObjectives = 3
)

// maxOffers bounds how many runners are offered the cache of a read prompt. One
// that declines may have lost it.
const maxOffers = 2

// try sends the request once by the placement. It returns true if the caller
// has its answer, a failure if that is final, and neither if another target can
// be tried.
func (c *call) try(p route.Placement) (bool, *failure) {
	if p.PrefillTarget != nil && c.source == "" {
		c.source = c.readElsewhere(p)
		if c.ctx.Err() != nil {
			return false, c.overdue()
		}
		if c.source == "" {
			// The prompt could not be read there; place it anew.
			c.reread = c.reread || c.readers >= maxReaders
			return false, nil
		}
		if p.DecodeTarget = c.runnerNow(p.DecodeTarget); p.DecodeTarget == nil {
			return false, nil
		}
	}
	work, source := p.PrefillTokens, c.source
	if source != "" {
		work = 0
		c.offers++
	}
	p.DecodeTarget.Begin(work)
	held := work
	defer func() { p.DecodeTarget.PrefillDone(held); p.DecodeTarget.End() }()
	sent := time.Now()
	began := func() {
		p.DecodeTarget.PrefillDone(held)
		held = 0
		if source == "" {
			p.Observe(time.Since(sent))
		}
		// A cache that was taken over stays as well as one that was read.
		c.server.parts.Fleets.Holds(c.service.Name, p.DecodeTarget, c.prompt.Blocks)
	}
	return c.send(p.DecodeTarget, Dispatch{Target: p.DecodeTarget.Name(), Source: source, LastEvent: c.ask.LastEvent}, began)
}

// noteError takes a target out after it did not answer.
func (c *call) noteError(t *route.Target, err error) {
	c.avoid = append(c.avoid, t.Name())
	if c.ctx.Err() != nil {
		return
	}
	if exchange.NotSent(err) {
		t.RecordDecline(time.Now())
	}
	if exchange.Unanswered(err) {
		c.server.parts.Fleets.Unanswered(t, time.Now())
	}
	c.server.parts.Fleets.Failed(c.service.Name, t, false)
	c.server.logBroken(c, t, err)
}

// note takes what the answer says of the target.
func (c *call) note(t *route.Target, reply *exchange.Reply) Reply {
	said := c.server.parts.Codec.Reply(reply.Status(), reply.Header())
	c.server.parts.Fleets.Answered(t)
	if said.HasLoad {
		t.SetReport(route.Load{Running: said.Load.Running, Waiting: said.Load.Waiting}, time.Now())
	}
	return said
}

// send passes the request to the target that makes the answer.
func (c *call) send(t *route.Target, d Dispatch, began func()) (bool, *failure) {
	c.target = t.Name()
	if c.sends > 0 && !c.repeat() {
		return false, c.noTarget()
	}
	ctx, cancel := c.tryContext()
	defer cancel()
	reply, err := c.server.parts.Dialer.Send(ctx, t.Address(), c.request(d))
	if err != nil {
		return c.sendFailed(t, err)
	}
	defer reply.Close()
	c.sends++
	said := c.note(t, reply)
	if said.NotRun {
		return c.notRun(t, said, d.Source != "")
	}
	c.runs++
	c.source, c.reread = "", true
	t.RecordAccept()
	if reply.Status() >= http.StatusInternalServerError {
		return c.targetFailed(t, reply, said)
	}
	if !said.Stamped {
		return false, c.broken(t, errUnstamped)
	}
	if c.route.RequestKind == catalog.Streaming && reply.Status() == http.StatusOK {
		return c.stream(t, reply, began)
	}
	return c.deliver(t, reply)
}

// tryContext bounds one try of a request that another target may run as well,
// as long as there is another try.
func (c *call) tryContext() (context.Context, context.CancelFunc) {
	if c.route.RequestKind != catalog.Idempotent || c.runs+1 >= c.route.MaxAttempts {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, max(leastTryWait, tryWaitObjectives*c.route.LatencyObjective))
}

func (c *call) sendFailed(t *route.Target, err error) (bool, *failure) {
	if exchange.NotSent(err) {
		c.noteError(t, err)
		return false, nil
	}
	c.sends++
	c.runs++
	return false, c.broken(t, err)
}

// notRun handles a target's statement that it did not run the request.
func (c *call) notRun(t *route.Target, said Reply, handedOver bool) (bool, *failure) {
	c.server.logNotRun(c, t, said)
	c.avoid = append(c.avoid, t.Name())
	switch {
	case said.Other:
		c.server.parts.Fleets.Failed(c.service.Name, t, true)
	case handedOver && c.offers < maxOffers:
		// Perhaps only the cache could not be had.
	case handedOver:
		c.source, c.reread = "", true
	default:
		t.RecordDecline(time.Now())
	}
	return false, nil
}

// broken handles an exchange that ended after the request may have run.
func (c *call) broken(t *route.Target, err error) *failure {
	if c.isCaller(err) {
		return c.overdue()
	}
	if c.ctx.Err() != nil {
		return c.overdue()
	}
	c.noteError(t, err)
	c.server.parts.Suspects.Note(c.fingerprint, clock.Now())
	if c.mayRepeat() {
		return nil
	}
	if errors.Is(err, exchange.ErrCrossed) {
		return fail(http.StatusBadGateway, "target_failed", "the target answered another request")
	}
	return fail(http.StatusBadGateway, "target_failed", "the target broke off; the request may have run")
}

// targetFailed handles a target's own failure, which counts as a run.
func (c *call) targetFailed(t *route.Target, reply *exchange.Reply, said Reply) (bool, *failure) {
	body, err := reply.ReadAll(maxAnswerBytes)
	if err != nil {
		return false, c.broken(t, err)
	}
	if !said.Stamped {
		c.noteError(t, errUnstamped)
		if c.mayRepeat() {
			return false, nil
		}
		return false, fail(http.StatusBadGateway, "target_failed", "something else than a target answered")
	}
	c.count()
	c.server.parts.Fleets.Failed(c.service.Name, t, false)
	c.last = &keptReply{status: reply.Status(), header: reply.Header(), body: body}
	if c.mayRepeat() {
		c.avoid = append(c.avoid, t.Name())
		return false, nil
	}
	c.last.write(c)
	return true, nil
}

var errUnstamped = errors.New("the answer bears no sign of a target")

// deliver passes on an answer in one piece, whole or not at all.
func (c *call) deliver(t *route.Target, reply *exchange.Reply) (bool, *failure) {
	body, err := reply.ReadAll(maxAnswerBytes)
	if err != nil {
		return false, c.broken(t, err)
	}
	c.count()
	c.server.parts.Fleets.Succeeded(c.service.Name, t)
	c.server.parts.Suspects.Clear(c.fingerprint)
	kept := &keptReply{status: reply.Status(), header: reply.Header(), body: body}
	kept.write(c)
	return true, nil
}
