package watch

import "auburnscale/peer"

const (
	// maxHeldBlocks bounds the blocks that a control instance keeps.
	maxHeldBlocks = 16_384
	// maxHeldPerExchange bounds the blocks in one exchange, about 30 bytes each.
	maxHeldPerExchange = 1024
)

// heldBlocks is the list of prompt blocks that targets are known to hold, in the order in
// which they were reported. Each is listed once.
type heldBlocks struct {
	list []reportedBlock
	// first is the position of list[0], counted from the start of this instance.
	first uint64
	known map[heldKey]bool
}

// A reportedBlock is a block with the incarnation that reported it. local is true if that
// is an entry instance.
type reportedBlock struct {
	block    *peer.HeldBlock
	reporter string
	local    bool
}

type heldKey struct {
	block  uint64
	target string
	bornMs int64
}

func newHeldBlocks() heldBlocks { return heldBlocks{known: map[heldKey]bool{}} }

// add appends the blocks that are not listed yet. If the list is full, its older half is
// dropped.
func (h *heldBlocks) add(blocks []*peer.HeldBlock, reporter string, local bool) {
	for _, b := range blocks {
		key := heldKey{b.Block, b.Target, b.BornMs}
		if h.known[key] {
			continue
		}
		if len(h.list) >= maxHeldBlocks {
			h.dropHalf()
		}
		h.known[key] = true
		h.list = append(h.list, reportedBlock{b, reporter, local})
	}
}

func (h *heldBlocks) dropHalf() {
	half := len(h.list) / 2
	for _, r := range h.list[:half] {
		delete(h.known, heldKey{r.block.Block, r.block.Target, r.block.BornMs})
	}
	h.list = append([]reportedBlock(nil), h.list[half:]...)
	h.first += uint64(half)
}

// since returns the blocks from the position on that others than the reporter reported, and
// the position after them. With localOnly it leaves out those that came from control
// instances.
func (h *heldBlocks) since(position uint64, reporter string, localOnly bool) ([]*peer.HeldBlock, uint64) {
	var blocks []*peer.HeldBlock
	at := max(position, h.first)
	for ; at < h.first+uint64(len(h.list)) && len(blocks) < maxHeldPerExchange; at++ {
		if r := h.list[at-h.first]; r.reporter != reporter && (r.local || !localOnly) {
			blocks = append(blocks, r.block)
		}
	}
	return blocks, at
}
