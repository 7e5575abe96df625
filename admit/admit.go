// Package admit decides when a request may be sent to a target, and which of the
// waiting requests goes first.
//
// It has one queue per service. Workspaces share it by weighted fair queueing; the
// cost of a request is in tokens, with different prices for prefill and decode. A
// request that cannot get its first token in time is refused at once, with a delay
// after which to retry. The package must not choose targets.
//
// An entry instance of a routed deployment holds no request: its [Gate] sends each one at once or
// refuses it, by the load of all instances and the same fair shares.
//
// # Usage
//
//	queue := admit.New(admit.Config{...}, targets)
//	ticket, err := queue.Acquire(ctx, admit.Request{Workspace: "guild", Weight: 2, Cost: 900})
//	defer ticket.Release()
//
//	verdict := gate.Decide(load, admit.Demand{Service: "lm", Workspace: "guild", Cost: 900}, time.Now())
package admit

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Targets gives the estimated free capacity of a service's targets.
type Targets interface {
	// HasRoom reports whether a target is estimated to have a free slot.
	HasRoom() bool
	// HasReserve reports whether a target accepts a request beyond its slots, which
	// it will run before others because of its priority.
	HasReserve() bool
	// Capacity returns the total slots of the targets and the estimated number of
	// requests on them.
	Capacity() (slots, requests int64)
}

// Config holds the policy and the limits of a queue.
type Config struct {
	// Fair selects weighted fair queueing; otherwise the queue is first in, first
	// out.
	Fair bool
	// FirstTokenLimit is the time that a request may take to its first token. A part
	// of it may be spent in the queue.
	FirstTokenLimit time.Duration
	// MaxQueue is the maximum number of waiting requests.
	MaxQueue int
}

// A Request holds the properties of a request that admission uses.
type Request struct {
	Workspace string
	Weight    float64
	// Cost is the request's cost in prompt tokens, as returned by the function Cost.
	Cost float64
	// FirstTokenTime is the estimated time from admission to the first token. It
	// shortens the wait that is accepted.
	FirstTokenTime time.Duration
}

// A Refusal is the error for a request that was not admitted. No byte of the request
// has been sent to any target.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// Error returns the reason for the refusal.
func (r *Refusal) Error() string { return r.reason }

// RetryAfter returns the delay after which the caller may retry.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

const (
	// decodeTokenCost is the cost of an output token relative to a prompt token. A
	// batch decodes one token of each stream in about the time in which it prefills
	// this many tokens.
	decodeTokenCost = 4.0
	// intervalSmoothing is the weight of a new interval between admissions in their
	// moving average.
	intervalSmoothing = 0.1
	// initialServiceTime is the assumed duration of a request until an admission
	// interval has been observed.
	initialServiceTime = time.Second
	// maxWaitRatio is the part of the time to the first token that a request may
	// spend in the queue.
	maxWaitRatio = 0.5
	// minWait is the wait that is accepted for any request.
	minWait = 50 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	// priorityLevels is the number of engine priorities. Each level stands for half
	// a doubling of a workspace's use above its fair share.
	priorityLevels = 8
	// activeCost is the recent cost, in tokens, above which a workspace counts as
	// active.
	activeCost = 1.0
	// reserveThreshold is the fraction of its fair share below which a workspace may
	// use the targets' reserve.
	reserveThreshold = 0.8
	// maxTotalsAge is the maximum age of the totals over all workspaces.
	maxTotalsAge = 100 * time.Millisecond
	// usageHalfLife is the half-life of a workspace's past cost in its recent cost.
	usageHalfLife = 10 * time.Second
)

// Cost returns the cost of a request in prompt tokens.
func Cost(promptTokens, outputTokens int64) float64 {
	return float64(promptTokens) + decodeTokenCost*float64(outputTokens)
}

// A Queue represents the waiting requests of one service on one instance.
type Queue struct {
	config Config

	mutex       sync.Mutex
	targets     Targets
	waiting     waitHeap
	sequence    uint64
	virtualTime float64
	shares      shares
	running     int

	// admissionInterval is the average time between two admissions while requests
	// wait. The queue has not been empty since queuedSince, unless that is zero.
	admissionInterval time.Duration
	lastAdmission     time.Time
	queuedSince       time.Time
}

// A Ticket represents an admitted request.
type Ticket struct {
	queue     *Queue
	workspace *workspace
	priority  int
	cost      float64
	once      sync.Once

	virtualStart float64
	sequence     uint64
	index        int
	admitted     chan struct{}
}

// New returns an empty queue for the targets.
func New(config Config, targets Targets) *Queue {
	return &Queue{config: config, targets: targets, shares: newShares()}
}

// SetTargets replaces the targets of the service and admits waiting requests if the
// new ones have room.
func (q *Queue) SetTargets(targets Targets) {
	q.mutex.Lock()
	q.targets = targets
	q.mutex.Unlock()
	q.AdmitWaiting()
}

// Acquire waits until the request may be sent to a target. It returns a Refusal at
// once if the predicted wait is too long or the queue is full, and later if the wait
// reaches its limit or the context ends before the request is admitted.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	t, err := q.enqueue(r, time.Now())
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(q.maxWait(r))
	defer timer.Stop()
	select {
	case <-t.admitted:
		return t, nil
	case <-timer.C:
		return nil, q.abandon(t, "no target came free in time for the first token")
	case <-ctx.Done():
		return nil, q.abandon(t, "the deadline passed while the request waited for a target")
	}
}

// abandon removes a waiting request from the queue. The Refusal's delay is the
// predicted time in which the present queue is admitted.
func (q *Queue) abandon(t *Ticket, reason string) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case <-t.admitted:
		q.releaseLocked()
	default:
		heap.Remove(&q.waiting, t.index)
	}
	return &Refusal{reason: reason, retryAfter: max(minRetryAfter, q.predictWait(len(q.waiting)))}
}

func (q *Queue) enqueue(r Request, now time.Time) (*Ticket, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w := q.shares.workspace(r.Workspace, r.Weight, now)
	if len(q.waiting) == 0 && q.targets.HasRoom() || q.mayUseReserve(w, now) {
		return q.admitImmediately(q.newTicket(w, r, now)), nil
	}
	t := q.newTicket(w, r, now)
	if err := q.checkPredictedWait(t, q.maxWait(r)); err != nil {
		return nil, err
	}
	w.virtualFinish = t.virtualStart + r.Cost/w.weight
	heap.Push(&q.waiting, t)
	if q.queuedSince.IsZero() {
		q.queuedSince, q.lastAdmission = now, now
	}
	q.admitWaitingLocked()
	return t, nil
}

// newTicket returns a ticket with the request's place in the queue. Its virtual start
// is the virtual finish of the workspace's previous request, but not before the
// present virtual time.
func (q *Queue) newTicket(w *workspace, r Request, now time.Time) *Ticket {
	q.sequence++
	t := &Ticket{queue: q, workspace: w, cost: r.Cost, sequence: q.sequence, admitted: make(chan struct{})}
	if q.config.Fair {
		t.virtualStart = max(q.virtualTime, w.virtualFinish)
	}
	return t
}

func (q *Queue) admitImmediately(t *Ticket) *Ticket {
	t.workspace.virtualFinish = t.virtualStart + t.cost/t.workspace.weight
	q.admit(t)
	return t
}

// AdmitWaiting admits waiting requests while there is room. It is called when a
// request ends and when a target reports its load.
func (q *Queue) AdmitWaiting() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.admitWaitingLocked()
}

func (q *Queue) admitWaitingLocked() {
	for len(q.waiting) > 0 && q.targets.HasRoom() && q.running < q.maxRunning() {
		t := heap.Pop(&q.waiting).(*Ticket)
		q.observeAdmission(time.Now())
		q.admit(t)
	}
	if len(q.waiting) == 0 {
		q.queuedSince = time.Time{}
	}
}

// maxRunning returns the number of admitted requests above which no waiting request
// is admitted. It keeps one call of AdmitWaiting from exceeding the fleet's slots
// before the admitted requests show in the targets' counters.
func (q *Queue) maxRunning() int {
	slots, _ := q.targets.Capacity()
	return int(slots)
}

func (q *Queue) admit(t *Ticket) {
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	q.running++
	t.priority = q.shares.charge(t.workspace, t.cost, time.Now())
	close(t.admitted)
}

// Priority returns the engine priority. Engines run lower numbers first, starting at
// 0.
func (t *Ticket) Priority() int { return t.priority }

// Release ends the request and admits waiting ones. It may be called more than once.
func (t *Ticket) Release() {
	t.once.Do(func() {
		t.queue.mutex.Lock()
		defer t.queue.mutex.Unlock()
		t.queue.releaseLocked()
		t.queue.admitWaitingLocked()
	})
}

func (q *Queue) releaseLocked() {
	q.running--
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}
