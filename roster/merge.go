package roster

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

func (r *Roster) merge(row *peer.TargetRow, age time.Duration) {
	ended := row.EndedMs
	if known := r.entries[row.Id]; known != nil {
		ended = max(ended, known.row.EndedMs)
	}
	r.mergeWord(row, r.now()-age)
	r.end(row.Id, ended)
}

// end applies a word of leaving that named no birth to the births that began
// before it, also to one that is heard of only now. The row keeps its own birth,
// which decides who owns the address.
func (r *Roster) end(id string, ended int64) {
	e := r.entries[id]
	if e == nil || ended == 0 {
		return
	}
	over := e.row.BornMs <= ended && e.row.State != peer.TargetRow_GONE
	if !over && e.row.EndedMs == ended {
		return
	}
	r.set(e, func(o *peer.TargetRow) {
		o.EndedMs = ended
		if over {
			o.State, o.Silent = peer.TargetRow_GONE, false
		}
	})
}

func (r *Roster) mergeWord(row *peer.TargetRow, heard time.Duration) {
	known := r.entries[row.Id]
	if known == nil {
		r.insert(row, heard)
		return
	}
	if row.State == peer.TargetRow_GONE && row.BornMs == 0 {
		r.leaveUnborn(known, row, heard)
		return
	}
	if known.row.State == peer.TargetRow_GONE && known.row.BornMs == 0 && heard <= known.heard {
		r.set(known, func(o *peer.TargetRow) { o.BornMs, o.Address = row.BornMs, row.Address })
		return
	}
	order := compare(row, known.row)
	if order == 0 || sameBirth(row, known.row) && row.State == known.row.State {
		r.refresh(known, row, heard)
		return
	}
	if order < 0 {
		return
	}
	r.insert(row, heard)
}

// leaveUnborn applies a word of leaving that names no birth. It holds for what
// was heard before it.
func (r *Roster) leaveUnborn(known *entry, row *peer.TargetRow, heard time.Duration) {
	if heard < known.heard || known.row.State == peer.TargetRow_GONE {
		return
	}
	known.heard = heard
	r.set(known, func(o *peer.TargetRow) { o.State, o.Silent = peer.TargetRow_GONE, false })
}

// refresh takes the later of two rows that say the same, without a change of
// the revision unless something else in the row differs.
func (r *Roster) refresh(known *entry, row *peer.TargetRow, heard time.Duration) {
	if row.Seq == known.row.Seq && heard >= known.heard-flagSlack && row.Silent != known.row.Silent {
		r.set(known, func(o *peer.TargetRow) { o.Silent = row.Silent })
	}
	known.heard = max(known.heard, heard)
	if row.Seq <= known.row.Seq {
		return
	}
	if differs(known.row, row) {
		r.insert(row, known.heard)
		return
	}
	next := proto.Clone(known.row).(*peer.TargetRow)
	next.Seq = row.Seq
	known.row = next
}

func differs(a, b *peer.TargetRow) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Stage != b.Stage || a.Reclaimable != b.Reclaimable || a.Silent != b.Silent || (a.ColdMs > 0) != (b.ColdMs > 0)
}

func (r *Roster) insert(row *peer.TargetRow, heard time.Duration) {
	if len(r.entries) >= maxRows && r.entries[row.Id] == nil {
		return
	}
	next := proto.Clone(row).(*peer.TargetRow)
	next.AgeMs = 0
	next.Silent = next.State != peer.TargetRow_GONE && r.now()-heard > r.silence
	if known := r.entries[row.Id]; known != nil && next.Address == "" {
		next = inherit(next, known.row)
	}
	e := &entry{row: next, heard: heard}
	next.AwayMs = 0
	if known := r.entries[row.Id]; known != nil && sameBirth(known.row, next) && known.row.Stage == next.Stage {
		e.awayUntil, next.AwayMs = known.awayUntil, known.row.AwayMs
	}
	r.entries[row.Id] = e
	r.revision++
	e.revision = r.revision
	r.supersede(next)
}

// inherit fills a word of leaving, which names nothing but the id.
func inherit(row, known *peer.TargetRow) *peer.TargetRow {
	next := proto.Clone(known).(*peer.TargetRow)
	next.State, next.Seq, next.BornMs, next.Silent = row.State, max(row.Seq, known.Seq), max(row.BornMs, known.BornMs), false
	return next
}

// supersede marks as gone whoever had the address before, or the row itself if
// the address has, or had, a newer owner.
func (r *Roster) supersede(row *peer.TargetRow) {
	for id, other := range r.entries {
		if id == row.Id || row.Address == "" || other.row.Address != row.Address {
			continue
		}
		older := other
		if other.row.BornMs > row.BornMs {
			older = r.entries[row.Id]
		}
		if older.row.State != peer.TargetRow_GONE {
			r.set(older, func(o *peer.TargetRow) { o.State, o.Silent = peer.TargetRow_GONE, false })
		}
	}
}

func (r *Roster) set(e *entry, change func(*peer.TargetRow)) {
	next := proto.Clone(e.row).(*peer.TargetRow)
	change(next)
	e.row = next
	r.revision++
	e.revision = r.revision
}

func sameBirth(a, b *peer.TargetRow) bool { return a.BornMs == b.BornMs }

// compare orders two rows of an id: a later birth first, then a later state,
// since nothing that leaves comes back within a birth.
func compare(a, b *peer.TargetRow) int {
	return cmp.Or(cmp.Compare(a.BornMs, b.BornMs), cmp.Compare(a.State, b.State), cmp.Compare(a.Seq, b.Seq))
}
