package roster

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// Guards against a heartbeat of another writer, without a start, that moves a target to another service:
// requests of that service then ran there.
func TestTargetKeepsItsService(t *testing.T) {
	for _, change := range []func(*peer.TargetRow){
		func(r *peer.TargetRow) { r.BornMs = 0 },
		func(r *peer.TargetRow) { r.Service = "other" },
		func(r *peer.TargetRow) { r.Service, r.BornMs = "other", 0 },
		func(r *peer.TargetRow) { r.Address = "1:2" },
		func(r *peer.TargetRow) { r.Domain = "d9" },
	} {
		r, _ := newRoster()
		require.True(t, r.UpdateTarget(row("e1", "1:1", 10, 1)))
		odd := row("e1", "1:1", 10, 99)
		change(odd)
		require.Error(t, r.Check(odd))
		require.False(t, r.UpdateTarget(odd))
		require.Equal(t, "desk", r.Snapshot().Target("e1").Service)
		require.Len(t, r.Snapshot().ReadyTargets("desk"), 1)
		draining := row("e1", "1:1", 10, 2)
		draining.State = peer.TargetRow_DRAINING
		require.True(t, r.UpdateTarget(draining), "the target's own heartbeats hold")

		// The same from another instance, which may run an earlier release.
		other, _ := newRoster()
		other.Merge([]*peer.TargetRow{row("e1", "1:1", 10, 1)})
		other.Merge([]*peer.TargetRow{proto.Clone(odd).(*peer.TargetRow)})
		require.Equal(t, []string{"desk", "1:1", "d0"}, []string{other.Snapshot().Target("e1").Service, other.Snapshot().Target("e1").Address, other.Snapshot().Target("e1").Domain})
	}
	// A target that never states a start, and one that ends, are not refused.
	r, _ := newRoster()
	require.True(t, r.UpdateTarget(row("e1", "1:1", 0, 1)))
	require.True(t, r.UpdateTarget(row("e1", "1:1", 0, 2)))
	require.True(t, r.UpdateTarget(row("e2", "1:2", 10, 2)))
	require.True(t, r.UpdateTarget(&peer.TargetRow{Id: "e2", State: peer.TargetRow_GONE, EndedMs: 11}))
	require.True(t, r.UpdateTarget(row("e2", "1:3", 20, 1)), "a later incarnation may be anything")
}

// Guards against rows of other instances that cannot be used and cost the rows beside them.
func TestOddRowsCostOnlyThemselves(t *testing.T) {
	odd := map[string]func(*peer.TargetRow){
		"no id":           func(r *peer.TargetRow) { r.Id = "" },
		"id":              func(r *peer.TargetRow) { r.Id = "i-\xff" },
		"long id":         func(r *peer.TargetRow) { r.Id = strings.Repeat("x", 1<<20) },
		"service":         func(r *peer.TargetRow) { r.Service = "a\r\nb" },
		"version":         func(r *peer.TargetRow) { r.SoftwareVersion = "\xff" },
		"slots":           func(r *peer.TargetRow) { r.Slots = -1 },
		"born":            func(r *peer.TargetRow) { r.BornMs = math.MaxInt64 },
		"ended":           func(r *peer.TargetRow) { r.EndedMs = math.MinInt64 },
		"age":             func(r *peer.TargetRow) { r.AgeMs = math.MaxInt64 },
		"negative age":    func(r *peer.TargetRow) { r.AgeMs = -1 },
		"cold":            func(r *peer.TargetRow) { r.ColdMs = -1 },
		"switching":       func(r *peer.TargetRow) { r.AwayMs = math.MaxInt64 },
		"draining":        func(r *peer.TargetRow) { r.DrainingMs = math.MinInt64 },
		"no state":        func(r *peer.TargetRow) { r.State = 0 },
		"state not known": func(r *peer.TargetRow) { r.State = 77 },
		"stage not known": func(r *peer.TargetRow) { r.Stage = -3 },
	}
	r, _ := newRoster()
	var rows []*peer.TargetRow
	n := 0
	for _, change := range odd {
		each := row(fmt.Sprint("odd", n), fmt.Sprint("9:", n), 10, 1)
		change(each)
		rows = append(rows, each, row(fmt.Sprint("sound", n), fmt.Sprint("1:", n), 10, 1))
		n++
	}
	require.Len(t, r.Merge(rows), len(odd))
	require.Len(t, r.Snapshot().ReadyTargets("desk"), len(odd))
	all, _ := r.Rows(0)
	_, err := proto.Marshal(&peer.WatchResponse{Rows: all})
	require.NoError(t, err)
}

// TestFullRosterForgetsEndedTargets fills the roster with ids that deregistered, as another writer may.
func TestFullRosterForgetsEndedTargets(t *testing.T) {
	var ended, running []*peer.TargetRow
	for n := range maxRows {
		ended = append(ended, &peer.TargetRow{Id: fmt.Sprint("x", n), State: peer.TargetRow_GONE, EndedMs: 5, AgeMs: int64(maxRows - n)})
		running = append(running, row(fmt.Sprint("x", n), fmt.Sprint("2:", n), 10, 1))
	}
	r, _ := newRoster()
	require.Empty(t, r.Merge(ended))
	require.True(t, r.UpdateTarget(row("e1", "1:1", 10, 1)))
	require.Equal(t, peer.TargetRow_READY, state(r, "e1"))
	require.Nil(t, r.Snapshot().Target("x0"), "the one that ended first")
	require.NotNil(t, r.Snapshot().Target("x1"))

	r, _ = newRoster()
	require.Empty(t, r.Merge(running))
	require.ErrorIs(t, r.Check(row("e1", "1:1", 10, 1)), errFull)
	require.False(t, r.UpdateTarget(row("e1", "1:1", 10, 1)))
	require.NoError(t, r.Check(row("x7", "2:7", 10, 2)), "a known one")
}
