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
