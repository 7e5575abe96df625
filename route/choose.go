package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
)

// A Request represents what routing needs to know of a request.
type Request struct {
	PromptTokens int64
	OutputTokens int64
	// Pieces are the chained hashes of the prompt's prefix pieces.
	Blocks []uint64
	// PieceTokens is the length of a piece.
	BlockTokens int64
	// Avoid names targets that already failed this request.
	Avoid []string
	// KeepOffCheap is true for work that a reclaimed target would harm.
	AvoidReclaimable bool
}

// A Reason says why a target was chosen.
type Reason string

// The reasons of a decision.
const (
	ByPrefix     Reason = "prefix"
	ByLoad       Reason = "load"
	ByHome       Reason = "home"
	ByRotation   Reason = "rotation"
	NoTarget     Reason = "no_target"
	ByLeastCount Reason = "least_in_flight"
)

// A Decision represents a chosen target and why it was chosen.
type Decision struct {
	target *Target
	reason Reason
	cached int64
}

// Target returns the chosen target, or nil.
func (d Decision) Target() *Target { return d.target }

// Reason returns why.
func (d Decision) Reason() Reason { return d.reason }

// Cached returns the prompt tokens that the target is thought to hold.
func (d Decision) Cached() int64 { return d.cached }

// A Policy chooses among the targets of a fleet.
type Policy interface {
	Choose(f *Fleet, r Request, random *rand.Rand) Decision
}

// NewPolicy returns the policy with the settings' name. hot bounds how far above
// the mean a target's load may be before prefix affinity is given up.
func NewPolicy(name string, hot float64) (Policy, error) {
	switch name {
	case "affinity":
		return &affinity{hot: hot}, nil
	case "least_in_flight":
		return leastInFlight{}, nil
	case "round_robin":
		return &roundRobin{}, nil
	}
	return nil, fmt.Errorf("unknown routing policy %q", name)
}

func usable(t *Target, r Request) bool {
	return !t.ReportedSwitching() && !(r.AvoidReclaimable && t.reclaimable) && !slices.Contains(r.Avoid, t.name)
}

// roundRobin is the baseline that looks at nothing.
type roundRobin struct{ next atomic.Uint64 }

func (p *roundRobin) Choose(f *Fleet, r Request, _ *rand.Rand) Decision {
	for range f.targets {
		t := f.targets[p.next.Add(1)%uint64(len(f.targets))]
		if usable(t, r) {
			return Decision{target: t, reason: ByRotation}
		}
	}
	return Decision{reason: NoTarget}
}

// leastInFlight is the baseline that knows only this instance's own requests.
type leastInFlight struct{}

func (leastInFlight) Choose(f *Fleet, r Request, random *rand.Rand) Decision {
	var best *Target
	start := 0
	if len(f.targets) > 0 {
		start = random.IntN(len(f.targets))
	}
	for i := range f.targets {
		t := f.targets[(start+i)%len(f.targets)]
		if usable(t, r) && (best == nil || t.InFlight() < best.InFlight()) {
			best = t
		}
	}
	if best == nil {
		return Decision{reason: NoTarget}
	}
	return Decision{target: best, reason: ByLeastCount}
}

const (
	// sampled is the number of targets compared by load: two random choices.
	sampledTargets = 2
	// holders bounds the prefix holders that are compared.
	maxHolders = 3
	// remotePenalty, in seconds, is what leaving the failure domain costs.
	remotePenaltySeconds = 0.01
)

// affinity compares two random targets and the holders of the longest known
// prefix by the time they would take to the first token. Its cost does not grow
// with the fleet, except where most targets are unusable.
type affinity struct{ hot float64 }

func (p *affinity) Choose(f *Fleet, r Request, random *rand.Rand) Decision {
	best := Decision{reason: NoTarget}
	bestTime := 0.0
	consider := func(t *Target, cached int64, reason Reason, penalty float64) {
		time := estimateFirstToken(t, r, cached) + penalty
		if best.target == nil || time < bestTime {
			best, bestTime = Decision{target: t, reason: reason, cached: cached}, time
		}
	}
	p.considerSample(f.local, r, random, 0, consider)
	if best.target == nil || !best.target.HasRoom() {
		p.considerSample(f.remote, r, random, remotePenaltySeconds, consider)
	}
	p.considerHolders(f, r, consider)
	if best.reason != ByPrefix {
		p.considerHome(f, r, consider)
	}
	return best
}

type considerFunc func(t *Target, cached int64, reason Reason, penalty float64)

// considerSample draws two targets, or walks on from a random start until it
// has found two usable ones.
func (p *affinity) considerSample(targets []*Target, r Request, random *rand.Rand, penalty float64, consider considerFunc) {
	if len(targets) == 0 {
		return
	}
	found := 0
	for range sampledTargets * 2 {
		t := targets[random.IntN(len(targets))]
		if usable(t, r) {
			consider(t, 0, ByLoad, penalty)
			found++
		}
		if found == sampledTargets {
			return
		}
	}
	start := random.IntN(len(targets))
	for i := 0; i < len(targets) && found < sampledTargets; i++ {
		t := targets[(start+i)%len(targets)]
		if usable(t, r) {
			consider(t, 0, ByLoad, penalty)
			found++
		}
	}
}

// considerHolders adds the targets that hold the longest known prefix. A holder
// that is hot, with more requests than its slots and far more than the best of
// the sample would bear, competes only by its estimate like any other, and one
// over the bound does not compete at all.
func (p *affinity) considerHolders(f *Fleet, r Request, consider considerFunc) {
	if f.index == nil || len(r.Blocks) == 0 {
		return
	}
	var found [maxHolders]*Target
	depth, n := f.index.Longest(r.Blocks, found[:])
	cached := min(int64(depth)*r.BlockTokens, r.PromptTokens)
	for _, t := range found[:n] {
		if usable(t, r) && !p.isHot(t) {
			consider(t, cached, ByPrefix, 0)
		}
	}
}

// considerHome adds the target that all instances agree on for a prefix that none
// is known to hold, so that instances which do not see each other's dispatches
// do not each fill a cache of their own with it. It is preferred by a little.
func (p *affinity) considerHome(f *Fleet, r Request, consider considerFunc) {
	if len(r.Blocks) == 0 || len(f.targets) == 0 {
		return
	}
	t := f.targets[jumpHash(r.Blocks[0], len(f.targets))]
	if usable(t, r) && !p.isHot(t) {
		consider(t, 0, ByHome, -homeBonusSeconds)
	}
}

// homeBonus, in seconds, is what a shared choice for an unknown prefix is worth.
const homeBonusSeconds = 0.2

// jumpHash spreads keys over buckets so that few keys move when their number
// changes (Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash
// Algorithm", 2014).
func jumpHash(key uint64, buckets int) int {
	var b, j int64 = -1, 0
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}

// isHot bounds affinity by the target's own slots and backlog, so that the check
// does not walk the fleet: one hot prefix may fill a target hot times, not more.
func (p *affinity) isHot(t *Target) bool {
	if float64(t.Requests()) > p.hot*float64(t.slots) {
		return true
	}
	return float64(t.waitingTokens()) > p.hot*maxBacklogSeconds*t.PrefillRate()
}

// estimate returns the seconds to the first token: prompts that wait, this
// prompt without its cached part, and the wait for a slot.
func estimateFirstToken(t *Target, r Request, cached int64) float64 {
	rate := t.PrefillRate()
	prefill := float64(t.waitingTokens()+r.PromptTokens-cached) / rate
	requests := t.Requests()
	crowding := float64(requests) / float64(max(1, t.slots))
	wait := 0.0
	if over := requests - int64(t.slots) + 1; over > 0 {
		wait = float64(over) / float64(t.slots) * float64(max(1, r.OutputTokens)) / t.DecodeRate()
	}
	return prefill*(1+crowding) + wait + crowding*occupancyPenaltySeconds
}

// crowdingCost, in seconds, is what a full batch costs the streams in it; it
// decides between targets that are equal otherwise.
const occupancyPenaltySeconds = 0.05
