package quorum

import (
	"slices"
	"time"

	"auburnscale/peer"
)

// broadcast sends each follower the entries it lacks. A heartbeat goes to every
// follower and starts a new round, from whose send time the lease counts.
func (n *Node) broadcast(now time.Duration, heartbeat bool) {
	if heartbeat {
		n.lastHeartbeat = now
		n.heartbeatRound++
		n.rounds = append(n.rounds, heartbeatRound{round: n.heartbeatRound, sent: now})
		if len(n.rounds) > maxHeartbeatRounds {
			n.rounds = slices.Delete(n.rounds, 0, len(n.rounds)-maxHeartbeatRounds)
		}
	}
	for _, id := range n.otherMembers() {
		p := n.progressOf(id, now)
		if heartbeat || p.next <= n.log.lastIndex() {
			n.sendAppend(id, p)
		}
	}
	n.advanceLease(now)
}

func (n *Node) progressOf(id uint64, now time.Duration) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.log.lastIndex() + 1, lastContact: now}
		n.peers[id] = p
	}
	return p
}

func (n *Node) sendAppend(id uint64, p *progress) {
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.appendBatch(p.next)
	p.next += uint64(len(entries))
	n.send(&peer.Message{
		Kind: peer.Message_APPEND, To: id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: n.commitIndex, Round: n.heartbeatRound,
	})
}

// sendSnapshot alternates between sending the snapshot and an APPEND without
// entries. The latter is a small message that keeps the lease alive while the
// snapshot is in transit.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	snapshot := n.log.snapshot
	if p.sentSnapshotIndex == snapshot.Index {
		p.sentSnapshotIndex = 0
		n.send(&peer.Message{Kind: peer.Message_APPEND, To: id, LogIndex: snapshot.Index, LogTerm: snapshot.Term, Round: n.heartbeatRound})
		return
	}
	p.sentSnapshotIndex = snapshot.Index
	n.send(&peer.Message{Kind: peer.Message_SNAPSHOT, To: id, Snapshot: snapshot, Round: n.heartbeatRound})
}

// acceptLeader makes the sender the leader and withholds this voter's vote from
// others for another MinElectionTimeout.
func (n *Node) acceptLeader(now time.Duration, m *peer.Message) {
	n.becomeFollower(m.Term, m.From)
	n.electionTimerStart = now
	n.lastLeaderContact = now
	n.withholdVoteUntil = max(n.withholdVoteUntil, now+n.config.Timing.MinElectionTimeout)
}

func (n *Node) receiveAppend(now time.Duration, m *peer.Message) {
	n.acceptLeader(now, m)
	answer := &peer.Message{Kind: peer.Message_APPEND_ANSWER, To: m.From, Round: m.Round}
	term, ok := n.log.term(m.LogIndex)
	if m.LogIndex < n.log.snapshot.GetIndex() {
		ok, term = true, m.LogTerm
	}
	if !ok || term != m.LogTerm {
		answer.Match = min(n.log.lastIndex(), m.LogIndex-1)
		n.send(answer)
		return
	}
	n.mergeEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	n.commitIndex = max(n.commitIndex, min(m.Commit, last))
	answer.Granted = true
	answer.Match = last
	n.send(answer)
}

// mergeEntries appends the entries that the log lacks. An entry whose term
// differs from the log's replaces the log from there on.
func (n *Node) mergeEntries(entries []*peer.Entry) {
	for _, e := range entries {
		if e.Index < n.log.firstIndex() {
			continue
		}
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			n.log.truncate(e.Index)
			n.durableIndex = min(n.durableIndex, e.Index-1)
		}
		n.log.append(e)
		n.effects.Entries = append(n.effects.Entries, e)
	}
}

func (n *Node) receiveSnapshot(now time.Duration, m *peer.Message) {
	n.acceptLeader(now, m)
	if m.Snapshot.GetIndex() > n.commitIndex {
		n.installSnapshot(m.Snapshot)
	}
	n.send(&peer.Message{
		Kind: peer.Message_APPEND_ANSWER, To: m.From, Round: m.Round,
		Granted: true, Match: m.Snapshot.GetIndex(),
	})
}

// installSnapshot replaces the log by the snapshot. If the log already holds the
// last entry that the snapshot covers, it only advances the commit index: later
// entries may have been acknowledged and must stay.
func (n *Node) installSnapshot(s *peer.Snapshot) {
	n.commitIndex = s.Index
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		return
	}
	n.log.install(s)
	n.durableIndex = s.Index
	n.effects.Snapshot = s
	n.effects.Entries = nil
}

func (n *Node) receiveAppendAnswer(now time.Duration, m *peer.Message) {
	if n.role != Leader || !slices.Contains(n.otherMembers(), m.From) {
		return
	}
	p := n.progressOf(m.From, now)
	p.lastContact = now
	p.ackedRound = max(p.ackedRound, m.Round)
	if m.Granted {
		p.match = max(p.match, m.Match)
		p.next = max(p.next, p.match+1)
	} else {
		p.next = max(p.match, min(m.Match, n.log.lastIndex())) + 1
	}
	n.advanceLease(now)
	n.advanceCommit(now)
	if p.next <= n.log.lastIndex() {
		n.sendAppend(m.From, p)
	}
}

// advanceLease renews the lease from the latest heartbeat round that a quorum
// has acknowledged.
func (n *Node) advanceLease(now time.Duration) {
	round := n.quorumValue(func(id uint64) uint64 {
		if id == n.config.ID {
			return n.heartbeatRound
		}
		if p := n.peers[id]; p != nil {
			return p.ackedRound
		}
		return 0
	})
	for _, r := range n.rounds {
		if r.round != round {
			continue
		}
		start := r.sent
		if n.config.SafetyOverrides.LeaseFromReceipt {
			start = now
		}
		n.leaseUntil = max(n.leaseUntil, start+n.config.Timing.Lease)
		n.hasLease = true
	}
}

// advanceCommit advances the commit index to the last entry that a quorum has
// stored, if that entry is of the current term. A leader that the committed voter
// set no longer contains steps down.
func (n *Node) advanceCommit(now time.Duration) {
	index := n.quorumValue(func(id uint64) uint64 {
		if id == n.config.ID {
			return n.durableIndex
		}
		if p := n.peers[id]; p != nil {
			return p.match
		}
		return 0
	})
	term, ok := n.log.term(index)
	if !ok || term != n.term || index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	if !n.isVoter(n.config.ID) {
		n.becomeFollower(n.term, 0)
	}
}

// quorumValue returns the highest value that more than half of the voters have
// reached.
func (n *Node) quorumValue(valueOf func(uint64) uint64) uint64 {
	voters := n.log.voters().Ids
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, valueOf(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
