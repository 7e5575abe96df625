package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"auburnscale/platform/standin"
)

// Bounds holds what the promises allow, as in the settings of the instances.
type Bounds struct {
	// Contact is after how long without a fault an instance is in touch.
	Contact time.Duration
	// Effect is how long an acknowledged configuration may take to be in force.
	Effect time.Duration
	// Downgrade is how long an older configuration may still show at an entry.
	Downgrade time.Duration
	// Drain is after how long a leaving target gets no new request.
	Drain time.Duration
	// Grace is from the request to stop to the kill, Loss how long a request
	// may be read without being answered when a connection closes.
	Grace, Loss time.Duration
	// Lease is the time between the outward acts of two holders, Thaw how long
	// after the end of a fault a call may still arrive.
	Lease, Thaw time.Duration
	// Recovery is how long after the last fault requests are served again.
	Recovery time.Duration
}

// A Finding represents a promise that was not kept.
type Finding struct {
	Promise string
	What    string
}

func (f Finding) String() string { return f.Promise + ": " + f.What }

// Check returns the promises that the history breaks.
func (h *History) Check(b Bounds) []Finding {
	var list []Finding
	checks := []func(Bounds, func(promise, format string, args ...any)){
		h.checkRuns, h.checkAnswers, h.checkArrivals, h.checkVersions, h.checkReadings, h.checkStops, h.checkLeaves, h.checkDuties, h.checkRecovery,
	}
	for _, check := range checks {
		check(b, func(promise, format string, args ...any) {
			list = append(list, Finding{promise, fmt.Sprintf(format, args...)})
		})
	}
	return list
}

// notRunStatus reports whether the status promises that the request has not run.
func notRunStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (h *History) checkRuns(_ Bounds, found func(string, string, ...any)) {
	for _, a := range h.Attempts {
		runs := h.Runs[a.ID]
		if a.Once && runs > 1 {
			found("at most once", "%s on %s ran %d times", a.ID, a.Route, runs)
		}
		if a.Once && runs > 0 && notRunStatus(a.Answer.Status) {
			found("not run is true", "%s on %s was answered %d and ran", a.ID, a.Route, a.Answer.Status)
		}
	}
}

func (h *History) checkAnswers(_ Bounds, found func(string, string, ...any)) {
	for _, a := range h.Attempts {
		status := a.Answer.Status
		switch {
		case status == 0:
		case a.Answer.ID != a.ID && (status < 300 || a.Answer.Stamp != ""):
			found("answers are the caller's own", "%s got the answer to %q, status %d", a.ID, a.Answer.ID, status)
		case status >= 200 && status < 300 && a.Answer.Complete && a.Wrong != "":
			found("whole answers", "%s on %s: %s", a.ID, a.Route, a.Wrong)
		case status >= 300 && status < 500 && !notRunStatus(status) && a.Version == 0:
			found("nothing proper is denied", "%s on %s was answered %d", a.ID, a.Route, status)
		}
	}
}

func (h *History) checkArrivals(_ Bounds, found func(string, string, ...any)) {
	for _, a := range h.Arrivals {
		if a.Key != "" || a.Tenant != workspaceName {
			found("keys stay inside", "%s reached %s with key %q and workspace %q", a.ID, a.Target, a.Key, a.Tenant)
		}
	}
}

// checkVersions looks at the routes that one version alone has.
func (h *History) checkVersions(b Bounds, found func(string, string, ...any)) {
	type start struct {
		entry  string
		number int
	}
	type seen struct {
		version uint64
		at      time.Time
	}
	held := map[start]seen{}
	attempts := slices.Clone(h.Attempts)
	slices.SortStableFunc(attempts, func(x, y Attempt) int { return x.Answer.Ended.Compare(y.Answer.Ended) })
	for _, a := range attempts {
		if a.Version == 0 {
			continue
		}
		s := start{a.Entry, a.Incarnation}
		known := held[s]
		served := a.Answer.Status == http.StatusOK
		if served && h.Invalid[a.Version] {
			found("what is invalid is not in force", "%s served version %d", a.Entry, a.Version)
		}
		if served && a.Version < known.version && a.Answer.Sent.After(known.at.Add(b.Downgrade)) {
			found("versions never go back", "%s served version %d at %v after %d", a.Entry, a.Version, a.Answer.Sent, known.version)
		}
		if served && a.Version > known.version {
			held[s] = seen{a.Version, a.Answer.Ended}
		}
		if a.Answer.Status == http.StatusNotFound && h.inForce(a, b) {
			found("changes are in force in time", "%s answered 404 for version %d at %v", a.Entry, a.Version, a.Answer.Sent)
		}
	}
}

// inForce reports whether the version must have been in force at the entry for
// the whole attempt: acknowledged long enough ago, the newest one sent, and no
// fault in between.
func (h *History) inForce(a Attempt, b Bounds) bool {
	for version, at := range h.Sent {
		if version > a.Version && at.Before(a.Answer.Ended) {
			return false
		}
	}
	for _, ack := range h.Acks {
		if ack.Version == a.Version && a.Begun.After(ack.At.Add(b.Effect)) {
			return h.quiet(a.Begun.Add(-b.Contact-b.Effect), a.Answer.Ended)
		}
	}
	return false
}

func (h *History) checkReadings(b Bounds, found func(string, string, ...any)) {
	for _, r := range h.Readings {
		if newest := h.newestAck(r.Sent.Add(-b.Effect)); r.Version < newest {
			found("no older configuration is read", "%s gave version %d at %v, %d was acknowledged", r.From, r.Version, r.Sent, newest)
		}
		if h.Invalid[r.Version] {
			found("what is invalid is not in force", "%s gave version %d", r.From, r.Version)
		}
	}
}

// checkStops looks for requests that a planned stop lost.
func (h *History) checkStops(b Bounds, found func(string, string, ...any)) {
	for _, s := range h.Stops {
		for _, a := range h.Attempts {
			cut := a.Answer.Err != nil && !a.Answer.Sent.IsZero() && !standin.TimedOut(a.Answer.Err)
			if a.Entry != s.On || !cut || a.Answer.Ended.Before(s.From) || a.Answer.Ended.After(s.To) || !h.quiet(s.From.Add(-b.Contact), a.Answer.Ended) {
				continue
			}
			if h.Runs[a.ID] > 0 || a.Answer.Ended.Sub(a.Answer.Sent) > b.Loss {
				found("planned stops lose nothing", "%s on %s at %s, runs %d: %v", a.ID, a.Route, a.Entry, h.Runs[a.ID], a.Answer.Err)
			}
		}
	}
}

func (h *History) checkLeaves(b Bounds, found func(string, string, ...any)) {
	for _, l := range h.Leaves {
		for _, a := range h.Arrivals {
			if a.Target == l.On && a.At.After(l.From.Add(b.Drain)) && h.quiet(l.From.Add(-b.Contact), a.At) {
				found("leaving targets get nothing new", "%s reached %s %v after its word", a.ID, a.Target, a.At.Sub(l.From))
			}
		}
	}
}

// checkDuties looks at the outward acts by subject.
func (h *History) checkDuties(b Bounds, found func(string, string, ...any)) {
	holders := map[string]string{}
	windows := map[string]string{}
	subjects := map[string][]standin.ExternalAction{}
	for _, c := range h.Calls {
		key := fmt.Sprint(c.Subject, " ", c.Fence)
		if other, known := holders[key]; known && other != c.Holder {
			found("one holder", "%s and %s acted on %s under fence %d", other, c.Holder, c.Subject, c.Fence)
		}
		holders[key] = c.Holder
		if window, counts, ok := strings.Cut(c.Body, " "); ok && c.Subject == "usage" {
			if before, known := windows[window]; known && before != counts {
				found("one report for a window", "window %s: %s, then %s", window, before, counts)
			}
			windows[window] = counts
		}
		if !h.healing(c.At, b) {
			subjects[c.Subject] = append(subjects[c.Subject], c)
		}
	}
	for subject, calls := range subjects {
		checkTurns(subject, calls, b.Lease, found)
	}
}

// healing reports whether a fault ended just before, so that a call of before
// may arrive.
func (h *History) healing(at time.Time, b Bounds) bool {
	for _, s := range h.Disturbed {
		if at.After(s.To) && at.Before(s.To.Add(b.Thaw)) {
			return true
		}
	}
	return false
}

func checkTurns(subject string, calls []standin.ExternalAction, lease time.Duration, found func(string, string, ...any)) {
	highest := uint64(0)
	last := map[string]time.Time{}
	for n, c := range calls {
		if c.Fence < highest {
			found("one holder", "%s: %s acted under fence %d after %d", subject, c.Holder, c.Fence, highest)
		}
		highest = max(highest, c.Fence)
		if at, before := last[c.Holder]; before && calls[n-1].Holder != c.Holder && c.At.Sub(at) < lease {
			found("one holder", "%s: %s, %s and %s again within %v", subject, c.Holder, calls[n-1].Holder, c.Holder, c.At.Sub(at))
		}
		last[c.Holder] = c.At
	}
}

const leastServedShare = 0.25

func (h *History) checkRecovery(b Bounds, found func(string, string, ...any)) {
	for _, text := range h.OwnEnds {
		found("processes run on", "%s", text)
	}
	asked, served := 0, 0
	for _, a := range h.Attempts {
		if a.Version == 0 && a.Begun.After(h.Judged) {
			asked++
			if a.Answer.Status == http.StatusOK && a.Answer.Complete {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < leastServedShare*float64(asked) {
		found("service comes back", "%d of %d requests were served %v after the last fault", served, asked, b.Recovery)
	}
	last := h.lastReading()
	if newest := h.newestAck(h.Healed); last < newest {
		found("nothing acknowledged is lost", "version %d is read at the end, %d was acknowledged", last, newest)
	}
}

// lastReading returns the highest version that was read after the last fault.
func (h *History) lastReading() uint64 {
	last := uint64(0)
	for _, r := range h.Readings {
		if r.Sent.After(h.Healed) {
			last = max(last, r.Version)
		}
	}
	return last
}
