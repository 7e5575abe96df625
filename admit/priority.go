package admit

import (
	"math"
	"time"
)

// priority adds the cost of a request to its workspace and returns the request's
// engine priority. The number is higher the further the workspace is above its fair
// share of the recent cost. Engines run low numbers first, which keeps the service
// fair across instances that do not see each other's queues.
func (q *Queue) priority(w *workspace, cost float64, now time.Time) int {
	if now.Sub(q.totalsAt) > maxTotalsAge {
		q.refreshTotals(now)
	}
	w.decay(now)
	if w.recentCost <= activeCost {
		q.totalWeight += w.weight
	}
	w.recentCost += cost
	q.totalCost += cost
	fair := q.totalCost * w.weight / max(q.totalWeight, w.weight)
	if fair <= 0 || w.recentCost <= fair {
		return 0
	}
	return min(priorityLevels-1, int(math.Ceil(math.Log2(w.recentCost/fair)*2)))
}

// mayUseReserve reports whether the workspace, while others are active, has used so
// much less than its fair share that its request is admitted although the targets'
// slots are full. The targets run it first, so that it does not wait for the requests
// of other workspaces, even those sent by instances that do not see this queue.
func (q *Queue) mayUseReserve(w *workspace, now time.Time) bool {
	if !q.config.Fair {
		return false
	}
	if now.Sub(q.totalsAt) > maxTotalsAge {
		q.refreshTotals(now)
	}
	w.decay(now)
	fair := q.totalCost * w.weight / max(q.totalWeight, w.weight)
	return q.totalWeight > w.weight && w.recentCost < reserveThreshold*fair && q.targets.HasReserve()
}

// refreshTotals recomputes the totals over the workspaces. Between calls the totals
// are updated with each admission but do not decay; maxTotalsAge bounds that error.
func (q *Queue) refreshTotals(now time.Time) {
	q.totalsAt, q.totalCost, q.totalWeight = now, 0, 0
	for _, w := range q.workspaces {
		w.decay(now)
		if w.recentCost > activeCost {
			q.totalCost += w.recentCost
			q.totalWeight += w.weight
		}
	}
}

func (w *workspace) decay(now time.Time) {
	elapsed := now.Sub(w.decayedAt)
	if elapsed <= 0 {
		return
	}
	w.recentCost *= math.Exp2(-float64(elapsed) / float64(usageHalfLife))
	w.decayedAt = now
}
