package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// restartAll crashes every voter and starts those again that are not left out.
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

// leading returns a cluster whose leader has written its first entry.
func leading(seed uint64, size int) *cluster {
	c := newCluster(seed, size, Guards{})
	c.run(3 * time.Second)
	c.propose(c.leader(), "first of the term")
	c.run(time.Second)
	return c
}

// led reports whether a leader with a lease appears within the time.
func (c *cluster) led(t *testing.T, within time.Duration) bool {
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

// TestAllRestartedElectAtOnce restarts every voter, as after a power cut: nobody
// has a promise left to keep.
func TestAllRestartedElectAtOnce(t *testing.T) {
	for _, size := range []int{3, 5} {
		c := leading(11, size)
		term := c.leader().Term()
		c.restartAll()
		require.True(t, c.led(t, DefaultTiming.Promise/2), "%d voters", size)
		require.Greater(t, c.leader().Term(), term)
	}
}

// TestMissingVoterKeepsOthersQuiet leaves out one voter, which may lead.
func TestMissingVoterKeepsOthersQuiet(t *testing.T) {
	c := leading(12, 3)
	c.restartAll(c.leader().config.ID)
	require.False(t, c.led(t, DefaultTiming.Promise), "the lease of the missing one may last")
	require.True(t, c.led(t, 3*time.Second))
}

// TestQuietEndsByAllNotByAQuorum shows that two restarted voters that end each
// other's quiet time elect a leader beside the one that was cut off.
func TestQuietEndsByAllNotByAQuorum(t *testing.T) {
	require.NoError(t, restartRace(Guards{}))
	require.Error(t, restartRace(Guards{QuorumEndsQuiet: true}))
}

// TestOlderRestartEndsNothing has the leader restart before it was elected: what
// it said then ends no promise that it was given since.
func TestOlderRestartEndsNothing(t *testing.T) {
	c := leading(13, 3)
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
		require.False(t, n.resume.ended)
		n.Receive(c.now, &peer.Message{Kind: peer.Message_RESUMED, From: leader.config.ID, To: id, Resumed: leader.Term()})
		require.False(t, n.resume.ended, "the third voter restarted with an older term")
	}
}

// TestLogWithoutTheTermKeepsQuiet starts a voter whose term began without its
// log: a voter that the log does not name may lead.
func TestLogWithoutTheTermKeepsQuiet(t *testing.T) {
	n := New(Config{ID: 1, Voters: []uint64{1, 2, 3}, Timing: DefaultTiming, Rand: newCluster(1, 1, Guards{}).nodes[1].config.Rand},
		Restored{HardState: &peer.Hard{Term: 4}, Entries: []*peer.Entry{{Index: 1, Term: 3}}}, time.Second)
	for _, id := range []uint64{2, 3} {
		n.Receive(time.Second, &peer.Message{Kind: peer.Message_RESUMED, From: id, To: 1, Resumed: 4})
	}
	require.False(t, n.resume.ended)
}

// TestLeaderThatLeavesCounts restarts voters that hold the change by which the
// leader leaves. It leads until that is committed, so that they wait for it.
func TestLeaderThatLeavesCounts(t *testing.T) {
	c := leading(14, 3)
	leader := c.leader()
	var rest []uint64
	for _, id := range c.voters {
		if id != leader.config.ID {
			rest = append(rest, id)
		}
	}
	require.NoError(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: rest}))
	c.settle(leader.config.ID)
	c.deliverExcept(0)
	c.cut[leader.config.ID] = true
	for _, id := range rest {
		c.crash(id)
		c.start(id)
	}
	c.network = nil
	require.Equal(t, rest, c.nodes[rest[0]].Voters().Ids)
	require.False(t, c.led(t, DefaultTiming.Promise/2))
	require.False(t, c.nodes[rest[0]].resume.ended)
}

// TestReplacedVoterIsNotWaitedFor has a voter that left in an earlier term.
func TestReplacedVoterIsNotWaitedFor(t *testing.T) {
	l := newLog(&peer.Voters{Ids: []uint64{1, 2, 3}}, nil, []*peer.Entry{
		{Index: 1, Term: 1}, {Index: 2, Term: 1, Voters: &peer.Voters{Ids: []uint64{1, 2}}}, {Index: 3, Term: 2},
		{Index: 4, Term: 2, Voters: &peer.Voters{Ids: []uint64{1, 2, 4}}},
	})
	require.Equal(t, []uint64{1, 2, 3, 4}, l.votersSince(1))
	require.Equal(t, []uint64{1, 2, 4}, l.votersSince(2))
}

// TestTwoOfThreeElectInTurn restarts two voters at once while the third has lost
// its folder, as after a power cut. Campaigns that come together would undo each
// other; here the first one wins.
func TestTwoOfThreeElectInTurn(t *testing.T) {
	for seed := range uint64(40) {
		c := leading(100+seed, 3)
		c.restartAll(c.leader().config.ID)
		require.True(t, c.led(t, DefaultTiming.Promise+3*DefaultTiming.Heartbeat), "seed %d", seed)
	}
}

// TestLeaderWithALeaseHearsNoCandidate has a voter that returns from a cut ask for
// a vote before it hears the leader again.
func TestLeaderWithALeaseHearsNoCandidate(t *testing.T) {
	c := leading(15, 3)
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
