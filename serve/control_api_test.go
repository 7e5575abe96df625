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

// TestDeregisterWithoutStartTime deregisters a target that restarted while this
// instance was partitioned from it, so that the instance knows only the previous
// incarnation. The deregistration must end the newer incarnation too, but no later
// one.
func TestDeregisterWithoutStartTime(t *testing.T) {
	rows := roster.New(clock.Now, time.Hour)
	c := &Control{roster: rows, watchServer: watch.NewServer("one", nil, rows, nil), logger: event.Nop()}
	wall := time.Now().UnixMilli()
	announce := func(start int64, seq uint64) peer.TargetRow_State {
		c.mergeTarget(&peer.TargetRow{Id: "e1", Service: "desk", Address: "1:1", State: peer.TargetRow_READY, BornMs: start, Seq: seq})
		return rows.Snapshot().Target("e1").GetState()
	}
	require.Equal(t, peer.TargetRow_READY, announce(wall-60_000, 9))
	require.True(t, c.mergeTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE}))
	require.Equal(t, peer.TargetRow_GONE, announce(wall-60_000, 10))
	require.Equal(t, peer.TargetRow_GONE, announce(wall-5_000, 3), "the incarnation that was deregistered")
	require.Equal(t, peer.TargetRow_READY, announce(wall+3_600_000, 1), "an incarnation after the deregistration")
}

// TestDeregisterWithStartTime checks that a deregistration that names a start time
// ends only the incarnation that started then.
func TestDeregisterWithStartTime(t *testing.T) {
	rows := roster.New(clock.Now, time.Hour)
	c := &Control{roster: rows, watchServer: watch.NewServer("one", nil, rows, nil), logger: event.Nop()}
	c.mergeTarget(&peer.TargetRow{Id: "e1", Service: "desk", Address: "1:1", State: peer.TargetRow_READY, BornMs: 20, Seq: 1})
	c.mergeTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 10})
	require.Equal(t, peer.TargetRow_READY, rows.Snapshot().Target("e1").GetState())
	c.mergeTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 20})
	require.Equal(t, peer.TargetRow_GONE, rows.Snapshot().Target("e1").GetState())
}
