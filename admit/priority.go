package admit

import (
	"math"
	"time"
)

// priority grows with how far the workspace is above its fair share of recent
// work. Engines run low numbers first, so that fairness holds between instances
// that do not see each other's queues.
func (q *Queue) priority(s *workspace, work float64, now time.Time) int {
	if now.Sub(q.totalsAt) > maxTotalsAge {
		q.refreshTotals(now)
	}
	s.decay(now)
	if s.recentCost <= activeCost {
		q.totalWeight += s.weight
	}
	s.recentCost += work
	q.totalCost += work
	fair := q.totalCost * s.weight / max(q.totalWeight, s.weight)
	if fair <= 0 || s.recentCost <= fair {
		return 0
	}
	return min(priorityLevels-1, int(math.Ceil(math.Log2(s.recentCost/fair)*2)))
}

// mayUseReserve reports whether the workspace has had so much less than its fair
// share that its request goes on although the targets' slots are taken. The
// targets run it first, so other workspaces wait for it and not it for them,
// also on instances that do not see its queue.
func (q *Queue) mayUseReserve(s *workspace, now time.Time) bool {
	if !q.config.Fair {
		return false
	}
	if now.Sub(q.totalsAt) > maxTotalsAge {
		q.refreshTotals(now)
	}
	s.decay(now)
	fair := q.totalCost * s.weight / max(q.totalWeight, s.weight)
	return q.totalWeight > s.weight && s.recentCost < reserveThreshold*fair && q.targets.HasReserve()
}

// sum adds up the workspaces' recent work anew. In between the sums are kept up
// to date but for the decay, which the interval bounds.
func (q *Queue) refreshTotals(now time.Time) {
	q.totalsAt, q.totalCost, q.totalWeight = now, 0, 0
	for _, s := range q.workspaces {
		s.decay(now)
		if s.recentCost > activeCost {
			q.totalCost += s.recentCost
			q.totalWeight += s.weight
		}
	}
}

func (s *workspace) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed <= 0 {
		return
	}
	s.recentCost *= math.Exp2(-float64(elapsed) / float64(usageHalfLife))
	s.decayedAt = now
}
