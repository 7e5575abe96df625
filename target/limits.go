package target

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/engine"
	"auburnscale/event"
	"auburnscale/permit"
	"auburnscale/route"
)

// RecordResponse records whether a response of the target at the address names a rate limit.
// took is the time since the request was sent. That a limit has ended is taken from a success
// only.
func (r *Registry) RecordResponse(address string, header *fasthttp.ResponseHeader, took time.Duration) {
	text, changed, perSecond := header.Peek(engine.RateLimitHeader), false, 0.0
	if text == nil && r.gate.Limited() == 0 {
		return
	}
	name, incarnation := r.identify(address)
	if incarnation == "" {
		return
	}
	switch {
	case text != nil:
		var ok bool
		if perSecond, ok = permit.ParseRate(string(text)); !ok {
			r.logger.Log(event.TargetLimitInvalid, zap.String("target", name), zap.String("incarnation", incarnation))
			return
		}
		changed = r.gate.Named(name, incarnation, perSecond)
	case header.StatusCode() < fasthttp.StatusMultipleChoices:
		changed = r.gate.Unnamed(name, incarnation, clock.Now()-took)
	}
	if changed {
		r.endHoldOff(name)
		r.logger.Log(event.TargetLimited, zap.String("target", name), zap.String("incarnation", incarnation), zap.Bool("named", text != nil), zap.Float64("per_second", perSecond))
	}
}

// identify returns the name and the incarnation of the target at the address, or empty strings if
// there is none or it has reported no incarnation yet.
func (r *Registry) identify(address string) (name, incarnation string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.probes {
		if p.spec.Address == address {
			return p.spec.Name, p.lastLoad().GetIncarnation()
		}
	}
	return "", ""
}

// endHoldOff makes the target available: the time for which it is held off was that of another
// limit.
func (r *Registry) endHoldOff(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.probes[name]; p != nil {
		p.target.HoldOff(time.Time{})
	}
}

// Permit reports whether one request may be sent to the target now. If its rate limit is used
// up, it is not chosen for a while. Each request needs a permit, right before it is sent.
func (r *Registry) Permit(ctx context.Context, t *route.Target) bool {
	incarnation := r.Incarnation(t.Name())
	decision := r.gate.Acquire(ctx, t.Name(), incarnation)
	if decision.Allowed() {
		return true
	}
	t.HoldOff(time.Now().Add(decision.Wait()))
	r.logger.Log(event.PermitRefused, zap.String("target", t.Name()), zap.String("incarnation", incarnation), zap.String("reason", string(decision.Reason())), zap.Int64("wait_ms", decision.Wait().Milliseconds()))
	return false
}
