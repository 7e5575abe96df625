package permit

import (
	"context"
	"sync"
	"time"

	"auburnscale/peer"
)

// A TokenAsker asks the control leader for tokens.
type TokenAsker interface {
	// AskTokens returns the response of a leader, or an error if none answered.
	AskTokens(ctx context.Context, request *peer.TokenRequest) (*peer.TokenResponse, error)
}

// Quotas decides on an entry instance whether a request is within its workspace's quota. The
// control leader's bucket decides; while no leader answers, a local share of the rate does. It is
// safe for concurrent use.
type Quotas struct {
	incarnation string
	asker       TokenAsker
	now         func() time.Duration
	random      func() float64

	mutex      sync.Mutex
	workspaces map[string]*workspaceQuota
	startedAt  time.Duration
	// instances is the number of entry instances, or 0 if it is not known.
	instances int
	// term is that of the last response, answeredAt its time; 0 if there was none.
	term       uint64
	answeredAt time.Duration
	// lost is true while no leader answers, since lostAt. The next probe is sent at probeFrom.
	lost      bool
	lostAt    time.Duration
	probeFrom time.Duration
}

// A workspaceQuota is what this instance knows of the quota of one workspace.
type workspaceQuota struct {
	limit Limit
	// granted sums the tokens that were granted to this instance, and scale is the last factor of the
	// share, by which they are multiplied.
	granted windowSum
	scale   float64
	usedAt  time.Duration
	// level is that of the leader's bucket as of levelAt, when the rate of the limit was levelRate.
	level, levelRate float64
	levelAt          time.Duration

	// allowance are tokens that the leader of allowanceTerm granted, to be spent until allowanceEnd.
	allowance     float64
	allowanceTerm uint64
	allowanceEnd  time.Duration
	// returned and charged are tokens that the leader has not been told of. returned counts in
	// returnedTerm only.
	returned     float64
	returnedTerm uint64
	charged      float64

	local localShare
	// refusedUntil is until when the leader is not asked after refusals, of which there were hold
	// in a row.
	refusedUntil time.Duration
	hold         time.Duration
	// availableAt is when there are tokens again, as the last refusal said.
	availableAt time.Duration
}

const (
	// keepAlive is the time without a request after which an instance that was granted tokens sends
	// one, so that the leader does not take it for cut off.
	keepAlive = 800 * time.Millisecond
	// keepAliveFor is the time after its last use for which a quota is kept alive. The leader's
	// window ends before.
	keepAliveFor = quotaWindow + 2*time.Second
	// forgetAfter is the time after its last use from which a quota is forgotten.
	forgetAfter = time.Minute
	// minHold and maxHold bound the time after a refusal in which other requests of the workspace
	// are refused without asking. It doubles with each refusal, so that a workspace far beyond its
	// quota costs the leader at most ten questions a second and instance.
	minHold = minWait
	maxHold = 100 * time.Millisecond
	// newInstanceTime is the time since its start from which an instance that no leader has answered
	// uses shares: the number of instances is not certain before that.
	newInstanceTime = 3 * time.Second
)

// A QuotaDecision represents the decision whether a request is within the quota of its workspace.
type QuotaDecision struct {
	allowed bool
	wait    time.Duration
	reason  Reason
	// term is that of the leader that granted the tokens; local is true if they are of the local share.
	term  uint64
	local bool
	// share is the local share in tokens a second, used what this instance was granted in the window.
	share float64
	used  float64
}

// The further reasons of decisions on quotas. Issued, Exhausted and OwnPart also occur.
const (
	// Allowance means that tokens granted in advance were spent.
	Allowance Reason = "allowance"
	// HeldOff means that the leader has just refused another request of the workspace.
	HeldOff Reason = "held_off"
)

// Allowed reports whether the request may be sent.
func (d QuotaDecision) Allowed() bool { return d.allowed }

// Wait returns the time after which tokens are available again, if the request may not be sent.
func (d QuotaDecision) Wait() time.Duration { return d.wait }

// Reason returns what decided.
func (d QuotaDecision) Reason() Reason { return d.reason }

// Share returns the rate, in tokens a second, that this instance uses while no leader answers.
func (d QuotaDecision) Share() float64 { return d.share }

// Used returns the tokens that this instance was granted in the last window.
func (d QuotaDecision) Used() float64 { return d.used }

// NewQuotas returns the quotas of the instance with the incarnation. random returns numbers in [0, 1).
func NewQuotas(incarnation string, asker TokenAsker, now func() time.Duration, random func() float64) *Quotas {
	return &Quotas{incarnation: incarnation, asker: asker, now: now, random: random, workspaces: map[string]*workspaceQuota{}, startedAt: now()}
}

// SetInstances sets the number of entry instances that a control instance counts. Only an answer of
// the leader lowers the known number: those that are cut off continue to use their shares.
func (q *Quotas) SetInstances(n int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.instances = max(n, q.instances)
}

// Take decides whether a request of the workspace that costs so many tokens may be sent now, and
// takes them if so. Nothing is asked where the limit is zero.
func (q *Quotas) Take(ctx context.Context, workspace string, limit Limit, cost float64) QuotaDecision {
	if !limit.limited() || cost <= 0 {
		return QuotaDecision{allowed: true, reason: Unlimited}
	}
	q.mutex.Lock()
	w := q.quota(workspace, limit)
	if d, decided := q.decideLocked(w, cost); decided {
		q.mutex.Unlock()
		return d
	}
	request := q.requestLocked(workspace, w, cost)
	q.mutex.Unlock()
	response, err := q.asker.AskTokens(ctx, request)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if err != nil {
		q.unsentLocked(w, request)
		if ctx.Err() == nil {
			q.loseLocked()
		}
		return q.takeLocal(w, cost)
	}
	q.answerLocked(w, response)
	return q.judgeLocked(w, cost, response)
}

// decideLocked decides without the leader if that is possible. q.mutex must be held.
func (q *Quotas) decideLocked(w *workspaceQuota, cost float64) (QuotaDecision, bool) {
	now := q.now()
	switch {
	case now < w.allowanceEnd && w.allowance >= cost:
		w.allowance -= cost
		w.granted.add(cost, now)
		return QuotaDecision{allowed: true, reason: Allowance, term: w.allowanceTerm}, true
	case q.lost:
		return q.takeLocal(w, cost), true
	case now < w.refusedUntil:
		return QuotaDecision{wait: max(w.refusedUntil, w.availableAt) - now, reason: HeldOff, used: w.granted.sum(now)}, true
	}
	return QuotaDecision{}, false
}

// judgeLocked returns the decision of the leader. q.mutex must be held.
func (q *Quotas) judgeLocked(w *workspaceQuota, cost float64, response *peer.TokenResponse) QuotaDecision {
	now := q.now()
	if response.Taken {
		w.granted.add(cost, now)
		w.refusedUntil, w.hold = 0, 0
		if response.Allowance > 0 {
			q.returnAllowance(w)
			w.allowance, w.allowanceTerm, w.allowanceEnd = response.Allowance, response.Term, now+allowanceTime
		}
		return QuotaDecision{allowed: true, reason: Issued, term: response.Term}
	}
	wait := max(minWait, peer.Age(response.WaitMs))
	w.hold = min(maxHold, max(minHold, 2*w.hold))
	w.refusedUntil, w.availableAt = now+min(wait, w.hold), now+wait
	return QuotaDecision{wait: wait, reason: Exhausted, share: q.shareOf(w, now) * w.limit.PerSecond, used: w.granted.sum(now)}
}

// Charge takes tokens without a decision, for a request that is sent again and may run again.
func (q *Quotas) Charge(workspace string, cost float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w := q.workspaces[workspace]
	switch {
	case w == nil:
	case w.local.active:
		w.local.level -= cost
		w.local.spent += cost
	default:
		w.charged += cost
	}
}

// Return gives back the tokens of a request that certainly did not run.
func (q *Quotas) Return(workspace string, cost float64, d QuotaDecision) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w := q.workspaces[workspace]
	switch {
	case w == nil || d.reason == Unlimited:
	case d.local && !w.local.active:
		// The loss of contact is over, and with it the share.
	case d.local:
		w.local.level += cost
		w.local.spent -= min(w.local.spent, cost)
	default:
		w.granted.add(-cost, q.now())
		q.returnTokens(w, cost, d.term)
	}
}

// returnTokens notes tokens to return to the leader of the term. q.mutex must be held.
func (q *Quotas) returnTokens(w *workspaceQuota, amount float64, term uint64) {
	if w.returnedTerm != term {
		w.returned, w.returnedTerm = 0, term
	}
	w.returned += amount
}

// returnAllowance notes the rest of the allowance for its return. q.mutex must be held.
func (q *Quotas) returnAllowance(w *workspaceQuota) {
	if w.allowance > 0 {
		q.returnTokens(w, w.allowance, w.allowanceTerm)
	}
	w.allowance, w.allowanceEnd = 0, 0
}

// quota returns the quota of the workspace. q.mutex must be held.
func (q *Quotas) quota(workspace string, limit Limit) *workspaceQuota {
	w := q.workspaces[workspace]
	if w == nil {
		w = &workspaceQuota{}
		q.workspaces[workspace] = w
	}
	if limit.Version >= w.limit.Version {
		w.limit = limit
	}
	w.usedAt = q.now()
	return w
}

// requestLocked returns the request for the amount, with the tokens that the leader has not been
// told of. q.mutex must be held.
func (q *Quotas) requestLocked(workspace string, w *workspaceQuota, amount float64) *peer.TokenRequest {
	// A request that asks costs more than is left of the allowance.
	if amount > 0 || q.now() >= w.allowanceEnd {
		q.returnAllowance(w)
	}
	request := &peer.TokenRequest{
		Bucket: workspace, PerSecond: w.limit.PerSecond, Burst: w.limit.Burst, Version: w.limit.Version, Amount: amount,
		Incarnation: q.incarnation, Charged: w.charged, Term: w.returnedTerm, Returned: w.returned,
	}
	w.charged, w.returned = 0, 0
	return request
}

// unsentLocked restores what a request told that no leader is known to have received. Returned
// tokens are not restored: the leader may have received them. q.mutex must be held.
func (q *Quotas) unsentLocked(w *workspaceQuota, request *peer.TokenRequest) {
	w.charged += request.Charged
}

// answerLocked records a response. q.mutex must be held.
func (q *Quotas) answerLocked(w *workspaceQuota, response *peer.TokenResponse) {
	now := q.now()
	if q.lost {
		q.endLoss(response.Term, now)
	}
	q.answeredAt, q.term = now, response.Term
	if w != nil {
		w.scale, w.level, w.levelRate, w.levelAt = response.ShareScale, max(0, response.Level), w.limit.PerSecond, now
	}
	if response.Instances > 0 {
		q.instances = int(response.Instances)
	}
}
