package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
	"auburnscale/peer"
)

// TestSuspected checks whose judgement on a block counts: that of the control instances in
// contact, once they can have one, or else that of the instance's own evidence.
func TestSuspected(t *testing.T) {
	const block, other = 7, 8
	now := time.Hour
	newBlocks := func() *Blocks {
		return NewBlocks(func() time.Duration { return now }, func() float64 { return 0 }, event.Nop())
	}
	list := func(b *Blocks, list ...*peer.SuspectBlock) { b.Received("control", list) }

	t.Run("recent crash", func(t *testing.T) {
		b := newBlocks()
		list(b)
		require.False(t, b.Suspected(block))
		b.Crashed("e0", "1", []uint64{block})
		b.Crashed("e1", "1", []uint64{other})
		require.True(t, b.Suspected(block))
		now += judgementTime
		require.False(t, b.Suspected(block), "the control instance had time to list it")
	})
	t.Run("target alive", func(t *testing.T) {
		b := newBlocks()
		list(b)
		b.Crashed("e0", "1", []uint64{block})
		now += time.Millisecond
		b.Alive("e0", "1", now)
		require.False(t, b.Suspected(block))
	})
	t.Run("listed", func(t *testing.T) {
		b := newBlocks()
		list(b, &peer.SuspectBlock{Block: block, Crashes: 2})
		require.True(t, b.Suspected(block))
		require.False(t, b.Suspected(other))
		list(b, &peer.SuspectBlock{Block: block, Crashes: 2, Proven: true})
		require.False(t, b.Suspected(block))
		list(b, &peer.SuspectBlock{Block: block, Crashes: 5, Quarantined: true, Proven: true})
		require.True(t, b.Suspected(block))
		list(b, &peer.SuspectBlock{Block: block, Crashes: 3, Released: true})
		require.False(t, b.Suspected(block))
	})
	t.Run("one of several control instances lists it", func(t *testing.T) {
		b := newBlocks()
		b.Received("isolated", nil)
		list(b, &peer.SuspectBlock{Block: block, Crashes: 2})
		require.True(t, b.Suspected(block))
	})
	t.Run("served here", func(t *testing.T) {
		b := newBlocks()
		list(b, &peer.SuspectBlock{Block: block, Crashes: 2})
		b.Served([]uint64{block})
		require.False(t, b.Suspected(block))
	})
	t.Run("no control instance in contact", func(t *testing.T) {
		b := newBlocks()
		list(b)
		now += aloneAfter
		b.Crashed("e0", "1", []uint64{block})
		now += judgementTime
		require.False(t, b.Suspected(block), "one crash")
		b.Crashed("e1", "1", []uint64{block})
		now += judgementTime
		require.True(t, b.Suspected(block))
		list(b)
		require.False(t, b.Suspected(block), "the control instance knows that the targets are alive")
	})
}
