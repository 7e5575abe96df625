package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"auburnscale/platform/standin"
)

// Bounds holds the time limits that the invariants are checked against. They
// match the settings of the instances.
type Bounds struct {
	// Contact is the time without a fault after which an instance has contact
	// with the other instances.
	Contact time.Duration
	// Effect is how long an acknowledged configuration may take to be in effect.
	Effect time.Duration
	// Downgrade is how long an entry instance may still serve an older
	// configuration after it has served a newer one.
	Downgrade time.Duration
	// Drain is the time after its drain announcement within which a target may
	// still receive new requests.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL. CloseRace is how long
	// before the closing of a connection a request may have been sent without
	// getting a response.
	Grace, CloseRace time.Duration
	// Lease is the shortest time in which a holder may act again if another one
	// acted in between. LateArrival is how long after the end of a fault a call
	// that was sent earlier may still arrive.
	Lease, LateArrival time.Duration
	// Recovery is the time after the last fault within which service recovers.
	Recovery time.Duration
	// RetryWindow is the length of the window in which the retries at a service are limited
	// to RetryRatio of its requests plus RetrySlack.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// UsageWindow is the length of a usage window, UsageDue the time after its end by which
	// it must be reported, UsageEdge how far from its start and end a request may be counted
	// in the neighbouring one.
	UsageWindow, UsageDue, UsageEdge time.Duration
}

// A Finding represents a violation of an invariant.
type Finding struct {
	Invariant string
	Detail    string
}

func (f Finding) String() string { return f.Invariant + ": " + f.Detail }

// Check returns the violations of the invariants in the history.
func (h *History) Check(b Bounds) []Finding {
	var list []Finding
	checks := []func(Bounds, func(invariant, format string, args ...any)){
		h.checkExecutions, h.checkResponses, h.checkArrivals, h.checkVersions, h.checkConfigReads, h.checkStops, h.checkDrains, h.checkLeaderTasks, h.checkRecovery, h.checkBlock, h.checkRetryBudget, h.checkUsage, h.checkLimits, h.checkTakeUps,
	}
	for _, check := range checks {
		check(b, func(invariant, format string, args ...any) {
			list = append(list, Finding{invariant, fmt.Sprintf(format, args...)})
		})
	}
	return list
}

// notRunStatus reports whether the status guarantees that the request has not run.
func notRunStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (h *History) checkExecutions(_ Bounds, report func(string, string, ...any)) {
	for _, a := range h.Attempts {
		runs := h.Runs[a.ID]
		if a.AtMostOnce && runs > 1 {
			report("at most once", "%s on %s ran %d times", a.ID, a.Route, runs)
		}
		if a.AtMostOnce && runs > 0 && notRunStatus(a.Response.Status) {
			report("a request reported as not run has not run", "%s on %s got status %d and ran", a.ID, a.Route, a.Response.Status)
		}
	}
}

func (h *History) checkResponses(_ Bounds, report func(string, string, ...any)) {
	for _, a := range h.Attempts {
		status := a.Response.Status
		switch {
		case status == 0:
		case a.Response.ID != a.ID && (status < 300 || a.Response.Stamp != ""):
			report("responses belong to their requests", "%s got the response to %q, status %d", a.ID, a.Response.ID, status)
		case status >= 200 && status < 300 && a.Response.Complete && a.Defect != "":
			report("complete responses are correct", "%s on %s: %s", a.ID, a.Route, a.Defect)
		case status >= 300 && status < 500 && !notRunStatus(status) && a.Version == 0:
			report("valid requests are not rejected", "%s on %s got status %d", a.ID, a.Route, status)
		}
	}
}

func (h *History) checkArrivals(_ Bounds, report func(string, string, ...any)) {
	for _, a := range h.Arrivals {
		if a.Key != "" || a.Workspace != workspaceName {
			report("API keys do not reach targets", "%s reached %s with key %q and workspace %q", a.ID, a.Target, a.Key, a.Workspace)
		}
	}
}

// checkVersions checks the requests to routes that exist in one configuration
// version only.
func (h *History) checkVersions(b Bounds, report func(string, string, ...any)) {
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
	slices.SortStableFunc(attempts, func(x, y Attempt) int { return x.Response.Ended.Compare(y.Response.Ended) })
	for _, a := range attempts {
		if a.Version == 0 {
			continue
		}
		s := start{a.Entry, a.Incarnation}
		known := held[s]
		served := a.Response.Status == http.StatusOK
		if served && h.Invalid[a.Version] {
			report("invalid configurations are never in effect", "%s served version %d", a.Entry, a.Version)
		}
		if served && a.Version < known.version && a.Response.Sent.After(known.at.Add(b.Downgrade)) {
			report("configuration versions never go back", "%s served version %d at %v after %d", a.Entry, a.Version, a.Response.Sent, known.version)
		}
		if served && a.Version > known.version {
			held[s] = seen{a.Version, a.Response.Ended}
		}
		if a.Response.Status == http.StatusNotFound && h.mustBeInEffect(a, b) {
			report("acknowledged changes take effect in time", "%s returned 404 for version %d at %v", a.Entry, a.Version, a.Response.Sent)
		}
	}
}

// mustBeInEffect reports whether the attempt's version must have been in effect at
// the entry instance for the whole attempt: it was acknowledged long enough ago, no
// newer version was sent, and no fault struck in between.
func (h *History) mustBeInEffect(a Attempt, b Bounds) bool {
	for version, at := range h.Sent {
		if version > a.Version && at.Before(a.Response.Ended) {
			return false
		}
	}
	for _, ack := range h.Acks {
		if ack.Version == a.Version && a.Started.After(ack.At.Add(b.Effect)) {
			return h.faultFree(a.Started.Add(-b.Contact-b.Effect), a.Response.Ended)
		}
	}
	return false
}

func (h *History) checkConfigReads(b Bounds, report func(string, string, ...any)) {
	for _, r := range h.ConfigReads {
		if newest := h.newestAck(r.Sent.Add(-b.Effect)); r.Version < newest {
			report("reads return the newest acknowledged configuration", "%s returned version %d at %v, %d was acknowledged", r.From, r.Version, r.Sent, newest)
		}
		if h.Invalid[r.Version] {
			report("invalid configurations are never in effect", "%s returned version %d", r.From, r.Version)
		}
	}
}

// checkStops checks that planned stops lose no request.
func (h *History) checkStops(b Bounds, report func(string, string, ...any)) {
	for _, s := range h.PlannedStops {
		for _, a := range h.Attempts {
			cut := a.Response.Err != nil && !a.Response.Sent.IsZero() && !standin.TimedOut(a.Response.Err)
			if a.Entry != s.Name || !cut || a.Response.Ended.Before(s.From) || a.Response.Ended.After(s.To) || !h.faultFree(s.From.Add(-b.Contact), a.Response.Ended) {
				continue
			}
			if h.Runs[a.ID] > 0 || a.Response.Ended.Sub(a.Response.Sent) > b.CloseRace {
				report("planned stops lose no request", "%s on %s was cut off at %s after %d runs: %v", a.ID, a.Route, a.Entry, h.Runs[a.ID], a.Response.Err)
			}
		}
	}
}

func (h *History) checkDrains(b Bounds, report func(string, string, ...any)) {
	for _, l := range h.Drains {
		for _, a := range h.Arrivals {
			// Between the two times faults may have come and gone: what was acknowledged must outlive them.
			if a.Target == l.Name && a.At.After(l.From.Add(b.Drain)) && h.faultFree(l.From.Add(-b.Contact), l.From) && h.faultFree(a.At.Add(-b.Contact), a.At) {
				report("draining targets get no new request", "%s reached %s %v after its drain announcement", a.ID, a.Target, a.At.Sub(l.From))
			}
		}
	}
}

// checkLeaderTasks checks the external actions of the leader tasks. On one subject,
// each fencing token belongs to one holder, tokens never decrease, and no holder acts
// again within the lease if another one acted in between; calls that arrive just
// after a fault may break the last two. A usage window is never reported with
// different counts.
func (h *History) checkLeaderTasks(b Bounds, report func(string, string, ...any)) {
	holders := map[string]string{}
	windows := map[string]string{}
	subjects := map[string][]standin.ExternalAction{}
	for _, c := range h.Calls {
		key := fmt.Sprint(c.Subject, " ", c.Fence)
		if other, known := holders[key]; known && other != c.Holder {
			report("one lease holder at a time", "%s and %s acted on %s with fencing token %d", other, c.Holder, c.Subject, c.Fence)
		}
		holders[key] = c.Holder
		if window, counts, ok := strings.Cut(c.Body, " "); ok && c.Subject == "usage" {
			if before, known := windows[window]; known && before != counts {
				report("one usage report for a window", "window %s was reported as %s, then as %s", window, before, counts)
			}
			windows[window] = counts
		}
		if !h.faultJustEnded(c.At, b) {
			subjects[c.Subject] = append(subjects[c.Subject], c)
		}
	}
	for subject, calls := range subjects {
		checkHolderOrder(subject, calls, b.Lease, report)
	}
}

// faultJustEnded reports whether a fault ended so shortly before that a call sent
// earlier may still arrive.
func (h *History) faultJustEnded(at time.Time, b Bounds) bool {
	for _, s := range h.FaultSpans {
		if at.After(s.To) && at.Before(s.To.Add(b.LateArrival)) {
			return true
		}
	}
	return false
}

func checkHolderOrder(subject string, calls []standin.ExternalAction, lease time.Duration, report func(string, string, ...any)) {
	highest := uint64(0)
	last := map[string]time.Time{}
	for n, c := range calls {
		if c.Fence < highest {
			report("one lease holder at a time", "%s: %s acted with fencing token %d after %d", subject, c.Holder, c.Fence, highest)
		}
		highest = max(highest, c.Fence)
		if at, before := last[c.Holder]; before && calls[n-1].Holder != c.Holder && c.At.Sub(at) < lease {
			report("one lease holder at a time", "%s: %s, %s and %s again acted within %v", subject, c.Holder, calls[n-1].Holder, c.Holder, c.At.Sub(at))
		}
		last[c.Holder] = c.At
	}
}

// minServedShare is the share of the requests after the recovery limit that must be
// served for the service to count as recovered.
const minServedShare = 0.25

func (h *History) checkRecovery(b Bounds, report func(string, string, ...any)) {
	for _, text := range h.UnexpectedExits {
		report("processes do not exit by themselves", "%s", text)
	}
	sent, served := 0, 0
	for _, a := range h.Attempts {
		if a.Version == 0 && !a.CrashingBlock && a.Started.After(h.RecoveryDue) {
			sent++
			if a.Response.Status == http.StatusOK && a.Response.Complete {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedShare*float64(sent) {
		report("service recovers", "%d of %d requests were served after the recovery limit of %v", served, sent, b.Recovery)
	}
	last := h.lastReadVersion()
	if newest := h.newestAck(h.LastFaultEnd); last < newest {
		report("acknowledged changes are not lost", "version %d is the newest one read after the last fault, %d was acknowledged", last, newest)
	}
}

// lastReadVersion returns the highest version that was read after the last fault ended,
// or 0.
func (h *History) lastReadVersion() uint64 {
	last := uint64(0)
	for _, r := range h.ConfigReads {
		if r.Sent.After(h.LastFaultEnd) {
			last = max(last, r.Version)
		}
	}
	return last
}
