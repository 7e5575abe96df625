package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/route"
)

// incarnationOf returns the start of the target as the permits name it.
func incarnationOf(t *route.Target) string { return strconv.FormatInt(t.Incarnation(), 10) }

// RecordLimit records whether a response of the target names a rate limit. sent is when the
// request was sent, on clock.Now. That a limit has ended is taken from a success only, since a
// failure may not come from the target itself.
func (f *Fleets) RecordLimit(t *route.Target, status int, info ResponseInfo, sent time.Duration) {
	limit, changed := info.Limit, false
	switch {
	case limit.Invalid:
		f.logger.Log(event.TargetLimitInvalid, zap.String("target", t.Name()), zap.Int64("incarnation", t.Incarnation()))
	case limit.Named:
		changed = f.gate.Named(t.Name(), incarnationOf(t), limit.PerSecond)
	case info.ID != "" && status < http.StatusMultipleChoices:
		changed = f.gate.Unnamed(t.Name(), incarnationOf(t), sent)
	}
	if changed {
		// The time for which the target is held off was that of another limit.
		t.HoldOff(time.Time{})
		f.logger.Log(event.TargetLimited, zap.String("target", t.Name()), zap.Int64("incarnation", t.Incarnation()), zap.Bool("named", limit.Named), zap.Float64("per_second", limit.PerSecond))
	}
}

// Permit reports whether one request may be sent to the target now. If its rate limit is used
// up, it is not available for a while.
func (f *Fleets) Permit(ctx context.Context, t *route.Target) bool {
	decision := f.gate.Acquire(ctx, t.Name(), incarnationOf(t))
	if decision.Allowed() {
		return true
	}
	t.HoldOff(time.Now().Add(decision.Wait()))
	f.logger.Log(event.PermitRefused, zap.String("target", t.Name()), zap.Int64("incarnation", t.Incarnation()), zap.String("reason", string(decision.Reason())), zap.Int64("wait_ms", decision.Wait().Milliseconds()))
	return false
}

// limited reports whether the target has a rate limit.
func (f *Fleets) limited(t *route.Target) bool {
	_, limited := f.gate.PerSecond(t.Name(), incarnationOf(t))
	return limited
}

// endHoldOff makes a target available whose limit has ended.
func (f *Fleets) endHoldOff(t *route.Target, now time.Time) {
	if t.HeldOff(now) && !f.limited(t) {
		t.HoldOff(time.Time{})
	}
}

// endHoldOffOf makes the target available whose limit another instance reported.
func (f *Fleets) endHoldOffOf(l *peer.TargetLimit) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if k := f.targets[l.Target]; k != nil && incarnationOf(k.target) == l.Incarnation {
		k.target.HoldOff(time.Time{})
	}
}

// maxReturnAfter bounds the Retry-After of a service whose rate limits are used up.
const maxReturnAfter = 10 * time.Second

// ReturnAfter returns the Retry-After for a caller that is refused because all targets of the
// service have used up their limits or asked for a pause. wait is the time until the first of
// them accepts a request. Successive refusals are spaced by this instance's share of the limits.
func (f *Fleets) ReturnAfter(service string, wait time.Duration, now time.Time) time.Duration {
	perSecond := f.limitOf(service)
	if perSecond == 0 {
		return wait
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	at := now.Add(wait)
	if next := f.returns[service].Add(time.Duration(float64(f.entries.Load()) / perSecond * float64(time.Second))); next.After(at) {
		at = next
	}
	if latest := now.Add(max(wait, maxReturnAfter)); at.After(latest) {
		at = latest
	}
	f.returns[service] = at
	return at.Sub(now)
}

// limitOf returns the sum of the rate limits of the service's decode targets, or 0 if none of them
// has one.
func (f *Fleets) limitOf(service string) (perSecond float64) {
	for _, t := range f.Fleet(service).Targets() {
		if limit, limited := f.gate.PerSecond(t.Name(), incarnationOf(t)); limited && t.Decodes() {
			perSecond += limit
		}
	}
	return perSecond
}

// LimitReports returns the limits that this instance has observed since the last call, or all
// known limits.
func (f *Fleets) LimitReports(all bool) []*peer.TargetLimit { return f.gate.Reports(all) }

// MergeLimits records the limits that other instances know.
func (f *Fleets) MergeLimits(limits []*peer.TargetLimit) {
	for _, l := range f.gate.Merge(limits) {
		f.endHoldOffOf(l)
		f.logger.Log(event.LimitReported, zap.String("target", l.Target), zap.String("incarnation", l.Incarnation), zap.Bool("named", !l.Ended), zap.Float64("per_second", l.PerSecond), zap.Int64("age_ms", l.AgeMs))
	}
}
