package quorum

import (
	"time"

	"auburnscale/peer"
)

// A resume represents what is known of the restarts of all voters. A voter that
// starts has forgotten its promise to the leader of its term, and keeps quiet
// for as long as the promise can have lasted. Once every voter has restarted
// with that term or a later one, whoever led the term has lost the lease with
// its process, and there is nothing left to keep.
type resume struct {
	// term is the voter's own term when it started.
	term uint64
	// terms are those of other voters when they started, as far as they said.
	terms map[uint64]uint64
	// known is false if the log lacks what the leader of the term wrote: it may
	// then be a voter that this log does not name.
	known bool
	ended bool
	// told is when the others were told last.
	told time.Duration
}

func newResume(term, lastTerm uint64) resume {
	return resume{term: term, terms: map[uint64]uint64{}, known: term > 0 && term == lastTerm}
}

// tickResume tells the other voters of the restart while they may keep quiet.
func (n *Node) tickResume(now time.Duration) {
	if now-n.started >= n.config.Timing.Promise || n.term == 0 || now-n.resume.told < n.config.Timing.Heartbeat && n.resume.told > 0 {
		return
	}
	n.resume.told = now
	for _, id := range n.log.voters().Ids {
		if id != n.config.ID {
			n.tellResumed(id)
		}
	}
}

func (n *Node) tellResumed(to uint64) {
	n.send(&peer.Message{Kind: peer.Message_RESUMED, To: to, Resumed: n.resume.term})
}

// receiveResumed notes the restart of another voter. It may end the quiet time;
// then the voters campaign one after the other, so that the first one wins.
func (n *Node) receiveResumed(now time.Duration, m *peer.Message) {
	known, heard := n.resume.terms[m.From]
	n.resume.terms[m.From] = max(known, m.Resumed)
	if now-n.started >= n.config.Timing.Promise {
		return
	}
	if !heard {
		// It may have started too late to hear of this voter's own start.
		n.tellResumed(m.From)
	}
	if n.resume.ended || !n.allResumed() {
		return
	}
	n.resume.ended = true
	if n.leader == 0 {
		n.heard, n.timeout = now, n.rankTimeout()-n.config.Timing.Promise
	}
}

// QuietEnded reports whether the quiet time after the start ended early.
func (n *Node) HoldOffEndedEarly() bool { return n.resume.ended }

// allResumed reports whether every voter has restarted since the promise that
// this voter may have given. A leader that leaves the voters leads until its
// leaving is committed, so that those count that were voters in that term.
func (n *Node) allResumed() bool {
	count := 0
	voters := n.log.votersSince(n.resume.term)
	for _, id := range voters {
		if term, heard := n.resume.terms[id]; id == n.config.ID || heard && term >= n.resume.term {
			count++
		}
	}
	if n.config.Guards.QuorumEndsQuiet {
		return count > len(voters)/2
	}
	return n.resume.known && count == len(voters)
}
