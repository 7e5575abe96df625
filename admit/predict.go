package admit

import (
	"fmt"
	"time"
)

// longest returns the wait that still leaves the request its time. Half of it is
// kept for what the queue does not see: the target's own queue and steps.
func (q *Queue) maxWait(r Request) time.Duration {
	return max(minWait, time.Duration(maxWaitRatio*float64(q.config.MaxWait-r.FirstTokenTime)))
}

// predict refuses a request that cannot start within the limit, judged by the
// requests ahead of it and the pace at which waiting ones were admitted lately.
func (q *Queue) checkPredictedWait(t *Ticket, limit time.Duration) error {
	if len(q.waiting) >= q.config.MaxQueue {
		return &Refusal{reason: fmt.Sprintf("%d requests wait already", len(q.waiting)), retryAfter: q.predictWait(len(q.waiting))}
	}
	ahead := 0
	for _, w := range q.waiting {
		if w.before(t) {
			ahead++
		}
	}
	wait := q.predictWait(ahead + 1)
	if wait > limit {
		return &Refusal{reason: fmt.Sprintf("the request would wait %v for a target", wait.Round(time.Millisecond)), retryAfter: max(minRetryAfter, wait)}
	}
	return nil
}

// wait predicts the time until so many waiting requests have been admitted.
func (q *Queue) predictWait(ahead int) time.Duration {
	if q.admissionInterval > 0 {
		return time.Duration(float64(q.admissionInterval) * float64(ahead))
	}
	return time.Duration(float64(initialServiceTime) * float64(ahead) / float64(max(1, q.running)))
}

// notePace learns the time between two admissions while requests wait.
func (q *Queue) observeAdmission(now time.Time) {
	since := now.Sub(q.lastAdmission)
	q.lastAdmission = now
	if q.queuedSince.IsZero() || now.Sub(q.queuedSince) < since {
		return
	}
	if q.admissionInterval == 0 {
		q.admissionInterval = since
		return
	}
	q.admissionInterval = time.Duration((1-intervalSmoothing)*float64(q.admissionInterval) + intervalSmoothing*float64(since))
}
