package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// restartAll crashes every voter, drops the messages in flight and starts every
// voter again except the one in leftOut, if given.
func (c *cluster) restartAll(leftOut ...uint64) {
	for _, id := range c.voters {
		c.crash(id)
	}
	c.network = nil
	for _, id := range c.voters {
		if len(leftOut) == 0 || id != leftOut[0] {
			c.start(id)
		}
	}
}

// newClusterWithLeader returns a cluster whose leader has committed its first
// entry.
func newClusterWithLeader(seed uint64, size int) *cluster {
	c := newCluster(seed, size, SafetyOverrides{})
	c.run(3 * time.Second)
	c.propose(c.leader(), "first of the term")
	c.run(time.Second)
	return c
}

// acquiresLease reports whether some leader acquires a lease within the time.
func (c *cluster) acquiresLease(t *testing.T, within time.Duration) bool {
	const step = 20 * time.Millisecond
	for range int(within / step) {
		c.tick(step)
		c.deliverAll()
		require.NoError(t, c.check())
		if l := c.leader(); l != nil {
			if _, held := l.LeaseUntil(c.now); held {
				return true
			}
		}
	}
	return false
}

// TestAllRestartedElectImmediately covers the restart of every voter, as after a
// power failure: no old lease can exist, so the voters need not hold off for the
// whole MinElectionTimeout.
func TestAllRestartedElectImmediately(t *testing.T) {
	for _, size := range []int{3, 5} {
		c := newClusterWithLeader(11, size)
		term := c.leader().Term()
		c.restartAll()
		require.True(t, c.acquiresLease(t, DefaultTiming.MinElectionTimeout/2), "%d voters", size)
		require.Greater(t, c.leader().Term(), term)
	}
}

// TestMissingVoterKeepsHoldOff restarts all voters but the leader, whose lease may
// still last: the others must hold off for the whole MinElectionTimeout.
func TestMissingVoterKeepsHoldOff(t *testing.T) {
	c := newClusterWithLeader(12, 3)
	c.restartAll(c.leader().config.ID)
	require.False(t, c.acquiresLease(t, DefaultTiming.MinElectionTimeout), "the lease of the missing voter may still last")
	require.True(t, c.acquiresLease(t, 3*time.Second))
}

// TestHoldOffEndsByAllVotersNotByQuorum guards against two leases at a time: if
// the restarts of a quorum ended the hold-off, two restarted voters would elect a
// leader while a partitioned one still holds its lease.
func TestHoldOffEndsByAllVotersNotByQuorum(t *testing.T) {
	require.NoError(t, partitionLeaderAndRestart(SafetyOverrides{}))
	require.Error(t, partitionLeaderAndRestart(SafetyOverrides{QuorumEndsHoldOff: true}))
}

// TestRestartInOlderTermKeepsHoldOff covers restarts that were announced with a
// term before the current leader's: they must not end the hold-off, because the
// voters may have acknowledged that leader since.
func TestRestartInOlderTermKeepsHoldOff(t *testing.T) {
	c := newClusterWithLeader(13, 3)
	leader := c.leader()
	for _, id := range c.voters {
		if id == leader.config.ID {
			continue
		}
		c.crash(id)
		c.start(id)
		n := c.nodes[id]
		for _, other := range c.voters {
			if other != id {
				n.Receive(c.now, &peer.Message{Kind: peer.Message_RESUMED, From: other, To: id, Resumed: leader.Term() - 1})
			}
		}
		require.False(t, n.restarts.holdOffEnded)
		n.Receive(c.now, &peer.Message{Kind: peer.Message_RESUMED, From: leader.config.ID, To: id, Resumed: leader.Term()})
		require.False(t, n.restarts.holdOffEnded, "the third voter restarted with an older term")
	}
}

// TestLogWithoutTermKeepsHoldOff starts a voter whose log holds no entry of its
// term: the leader of the term may be a voter that this log does not list.
func TestLogWithoutTermKeepsHoldOff(t *testing.T) {
	n := New(Config{ID: 1, Voters: []uint64{1, 2, 3}, Timing: DefaultTiming, Rand: newCluster(1, 1, SafetyOverrides{}).nodes[1].config.Rand},
		Restored{HardState: &peer.Hard{Term: 4}, Entries: []*peer.Entry{{Index: 1, Term: 3}}}, time.Second)
	for _, id := range []uint64{2, 3} {
		n.Receive(time.Second, &peer.Message{Kind: peer.Message_RESUMED, From: id, To: 1, Resumed: 4})
	}
	require.False(t, n.restarts.holdOffEnded)
}

// TestRemovedLeaderCountsUntilCommit restarts voters whose log holds the change
// that removes the leader. The leader leads until that change is committed, so
// the voters must not end their hold-off without it.
func TestRemovedLeaderCountsUntilCommit(t *testing.T) {
	c := newClusterWithLeader(14, 3)
	leader := c.leader()
	var rest []uint64
	for _, id := range c.voters {
		if id != leader.config.ID {
			rest = append(rest, id)
		}
	}
	require.NoError(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: rest}))
	c.processEffects(leader.config.ID)
	c.deliverExcept(0)
	c.partitioned[leader.config.ID] = true
	for _, id := range rest {
		c.crash(id)
		c.start(id)
	}
	c.network = nil
	require.Equal(t, rest, c.nodes[rest[0]].Voters().Ids)
	require.False(t, c.acquiresLease(t, DefaultTiming.MinElectionTimeout/2))
	require.False(t, c.nodes[rest[0]].restarts.holdOffEnded)
}

// TestVoterRemovedInEarlierTermDoesNotCount checks that a voter that was removed
// in an earlier term is not among those whose restart ends the hold-off.
func TestVoterRemovedInEarlierTermDoesNotCount(t *testing.T) {
	l := newLog(&peer.Voters{Ids: []uint64{1, 2, 3}}, nil, []*peer.Entry{
		{Index: 1, Term: 1}, {Index: 2, Term: 1, Voters: &peer.Voters{Ids: []uint64{1, 2}}}, {Index: 3, Term: 2},
		{Index: 4, Term: 2, Voters: &peer.Voters{Ids: []uint64{1, 2, 4}}},
	})
	require.Equal(t, []uint64{1, 2, 3, 4}, l.votersSinceTerm(1))
	require.Equal(t, []uint64{1, 2, 4}, l.votersSinceTerm(2))
}

// TestTwoOfThreeElectWithoutConflict restarts two voters at the same time while
// the third stays down, as after a power failure in which it lost its data folder.
// The two must not undo each other's election by simultaneous campaigns: the first
// one wins.
func TestTwoOfThreeElectWithoutConflict(t *testing.T) {
	for seed := range uint64(40) {
		c := newClusterWithLeader(100+seed, 3)
		c.restartAll(c.leader().config.ID)
		require.True(t, c.acquiresLease(t, DefaultTiming.MinElectionTimeout+3*DefaultTiming.Heartbeat), "seed %d", seed)
	}
}

// TestLeaderWithLeaseIgnoresCandidates covers a voter that returns from a
// partition and requests votes before it receives the leader's next heartbeat: it
// must not depose a leader that holds its lease.
func TestLeaderWithLeaseIgnoresCandidates(t *testing.T) {
	c := newClusterWithLeader(15, 3)
	leader := c.leader()
	_, held := leader.LeaseUntil(c.now)
	require.True(t, held)
	for id := uint64(1); id <= 3; id++ {
		if id == leader.config.ID {
			continue
		}
		for _, kind := range []peer.Message_Kind{peer.Message_PRE_VOTE, peer.Message_VOTE} {
			leader.Receive(c.now, &peer.Message{Kind: kind, From: id, To: leader.config.ID, Term: leader.Term() + 1, LogIndex: 9, LogTerm: 9})
		}
	}
	require.Equal(t, Leader, leader.Role())
	require.Empty(t, leader.TakeEffects().Messages)
}
