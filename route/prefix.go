package route

import (
	"slices"
	"sync"
)

const (
	// holdersPerPiece bounds the targets remembered for a piece.
	holdersPerBlock = 4
	// totalPieces bounds the pieces that an instance remembers over all
	// services and generations; a piece takes about 60 bytes.
	totalBlocks = 1_600_000
	generations = 2
)

// GenerationPieces returns the bound of one generation of one service's index
// on an instance with so many services.
func GenerationBlocks(services int) int { return totalBlocks / generations / max(1, services) }

// A PrefixIndex represents which targets are thought to hold which prompt
// prefixes. It learns from cache events, which come late and with gaps, and from
// this instance's own dispatches. Two generations bound it: when the young one
// is full it becomes the old one, and the old one is forgotten. It is safe for
// concurrent use.
type PrefixIndex struct {
	limit int
	mutex sync.RWMutex
	young map[uint64][]*Target
	old   map[uint64][]*Target
}

// NewPrefixIndex returns an empty index of at most limit pieces a generation.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{limit: limit, young: map[uint64][]*Target{}, old: map[uint64][]*Target{}}
}

// Add records that the target holds the pieces.
func (x *PrefixIndex) Add(t *Target, pieces []uint64) {
	if len(pieces) == 0 {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, p := range pieces {
		x.addLocked(t, p)
	}
}

func (x *PrefixIndex) addLocked(t *Target, piece uint64) {
	list := x.lookup(piece)
	if slices.Contains(list, t) {
		if _, young := x.young[piece]; young {
			return
		}
	} else {
		// A list is replaced, not changed, because readers hold it unlocked.
		list = append(slices.Clone(list[max(0, len(list)-holdersPerBlock+1):]), t)
	}
	if len(x.young) >= x.limit {
		x.old = x.young
		x.young = make(map[uint64][]*Target, x.limit/4)
	}
	x.young[piece] = list
}

func (x *PrefixIndex) lookup(piece uint64) []*Target {
	if list, ok := x.young[piece]; ok {
		return list
	}
	return x.old[piece]
}

// holders returns the targets thought to hold all the pieces. The caller must not
// change the slice.
func (x *PrefixIndex) holders(pieces []uint64) []*Target {
	if len(pieces) == 0 {
		return nil
	}
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return x.lookup(pieces[len(pieces)-1])
}

// Remove records that the target dropped the pieces.
func (x *PrefixIndex) Remove(t *Target, pieces []uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, p := range pieces {
		list := x.lookup(p)
		if !slices.Contains(list, t) {
			continue
		}
		x.young[p] = slices.DeleteFunc(slices.Clone(list), func(o *Target) bool { return o == t })
	}
}

// Forget removes the target everywhere, after it crashed or left.
func (x *PrefixIndex) RemoveTarget(t *Target) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, generation := range []map[uint64][]*Target{x.young, x.old} {
		for p, list := range generation {
			if slices.Contains(list, t) {
				generation[p] = slices.DeleteFunc(slices.Clone(list), func(o *Target) bool { return o == t })
			}
		}
	}
}

// Longest returns how many leading pieces some target holds and fills the
// targets that hold that many.
func (x *PrefixIndex) Longest(pieces []uint64, into []*Target) (depth, n int) {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	var list []*Target
	for i, p := range pieces {
		found := x.lookup(p)
		if len(found) == 0 {
			break
		}
		list = found
		depth = i + 1
	}
	return depth, copy(into, list)
}

// Pieces returns the number of pieces in the index.
func (x *PrefixIndex) Blocks() int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	return len(x.young) + len(x.old)
}
