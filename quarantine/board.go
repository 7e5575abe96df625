package quarantine

import (
	"sync"

	"auburnscale/peer"
)

// A Board is a control instance's side: it takes the reports of all instances and tells those
// that wait when there is something new to know. It is safe for concurrent use.
type Board struct {
	incarnation string
	evidence    *Evidence

	mutex sync.Mutex
	// decided is closed, and replaced, when a block is quarantined or released; listed when
	// the list of suspect blocks changes.
	decided, listed chan struct{}
}

// NewBoard returns the board of the incarnation of a control instance.
func NewBoard(incarnation string, evidence *Evidence) *Board {
	return &Board{incarnation: incarnation, evidence: evidence, decided: make(chan struct{}), listed: make(chan struct{})}
}

// Report adds what an instance reports to the evidence and returns the suspect blocks.
func (b *Board) Report(report *peer.SuspectReport) *peer.SuspectList {
	listed, decided := b.evidence.Record(report)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if decided {
		close(b.decided)
		b.decided = make(chan struct{})
	}
	if listed {
		close(b.listed)
		b.listed = make(chan struct{})
	}
	return b.List()
}

// List returns the suspect blocks.
func (b *Board) List() *peer.SuspectList {
	return &peer.SuspectList{Server: b.incarnation, Blocks: b.evidence.List()}
}

// Proven reports whether an instance reported that it served a request with the block.
func (b *Board) Proven(block uint64) bool { return b.evidence.Proven(block) }

// Quarantined returns the number of quarantined blocks.
func (b *Board) Quarantined() int { return b.evidence.Quarantined() }

// Changes returns a channel that is closed at the next decision on a block, which instances
// should know at once, and one that is closed at the next change of the list.
func (b *Board) Changes() (decided, listed <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.decided, b.listed
}
