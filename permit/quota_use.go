package permit

import "slices"

// A QuotaUse represents the use of the quota of one workspace, in tokens a second.
type QuotaUse struct {
	Workspace string
	// PerSecond is the limit, Used what was granted in the last window.
	PerSecond, Used float64
	// Share is, at an entry instance, what it uses while no leader answers; at the leader, the sum of
	// the shares of instances that may be cut off.
	Share float64
	// Level is the number of tokens in the leader's bucket.
	Level float64
}

func byWorkspace(a, b QuotaUse) int {
	if a.Workspace < b.Workspace {
		return -1
	}
	return 1
}

// Uses returns the use of each workspace's quota, as far as this instance leads and knows it.
func (t *Tokens) Uses() []QuotaUse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	list := make([]QuotaUse, 0, len(t.buckets))
	for name, b := range t.buckets {
		u := QuotaUse{Workspace: name, PerSecond: b.limit.PerSecond, Used: b.granted.sum(now) / quotaWindow.Seconds(), Level: b.tokens}
		for _, share := range b.silent {
			u.Share += share
		}
		list = append(list, u)
	}
	slices.SortFunc(list, byWorkspace)
	return list
}

// Uses returns the use of each workspace's quota at this instance.
func (q *Quotas) Uses() []QuotaUse {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	list := make([]QuotaUse, 0, len(q.workspaces))
	for name, w := range q.workspaces {
		part := w.local.part
		if !w.local.active {
			part = q.shareOf(w, now)
		}
		list = append(list, QuotaUse{Workspace: name, PerSecond: w.limit.PerSecond, Used: w.granted.sum(now) / quotaWindow.Seconds(), Share: part * w.limit.PerSecond})
	}
	slices.SortFunc(list, byWorkspace)
	return list
}

// Lost reports whether no leader answers.
func (q *Quotas) Lost() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.lost
}
