package plan

import (
	"cmp"
	"maps"
	"slices"

	"auburnscale/peer"
)

// A Change represents an engine that should do another part of requests.
type StageChange struct {
	Target string
	Stage  peer.TargetRow_Stage
}

// runnerShare is the part of the engines that makes answers. Output of the
// usual length takes a third of the engines' time; the rest reads prompts, and
// readers read at full speed.
const runnerShare = 0.34

// slackShare is the part of the engines by which the number may be off: a change
// takes an engine away for seconds.
const slackShare = 9

// Stages returns the changes that bring a service's engines to the share that
// makes answers. Every failure domain keeps one that does, so that it serves on
// when it is cut off. While the number is off by little there is no change, but
// for a domain without any.
func StageChanges(rows []*peer.TargetRow) []StageChange {
	domains := map[string]*domainEngines{}
	total, runners := 0, 0
	for _, row := range rows {
		if row.Stage == peer.TargetRow_STAGE_UNSPECIFIED || row.Silent {
			continue
		}
		d := domains[row.Domain]
		if d == nil {
			d = &domainEngines{}
			domains[row.Domain] = d
		}
		total++
		runs := row.Stage == peer.TargetRow_DECODE
		switch {
		case row.AwayMs > 0:
			// It is on its way to the other stage, and counts there.
			if !runs {
				runners++
				d.coming++
			}
		case runs:
			runners++
			d.runners = append(d.runners, row)
		default:
			d.readers = append(d.readers, row)
		}
	}
	var changes []StageChange
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if d := domains[name]; len(d.runners)+d.coming == 0 && len(d.readers) > 0 {
			changes = append(changes, d.toRunner())
			runners++
		}
	}
	want := max(len(domains), int(runnerShare*float64(total)+0.5))
	slack := max(1, total/slackShare)
	if off := runners - want; off > slack {
		changes = append(changes, toReaders(domains, off)...)
	} else if off < -slack {
		changes = append(changes, toRunners(domains, -off)...)
	}
	return changes
}

// domainEngines are the engines of one failure domain by what they do, and the
// number of those that are about to make answers.
type domainEngines struct {
	runners, readers []*peer.TargetRow
	coming           int
}

// toRunner takes a reader, if possible one that stays.
func (d *domainEngines) toRunner() StageChange {
	slices.SortStableFunc(d.readers, func(a, b *peer.TargetRow) int { return cmp.Compare(rank(b), rank(a)) })
	e := d.readers[0]
	d.readers = d.readers[1:]
	d.runners = append(d.runners, e)
	return StageChange{e.Id, peer.TargetRow_DECODE}
}

// toReader takes a runner, if possible one that can be reclaimed: a reader that
// is lost harms least.
func (d *domainEngines) toReader() StageChange {
	slices.SortStableFunc(d.runners, func(a, b *peer.TargetRow) int { return cmp.Compare(rank(a), rank(b)) })
	e := d.runners[0]
	d.runners = d.runners[1:]
	return StageChange{e.Id, peer.TargetRow_PREFILL}
}

func rank(row *peer.TargetRow) int {
	if row.Reclaimable {
		return 0
	}
	return 1
}

// toReaders takes runners from the domains that have the most.
func toReaders(domains map[string]*domainEngines, n int) []StageChange {
	var changes []StageChange
	for range n {
		d := most(domains, func(d *domainEngines) int { return len(d.runners) })
		if len(d.runners) < 2 {
			break
		}
		changes = append(changes, d.toReader())
	}
	return changes
}

// toRunners takes readers from the domains that have the most.
func toRunners(domains map[string]*domainEngines, n int) []StageChange {
	var changes []StageChange
	for range n {
		d := most(domains, func(d *domainEngines) int { return len(d.readers) })
		if len(d.readers) == 0 {
			break
		}
		changes = append(changes, d.toRunner())
	}
	return changes
}

// most returns the domain with the highest count, the first by name among equals.
func most(domains map[string]*domainEngines, count func(*domainEngines) int) *domainEngines {
	var best *domainEngines
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if d := domains[name]; best == nil || count(d) > count(best) {
			best = d
		}
	}
	return best
}
