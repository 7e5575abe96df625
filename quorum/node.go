package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"auburnscale/peer"
)

// A Role is the part that a voter plays in its current term.
type Role int

// Roles of a voter.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Timing holds the durations of the protocol, on the monotonic clock.
type Timing struct {
	// Heartbeat is the time between two heartbeats of a leader.
	Heartbeat time.Duration
	// Lease is how long the acknowledgement by a quorum lets a leader act,
	// counted from when the heartbeat was sent. It must be less than
	// MinElectionTimeout.
	Lease time.Duration
	// MinElectionTimeout is how long a voter withholds its vote from candidates
	// after the last contact with a leader.
	MinElectionTimeout time.Duration
	// ElectionJitter bounds the random part that is added to the election
	// timeout, so that voters do not campaign at the same time.
	ElectionJitter time.Duration
}

// DefaultTiming suits voters with a few milliseconds of network latency between
// them. The margin between Lease and MinElectionTimeout allows for clocks whose
// rates differ by a tenth.
var DefaultTiming = Timing{
	Heartbeat:          100 * time.Millisecond,
	Lease:              900 * time.Millisecond,
	MinElectionTimeout: 1000 * time.Millisecond,
	ElectionJitter:     800 * time.Millisecond,
}

// QuickTiming suits voters with a few milliseconds of network latency between
// them that must elect another leader within one or two seconds. An election takes
// 0.8 to 1.3 s.
var QuickTiming = Timing{
	Heartbeat:          80 * time.Millisecond,
	Lease:              620 * time.Millisecond,
	MinElectionTimeout: 700 * time.Millisecond,
	ElectionJitter:     500 * time.Millisecond,
}

const (
	// maxAppendEntries and maxAppendBytes bound one APPEND message.
	maxAppendEntries = 512
	maxAppendBytes   = 1 << 20
	// voteGraceHeartbeats is the time, in heartbeat intervals, for which a voter
	// that granted a vote waits for the candidate to win.
	voteGraceHeartbeats = 2
	// maxHeartbeatRounds bounds the number of heartbeats whose send time a leader
	// keeps.
	maxHeartbeatRounds = 64
)

// SafetyOverrides disable individual safety rules of the protocol. Only tests set
// them, to show that each rule is necessary.
type SafetyOverrides struct {
	// NoRestartHoldOff lets a restarted voter vote and campaign at once.
	NoRestartHoldOff bool
	// QuorumEndsHoldOff ends the hold-off when a quorum, not every voter, has
	// restarted.
	QuorumEndsHoldOff bool
	// LeaseFromReceipt counts the lease from the receipt of the acknowledgement.
	LeaseFromReceipt bool
	// NoCatchUp accepts new voters that have not caught up as learners.
	NoCatchUp bool
}

// Config holds the configuration of a node.
type Config struct {
	ID uint64
	// Voters is the initial voter set, empty for a replica that is added later.
	Voters []uint64
	// Replicas holds the addresses of the initial voters, if the settings do not
	// list them.
	Replicas        []*peer.Replica
	Timing          Timing
	Rand            *rand.Rand
	SafetyOverrides SafetyOverrides
}

// Restored is the state that a voter's data folder held when the voter started.
type Restored struct {
	HardState *peer.Hard
	Entries   []*peer.Entry
	Snapshot  *peer.Snapshot
}

// Effects are the actions that the caller must carry out for the steps since the
// last TakeEffects, in this order: install Snapshot, store HardState and Entries
// durably, send Messages.
type Effects struct {
	Snapshot  *peer.Snapshot
	HardState *peer.Hard
	Entries   []*peer.Entry
	Messages  []*peer.Message
}

// progress is what a leader knows about the log of another replica.
type progress struct {
	// match is the last entry known to agree with the leader's log, and next the
	// first one to send.
	match uint64
	next  uint64
	// ackedRound is the last heartbeat round that the replica acknowledged.
	ackedRound  uint64
	lastContact time.Duration
	// sentSnapshotIndex is the index of the snapshot that was sent last, or 0 if
	// it is to be sent again.
	sentSnapshotIndex uint64
}

// heartbeatRound records when the leader sent a round of heartbeats.
type heartbeatRound struct {
	round uint64
	sent  time.Duration
}

// A Node runs the protocol for one voter of the replicated log. It has a single
// owner and is not safe for concurrent use.
type Node struct {
	config Config
	log    log

	role               Role
	term               uint64
	votedFor           uint64
	leader             uint64
	commitIndex        uint64
	durableIndex       uint64
	startedAt          time.Duration
	electionTimerStart time.Duration
	// lastLeaderContact is when a message of a leader was last received. Unlike
	// electionTimerStart, campaigns do not change it.
	lastLeaderContact time.Duration
	electionTimeout   time.Duration
	// withholdVoteUntil is the time before which this voter votes for no
	// candidate. It outlives changes of role and term.
	withholdVoteUntil time.Duration
	// restarts decides whether the hold-off after a start can end early.
	restarts restartTracker

	votes          map[uint64]bool
	preVote        bool
	peers          map[uint64]*progress
	rounds         []heartbeatRound
	heartbeatRound uint64
	lastHeartbeat  time.Duration
	electedAt      time.Duration
	leaseUntil     time.Duration
	hasLease       bool

	effects          Effects
	hardStateChanged bool
}

// New returns the node of a voter that starts at now with the restored state.
func New(config Config, restored Restored, now time.Duration) *Node {
	n := &Node{config: config, startedAt: now, electionTimerStart: now}
	n.log = newLog(&peer.Voters{Ids: config.Voters, Replicas: config.Replicas}, restored.Snapshot, restored.Entries)
	n.term = restored.HardState.GetTerm()
	n.votedFor = restored.HardState.GetVote()
	n.commitIndex = restored.Snapshot.GetIndex()
	n.durableIndex = n.log.lastIndex()
	n.electionTimeout = n.firstElectionTimeout()
	n.restarts = newRestartTracker(n.term, n.log.lastTerm())
	return n
}

// TakeEffects returns the effects of the steps since the last TakeEffects.
func (n *Node) TakeEffects() Effects {
	effects := n.effects
	if n.hardStateChanged {
		effects.HardState = &peer.Hard{Term: n.term, Vote: n.votedFor}
	}
	n.effects = Effects{}
	n.hardStateChanged = false
	return effects
}

// Role returns the node's role in its current term.
func (n *Node) Role() Role { return n.role }

// Term returns the node's current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the id of the leader of the current term, or 0 if it is unknown.
func (n *Node) Leader() uint64 { return n.leader }

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Voters returns the current voter set, which may not be committed yet.
func (n *Node) Voters() *peer.Voters { return n.log.voters() }

// Entries returns the entries from index first to last, both included, that the
// log still holds.
func (n *Node) Entries(first, last uint64) []*peer.Entry { return n.log.slice(first, last) }

// LeaseUntil returns the time at which this node's lease ends, and whether the
// node is the leader and holds the lease at now.
func (n *Node) LeaseUntil(now time.Duration) (time.Duration, bool) {
	return n.leaseUntil, n.role == Leader && n.hasLease && now < n.leaseUntil
}

// Compact replaces the log up to index by a snapshot of state, the state after
// the entry at index. It returns the snapshot, or nil if index is not ahead of the
// last snapshot or not in the log.
func (n *Node) Compact(index uint64, state *peer.State) *peer.Snapshot {
	return n.log.compact(index, state)
}

// EntriesAfterSnapshot returns the entries after the last snapshot.
func (n *Node) EntriesAfterSnapshot() []*peer.Entry { return n.log.entries }

// Tick does what is due at now: it starts an election, sends heartbeats or steps
// down. The caller calls it at short, regular intervals.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	n.announceRestart(now)
	if now-n.electionTimerStart < n.electionTimeout || now-n.startedAt < n.holdOff() || now < n.withholdVoteUntil {
		return
	}
	if !n.isVoter(n.config.ID) {
		return
	}
	n.campaign(now, true)
}

// Propose appends commands to the leader's log and returns the index of the last
// one. It returns false if this node is not the leader. The commands may still be
// lost until they are committed.
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

// MarkDurable records that this node's own log is durable up to index.
func (n *Node) MarkDurable(now time.Duration, index uint64) {
	n.durableIndex = max(n.durableIndex, min(index, n.log.lastIndex()))
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Receive handles one message from another voter.
func (n *Node) Receive(now time.Duration, m *peer.Message) {
	if m.Kind == peer.Message_RESUMED {
		n.receiveResumed(now, m)
		return
	}
	if n.withholdsVote(now, m) {
		return
	}
	if m.Term > n.term && m.Kind != peer.Message_PRE_VOTE && !(m.Kind == peer.Message_PRE_VOTE_ANSWER && m.Granted) {
		n.becomeFollower(m.Term, 0)
	}
	if m.Term < n.term {
		n.rejectStale(m)
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

// withholdsVote reports whether m is a vote request that this voter must ignore
// for now, because it holds off, has contact with a leader, has just voted for
// another candidate, or leads itself. Such a message must not even raise the term.
func (n *Node) withholdsVote(now time.Duration, m *peer.Message) bool {
	if m.Kind != peer.Message_VOTE && m.Kind != peer.Message_PRE_VOTE {
		return false
	}
	if now-n.startedAt < n.holdOff() || now < n.withholdVoteUntil {
		return true
	}
	if n.role != Leader {
		return false
	}
	// A voter that returns from a partition must not depose a working leader.
	_, leads := n.LeaseUntil(now)
	return leads || now-n.electedAt < n.config.Timing.MinElectionTimeout
}

// holdOff returns how long after its start a voter neither votes nor campaigns.
// Before the restart it may have acknowledged a leader's heartbeat, which commits
// it to withhold its vote, and that commitment is not stored.
func (n *Node) holdOff() time.Duration {
	if n.config.SafetyOverrides.NoRestartHoldOff || n.restarts.holdOffEnded {
		return 0
	}
	return n.config.Timing.MinElectionTimeout
}

// rejectStale answers a message of an older term with the current term.
func (n *Node) rejectStale(m *peer.Message) {
	switch m.Kind {
	case peer.Message_APPEND, peer.Message_SNAPSHOT:
		n.send(&peer.Message{Kind: peer.Message_APPEND_ANSWER, To: m.From})
	case peer.Message_PRE_VOTE, peer.Message_VOTE:
		n.send(&peer.Message{Kind: peer.Message_PRE_VOTE_ANSWER, To: m.From})
	}
}

// becomeFollower makes this node a follower in the term, of the leader or of none
// if leader is 0. A deposed leader withholds its vote until its own lease ends.
func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.term {
		n.term = term
		n.votedFor = 0
		n.hardStateChanged = true
	}
	if n.role == Leader && n.hasLease {
		n.withholdVoteUntil = max(n.withholdVoteUntil, n.leaseUntil)
	}
	n.role = Follower
	n.leader = leader
	n.hasLease = false
	n.peers = nil
	n.rounds = nil
	n.resetElectionTimeout()
}

// resetElectionTimeout draws a new election timeout for a follower.
func (n *Node) resetElectionTimeout() {
	t := n.config.Timing
	n.electionTimeout = t.MinElectionTimeout + t.Heartbeat + time.Duration(n.config.Rand.Int64N(int64(t.ElectionJitter)))
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

// otherMembers returns the ids of every other voter and learner.
func (n *Node) otherMembers() []uint64 {
	voters := n.log.voters()
	ids := append(slices.Clone(voters.Ids), voters.Learners...)
	return slices.DeleteFunc(ids, func(id uint64) bool { return id == n.config.ID })
}
