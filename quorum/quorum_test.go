package quorum

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"auburnscale/drawn"
	"auburnscale/peer"
)

func TestMain(m *testing.M) { drawn.Main(m) }

// storm drives a cluster by drawn events and returns the first breach.
func storm(t *rapid.T, guards Guards, steps int) error {
	c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), guards)
	c.run(3 * time.Second)
	for i := range steps {
		c.disturb(t, i)
		if err := errors.Join(c.breach, c.check()); err != nil {
			return err
		}
	}
	return nil
}

// disturb draws one event: mostly faults that come and go while the cluster runs
// on, and sometimes disorder of single messages.
func (c *cluster) disturb(t *rapid.T, i int) {
	id := rapid.SampledFrom(c.voters).Draw(t, "voter")
	switch rapid.SampledFrom(events).Draw(t, "event") {
	case "crash":
		c.crash(id)
	case "restart":
		c.crash(id)
		c.start(id)
	case "pause":
		c.paused[id] = !c.paused[id]
	case "cut":
		c.cut[id] = !c.cut[id]
	case "cut_leader":
		if n := c.leader(); n != nil {
			c.cut[n.config.ID] = true
		}
	case "propose":
		if n := c.leader(); n != nil && c.active(n.config.ID) {
			c.propose(n, fmt.Sprint(i))
		}
	case "heal":
		c.heal()
	case "compact":
		c.compact(id)
	case "run":
		c.run(time.Duration(rapid.SampledFrom([]int{20, 100, 400, 1200, 2500}).Draw(t, "ms")) * time.Millisecond)
	case "tick":
		c.tick(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	default:
		c.disorder(t)
	}
}

var events = []string{
	"crash", "restart", "restart", "pause", "cut", "cut", "cut_leader", "propose", "propose", "propose",
	"heal", "heal", "compact", "run", "run", "run", "run", "run", "run", "tick", "disorder", "disorder",
}

// heal brings every voter back.
func (c *cluster) heal() {
	for _, id := range c.voters {
		c.cut[id] = false
		c.paused[id] = false
		if c.nodes[id] == nil {
			c.start(id)
		}
	}
}

// disorder loses, repeats or delivers single messages out of order.
func (c *cluster) disorder(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "messages") {
		if len(c.network) == 0 {
			return
		}
		at := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
		switch rapid.IntRange(0, 4).Draw(t, "how") {
		case 0:
			c.network = slices.Delete(c.network, at, at+1)
		case 1:
			c.deliver(at, true)
		default:
			c.deliver(at, false)
		}
	}
}

func (c *cluster) compact(id uint64) {
	n := c.nodes[id]
	if n == nil || n.CommitIndex() == 0 {
		return
	}
	if s := n.Compact(n.CommitIndex(), &peer.State{Applied: n.CommitIndex()}); s != nil {
		c.disks[id].snapshot = s
		c.disks[id].entries = slices.Clone(n.EntriesAfterSnapshot())
	}
}

// TestStorm checks one leader a term, one lease at a time and committed entries
// that never change, under crashes, pauses, cuts, loss, repeats and disorder.
func TestStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, storm(t, Guards{}, 60))
	})
}

func TestElectsAndCommits(t *testing.T) {
	c := newCluster(1, 3, Guards{})
	c.run(3 * time.Second)
	leader := c.leader()
	require.NotNil(t, leader)
	c.propose(leader, "one")
	c.run(time.Second)
	for _, id := range c.voters {
		require.Equal(t, leader.CommitIndex(), c.nodes[id].CommitIndex())
	}
	_, held := leader.LeaseUntil(c.now)
	require.True(t, held)
}

func TestLeaderWithoutQuorumLosesLeaseBeforeOthersElect(t *testing.T) {
	c := newCluster(2, 3, Guards{})
	c.run(3 * time.Second)
	old := c.leader()
	c.cut[old.config.ID] = true
	for range 200 {
		c.tick(20 * time.Millisecond)
		c.deliverAll()
		require.NoError(t, c.check())
	}
	require.NotEqual(t, old.config.ID, c.leader().config.ID)
	require.NotEqual(t, Leader, old.Role(), "check-quorum makes a cut-off leader step down")
}

func TestReturningVoterDoesNotDisturb(t *testing.T) {
	c := newCluster(3, 3, Guards{})
	c.run(3 * time.Second)
	leader := c.leader()
	var away uint64
	for _, id := range c.voters {
		if id != leader.config.ID {
			away = id
		}
	}
	term := leader.Term()
	c.cut[away] = true
	c.run(20 * time.Second)
	c.cut[away] = false
	c.run(5 * time.Second)
	require.Equal(t, term, leader.Term(), "pre-vote keeps the term")
	require.Equal(t, Leader, leader.Role())
}

// TestRestartedVoterKeepsQuiet shows the promise after a restart, and that a
// second lease appears without it.
func TestRestartedVoterKeepsQuiet(t *testing.T) {
	require.NoError(t, restartRace(Guards{}))
	require.Error(t, restartRace(Guards{NoPromiseAfterRestart: true}))
}

// restartRace cuts the leader off right after a quorum acknowledged it, and
// restarts a voter that made the promise.
func restartRace(guards Guards) error {
	for seed := uint64(1); seed <= 40; seed++ {
		c := newCluster(seed, 3, guards)
		c.run(3 * time.Second)
		c.cut[c.leader().config.ID] = true
		for _, id := range c.voters {
			if !c.cut[id] {
				c.crash(id)
				c.start(id)
			}
		}
		for _, id := range c.voters {
			if !c.cut[id] {
				// One restarted voter's timeout is as short as it can be.
				c.nodes[id].timeout = 0
				break
			}
		}
		for range 200 {
			c.tick(20 * time.Millisecond)
			c.deliverAll()
			if err := c.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// TestLeaseCountsFromSending shows that a lease from the receipt of a late
// acknowledgement overlaps the next leader's.
func TestLeaseCountsFromSending(t *testing.T) {
	require.NoError(t, lateAnswer(Guards{}))
	require.Error(t, lateAnswer(Guards{LeaseFromReceipt: true}))
}

// lateAnswer delays the acknowledgements of a heartbeat until just before the
// leader would step down, and cuts it off then.
func lateAnswer(guards Guards) error {
	for seed := uint64(1); seed <= 40; seed++ {
		c := newCluster(seed, 3, guards)
		c.run(3 * time.Second)
		old := c.leader().config.ID
		late := c.holdAnswers(old)
		for range 150 {
			c.tick(20 * time.Millisecond)
			c.deliverExcept(old)
			if c.nodes[old].Role() == Leader && c.now-c.nodes[old].peers[late[0].From].heard > 900*time.Millisecond {
				for _, m := range late {
					c.nodes[old].Receive(c.now, proto.Clone(m).(*peer.Message))
				}
			}
			if err := c.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// holdAnswers sends a heartbeat and returns its acknowledgements, undelivered.
func (c *cluster) holdAnswers(leader uint64) []*peer.Message {
	c.deliverAll()
	c.tick(100 * time.Millisecond)
	var late []*peer.Message
	for len(c.network) > 0 {
		if m := c.network[0]; m.To == leader {
			late = append(late, m)
			c.network = c.network[1:]
			continue
		}
		c.deliver(0, false)
	}
	return late
}

// deliverExcept delivers everything but what concerns one voter.
func (c *cluster) deliverExcept(id uint64) {
	for len(c.network) > 0 {
		if m := c.network[0]; m.To == id || m.From == id {
			c.network = c.network[1:]
			continue
		}
		c.deliver(0, false)
	}
}

func TestVoterChange(t *testing.T) {
	c := newCluster(5, 3, Guards{})
	c.run(3 * time.Second)
	leader := c.leader()
	c.propose(leader, "before")
	c.run(time.Second)
	require.ErrorContains(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}), "must be a learner first")
	require.ErrorContains(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 4, 5}}), "one voter can change at a time")

	require.NoError(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3}, Learners: []uint64{4}}))
	c.settle(leader.config.ID)
	c.run(time.Second)
	require.ErrorContains(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}), "learner 4 holds entry 0")

	c.disks[4] = &disk{}
	c.start(4)
	c.voters = append(c.voters, 4)
	c.run(time.Second)
	require.NoError(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}))
	c.settle(leader.config.ID)
	c.run(time.Second)
	require.Equal(t, leader.CommitIndex(), c.nodes[4].CommitIndex())
	require.Equal(t, []uint64{1, 2, 3, 4}, c.nodes[4].Voters().Ids)
}

// TestNewVoterMustCatchUp shows that counting an empty voter loses the quorum at
// the next failure, and that the guard prevents it.
func TestNewVoterMustCatchUp(t *testing.T) {
	change := func(guards Guards) error {
		c := newCluster(6, 3, guards)
		c.run(3 * time.Second)
		leader := c.leader()
		c.propose(leader, "one")
		c.run(time.Second)
		for _, id := range c.voters {
			if id != leader.config.ID {
				c.crash(id)
				break
			}
		}
		c.run(200 * time.Millisecond)
		if err := leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}); err != nil {
			return err
		}
		c.settle(leader.config.ID)
		c.run(2 * time.Second)
		c.propose(leader, "two")
		c.run(2 * time.Second)
		require.NotEqual(t, leader.LastIndex(), leader.CommitIndex(), "two of four are no quorum")
		return nil
	}
	require.Error(t, change(Guards{}))
	require.NoError(t, change(Guards{NoCatchUp: true}))
}

func TestLaggingVoterTakesSnapshot(t *testing.T) {
	c := newCluster(7, 3, Guards{})
	c.run(3 * time.Second)
	leader := c.leader()
	var behind uint64
	for _, id := range c.voters {
		if id != leader.config.ID {
			behind = id
		}
	}
	c.crash(behind)
	for i := range 50 {
		c.propose(leader, fmt.Sprint(i))
	}
	c.run(time.Second)
	c.compact(leader.config.ID)
	c.start(behind)
	c.run(2 * time.Second)
	require.Equal(t, leader.CommitIndex(), c.nodes[behind].CommitIndex())
	require.Equal(t, leader.CommitIndex(), c.disks[behind].snapshot.GetIndex())
}

// TestCandidatesTogether has two candidates in different terms, as after a power
// cut of all voters. The one that has the vote wins before the other is heard.
func TestCandidatesTogether(t *testing.T) {
	n := New(Config{ID: 3, Voters: []uint64{1, 2, 3}, Timing: QuickTiming, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, 0)
	now := QuickTiming.Promise
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 1, To: 3, Term: 4})
	require.True(t, n.TakeEffects().Messages[0].Granted)
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 2, To: 3, Term: 5})
	require.Empty(t, n.TakeEffects().Messages)
	require.EqualValues(t, 4, n.Term(), "the later candidate does not raise the term")
	n.Receive(now, &peer.Message{Kind: peer.Message_APPEND, From: 1, To: 3, Term: 4})
	require.EqualValues(t, 1, n.Leader())

	n = New(Config{ID: 3, Voters: []uint64{1, 2, 3}, Timing: QuickTiming, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, 0)
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 1, To: 3, Term: 4})
	n.TakeEffects()
	now += 2 * voteBeats * QuickTiming.Heartbeat
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 2, To: 3, Term: 5})
	require.True(t, n.TakeEffects().Messages[0].Granted, "a candidate that did not win does not keep the vote")
}
