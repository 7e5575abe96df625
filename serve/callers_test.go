package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/roster"
	"auburnscale/watch"
)

// TestLastCallWithoutBirth has a target leave that the instance knows in its
// former birth only, as after a cut in which it started again.
func TestLastCallWithoutBirth(t *testing.T) {
	rows := roster.New(clock.Now, time.Hour)
	c := &Control{roster: rows, watching: watch.NewServer("one", nil, rows), logger: event.Nop()}
	wall := time.Now().UnixMilli()
	heard := func(born int64, seq uint64) peer.TargetRow_State {
		c.UpdateTarget(&peer.TargetRow{Id: "e1", Service: "desk", Address: "1:1", State: peer.TargetRow_READY, BornMs: born, Seq: seq})
		return rows.Snapshot().Target("e1").GetState()
	}
	require.Equal(t, peer.TargetRow_READY, heard(wall-60_000, 9))
	require.True(t, c.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE}))
	require.Equal(t, peer.TargetRow_GONE, heard(wall-60_000, 10))
	require.Equal(t, peer.TargetRow_GONE, heard(wall-5_000, 3), "the birth that the word was about")
	require.Equal(t, peer.TargetRow_READY, heard(wall+3_600_000, 1), "a birth after the word")
}

// TestLastCallWithBirth ends the birth that it names and no other.
func TestLastCallWithBirth(t *testing.T) {
	rows := roster.New(clock.Now, time.Hour)
	c := &Control{roster: rows, watching: watch.NewServer("one", nil, rows), logger: event.Nop()}
	c.UpdateTarget(&peer.TargetRow{Id: "e1", Service: "desk", Address: "1:1", State: peer.TargetRow_READY, BornMs: 20, Seq: 1})
	c.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 10})
	require.Equal(t, peer.TargetRow_READY, rows.Snapshot().Target("e1").GetState())
	c.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 20})
	require.Equal(t, peer.TargetRow_GONE, rows.Snapshot().Target("e1").GetState())
}
