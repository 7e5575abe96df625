package soak

import (
	"sync"
	"time"

	"auburnscale/platform/standin"
)

// An Attempt represents one request of a caller and what became of it.
type Attempt struct {
	ID    string
	Route string
	// Once is true if the request may run once at most.
	Once bool
	// Entry is the instance that took it, in its Incarnation-th start.
	Entry       string
	Incarnation int
	// Version is that of the configuration that alone has the route, or 0.
	Version uint64
	// Begun is when the caller began to connect.
	Begun  time.Time
	Answer standin.Response
	// Wrong says what is wrong with a successful answer, "" if nothing is.
	Wrong string
}

// A Span represents a stretch of time.
type Span struct {
	From, To time.Time
	// On names what was struck, for planned work.
	On string
}

// An Ack represents a change that a control instance acknowledged.
type Ack struct {
	Version uint64
	At      time.Time
}

// A Reading represents a configuration that was read back.
type Reading struct {
	From    string
	Version uint64
	Sent    time.Time
}

// An Arrival represents a request that reached a target.
type Arrival struct {
	// Target is one start of a target, as in Leaves.
	Target string
	ID     string
	Tenant string
	Key    string
	At     time.Time
}

// A History represents all that callers, targets, the operator and the platform
// saw in a run.
type History struct {
	mutex sync.Mutex

	Attempts []Attempt
	Arrivals []Arrival
	// Runs is how often each request was run, over all targets.
	Runs map[string]int
	Acks []Ack
	// Sent is when each version was sent first; Invalid are those that must be
	// refused.
	Sent     map[uint64]time.Time
	Invalid  map[uint64]bool
	Readings []Reading
	Calls    []standin.ExternalAction
	// Stops are planned stops of entries, Leaves the acknowledged words of
	// targets that leave, Disturbed the faults that nobody planned.
	Stops     []Span
	Leaves    []Span
	Disturbed []Span
	// Healed is when the last fault was over, Judged when requests must be served
	// again.
	Healed, Judged time.Time
	// OwnEnds are processes that ended though nobody asked them to.
	OwnEnds []string
}

func newHistory() *History {
	return &History{Runs: map[string]int{}, Sent: map[uint64]time.Time{}, Invalid: map[uint64]bool{}}
}

func (h *History) do(f func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f()
}

func (h *History) attempt(a Attempt) { h.do(func() { h.Attempts = append(h.Attempts, a) }) }

func (h *History) ack(version uint64) {
	h.do(func() { h.Acks = append(h.Acks, Ack{version, time.Now()}) })
}

func (h *History) reading(r Reading) { h.do(func() { h.Readings = append(h.Readings, r) }) }

// disturb notes that a fault has begun, and returns what notes its end.
func (h *History) disturb() (end func()) {
	const forGood = 24 * time.Hour
	n := 0
	h.do(func() {
		n = len(h.Disturbed)
		h.Disturbed = append(h.Disturbed, Span{From: time.Now(), To: time.Now().Add(forGood)})
	})
	return func() { h.do(func() { h.Disturbed[n].To = time.Now() }) }
}

func (h *History) stop(s Span) { h.do(func() { h.Stops = append(h.Stops, s) }) }

func (h *History) leave(s Span) { h.do(func() { h.Leaves = append(h.Leaves, s) }) }

func (h *History) send(version uint64, invalid bool) {
	h.do(func() {
		if _, known := h.Sent[version]; !known {
			h.Sent[version] = time.Now()
		}
		h.Invalid[version] = invalid
	})
}

// newestAck returns the highest version acknowledged before the time.
func (h *History) newestAck(before time.Time) uint64 {
	newest := uint64(0)
	for _, a := range h.Acks {
		if a.At.Before(before) {
			newest = max(newest, a.Version)
		}
	}
	return newest
}

// calm is quiet for callers that do not hold the history.
func (h *History) calm(from, to time.Time) (yes bool) {
	h.do(func() { yes = h.quiet(from, to) })
	return yes
}

// quiet reports whether no fault struck between the times.
func (h *History) quiet(from, to time.Time) bool {
	for _, s := range h.Disturbed {
		if s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}
