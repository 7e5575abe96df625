package quarantine

import (
	"slices"
	"time"

	"auburnscale/peer"
)

// judgementTime is how long a crash is taken for the block's doing until the control instances,
// which know from heartbeats whether the target is alive, can have listed the block.
const judgementTime = time.Second

// Suspected reports whether crashes under the block have no other explanation yet: the last one
// that this instance saw is too recent to be judged, or the block is listed by a control instance
// or, if none is in contact, by the evidence of this instance. A block that is known to have been
// served is not suspected.
func (b *Blocks) Suspected(block uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, served := b.soundAt(block); served {
		return false
	}
	if b.crashedLately(block) {
		return true
	}
	if b.alone() {
		return slices.ContainsFunc(b.own.List(), func(s *peer.SuspectBlock) bool { return s.Block == block && suspect(s) })
	}
	for _, v := range b.views {
		if s := v.listed[block]; s != nil && suspect(s) && b.now()-v.at < aloneAfter {
			return true
		}
	}
	return false
}

// crashedLately reports whether this instance saw a crash under the block within judgementTime.
func (b *Blocks) crashedLately(block uint64) bool {
	for _, r := range slices.Backward(b.reports) {
		if b.now()-r.at >= judgementTime {
			return false
		}
		if slices.Contains(r.request.Blocks, block) {
			return true
		}
	}
	return false
}

// suspect reports whether the listed block may be the cause of the crashes.
func suspect(s *peer.SuspectBlock) bool { return s.Quarantined || !s.Released && !s.Proven }
