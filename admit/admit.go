// Package admit decides when a request may go to a target, and which of the
// waiting ones goes first.
//
// It owns one queue per service. Workspaces share it by weighted fair queueing
// in tokens of work, prefill and decode priced apart. A request that cannot make
// its time is refused at once, with the time at which to come back. It must not
// choose targets.
//
// # Usage
//
//	queue := admit.New(admit.Config{...}, room)
//	ticket, err := queue.Enter(ctx, admit.Request{Workspace: "guild", Weight: 2, Work: 900})
//	defer ticket.Leave()
package admit

import (
	"container/heap"
	"context"
	"math"
	"sync"
	"time"
)

// Room tells whether the targets are estimated to take another request, and how
// many they run at once.
type Targets interface {
	HasRoom() bool
	// HasReserve reports whether a target takes a request beyond its slots,
	// which it will run before others by its priority.
	HasReserve() bool
	Capacity() (slots, requests int64)
}

// Config holds a queue's bounds.
type Config struct {
	// Fair selects fair queueing; otherwise first in, first out.
	Fair bool
	// MaxWait is the longest predicted wait that is accepted.
	MaxWait time.Duration
	// MaxQueue bounds the waiting requests.
	MaxQueue int
}

// A Request represents what admission needs to know of a request.
type Request struct {
	Workspace string
	Weight    float64
	// Work is the request's price in tokens.
	Cost float64
	// Lead is the time that the request still needs for its first token once
	// it is admitted. It shortens the wait that is accepted.
	FirstTokenTime time.Duration
}

// A Refusal represents a request that was not admitted. No byte of it has been
// sent anywhere.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.reason }

// RetryAfter returns when to come back.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

const (
	// decodePrice is what a token of output costs relative to one of prompt:
	// a batch decodes one token of each stream in about the time that it
	// prefills this many.
	decodeTokenCost = 4.0
	// smoothing is the weight of a new time between admissions in their mean.
	intervalSmoothing = 0.1
	// firstServiceTime stands for a request's time until a pace is known.
	initialServiceTime = time.Second
	// queueShare is the part of a request's time that it may spend waiting here.
	maxWaitRatio = 0.5
	// minWait is the wait that every request is granted.
	minWait = 50 * time.Millisecond
	// minRetry is the shortest time after which a caller is told to come back.
	minRetryAfter = 100 * time.Millisecond
	// priorityLevels is the number of priorities; half a doubling above the
	// fair share makes one step.
	priorityLevels = 8
	// activeWork is the recent work, in tokens, above which a workspace counts.
	activeCost = 1.0
	// reserveBelow is the part of its fair share below which a workspace may
	// use the targets' reserve.
	reserveThreshold = 0.8
	// sumInterval bounds the age of the sums over all workspaces.
	maxTotalsAge = 100 * time.Millisecond
	// usageHalfLife is how fast past use is forgotten for priorities.
	usageHalfLife = 10 * time.Second
)

// Work returns the price of a request in tokens.
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
	workspaces  map[string]*workspace
	running     int

	// pace is the mean time between two admissions while requests waited,
	// which some have done since queuedSince.
	admissionInterval time.Duration
	lastAdmission     time.Time
	queuedSince       time.Time

	// total and weights sum the recent work and the weights of the workspaces
	// that have any, as of summed and what was dispatched since.
	totalCost   float64
	totalWeight float64
	totalsAt    time.Time
}

type workspace struct {
	virtualFinish float64
	recentCost    float64
	decayedAt     time.Time
	weight        float64
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

// New returns an empty queue before the room.
func New(config Config, room Targets) *Queue {
	return &Queue{config: config, targets: room, workspaces: map[string]*workspace{}}
}

// SetRoom replaces the room after the service's targets changed.
func (q *Queue) SetTargets(room Targets) {
	q.mutex.Lock()
	q.targets = room
	q.mutex.Unlock()
	q.AdmitWaiting()
}

// Enter waits until the request may go to a target. It returns a Refusal at once
// if the predicted wait is too long, and the context's error if that ends first.
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

// giveUp takes a waiting request out of the queue. The refusal says when the
// queue, as long as it is, will have passed.
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
	s := q.workspaceFor(r, now)
	if len(q.waiting) == 0 && q.targets.HasRoom() || q.mayUseReserve(s, now) {
		return q.admitImmediately(q.newTicket(s, r, now)), nil
	}
	t := q.newTicket(s, r, now)
	if err := q.checkPredictedWait(t, q.maxWait(r)); err != nil {
		return nil, err
	}
	s.virtualFinish = t.virtualStart + r.Cost/s.weight
	heap.Push(&q.waiting, t)
	if q.queuedSince.IsZero() {
		q.queuedSince, q.lastAdmission = now, now
	}
	q.admitWaitingLocked()
	return t, nil
}

func (q *Queue) workspaceFor(r Request, now time.Time) *workspace {
	s := q.workspaces[r.Workspace]
	if s == nil {
		s = &workspace{decayedAt: now}
		q.workspaces[r.Workspace] = s
	}
	s.weight = max(r.Weight, math.SmallestNonzeroFloat32)
	return s
}

// ticket gives the request its place: it starts when its workspace's earlier
// requests have had their share, but not before the present virtual time.
func (q *Queue) newTicket(s *workspace, r Request, now time.Time) *Ticket {
	q.sequence++
	t := &Ticket{queue: q, workspace: s, cost: r.Cost, sequence: q.sequence, admitted: make(chan struct{})}
	if q.config.Fair {
		t.virtualStart = max(q.virtualTime, s.virtualFinish)
	}
	return t
}

func (q *Queue) admitImmediately(t *Ticket) *Ticket {
	t.workspace.virtualFinish = t.virtualStart + t.cost/t.workspace.weight
	q.admit(t)
	return t
}

// Pump admits waiting requests while there is room. It is called when a request
// ends and when a target reports.
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

// limit keeps one pump from admitting more than the fleet can take before the
// admitted requests show in the targets' counters.
func (q *Queue) maxRunning() int {
	slots, _ := q.targets.Capacity()
	return int(slots)
}

func (q *Queue) admit(t *Ticket) {
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	q.running++
	t.priority = q.priority(t.workspace, t.cost, time.Now())
	close(t.admitted)
}

// Priority returns the engine priority, 0 first.
func (t *Ticket) Priority() int { return t.priority }

// Leave gives the place back. It may be called more than once.
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
