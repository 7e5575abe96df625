// Package plan decides what the control leader orders: how many targets of a
// service each failure domain should have, and which part of a request each
// engine does.
//
// It owns these decisions as pure functions over what is known of the fleet. It
// must not send anything; the authority package does.
//
// # Usage
//
//	orders := plan.Purchase(service, plan.CountTargets(rows), last, starting)
//	changes := plan.Stages(rows)
package plan

import (
	"cmp"
	"math"
	"slices"

	"auburnscale/catalog"
	"auburnscale/peer"
)

// A Subject represents what one purchase order is about.
type Pool struct {
	Service       string
	FailureDomain string
	Reclaimable   bool
}

// An Order represents how many targets a subject should have.
type ScaleOrder struct {
	Pool Pool
	Count   int
	// Base is the number of targets that the failure domain had at first.
	InitialCount int
}

const (
	// spare is how many targets are wanted for each one present at first, if so
	// many can be ordered. Reclaimable ones cost a fraction, and a reclaim takes
	// a whole failure domain of them at a time.
	spare = 3.0
	// keepShare is the part of the first targets that is kept when reclaimable
	// ones serve beside them.
	keepShare = 1.0
	// needShare is the part of the first targets that is wanted while
	// reclaimable ones are not to be had.
	needShare = 1.3
)

// A Count represents the ready targets of a service in a failure domain.
type TargetCounts struct {
	Regular, Reclaimable int
	// Reclaimed is the number of reclaimable targets that are leaving.
	Reclaiming int
}

// CountTargets returns the targets that have been heard lately, by failure
// domain.
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

// Purchase returns the orders that differ from the last ones given, by subject.
// A failure domain has many reclaimable targets and few others, or, while the
// reclaimable ones are gone, enough others. starting tells whether ordered ones
// may still be on their way.
func ScaleOrders(s *catalog.Service, counts map[string]TargetCounts, last map[Pool]ScaleOrder, starting func(domain string) bool) []ScaleOrder {
	p := s.Purchase
	if p == nil || p.ReclaimablePrice <= 0 || p.ReclaimablePrice >= 1 {
		return nil
	}
	var orders []ScaleOrder
	for domain, count := range counts {
		d := domainPlan{service: s.Name, domain: domain, least: p.Min, most: p.Max, count: count, starting: starting(domain)}
		if o, ok := d.next(last); ok {
			orders = append(orders, o)
		}
	}
	slices.SortFunc(orders, compareOrders)
	return orders
}

func compareOrders(a, b ScaleOrder) int {
	return cmp.Or(cmp.Compare(a.Pool.Service, b.Pool.Service), cmp.Compare(a.Pool.FailureDomain, b.Pool.FailureDomain),
		cmp.Compare(a.Count, b.Count))
}

// A domainPlan represents the purchase of one service in one failure domain.
type domainPlan struct {
	service, domain string
	least, most     int
	count           TargetCounts
	// starting is true while ordered targets may still be on their way.
	starting bool
}

func (d domainPlan) order(reclaimable bool, count, base int) ScaleOrder {
	return ScaleOrder{Pool{d.service, d.domain, reclaimable}, count, base}
}

// next returns the next order. The bound holds for both kinds together, so that
// one kind is lowered before the other is raised.
func (d domainPlan) next(last map[Pool]ScaleOrder) (ScaleOrder, bool) {
	cheap, known := last[Pool{d.service, d.domain, true}]
	if !known {
		first := min(d.most, int(spare*float64(d.count.Regular))) - d.count.Regular
		return d.order(true, first, d.count.Regular), first > 0
	}
	if _, ordered := last[Pool{d.service, d.domain, false}]; !ordered && d.count.Regular > cheap.InitialCount {
		// The first order went out before all the first targets were known.
		first := min(d.most, int(spare*float64(d.count.Regular))) - d.count.Regular
		return d.order(true, max(first, cheap.Count), d.count.Regular), true
	}
	given := cheap.InitialCount
	if dear, ok := last[Pool{d.service, d.domain, false}]; ok {
		given = dear.Count
	}
	regular, reclaimable := d.wanted(cheap, given)
	switch {
	case reclaimable < cheap.Count:
		return d.order(true, reclaimable, cheap.InitialCount), true
	case regular < given:
		return d.order(false, regular, cheap.InitialCount), true
	case regular > given && regular+cheap.Count <= d.most:
		return d.order(false, regular, cheap.InitialCount), true
	case reclaimable > cheap.Count && reclaimable+max(given, d.count.Regular) <= d.most:
		return d.order(true, reclaimable, cheap.InitialCount), true
	}
	return ScaleOrder{}, false
}

// wanted returns how many targets of each kind there should be by what serves
// now. Between the two states the last orders stay.
func (d domainPlan) wanted(cheap ScaleOrder, given int) (regular, reclaimable int) {
	base := float64(cheap.InitialCount)
	total := min(d.most, int(spare*base))
	keep := max(1, d.least, int(math.Round(keepShare*base)))
	need := min(d.most, int(math.Ceil(needShare*base)))
	full := d.count.Reclaimable >= cheap.Count
	lost := (!d.starting || d.count.Reclaiming > 0) && 2*d.count.Reclaimable < cheap.Count
	switch {
	case full:
		return keep, max(0, total-keep)
	case lost:
		return need, max(1, min(total, d.most)-need)
	}
	return given, cheap.Count
}
