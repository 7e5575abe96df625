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

// runRandomFaults runs a cluster under randomly drawn events and returns the
// first violation of an invariant.
func runRandomFaults(t *rapid.T, guards SafetyOverrides, steps int) error {
	c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), guards)
	c.run(3 * time.Second)
	for i := range steps {
		c.injectEvent(t, i)
		if err := errors.Join(c.violation, c.check()); err != nil {
			return err
		}
	}
	return nil
}

// injectEvent draws and runs one event: mostly faults that begin and end while
// the cluster keeps running, and sometimes loss, duplication or reordering of
// single messages.
func (c *cluster) injectEvent(t *rapid.T, i int) {
	id := rapid.SampledFrom(c.voters).Draw(t, "voter")
	switch rapid.SampledFrom(eventKinds).Draw(t, "event") {
	case "crash":
		c.crash(id)
	case "restart":
		c.crash(id)
		c.start(id)
	case "pause":
		c.paused[id] = !c.paused[id]
	case "cut":
		c.partitioned[id] = !c.partitioned[id]
	case "cut_leader":
		if n := c.leader(); n != nil {
			c.partitioned[n.config.ID] = true
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
		c.disorderMessages(t)
	}
}

var eventKinds = []string{
	"crash", "restart", "restart", "pause", "cut", "cut", "cut_leader", "propose", "propose", "propose",
	"heal", "heal", "compact", "run", "run", "run", "run", "run", "run", "tick", "disorder", "disorder",
}

// heal ends every pause and partition and restarts the crashed voters.
func (c *cluster) heal() {
	for _, id := range c.voters {
		c.partitioned[id] = false
		c.paused[id] = false
		if c.nodes[id] == nil {
			c.start(id)
		}
	}
}

// disorderMessages loses or duplicates single messages, or delivers them out of
// order.
func (c *cluster) disorderMessages(t *rapid.T) {
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

// TestInvariantsUnderRandomFaults checks that each term has at most one leader,
// that at most one lease is held at a time and that committed entries never
// change, under crashes, pauses, partitions and lost, duplicated or reordered
// messages.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runRandomFaults(t, SafetyOverrides{}, 60))
	})
}

func TestElectsAndCommits(t *testing.T) {
	c := newCluster(1, 3, SafetyOverrides{})
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
	c := newCluster(2, 3, SafetyOverrides{})
	c.run(3 * time.Second)
	old := c.leader()
	c.partitioned[old.config.ID] = true
	for range 200 {
		c.tick(20 * time.Millisecond)
		c.deliverAll()
		require.NoError(t, c.check())
	}
	require.NotEqual(t, old.config.ID, c.leader().config.ID)
	require.NotEqual(t, Leader, old.Role(), "check-quorum makes a partitioned leader step down")
}

func TestReturningVoterKeepsTerm(t *testing.T) {
	c := newCluster(3, 3, SafetyOverrides{})
	c.run(3 * time.Second)
	leader := c.leader()
	var away uint64
	for _, id := range c.voters {
		if id != leader.config.ID {
			away = id
		}
	}
	term := leader.Term()
	c.partitioned[away] = true
	c.run(20 * time.Second)
	c.partitioned[away] = false
	c.run(5 * time.Second)
	require.Equal(t, term, leader.Term(), "pre-vote keeps the term")
	require.Equal(t, Leader, leader.Role())
}

// TestRestartedVoterHoldsOff guards against two leases at a time: a voter that
// forgets over a restart that it acknowledged the leader would elect another one
// while the leader's lease lasts.
func TestRestartedVoterHoldsOff(t *testing.T) {
	require.NoError(t, partitionLeaderAndRestart(SafetyOverrides{}))
	require.Error(t, partitionLeaderAndRestart(SafetyOverrides{NoRestartHoldOff: true}))
}

// partitionLeaderAndRestart partitions the leader right after a quorum
// acknowledged it, and restarts the voters that did so. It returns the first
// violation of an invariant.
func partitionLeaderAndRestart(guards SafetyOverrides) error {
	for seed := uint64(1); seed <= 40; seed++ {
		c := newCluster(seed, 3, guards)
		c.run(3 * time.Second)
		c.partitioned[c.leader().config.ID] = true
		for _, id := range c.voters {
			if !c.partitioned[id] {
				c.crash(id)
				c.start(id)
			}
		}
		for _, id := range c.voters {
			if !c.partitioned[id] {
				// One restarted voter gets the shortest possible election timeout.
				c.nodes[id].electionTimeout = 0
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

// TestLeaseStartsWhenHeartbeatIsSent guards against two leases at a time: a lease
// that counts from the receipt of a late acknowledgement overlaps the next
// leader's lease.
func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	require.NoError(t, delayAcks(SafetyOverrides{}))
	require.Error(t, delayAcks(SafetyOverrides{LeaseFromReceipt: true}))
}

// delayAcks partitions the leader after a heartbeat and delivers that heartbeat's
// acknowledgements only shortly before the leader would step down. It returns the
// first violation of an invariant.
func delayAcks(guards SafetyOverrides) error {
	for seed := uint64(1); seed <= 40; seed++ {
		c := newCluster(seed, 3, guards)
		c.run(3 * time.Second)
		old := c.leader().config.ID
		withheld := c.withholdAcks(old)
		for range 150 {
			c.tick(20 * time.Millisecond)
			c.deliverExcept(old)
			if c.nodes[old].Role() == Leader && c.now-c.nodes[old].peers[withheld[0].From].lastContact > 900*time.Millisecond {
				for _, m := range withheld {
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

// withholdAcks makes the leader send a heartbeat and returns the acknowledgements
// of it without delivering them.
func (c *cluster) withholdAcks(leader uint64) []*peer.Message {
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

// deliverExcept delivers all messages in flight and drops those to or from the
// voter.
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
	c := newCluster(5, 3, SafetyOverrides{})
	c.run(3 * time.Second)
	leader := c.leader()
	c.propose(leader, "before")
	c.run(time.Second)
	require.ErrorContains(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}), "must be a learner first")
	require.ErrorContains(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 4, 5}}), "one voter can change at a time")

	require.NoError(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3}, Learners: []uint64{4}}))
	c.processEffects(leader.config.ID)
	c.run(time.Second)
	require.ErrorContains(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}), "learner 4 holds entry 0")

	c.disks[4] = &disk{}
	c.start(4)
	c.voters = append(c.voters, 4)
	c.run(time.Second)
	require.NoError(t, leader.ChangeVoters(c.now, &peer.Voters{Ids: []uint64{1, 2, 3, 4}}))
	c.processEffects(leader.config.ID)
	c.run(time.Second)
	require.Equal(t, leader.CommitIndex(), c.nodes[4].CommitIndex())
	require.Equal(t, []uint64{1, 2, 3, 4}, c.nodes[4].Voters().Ids)
}

// TestNewVoterMustCatchUp guards against the loss of the quorum: if a voter with
// an empty log counts at once, one failed voter keeps the new set from committing.
// Such a change must be refused.
func TestNewVoterMustCatchUp(t *testing.T) {
	change := func(guards SafetyOverrides) error {
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
		c.processEffects(leader.config.ID)
		c.run(2 * time.Second)
		c.propose(leader, "two")
		c.run(2 * time.Second)
		require.NotEqual(t, leader.LastIndex(), leader.CommitIndex(), "two of four voters are not a quorum")
		return nil
	}
	require.Error(t, change(SafetyOverrides{}))
	require.NoError(t, change(SafetyOverrides{NoCatchUp: true}))
}

func TestLaggingVoterTakesSnapshot(t *testing.T) {
	c := newCluster(7, 3, SafetyOverrides{})
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

// TestConcurrentCandidates covers two candidates that campaign at the same time in
// different terms, as after a power failure of all voters. A voter that granted
// one its vote ignores the other until the first has had time to win.
func TestConcurrentCandidates(t *testing.T) {
	n := New(Config{ID: 3, Voters: []uint64{1, 2, 3}, Timing: QuickTiming, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, 0)
	now := QuickTiming.MinElectionTimeout
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 1, To: 3, Term: 4})
	require.True(t, n.TakeEffects().Messages[0].Granted)
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 2, To: 3, Term: 5})
	require.Empty(t, n.TakeEffects().Messages)
	require.EqualValues(t, 4, n.Term(), "the second candidate must not raise the term")
	n.Receive(now, &peer.Message{Kind: peer.Message_APPEND, From: 1, To: 3, Term: 4})
	require.EqualValues(t, 1, n.Leader())

	n = New(Config{ID: 3, Voters: []uint64{1, 2, 3}, Timing: QuickTiming, Rand: rand.New(rand.NewPCG(1, 1))}, Restored{}, 0)
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 1, To: 3, Term: 4})
	n.TakeEffects()
	now += 2 * voteGraceHeartbeats * QuickTiming.Heartbeat
	n.Receive(now, &peer.Message{Kind: peer.Message_VOTE, From: 2, To: 3, Term: 5})
	require.True(t, n.TakeEffects().Messages[0].Granted, "a candidate that did not win in time must not block later votes")
}
