package admit

import (
	"math"
	"time"
)

// priority grows with how far the workspace is above its fair share of recent
// work. Engines run low numbers first, so that fairness holds between instances
// that do not see each other's queues.
func (q *Queue) priority(s *space, work float64, now time.Time) int {
	if now.Sub(q.summed) > sumInterval {
		q.sum(now)
	}
	s.decay(now)
	if s.used <= activeWork {
		q.weights += s.weight
	}
	s.used += work
	q.total += work
	fair := q.total * s.weight / max(q.weights, s.weight)
	if fair <= 0 || s.used <= fair {
		return 0
	}
	return min(priorityLevels-1, int(math.Ceil(math.Log2(s.used/fair)*2)))
}

// mayUseReserve reports whether the workspace has had so much less than its fair
// share that its request goes on although the targets' slots are taken. The
// targets run it first, so other workspaces wait for it and not it for them,
// also on instances that do not see its queue.
func (q *Queue) mayUseReserve(s *space, now time.Time) bool {
	if !q.config.Fair {
		return false
	}
	if now.Sub(q.summed) > sumInterval {
		q.sum(now)
	}
	s.decay(now)
	fair := q.total * s.weight / max(q.weights, s.weight)
	return q.weights > s.weight && s.used < reserveBelow*fair && q.room.HasReserve()
}

// sum adds up the workspaces' recent work anew. In between the sums are kept up
// to date but for the decay, which the interval bounds.
func (q *Queue) sum(now time.Time) {
	q.summed, q.total, q.weights = now, 0, 0
	for _, s := range q.spaces {
		s.decay(now)
		if s.used > activeWork {
			q.total += s.used
			q.weights += s.weight
		}
	}
}

func (s *space) decay(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	s.used *= math.Exp2(-float64(elapsed) / float64(usageHalfLife))
	s.at = now
}
