package standin

import (
	"slices"
	"time"
)

// Timing is the time model of an engine: a step takes Step, plus PrefillToken
// for each prompt token in it and DecodeStream for each stream that decodes.
type Timing struct {
	Step         time.Duration
	PrefillToken time.Duration
	DecodeStream time.Duration
	// RoleChange is how long the engine is away when its role changes.
	RoleChange time.Duration
}

// DefaultTiming is a small engine: 20,000 prompt tokens a second, 16 streams at
// about 75 tokens a second each.
var DefaultTiming = Timing{
	Step: 8 * time.Millisecond, PrefillToken: 50 * time.Microsecond,
	DecodeStream: 300 * time.Microsecond, RoleChange: 4 * time.Second,
}

// Prompt tokens that a step takes at most, by role. An engine in the prefill
// role empties its prompts first; one in the decode role keeps its steps short.
const (
	mixedChunk   = 512
	prefillChunk = 4096
	decodeChunk  = 64
)

// pieceTokens is the length of a prefix cache piece in tokens.
const pieceTokens = 1000

// A sequence represents one request in an engine.
type sequence struct {
	priority int
	arrival  uint64
	prompt   int
	pieces   []uint64
	left     int
	begun    bool
	cached   int
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

// batch is the continuous batch of one engine. Its owner is the engine's loop.
type batch struct {
	slots    int
	kvTokens int
	cache    *prefixCache
	waiting  []*sequence
	running  []*sequence
	chunk    int
	// hold keeps streams behind their first token until it is closed.
	hold <-chan struct{}
}

func (b *batch) add(q *sequence) {
	b.waiting = append(b.waiting, q)
	slices.SortStableFunc(b.waiting, func(x, y *sequence) int { return x.priority - y.priority })
}

// admit moves waiting sequences into the batch while there are slots and memory.
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
		q.left = q.prompt
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

// step runs one step and returns the prompt tokens and streams in it.
func (b *batch) step() (prefill, decode int) {
	for _, q := range b.running {
		if q.position >= q.limit {
			continue
		}
		if q.left == 0 && q.position > 0 && b.holds() {
			continue
		}
		if q.left == 0 {
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

func (b *batch) holds() bool {
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

// prefill works on a prompt for at most budget tokens and returns how many it
// took. The prefix cache is looked at when the prompt's turn comes, and holds
// each piece as soon as it is computed.
func (b *batch) prefill(q *sequence, budget int) int {
	if budget <= 0 {
		return 0
	}
	if !q.begun {
		q.begun = true
		q.cached = min(b.cache.longest(q.pieces)*pieceTokens, q.prompt-1)
		q.left = q.prompt - q.cached
	}
	part := min(q.left, budget)
	q.left -= part
	b.cache.store(q.pieces[:min(len(q.pieces), (q.prompt-q.left)/pieceTokens)])
	return part
}

// waitingTokens sums the prompt tokens that are still to be computed, without
// what the cache holds of them now.
func (b *batch) waitingTokens() int64 {
	var sum int64
	for _, q := range b.waiting {
		sum += int64(b.uncached(q))
	}
	for _, q := range b.running {
		if q.begun {
			sum += int64(q.left)
		} else {
			sum += int64(b.uncached(q))
		}
	}
	return sum
}

func (b *batch) uncached(q *sequence) int {
	return max(1, q.prompt-b.cache.peek(q.pieces)*pieceTokens)
}

// cacheChange is what a cache event reports.
type cacheChange struct {
	at     time.Time
	stored bool
	pieces []uint64
}

// prefixCache holds prompt pieces and forgets the least recently used.
type prefixCache struct {
	limit   int
	clock   uint64
	used    map[uint64]uint64
	changes []cacheChange
	hits    int64
	asked   int64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, used: map[uint64]uint64{}}
}

func (c *prefixCache) longest(pieces []uint64) int {
	c.clock++
	c.asked += int64(len(pieces))
	for i, p := range pieces {
		if _, ok := c.used[p]; !ok {
			c.hits += int64(i)
			return i
		}
		c.used[p] = c.clock
	}
	c.hits += int64(len(pieces))
	return len(pieces)
}

// peek returns the length of the longest cached prefix without using it.
func (c *prefixCache) peek(pieces []uint64) int {
	for i, p := range pieces {
		if _, ok := c.used[p]; !ok {
			return i
		}
	}
	return len(pieces)
}

func (c *prefixCache) store(pieces []uint64) {
	c.clock++
	var added []uint64
	for _, p := range pieces {
		if _, ok := c.used[p]; !ok {
			added = append(added, p)
		}
		c.used[p] = c.clock
	}
	c.note(true, added)
	c.note(false, c.evict())
}

func (c *prefixCache) evict() []uint64 {
	var dropped []uint64
	for len(c.used) > c.limit {
		oldest, at := uint64(0), ^uint64(0)
		for p, used := range c.used {
			if used < at || used == at && p < oldest {
				oldest, at = p, used
			}
		}
		delete(c.used, oldest)
		dropped = append(dropped, oldest)
	}
	return dropped
}

func (c *prefixCache) note(stored bool, pieces []uint64) {
	if len(pieces) > 0 {
		c.changes = append(c.changes, cacheChange{at: time.Now(), stored: stored, pieces: pieces})
	}
}
