// Package account decides how much memory an instance holds for its clients.
//
// It owns the sum of what is held, in bytes, and the rules on who gets more of it: a part is reserved for small
// requests, and holders that make no progress give way to those that do. Everything is reserved before it is
// read. The package has no clock and no network of its own.
//
// # Usage
//
//	a := account.New(account.ForMemory(256, stall), clock.Now, observer)
//	h := a.Open(account.Body, interrupt)
//	defer h.Close()
//	body, err := account.Read(r, length, limit, h)
package account

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"
)

// A Kind says what memory is held for.
type Kind int

// The kinds of memory.
const (
	// Connection is what an open connection costs: buffers, stacks, and the head of its request.
	Connection Kind = iota
	// Body is the body of a request.
	Body
	// Response is a response that is read in full before it is forwarded.
	Response
	// Stream is the event of a stream that has not arrived in full.
	Stream
	kinds
)

// String returns the kind's name in metrics and log lines.
func (k Kind) String() string { return [kinds]string{"connection", "body", "response", "stream"}[k] }

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Body, Response, Stream} }

// Errors of a reservation.
var (
	// ErrFull means that the memory is held by others that make progress.
	ErrFull = errors.New("the memory for clients is in use")
	// ErrEvicted means that the holder made no progress and has lost its reservation.
	ErrEvicted = errors.New("the client made no progress")
)

// Config holds the limits of an account.
type Config struct {
	// Budget is how much may be held, in bytes. Reserve is the part of it that only holders of at most Small
	// bytes may take.
	Budget, Reserve, Small int64
	// Stall is how long a holder may go without a byte.
	Stall time.Duration
	// Pressure is how long a holder may go without progress of ProgressBytes while another one
	// lacks memory.
	Pressure      time.Duration
	ProgressBytes int64
}

const (
	megabyte = 1 << 20
	// heapFraction is the part of a process's memory that the Go runtime is told to stay within.
	heapFraction = 0.6
	// restBytes is what the heap of an instance holds without clients in a deployment of 300 instances. It
	// is not derived from the number of instances, which changes while an account is in use.
	restBytes = 24 * megabyte
	// budgetFraction leaves a third of the rest for garbage: outgrown buffers and decoded heads.
	budgetFraction = 2.0 / 3
	// minBudget is the budget on a machine that is too small for the formula.
	minBudget = 8 * megabyte
	// reserveFraction of the budget is for small requests.
	reserveFraction = 0.25
	// smallBytes is above the body of an ordinary request and the largest head.
	smallBytes = 96 << 10
	// pressure is above the pauses of a sound client on a busy network, and below what callers that are
	// refused for lack of memory wait before they ask again.
	pressure = time.Second
	// progressBytes keeps a client that sends a byte now and then from counting as one that makes
	// progress while others lack memory.
	progressBytes = 4 << 10
)

// ForMemory returns the configuration for a process with the memory limit in megabytes.
func ForMemory(megabytes int, stall time.Duration) Config {
	budget := max(minBudget, int64(budgetFraction*(heapFraction*float64(megabytes)*megabyte-restBytes)))
	return Config{Budget: budget, Reserve: int64(reserveFraction * float64(budget)), Small: smallBytes, Stall: stall, Pressure: pressure, ProgressBytes: progressBytes}
}

// An Observer is told of the decisions of an account.
type Observer interface {
	// Evicted is called for each holder that has lost its reservation, and how long it made no progress.
	Evicted(kind Kind, bytes int64, idle time.Duration)
	// Refused is called for each reservation that did not fit.
	Refused(kind Kind, bytes int64)
}

// An Account is the memory that one instance holds for its clients. It is safe for concurrent use. A nil
// Account has no limits.
type Account struct {
	config   Config
	now      func() time.Duration
	observer Observer

	mutex sync.Mutex
	used  [kinds]int64
	holds map[*Hold]struct{}
}

// New returns an account without holders. The observer may be nil.
func New(config Config, now func() time.Duration, observer Observer) *Account {
	return &Account{config: config, now: now, observer: observer, holds: map[*Hold]struct{}{}}
}

// A Hold is what one holder has reserved. It must be closed. A nil Hold has no limits.
type Hold struct {
	account *Account
	kind    Kind
	// evict is called at most once, when the hold has lost its reservation.
	evict func()
	bytes int64
	// byteAt is when the last byte came, progressAt when the last ProgressBytes had come, and since counts
	// the bytes after those.
	byteAt, progressAt time.Duration
	since              int64
	// pinned is true while the holder does not wait for its client.
	pinned bool
	// evicted is true once the reservation is lost or the hold closed.
	evicted bool
}

// Open returns a hold without a reservation. evict is called, at most once and from any goroutine, if the
// holder loses its reservation; it must make the holder close the hold soon.
func (a *Account) Open(kind Kind, evict func()) *Hold {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	h := &Hold{account: a, kind: kind, evict: evict, byteAt: now, progressAt: now}
	a.holds[h] = struct{}{}
	return h
}

// Used returns how many bytes are reserved for the kind.
func (a *Account) Used(kind Kind) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.used[kind]
}

// Sweep evicts the holders that have gone without a byte for too long, whether or not memory is short. Idle
// connections have a time limit of their own.
func (a *Account) Sweep() {
	a.mutex.Lock()
	now := a.now()
	var victims []*Hold
	for h := range a.holds {
		if h.kind != Connection && !h.pinned && !h.evicted && now-h.byteAt >= a.config.Stall {
			victims = append(victims, h)
		}
	}
	notices := a.evictAll(victims, now)
	a.mutex.Unlock()
	a.notify(notices)
}

// A notice is an eviction of which others are told once the account is unlocked.
type notice struct {
	hold  *Hold
	bytes int64
	idle  time.Duration
}

// evictAll takes the reservations of the holds. a.mutex must be held.
func (a *Account) evictAll(victims []*Hold, now time.Duration) []notice {
	notices := make([]notice, 0, len(victims))
	for _, h := range victims {
		notices = append(notices, notice{h, h.bytes, now - h.progressAt})
		a.used[h.kind] -= h.bytes
		h.bytes, h.evicted = 0, true
		delete(a.holds, h)
	}
	return notices
}

func (a *Account) notify(notices []notice) {
	for _, n := range notices {
		n.hold.evict()
		if a.observer != nil {
			a.observer.Evicted(n.hold.kind, n.bytes, n.idle)
		}
	}
}

// total returns what is reserved for all kinds. a.mutex must be held.
func (a *Account) total() (sum int64) {
	for _, n := range a.used {
		sum += n
	}
	return sum
}

// Grow reserves n more bytes. If they do not fit, it takes the reservations of others that make no progress: a
// small holder of all others, a large one of large ones. It returns ErrFull if that is not enough, and ErrEvicted
// if the holder has lost its own reservation. The reservations of evicted holders count as free at once, although
// their memory is only free when they have noticed.
func (h *Hold) Grow(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	a := h.account
	a.mutex.Lock()
	if h.evicted {
		a.mutex.Unlock()
		return ErrEvicted
	}
	limit := a.config.Budget
	small := h.bytes+n <= a.config.Small
	if !small {
		limit -= a.config.Reserve
	}
	var notices []notice
	if missing := a.total() + n - limit; missing > 0 {
		now := a.now()
		notices = a.evictAll(a.stalled(h, small, missing, now), now)
	}
	fits := a.total()+n <= limit
	if fits {
		a.used[h.kind] += n
		h.bytes += n
	}
	a.mutex.Unlock()
	a.notify(notices)
	if fits {
		return nil
	}
	if a.observer != nil {
		a.observer.Refused(h.kind, n)
	}
	return ErrFull
}

// stalled returns the holders, longest without progress first, that make way for the missing bytes of the
// holder, or none if all of them hold less. a.mutex must be held.
func (a *Account) stalled(holder *Hold, small bool, missing int64, now time.Duration) []*Hold {
	var list []*Hold
	held := int64(0)
	for h := range a.holds {
		if h != holder && !h.pinned && now-h.progressAt >= a.config.Pressure && (small || h.bytes > a.config.Small) {
			list = append(list, h)
			held += h.bytes
		}
	}
	if held < missing {
		return nil
	}
	slices.SortFunc(list, func(x, y *Hold) int { return cmp.Compare(x.progressAt, y.progressAt) })
	for i, h := range list {
		missing -= h.bytes
		if missing <= 0 {
			return list[:i+1]
		}
	}
	return list
}

// Shrink returns n bytes of the reservation.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.account.used[h.kind] -= n
}

// Progress records that the client sent or took n bytes.
func (h *Hold) Progress(n int) {
	if h == nil || n <= 0 {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.byteAt = h.account.now()
	if h.since += int64(n); h.since >= h.account.config.ProgressBytes {
		h.since, h.progressAt = 0, h.byteAt
	}
}

// Pin records that the holder does not wait for its client, so that it keeps its reservation. It returns
// ErrEvicted if it has none any more.
func (h *Hold) Pin() error {
	if h == nil {
		return nil
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	h.pinned = true
	return nil
}

// Unpin records that the holder waits for its client from now on. If it is evicted, evict is called.
func (h *Hold) Unpin(evict func()) {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	now := h.account.now()
	h.pinned, h.evict, h.byteAt, h.progressAt, h.since = false, evict, now, now, 0
}

// Evicted reports whether the holder has lost its reservation.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	return h.evicted
}

// Stalled returns for how long the holder has made no progress, and whether that is long enough to give way to others
// that lack something.
func (h *Hold) Stalled() (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	idle := h.account.now() - h.progressAt
	return idle, !h.pinned && !h.evicted && idle >= h.account.config.Pressure
}

// Evict takes the reservation of a holder that is stalled.
func (h *Hold) Evict() {
	if _, stalled := h.Stalled(); !stalled {
		return
	}
	a := h.account
	a.mutex.Lock()
	var notices []notice
	if !h.pinned && !h.evicted {
		notices = a.evictAll([]*Hold{h}, a.now())
	}
	a.mutex.Unlock()
	a.notify(notices)
}

// Close returns the reservation.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.account.used[h.kind] -= h.bytes
	h.bytes, h.evicted = 0, true
	delete(h.account.holds, h)
}
