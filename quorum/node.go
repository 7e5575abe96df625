package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnscale/peer"
)

// A Role represents what a voter does in its current term.
type Role int

// The roles of a voter.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Timing holds the durations of the protocol, on the monotonic clock.
type Timing struct {
	// Heartbeat is the time between two heartbeats of a leader.
	Heartbeat time.Duration
	// Lease is how long a quorum's acknowledgement lets a leader act, counted
	// from when the heartbeat was sent. It must be less than Promise.
	Lease time.Duration
	// Promise is how long a voter keeps its vote after it heard a leader.
	Promise time.Duration
	// ElectionSpread is the random part added to Promise before an election.
	ElectionSpread time.Duration
}

// DefaultTiming suits voters a few milliseconds apart. The distance between
// Lease and Promise allows for clocks that drift by a tenth.
var DefaultTiming = Timing{
	Heartbeat:      100 * time.Millisecond,
	Lease:          900 * time.Millisecond,
	Promise:        1000 * time.Millisecond,
	ElectionSpread: 800 * time.Millisecond,
}

// QuickTiming suits voters a few milliseconds apart that must elect another
// leader within a second or two. An election takes 0.8 to 1.3 s.
var QuickTiming = Timing{
	Heartbeat:      80 * time.Millisecond,
	Lease:          620 * time.Millisecond,
	Promise:        700 * time.Millisecond,
	ElectionSpread: 500 * time.Millisecond,
}

const (
	// maxAppendEntries and maxAppendBytes bound one APPEND message.
	maxAppendEntries = 512
	maxAppendBytes   = 1 << 20
	// voteBeats is how many heartbeats a candidate that got a vote has to win.
	voteBeats = 2
	// maxRounds bounds the heartbeats a leader remembers the send time of.
	maxRounds = 64
)

// Guards switch off single rules of the protocol. They exist so that a test can
// show that each rule is needed; nothing but tests sets them.
type Guards struct {
	NoPromiseAfterRestart bool
	QuorumEndsQuiet       bool
	LeaseFromReceipt      bool
	NoCatchUp             bool
}

// Config is what a node needs to know about itself.
type Config struct {
	ID uint64
	// Voters is the first voter set, empty for a replica that is added later.
	Voters []uint64
	// Replicas says where the first voters are reached, if settings do not.
	Replicas []*peer.Replica
	Timing   Timing
	Rand     *rand.Rand
	Guards   Guards
}

// Restored is what a voter's folder held when it started.
type Restored struct {
	HardState *peer.Hard
	Entries   []*peer.Entry
	Snapshot  *peer.Snapshot
}

// Effects are what must follow from the steps since the last Take, in this
// order: install Snapshot, store Hard and Entries durably, send Messages.
type Effects struct {
	Snapshot  *peer.Snapshot
	HardState *peer.Hard
	Entries   []*peer.Entry
	Messages  []*peer.Message
}

type progress struct {
	match     uint64
	next      uint64
	round     uint64
	heard     time.Duration
	snapshots uint64
}

type roundTime struct {
	round uint64
	sent  time.Duration
}

// A Node represents one voter's part in the replicated log. It has a single
// owner and is not safe for concurrent use.
type Node struct {
	config Config
	log    log

	role    Role
	term    uint64
	vote    uint64
	leader  uint64
	commit  uint64
	stored  uint64
	started time.Duration
	heard   time.Duration
	// lastLeader is when a leader was last heard; campaigns do not move it.
	lastLeader time.Duration
	timeout    time.Duration
	// promise is the time before which this voter helps elect nobody. It
	// outlives changes of role and term.
	promise time.Duration
	// resume says whether the quiet time after a start can end early.
	resume resume

	votes    map[uint64]bool
	preVote  bool
	peers    map[uint64]*progress
	rounds   []roundTime
	round    uint64
	beat     time.Duration
	elected  time.Duration
	lease    time.Duration
	hasLease bool

	effects Effects
	dirty   bool
}

// New returns the node for a voter that starts at now with what its folder held.
func New(config Config, restored Restored, now time.Duration) *Node {
	n := &Node{config: config, started: now, heard: now}
	n.log = newLog(&peer.Voters{Ids: config.Voters, Replicas: config.Replicas}, restored.Snapshot, restored.Entries)
	n.term = restored.HardState.GetTerm()
	n.vote = restored.HardState.GetVote()
	n.commit = restored.Snapshot.GetIndex()
	n.stored = n.log.lastIndex()
	n.timeout = n.rankTimeout()
	n.resume = newResume(n.term, n.log.lastTerm())
	return n
}

// Take returns the effects of the steps since the last Take.
func (n *Node) TakeEffects() Effects {
	effects := n.effects
	if n.dirty {
		effects.HardState = &peer.Hard{Term: n.term, Vote: n.vote}
	}
	n.effects = Effects{}
	n.dirty = false
	return effects
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the node's term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the id of the leader of the term, or 0 if it is not known.
func (n *Node) Leader() uint64 { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.commit }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Voters returns the voter set in force.
func (n *Node) Voters() *peer.Voters { return n.log.voters() }

// Entries returns the entries from first to last, both included, that the log
// still holds.
func (n *Node) Entries(first, last uint64) []*peer.Entry { return n.log.slice(first, last) }

// LeaseUntil returns the time until which this node may act as the leader, and
// whether it may act at all at now.
func (n *Node) LeaseUntil(now time.Duration) (time.Duration, bool) {
	return n.lease, n.role == Leader && n.hasLease && now < n.lease
}

// Compact drops the log up to index, which the state covers.
func (n *Node) Compact(index uint64, state *peer.State) *peer.Snapshot {
	return n.log.compact(index, state)
}

// Rest returns the entries behind the last snapshot.
func (n *Node) EntriesAfterSnapshot() []*peer.Entry { return n.log.entries }

// Tick lets time pass: it starts elections, sends heartbeats and steps down.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	n.tickResume(now)
	if now-n.heard < n.timeout || now-n.started < n.quiet() || now < n.promise {
		return
	}
	if !n.isVoter(n.config.ID) {
		return
	}
	n.campaign(now, true)
}

// Propose appends commands to the leader's log and returns the index of the
// last one. It returns false if this node is not the leader.
func (n *Node) Propose(now time.Duration, commands []*peer.Command) (uint64, bool) {
	if n.role != Leader {
		return 0, false
	}
	for _, c := range commands {
		n.append(&peer.Entry{Command: c})
	}
	n.broadcast(now, false)
	return n.log.lastIndex(), true
}

// Stored tells the node that its own log is durable up to index.
func (n *Node) MarkDurable(now time.Duration, index uint64) {
	n.stored = max(n.stored, min(index, n.log.lastIndex()))
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Receive handles one message of another voter.
func (n *Node) Receive(now time.Duration, m *peer.Message) {
	if m.Kind == peer.Message_RESUMED {
		n.receiveResumed(now, m)
		return
	}
	if n.keepsPromise(now, m) {
		return
	}
	if m.Term > n.term && m.Kind != peer.Message_PRE_VOTE && !(m.Kind == peer.Message_PRE_VOTE_ANSWER && m.Granted) {
		n.follow(m.Term, 0)
	}
	if m.Term < n.term {
		n.answerOld(m)
		return
	}
	switch m.Kind {
	case peer.Message_PRE_VOTE, peer.Message_VOTE:
		n.receiveVote(now, m)
	case peer.Message_PRE_VOTE_ANSWER, peer.Message_VOTE_ANSWER:
		n.receiveVoteAnswer(now, m)
	case peer.Message_APPEND:
		n.receiveAppend(now, m)
	case peer.Message_SNAPSHOT:
		n.receiveSnapshot(now, m)
	case peer.Message_APPEND_ANSWER:
		n.receiveAppendAnswer(now, m)
	}
}

// keepsPromise reports whether m asks for a vote that this voter has promised
// not to give yet. Such a message must not even raise the term.
func (n *Node) keepsPromise(now time.Duration, m *peer.Message) bool {
	if m.Kind != peer.Message_VOTE && m.Kind != peer.Message_PRE_VOTE {
		return false
	}
	if now-n.started < n.quiet() || now < n.promise {
		return true
	}
	if n.role != Leader {
		return false
	}
	// A voter that returns from a cut must not end a leadership that works.
	_, leads := n.LeaseUntil(now)
	return leads || now-n.elected < n.config.Timing.Promise
}

// quiet is how long a started voter neither votes nor campaigns, since it may
// have made a promise that it no longer remembers.
func (n *Node) quiet() time.Duration {
	if n.config.Guards.NoPromiseAfterRestart || n.resume.ended {
		return 0
	}
	return n.config.Timing.Promise
}

// answerOld tells the sender of an outdated message about the newer term.
func (n *Node) answerOld(m *peer.Message) {
	switch m.Kind {
	case peer.Message_APPEND, peer.Message_SNAPSHOT:
		n.send(&peer.Message{Kind: peer.Message_APPEND_ANSWER, To: m.From})
	case peer.Message_PRE_VOTE, peer.Message_VOTE:
		n.send(&peer.Message{Kind: peer.Message_PRE_VOTE_ANSWER, To: m.From})
	}
}

func (n *Node) follow(term, leader uint64) {
	if term != n.term {
		n.term = term
		n.vote = 0
		n.dirty = true
	}
	if n.role == Leader && n.hasLease {
		n.promise = max(n.promise, n.lease)
	}
	n.role = Follower
	n.leader = leader
	n.hasLease = false
	n.peers = nil
	n.rounds = nil
	n.drawTimeout()
}

func (n *Node) drawTimeout() {
	t := n.config.Timing
	n.timeout = t.Promise + t.Heartbeat + time.Duration(n.config.Rand.Int64N(int64(t.ElectionSpread)))
}

func (n *Node) send(m *peer.Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.effects.Messages = append(n.effects.Messages, m)
}

func (n *Node) append(e *peer.Entry) {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.term
	n.log.append(e)
	n.effects.Entries = append(n.effects.Entries, e)
}

func (n *Node) isVoter(id uint64) bool { return slices.Contains(n.log.voters().Ids, id) }

// others returns every other voter and learner.
func (n *Node) others() []uint64 {
	voters := n.log.voters()
	ids := append(slices.Clone(voters.Ids), voters.Learners...)
	return slices.DeleteFunc(ids, func(id uint64) bool { return id == n.config.ID })
}
