package quorum

import (
	"slices"
	"time"

	"auburnscale/peer"
)

// broadcast sends each follower what it lacks. A heartbeat goes to all, and it
// opens a new round, whose send time the lease counts from.
func (n *Node) broadcast(now time.Duration, heartbeat bool) {
	if heartbeat {
		n.beat = now
		n.round++
		n.rounds = append(n.rounds, roundTime{round: n.round, sent: now})
		if len(n.rounds) > maxRounds {
			n.rounds = slices.Delete(n.rounds, 0, len(n.rounds)-maxRounds)
		}
	}
	for _, id := range n.others() {
		p := n.progressOf(id, now)
		if heartbeat || p.next <= n.log.lastIndex() {
			n.replicate(id, p)
		}
	}
	n.advanceLease(now)
}

func (n *Node) progressOf(id uint64, now time.Duration) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.log.lastIndex() + 1, heard: now}
		n.peers[id] = p
	}
	return p
}

func (n *Node) replicate(id uint64, p *progress) {
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.page(p.next)
	p.next += uint64(len(entries))
	n.send(&peer.Message{
		Kind: peer.Message_APPEND, To: id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: n.commit, Round: n.round,
	})
}

// sendSnapshot sends the snapshot at most once per snapshot index; heartbeats
// in between carry no entries and keep the lease alive.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	snapshot := n.log.snapshot
	if p.snapshots == snapshot.Index {
		p.snapshots = 0
		n.send(&peer.Message{Kind: peer.Message_APPEND, To: id, LogIndex: snapshot.Index, LogTerm: snapshot.Term, Round: n.round})
		return
	}
	p.snapshots = snapshot.Index
	n.send(&peer.Message{Kind: peer.Message_SNAPSHOT, To: id, Snapshot: snapshot, Round: n.round})
}

// hearLeader follows the sender and renews the promise not to elect another.
func (n *Node) hearLeader(now time.Duration, m *peer.Message) {
	n.follow(m.Term, m.From)
	n.heard = now
	n.lastLeader = now
	n.promise = max(n.promise, now+n.config.Timing.Promise)
}

func (n *Node) receiveAppend(now time.Duration, m *peer.Message) {
	n.hearLeader(now, m)
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
	n.takeEntries(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	answer.Granted = true
	answer.Match = last
	n.send(answer)
}

// takeEntries appends the entries the log lacks and replaces those that differ.
func (n *Node) takeEntries(entries []*peer.Entry) {
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
			n.stored = min(n.stored, e.Index-1)
		}
		n.log.append(e)
		n.effects.Entries = append(n.effects.Entries, e)
	}
}

func (n *Node) receiveSnapshot(now time.Duration, m *peer.Message) {
	n.hearLeader(now, m)
	if m.Snapshot.GetIndex() > n.commit {
		n.takeSnapshot(m.Snapshot)
	}
	n.send(&peer.Message{
		Kind: peer.Message_APPEND_ANSWER, To: m.From, Round: m.Round,
		Granted: true, Match: m.Snapshot.GetIndex(),
	})
}

// takeSnapshot installs a snapshot unless the log already holds what it covers:
// then entries behind it may have been acknowledged and must stay.
func (n *Node) takeSnapshot(s *peer.Snapshot) {
	n.commit = s.Index
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		return
	}
	n.log.install(s)
	n.stored = s.Index
	n.effects.Snapshot = s
	n.effects.Entries = nil
}

func (n *Node) receiveAppendAnswer(now time.Duration, m *peer.Message) {
	if n.role != Leader || !slices.Contains(n.others(), m.From) {
		return
	}
	p := n.progressOf(m.From, now)
	p.heard = now
	p.round = max(p.round, m.Round)
	if m.Granted {
		p.match = max(p.match, m.Match)
		p.next = max(p.next, p.match+1)
	} else {
		p.next = max(p.match, min(m.Match, n.log.lastIndex())) + 1
	}
	n.advanceLease(now)
	n.advanceCommit(now)
	if p.next <= n.log.lastIndex() {
		n.replicate(m.From, p)
	}
}

// advanceLease extends the lease to the newest round that a quorum answered.
func (n *Node) advanceLease(now time.Duration) {
	round := n.quorumValue(func(id uint64) uint64 {
		if id == n.config.ID {
			return n.round
		}
		if p := n.peers[id]; p != nil {
			return p.round
		}
		return 0
	})
	for _, r := range n.rounds {
		if r.round != round {
			continue
		}
		start := r.sent
		if n.config.Guards.LeaseFromReceipt {
			start = now
		}
		n.lease = max(n.lease, start+n.config.Timing.Lease)
		n.hasLease = true
	}
}

// advanceCommit commits what a quorum has stored, if it is of this term.
func (n *Node) advanceCommit(now time.Duration) {
	index := n.quorumValue(func(id uint64) uint64 {
		if id == n.config.ID {
			return n.stored
		}
		if p := n.peers[id]; p != nil {
			return p.match
		}
		return 0
	})
	term, ok := n.log.term(index)
	if !ok || term != n.term || index <= n.commit {
		return
	}
	n.commit = index
	if !n.isVoter(n.config.ID) {
		n.follow(n.term, 0)
	}
}

// quorumValue returns the highest value that more than half of the voters have
// reached.
func (n *Node) quorumValue(of func(uint64) uint64) uint64 {
	voters := n.log.voters().Ids
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, of(id))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
