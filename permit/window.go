package permit

import "time"

const (
	// quotaWindow is the time over which quotas are checked, and over which grants are summed for the
	// local shares.
	quotaWindow = 8 * time.Second
	windowSlots = 16
	slotTime    = quotaWindow / windowSlots
)

// A windowSum sums amounts over the last quotaWindow, in steps of slotTime.
type windowSum struct {
	slots [windowSlots]float64
	// last is the number of the newest slot since the start of the clock.
	last int64
}

// add adds the amount, which may be negative, at the time.
func (s *windowSum) add(amount float64, at time.Duration) {
	s.advance(at)
	s.slots[s.last%windowSlots] += amount
}

// sum returns the sum over the quotaWindow before the time, and at least 0.
func (s *windowSum) sum(at time.Duration) float64 {
	s.advance(at)
	total := 0.0
	for _, v := range s.slots {
		total += v
	}
	return max(0, total)
}

// advance empties the slots between the newest one and that of the time.
func (s *windowSum) advance(at time.Duration) {
	slot := int64(at / slotTime)
	for n := 0; s.last < slot && n < windowSlots; n++ {
		s.last++
		s.slots[s.last%windowSlots] = 0
	}
	s.last = max(s.last, slot)
}
