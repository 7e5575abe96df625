package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"auburnscale/catalog"
)

const (
	// startRatio is the number of targets per initial one that are ordered while the demand is not known. The loss of
	// one of three failure domains then leaves as many as there were.
	startRatio = 1.5
	// warmUp is the history of demand from which the first orders are computed.
	warmUp = 3 * time.Second
	// releaseHistory is the history from which targets are released. A new leader thus releases nothing
	// in its first seconds.
	releaseHistory = 5 * time.Second
	// releaseHold is how long there must be too many regular targets before some are released, and
	// reclaimableHold the same for all targets. A release and an order that takes it back cost as much as one
	// regular target for ten seconds, or a reclaimable one for nearly a minute.
	releaseHold     = 6 * time.Second
	reclaimableHold = 15 * time.Second
	// releaseInterval is the least time between two releases of a service, domainReleaseInterval of those in
	// one failure domain: streams on released targets drain for seconds, and their cached prefixes are
	// filled again elsewhere.
	releaseInterval       = 2 * time.Second
	domainReleaseInterval = 6 * time.Second
	// releaseDivisor bounds a release to that part of the failure domain's targets.
	releaseDivisor = 3
	// missingHold is how long targets that a reclaim or the loss of a failure domain took are expected back. Meanwhile only
	// what prevents a backlog is replaced: a start takes nearly as long, and regular targets cost five times as much.
	missingHold = 12 * time.Second
	// regularExcess and totalExcess are the numbers of ordered targets in relation to what is to be ordered
	// from which there are too many. The peaks of half a minute differ by a tenth by chance, and targets are
	// ordered with orderMargin; a narrower band lets orders follow that.
	regularExcess = 1.25
	totalExcess   = 1.3
	// regularShortage is the number of regular targets in relation to the desired one below which regular
	// targets are ordered, and not only reclaimable ones.
	regularShortage = 0.8
	// minStepShare is the least change of a failure domain's targets, as a share of them. An order costs as
	// much as two to three requests.
	minStepShare = 0.1
	// orderTime is the time from a decision until the platform has the order.
	orderTime = time.Second
)

// A DemandInput holds what a demand plan decides by.
type DemandInput struct {
	Service    *catalog.Service
	Throughput Throughput
	// Counts is keyed by failure domain, Last by pool.
	Counts map[string]TargetCounts
	Last   map[Pool]ScaleOrder
	// Starting reports whether targets ordered in a failure domain may still be starting.
	Starting func(domain string) bool
	// Demand is nil if there is no fresh report of it.
	Demand *Demand
	// Term is the term of the control leader. A new leader begins without a history.
	Term uint64
}

// A DemandDecision represents the orders by demand at one time, and what they were derived from.
type DemandDecision struct {
	Orders  []ScaleOrder
	Outlook Outlook
	Need    Need
	// Expected is the number of targets once those have started that were ordered and can be had, Running
	// that of those which run.
	Expected, Running int
	// Missing lists the failure domains whose reclaimable targets cannot be had or that are lost.
	Missing []string
}

// A DemandPlan decides how many targets of one service to order by its demand. It keeps the history of
// the demand. It must not be used concurrently.
type DemandPlan struct {
	forecast forecast
	term     uint64
	// starting is true if this leader gave the first orders, before any demand was known.
	starting bool
	// unavailable and lost hold the failure domains without their reclaimable targets, or without all.
	unavailable, lost map[string]bool
	// seen is the largest number of regular targets seen in each failure domain.
	seen map[string]int
	// regularExcess and totalExcess hold if there are too many regular targets, or too many targets.
	regularExcess, totalExcess condition
	// missing holds while targets are missing that are expected back.
	missing condition
	// releasedAt is when targets were last released, if released is true. releases holds the same by failure
	// domain.
	released   bool
	releasedAt time.Duration
	releases   map[string]time.Duration
}

// NewDemandPlan returns a plan without a history.
func NewDemandPlan() *DemandPlan {
	return &DemandPlan{unavailable: map[string]bool{}, lost: map[string]bool{}, seen: map[string]int{}, releases: map[string]time.Duration{}}
}

// Decide returns the orders that differ from the last ones, at most one for each failure domain. Targets
// are ordered at once when those expected are too few for the demand of the last tens of seconds, with a
// margin so that growing demand causes few orders, and
// released when there have been too many for some seconds, while what runs carries the demand also
// without any one failure domain. It returns no orders without fresh demand, and releases nothing while
// the demand does not cover all live entry instances.
func (p *DemandPlan) Decide(now time.Duration, in DemandInput) DemandDecision {
	if in.Term != p.term {
		*p = *NewDemandPlan()
		p.term = in.Term
	}
	scaling := in.Service.Scaling
	if in.Demand == nil || !scalable(scaling) {
		p.regularExcess.holds, p.totalExcess.holds = false, false
		if scalable(scaling) && len(p.forecast.samples) == 0 {
			return DemandDecision{Orders: p.startOrders(in)}
		}
		return DemandDecision{}
	}
	if len(p.forecast.samples) == 0 {
		p.forecast.ongoing = len(in.Last) > 0
	}
	p.forecast.observe(now, *in.Demand)
	history := p.forecast.history(now)
	domains := p.domains(in, history)
	outlook := p.forecast.outlook(now, scaling.StartupTime+orderTime)
	initial, usable := 0, 0
	for _, d := range domains {
		initial += d.initial
		if !d.lost {
			usable++
		}
	}
	decision := DemandDecision{Outlook: outlook, Need: in.Throughput.need(outlook, usable, initial)}
	for _, d := range domains {
		decision.Expected += d.expected()
		decision.Running += d.running()
		if d.lost || d.unavailable {
			decision.Missing = append(decision.Missing, d.name)
		}
	}
	if history < warmUp {
		return decision
	}
	allocate(domains, decision.Need.Total)
	p.trackExcess(now, domains, decision, in.Demand.Complete)
	required := float64(decision.Need.Total)
	p.missing.set(now, len(decision.Missing) > 0)
	if p.missing.holds && !p.missing.heldFor(now, missingHold) {
		required = min(required, orderMargin*decision.Need.Reduced)
		allocate(domains, int(math.Ceil(required)))
	}
	switch {
	case float64(decision.Expected)*orderMargin < required:
		allocate(domains, int(math.Ceil(orderMargin*required)))
		decision.Orders = raises(in.Service.Name, domains, true)
	case p.exchangeDue(now, domains, in.Demand.Complete):
		decision.Orders = raises(in.Service.Name, domains, false)
	}
	if len(decision.Orders) == 0 && p.releaseDue(now, history) {
		decision.Orders = p.release(now, in.Service, domains, decision.Need)
	}
	slices.SortFunc(decision.Orders, compareOrders)
	return decision
}

// startOrders returns the orders while no demand has been seen: reclaimable targets first, and once they run, regular
// ones are released. A leader that finds orders of another one does not know whether there was demand, and waits for it.
func (p *DemandPlan) startOrders(in DemandInput) []ScaleOrder {
	p.starting = p.starting || len(in.Last) == 0
	if !p.starting {
		return nil
	}
	domains := p.domains(in, 0)
	initial := 0
	for _, d := range domains {
		initial += d.initial
	}
	allocate(domains, int(math.Ceil(startRatio*float64(initial))))
	orders := raises(in.Service.Name, domains, false)
	for _, d := range domains {
		if len(orders) > 0 || d.counts.Reclaimable < d.reclaimable {
			return orders
		}
	}
	for _, d := range domains {
		if d.regular > d.desiredRegular {
			orders = append(orders, domainPlan{service: in.Service.Name, domain: d.name}.order(false, d.desiredRegular, d.initial))
		}
	}
	return orders
}

// domains returns the state of the failure domains that have targets or orders, by name.
func (p *DemandPlan) domains(in DemandInput, history time.Duration) []*domainState {
	names := map[string]bool{}
	for name := range in.Counts {
		names[name] = true
	}
	for pool := range in.Last {
		names[pool.FailureDomain] = true
	}
	var list []*domainState
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d := &domainState{name: name, price: 1, max: in.Service.Scaling.Max, minimum: in.Service.Scaling.Min, counts: in.Counts[name], starting: in.Starting(name)}
		if price := in.Service.Scaling.DomainPrices[name]; price > 0 && !math.IsInf(price, 0) {
			d.price = price
		}
		regular, regularKnown := in.Last[Pool{in.Service.Name, name, false}]
		reclaimable, reclaimableKnown := in.Last[Pool{in.Service.Name, name, true}]
		d.regularKnown, d.reclaimableKnown = regularKnown, reclaimableKnown
		d.reclaimable = reclaimable.Count
		switch {
		case regularKnown:
			d.regular, d.initial = regular.Count, max(regular.InitialCount, reclaimable.InitialCount)
		case reclaimableKnown:
			// Initial targets that announced themselves after the first order count as well.
			p.seen[name] = max(p.seen[name], d.counts.Regular)
			d.regular = max(reclaimable.InitialCount, p.seen[name])
			d.initial = d.regular
		default:
			// Targets that are silent for a while still run up cost and come back.
			p.seen[name] = max(p.seen[name], d.counts.Regular)
			d.regular, d.initial = p.seen[name], p.seen[name]
		}
		p.trackLoss(d, history)
		list = append(list, d)
	}
	return list
}

// trackLoss records whether the failure domain, or its reclaimable targets, are lost: fewer than half
// of those ordered run, although none is starting or while some are draining. They stay lost until half
// run again.
func (p *DemandPlan) trackLoss(d *domainState, history time.Duration) {
	settled := !d.starting && history > releaseHistory
	few := 2*d.counts.Reclaimable < d.reclaimable
	p.unavailable[d.name] = few && (p.unavailable[d.name] || settled || d.counts.Reclaiming > 0)
	few = 2*d.running() < d.ordered() && 2*d.counts.Regular < d.regular
	p.lost[d.name] = few && (p.lost[d.name] || settled)
	d.unavailable, d.lost = p.unavailable[d.name], p.lost[d.name]
}

// trackExcess records since when there are too many targets, or too many regular ones.
func (p *DemandPlan) trackExcess(now time.Duration, domains []*domainState, decision DemandDecision, complete bool) {
	ordered, regular, desiredRegular := 0, 0, 0
	for _, d := range domains {
		ordered += d.ordered()
		regular += d.regular
		desiredRegular += d.desiredRegular
	}
	calm := complete && len(decision.Missing) == 0
	p.regularExcess.set(now, calm && float64(regular) > regularExcess*float64(desiredRegular)+1)
	p.totalExcess.set(now, calm && float64(ordered) > totalExcess*float64(decision.Need.Total))
}

// A condition is whether something holds, and since when.
type condition struct {
	holds bool
	since time.Duration
}

func (c *condition) set(now time.Duration, holds bool) {
	if holds && !c.holds {
		c.since = now
	}
	c.holds = holds
}

// heldFor reports whether the condition has held for the time.
func (c *condition) heldFor(now, hold time.Duration) bool { return c.holds && now-c.since >= hold }

// exchangeDue reports whether reclaimable targets should be ordered to take the place of regular ones: at
// once if none has been ordered, and otherwise if that would have been so for a while.
func (p *DemandPlan) exchangeDue(now time.Duration, domains []*domainState, complete bool) bool {
	if !p.regularExcess.holds || !complete {
		return false
	}
	first := !slices.ContainsFunc(domains, func(d *domainState) bool { return d.reclaimableKnown || d.regularKnown })
	return first || p.regularExcess.heldFor(now, releaseHold)
}

// raises returns the orders that raise the domains to their desired numbers as far as the maximum allows,
// which bounds both kinds together. Small steps are left out. A domain whose reclaimable targets must make room for regular
// ones is lowered first. Without regular set it raises only reclaimable targets.
func raises(service string, domains []*domainState, regular bool) []ScaleOrder {
	var orders []ScaleOrder
	ordered, desired := 0, 0
	for _, d := range domains {
		ordered, desired = ordered+d.regular, desired+d.desiredRegular
	}
	short := float64(ordered) < regularShortage*float64(desired)
	for _, d := range domains {
		if d.lost {
			continue
		}
		plan := domainPlan{service: service, domain: d.name}
		wantedRegular := min(d.desiredRegular, d.max-d.reclaimable)
		wantedReclaimable := min(d.desiredReclaimable, d.max-max(d.regular, d.counts.Regular))
		switch {
		case regular && d.unavailable && d.desiredReclaimable < d.reclaimable && d.desiredRegular > d.regular:
			orders = append(orders, plan.order(true, d.desiredReclaimable, d.initial))
		case !d.unavailable && wantedReclaimable-d.reclaimable >= minStep(d):
			orders = append(orders, plan.order(true, wantedReclaimable, d.initial))
		case regular && (short || d.unavailable) && wantedRegular-d.regular >= minStep(d):
			orders = append(orders, plan.order(false, wantedRegular, d.initial))
		}
	}
	return orders
}

func (p *DemandPlan) releaseDue(now, history time.Duration) bool {
	return history >= releaseHistory && (!p.released || now-p.releasedAt >= releaseInterval)
}

// A surplus is a number of targets of one pool that are not needed.
type surplus struct {
	domain      *domainState
	reclaimable bool
	count       int
	saving      float64
}

// release returns the order that releases the most expensive surplus of one failure domain, if the other
// targets that run carry the demand.
func (p *DemandPlan) release(now time.Duration, service *catalog.Service, domains []*domainState, n Need) []ScaleOrder {
	for _, s := range p.surpluses(now, domains, service.Scaling.ReclaimablePrice) {
		d := s.domain
		most := min(s.count, max(1, (d.ordered()+releaseDivisor-1)/releaseDivisor))
		count := min(most, spareTargets(domains, d, n), d.ordered()-max(1, d.minimum))
		if count < min(most, minStep(d)) || count < 1 {
			continue
		}
		p.released, p.releasedAt, p.releases[d.name] = true, now, now
		ordered := d.regular
		if s.reclaimable {
			ordered = d.reclaimable
		}
		return []ScaleOrder{domainPlan{service: service.Name, domain: d.name}.order(s.reclaimable, ordered-count, d.initial)}
	}
	return nil
}

// minStep returns the least number of the domain's targets that one order changes.
func minStep(d *domainState) int {
	return max(1, int(math.Ceil(minStepShare*float64(d.ordered()))))
}

// surpluses returns what may be released now, that with the highest saving first.
func (p *DemandPlan) surpluses(now time.Duration, domains []*domainState, reclaimablePrice float64) []surplus {
	var list []surplus
	for _, d := range domains {
		at, before := p.releases[d.name]
		if d.lost || d.unavailable || before && now-at < domainReleaseInterval {
			continue
		}
		if count := d.regular - d.desiredRegular; count >= minStep(d) && p.regularExcess.heldFor(now, releaseHold) {
			list = append(list, surplus{d, false, count, float64(count) * d.price})
		}
		if count := d.reclaimable - d.desiredReclaimable; count >= minStep(d) && p.totalExcess.heldFor(now, reclaimableHold) {
			list = append(list, surplus{d, true, count, float64(count) * d.price * reclaimablePrice})
		}
	}
	slices.SortStableFunc(list, func(a, b surplus) int { return cmp.Compare(b.saving, a.saving) })
	return list
}

// spareTargets returns how many of the domain's targets can be released so that those which run then are
// enough for the steady need, and without any one domain for the reduced need.
func spareTargets(domains []*domainState, from *domainState, n Need) int {
	running := 0
	for _, d := range domains {
		running += d.running()
	}
	spare := running - int(math.Ceil(float64(n.Total)/orderMargin))
	for _, d := range domains {
		if d != from && len(domains) > 1 {
			spare = min(spare, running-d.running()-int(math.Ceil(n.Reduced)))
		}
	}
	return spare
}
