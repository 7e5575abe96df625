package roster

import (
	"maps"
	"slices"
	"time"

	"auburnscale/peer"
)

// leavingReportTTL is how long an observation of a leaving target is reported. By then
// the target has ended or has been announced as draining.
const leavingReportTTL = time.Minute

// A leavingReport is an observation of this instance that a target is about to end.
type leavingReport struct {
	bornMs int64
	at     time.Duration
}

// MarkLeaving records that the target stated, in a response to this instance, that its
// incarnation is about to end. The incarnation counts as draining, whatever later
// heartbeats say, and is reported by LeavingReports.
func (r *Roster) MarkLeaving(id string, bornMs int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	if r.drain(id, bornMs) {
		r.leaving[id] = leavingReport{bornMs, r.now()}
	}
	r.publish(before)
}

// MergeLeaving records observations of leaving targets that another instance made.
func (r *Roster) MergeLeaving(reports []*peer.LeavingTarget) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.revision
	for _, report := range reports {
		r.drain(report.Id, report.BornMs)
	}
	r.publish(before)
}

// drain marks an incarnation that is ready as draining, and reports whether it was. A
// later incarnation stays as it is.
func (r *Roster) drain(id string, bornMs int64) bool {
	e := r.entries[id]
	if e == nil || e.row.BornMs > bornMs || e.row.State != peer.TargetRow_READY {
		return false
	}
	r.update(e, func(row *peer.TargetRow) { row.State = peer.TargetRow_DRAINING })
	return true
}

// LeavingReports returns the targets that MarkLeaving recorded and that no other
// instance is known to have recorded yet.
func (r *Roster) LeavingReports() []*peer.LeavingTarget {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	var list []*peer.LeavingTarget
	for _, id := range slices.Sorted(maps.Keys(r.leaving)) {
		report := r.leaving[id]
		if now-report.at > leavingReportTTL {
			delete(r.leaving, id)
			continue
		}
		list = append(list, &peer.LeavingTarget{Id: id, BornMs: report.bornMs})
	}
	return list
}

// confirmLeaving ends the report of a target if the row from another instance shows that
// it is known there.
func (r *Roster) confirmLeaving(row *peer.TargetRow) {
	report, reported := r.leaving[row.Id]
	if reported && row.BornMs >= report.bornMs && (row.BornMs > report.bornMs || row.State >= peer.TargetRow_DRAINING) {
		delete(r.leaving, row.Id)
	}
}
