package roster

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// merge merges one row. age is the time since the last contact of its target.
func (r *Roster) merge(row *peer.TargetRow, age time.Duration) {
	ended := row.EndedMs
	if known := r.entries[row.Id]; known != nil {
		ended = max(ended, known.row.EndedMs)
	}
	r.mergeRow(row, r.now()-age)
	r.applyEnd(row.Id, ended)
}

// applyEnd applies a deregistration that named no start time to the incarnations
// that started no later than it, including one that becomes known only afterwards.
// The row keeps its own start time, which decides the ownership of the address.
func (r *Roster) applyEnd(id string, ended int64) {
	e := r.entries[id]
	if e == nil || ended == 0 {
		return
	}
	ends := e.row.BornMs <= ended && e.row.State != peer.TargetRow_GONE
	if !ends && e.row.EndedMs == ended {
		return
	}
	r.update(e, func(o *peer.TargetRow) {
		o.EndedMs = ended
		if ends {
			o.State, o.Silent = peer.TargetRow_GONE, false
		}
	})
}

// mergeRow merges a row without regard to EndedMs.
func (r *Roster) mergeRow(row *peer.TargetRow, lastContact time.Duration) {
	known := r.entries[row.Id]
	if known == nil {
		r.insert(row, lastContact)
		return
	}
	if row.State == peer.TargetRow_GONE && row.BornMs == 0 {
		r.deregisterWithoutStart(known, row, lastContact)
		return
	}
	row = r.joinVersions(known, row)
	if known.row.State == peer.TargetRow_GONE && known.row.BornMs == 0 && lastContact <= known.lastContact {
		r.update(known, func(o *peer.TargetRow) { o.BornMs, o.Address = row.BornMs, row.Address })
		return
	}
	order := compareRows(row, known.row)
	if order == 0 || sameIncarnation(row, known.row) && row.State == known.row.State {
		r.refresh(known, row, lastContact)
		return
	}
	if order < 0 {
		return
	}
	r.insert(row, lastContact)
}

// deregisterWithoutStart applies a deregistration that names no start time. It
// applies if the known row is not from a later contact.
func (r *Roster) deregisterWithoutStart(known *entry, row *peer.TargetRow, lastContact time.Duration) {
	if lastContact < known.lastContact || known.row.State == peer.TargetRow_GONE {
		return
	}
	known.lastContact = lastContact
	r.update(known, func(o *peer.TargetRow) { o.State, o.Silent = peer.TargetRow_GONE, false })
}

// joinVersions gives both rows, if they are of the same start, the software version that they name
// together. A start runs one version: if they name two, neither can be relied on.
func (r *Roster) joinVersions(known *entry, row *peer.TargetRow) *peer.TargetRow {
	if !sameIncarnation(known.row, row) {
		return row
	}
	version, disputed := joinedVersion(known.row, row)
	if known.row.SoftwareVersion != version || known.row.VersionDisputed != disputed {
		r.update(known, func(o *peer.TargetRow) { o.SoftwareVersion, o.VersionDisputed = version, disputed })
	}
	if row.SoftwareVersion == version && row.VersionDisputed == disputed {
		return row
	}
	joined := proto.Clone(row).(*peer.TargetRow)
	joined.SoftwareVersion, joined.VersionDisputed = version, disputed
	return joined
}

func joinedVersion(a, b *peer.TargetRow) (version string, disputed bool) {
	switch {
	case a.VersionDisputed || b.VersionDisputed:
		return "", true
	case a.SoftwareVersion == "" || a.SoftwareVersion == b.SoftwareVersion:
		return b.SoftwareVersion, false
	case b.SoftwareVersion == "":
		return a.SoftwareVersion, false
	}
	return "", true
}

// refresh takes the later of two rows of the same incarnation and state. The
// revision changes only if something else in the row differs.
func (r *Roster) refresh(known *entry, row *peer.TargetRow, lastContact time.Duration) {
	if row.Seq == known.row.Seq && lastContact >= known.lastContact-contactTolerance && row.Silent != known.row.Silent {
		r.update(known, func(o *peer.TargetRow) { o.Silent = row.Silent })
	}
	known.lastContact = max(known.lastContact, lastContact)
	if row.Seq <= known.row.Seq {
		return
	}
	if contentDiffers(known.row, row) {
		r.insert(row, known.lastContact)
		return
	}
	next := proto.Clone(known.row).(*peer.TargetRow)
	next.Seq = row.Seq
	known.row = next
}

// contentDiffers reports whether two rows differ in anything but identity, state,
// sequence number and ages.
func contentDiffers(a, b *peer.TargetRow) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Stage != b.Stage || a.Reclaimable != b.Reclaimable || a.SoftwareVersion != b.SoftwareVersion || a.VersionDisputed != b.VersionDisputed || a.Silent != b.Silent || (a.ColdMs > 0) != (b.ColdMs > 0)
}

// insert replaces the row of the id, or adds it if there is room.
func (r *Roster) insert(row *peer.TargetRow, lastContact time.Duration) {
	if r.entries[row.Id] == nil && r.full() {
		return
	}
	next := proto.Clone(row).(*peer.TargetRow)
	next.AgeMs = 0
	next.Silent = next.State != peer.TargetRow_GONE && r.now()-lastContact > r.unresponsiveAfter
	if known := r.entries[row.Id]; known != nil && next.Address == "" {
		next = fillDeregistration(next, known.row)
	}
	e := &entry{row: next, lastContact: lastContact, drainingSince: r.now()}
	next.AwayMs, next.DrainingMs = 0, 0
	r.noteReplaced(next, lastContact)
	if known := r.entries[row.Id]; known != nil && sameIncarnation(known.row, next) && known.row.State == peer.TargetRow_DRAINING {
		e.drainingSince = known.drainingSince
	}
	if known := r.entries[row.Id]; known != nil && sameIncarnation(known.row, next) && known.row.Stage == next.Stage {
		e.switchingUntil, next.AwayMs = known.switchingUntil, known.row.AwayMs
	}
	r.entries[row.Id] = e
	r.revision++
	e.revision = r.revision
	r.resolveAddress(next)
}

// noteReplaced records what stops to serve when the row replaces that of its id. A target that had
// ended before this instance heard of it served until its last contact.
func (r *Roster) noteReplaced(row *peer.TargetRow, lastContact time.Duration) {
	if known := r.entries[row.Id]; known != nil && known.row.State != peer.TargetRow_GONE {
		if stopsServing(known.row, row) {
			r.noteServed(known.row, r.now())
		}
	} else if row.State == peer.TargetRow_GONE {
		r.noteServed(row, lastContact)
	}
}

// mergeDraining takes over the earlier of two times at which a target began to drain.
func (r *Roster) mergeDraining(row *peer.TargetRow) {
	e := r.entries[row.Id]
	if row.DrainingMs > 0 && e != nil && e.row.BornMs == row.BornMs {
		e.drainingSince = min(e.drainingSince, r.now()-peer.Age(row.DrainingMs))
	}
}

// fillDeregistration completes a deregistration, which may name nothing but the
// id, from the known row.
func fillDeregistration(row, known *peer.TargetRow) *peer.TargetRow {
	next := proto.Clone(known).(*peer.TargetRow)
	next.State, next.Seq, next.BornMs, next.Silent = row.State, max(row.Seq, known.Seq), max(row.BornMs, known.BornMs), false
	return next
}

// resolveAddress marks the previous owner of the row's address as gone, or the row
// itself if the address has, or had, a later owner.
func (r *Roster) resolveAddress(row *peer.TargetRow) {
	for id, other := range r.entries {
		if id == row.Id || row.Address == "" || other.row.Address != row.Address {
			continue
		}
		older := other
		if other.row.BornMs > row.BornMs {
			older = r.entries[row.Id]
		}
		if older.row.State != peer.TargetRow_GONE {
			r.update(older, func(o *peer.TargetRow) { o.State, o.Silent = peer.TargetRow_GONE, false })
		}
	}
}

// update replaces the row of an entry by a changed copy in a new revision. The old
// row may be in a published snapshot.
func (r *Roster) update(e *entry, change func(*peer.TargetRow)) {
	next := proto.Clone(e.row).(*peer.TargetRow)
	change(next)
	if e.row.State != peer.TargetRow_GONE && stopsServing(e.row, next) {
		r.noteServed(e.row, r.now())
	}
	if e.row.State == peer.TargetRow_READY && next.State == peer.TargetRow_DRAINING {
		e.drainingSince = r.now()
	}
	e.row = next
	r.revision++
	e.revision = r.revision
}

// stopsServing reports whether the software of a row does not serve any more once the other row has
// replaced it. A version that is named later was that of the start all along.
func stopsServing(row, next *peer.TargetRow) bool {
	named := row.SoftwareVersion == "" && next.SoftwareVersion != ""
	return next.State == peer.TargetRow_GONE || !named && SoftwareOf(row) != SoftwareOf(next)
}

// sameIncarnation reports whether two rows of an id have the same start time.
func sameIncarnation(a, b *peer.TargetRow) bool { return a.BornMs == b.BornMs }

// compareRows returns a positive number if a supersedes b, a row of the same id. It
// compares by start time, then by state, because a target never returns to an
// earlier state within an incarnation, and then by sequence number.
func compareRows(a, b *peer.TargetRow) int {
	return cmp.Or(cmp.Compare(a.BornMs, b.BornMs), cmp.Compare(a.State, b.State), cmp.Compare(a.Seq, b.Seq))
}
