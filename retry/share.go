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
type BudgetShare struct {
	ratio  float64
	slack  float64
	window time.Duration

	mutex    sync.Mutex
	entries  int
	services map[string]*slidingWindow
}

const (
	// slots is the number of steps that a window slides in.
	windowSteps = 20
	// caution is the part of the share that is spent: windows of the instances
	// do not begin together, and requests are counted when they arrive here.
	safetyFactor = 0.8
)

// A ledger counts the present window in steps, the newest first.
type slidingWindow struct {
	step     int64
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewShare returns the share of a budget of ratio and slack in each window.
func NewBudgetShare(ratio, slack float64, window time.Duration) *BudgetShare {
	return &BudgetShare{ratio: ratio, slack: slack, window: window, entries: 1, services: map[string]*slidingWindow{}}
}

// SetSharers sets the number of instances. A number that has once been seen is
// kept for smaller ones, since those that are cut off spend on.
func (s *BudgetShare) SetEntries(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries = max(s.entries, n)
}

// Request counts a request for the service.
func (s *BudgetShare) CountRequest(service string, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.windowAt(service, now).requests[0]++
}

// Note counts a repeat that has been sent already.
func (s *BudgetShare) CountRetry(service string, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.windowAt(service, now).retries[0]++
}

// Spend reports whether one more arrival at the service fits, and counts it.
func (s *BudgetShare) TrySpend(service string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.windowAt(service, now)
	requests, repeats := 0, 0
	for i := range windowSteps {
		requests += l.requests[i]
		repeats += l.retries[i]
	}
	allowed := safetyFactor * (s.ratio*float64(requests) + s.slack/float64(s.entries))
	if float64(repeats+1) > allowed {
		return false
	}
	l.retries[0]++
	return true
}

// at returns the service's ledger, moved on to the time.
func (s *BudgetShare) windowAt(service string, now time.Duration) *slidingWindow {
	l := s.services[service]
	if l == nil {
		l = &slidingWindow{}
		s.services[service] = l
	}
	step := int64(now / (s.window / windowSteps))
	passed := min(step-l.step, windowSteps)
	if passed > 0 {
		copy(l.requests[passed:], l.requests[:windowSteps-passed])
		copy(l.retries[passed:], l.retries[:windowSteps-passed])
		clear(l.requests[:passed])
		clear(l.retries[:passed])
		l.step = step
	}
	return l
}
