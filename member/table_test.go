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
	return NewTable(nil, c.now, interval, freshness), c
}

func (c *fakeClock) heartbeat(t *Table, instance string) {
	t.note(&peer.SyncRequest{Instance: instance, Domain: "d1"}, 1)
}

// beat has the instances send heartbeats for as long.
func (c *fakeClock) beat(t *Table, span time.Duration, instances ...string) {
	for until := c.at + span; c.at < until; c.at += interval {
		for _, name := range instances {
			c.heartbeat(t, name)
		}
	}
}

// TestSuspendedLeaderWaitsForEveryone suspends the leader's machine over a
// window's end. After it every instance looks silent, but none has been given the
// time to be heard, and their counters are missing.
func TestSuspendedLeaderWaitsForEveryone(t *testing.T) {
	table, c := newTable()
	c.beat(table, 2*time.Second, "a", "b")
	end := c.at + time.Second
	c.at += 30 * time.Second
	require.False(t, table.AllContactedSince(end), "nobody was heard")
	c.heartbeat(table, "a")
	require.False(t, table.AllContactedSince(end), "b has had no time")
	c.at += interval / 2
	c.heartbeat(table, "b")
	require.True(t, table.AllContactedSince(end))
}

// TestDeadInstanceIsNotWaitedFor has one of two instances die before a window's
// end while the other goes on, and die while the leader's machine is suspended.
func TestDeadInstanceIsNotWaitedFor(t *testing.T) {
	for _, suspended := range []time.Duration{0, 30 * time.Second} {
		table, c := newTable()
		c.beat(table, 2*time.Second, "a", "b")
		end := c.at
		c.at += suspended
		c.heartbeat(table, "a")
		require.False(t, table.AllContactedSince(end), "b may be late")
		c.beat(table, aliveIntervals*interval+interval, "a")
		require.True(t, table.AllContactedSince(end))
	}
}

// TestGrantEndsInASuspension counts the time of a suspension towards what an
// instance may still serve.
func TestGrantEndsInASuspension(t *testing.T) {
	table, c := newTable()
	c.heartbeat(table, "a")
	require.True(t, table.rows["a"].mayServe(5, c.at), "it has not confirmed 5 and is fresh")
	require.False(t, table.rows["a"].mayServe(0, c.at), "it decides by 0 already")
	c.at += freshness
	require.False(t, table.rows["a"].mayServe(5, c.at))
}
