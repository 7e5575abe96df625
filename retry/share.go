package retry

import (
	"sync"
	"time"
)

// A BudgetShare is this instance's share of a retry budget that limits the retries at
// each service over the whole fleet in any window to a ratio of the requests plus a
// fixed slack. Every instance may use the ratio of its own requests and an equal part
// of the slack, so that the shares never exceed the budget, whether or not the
// instances can reach each other.
type BudgetShare struct {
	ratio  float64
	slack  float64
	window time.Duration

	mutex    sync.Mutex
	entries  int
	services map[string]*slidingWindow
}

const (
	// windowSteps is the number of steps in a sliding window.
	windowSteps = 20
	// safetyFactor is the fraction of the share that is used. The windows of the
	// instances do not start together, and requests are counted when they arrive at
	// this instance, not when they arrive at the service.
	safetyFactor = 0.8
)

// A slidingWindow holds the counts of the present window by step, newest first. step
// is the number of the newest step since time zero.
type slidingWindow struct {
	step     int64
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewBudgetShare returns this instance's share of a budget with that ratio and slack
// per window.
func NewBudgetShare(ratio, slack float64, window time.Duration) *BudgetShare {
	return &BudgetShare{ratio: ratio, slack: slack, window: window, entries: 1, services: map[string]*slidingWindow{}}
}

// SetEntries sets the number of entry instances that share the budget. The number
// never decreases, since instances that are cut off continue to use their share.
func (s *BudgetShare) SetEntries(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries = max(s.entries, n)
}

// CountRequest counts a request for the service.
func (s *BudgetShare) CountRequest(service string, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.windowAt(service, now).requests[0]++
}

// CountRetry counts a retry that has already been sent.
func (s *BudgetShare) CountRetry(service string, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.windowAt(service, now).retries[0]++
}

// TrySpend reports whether one more retry at the service fits the budget, and if so
// counts it.
func (s *BudgetShare) TrySpend(service string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := s.windowAt(service, now)
	if !s.fits(w) {
		return false
	}
	w.retries[0]++
	return true
}

// Fits reports whether one more retry at the service fits the budget.
func (s *BudgetShare) Fits(service string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fits(s.windowAt(service, now))
}

// fits reports whether the window has room for one more retry. s.mutex must be held.
func (s *BudgetShare) fits(w *slidingWindow) bool {
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := safetyFactor * (s.ratio*float64(requests) + s.slack/float64(s.entries))
	return float64(retries+1) <= allowed
}

// windowAt returns the service's window, advanced to the given time.
func (s *BudgetShare) windowAt(service string, now time.Duration) *slidingWindow {
	w := s.services[service]
	if w == nil {
		w = &slidingWindow{}
		s.services[service] = w
	}
	step := int64(now / (s.window / windowSteps))
	passed := min(step-w.step, windowSteps)
	if passed > 0 {
		copy(w.requests[passed:], w.requests[:windowSteps-passed])
		copy(w.retries[passed:], w.retries[:windowSteps-passed])
		clear(w.requests[:passed])
		clear(w.retries[:passed])
		w.step = step
	}
	return w
}
