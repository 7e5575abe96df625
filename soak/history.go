package soak

import (
	"sync"
	"time"

	"auburnscale/platform/standin"
)

// An Attempt represents one request of a caller and its outcome.
type Attempt struct {
	ID    string
	Route string
	// AtMostOnce is true if the request may run once at most.
	AtMostOnce bool
	// Stream is true for streams with a prompt, CrashingBlock if that has crashingBlock.
	Stream, CrashingBlock bool
	// PromptGroup is that of the prompt.
	PromptGroup int
	// Entry is the entry instance that the request was sent to, Incarnation the
	// number of that instance's starts by then.
	Entry       string
	Incarnation int
	// Version is the only configuration version that has the route, or 0 if all
	// versions have it.
	Version uint64
	// Started is when the caller began to connect.
	Started  time.Time
	Response standin.Response
	// Defect says what is wrong with a complete response of status 200, or is "".
	Defect string
}

// A Span represents a time interval.
type Span struct {
	From, To time.Time
	// Name is the instance or target incarnation of a planned fault, otherwise "".
	Name string
}

// An Ack represents a change that a control instance acknowledged.
type Ack struct {
	Version uint64
	At      time.Time
}

// A ConfigRead represents a configuration version that the operator read from the
// control instance From. Sent is when the request was sent.
type ConfigRead struct {
	From    string
	Version uint64
	Sent    time.Time
}

// An Arrival represents a request that reached a target.
type Arrival struct {
	// Target is the incarnation name of the target, as in Drains.
	Target    string
	ID        string
	Workspace string
	Key       string
	At        time.Time
	// Service is the target's service. PrefillOnly is true if only the prompt is to be read.
	Service     string
	PrefillOnly bool
	// CrashingBlock is true if the prompt has crashingBlock.
	CrashingBlock bool
}

// A History represents all that callers, targets, the operator and the platform
// observed in a run.
type History struct {
	mutex sync.Mutex

	Attempts []Attempt
	Arrivals []Arrival
	// Runs is how often each request ran, by request ID, over all targets.
	Runs map[string]int
	// Begun is when each request was first run.
	Begun map[string]time.Time
	Acks  []Ack
	// Sent is when each version was first sent. Invalid tells which versions
	// must be rejected.
	Sent        map[uint64]time.Time
	Invalid     map[uint64]bool
	ConfigReads []ConfigRead
	Calls       []standin.ExternalAction
	// PlannedStops are planned stops of entry instances. Drains begin with the
	// acknowledged drain announcements of targets. FaultSpans are the unplanned
	// faults.
	PlannedStops []Span
	Drains       []Span
	FaultSpans   []Span
	// EntryFaults are the faults and restarts of single entry instances, by their names.
	EntryFaults []Span
	// LimitedTargets holds, for each time that a target named rate limits, what arrived there.
	LimitedTargets [][]standin.LimitedArrival
	// Serving holds, by software version, when decode engines ran that did not drain.
	Serving []Span
	// TakeUps are the streams that callers took up.
	TakeUps []TakeUp
	// TargetCrashes are the crashes under crashingBlock, until the next start of the target.
	TargetCrashes []Span
	// LastFaultEnd is when the last fault ended. RecoveryDue is the time from
	// which on requests must be served again.
	LastFaultEnd, RecoveryDue time.Time
	// UnexpectedExits describes process exits and signal errors that the faults
	// did not cause.
	UnexpectedExits []string
}

func newHistory() *History {
	return &History{Runs: map[string]int{}, Begun: map[string]time.Time{}, Sent: map[uint64]time.Time{}, Invalid: map[uint64]bool{}}
}

func (h *History) withLock(f func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f()
}

func (h *History) attempt(a Attempt) { h.withLock(func() { h.Attempts = append(h.Attempts, a) }) }

func (h *History) ack(version uint64) {
	h.withLock(func() { h.Acks = append(h.Acks, Ack{version, time.Now()}) })
}

func (h *History) read(r ConfigRead) { h.withLock(func() { h.ConfigReads = append(h.ConfigReads, r) }) }

// beginFault records the start of an unplanned fault and returns a function that
// records its end.
func (h *History) beginFault() (end func()) {
	const untilEnd = 24 * time.Hour
	n := 0
	h.withLock(func() {
		n = len(h.FaultSpans)
		h.FaultSpans = append(h.FaultSpans, Span{From: time.Now(), To: time.Now().Add(untilEnd)})
	})
	return func() { h.withLock(func() { h.FaultSpans[n].To = time.Now() }) }
}

// beginEntryFault records the start of a fault of the entry instances and returns a function that
// records its end.
func (h *History) beginEntryFault(entries ...string) (end func()) {
	from := time.Now()
	return func() {
		h.withLock(func() {
			for _, name := range entries {
				h.EntryFaults = append(h.EntryFaults, Span{From: from, To: time.Now(), Name: name})
			}
		})
	}
}

func (h *History) stop(s Span) { h.withLock(func() { h.PlannedStops = append(h.PlannedStops, s) }) }

func (h *History) drain(s Span) { h.withLock(func() { h.Drains = append(h.Drains, s) }) }

func (h *History) send(version uint64, invalid bool) {
	h.withLock(func() {
		if _, known := h.Sent[version]; !known {
			h.Sent[version] = time.Now()
		}
		h.Invalid[version] = invalid
	})
}

// newestAck returns the highest version acknowledged before the time, or 0.
func (h *History) newestAck(before time.Time) uint64 {
	newest := uint64(0)
	for _, a := range h.Acks {
		if a.At.Before(before) {
			newest = max(newest, a.Version)
		}
	}
	return newest
}

// lockedFaultFree is faultFree for callers that do not hold the mutex.
func (h *History) lockedFaultFree(from, to time.Time) (yes bool) {
	h.withLock(func() { yes = h.faultFree(from, to) })
	return yes
}

// faultFree reports whether no unplanned fault overlapped the interval.
func (h *History) faultFree(from, to time.Time) bool {
	return h.undisturbed(from, to) && outside(h.TargetCrashes, from, to)
}

// undisturbed reports whether no unplanned fault but crashes under crashingBlock overlapped the
// interval.
func (h *History) undisturbed(from, to time.Time) bool { return outside(h.FaultSpans, from, to) }

// outside reports whether none of the spans overlapped the interval.
func outside(spans []Span, from, to time.Time) bool {
	for _, s := range spans {
		if s.From.Before(to) && s.To.After(from) {
			return false
		}
	}
	return true
}
