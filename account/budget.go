package account

import "sync/atomic"

// A Budget bounds the bytes that responses of other processes hold in memory at once, so that those which send bytes
// without end cannot exhaust the instance's memory. A part is left for small responses, which ordinary ones are. It is safe
// for concurrent use.
type Budget struct {
	max  int64
	used atomic.Int64
}

// smallFraction is the part of a Budget that only responses of at most smallBytes may take.
const smallFraction = 8

// NewBudget returns a budget of max bytes.
func NewBudget(max int64) *Budget { return &Budget{max: max} }

// Reserve reserves n more bytes for a response that has reserved held bytes, and reports whether they fit.
func (b *Budget) Reserve(held, n int64) bool {
	limit := b.max
	if held+n > smallBytes {
		limit -= b.max / smallFraction
	}
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }
