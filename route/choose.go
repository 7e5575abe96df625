package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// A Request holds the properties of a request that routing uses.
type Request struct {
	PromptTokens int64
	OutputTokens int64
	// Blocks holds the chained hash of each prefix block of the prompt, in order.
	Blocks []uint64
	// BlockTokens is the length of a prefix block in tokens.
	BlockTokens int64
	// Avoid holds the names of targets that already failed this request.
	Avoid []string
	// AvoidReclaimable excludes reclaimable targets, for requests that would be
	// harmed if their target were reclaimed.
	AvoidReclaimable bool
	// Version, if not nil, excludes targets whose last load report names another version of their
	// software.
	Version *string
}

// A Reason says why a target was chosen.
type Reason string

const (
	// ByPrefix means that the target holds the longest known prefix of the prompt.
	ByPrefix Reason = "prefix"
	// ByLoad means that the target was the best of a random sample.
	ByLoad Reason = "load"
	// ByHome means that the target is the home target of the prompt's first block.
	ByHome Reason = "home"
	// ByRotation means that the target was next in the round robin.
	ByRotation Reason = "rotation"
	// NoTarget means that no target was usable.
	NoTarget Reason = "no_target"
	// ByLeastCount means that the target had the fewest requests of this instance
	// in flight.
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

// Reason returns why the target was chosen.
func (d Decision) Reason() Reason { return d.reason }

// Cached returns the number of prompt tokens that the target is expected to have
// in its cache.
func (d Decision) Cached() int64 { return d.cached }

// A Policy chooses among the targets of a fleet.
type Policy interface {
	Choose(f *Fleet, r Request, random *rand.Rand) Decision
}

// NewPolicy returns the policy of that name in the settings. hotFactor limits prefix
// affinity: a target with more than hotFactor times its slots in requests, or more
// than hotFactor times the accepted backlog of prompt tokens, is not preferred for its
// cache.
func NewPolicy(name string, hotFactor float64) (Policy, error) {
	switch name {
	case "affinity":
		return &affinity{hotFactor: hotFactor}, nil
	case "least_in_flight":
		return leastInFlight{}, nil
	case "round_robin":
		return &roundRobin{}, nil
	}
	return nil, fmt.Errorf("unknown routing policy %q", name)
}

func usable(t *Target, r Request) bool {
	if r.Version != nil && t.ReportedVersion() != *r.Version {
		return false
	}
	return !t.HeldOff(time.Now()) && !t.ReportedSwitching() && !(r.AvoidReclaimable && t.reclaimable) && !slices.Contains(r.Avoid, t.name)
}

// roundRobin is a baseline policy that ignores load and caches.
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

// leastInFlight is a baseline policy that uses only this instance's own request
// counts.
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
	// sampledTargets is the number of random targets compared by load (the power
	// of two choices).
	sampledTargets = 2
	// maxHolders is the maximum number of prefix holders that are compared.
	maxHolders = 3
	// remotePenaltySeconds is added to the estimate of a target in another failure
	// domain.
	remotePenaltySeconds = 0.01
)

// affinity compares two random targets and the holders of the longest known
// prefix by their estimated time to the first token. Its running time does not
// grow with the fleet, except when most targets are unusable.
type affinity struct{ hotFactor float64 }

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

// considerSample adds up to sampledTargets usable targets: random draws first, then
// a scan from a random start if too few of the draws were usable.
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

// considerHolders adds the targets that hold the longest known prefix, except hot
// ones, which are left out however long their prefix is.
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

// considerHome adds the home target of the prompt, on which all instances agree,
// for a prefix that no target is known to hold. Otherwise instances, which do not
// see each other's dispatches, would each fill a different target's cache with it.
// The home target is preferred by homeBonusSeconds.
func (p *affinity) considerHome(f *Fleet, r Request, consider considerFunc) {
	if len(r.Blocks) == 0 || len(f.targets) == 0 {
		return
	}
	t := f.targets[jumpHash(r.Blocks[0], len(f.targets))]
	if usable(t, r) && !p.isHot(t) {
		consider(t, 0, ByHome, -homeBonusSeconds)
	}
}

// homeBonusSeconds is subtracted from the estimate of the home target, since the
// next instance to see the prefix will choose the same target.
const homeBonusSeconds = 0.2

// jumpHash maps a key to one of the buckets so that few keys move when the number
// of buckets changes (Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash
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

// isHot reports whether the target is too loaded for prefix affinity. It compares
// with the target's own slots and backlog, so that it need not scan the fleet. One
// popular prefix can therefore load a target to hotFactor times its slots at most.
func (p *affinity) isHot(t *Target) bool {
	if float64(t.Requests()) > p.hotFactor*float64(t.slots) {
		return true
	}
	return float64(t.waitingTokens()) > p.hotFactor*maxBacklogSeconds*t.PrefillRate()
}

// estimateFirstToken returns the estimated seconds to the first token: the prefill
// of the prompts that wait and of the uncached part of this one, and the wait for a
// slot.
func estimateFirstToken(t *Target, r Request, cached int64) float64 {
	rate := t.PrefillRate()
	prefill := float64(t.waitingTokens()+r.PromptTokens-cached) / rate
	requests := t.Requests()
	occupancy := float64(requests) / float64(max(1, t.slots))
	wait := 0.0
	if over := requests - int64(t.slots) + 1; over > 0 {
		wait = float64(over) / float64(t.slots) * float64(max(1, r.OutputTokens)) / t.DecodeRate()
	}
	return prefill*(1+occupancy) + wait + occupancy*occupancyPenaltySeconds
}

// occupancyPenaltySeconds is how much a full batch delays the streams in it. It
// decides between targets that are otherwise equal.
const occupancyPenaltySeconds = 0.05
