package caller

import (
	"context"
	"time"

	"auburnscale/route"
	"auburnscale/target"
)

// maxChoices bounds how often another target is chosen because the rate limit of the chosen one is
// used up.
const maxChoices = 8

// choose returns the target for the request that may be sent one now. A target whose rate limit
// is used up is held off, so that another one is chosen instead.
func (s *Server) choose(ctx context.Context, service *target.Service, r route.Request) route.Decision {
	for range maxChoices {
		decision := service.Choose(r, s.random())
		if decision.Target() == nil || s.deps.Registry.Permit(ctx, decision.Target()) {
			return decision
		}
	}
	return route.Decision{}
}

// returnAfter returns the time after which a caller is told to return that no target of the
// service can take: until the first limit allows a request, where limits are the reason.
func returnAfter(service *target.Service) time.Duration {
	if wait := service.PauseLeft(); wait > 0 {
		return wait
	}
	return time.Second
}
