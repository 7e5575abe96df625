// Package permit keeps targets that name a rate limit from getting more requests than that
// from all instances together.
//
// The control leader issues a permit for each request to such a target, from one token bucket
// for each start of a target ([Issuer]). An instance requests one right before it sends the
// request ([Gate]); if none is issued, it sends nothing to the target for the time in the response.
// A [Book] keeps the observed limits with their ages, which instances exchange.
//
// Quotas of workspaces use one token bucket for each workspace at the control leader ([Tokens]). An
// entry instance takes what a request costs right before it sends it ([Quotas]), and uses a share
// of the rate while no leader answers.
//
// The package owns the observed limits and the decision whether a request may be sent. It
// does not choose targets or send their requests.
//
// # Usage
//
//	gate := permit.NewGate(clock.Now, permit.NewClient(incarnation, addresses, dialer))
//	gate.Named("t1", incarnation, 1.7)
//	if d := gate.Acquire(ctx, "t1", incarnation); !d.Allowed() { holdOff(d.Wait()) }
//
//	issuer := permit.NewIssuer(leadership, book, clock.Now)
//	response := issuer.Issue(request)
//
//	quotas := permit.NewQuotas(incarnation, client, clock.Now, rand.Float64)
//	go quotas.Run(ctx)
//	if d := quotas.Take(ctx, "guild", limit, cost); !d.Allowed() { refuse(d.Wait()) }
package permit

import "time"

const (
	// minPerSecond is the least rate at which requests are sent to a target, whatever limit
	// it names: only a response tells that the limit has ended.
	minPerSecond = 0.1
	// burstRequests and burstTime bound the tokens of a target that sent no requests for a
	// while: burstRequests and what the limit allows in burstTime.
	burstRequests = 2
	burstTime     = 500 * time.Millisecond
	// minWait bounds the time after which an instance requests another permit.
	minWait = 20 * time.Millisecond
)

// burst returns the largest number of tokens of a target with the limit.
func burst(perSecond float64) float64 { return burstRequests + perSecond*burstTime.Seconds() }

// A key identifies one start of a target.
type key struct {
	target      string
	incarnation string
}
