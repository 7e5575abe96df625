package gateway

import "auburnscale/clock"

// notRepeatedReason returns why a request that may have run was not sent to another target; empty
// if it cannot have run.
func (c *call) notRepeatedReason() string {
	switch {
	case c.runs == 0:
		return ""
	case !c.route.RetrySafe():
		return "not_repeatable"
	case c.admission.Trial():
		return "trial"
	case c.runs >= c.route.MaxAttempts:
		return "attempts"
	case c.sends >= maxSends:
		return "sends"
	case !c.server.deps.Budget.Fits(c.service.Name, clock.Now()):
		return "retry_budget"
	}
	return "other"
}
