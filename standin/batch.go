package standin

import (
	"slices"
	"time"
)

// Timing is the cost model of an engine: a step takes Step, plus PrefillToken for
// each prompt token prefilled in it and DecodeStream for each stream decoded in it.
type Timing struct {
	Step         time.Duration
	PrefillToken time.Duration
	DecodeStream time.Duration
	// RoleChange is how long the engine is unavailable while it switches roles.
	RoleChange time.Duration
}

// DefaultTiming models a small engine: prefill at 20,000 tokens/s, and 16
// concurrent streams that decode at about 75 tokens/s each.
var DefaultTiming = Timing{
	Step: 8 * time.Millisecond, PrefillToken: 50 * time.Microsecond,
	DecodeStream: 300 * time.Microsecond, RoleChange: 4 * time.Second,
}

// Maximum number of prompt tokens prefilled in one step, by role. An engine in the
// prefill role finishes its prompts first; one in the decode role keeps its steps
// short so that decoding streams are not delayed.
const (
	mixedChunk   = 512
	prefillChunk = 4096
	decodeChunk  = 64
)

// blockTokens is the length of a prefix block in tokens.
const blockTokens = 1000

// A sequence represents one request in an engine. Lengths are in tokens. Lower
// priority numbers are admitted first.
type sequence struct {
	priority int
	arrival  uint64
	prompt   int
	blocks   []uint64
	// uncomputed is the part of the prompt still to be prefilled.
	uncomputed     int
	prefillStarted bool
	// cached is the part of the prompt that the prefix cache held when its
	// prefill started.
	cached int
	// position is the number of output tokens decoded so far, with those before
	// a resumption; limit is their maximum.
	position int
	limit    int
	tokens   chan int
	canceled chan struct{}
}

func (q *sequence) isCanceled() bool {
	select {
	case <-q.canceled:
		return true
	default:
		return false
	}
}

// batch is the continuous batch of one engine. Engine.mutex guards it.
type batch struct {
	slots    int
	kvTokens int
	cache    *prefixCache
	waiting  []*sequence
	running  []*sequence
	chunk    int
	// hold pauses streams after their first token until it is closed. A nil
	// channel pauses nothing.
	hold <-chan struct{}
}

func (b *batch) add(q *sequence) {
	b.waiting = append(b.waiting, q)
	slices.SortStableFunc(b.waiting, func(x, y *sequence) int { return x.priority - y.priority })
}

// admit moves waiting sequences into the batch while slots and KV memory are free. An
// empty batch admits a sequence of any length, which could otherwise never run.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.slots {
		q := b.waiting[0]
		if q.isCanceled() {
			b.waiting = b.waiting[1:]
			close(q.tokens)
			continue
		}
		if len(b.running) > 0 && b.usedTokens()+q.prompt+q.limit > b.kvTokens {
			return
		}
		b.waiting = b.waiting[1:]
		q.uncomputed = q.prompt
		b.running = append(b.running, q)
	}
}

func (b *batch) usedTokens() int {
	sum := 0
	for _, q := range b.running {
		sum += q.prompt + q.limit
	}
	return sum
}

// step runs one step and returns how many prompt tokens it prefilled and how many
// streams it decoded.
func (b *batch) step() (prefill, decode int) {
	for _, q := range b.running {
		if q.position >= q.limit {
			continue
		}
		if q.uncomputed == 0 && q.position > 0 && b.holdsStreams() {
			continue
		}
		if q.uncomputed == 0 {
			q.position++
			q.tokens <- q.position
			decode++
			continue
		}
		prefill += b.prefill(q, b.chunk-prefill)
	}
	b.running = slices.DeleteFunc(b.running, func(q *sequence) bool {
		if q.position < q.limit && !q.isCanceled() {
			return false
		}
		close(q.tokens)
		return true
	})
	return prefill, decode
}

func (b *batch) holdsStreams() bool {
	if b.hold == nil {
		return false
	}
	select {
	case <-b.hold:
		return false
	default:
		return true
	}
}

// prefill prefills at most budget tokens of a prompt and returns how many it did.
// The prefix cache is looked up when the prompt's prefill starts, and stores each
// block as soon as it is computed.
func (b *batch) prefill(q *sequence, budget int) int {
	if budget <= 0 {
		return 0
	}
	if !q.prefillStarted {
		q.prefillStarted = true
		q.cached = min(b.cache.lookUp(q.blocks)*blockTokens, q.prompt-1)
		q.uncomputed = q.prompt - q.cached
	}
	part := min(q.uncomputed, budget)
	q.uncomputed -= part
	b.cache.store(q.blocks[:min(len(q.blocks), (q.prompt-q.uncomputed)/blockTokens)])
	return part
}

// waitingTokens returns the number of prompt tokens still to be prefilled, less
// those that are in the prefix cache now.
func (b *batch) waitingTokens() int64 {
	var sum int64
	for _, q := range b.waiting {
		sum += int64(b.uncached(q))
	}
	for _, q := range b.running {
		if q.prefillStarted {
			sum += int64(q.uncomputed)
		} else {
			sum += int64(b.uncached(q))
		}
	}
	return sum
}

func (b *batch) uncached(q *sequence) int {
	return max(1, q.prompt-b.cache.peek(q.blocks)*blockTokens)
}

// cacheChange is a change of the prefix cache, reported as a cache event.
type cacheChange struct {
	at     time.Time
	stored bool
	blocks []uint64
}

// prefixCache is an LRU cache of at most limit prefix blocks.
type prefixCache struct {
	limit int
	// useCount numbers the uses; lastUsed holds the last use of each block.
	useCount uint64
	lastUsed map[uint64]uint64
	changes  []cacheChange
	hits     int64
	lookups  int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lastUsed: map[uint64]uint64{}}
}

// lookUp returns the number of blocks in the longest cached prefix, marks them as
// used and counts hits and lookups.
func (c *prefixCache) lookUp(blocks []uint64) int {
	c.useCount++
	c.lookups += int64(len(blocks))
	for i, p := range blocks {
		if _, ok := c.lastUsed[p]; !ok {
			c.hits += int64(i)
			return i
		}
		c.lastUsed[p] = c.useCount
	}
	c.hits += int64(len(blocks))
	return len(blocks)
}

// peek returns the number of blocks in the longest cached prefix. Unlike lookUp,
// it changes neither the LRU order nor the hit counts.
func (c *prefixCache) peek(blocks []uint64) int {
	for i, p := range blocks {
		if _, ok := c.lastUsed[p]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) store(blocks []uint64) {
	c.useCount++
	var added []uint64
	for _, p := range blocks {
		if _, ok := c.lastUsed[p]; !ok {
			added = append(added, p)
		}
		c.lastUsed[p] = c.useCount
	}
	c.recordChange(true, added)
	c.recordChange(false, c.evict())
}

func (c *prefixCache) evict() []uint64 {
	var dropped []uint64
	for len(c.lastUsed) > c.limit {
		oldest, at := uint64(0), ^uint64(0)
		for p, used := range c.lastUsed {
			if used < at || used == at && p < oldest {
				oldest, at = p, used
			}
		}
		delete(c.lastUsed, oldest)
		dropped = append(dropped, oldest)
	}
	return dropped
}

func (c *prefixCache) recordChange(stored bool, blocks []uint64) {
	if len(blocks) > 0 {
		c.changes = append(c.changes, cacheChange{at: time.Now(), stored: stored, blocks: blocks})
	}
}
