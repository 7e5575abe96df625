package watch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
)

func held(block uint64, target string) *peer.HeldBlock {
	return &peer.HeldBlock{Block: block, Target: target, BornMs: 1}
}

func numbers(blocks []*peer.HeldBlock) []uint64 {
	var list []uint64
	for _, b := range blocks {
		list = append(list, b.Block)
	}
	return list
}

// TestHeldBlocksAreListedOnce checks that a block is passed on once, not to the instance
// that reported it, and again for a later start of the target.
func TestHeldBlocksAreListedOnce(t *testing.T) {
	h := newHeldBlocks()
	h.add([]*peer.HeldBlock{held(1, "t"), held(2, "t"), held(1, "t")}, "e1", true)
	h.add([]*peer.HeldBlock{held(1, "t"), held(1, "u"), {Block: 1, Target: "t", BornMs: 2}}, "e2", true)
	h.add([]*peer.HeldBlock{held(3, "t")}, "other control instance", false)
	blocks, next := h.since(0, "e1", false)
	require.Equal(t, []uint64{1, 1, 3}, numbers(blocks))
	require.EqualValues(t, 5, next)
	blocks, _ = h.since(0, "", true)
	require.Equal(t, []uint64{1, 2, 1, 1}, numbers(blocks), "what came from a control instance does not go to another")
	blocks, next = h.since(next, "e1", false)
	require.Empty(t, blocks)
	require.EqualValues(t, 5, next)
}

// TestHeldBlocksAreBounded checks that the list and one exchange are bounded, and that a
// requester that fell behind goes on with the oldest block that is left.
func TestHeldBlocksAreBounded(t *testing.T) {
	h := newHeldBlocks()
	for n := range uint64(3 * maxHeldBlocks) {
		h.add([]*peer.HeldBlock{held(n, "t")}, "e1", true)
	}
	require.LessOrEqual(t, len(h.list), maxHeldBlocks)
	require.Len(t, h.known, len(h.list))
	total, position := 0, uint64(7)
	for {
		blocks, next := h.since(position, "e2", false)
		if len(blocks) == 0 {
			break
		}
		require.LessOrEqual(t, len(blocks), maxHeldPerExchange)
		total, position = total+len(blocks), next
	}
	require.Equal(t, len(h.list), total)
}

// TestMeshSharesHeldBlocks checks that what an entry instance of one failure domain saw
// reaches those of the others, once, and again all of it after a control instance restarted.
func TestMeshSharesHeldBlocks(t *testing.T) {
	dialer := sharingDialer{}
	var meshes []*LoadMesh
	for _, address := range dialer.addresses() {
		dialer[address] = &sharingControl{aggregator: NewLoadAggregator("first "+address, permit.NewBook(clock.Now), origin.NewIndex(clock.Now))}
		meshes = append(meshes, NewLoadMesh(address, dialer[address].aggregator, dialer.addresses, func() int { return 300 }, dialer))
	}
	exchange := func() {
		for _, m := range meshes {
			m.exchange()
		}
	}
	ask := func(address string) []uint64 {
		return numbers(dialer[address].aggregator.Exchange(&peer.ShareRequest{Incarnation: "reader"}).Held)
	}
	dialer["a"].aggregator.Exchange(&peer.ShareRequest{Incarnation: "e1", Held: []*peer.HeldBlock{held(1, "t")}})
	dialer["c"].aggregator.Exchange(&peer.ShareRequest{Incarnation: "e2", Held: []*peer.HeldBlock{held(2, "u")}})
	exchange()
	for _, address := range dialer.addresses() {
		require.ElementsMatch(t, []uint64{1, 2}, ask(address), address)
	}
	exchange()
	require.ElementsMatch(t, []uint64{1, 2}, ask("b"))
	dialer["c"] = &sharingControl{aggregator: NewLoadAggregator("second c", permit.NewBook(clock.Now), origin.NewIndex(clock.Now))}
	exchange()
	exchange()
	require.Equal(t, []uint64{1}, ask("c"), "what others reported comes again; its own reports are gone")
}

// blockSource is a load source with one block to report.
type blockSource struct {
	fleetLoad
	unreported []*peer.HeldBlock
	received   []uint64
}

func (s *blockSource) TakeHeldBlocks() []*peer.HeldBlock {
	list := s.unreported
	s.unreported = nil
	return list
}

func (s *blockSource) AddHeldBlocks(blocks []*peer.HeldBlock) {
	s.received = append(s.received, numbers(blocks)...)
}

// TestUnsentBlocksAreKept checks that blocks that could not be reported go with the next
// exchange, and that received ones come once.
func TestUnsentBlocksAreKept(t *testing.T) {
	dialer := sharingDialer{"a": {aggregator: NewLoadAggregator("c", permit.NewBook(clock.Now), origin.NewIndex(clock.Now))}}
	controls := domainControls{}
	source := &blockSource{unreported: []*peer.HeldBlock{held(1, "t")}}
	e := NewLoadExchanger("e1", "d", controls, dialer, source)
	e.exchange()
	require.Empty(t, dialer["a"].aggregator.held.list, "no control instance is known yet")
	controls["a"] = "d"
	dialer["a"].aggregator.Exchange(&peer.ShareRequest{Incarnation: "e2", Held: []*peer.HeldBlock{held(2, "t")}})
	e.exchange()
	e.exchange()
	require.Len(t, dialer["a"].aggregator.held.list, 2)
	require.Equal(t, []uint64{2}, source.received)
}
