package plan

import (
	"cmp"
	"maps"
	"slices"

	"auburnscale/peer"
)

// A StageChange represents an engine that should switch to another stage.
type StageChange struct {
	Target string
	Stage  peer.TargetRow_Stage
}

// decodeShare is the share of engines that decode. Decoding output of the usual
// length takes a third of the engines' time; the other engines only prefill, which
// they do at full speed.
const decodeShare = 0.34

// toleranceDivisor limits the deviation that causes no change: the number of decode
// engines may differ from the desired one by a toleranceDivisor-th of all engines, or
// by one if that is more. Each change takes an engine out of service for seconds.
const toleranceDivisor = 9

// StageChanges returns the changes that bring the share of a service's engines that
// decode to decodeShare. Every failure domain keeps at least one decode engine, so
// that it can serve while it is cut off from the others. A deviation within the
// tolerance causes no change, except for a failure domain without a decode engine. Among the engines of a
// domain, those are picked that leave each software version with decode engines, since a stream
// goes on only at the version that began it.
func StageChanges(rows []*peer.TargetRow) []StageChange {
	domains := map[string]*domainEngines{}
	versions := versionCounts{}
	total, decoding := 0, 0
	for _, row := range rows {
		if row.Stage == peer.TargetRow_STAGE_UNSPECIFIED || row.Silent {
			continue
		}
		d := domains[row.Domain]
		if d == nil {
			d = &domainEngines{versions: versions}
			domains[row.Domain] = d
		}
		total++
		versions.of(row).total++
		isDecode := row.Stage == peer.TargetRow_DECODE
		switch {
		case row.AwayMs > 0:
			// The engine is switching and counts as being in the other stage.
			if !isDecode {
				decoding++
				d.switchingToDecode++
			}
		case isDecode:
			decoding++
			versions.of(row).decode++
			d.decode = append(d.decode, row)
		default:
			d.prefill = append(d.prefill, row)
		}
	}
	var changes []StageChange
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if d := domains[name]; len(d.decode)+d.switchingToDecode == 0 && len(d.prefill) > 0 {
			changes = append(changes, d.switchToDecode())
			decoding++
		}
	}
	want := max(len(domains), int(decodeShare*float64(total)+0.5))
	tolerance := max(1, total/toleranceDivisor)
	if excess := decoding - want; excess > tolerance {
		changes = append(changes, switchManyToPrefill(domains, excess)...)
	} else if excess < -tolerance {
		changes = append(changes, switchManyToDecode(domains, -excess)...)
	}
	return changes
}

// domainEngines holds the engines of one failure domain by stage, and the number
// of those that are switching to decode.
type domainEngines struct {
	decode, prefill   []*peer.TargetRow
	switchingToDecode int
	versions          versionCounts
}

// versionCounts holds the engines of a service by their software version.
type versionCounts map[string]*versionCount

// A versionCount is the number of a version's engines, and of those that decode.
type versionCount struct{ decode, total int }

func (v versionCounts) of(row *peer.TargetRow) *versionCount {
	if v[row.SoftwareVersion] == nil {
		v[row.SoftwareVersion] = &versionCount{}
	}
	return v[row.SoftwareVersion]
}

// lacking returns 1 if the version of the row, which has several engines, has at most that many that
// decode, else 0.
func (v versionCounts) lacking(row *peer.TargetRow, decode int) int {
	if c := v.of(row); c.total > 1 && c.decode <= decode {
		return 1
	}
	return 0
}

// switchToDecode picks a prefill engine, preferring one of a version of which none decodes, and then one that
// is not reclaimable.
func (d *domainEngines) switchToDecode() StageChange {
	slices.SortStableFunc(d.prefill, func(a, b *peer.TargetRow) int {
		return cmp.Or(cmp.Compare(d.versions.lacking(b, 0), d.versions.lacking(a, 0)), cmp.Compare(retentionRank(b), retentionRank(a)))
	})
	e := d.prefill[0]
	d.prefill = d.prefill[1:]
	d.decode = append(d.decode, e)
	d.versions.of(e).decode++
	return StageChange{e.Id, peer.TargetRow_DECODE}
}

// switchToPrefill picks a decode engine, preferring one that is not the last of its version, and then a
// reclaimable one, since losing a prefill engine does the least harm.
func (d *domainEngines) switchToPrefill() StageChange {
	slices.SortStableFunc(d.decode, func(a, b *peer.TargetRow) int {
		return cmp.Or(cmp.Compare(d.versions.lacking(a, 1), d.versions.lacking(b, 1)), cmp.Compare(retentionRank(a), retentionRank(b)))
	})
	e := d.decode[0]
	d.decode = d.decode[1:]
	d.versions.of(e).decode--
	return StageChange{e.Id, peer.TargetRow_PREFILL}
}

func retentionRank(row *peer.TargetRow) int {
	if row.Reclaimable {
		return 0
	}
	return 1
}

// switchManyToPrefill picks up to n decode engines, each from the domain that has the most
// of them. It leaves at least one in every domain.
func switchManyToPrefill(domains map[string]*domainEngines, n int) []StageChange {
	var changes []StageChange
	for range n {
		d := largestDomain(domains, func(d *domainEngines) int { return len(d.decode) })
		if len(d.decode) < 2 {
			break
		}
		changes = append(changes, d.switchToPrefill())
	}
	return changes
}

// switchManyToDecode picks up to n prefill engines, each from the domain that has the most
// of them.
func switchManyToDecode(domains map[string]*domainEngines, n int) []StageChange {
	var changes []StageChange
	for range n {
		d := largestDomain(domains, func(d *domainEngines) int { return len(d.prefill) })
		if len(d.prefill) == 0 {
			break
		}
		changes = append(changes, d.switchToDecode())
	}
	return changes
}

// largestDomain returns the domain with the highest count; the first by name wins a
// tie.
func largestDomain(domains map[string]*domainEngines, count func(*domainEngines) int) *domainEngines {
	var best *domainEngines
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if d := domains[name]; best == nil || count(d) > count(best) {
			best = d
		}
	}
	return best
}
