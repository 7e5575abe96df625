package quorum

import (
	"slices"
	"time"

	"auburnscale/peer"
)

// campaign requests votes from the other voters. A pre-vote does not raise the
// term, so that a voter that was partitioned does not depose a working leader
// when it returns.
func (n *Node) campaign(now time.Duration, preVote bool) {
	n.resetRetryTimeout()
	n.electionTimerStart = now
	n.leader = 0
	n.role = Candidate
	n.preVote = preVote
	n.votes = map[uint64]bool{n.config.ID: true}
	kind, term := peer.Message_PRE_VOTE, n.term+1
	if !preVote {
		n.term++
		n.votedFor = n.config.ID
		n.hardStateChanged = true
		kind, term = peer.Message_VOTE, n.term
	}
	for _, id := range n.log.voters().Ids {
		if id != n.config.ID {
			n.send(&peer.Message{Kind: kind, To: id, Term: term, LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
		}
	}
	n.countVotes(now)
}

// resetRetryTimeout sets the time until the next campaign in case this one
// fails: the time another candidate has to win, plus a random part that separates
// candidates that campaigned at the same time.
func (n *Node) resetRetryTimeout() {
	t := n.config.Timing
	n.electionTimeout = voteGraceHeartbeats*t.Heartbeat + time.Duration(n.config.Rand.Int64N(int64(t.ElectionJitter/2)))
}

// firstElectionTimeout returns the time from the start to the first campaign. It
// grows by one heartbeat interval with the voter's position in the voter set, so
// that voters that start together campaign one after the other.
func (n *Node) firstElectionTimeout() time.Duration {
	rank := max(0, slices.Index(n.log.voters().Ids, n.config.ID))
	return n.config.Timing.MinElectionTimeout + time.Duration(rank)*n.config.Timing.Heartbeat
}

func (n *Node) receiveVote(now time.Duration, m *peer.Message) {
	preVote := m.Kind == peer.Message_PRE_VOTE
	canVote := n.votedFor == 0 || n.votedFor == m.From
	if preVote {
		canVote = m.Term > n.term
	}
	granted := canVote && n.upToDate(m)
	if granted && !preVote {
		n.votedFor = m.From
		n.hardStateChanged = true
		n.deferToCandidate(now)
	}
	kind := peer.Message_VOTE_ANSWER
	if preVote {
		kind = peer.Message_PRE_VOTE_ANSWER
	}
	term := n.term
	if preVote && granted {
		term = m.Term
	}
	n.send(&peer.Message{Kind: kind, To: m.From, Term: term, Granted: granted})
}

// deferToCandidate withholds further votes until the candidate that got this
// voter's vote has had time to win. Otherwise two candidates that campaign at the
// same time in different terms undo each other's election.
func (n *Node) deferToCandidate(now time.Duration) {
	n.electionTimerStart = now
	n.withholdVoteUntil = max(n.withholdVoteUntil, now+voteGraceHeartbeats*n.config.Timing.Heartbeat)
}

// upToDate reports whether the candidate's log, as described by its vote request,
// is at least as up to date as this voter's.
func (n *Node) upToDate(m *peer.Message) bool {
	lastTerm := n.log.lastTerm()
	if m.LogTerm != lastTerm {
		return m.LogTerm > lastTerm
	}
	return m.LogIndex >= n.log.lastIndex()
}

func (n *Node) receiveVoteAnswer(now time.Duration, m *peer.Message) {
	preVote := m.Kind == peer.Message_PRE_VOTE_ANSWER
	if n.role != Candidate || preVote != n.preVote || !m.Granted {
		return
	}
	expected := n.term
	if preVote {
		expected = n.term + 1
	}
	if m.Term != expected {
		return
	}
	n.votes[m.From] = true
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Duration) {
	count := 0
	voters := n.log.voters().Ids
	for _, id := range voters {
		if n.votes[id] {
			count++
		}
	}
	if count <= len(voters)/2 {
		return
	}
	if n.preVote {
		n.campaign(now, false)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) becomeLeader(now time.Duration) {
	n.role = Leader
	n.leader = n.config.ID
	n.electedAt = now
	n.hasLease = false
	n.rounds = nil
	n.peers = map[uint64]*progress{}
	for _, id := range n.otherMembers() {
		n.peers[id] = &progress{next: n.log.lastIndex() + 1, lastContact: now}
	}
	n.broadcast(now, true)
}

// tickLeader steps down if no quorum was in contact within MinElectionTimeout
// (check-quorum), and otherwise sends a heartbeat when one is due.
func (n *Node) tickLeader(now time.Duration) {
	if !n.contactedQuorum(now) {
		n.becomeFollower(n.term, 0)
		n.electionTimerStart = now
		return
	}
	if now-n.lastHeartbeat >= n.config.Timing.Heartbeat {
		n.broadcast(now, true)
	}
}

// contactedQuorum reports whether a quorum, this leader included, was in contact
// within MinElectionTimeout.
func (n *Node) contactedQuorum(now time.Duration) bool {
	count := 0
	voters := n.log.voters().Ids
	for _, id := range voters {
		p := n.peers[id]
		if id == n.config.ID || (p != nil && now-p.lastContact < n.config.Timing.MinElectionTimeout) {
			count++
		}
	}
	return count > len(voters)/2
}
