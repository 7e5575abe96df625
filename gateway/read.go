package gateway

import (
	"context"
	"net/http"
	"time"

	"auburnscale/clock"
	"auburnscale/exchange"
	"auburnscale/route"
)

// runnerNow returns the runner, or another one if it left or went away while the
// prompt was read.
func (c *call) runnerNow(t *route.Target) *route.Target {
	fleet := c.server.parts.Fleets.Fleet(c.service.Name)
	if fleet.Has(t, time.Now()) {
		return t
	}
	return c.server.parts.Fleets.Placer().Direct(fleet, route.Prompt{}, c.avoid, time.Now()).Runner
}

// rejected counts a read that was rejected as an arrival; what follows is the
// request's first. Another reader is asked only if the budget bears it.
func (c *call) rejected() {
	if c.readers < maxReaders && c.server.parts.Budget.Spend(c.service.Name, clock.Now()) {
		return
	}
	c.server.parts.Budget.Note(c.service.Name, clock.Now())
	c.reread = true
}

// readElsewhere lets the placement's reader read the prompt. It returns no
// source if that failed; a prompt that is read twice costs time only.
func (c *call) readElsewhere(p route.Placement) string {
	t := p.Reader
	if c.reads > 0 && !c.server.parts.Budget.Spend(c.service.Name, clock.Now()) {
		c.reread = true
		return ""
	}
	c.readers++
	t.Begin(p.Work)
	began := time.Now()
	c.reader, c.unread = t.Name(), p.Work
	defer func() { t.Prefilled(p.Work); t.End(); c.readTime += time.Since(began) }()
	// A read may be repeated, so that a reader that is silent costs little.
	ctx, cancel := context.WithTimeout(c.ctx, max(leastReadWait, readWaitFactor*p.First))
	defer cancel()
	reply, err := c.server.parts.Dialer.Send(ctx, t.Address(), c.request(Dispatch{Target: t.Name(), PrefillOnly: true}))
	if err != nil {
		if !exchange.NotSent(err) {
			c.reads++
		}
		c.noteError(t, err)
		return ""
	}
	defer reply.Close()
	said := c.note(t, reply)
	if !said.NotRun {
		c.reads++
	}
	if reply.Status() != http.StatusOK || said.NotRun {
		c.server.parts.Fleets.Failed(c.service.Name, t, said.WrongTarget)
		t.Decline(time.Now())
		c.avoid = append(c.avoid, t.Name())
		c.rejected()
		return ""
	}
	body, err := reply.ReadAll(maxHandleBytes)
	if err != nil {
		c.noteError(t, err)
		return ""
	}
	handle, err := c.server.parts.Codec.DecodeHandle(body)
	if err != nil {
		c.noteError(t, err)
		return ""
	}
	t.Took()
	p.Learn(time.Since(began))
	c.server.parts.Fleets.AddPrefix(c.service.Name, t, c.prompt.Pieces)
	return c.server.parts.Codec.KVSource(t.Address(), handle)
}
