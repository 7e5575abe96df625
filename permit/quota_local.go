package permit

import (
	"context"
	"time"

	"auburnscale/peer"
)

// A localShare is the part of a quota that an instance uses while no leader answers.
type localShare struct {
	// active is true from the first request after the loss of contact.
	active bool
	// part is the part of the workspace's rate, level the tokens as of at.
	part  float64
	level float64
	at    time.Duration
	// spent are the tokens spent since the loss of contact.
	spent float64
}

// probeInterval is the time between two attempts to reach a leader while none answers.
const probeInterval = askBackoff

// shareOf returns the part of the rate that this instance uses without a leader. q.mutex must be
// held.
func (q *Quotas) shareOf(w *workspaceQuota, at time.Duration) float64 {
	return share(w.granted.sum(at), w.scale, q.instances)
}

// localBurst returns the most tokens that the share accrues. q.mutex must be held.
func (q *Quotas) localBurst(w *workspaceQuota) float64 { return w.local.part * w.limit.Burst }

// takeLocal decides by the local share. Its level starts at a random value between minus the cost of
// the request and 0, so that instances that lost contact together do not all send at once, plus the
// share of what was left in the leader's bucket. A request needs a level of at least 0, and is charged
// in full. q.mutex must be held.
func (q *Quotas) takeLocal(w *workspaceQuota, cost float64) QuotaDecision {
	now := q.now()
	if q.instances == 0 || q.answeredAt == 0 && now-q.startedAt < newInstanceTime {
		return QuotaDecision{wait: probeInterval, reason: NoLeader}
	}
	l := &w.local
	if !l.active {
		*l = localShare{active: true, part: q.shareOf(w, q.contactEnd(now)), at: now}
		l.level = l.part*q.levelLeft(w) - cost*q.random()
	}
	perSecond := l.part * w.limit.PerSecond
	l.level = min(max(l.level, q.localBurst(w)), l.level+perSecond*max(0, (now-l.at).Seconds()))
	l.at = now
	d := QuotaDecision{reason: OwnPart, local: true, share: perSecond, used: l.spent}
	if l.level < 0 {
		d.wait = max(minWait, time.Duration(min(-l.level/perSecond, maxTokenWait.Seconds())*float64(time.Second)))
		return d
	}
	l.level -= cost
	l.spent += cost
	d.allowed = true
	return d
}

// levelLeft returns the tokens that may be left in the leader's bucket: those of its last answer, the
// less the older that is, and less in proportion if the limit was lowered since. q.mutex must be held.
func (q *Quotas) levelLeft(w *workspaceQuota) float64 {
	age := (q.contactEnd(q.now()) - w.levelAt).Seconds() / quotaWindow.Seconds()
	return w.level * min(1, w.limit.PerSecond/max(1e-9, w.levelRate)) * min(1, max(0, 1-age))
}

// contactEnd returns the time at which contact was lost. q.mutex must be held.
func (q *Quotas) contactEnd(now time.Duration) time.Duration {
	if q.lost {
		return q.lostAt
	}
	return now
}

// loseLocked records that no leader answered. q.mutex must be held.
func (q *Quotas) loseLocked() {
	if now := q.now(); !q.lost {
		q.lost, q.lostAt, q.probeFrom = true, now, now+probeInterval
	}
}

// endLoss records that a leader answers again. Tokens spent in a short loss are charged: the
// leader of the same term has not lowered its refill for them. q.mutex must be held.
func (q *Quotas) endLoss(term uint64, now time.Duration) {
	for _, w := range q.workspaces {
		if w.local.active && term == q.term && now-q.lostAt < silentAfter {
			w.charged += w.local.spent
		}
		w.local = localShare{}
	}
	q.lost = false
}

// Step sends what the leader has not been told of, keeps the contact with it, and probes for a
// leader while none answers. It is called each stepInterval.
func (q *Quotas) Step(ctx context.Context) {
	q.mutex.Lock()
	requests := q.dueLocked()
	q.mutex.Unlock()
	for _, request := range requests {
		response, err := q.asker.AskTokens(ctx, request)
		q.mutex.Lock()
		w := q.workspaces[request.Bucket]
		if err != nil {
			if w != nil {
				q.unsentLocked(w, request)
			}
			if ctx.Err() == nil {
				q.loseLocked()
			}
			q.probeFrom = q.now() + probeInterval
			q.mutex.Unlock()
			return
		}
		q.answerLocked(w, response)
		q.mutex.Unlock()
	}
}

// dueLocked returns the requests that are due: a probe while no leader answers, else one for each
// workspace with tokens to report, or one for any to keep the contact. q.mutex must be held.
func (q *Quotas) dueLocked() (requests []*peer.TokenRequest) {
	now := q.now()
	quiet := now-q.answeredAt > keepAlive
	for name, w := range q.workspaces {
		if now-w.usedAt > forgetAfter {
			delete(q.workspaces, name)
			continue
		}
		expired := w.allowance > 0 && now >= w.allowanceEnd
		switch {
		case q.lost:
			if now >= q.probeFrom && len(requests) == 0 {
				q.probeFrom = now + probeInterval
				requests = append(requests, q.requestLocked(name, w, 0))
			}
		case expired || w.returned > 0 || w.charged > 0:
			requests = append(requests, q.requestLocked(name, w, 0))
		case quiet && now-w.usedAt < keepAliveFor:
			quiet = false
			requests = append(requests, q.requestLocked(name, w, 0))
		}
	}
	return requests
}

// stepInterval is the time between two calls of Step by Run.
const stepInterval = 100 * time.Millisecond

// Run calls Step regularly until the context ends.
func (q *Quotas) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.Step(ctx)
		}
	}
}
