package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fullScanLimit is the number of targets of one stage up to which all are
	// compared. In a larger fleet many instances, which know each other's load only as
	// of some tenths of a second ago, would all choose the same least loaded target.
	fullScanLimit = 24
	// sampledPerDomain is the number of random decode targets of each failure domain
	// that are compared by load in a large fleet (the power of two choices).
	sampledPerDomain = 2
	// randomPrefixCandidates is the number of random targets that are compared in
	// addition to the home targets and the holders of a prompt's shared blocks.
	randomPrefixCandidates = 4
)

// homeAssumedCached holds, for each of a prompt's home targets in order, the fraction
// of the shared tokens that it is assumed to have in its cache even if this instance
// has not seen them there. All instances agree on the first home target; in a large
// fleet the others take its overflow.
var homeAssumedCached = []float64{0.8, 0.4, 0.2}

// A prefixCandidate is a target to consider for a prompt, with the fraction of the
// shared tokens that it is assumed to have in its cache.
type prefixCandidate struct {
	target        *Target
	assumedCached float64
}

func allCandidates(targets []*Target) []prefixCandidate {
	list := make([]prefixCandidate, len(targets))
	for i, t := range targets {
		list[i].target = t
	}
	return list
}

func (p Placer) randIntN(n int) int {
	if p.RandIntN != nil {
		return p.RandIntN(n)
	}
	return rand.IntN(n)
}

// prefixCandidates returns those of the targets, all of one stage, that are compared
// for the prompt.
func (p Placer) prefixCandidates(f *Fleet, targets []*Target, prompt Prompt, now time.Time) []prefixCandidate {
	if p.comparesAll(f, targets, now) {
		list := allCandidates(targets)
		if n := homeTarget(targets, prompt); n >= 0 {
			list[n].assumedCached = homeAssumedCached[0]
		}
		return list
	}
	var list []prefixCandidate
	add := func(t *Target, assumedCached float64) {
		if !slices.ContainsFunc(list, func(c prefixCandidate) bool { return c.target == t }) {
			list = append(list, prefixCandidate{t, assumedCached})
		}
	}
	for i, t := range homeTargets(targets, prompt) {
		add(t, homeAssumedCached[i])
	}
	for _, t := range f.index.holders(prompt.Blocks) {
		// A holder may have left the fleet or changed its stage since it was indexed.
		if slices.Contains(targets, t) {
			add(t, 0)
		}
	}
	random := randomPrefixCandidates
	if len(targets) <= fullScanLimit {
		random = smallFleetSample
	}
	for range random {
		add(targets[p.randIntN(len(targets))], 0)
	}
	return list
}

// sampleDecodeTargets returns the decode targets that are compared by load.
func (p Placer) sampleDecodeTargets(f *Fleet, now time.Time) []*Target {
	if p.comparesAll(f, f.decodeTargets, now) {
		return f.decodeTargets
	}
	var list []*Target
	if t := p.exploredTarget(f, now); t != nil {
		return append(list, t)
	}
	if len(f.decodeTargets) <= fullScanLimit {
		for range smallFleetSample {
			list = append(list, f.decodeTargets[p.randIntN(len(f.decodeTargets))])
		}
		return list
	}
	for _, domain := range f.decodeTargetsByDomain {
		for range sampledPerDomain {
			list = append(list, domain[p.randIntN(len(domain))])
		}
	}
	return list
}

// homeTarget returns the index of the home target, on which all instances agree, for
// the shared blocks of the prompt, or -1 if it has none. It uses rendezvous hashing,
// so that few prompts move when a target joins or leaves.
func homeTarget(targets []*Target, prompt Prompt) int {
	if len(prompt.Blocks) == 0 {
		return -1
	}
	key := prompt.Blocks[len(prompt.Blocks)-1]
	best, most := -1, uint64(0)
	for i, t := range targets {
		if rank := mix(t.hash ^ key); best < 0 || rank > most {
			best, most = i, rank
		}
	}
	return best
}

// homeTargets returns the targets that homeTarget ranks highest, best first: one for
// each entry of homeAssumedCached, if there are as many.
func homeTargets(targets []*Target, prompt Prompt) []*Target {
	if len(prompt.Blocks) == 0 {
		return nil
	}
	key := prompt.Blocks[len(prompt.Blocks)-1]
	homes := make([]*Target, 0, len(homeAssumedCached)+1)
	ranks := make([]uint64, 0, len(homeAssumedCached)+1)
	for _, t := range targets {
		rank := mix(t.hash ^ key)
		at := 0
		for at < len(ranks) && ranks[at] >= rank {
			at++
		}
		if at < len(homeAssumedCached) {
			homes, ranks = slices.Insert(homes, at, t), slices.Insert(ranks, at, rank)
			homes, ranks = homes[:min(len(homes), len(homeAssumedCached))], ranks[:min(len(ranks), len(homeAssumedCached))]
		}
	}
	return homes
}
