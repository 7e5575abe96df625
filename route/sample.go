package route

import (
	"math/rand/v2"
	"slices"
)

const (
	// compareAll is the number of targets of one stage up to which all are
	// compared. Beyond it many instances, whose knowledge of each other's work is
	// some tenths of a second old, would all send to the one that was lightest.
	fullScanLimit = 24
	// sampledRunners of each failure domain are compared by load in a large fleet:
	// two random choices.
	sampledPerDomain = 2
	// sampledBeside random targets are compared beside the homes and the holders of
	// a prompt's shared part.
	randomPrefixCandidates = 4
)

// homeTrusts are the parts of a prompt's shared tokens that its homes are taken
// to hold, though this instance has not seen them there. The first home is the
// one on which all instances agree; in a large fleet the others take what is too
// much for it.
var homeAssumedCached = []float64{0.8, 0.4, 0.2}

// A contender represents a target that a prompt is compared on, with the part of
// the shared tokens that it is trusted to hold.
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

// contenders returns the targets of a stage that a prompt is compared on.
func (p Placer) prefixCandidates(f *Fleet, targets []*Target, prompt Prompt) []prefixCandidate {
	if len(targets) <= fullScanLimit {
		list := allCandidates(targets)
		if n := homeTarget(targets, prompt); n >= 0 {
			list[n].assumedCached = homeAssumedCached[0]
		}
		return list
	}
	var list []prefixCandidate
	add := func(t *Target, trust float64) {
		if !slices.ContainsFunc(list, func(c prefixCandidate) bool { return c.target == t }) {
			list = append(list, prefixCandidate{t, trust})
		}
	}
	for i, t := range homeTargets(targets, prompt) {
		add(t, homeAssumedCached[i])
	}
	for _, t := range f.index.holders(prompt.Blocks) {
		// A holder may have left the fleet or its stage since.
		if slices.Contains(targets, t) {
			add(t, 0)
		}
	}
	for range randomPrefixCandidates {
		add(targets[p.randIntN(len(targets))], 0)
	}
	return list
}

// sampleRunners returns the runners that are compared by load.
func (p Placer) sampleDecodeTargets(f *Fleet) []*Target {
	if len(f.decodeTargets) <= fullScanLimit {
		return f.decodeTargets
	}
	var list []*Target
	for _, domain := range f.decodeTargetsByDomain {
		for range sampledPerDomain {
			list = append(list, domain[p.randIntN(len(domain))])
		}
	}
	return list
}

// homeOf returns the index of the target that all instances agree on for the
// shared part of a prompt (rendezvous hashing: few prompts move when a target
// comes or goes), or -1 if nothing is shared.
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

// homesOf returns the first targets in the order of homeOf.
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
