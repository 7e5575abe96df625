package retry

import (
	"sync"
	"time"
)

// A Share represents this instance's part of a budget that bounds the repeats
// at each service over the whole fleet in any window: a ratio of the requests
// and a fixed slack. Every instance spends from the ratio of its own requests
// and an equal part of the slack, so that the parts never add up to more than
// the whole, whether the instances see each other or not.
type Share struct {
	ratio  float64
	slack  float64
	window time.Duration

	mutex    sync.Mutex
	sharers  int
	services map[string]*ledger
}

const (
	// slots is the number of steps that a window slides in.
	slots = 20
	// caution is the part of the share that is spent: windows of the instances
	// do not begin together, and requests are counted when they arrive here.
	caution = 0.8
)

// A ledger counts the present window in steps, the newest first.
type ledger struct {
	step     int64
	requests [slots]int
	repeats  [slots]int
}

// NewShare returns the share of a budget of ratio and slack in each window.
func NewShare(ratio, slack float64, window time.Duration) *Share {
	return &Share{ratio: ratio, slack: slack, window: window, sharers: 1, services: map[string]*ledger{}}
}

// SetSharers sets the number of instances. A number that has once been seen is
// kept for smaller ones, since those that are cut off spend on.
func (s *Share) SetSharers(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sharers = max(s.sharers, n)
}

// Request counts a request for the service.
func (s *Share) Request(service string, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at(service, now).requests[0]++
}

// Note counts a repeat that has been sent already.
func (s *Share) Note(service string, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at(service, now).repeats[0]++
}

// Spend reports whether one more arrival at the service fits, and counts it.
func (s *Share) Spend(service string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.at(service, now)
	requests, repeats := 0, 0
	for i := range slots {
		requests += l.requests[i]
		repeats += l.repeats[i]
	}
	allowed := caution * (s.ratio*float64(requests) + s.slack/float64(s.sharers))
	if float64(repeats+1) > allowed {
		return false
	}
	l.repeats[0]++
	return true
}

// at returns the service's ledger, moved on to the time.
func (s *Share) at(service string, now time.Duration) *ledger {
	l := s.services[service]
	if l == nil {
		l = &ledger{}
		s.services[service] = l
	}
	step := int64(now / (s.window / slots))
	passed := min(step-l.step, slots)
	if passed > 0 {
		copy(l.requests[passed:], l.requests[:slots-passed])
		copy(l.repeats[passed:], l.repeats[:slots-passed])
		clear(l.requests[:passed])
		clear(l.repeats[:passed])
		l.step = step
	}
	return l
}
