package plan

import (
	"cmp"
	"math"
	"slices"
)

// regularShare is the share of regular targets among all: four fifths of those that decode. Stage changes
// prefer regular targets for decoding, so that a reclaim interrupts few streams; what is lost at once is
// mostly prefill, which other targets repeat. Of the trials with constants, the best had this share (0.4 of
// 1.5).
const regularShare = 0.8 * decodeShare

// A domainState represents the targets of a service in one failure domain as the allocation sees them.
type domainState struct {
	name     string
	price    float64
	max      int
	counts   TargetCounts
	initial  int
	starting bool
	// regular and reclaimable are the ordered numbers; regularKnown and reclaimableKnown tell whether there
	// was an order.
	regular, reclaimable           int
	regularKnown, reclaimableKnown bool
	// lost is true if the domain as a whole is lost, unavailable if reclaimable targets cannot be had there.
	lost, unavailable bool
	// desiredRegular and desiredReclaimable are the result of the allocation.
	desiredRegular, desiredReclaimable int
	// minimum is the least number of targets of both kinds.
	minimum int
}

func (d *domainState) ordered() int { return d.regular + d.reclaimable }

func (d *domainState) running() int { return d.counts.Regular + d.counts.Reclaimable }

// expected returns how many targets there are once those that were ordered and can be had have started.
func (d *domainState) expected() int {
	switch {
	case d.lost:
		return 0
	case d.unavailable:
		return d.regular + min(d.reclaimable, d.counts.Reclaimable)
	}
	return d.ordered()
}

func (d *domainState) desired() int { return d.desiredRegular + d.desiredReclaimable }

// allocate sets the desired numbers of the domains, which add up to the total as far as their maximum
// allows. Regular targets are placed by price, reclaimable ones so that every domain has the same number
// of targets and the loss of any one removes least. A domain that is lost, and reclaimable targets where
// they cannot be had, keep what is ordered and are replaced elsewhere.
func allocate(domains []*domainState, total int) {
	usable := slices.DeleteFunc(slices.Clone(domains), func(d *domainState) bool { return d.lost })
	for _, d := range domains {
		d.desiredRegular, d.desiredReclaimable = d.regular, d.reclaimable
	}
	if len(usable) == 0 {
		return
	}
	total = max(total, len(usable))
	allocateRegular(usable, max(len(usable), int(math.Ceil(regularShare*float64(total)))))
	placed := 0
	for _, d := range usable {
		d.desiredReclaimable = 0
		if d.unavailable {
			// It stays ordered, as far as there is room, for the time when such targets can be had again.
			d.desiredReclaimable = max(0, min(d.reclaimable, d.max-d.desiredRegular))
		}
		placed += d.desiredRegular
	}
	for ; placed < total; placed++ {
		d := smallest(usable, func(d *domainState) bool { return !d.unavailable && d.desired() < d.max })
		if d == nil {
			break
		}
		d.desiredReclaimable++
	}
	for ; placed < total; placed++ {
		d := cheapest(usable, func(d *domainState) bool { return d.desired() < d.max || d.unavailable && d.desiredReclaimable > 1 })
		if d == nil {
			break
		}
		d.desiredRegular++
		d.desiredReclaimable = min(d.desiredReclaimable, d.max-d.desiredRegular)
	}
	for _, d := range usable {
		d.desiredRegular += max(0, min(d.minimum, d.max)-d.desired())
	}
}

// allocateRegular distributes n regular targets over the domains: at least one to each, so that a domain
// that is cut off serves, and the others by the inverse square of the price. That saves a quarter of what
// placing all in the cheapest domain would, and no domain then holds most of the streams.
func allocateRegular(domains []*domainState, n int) {
	weights := 0.0
	for _, d := range domains {
		weights += 1 / (d.price * d.price)
	}
	placed := 0
	share := func(d *domainState) float64 { return float64(n) / (d.price * d.price) / weights }
	for _, d := range domains {
		d.desiredRegular, d.desiredReclaimable = max(1, min(d.max, int(share(d)))), 0
		placed += d.desiredRegular
	}
	for ; placed < n; placed++ {
		var best *domainState
		for _, d := range domains {
			if d.desiredRegular < d.max && (best == nil || share(d)-float64(d.desiredRegular) > share(best)-float64(best.desiredRegular)) {
				best = d
			}
		}
		if best == nil {
			return
		}
		best.desiredRegular++
	}
}

// smallest returns the domain with the fewest desired targets among those that fit, or nil.
func smallest(domains []*domainState, fits func(*domainState) bool) *domainState {
	return least(domains, fits, func(a, b *domainState) int {
		return cmp.Or(cmp.Compare(a.desired(), b.desired()), cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
	})
}

// cheapest returns the domain with the lowest price among those that fit, or nil.
func cheapest(domains []*domainState, fits func(*domainState) bool) *domainState {
	return least(domains, fits, func(a, b *domainState) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.desired(), b.desired()), cmp.Compare(a.name, b.name))
	})
}

func least(domains []*domainState, fits func(*domainState) bool, compare func(a, b *domainState) int) *domainState {
	var best *domainState
	for _, d := range domains {
		if fits(d) && (best == nil || compare(d, best) < 0) {
			best = d
		}
	}
	return best
}
