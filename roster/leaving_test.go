package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// TestLeavingOutlivesHeartbeats checks that a target that stated that it is leaving stays
// out whatever its heartbeats say, at this instance and at those that get the report, and
// that only a later start brings it back.
func TestLeavingOutlivesHeartbeats(t *testing.T) {
	entry, _ := newRoster()
	control, _ := newRoster()
	for _, r := range []*Roster{entry, control} {
		r.UpdateTarget(row("e1", "1:1", 10, 1))
	}
	entry.MarkLeaving("e1", 10)
	require.Equal(t, peer.TargetRow_DRAINING, state(entry, "e1"))
	control.UpdateTarget(row("e1", "1:1", 10, 2))
	rows, _ := control.Rows(0)
	entry.Merge(rows)
	require.Equal(t, peer.TargetRow_DRAINING, state(entry, "e1"), "a heartbeat that says ready changes nothing")
	require.Len(t, entry.LeavingReports(), 1, "the control instance does not know it yet")

	control.MergeLeaving(entry.LeavingReports())
	require.Equal(t, peer.TargetRow_DRAINING, state(control, "e1"))
	control.UpdateTarget(row("e1", "1:1", 10, 3))
	require.Equal(t, peer.TargetRow_DRAINING, state(control, "e1"))
	rows, _ = control.Rows(0)
	entry.Merge(rows)
	require.Empty(t, entry.LeavingReports(), "the control instance knows it")

	control.UpdateTarget(row("e1", "1:1", 20, 1))
	rows, _ = control.Rows(0)
	entry.Merge(rows)
	require.Equal(t, peer.TargetRow_READY, state(entry, "e1"), "a later start")
	control.MergeLeaving([]*peer.LeavingTarget{{Id: "e1", BornMs: 10}, {Id: "unknown", BornMs: 1}})
	require.Equal(t, peer.TargetRow_READY, state(control, "e1"), "a late report of an earlier start")
}

// TestLeavingReportExpires checks that a report that nobody confirms ends.
func TestLeavingReportExpires(t *testing.T) {
	r, clock := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 1))
	r.MarkLeaving("e1", 10)
	clock.at += leavingReportTTL + time.Second
	require.Empty(t, r.LeavingReports())
	require.Equal(t, peer.TargetRow_DRAINING, state(r, "e1"))
}
