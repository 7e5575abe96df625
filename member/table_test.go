package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

type fakeClock struct{ at time.Duration }

func (c *fakeClock) now() time.Duration { return c.at }

const (
	interval  = 200 * time.Millisecond
	freshness = time.Second
)

func newTable() (*Table, *fakeClock) {
	c := &fakeClock{at: time.Hour}
	return NewTable(nil, nil, c.now, interval, freshness), c
}

func (c *fakeClock) heartbeat(t *Table, instance string) {
	t.recordHeartbeat(&peer.SyncRequest{Instance: instance, Domain: "d1"}, 1)
}

// heartbeats has the instances send heartbeats for the span.
func (c *fakeClock) heartbeats(t *Table, span time.Duration, instances ...string) {
	for until := c.at + span; c.at < until; c.at += interval {
		for _, name := range instances {
			c.heartbeat(t, name)
		}
	}
}

// TestSuspendedLeaderWaitsForAll suspends the leader across the end of a
// usage window. Afterwards no instance has sent a heartbeat recently, but none has
// had the time to send one. Guards against closing the window without their
// counters.
func TestSuspendedLeaderWaitsForAll(t *testing.T) {
	table, c := newTable()
	c.heartbeats(table, 2*time.Second, "a", "b")
	end := c.at + time.Second
	c.at += 30 * time.Second
	require.False(t, table.AllContactedSince(end), "no heartbeat since")
	c.heartbeat(table, "a")
	require.False(t, table.AllContactedSince(end), "b has had no time to send a heartbeat")
	c.at += interval / 2
	c.heartbeat(table, "b")
	require.True(t, table.AllContactedSince(end))
}

// TestFailedInstanceIsNotAwaited has one of two instances stop before the end of a
// usage window while the other continues, with and without a suspension of the
// leader.
func TestFailedInstanceIsNotAwaited(t *testing.T) {
	for _, suspended := range []time.Duration{0, 30 * time.Second} {
		table, c := newTable()
		c.heartbeats(table, 2*time.Second, "a", "b")
		end := c.at
		c.at += suspended
		c.heartbeat(table, "a")
		require.False(t, table.AllContactedSince(end), "b may be delayed")
		c.heartbeats(table, maxMissedHeartbeats*interval+interval, "a")
		require.True(t, table.AllContactedSince(end))
	}
}

// TestGrantExpiresDuringSuspension expects the time of a suspension to count
// towards the freshness of an instance.
func TestGrantExpiresDuringSuspension(t *testing.T) {
	table, c := newTable()
	c.heartbeat(table, "a")
	require.True(t, table.rows["a"].mayServeOlder(5, c.at), "not confirmed and still fresh")
	require.False(t, table.rows["a"].mayServeOlder(0, c.at), "already confirmed")
	c.at += freshness
	require.False(t, table.rows["a"].mayServeOlder(5, c.at))
}
