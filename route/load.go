package route

import "time"

// Occupancy returns the slots of the decode targets that take requests, and the estimated number of
// requests on them from all instances.
func (f *Fleet) Occupancy(now time.Time) (slots, requests int64) {
	for _, t := range f.decodeTargets {
		if t.Available(now) {
			slots += int64(t.slots)
			requests += t.estimatedRequests(now)
		}
	}
	return slots, requests
}

// Backlog returns the mean time that a new prompt waits for those before it, at the prefill targets
// that take requests or, if there are none, at the decode targets.
func (f *Fleet) Backlog(now time.Time) time.Duration {
	if mean, found := meanBacklog(f.prefillTargets, f.rates.PrefillOnly(), now); found {
		return mean
	}
	mean, _ := meanBacklog(f.decodeTargets, f.rates.Mixed(), now)
	return mean
}

func meanBacklog(targets []*Target, rate float64, now time.Time) (time.Duration, bool) {
	tokens, available := int64(0), int64(0)
	for _, t := range targets {
		if t.Available(now) {
			tokens += t.backlog()
			available++
		}
	}
	if available == 0 {
		return 0, false
	}
	return prefillTime(tokens/available, rate), true
}
