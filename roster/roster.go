// Package roster keeps the state that targets report in their heartbeats and
// deregistrations: which targets run, at which address, for which service, and
// which are draining.
//
// It owns the order of these reports. Rows are soft state: instances that merge
// the same rows in any order end up with the same result. The incarnation with
// the latest start time owns an id and an address, a higher sequence number wins
// within an incarnation, and an incarnation that deregistered never comes back. A
// target that merely stops sending heartbeats is not removed. A Roster is safe for
// concurrent use; a Snapshot is immutable.
//
// # Usage
//
//	r := roster.New(now, unresponsiveAfter)
//	r.Merge(rows)
//	for _, t := range r.Snapshot().ReadyTargets(service) { ... }
package roster

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/origin"
	"auburnscale/peer"
)

const (
	// maxRows is the maximum number of rows. The largest fleet that the system is
	// designed for has 620.
	maxRows = 4096
	// contactTolerance is by how much two instances may differ on the time of the
	// same event, such as the last contact of a target.
	contactTolerance = 300 * time.Millisecond
	// goneRetention is how long the row of a deregistered target is kept. It is
	// much longer than any heartbeat is delayed.
	goneRetention = 10 * time.Minute
	// deltaTTL is how long the changed rows that one instance got are given to others as
	// well. It is below contactTolerance.
	deltaTTL = 100 * time.Millisecond
)

// A Roster holds the target rows that one instance knows.
type Roster struct {
	now func() time.Duration
	// unresponsiveAfter is the time without a heartbeat after which a target counts
	// as unresponsive.
	unresponsiveAfter time.Duration

	mutex   sync.Mutex
	entries map[string]*entry
	// served holds when software last served that a target stopped running; it has all that did after
	// softwareSince.
	served        map[origin.Origin]time.Duration
	softwareSince time.Duration
	// leaving holds this instance's own observations of leaving targets by id.
	leaving  map[string]leavingReport
	revision uint64
	// deltas holds the results of Rows by the revision asked for. They belong to
	// deltasRevision and were made at deltasAt or later. Many instances ask for the same.
	deltas         map[uint64][]*peer.TargetRow
	deltasRevision uint64
	deltasAt       time.Duration
	changed        chan struct{}
	snapshot       atomic.Pointer[Snapshot]
}

// An entry is the row of one target with times on this instance's clock.
type entry struct {
	row *peer.TargetRow
	// lastContact is the latest contact of the target with any instance, as far
	// as this instance knows.
	lastContact time.Duration
	// drainingSince is when the target began to drain, as far as this instance knows.
	drainingSince time.Duration
	// switchingUntil is when an ordered change of the stage ends at the latest.
	switchingUntil time.Duration
	// revision is the revision of the row's last change.
	revision uint64
}

// New returns an empty roster that takes the time from now. A target is marked
// as unresponsive after unresponsiveAfter without a heartbeat.
func New(now func() time.Duration, unresponsiveAfter time.Duration) *Roster {
	r := &Roster{now: now, unresponsiveAfter: unresponsiveAfter, entries: map[string]*entry{}, served: map[origin.Origin]time.Duration{}, softwareSince: now(), leaving: map[string]leavingReport{}, changed: make(chan struct{})}
	r.snapshot.Store(newSnapshot(0, nil))
	return r
}

// UpdateTarget merges a heartbeat or deregistration that this instance just received
// from a target. It returns false if the row is outdated or Check refuses it. A deregistration is not
// outdated by its sequence number, because it is acknowledged and must then hold.
func (r *Roster) UpdateTarget(row *peer.TargetRow) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.checkUpdate(row) != nil {
		return false
	}
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

// Merge merges rows received from another instance. It leaves out rows that are not valid and returns
// the reasons.
func (r *Roster) Merge(rows []*peer.TargetRow) (refused []error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	for _, row := range rows {
		if err := r.checkRow(row); err != nil {
			refused = append(refused, err)
			continue
		}
		r.confirmLeaving(row)
		r.merge(row, peer.Age(row.AgeMs))
		r.mergeSwitching(row)
		r.mergeDraining(row)
	}
	r.publish(before)
	return refused
}

// Row returns a copy of the row of the target with its ages, or nil.
func (r *Roster) Row(id string) *peer.TargetRow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e := r.entries[id]; e != nil {
		return r.rowWithAges(e, r.now())
	}
	return nil
}

// Leaving returns copies of the rows of targets that drain or deregistered, with their ages. It leaves out those whose
// start is not known: they hold for what started before the deregistration only while the times of contact are exact.
func (r *Roster) Leaving() (rows []*peer.TargetRow) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, e := range r.entries {
		if e.row.BornMs > 0 && (e.row.State == peer.TargetRow_DRAINING || e.row.State == peer.TargetRow_GONE) {
			rows = append(rows, r.rowWithAges(e, now))
		}
	}
	return rows
}

// HeardSince reports whether the incarnation of the target, which is its start in Unix
// milliseconds, sent a heartbeat after the time, or announced that it ends. It returns false
// for an unknown target.
func (r *Roster) HeardSince(target, incarnation string, at time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[target]
	if e == nil || strconv.FormatInt(e.row.BornMs, 10) != incarnation {
		return false
	}
	return e.lastContact > at || e.row.State == peer.TargetRow_DRAINING || e.row.EndedMs > 0
}

// Tick updates which targets are unresponsive and removes those that deregistered
// longer than goneRetention ago.
func (r *Roster) Tick() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	now := r.now()
	r.forgetSoftware(now)
	for id, e := range r.entries {
		if e.row.State == peer.TargetRow_GONE {
			if now-e.lastContact > goneRetention {
				delete(r.entries, id)
			}
			continue
		}
		if unresponsive := now-e.lastContact > r.unresponsiveAfter; unresponsive != e.row.Silent {
			r.update(e, func(row *peer.TargetRow) { row.Silent = unresponsive })
		}
	}
	r.publish(before)
}

// SetSwitching records that the target was ordered to change its stage. It takes no
// requests until it reports the new stage or the span has passed.
func (r *Roster) SetSwitching(id string, span time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[id]
	if e == nil {
		return
	}
	before := r.revision
	r.extendSwitching(e, r.now()+span)
	r.publish(before)
}

// EndExpiredSwitches marks the targets whose switching time has passed as
// available again.
func (r *Roster) EndExpiredSwitches() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	now := r.now()
	for _, e := range r.entries {
		if e.row.AwayMs > 0 && now > e.switchingUntil {
			r.update(e, func(row *peer.TargetRow) { row.AwayMs = 0 })
		}
	}
	r.publish(before)
}

// extendSwitching extends the switching time of a target. The latest end wins,
// regardless of the order of the reports.
func (r *Roster) extendSwitching(e *entry, until time.Duration) {
	if until <= e.switchingUntil+contactTolerance {
		return
	}
	e.switchingUntil = until
	if e.row.AwayMs == 0 {
		r.update(e, func(row *peer.TargetRow) { row.AwayMs = 1 })
	}
}

// mergeSwitching merges the switching time that another instance reports. It
// applies only while the target has the stage that it had in that report.
func (r *Roster) mergeSwitching(row *peer.TargetRow) {
	e := r.entries[row.Id]
	if row.AwayMs > 0 && e != nil && e.row.Stage == row.Stage && e.row.BornMs == row.BornMs && e.row.State != peer.TargetRow_GONE {
		r.extendSwitching(e, r.now()+peer.Age(row.AwayMs))
	}
}

// publish stores a new snapshot and closes the channel of Changed if anything
// changed since the revision.
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

// Changed returns a channel that is closed at the next change of a row.
func (r *Roster) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// Rows returns copies of the rows that changed since the revision, with their
// ages, and the current revision. Revision 0 returns all rows. The ages may be older by
// up to deltaTTL. The caller must not modify the rows, since others get the same.
func (r *Roster) Rows(since uint64) ([]*peer.TargetRow, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if r.deltasRevision != r.revision || now-r.deltasAt > deltaTTL {
		r.deltas, r.deltasRevision, r.deltasAt = map[uint64][]*peer.TargetRow{}, r.revision, now
	}
	rows, known := r.deltas[since]
	if !known {
		rows = r.rowsSince(since, now)
		r.deltas[since] = rows
	}
	return rows, r.revision
}

// rowsSince returns copies of the rows that changed since the revision. r.mutex must be
// held.
func (r *Roster) rowsSince(since uint64, now time.Duration) []*peer.TargetRow {
	var rows []*peer.TargetRow
	for _, e := range r.entries {
		if e.revision <= since {
			continue
		}
		rows = append(rows, r.rowWithAges(e, now))
	}
	slices.SortFunc(rows, func(a, b *peer.TargetRow) int { return cmp.Compare(a.Id, b.Id) })
	return rows
}

// rowWithAges returns a copy of the row of an entry. r.mutex must be held.
func (r *Roster) rowWithAges(e *entry, now time.Duration) *peer.TargetRow {
	row := proto.Clone(e.row).(*peer.TargetRow)
	row.AgeMs = max(0, (now - e.lastContact).Milliseconds())
	if row.AwayMs > 0 {
		row.AwayMs = max(1, (e.switchingUntil - now).Milliseconds())
	}
	if row.State == peer.TargetRow_DRAINING {
		row.DrainingMs = max(1, (now - e.drainingSince).Milliseconds())
	}
	return row
}
