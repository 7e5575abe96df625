// Package roster keeps what targets say of themselves: which run, where, for
// which service, and which are leaving.
//
// It owns the order of what is said. Rows are soft state that any number of
// instances merge in any order and end up with the same: the newest birth owns
// an id and an address, a later sequence number wins within a birth, and a birth
// that has left never comes back. Silence alone removes nothing. A Roster has a
// lock of its own; a Snapshot is immutable.
//
// # Usage
//
//	r := roster.New(now)
//	changed := r.Merge(row)
//	for _, t := range r.Snapshot().Service("reading") { ... }
package roster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

const (
	// maxRows bounds the rows; a fleet of the size to design for has 620.
	maxRows = 4096
	// flagSlack is by how much two instances may differ on when a target was
	// last heard and still mean the same word.
	flagSlack = 300 * time.Millisecond
	// forgetAfter is how long a target that left is remembered. It exceeds any
	// delay of a heartbeat by far.
	forgetAfter = 10 * time.Minute
)

// A Roster represents the rows that one instance knows.
type Roster struct {
	now func() time.Duration
	// silence is the time without a word after which a target counts as silent.
	silence time.Duration

	mutex    sync.Mutex
	entries  map[string]*entry
	revision uint64
	changed  chan struct{}
	snapshot atomic.Pointer[Snapshot]
}

type entry struct {
	row *peer.TargetRow
	// heard is when any instance heard the target, as far as this one knows.
	heard time.Duration
	// awayUntil is when the target is back from an order of this instance's.
	awayUntil time.Duration
	// revision is that of the row's last change.
	revision uint64
}

// New returns an empty roster on the clock.
func New(now func() time.Duration, silence time.Duration) *Roster {
	r := &Roster{now: now, silence: silence, entries: map[string]*entry{}, changed: make(chan struct{})}
	r.snapshot.Store(newSnapshot(0, nil))
	return r
}

// Hear merges what a target said to this instance just now. It returns false if
// it is outdated. A word of leaving never is: it is acknowledged, and must hold
// whatever number it bears.
func (r *Roster) UpdateTarget(row *peer.TargetRow) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.entries[row.Id]
	if known != nil && row.BornMs == 0 {
		row.BornMs = known.row.BornMs
	}
	if known != nil && row.BornMs == known.row.BornMs && row.Seq <= known.row.Seq && row.State <= known.row.State && row.EndedMs <= known.row.EndedMs {
		return false
	}
	before := r.revision
	r.merge(row, 0)
	r.publish(before)
	return true
}

// Merge merges rows that another instance knows.
func (r *Roster) Merge(rows []*peer.TargetRow) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	for _, row := range rows {
		r.merge(row, time.Duration(row.AgeMs)*time.Millisecond)
		r.noteAway(row)
	}
	r.publish(before)
}

// Tick notes which targets have fallen silent and forgets those long gone.
func (r *Roster) Tick() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	now := r.now()
	for id, e := range r.entries {
		if e.row.State == peer.TargetRow_GONE {
			if now-e.heard > forgetAfter {
				delete(r.entries, id)
			}
			continue
		}
		if silent := now-e.heard > r.silence; silent != e.row.Silent {
			r.set(e, func(row *peer.TargetRow) { row.Silent = silent })
		}
	}
	r.publish(before)
}

// SetAway notes that the target was ordered to change its stage and takes
// nothing until it says that it did, or the time is over.
func (r *Roster) SetSwitching(id string, span time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[id]
	if e == nil {
		return
	}
	before := r.revision
	r.away(e, r.now()+span)
	r.publish(before)
}

// Expire ends the absences whose time is over.
func (r *Roster) EndExpiredSwitches() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	now := r.now()
	for _, e := range r.entries {
		if e.row.AwayMs > 0 && now > e.awayUntil {
			r.set(e, func(row *peer.TargetRow) { row.AwayMs = 0 })
		}
	}
	r.publish(before)
}

// away prolongs an absence. The longest word wins, in whatever order they come.
func (r *Roster) away(e *entry, until time.Duration) {
	if until <= e.awayUntil+flagSlack {
		return
	}
	e.awayUntil = until
	if e.row.AwayMs == 0 {
		r.set(e, func(row *peer.TargetRow) { row.AwayMs = 1 })
	}
}

// noteAway takes what another instance says of an absence. It holds for the
// stage that the target had then.
func (r *Roster) noteAway(row *peer.TargetRow) {
	e := r.entries[row.Id]
	if row.AwayMs > 0 && e != nil && e.row.Stage == row.Stage && e.row.BornMs == row.BornMs && e.row.State != peer.TargetRow_GONE {
		r.away(e, r.now()+time.Duration(row.AwayMs)*time.Millisecond)
	}
}

// merge applies one row that was heard the age ago.
// publish makes the rows visible if anything changed since the revision.
func (r *Roster) publish(before uint64) {
	if r.revision == before {
		return
	}
	var rows []*peer.TargetRow
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		rows = append(rows, r.entries[id].row)
	}
	r.snapshot.Store(newSnapshot(r.revision, rows))
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot returns the rows as last published.
func (r *Roster) Snapshot() *Snapshot { return r.snapshot.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// Rows returns copies of the rows that changed since the revision, with their
// ages, and the revision that they show; all rows for revision 0.
func (r *Roster) Rows(since uint64) ([]*peer.TargetRow, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	var rows []*peer.TargetRow
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[id]
		if e.revision <= since {
			continue
		}
		row := proto.Clone(e.row).(*peer.TargetRow)
		row.AgeMs = max(0, (now - e.heard).Milliseconds())
		if row.AwayMs > 0 {
			row.AwayMs = max(1, (e.awayUntil - now).Milliseconds())
		}
		rows = append(rows, row)
	}
	return rows, r.revision
}
