package quorum

import (
	"time"

	"auburnscale/peer"
)

// A restartTracker records which voters have restarted, to end the hold-off after
// a start early. A restarted voter does not know whether it had acknowledged the
// leader of its term, so it withholds its vote for MinElectionTimeout, the longest
// time that such a commitment can last. Once every voter has restarted with that
// term or a later one, the leader of the term has lost its lease with its process,
// and no vote needs to be withheld.
type restartTracker struct {
	// startTerm is the voter's own term when it started.
	startTerm uint64
	// peerStartTerms are the terms that other voters had when they started, as
	// far as they have reported them.
	peerStartTerms map[uint64]uint64
	// logCoversTerm is false if the log holds no entry of startTerm. The leader
	// of that term may then be a voter that this log does not list.
	logCoversTerm bool
	holdOffEnded  bool
	// lastAnnounced is when the other voters were last notified of the restart.
	lastAnnounced time.Duration
}

func newRestartTracker(term, lastTerm uint64) restartTracker {
	return restartTracker{startTerm: term, peerStartTerms: map[uint64]uint64{}, logCoversTerm: term > 0 && term == lastTerm}
}

// announceRestart notifies the other voters of the restart at each heartbeat
// interval, until this voter's MinElectionTimeout since the start is over.
func (n *Node) announceRestart(now time.Duration) {
	if now-n.startedAt >= n.config.Timing.MinElectionTimeout || n.term == 0 || now-n.restarts.lastAnnounced < n.config.Timing.Heartbeat && n.restarts.lastAnnounced > 0 {
		return
	}
	n.restarts.lastAnnounced = now
	for _, id := range n.log.voters().Ids {
		if id != n.config.ID {
			n.sendResumed(id)
		}
	}
}

func (n *Node) sendResumed(to uint64) {
	n.send(&peer.Message{Kind: peer.Message_RESUMED, To: to, Resumed: n.restarts.startTerm})
}

// receiveResumed records the restart of another voter, which may end the
// hold-off. The voters then campaign one after the other, so that the first one
// wins.
func (n *Node) receiveResumed(now time.Duration, m *peer.Message) {
	previous, reported := n.restarts.peerStartTerms[m.From]
	n.restarts.peerStartTerms[m.From] = max(previous, m.Resumed)
	if now-n.startedAt >= n.config.Timing.MinElectionTimeout {
		return
	}
	if !reported {
		// The sender may have started too late to receive this voter's
		// announcement.
		n.sendResumed(m.From)
	}
	if n.restarts.holdOffEnded || !n.allRestarted() {
		return
	}
	n.restarts.holdOffEnded = true
	if n.leader == 0 {
		n.electionTimerStart, n.electionTimeout = now, n.firstElectionTimeout()-n.config.Timing.MinElectionTimeout
	}
}

// HoldOffEndedEarly reports whether the hold-off after the start ended early.
func (n *Node) HoldOffEndedEarly() bool { return n.restarts.holdOffEnded }

// allRestarted reports whether every voter has restarted since this voter may
// last have acknowledged a leader. It counts every voter since the beginning of
// startTerm: a leader that is removed from the voter set leads until its removal
// is committed.
func (n *Node) allRestarted() bool {
	count := 0
	voters := n.log.votersSinceTerm(n.restarts.startTerm)
	for _, id := range voters {
		if term, reported := n.restarts.peerStartTerms[id]; id == n.config.ID || reported && term >= n.restarts.startTerm {
			count++
		}
	}
	if n.config.SafetyOverrides.QuorumEndsHoldOff {
		return count > len(voters)/2
	}
	return n.restarts.logCoversTerm && count == len(voters)
}
