package watch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// TestCountersAreSentOnce checks that a counter is sent again only when it has grown, and
// that a restarted control instance gets all of them within two requests.
func TestCountersAreSentOnce(t *testing.T) {
	guild := func(n int64) *peer.BegunCounter {
		return &peer.BegunCounter{Window: 5000, Workspace: "guild", Requests: n}
	}
	venue := &peer.BegunCounter{Window: 5000, Workspace: "venue", Requests: 2}
	var s sentCounters
	all := []*peer.BegunCounter{guild(3), venue}
	require.Equal(t, all, s.missing(all), "nothing is received yet")
	require.Equal(t, all, s.missing(all), "a request that failed is sent again in full")
	s.acknowledge("one", all, s.missing(all))
	require.Empty(t, s.missing(all))

	all = []*peer.BegunCounter{guild(4), venue}
	sent := s.missing(all)
	require.Equal(t, []*peer.BegunCounter{guild(4)}, sent)
	s.acknowledge("two", all, sent)
	require.Equal(t, []*peer.BegunCounter{venue}, s.missing(all), "the restarted instance lacks what it was not sent")
	s.acknowledge("two", all, s.missing(all))
	require.Empty(t, s.missing(all))

	s.acknowledge("two", all[:1], nil)
	require.Len(t, s.received, 1, "counters that are no longer kept are forgotten")
}

// TestHoldFollowsTheFleet checks that the requests of entry instances at rest stay below
// 150 a second at a control instance, up to the size that the system is designed for.
func TestHoldFollowsTheFleet(t *testing.T) {
	require.Equal(t, MinHold, HoldFor(9))
	for _, entries := range []int{1, 60, 120, 294, 350} {
		require.LessOrEqual(t, float64(entries)/HoldFor(entries).Seconds(), 150.0)
	}
	require.Less(t, MaxHold, watcherTimeout/2, "an instance that misses one request still counts as live")
	require.Equal(t, MinHold, holdOf(&peer.WatchRequest{}))
	require.Equal(t, MaxHold, holdOf(&peer.WatchRequest{HoldMs: 1 << 40}))
}
