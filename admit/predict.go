package admit

import (
	"fmt"
	"time"
)

// maxWait returns the longest wait in the queue that leaves the request enough time
// to its first token. The rest of that time is kept for what the queue cannot predict:
// the target's own queue and its batch steps.
func (q *Queue) maxWait(r Request) time.Duration {
	return max(minWait, time.Duration(maxWaitRatio*float64(q.config.FirstTokenLimit-r.FirstTokenTime)))
}

// checkPredictedWait returns a Refusal if the queue is full or the request is not
// expected to be admitted within the limit. The prediction uses the number of requests
// ahead of it and the recent interval between admissions.
func (q *Queue) checkPredictedWait(t *Ticket, limit time.Duration) error {
	if len(q.waiting) >= q.config.MaxQueue {
		return &Refusal{reason: fmt.Sprintf("the queue is full: %d requests are waiting", len(q.waiting)), retryAfter: q.predictWait(len(q.waiting))}
	}
	ahead := 0
	for _, w := range q.waiting {
		if w.before(t) {
			ahead++
		}
	}
	wait := q.predictWait(ahead + 1)
	if wait > limit {
		return &Refusal{reason: fmt.Sprintf("the predicted wait of %v for a target is too long", wait.Round(time.Millisecond)), retryAfter: max(minRetryAfter, wait)}
	}
	return nil
}

// predictWait returns the predicted time until the given number of waiting requests
// has been admitted.
func (q *Queue) predictWait(requests int) time.Duration {
	if q.admissionInterval > 0 {
		return time.Duration(float64(q.admissionInterval) * float64(requests))
	}
	return time.Duration(float64(initialServiceTime) * float64(requests) / float64(max(1, q.running)))
}

// observeAdmission updates the average interval between admissions while requests
// wait.
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
