package admit

import (
	"math"
	"time"
)

// shares holds the recent cost of the workspaces of one service on one instance, and compares each
// with its fair share. The Queue and the Gate decide by it.
type shares struct {
	workspaces map[string]*workspace
	// totalCost and totalWeight are the sums of the recent cost and the weights of
	// the active workspaces. They are computed at totalsAt and updated with each
	// admission since.
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

func newShares() shares { return shares{workspaces: map[string]*workspace{}} }

// workspace returns the workspace of that name, with the weight.
func (s *shares) workspace(name string, weight float64, now time.Time) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{decayedAt: now}
		s.workspaces[name] = w
	}
	w.weight = max(weight, math.SmallestNonzeroFloat32)
	return w
}

// charge adds the cost of a request to its workspace and returns the workspace's level. Engines run
// requests of low levels first, which keeps the service fair across instances that do not see each
// other's queues.
func (s *shares) charge(w *workspace, cost float64, now time.Time) int {
	s.update(w, now)
	if w.recentCost <= activeCost {
		s.totalWeight += w.weight
	}
	w.recentCost += cost
	s.totalCost += cost
	return s.level(w)
}

// level returns how far the workspace is above its fair share of the recent cost, in half
// doublings: 0 if it is not above it.
func (s *shares) level(w *workspace) int {
	fair := s.fairCost(w)
	if fair <= 0 || w.recentCost <= fair {
		return 0
	}
	return min(priorityLevels-1, int(math.Ceil(math.Log2(w.recentCost/fair)*2)))
}

// fairCost returns the workspace's fair share of the recent cost.
func (s *shares) fairCost(w *workspace) float64 {
	return s.totalCost * w.weight / max(s.totalWeight, w.weight)
}

// update brings the totals and the workspace up to the given time.
func (s *shares) update(w *workspace, now time.Time) {
	if now.Sub(s.totalsAt) > maxTotalsAge {
		s.refreshTotals(now)
	}
	w.decay(now)
}

// refreshTotals recomputes the totals over the workspaces. Between calls the totals
// are updated with each admission but do not decay; maxTotalsAge bounds that error.
func (s *shares) refreshTotals(now time.Time) {
	s.totalsAt, s.totalCost, s.totalWeight = now, 0, 0
	for _, w := range s.workspaces {
		w.decay(now)
		if w.recentCost > activeCost {
			s.totalCost += w.recentCost
			s.totalWeight += w.weight
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

// mayUseReserve reports whether the workspace, while others are active, has used so
// much less than its fair share that its request is admitted although the targets'
// slots are full. The targets run it first, so that it does not wait for the requests
// of other workspaces, even those sent by instances that do not see this queue.
func (q *Queue) mayUseReserve(w *workspace, now time.Time) bool {
	if !q.config.Fair {
		return false
	}
	q.shares.update(w, now)
	return q.shares.totalWeight > w.weight && w.recentCost < reserveThreshold*q.shares.fairCost(w) && q.targets.HasReserve()
}
