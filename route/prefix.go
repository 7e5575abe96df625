package route

import (
	"slices"
	"sync"
)

const (
	// holdersPerBlock is the maximum number of targets stored for a block.
	holdersPerBlock = 4
	// totalBlocks is the maximum number of blocks that an instance indexes over all
	// services and generations. A block takes about 60 bytes.
	totalBlocks = 1_600_000
	generations = 2
)

// GenerationBlocks returns the maximum number of blocks in one generation of one
// service's index on an instance with that number of services.
func GenerationBlocks(services int) int { return totalBlocks / generations / max(1, services) }

// A PrefixIndex maps prefix blocks to the targets expected to hold them in their KV
// cache. It is updated from cache events, which arrive late and with gaps, and from
// this instance's own dispatches, so it is approximate. Two generations bound its
// size: when the young one is full it becomes the old one, and the previous old one
// is dropped. It is safe for concurrent use.
type PrefixIndex struct {
	limit int
	mutex sync.RWMutex
	young map[uint64][]*Target
	old   map[uint64][]*Target
}

// NewPrefixIndex returns an empty index of at most limit blocks per generation.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{limit: limit, young: map[uint64][]*Target{}, old: map[uint64][]*Target{}}
}

// Add records that the target holds the blocks. It returns those that it was not expected
// to hold.
func (x *PrefixIndex) Add(t *Target, blocks []uint64) (added []uint64) {
	if len(blocks) == 0 {
		return nil
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, block := range blocks {
		if x.addLocked(t, block) {
			added = append(added, block)
		}
	}
	return added
}

// addLocked reports whether the target was not expected to hold the block.
func (x *PrefixIndex) addLocked(t *Target, block uint64) bool {
	list := x.lookup(block)
	known := slices.Contains(list, t)
	if known {
		if _, young := x.young[block]; young {
			return false
		}
	} else {
		// The list is replaced, not modified, because callers use it without the lock.
		list = append(slices.Clone(list[max(0, len(list)-holdersPerBlock+1):]), t)
	}
	if len(x.young) >= x.limit {
		x.old = x.young
		x.young = make(map[uint64][]*Target, x.limit/4)
	}
	x.young[block] = list
	return !known
}

func (x *PrefixIndex) lookup(block uint64) []*Target {
	if list, ok := x.young[block]; ok {
		return list
	}
	return x.old[block]
}

// holders returns the targets expected to hold all the blocks. The caller must not
// modify the slice.
func (x *PrefixIndex) holders(blocks []uint64) []*Target {
	if len(blocks) == 0 {
		return nil
	}
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return x.lookup(blocks[len(blocks)-1])
}

// Remove records that the target evicted the blocks.
func (x *PrefixIndex) Remove(t *Target, blocks []uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, block := range blocks {
		list := x.lookup(block)
		if !slices.Contains(list, t) {
			continue
		}
		x.young[block] = slices.DeleteFunc(slices.Clone(list), func(o *Target) bool { return o == t })
	}
}

// RemoveTarget removes the target from all blocks, after it crashed or left the
// fleet.
func (x *PrefixIndex) RemoveTarget(t *Target) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, generation := range []map[uint64][]*Target{x.young, x.old} {
		for block, list := range generation {
			if slices.Contains(list, t) {
				generation[block] = slices.DeleteFunc(slices.Clone(list), func(o *Target) bool { return o == t })
			}
		}
	}
}

// Longest finds the longest known prefix of the blocks. It returns the number of
// blocks in that prefix, copies the targets that hold it to into, and returns the
// number of targets copied.
func (x *PrefixIndex) Longest(blocks []uint64, into []*Target) (depth, n int) {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	var list []*Target
	for i, block := range blocks {
		found := x.lookup(block)
		if len(found) == 0 {
			break
		}
		list = found
		depth = i + 1
	}
	return depth, copy(into, list)
}

// Blocks returns the number of blocks in the index.
func (x *PrefixIndex) Blocks() int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return len(x.young) + len(x.old)
}
