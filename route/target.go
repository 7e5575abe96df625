// Package route chooses the target of a request.
//
// It owns the routing policies, the estimate of a target's load and the index
// of which target holds which prompt prefix. Choosing is pure over a Fleet, which
// is immutable but for each target's counters. It must not open connections or
// decide whether a request may run at all.
//
// # Usage
//
//	fleet := route.NewFleet(targets, "d1")
//	decision := policy.Choose(fleet, route.Request{PromptTokens: 900, Pieces: pieces}, random)
//	decision.Target().Begin(work)
//	defer decision.Target().End(work)
package route

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// A Target represents one target as a router sees it: what the inventory says,
// what the target last reported, and what this instance has in flight there.
type Target struct {
	name        string
	address     string
	domain      string
	slots       int
	reclaimable bool
	cost        int64
	stage       Stage
	hash        uint64
	warmedUpAt  time.Time

	silent atomic.Bool
	// awayUntil is when the target takes requests again, in nanoseconds since
	// 1970; away is true while it is known to change its stage.
	backoffUntil atomic.Int64
	// darkUntil is until when the target's failure domain is left alone.
	unreachableUntil atomic.Int64
	declines         atomic.Int64
	switching        atomic.Bool
	// othersWork and othersRequests are what other instances have in flight.
	othersPrefillTokens atomic.Int64
	othersRequests      atomic.Int64

	inFlight      atomic.Int64
	prefillTokens atomic.Int64
	report        atomic.Pointer[Report]
	// sharers is the number of instances that send to the target.
	entries atomic.Int64
}

// A Report represents a target's own account of its load, with what this
// instance had in flight when it came.
type Report struct {
	at               time.Time
	running          int
	waiting          int
	waitingTokens    int64
	prefillRate      float64
	decodeRate       float64
	role             string
	switching        bool
	ownInFlight      int64
	ownPrefillTokens int64
	prefillShare     float64
}

// Spec is what the inventory says of a target.
type Spec struct {
	Name          string
	Address       string
	FailureDomain string
	Slots         int
	Reclaimable   bool
	// TokenCost is the price of a thousand tokens in millionths of the currency.
	TokenCost int64
	// Stage says what part of a request the target does.
	Stage Stage
	// WarmAt is when the target is no longer slow after its start.
	WarmedUpAt time.Time
}

// A Stage says what part of a request a target does.
type Stage int

// The stages of a target.
const (
	// Whole targets do all of a request.
	PrefillAndDecode Stage = iota
	// Reading targets only read prompts and hand their cache over.
	PrefillOnly
)

// NewTarget returns a target without a report.
func NewTarget(s Spec) *Target {
	return &Target{name: s.Name, address: s.Address, domain: s.FailureDomain, slots: s.Slots, reclaimable: s.Reclaimable, cost: s.TokenCost,
		stage: s.Stage, warmedUpAt: s.WarmedUpAt, hash: hashName(s.Name)}
}

// Name returns the target's name.
func (t *Target) Name() string { return t.name }

// Address returns the target's address.
func (t *Target) Address() string { return t.address }

// FailureDomain returns the target's failure domain.
func (t *Target) FailureDomain() string { return t.domain }

// Slots returns how many requests the target runs at once.
func (t *Target) Slots() int { return t.slots }

// TokenCost returns the price of a thousand tokens in millionths.
func (t *Target) TokenCost() int64 { return t.cost }

// Runs reports whether the target makes answers itself.
func (t *Target) Decodes() bool { return t.stage == PrefillAndDecode }

// Cheap reports whether the target can be reclaimed at short notice.
func (t *Target) Reclaimable() bool { return t.reclaimable }

// SetSilent notes whether anyone has heard the target lately.
func (t *Target) SetSilent(silent bool) { t.silent.Store(silent) }

// Silent reports whether nobody has heard the target lately.
func (t *Target) Silent() bool { return t.silent.Load() }

// SetAway notes whether the target is known to change its stage.
func (t *Target) SetSwitching(away bool) { t.switching.Store(away) }

// Decline notes that the target took nothing, though it is not full, or could
// not be reached. It is left alone for longer each time.
func (t *Target) RecordDecline(now time.Time) {
	n := t.declines.Add(1)
	rest := min(maxBackoff, initialBackoff<<min(n-1, maxBackoffDoublings))
	t.backoffUntil.Store(now.Add(rest).UnixNano())
}

// SetDark leaves the target alone until the time, since its failure domain seems
// to be cut off. It is still tried if there is no other.
func (t *Target) SetUnreachable(until time.Time) { t.unreachableUntil.Store(until.UnixNano()) }

// Took notes that the target took a request.
func (t *Target) RecordAccept() { t.declines.Store(0) }

const (
	// firstRest is how long a target is left alone after it took nothing once.
	// It comes back from a change of its stage, or a crash, within seconds.
	initialBackoff      = 500 * time.Millisecond
	maxBackoff          = 4 * time.Second
	maxBackoffDoublings = 3
)

// takes reports whether the target can be expected to take a request.
func (t *Target) available(now time.Time) bool {
	return t.availableIfReachable(now) && now.UnixNano() >= t.unreachableUntil.Load()
}

// mayTake is takes for a target that may be cut off.
func (t *Target) availableIfReachable(now time.Time) bool {
	return !t.switching.Load() && now.UnixNano() >= t.backoffUntil.Load()
}

// startLeft returns how much longer the target is slow after its start.
func (t *Target) warmUpLeft() time.Duration {
	if t.warmedUpAt.IsZero() {
		return 0
	}
	return max(0, time.Until(t.warmedUpAt))
}

// SetOthers notes what other instances have in flight on the target: prompt
// tokens to read, and requests.
func (t *Target) SetOtherLoad(work, requests int64) {
	t.othersPrefillTokens.Store(work)
	t.othersRequests.Store(requests)
}

// Own returns what this instance has in flight on the target.
func (t *Target) OwnLoad() (work, requests int64) { return t.prefillTokens.Load(), t.inFlight.Load() }

// crowd estimates the requests on the target, of all instances.
func (t *Target) estimatedRequests(now time.Time) int64 {
	known := t.inFlight.Load() + t.othersRequests.Load()
	r := t.report.Load()
	if r == nil || now.Sub(r.at) > reportTTL {
		return known
	}
	return max(known, int64(r.running+r.waiting)+t.inFlight.Load()-r.ownInFlight)
}

// backlog estimates the prompt tokens that the target reads before a new one.
func (t *Target) backlog() int64 { return t.prefillTokens.Load() + t.othersPrefillTokens.Load() }

// Begin counts a request with so many prompt tokens to prefill as in flight.
func (t *Target) Begin(work int64) {
	t.inFlight.Add(1)
	t.prefillTokens.Add(work)
}

// Prefilled takes back the prompt tokens, once the first token has come.
func (t *Target) PrefillDone(work int64) { t.prefillTokens.Add(-work) }

// End takes back the request.
func (t *Target) End() { t.inFlight.Add(-1) }

// InFlight returns this instance's requests on the target.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

// A Load is what a target reports.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int64
	PrefillRate   float64
	DecodeRate    float64
	PrefillShare  float64
	Role          string
	Switching     bool
}

// SetReport stores a report that came at the time.
func (t *Target) SetReport(l Load, at time.Time) {
	t.report.Store(&Report{
		at: at, running: l.Running, waiting: l.Waiting, waitingTokens: l.WaitingTokens,
		prefillRate: l.PrefillRate, decodeRate: l.DecodeRate, prefillShare: l.PrefillShare,
		role: l.Role, switching: l.Switching, ownInFlight: t.inFlight.Load(), ownPrefillTokens: t.prefillTokens.Load(),
	})
}

// SetSharers sets how many instances send to the target. Between two reports
// each of them is reckoned to add as much as this one.
func (t *Target) SetEntries(n int) { t.entries.Store(int64(n)) }

// Requests estimates all requests on the target, of every instance: the report,
// corrected by what this instance began and ended since.
func (t *Target) Requests() int64 {
	own := t.inFlight.Load()
	r := t.report.Load()
	if r == nil {
		return own
	}
	return max(own, int64(r.running+r.waiting)+t.extrapolate(own-r.ownInFlight))
}

// shared extrapolates what this instance added since the report to all sharers.
// What it took away is not extrapolated: a target thought too idle costs more
// than one thought too busy.
func (t *Target) extrapolate(change int64) int64 {
	if change <= 0 {
		return change
	}
	return change * max(1, t.entries.Load())
}

// waitingWork estimates the prompt tokens that wait on the target.
func (t *Target) waitingTokens() int64 {
	r := t.report.Load()
	if r == nil {
		return t.prefillTokens.Load()
	}
	return max(0, r.waitingTokens+t.extrapolate(t.prefillTokens.Load()-r.ownPrefillTokens))
}

const (
	// defaultPrefillRate, in tokens a second, holds until a target reports.
	defaultPrefillRate = 8000
	// defaultDecodeRate is in tokens a second for one stream.
	defaultDecodeRate = 30
)

// PrefillRate returns the target's prompt speed in tokens a second.
func (t *Target) PrefillRate() float64 {
	if r := t.report.Load(); r != nil && r.prefillRate > 0 {
		return r.prefillRate
	}
	return defaultPrefillRate
}

// DecodeRate returns the target's output speed per stream in tokens a second.
func (t *Target) DecodeRate() float64 {
	if r := t.report.Load(); r != nil && r.decodeRate > 0 {
		return r.decodeRate
	}
	return defaultDecodeRate
}

// Away reports whether the target said that it is changing its role.
func (t *Target) ReportedSwitching() bool {
	r := t.report.Load()
	return r != nil && r.switching
}

// maxBacklog, in seconds, is the prompt work that may wait on a target before it
// has no room. It leaves most of the first token's 1.3 s to the prompt itself.
const maxBacklogSeconds = 0.4

// HasRoom reports whether the target is estimated to have a free slot, and so
// little prompt work waiting that a new prompt would start soon.
func (t *Target) HasRoom() bool {
	if t.ReportedSwitching() || t.Requests() >= int64(t.slots) {
		return false
	}
	return float64(t.waitingTokens()) < maxBacklogSeconds*t.PrefillRate()
}

// reserve is the part of the slots that workspaces below their fair share may
// fill beyond them.
const reserveRatio = 0.5

// HasReserve reports whether the target takes a request that it will run before
// those that wait.
func (t *Target) HasReserve() bool {
	return !t.ReportedSwitching() && float64(t.Requests()) < (1+reserveRatio)*float64(t.slots)
}

// A Fleet represents the usable targets of one service. It is immutable but for
// the targets' counters.
type Fleet struct {
	targets []*Target
	domain  string
	local   []*Target
	remote  []*Target
	// readers and runners are the targets by stage, runnersBy the latter by
	// failure domain.
	prefillTargets        []*Target
	decodeTargets         []*Target
	decodeTargetsByDomain [][]*Target
	index                 *PrefixIndex
	rates                 *Rates
}

// NewFleet returns the fleet of the targets as seen from a failure domain.
func NewFleet(targets []*Target, domain string, index *PrefixIndex) *Fleet {
	f := &Fleet{targets: targets, domain: domain, index: index, rates: NewRates()}
	for _, t := range targets {
		if t.domain == domain {
			f.local = append(f.local, t)
		} else {
			f.remote = append(f.remote, t)
		}
	}
	f.groupByStage()
	return f
}

func (f *Fleet) groupByStage() {
	byDomain := map[string][]*Target{}
	for _, t := range f.targets {
		if t.Decodes() {
			f.decodeTargets = append(f.decodeTargets, t)
			byDomain[t.domain] = append(byDomain[t.domain], t)
		} else {
			f.prefillTargets = append(f.prefillTargets, t)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		f.decodeTargetsByDomain = append(f.decodeTargetsByDomain, byDomain[domain])
	}
}

// WithRates returns the fleet with rates that outlive it.
func (f *Fleet) WithRates(rates *Rates) *Fleet {
	f.rates = rates
	return f
}

// Rates returns how fast the targets read.
func (f *Fleet) Rates() *Rates { return f.rates }

// Targets returns the usable targets. The caller must not change the slice.
func (f *Fleet) Targets() []*Target { return f.targets }

// Index returns the prefix index.
func (f *Fleet) Index() *PrefixIndex { return f.index }

// HasRoom reports whether any target is estimated to have a free slot.
func (f *Fleet) HasRoom() bool {
	for _, t := range f.targets {
		if t.HasRoom() {
			return true
		}
	}
	return false
}

// HasReserve reports whether any target has.
func (f *Fleet) HasReserve() bool {
	for _, t := range f.targets {
		if t.HasReserve() {
			return true
		}
	}
	return false
}

// Capacity sums the fleet's slots and the estimated requests on it.
func (f *Fleet) Capacity() (slots, requests int64) {
	for _, t := range f.targets {
		slots += int64(t.slots)
		requests += t.Requests()
	}
	return slots, requests
}
