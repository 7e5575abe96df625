package quorum

import (
	"slices"
	"time"

	"auburnscale/peer"
)

// campaign asks for votes. A pre-vote does not raise the term, so that a voter
// which was cut off does not disturb the others when it returns.
func (n *Node) campaign(now time.Duration, preVote bool) {
	n.drawRetry()
	n.heard = now
	n.leader = 0
	n.role = Candidate
	n.preVote = preVote
	n.votes = map[uint64]bool{n.config.ID: true}
	kind, term := peer.Message_PRE_VOTE, n.term+1
	if !preVote {
		n.term++
		n.vote = n.config.ID
		n.dirty = true
		kind, term = peer.Message_VOTE, n.term
	}
	for _, id := range n.log.voters().Ids {
		if id != n.config.ID {
			n.send(&peer.Message{Kind: kind, To: id, Term: term, LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
		}
	}
	n.countVotes(now)
}

// drawRetry sets the time until the next campaign, should this one fail: the time
// that another candidate has to win, and a random part by which two that
// campaigned together come apart.
func (n *Node) drawRetry() {
	t := n.config.Timing
	n.timeout = voteBeats*t.Heartbeat + time.Duration(n.config.Rand.Int64N(int64(t.ElectionSpread/2)))
}

// rankTimeout is the time to the first campaign after a start: voters that start
// together campaign one after the other.
func (n *Node) rankTimeout() time.Duration {
	rank := max(0, slices.Index(n.log.voters().Ids, n.config.ID))
	return n.config.Timing.Promise + time.Duration(rank)*n.config.Timing.Heartbeat
}

func (n *Node) receiveVote(now time.Duration, m *peer.Message) {
	preVote := m.Kind == peer.Message_PRE_VOTE
	free := n.vote == 0 || n.vote == m.From
	if preVote {
		free = m.Term > n.term
	}
	granted := free && n.upToDate(m)
	if granted && !preVote {
		n.vote = m.From
		n.dirty = true
		n.giveTime(now)
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

// giveTime lets the candidate that has this vote win before another one is heard.
// Otherwise two that campaign together, in different terms, undo each other's
// election.
func (n *Node) giveTime(now time.Duration) {
	n.heard = now
	n.promise = max(n.promise, now+voteBeats*n.config.Timing.Heartbeat)
}

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
	n.lead(now)
}

func (n *Node) lead(now time.Duration) {
	n.role = Leader
	n.leader = n.config.ID
	n.elected = now
	n.hasLease = false
	n.rounds = nil
	n.peers = map[uint64]*progress{}
	for _, id := range n.others() {
		n.peers[id] = &progress{next: n.log.lastIndex() + 1, heard: now}
	}
	n.broadcast(now, true)
}

// tickLeader steps down when no quorum was heard for a whole Promise, and sends
// a heartbeat when one is due.
func (n *Node) tickLeader(now time.Duration) {
	if !n.heardQuorum(now) {
		n.follow(n.term, 0)
		n.heard = now
		return
	}
	if now-n.beat >= n.config.Timing.Heartbeat {
		n.broadcast(now, true)
	}
}

func (n *Node) heardQuorum(now time.Duration) bool {
	count := 0
	voters := n.log.voters().Ids
	for _, id := range voters {
		p := n.peers[id]
		if id == n.config.ID || (p != nil && now-p.heard < n.config.Timing.Promise) {
			count++
		}
	}
	return count > len(voters)/2
}
