// Package plan computes what the control leader orders: how many targets of a
// service each failure domain should have, and which stage (prefill or decode)
// each engine should run.
//
// It holds these decisions as pure functions of the known state of the fleet, and
// a DemandPlan, which decides by the demand of a service and keeps its history. It
// must not send anything; the authority package does.
//
// # Usage
//
//	orders := plan.ScaleOrders(service, plan.CountTargets(rows), last, starting)
//	decision := demandPlan.Decide(now, plan.DemandInput{Service: service, Demand: demand, Counts: counts, Last: last})
//	changes := plan.StageChanges(rows)
package plan

import (
	"cmp"
	"math"
	"slices"

	"auburnscale/catalog"
	"auburnscale/peer"
)

// A Pool identifies the targets that one scale order covers: those of a service
// in a failure domain, either the reclaimable or the regular ones.
type Pool struct {
	Service       string
	FailureDomain string
	Reclaimable   bool
}

// A ScaleOrder represents how many targets a pool should have.
type ScaleOrder struct {
	Pool  Pool
	Count int
	// InitialCount is the number of regular targets that the failure domain had
	// before any were ordered.
	InitialCount int
}

const (
	// targetsPerInitial is the desired total number of targets per initial
	// target, as far as the service's maximum allows. It is generous because
	// reclaimable targets cost a fraction of regular ones, and a reclaim takes
	// all reclaimable targets of a failure domain at once.
	targetsPerInitial = 3.0
	// regularRatio is the number of regular targets per initial target while the
	// ordered reclaimable targets are available.
	regularRatio = 1.0
	// regularRatioAfterReclaim is the number of regular targets per initial
	// target while reclaimable targets cannot be had.
	regularRatioAfterReclaim = 1.3
)

// TargetCounts represents a service's targets in one failure domain. Regular and
// Reclaimable count those that are not draining.
type TargetCounts struct {
	Regular, Reclaimable int
	// Reclaiming is the number of reclaimable targets that are draining.
	Reclaiming int
}

// CountTargets returns the number of targets by failure domain. Targets whose
// heartbeats have stopped or that have deregistered are not counted.
func CountTargets(rows []*peer.TargetRow) map[string]TargetCounts {
	counts := map[string]TargetCounts{}
	for _, row := range rows {
		c := counts[row.Domain]
		switch {
		case row.Silent || row.State == peer.TargetRow_GONE:
		case row.State == peer.TargetRow_DRAINING:
			if row.Reclaimable {
				c.Reclaiming++
			}
		case row.Reclaimable:
			c.Reclaimable++
		default:
			c.Regular++
		}
		counts[row.Domain] = c
	}
	return counts
}

// ScaleOrders returns the orders that differ from those in last, at most one for
// each failure domain. A failure domain normally has many reclaimable and few
// regular targets; while the reclaimable ones are gone, it has more regular ones
// instead. counts is keyed by failure domain. starting reports whether targets
// ordered in a failure domain may still be starting. ScaleOrders returns nil for a
// service that cannot be scaled or whose reclaimable targets save nothing.
func ScaleOrders(s *catalog.Service, counts map[string]TargetCounts, last map[Pool]ScaleOrder, starting func(domain string) bool) []ScaleOrder {
	p := s.Scaling
	if !scalable(p) {
		return nil
	}
	var orders []ScaleOrder
	for domain, count := range counts {
		d := domainPlan{service: s.Name, domain: domain, minTargets: p.Min, maxTargets: p.Max, count: count, starting: starting(domain)}
		if o, ok := d.nextOrder(last); ok {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, compareOrders)
	return orders
}

// scalable reports whether targets can be ordered, and reclaimable ones save something.
func scalable(s *catalog.Scaling) bool {
	return s != nil && s.ReclaimablePrice > 0 && s.ReclaimablePrice < 1
}

func compareOrders(a, b ScaleOrder) int {
	return cmp.Or(cmp.Compare(a.Pool.Service, b.Pool.Service), cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain),
		cmp.Compare(a.Count, b.Count))
}

// A domainPlan represents the scaling of one service in one failure domain.
type domainPlan struct {
	service, domain        string
	minTargets, maxTargets int
	count                  TargetCounts
	// starting is true while ordered targets may still be starting.
	starting bool
}

func (d domainPlan) order(reclaimable bool, count, initialCount int) ScaleOrder {
	return ScaleOrder{Pool{d.service, d.domain, reclaimable}, count, initialCount}
}

// nextOrder returns the next order, and false if none is needed. maxTargets bounds
// regular and reclaimable targets together, so one count is lowered before the
// other is raised.
func (d domainPlan) nextOrder(last map[Pool]ScaleOrder) (ScaleOrder, bool) {
	lastReclaimable, known := last[Pool{d.service, d.domain, true}]
	if !known {
		first := min(d.maxTargets, int(targetsPerInitial*float64(d.count.Regular))) - d.count.Regular
		return d.order(true, first, d.count.Regular), first > 0
	}
	if _, ordered := last[Pool{d.service, d.domain, false}]; !ordered && d.count.Regular > lastReclaimable.InitialCount {
		// The first order was computed before all initial targets were known.
		first := min(d.maxTargets, int(targetsPerInitial*float64(d.count.Regular))) - d.count.Regular
		return d.order(true, max(first, lastReclaimable.Count), d.count.Regular), true
	}
	regularCount := lastReclaimable.InitialCount
	if lastRegular, ok := last[Pool{d.service, d.domain, false}]; ok {
		regularCount = lastRegular.Count
	}
	regular, reclaimable := d.desired(lastReclaimable, regularCount)
	switch {
	case reclaimable < lastReclaimable.Count:
		return d.order(true, reclaimable, lastReclaimable.InitialCount), true
	case regular < regularCount:
		return d.order(false, regular, lastReclaimable.InitialCount), true
	case regular > regularCount && regular+lastReclaimable.Count <= d.maxTargets:
		return d.order(false, regular, lastReclaimable.InitialCount), true
	case reclaimable > lastReclaimable.Count && reclaimable+max(regularCount, d.count.Regular) <= d.maxTargets:
		return d.order(true, reclaimable, lastReclaimable.InitialCount), true
	}
	return ScaleOrder{}, false
}

// desired returns how many targets of each kind there should be, given those that
// are running. It returns the ordered counts unchanged unless the reclaimable
// targets are either complete or lost. They are lost if fewer than half of those
// ordered are running, and either none is still starting or some are draining.
func (d domainPlan) desired(lastReclaimable ScaleOrder, regularCount int) (regular, reclaimable int) {
	initial := float64(lastReclaimable.InitialCount)
	total := min(d.maxTargets, int(targetsPerInitial*initial))
	regularKept := max(1, d.minTargets, int(math.Round(regularRatio*initial)))
	regularNeeded := min(d.maxTargets, int(math.Ceil(regularRatioAfterReclaim*initial)))
	reclaimableComplete := d.count.Reclaimable >= lastReclaimable.Count
	reclaimableLost := (!d.starting || d.count.Reclaiming > 0) && 2*d.count.Reclaimable < lastReclaimable.Count
	switch {
	case reclaimableComplete:
		return regularKept, max(0, total-regularKept)
	case reclaimableLost:
		return regularNeeded, max(1, min(total, d.maxTargets)-regularNeeded)
	}
	return regularCount, lastReclaimable.Count
}
