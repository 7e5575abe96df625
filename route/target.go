// Package route chooses the target of a request.
//
// It contains the routing policies, the estimate of a target's load and the index
// of which target holds which prompt prefix. Choosing a target does not modify the
// Fleet, which is immutable except for each target's counters. The package must not
// open connections or decide whether a request is admitted.
//
// # Usage
//
//	fleet := route.NewFleet(targets, "d1", index)
//	decision := policy.Choose(fleet, route.Request{PromptTokens: 900, Blocks: blocks}, random)
//	uncached := 900 - decision.Cached()
//	decision.Target().Begin(uncached)
//	defer decision.Target().End()
//	// When the first token has arrived:
//	decision.Target().PrefillDone(uncached)
package route

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// A Target represents one target as this instance sees it: its inventory entry, its
// last load report, and the requests that this instance has in flight on it.
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
	incarnation int64
	version     string
	software    string

	silent atomic.Bool
	// leaving is true once the target has stated that it is about to end.
	leaving atomic.Bool
	// pausedUntil is until when the target asked for no requests, in nanoseconds since
	// 1970.
	pausedUntil atomic.Int64
	// heldOffUntil is until when the target's rate limit is used up, in nanoseconds since
	// 1970.
	heldOffUntil atomic.Int64
	// backoffUntil is when the target is tried again after it declined a request,
	// in nanoseconds since 1970.
	backoffUntil atomic.Int64
	// unreachableUntil is until when the target's failure domain is avoided, in
	// nanoseconds since 1970.
	unreachableUntil atomic.Int64
	declines         atomic.Int64
	// switching is true while the target is known to be changing its stage.
	switching atomic.Bool
	// othersPrefillTokens and othersRequests count what other instances have in
	// flight on the target.
	othersPrefillTokens atomic.Int64
	othersRequests      atomic.Int64

	ledger    ledger
	speed     speed
	deviation deviation

	inFlight      atomic.Int64
	prefillTokens atomic.Int64
	report        atomic.Pointer[Report]
	// entries is the number of entry instances, which send requests to the target.
	entries atomic.Int64
}

// A Report represents a load report of a target, with what this instance had in
// flight on it when the report arrived.
type Report struct {
	at               time.Time
	running          int
	waiting          int
	waitingTokens    int64
	prefillRate      float64
	decodeRate       float64
	role             string
	version          string
	switching        bool
	ownInFlight      int64
	ownPrefillTokens int64
	prefillShare     float64
}

// A Spec holds the properties of a target in the inventory.
type Spec struct {
	Name          string
	Address       string
	FailureDomain string
	Slots         int
	Reclaimable   bool
	// TokenCost is the price of a thousand tokens in millionths of the currency.
	TokenCost int64
	// Stage tells which stages of a request the target runs.
	Stage Stage
	// WarmedUpAt is when the target is no longer slow after its start. It may be
	// zero.
	WarmedUpAt time.Time
	// Incarnation tells the starts of a target apart; a later start has a higher one.
	Incarnation int64
	// Version is the version of the software that this start of the target runs; empty if
	// it is not known.
	Version string
	// Software identifies what the target runs. Targets with the same Software may generate
	// parts of one stream.
	Software string
}

// A Stage tells which stages of a request a target runs.
type Stage int

const (
	// PrefillAndDecode targets can run a whole request.
	PrefillAndDecode Stage = iota
	// PrefillOnly targets prefill prompts and transfer their KV cache to a decode
	// target.
	PrefillOnly
)

// NewTarget returns a target that has not reported its load.
func NewTarget(s Spec) *Target {
	return &Target{name: s.Name, address: s.Address, domain: s.FailureDomain, slots: s.Slots, reclaimable: s.Reclaimable, cost: s.TokenCost,
		stage: s.Stage, warmedUpAt: s.WarmedUpAt, incarnation: s.Incarnation, version: s.Version, software: s.Software, hash: hashName(s.Name)}
}

func (t *Target) Name() string { return t.name }

func (t *Target) Address() string { return t.address }

func (t *Target) FailureDomain() string { return t.domain }

// Incarnation returns the number that identifies this start of the target.
func (t *Target) Incarnation() int64 { return t.incarnation }

// Version returns the version of the software that this start of the target runs; empty if it is
// not known.
func (t *Target) Version() string { return t.version }

// Software identifies what the target runs. Targets with the same Software may generate parts of
// one stream.
func (t *Target) Software() string { return t.software }

// Renewed returns a target like this one that has not stated that it is about to end. It keeps
// the pause that was asked for, and counts its own requests.
func (t *Target) Renewed() *Target {
	next := NewTarget(Spec{
		Name: t.name, Address: t.address, FailureDomain: t.domain, Slots: t.slots, Reclaimable: t.reclaimable, TokenCost: t.cost, Stage: t.stage,
		WarmedUpAt: t.warmedUpAt, Incarnation: t.incarnation, Version: t.version, Software: t.software,
	})
	next.InheritPause(t)
	return next
}

// Slots returns the number of requests that the target runs at once.
func (t *Target) Slots() int { return t.slots }

// TokenCost returns the price of a thousand tokens in millionths of the currency.
func (t *Target) TokenCost() int64 { return t.cost }

// Decodes reports whether the target can generate responses.
func (t *Target) Decodes() bool { return t.stage == PrefillAndDecode }

// Reclaimable reports whether the target can be reclaimed at short notice.
func (t *Target) Reclaimable() bool { return t.reclaimable }

// SetSilent records whether no instance has heard from the target lately.
func (t *Target) SetSilent(silent bool) { t.silent.Store(silent) }

// Silent reports whether no instance has heard from the target lately.
func (t *Target) Silent() bool { return t.silent.Load() }

// SetSwitching records whether the target is known to be changing its stage. It gets
// no requests meanwhile.
func (t *Target) SetSwitching(switching bool) { t.switching.Store(switching) }

// RecordDecline records that the target declined a request although it is not full,
// or could not be reached. It gets no requests for a backoff that doubles with each
// decline in a row.
func (t *Target) RecordDecline(now time.Time) {
	n := t.declines.Add(1)
	backoff := min(maxBackoff, initialBackoff<<min(n-1, maxBackoffDoublings))
	t.backoffUntil.Store(now.Add(backoff).UnixNano())
}

// SetUnreachable avoids the target until the given time, because its failure domain
// seems to be unreachable. It is still used if no other target is available.
func (t *Target) SetUnreachable(until time.Time) { t.unreachableUntil.Store(until.UnixNano()) }

// SetLeaving records that the target is about to end, and reports whether that is news.
// It gets no requests any more.
func (t *Target) SetLeaving() bool { return !t.leaving.Swap(true) }

// Pause keeps requests from the target until the given time, because it asked for that.
// An earlier end of a pause never replaces a later one.
func (t *Target) Pause(until time.Time) {
	for end := until.UnixNano(); ; {
		known := t.pausedUntil.Load()
		if end <= known || t.pausedUntil.CompareAndSwap(known, end) {
			return
		}
	}
}

// HoldOff keeps requests from the target until the given time, because its rate limit is used
// up. The zero time ends that.
func (t *Target) HoldOff(until time.Time) {
	if until.IsZero() {
		t.heldOffUntil.Store(0)
		return
	}
	t.heldOffUntil.Store(until.UnixNano())
}

// HeldOff reports whether the rate limit of the target is used up.
func (t *Target) HeldOff(now time.Time) bool { return t.heldOffLeft(now) > 0 }

// heldOffLeft returns the time until the rate limit of the target may allow a request.
func (t *Target) heldOffLeft(now time.Time) time.Duration {
	return max(0, time.Duration(t.heldOffUntil.Load()-now.UnixNano()))
}

// InheritPause takes over the pause that the other target asked for, how long its rate limit
// is used up, and the speed that the same start of it stated; a later start may be on another
// machine.
func (t *Target) InheritPause(other *Target) {
	t.pausedUntil.Store(other.pausedUntil.Load())
	t.heldOffUntil.Store(other.heldOffUntil.Load())
	if t.incarnation == other.incarnation {
		t.speed.inherit(&other.speed)
	}
}

// pauseLeft returns how much longer the target asked for no requests.
func (t *Target) pauseLeft(now time.Time) time.Duration {
	return max(0, time.Duration(t.pausedUntil.Load()-now.UnixNano()))
}

// RecordAccept records that the target accepted a request, which resets the backoff.
func (t *Target) RecordAccept() { t.declines.Store(0) }

const (
	// initialBackoff is the backoff after a first decline. A target is back within
	// seconds after a change of its stage or a crash.
	initialBackoff      = 500 * time.Millisecond
	maxBackoff          = 4 * time.Second
	maxBackoffDoublings = 3
)

// Available reports whether the target can be expected to accept a request.
func (t *Target) Available(now time.Time) bool {
	return t.availableIfReachable(now) && now.UnixNano() >= t.unreachableUntil.Load()
}

// availableIfReachable is like Available but ignores whether the target's failure
// domain seems unreachable.
func (t *Target) availableIfReachable(now time.Time) bool {
	return !t.leaving.Load() && !t.switching.Load() && now.UnixNano() >= t.backoffUntil.Load() && t.pauseLeft(now) == 0 && !t.HeldOff(now)
}

// warmUpLeft returns how much longer the target is slow after its start.
func (t *Target) warmUpLeft() time.Duration {
	if t.warmedUpAt.IsZero() {
		return 0
	}
	return max(0, time.Until(t.warmedUpAt))
}

// SetOtherLoad records what other instances have in flight on the target: prompt
// tokens still to prefill, and requests.
func (t *Target) SetOtherLoad(prefillTokens, requests int64) {
	t.othersPrefillTokens.Store(prefillTokens)
	t.othersRequests.Store(requests)
}

// OwnLoad returns what this instance has in flight on the target: prompt tokens
// still to prefill, and requests.
func (t *Target) OwnLoad() (tokens, requests int64) { return t.prefillTokens.Load(), t.inFlight.Load() }

// estimatedRequests returns the estimated number of requests on the target, from all
// instances.
func (t *Target) estimatedRequests(now time.Time) int64 {
	known := t.inFlight.Load() + t.othersRequests.Load()
	r := t.report.Load()
	if r == nil || now.Sub(r.at) > reportTTL {
		return known
	}
	return max(known, int64(r.running+r.waiting)+t.inFlight.Load()-r.ownInFlight)
}

// backlog returns the estimated number of prompt tokens that the target prefills
// before a new prompt.
func (t *Target) backlog() int64 { return t.prefillTokens.Load() + t.othersPrefillTokens.Load() }

// Begin counts a request as in flight, with the given number of prompt tokens to
// prefill.
func (t *Target) Begin(prefillTokens int64) {
	t.inFlight.Add(1)
	t.prefillTokens.Add(prefillTokens)
}

// PrefillDone subtracts a request's prompt tokens once its first token has arrived.
func (t *Target) PrefillDone(prefillTokens int64) { t.prefillTokens.Add(-prefillTokens) }

// End counts a request as no longer in flight.
func (t *Target) End() { t.inFlight.Add(-1) }

// InFlight returns the number of this instance's requests on the target.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }

// A Load holds the figures of a target's load report. Rates are in tokens per second.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int64
	PrefillRate   float64
	DecodeRate    float64
	PrefillShare  float64
	Role          string
	// Version is the version of the target's software; empty if it names none.
	Version   string
	Switching bool
}

// SetReport stores a load report that arrived at the given time.
func (t *Target) SetReport(l Load, at time.Time) {
	t.report.Store(&Report{
		at: at, running: l.Running, waiting: l.Waiting, waitingTokens: l.WaitingTokens,
		prefillRate: l.PrefillRate, decodeRate: l.DecodeRate, prefillShare: l.PrefillShare,
		role: l.Role, version: l.Version, switching: l.Switching, ownInFlight: t.inFlight.Load(), ownPrefillTokens: t.prefillTokens.Load(),
	})
}

// SetEntries sets the number of entry instances, which send requests to the target.
// Between two reports each of them is assumed to add as much load as this one.
func (t *Target) SetEntries(n int) { t.entries.Store(int64(n)) }

// Requests returns the estimated number of requests on the target, from all
// instances: the last report, corrected by the requests that this instance began and
// ended since.
func (t *Target) Requests() int64 {
	own := t.inFlight.Load()
	r := t.report.Load()
	if r == nil {
		return own
	}
	return max(own, int64(r.running+r.waiting)+t.extrapolate(own-r.ownInFlight))
}

// extrapolate scales the load that this instance added since the last report to all
// entry instances. A decrease is not scaled, because underestimating a target's load
// costs more than overestimating it.
func (t *Target) extrapolate(change int64) int64 {
	if change <= 0 {
		return change
	}
	return change * max(1, t.entries.Load())
}

// waitingTokens returns the estimated number of prompt tokens that wait for prefill
// on the target.
func (t *Target) waitingTokens() int64 {
	r := t.report.Load()
	if r == nil {
		return t.prefillTokens.Load()
	}
	return max(0, r.waitingTokens+t.extrapolate(t.prefillTokens.Load()-r.ownPrefillTokens))
}

const (
	// defaultPrefillRate, in tokens per second, is assumed until a target reports its
	// rate.
	defaultPrefillRate = 8000
	// defaultDecodeRate, in tokens per second for one stream, is assumed until a
	// target reports its rate.
	defaultDecodeRate = 30
)

// PrefillRate returns the target's prefill rate in tokens per second.
func (t *Target) PrefillRate() float64 {
	if r := t.report.Load(); r != nil && r.prefillRate > 0 {
		return r.prefillRate
	}
	return defaultPrefillRate
}

// DecodeRate returns the target's output rate per stream in tokens per second.
func (t *Target) DecodeRate() float64 {
	if r := t.report.Load(); r != nil && r.decodeRate > 0 {
		return r.decodeRate
	}
	return defaultDecodeRate
}

// ReportedSwitching reports whether the target's last load report says that it is
// changing its role.
func (t *Target) ReportedSwitching() bool {
	r := t.report.Load()
	return r != nil && r.switching
}

// ReportedVersion returns the version of its software that the target's last load report names, or
// an empty string.
func (t *Target) ReportedVersion() string {
	if r := t.report.Load(); r != nil {
		return r.version
	}
	return ""
}

// maxBacklogSeconds is the prefill time of the waiting prompts from which a target
// has no room. It leaves most of the 1.3 s to the first token for the new prompt's
// own prefill.
const maxBacklogSeconds = 0.4

// HasRoom reports whether the target is estimated to have a free slot and a short
// enough prefill backlog for a new prompt to start soon.
func (t *Target) HasRoom() bool {
	if t.ReportedSwitching() || t.Requests() >= int64(t.slots) {
		return false
	}
	return float64(t.waitingTokens()) < maxBacklogSeconds*t.PrefillRate()
}

// reserveRatio is the number of requests beyond its slots, as a fraction of them,
// that a target accepts from workspaces below their fair share.
const reserveRatio = 0.5

// HasReserve reports whether the target accepts one more high-priority request, which
// it will run before those that wait.
func (t *Target) HasReserve() bool {
	return !t.ReportedSwitching() && float64(t.Requests()) < (1+reserveRatio)*float64(t.slots)
}

// A Fleet represents the usable targets of one service. It is immutable except for
// the targets' counters.
type Fleet struct {
	targets []*Target
	domain  string
	local   []*Target
	remote  []*Target
	// prefillTargets and decodeTargets hold the targets by stage, and
	// decodeTargetsByDomain the decode targets of each failure domain.
	prefillTargets        []*Target
	decodeTargets         []*Target
	decodeTargetsByDomain [][]*Target
	index                 *PrefixIndex
	rates                 *Rates
	model                 *CostModel
}

// NewFleet returns the fleet of the targets for an instance in the failure domain.
func NewFleet(targets []*Target, domain string, index *PrefixIndex) *Fleet {
	f := &Fleet{targets: targets, domain: domain, index: index, rates: NewRates(), model: NewCostModel()}
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

// WithDecodeTargets returns a fleet that has these decode targets instead of its own.
func (f *Fleet) WithDecodeTargets(targets []*Target) *Fleet {
	return NewFleet(slices.Concat(f.prefillTargets, targets), f.domain, f.index).WithRates(f.rates).WithModel(f.model)
}

// DecodeTargets returns the usable targets that decode. The caller must not modify the slice.
func (f *Fleet) DecodeTargets() []*Target { return f.decodeTargets }

// WithRates replaces the prefill rates by ones that outlive the fleet, and returns
// the fleet.
func (f *Fleet) WithRates(rates *Rates) *Fleet {
	f.rates = rates
	return f
}

// Rates returns the prefill rates of the targets.
func (f *Fleet) Rates() *Rates { return f.rates }

// Targets returns the usable targets. The caller must not modify the slice.
func (f *Fleet) Targets() []*Target { return f.targets }

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

// HasReserve reports whether any target accepts one more high-priority request.
func (f *Fleet) HasReserve() bool {
	for _, t := range f.targets {
		if t.HasReserve() {
			return true
		}
	}
	return false
}

// Capacity returns the total slots of the fleet and the estimated number of requests
// on it.
func (f *Fleet) Capacity() (slots, requests int64) {
	for _, t := range f.targets {
		slots += int64(t.slots)
		requests += t.Requests()
	}
	return slots, requests
}
