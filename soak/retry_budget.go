package soak

import (
	"slices"
	"time"
)

// checkRetryBudget checks that in every window the arrivals at a service beyond the first of each
// request stay within the retry budget of the whole fleet.
func (h *History) checkRetryBudget(b Bounds, report func(string, string, ...any)) {
	for _, service := range []string{plainService, engineService} {
		requests, repeats := h.requestTimes(service), h.repeatTimes(service)
		for n, from := range repeats {
			count := countBetween(repeats[n:], from, from.Add(b.RetryWindow))
			if allowed := b.RetryRatio*float64(requestsAround(requests, from, b.RetryWindow)) + b.RetrySlack; float64(count) > allowed {
				report("retries stay within the budget", "%s got %d repeated requests within %v from %v, %.0f are allowed", service, count, b.RetryWindow, from, allowed)
				break
			}
		}
	}
}

// requestTimes returns when callers sent requests to routes of the service, in order.
func (h *History) requestTimes(service string) (times []time.Time) {
	for _, a := range h.Attempts {
		if a.Stream == (service == engineService) {
			times = append(times, a.Started)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// repeatTimes returns the times at which repeated requests arrived at the service, in order. The
// first arrival to read the prompt is not counted, nor the first to run the request.
func (h *History) repeatTimes(service string) (times []time.Time) {
	type kind struct {
		id          string
		prefillOnly bool
	}
	seen := map[kind]bool{}
	arrivals := slices.Clone(h.Arrivals)
	slices.SortFunc(arrivals, func(x, y Arrival) int { return x.At.Compare(y.At) })
	for _, a := range arrivals {
		k := kind{a.ID, a.PrefillOnly}
		if a.Service == service && seen[k] {
			times = append(times, a.At)
		}
		seen[k] = true
	}
	return times
}

// requestsAround returns the number of requests in the window that begins at the time, in the one
// before it, or in the one half a window before it, whichever has most.
func requestsAround(requests []time.Time, from time.Time, window time.Duration) int {
	most := 0
	for _, start := range []time.Time{from, from.Add(-window), from.Add(-window / 2)} {
		most = max(most, countBetween(requests, start, start.Add(window)))
	}
	return most
}

// countBetween returns how many of the sorted times are in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return max(0, end-first)
}
