package gateway

import (
	"context"
	"net/http"
	"time"

	"auburnscale/clock"
	"auburnscale/exchange"
	"auburnscale/retry"
	"auburnscale/route"
)

// currentDecodeTarget returns the chosen decode target, or another one if the chosen
// one left the fleet or became unavailable during the prefill. It returns nil if there
// is none.
func (c *call) currentDecodeTarget(t *route.Target) *route.Target {
	fleet := c.fleet()
	if fleet.Available(t, time.Now()) {
		return t
	}
	return c.server.deps.Fleets.Placer().Direct(fleet, route.Prompt{}, c.excluded, time.Now()).DecodeTarget
}

// prefillRejected charges a rejected prefill to the retry budget, since the rejected
// request reached the service. If the budget does not allow another prefill target,
// the decode target prefills the prompt itself; the rejected prefill is counted as a
// retry all the same.
func (c *call) prefillRejected() {
	if c.prefillAttempts < maxPrefillAttempts && c.server.deps.Budget.TrySpend(c.service.Name, clock.Now()) {
		return
	}
	c.server.deps.Budget.CountRetry(c.service.Name, clock.Now())
	c.localPrefill = true
}

// prefillElsewhere lets the placement's prefill target prefill the prompt. It
// returns the KV source, or "" on failure. A prompt may be prefilled twice: that
// only costs time.
func (c *call) prefillElsewhere(p route.Placement) string {
	t := p.PrefillTarget
	if !c.permitted(t) {
		return ""
	}
	if c.prefillRuns > 0 && !c.server.deps.Budget.TrySpend(c.service.Name, clock.Now()) {
		c.localPrefill = true
		return ""
	}
	c.prefillAttempts++
	t.Begin(p.PrefillTokens)
	job := p.StartPrefill()
	defer job.End()
	began := time.Now()
	c.prefillTarget, c.prefillTokens = t.Name(), p.PrefillTokens
	defer func() { t.PrefillDone(p.PrefillTokens); t.End(); c.prefillTime += time.Since(began) }()
	// A prefill may be retried, so the wait for an unresponsive target is short.
	ctx, cancel := context.WithTimeout(c.ctx, max(minPrefillTimeout, prefillTimeoutFactor*p.FirstEvent))
	defer cancel()
	ctx, c.wait = c.beginWait(ctx, t, retry.PrefillStage, p.FirstEvent)
	defer c.wait.end()
	c.server.countSend(t, sendPrefill)
	sent := clock.Now()
	response, err := c.server.deps.Dialer.Send(ctx, t.Address(), c.request(t, Dispatch{Target: t.Name(), PrefillOnly: true}))
	if err != nil {
		if !exchange.NotSent(err) {
			c.prefillRuns++
		}
		c.recordError(t, err)
		return ""
	}
	defer response.Close()
	info := c.recordResponse(t, response, sent)
	if !info.NotRun {
		c.prefillRuns++
	}
	if response.Status() != http.StatusOK || info.NotRun {
		if info.RetryAfter <= 0 {
			c.server.deps.Fleets.Failed(c.service.Name, t, info.WrongTarget)
			t.RecordDecline(time.Now())
		}
		c.excluded = append(c.excluded, t.Name())
		c.prefillRejected()
		return ""
	}
	body, err := response.ReadAll(maxHandleBytes)
	if err != nil {
		c.recordError(t, err)
		return ""
	}
	handle, err := c.server.deps.Codec.DecodeHandle(body)
	if err != nil {
		c.recordError(t, err)
		return ""
	}
	c.wait.responded()
	t.RecordAccept()
	p.Observe(time.Since(began), time.Now())
	c.server.deps.Fleets.AddPrefix(c.service.Name, t, c.prompt.Blocks)
	return c.server.deps.Codec.KVSource(t.Address(), handle)
}
