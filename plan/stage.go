package plan

import (
	"cmp"
	"slices"

	"auburnscale/peer"
)

// A Change represents an engine that should do another part of requests.
type Change struct {
	Target string
	Stage  peer.TargetRow_Stage
}

// runnerShare is the part of the engines that makes answers. Output of the
// usual length takes a third of the engines' time; the rest reads prompts, and
// readers read at full speed.
const runnerShare = 0.34

// Stages returns the changes that bring each failure domain to its share of
// engines that make answers: one at least, so that a domain that is cut off
// serves on. It returns none while the present numbers are at most one off, but
// for a domain without any.
func Stages(rows []*peer.TargetRow) []Change {
	byDomain := map[string][]*peer.TargetRow{}
	for _, row := range rows {
		if row.Stage != peer.TargetRow_STAGE_UNSPECIFIED && !row.Silent {
			byDomain[row.Domain] = append(byDomain[row.Domain], row)
		}
	}
	var changes []Change
	for _, engines := range byDomain {
		changes = append(changes, stagesOf(engines)...)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Target, b.Target) })
	return changes
}

func stagesOf(engines []*peer.TargetRow) []Change {
	want := max(1, int(runnerShare*float64(len(engines))+0.5))
	var runners, readers []*peer.TargetRow
	for _, e := range engines {
		if e.Stage == peer.TargetRow_DECODE {
			runners = append(runners, e)
		} else {
			readers = append(readers, e)
		}
	}
	var changes []Change
	switch {
	case len(runners) == 0:
		changes = append(changes, Change{readers[0].Id, peer.TargetRow_DECODE})
	case len(runners) > want:
		// What can be reclaimed reads prompts, which harms least if it is lost.
		slices.SortStableFunc(runners, func(a, b *peer.TargetRow) int { return cmp.Compare(order(a), order(b)) })
		for _, e := range runners[:len(runners)-want] {
			changes = append(changes, Change{e.Id, peer.TargetRow_PREFILL})
		}
	case len(runners) < want-1:
		changes = append(changes, Change{readers[0].Id, peer.TargetRow_DECODE})
	}
	return changes
}

func order(row *peer.TargetRow) int {
	if row.Reclaimable {
		return 0
	}
	return 1
}
