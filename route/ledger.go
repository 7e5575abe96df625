package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// A ledger holds the predicted work that is started and not finished on a target, in
// microseconds at usual speed. Work is the time for which it occupies the target: the
// prefill of a prompt, the part of the steps of a batch that output adds, the run time of
// a request without a prompt.
type ledger struct {
	// prefill and rest are the work of this instance's requests, by stage.
	prefill, rest atomic.Int64
	// others is the work of the requests of all other instances.
	others atomic.Int64
}

// A Job is the predicted work of one request on a target. Its methods may be called on nil,
// which has no work. It is safe for concurrent use.
type Job struct {
	target *Target
	mutex  sync.Mutex
	// prefill and rest are the parts that the ledger still holds, and whole the rest at
	// the start.
	prefill, rest, whole int64
	ended                bool
}

// minRemaining is the fraction of its predicted work that a request is taken to have left
// until it ends, as it may be longer than predicted.
const minRemaining = 0.1

// StartJob adds the predicted work of a request to the target's ledger.
func (t *Target) StartJob(prefill, rest time.Duration) *Job {
	j := &Job{target: t, prefill: max(0, prefill.Microseconds()), rest: max(0, rest.Microseconds())}
	j.whole = j.rest
	t.ledger.prefill.Add(j.prefill)
	t.ledger.rest.Add(j.rest)
	return j
}

// PrefillDone removes the prefill of the prompt.
func (j *Job) PrefillDone() {
	if j == nil {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.target.ledger.prefill.Add(-j.prefill)
	j.prefill = 0
}

// Progress records which fraction of the predicted rest is done; it may exceed 1.
func (j *Job) Progress(done float64) {
	if j == nil || math.IsNaN(done) {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	left := int64(float64(j.whole) * max(minRemaining, 1-max(0, done)))
	if j.ended || left >= j.rest {
		return
	}
	j.target.ledger.rest.Add(left - j.rest)
	j.rest = left
}

// End removes what is left of the work.
func (j *Job) End() {
	if j == nil {
		return
	}
	j.PrefillDone()
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.target.ledger.rest.Add(-j.rest)
	j.rest, j.ended = 0, true
}

// OwnWork returns the predicted work of this instance on the target, in microseconds at
// usual speed.
func (t *Target) OwnWork() int64 { return t.ledger.prefill.Load() + t.ledger.rest.Load() }

// SetOtherWork records the predicted work of all other instances on the target, in
// microseconds at usual speed.
func (t *Target) SetOtherWork(microseconds int64) { t.ledger.others.Store(max(0, microseconds)) }

// outstanding is the work that a target has left to do, at usual speed, and its requests.
type outstanding struct {
	requests float64
	prefill  time.Duration
	rest     time.Duration
}

// minReportedPart bounds how far a load report lowers the outstanding work. It tells of one
// moment, and requests may be under way to the target.
const minReportedPart = 0.5

// outstanding returns the outstanding work of all instances on the target: the ledger,
// corrected by the last load report if that is recent.
func (t *Target) outstanding(m *CostModel, now time.Time) outstanding {
	own, others := t.inFlight.Load(), t.othersRequests.Load()
	othersPrefill := m.prefillTime(t, t.othersPrefillTokens.Load())
	rest := micros(t.ledger.rest.Load())
	if work := micros(t.ledger.others.Load()); work > 0 {
		othersPrefill = min(othersPrefill, work)
		rest += work - othersPrefill
	} else {
		// Instances of earlier releases report no work.
		rest += time.Duration(others) * m.usualRest()
	}
	o := outstanding{requests: float64(own + others), prefill: micros(t.ledger.prefill.Load()) + othersPrefill, rest: rest}
	o.prefill = scale(o.prefill, headLeft(t, o.requests))
	r := t.report.Load()
	if r == nil || now.Sub(r.at) > reportTTL {
		return o
	}
	reported := max(0, float64(int64(r.running+r.waiting)+own-r.ownInFlight))
	switch {
	case reported > o.requests:
		// Requests that the ledger does not have.
		o.rest += time.Duration((reported - o.requests) * float64(m.usualRest()))
	case o.requests > 0:
		part := max(minReportedPart, reported/o.requests)
		o.prefill, o.rest = scale(o.prefill, part), scale(o.rest, part)
	}
	o.requests = reported
	return o
}

// queuedTokens returns the number of prompt tokens that the target is expected to prefill
// before a new prompt. The first prompt of the queue is half done on average.
func (t *Target) queuedTokens() int64 {
	requests := t.inFlight.Load() + t.othersRequests.Load()
	return int64(float64(t.backlog()) * headLeft(t, float64(requests)))
}

// headLeft returns the part of the prefill work in a target's ledger that is left when the
// first of the requests is half done. On a target that decodes most requests have no prompt
// left to prefill, so that nothing is known of the first one.
func headLeft(t *Target, requests float64) float64 {
	if t.Decodes() {
		return 1
	}
	return 1 - 0.5/max(1, requests)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
