package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// A cluster runs nodes on one virtual clock. Its network loses, duplicates and
// delays messages; its disks keep what was stored before a crash.
type cluster struct {
	nodes        map[uint64]*Node
	disks        map[uint64]*disk
	paused       map[uint64]bool
	partitioned  map[uint64]bool
	overrides    SafetyOverrides
	now          time.Duration
	network      []*peer.Message
	voters       []uint64
	committed    map[uint64]*peer.Entry
	leaderByTerm map[uint64]uint64
	violation    error
	seed         uint64
	restarts     uint64
}

type disk struct {
	hard     *peer.Hard
	entries  []*peer.Entry
	snapshot *peer.Snapshot
}

func newCluster(seed uint64, size int, guards SafetyOverrides) *cluster {
	c := &cluster{
		nodes: map[uint64]*Node{}, disks: map[uint64]*disk{}, paused: map[uint64]bool{}, partitioned: map[uint64]bool{},
		overrides: guards, committed: map[uint64]*peer.Entry{}, leaderByTerm: map[uint64]uint64{}, seed: seed,
	}
	for id := uint64(1); id <= uint64(size); id++ {
		c.voters = append(c.voters, id)
		c.disks[id] = &disk{}
	}
	for _, id := range c.voters {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id uint64) {
	c.restarts++
	d := c.disks[id]
	c.nodes[id] = New(Config{
		ID: id, Voters: c.voters, Timing: DefaultTiming, SafetyOverrides: c.overrides, Rand: rand.New(rand.NewPCG(c.seed, id+100*c.restarts)),
	}, Restored{HardState: d.hard, Entries: slices.Clone(d.entries), Snapshot: d.snapshot}, c.now)
}

func (c *cluster) crash(id uint64) { delete(c.nodes, id) }

// processEffects stores a node's effects on its disk and puts its messages into
// the network.
func (c *cluster) processEffects(id uint64) {
	n := c.nodes[id]
	effects := n.TakeEffects()
	d := c.disks[id]
	if effects.Snapshot != nil {
		d.snapshot, d.entries = effects.Snapshot, nil
	}
	if effects.HardState != nil {
		d.hard = effects.HardState
	}
	for _, e := range effects.Entries {
		first := d.snapshot.GetIndex() + 1
		d.entries = append(d.entries[:e.Index-first:e.Index-first], e)
	}
	n.MarkDurable(c.now, n.LastIndex())
	for _, m := range effects.Messages {
		c.network = append(c.network, proto.Clone(m).(*peer.Message))
	}
}

func (c *cluster) active(id uint64) bool { return c.nodes[id] != nil && !c.paused[id] }

func (c *cluster) tick(step time.Duration) {
	c.now += step
	for _, id := range c.voters {
		if c.active(id) {
			c.nodes[id].Tick(c.now)
			c.processEffects(id)
		}
	}
}

// deliver delivers the i-th message in flight. With repeat, the message stays in
// flight and is delivered again later.
func (c *cluster) deliver(i int, repeat bool) {
	m := c.network[i]
	if !repeat {
		c.network = slices.Delete(c.network, i, i+1)
	}
	if !c.active(m.To) || c.partitioned[m.To] || c.partitioned[m.From] {
		return
	}
	c.nodes[m.To].Receive(c.now, proto.Clone(m).(*peer.Message))
	c.processEffects(m.To)
}

func (c *cluster) deliverAll() {
	for len(c.network) > 0 {
		c.deliver(0, false)
	}
}

func (c *cluster) run(span time.Duration) {
	for end := c.now + span; c.now < end && c.violation == nil; {
		c.tick(20 * time.Millisecond)
		c.deliverAll()
		c.violation = c.check()
	}
}

func (c *cluster) leader() *Node {
	var leader *Node
	for _, id := range c.voters {
		n := c.nodes[id]
		if n != nil && n.Role() == Leader && (leader == nil || n.Term() > leader.Term()) {
			leader = n
		}
	}
	return leader
}

func (c *cluster) propose(n *Node, text string) {
	n.Propose(c.now, []*peer.Command{{Actor: text}})
	c.processEffects(n.config.ID)
}

// check returns the first violation of an invariant: at most one lease is held,
// each term has at most one leader, and committed entries never change.
func (c *cluster) check() error {
	leases := 0
	for _, id := range c.voters {
		n := c.nodes[id]
		if n == nil {
			continue
		}
		if err := c.checkNode(n); err != nil {
			return err
		}
		if _, held := n.LeaseUntil(c.now); held {
			leases++
		}
	}
	if leases > 1 {
		return fmt.Errorf("%d voters hold a lease at %v", leases, c.now)
	}
	return nil
}

func (c *cluster) checkNode(n *Node) error {
	if n.Role() == Leader {
		if other, ok := c.leaderByTerm[n.Term()]; ok && other != n.config.ID {
			return fmt.Errorf("term %d has leaders %d and %d", n.Term(), other, n.config.ID)
		}
		c.leaderByTerm[n.Term()] = n.config.ID
	}
	for _, e := range n.Entries(1, n.CommitIndex()) {
		previous := c.committed[e.Index]
		if previous == nil {
			c.committed[e.Index] = e
			continue
		}
		if previous.Term != e.Term || previous.Command.GetActor() != e.Command.GetActor() {
			return fmt.Errorf("entry %d was committed as %v and as %v", e.Index, previous, e)
		}
	}
	return nil
}
