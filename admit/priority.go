package admit

import (
	"math"
	"time"
)

// priority returns the engine priority of a request and adds its cost to the
// workspace. It is higher the further the workspace is above its fair share of the
// recent cost. Engines run low numbers first, which keeps the service fair between
// instances that do not see each other's queues.
func (q *Queue) priority(s *workspace, cost float64, now time.Time) int {
	if now.Sub(q.totalsAt) > maxTotalsAge {
		q.refreshTotals(now)
	}
	s.decay(now)
	if s.recentCost <= activeCost {
		q.totalWeight += s.weight
	}
	s.recentCost += cost
	q.totalCost += cost
	fair := q.totalCost * s.weight / max(q.totalWeight, s.weight)
	if fair <= 0 || s.recentCost <= fair {
		return 0
	}
	return min(priorityLevels-1, int(math.Ceil(math.Log2(s.recentCost/fair)*2)))
}

// mayUseReserve reports whether the workspace has used so much less than its fair
// share that its request is admitted although the targets' slots are full. The targets
// run it first, so that it does not wait for the requests of other workspaces, even
// those sent by instances that do not see this queue.
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

// refreshTotals recomputes the totals over the workspaces. Between calls the totals
// are updated with each admission but do not decay; maxTotalsAge bounds that error.
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
