package permit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"auburnscale/peer"
)

// Tokens holds the buckets of the workspaces' limits, if its voter leads. What an earlier leader
// granted is not known, so a bucket holds at most what has accrued since the start of the term: a
// change of the leader can delay requests but adds no burst. It is safe for concurrent use.
type Tokens struct {
	leadership Leadership
	limits     LimitSource
	instances  func() int
	now        func() time.Duration

	mutex   sync.Mutex
	term    uint64
	began   time.Duration
	buckets map[string]*tokenBucket
	// requesters holds the entry instances that use local shares, by incarnation.
	requesters map[string]*requester

	taken, refused atomic.Int64
}

// A LimitSource returns the limit of a workspace in the newest configuration of this instance, with
// the configuration's version, which is 0 if there is no configuration. The limit is zero if the
// workspace has none.
type LimitSource func(workspace string) Limit

// A Limit is the limit of a workspace over all instances.
type Limit struct {
	PerSecond float64
	Burst     float64
	// Tolerated are the tokens that may be used beyond rate and burst in any window.
	Tolerated float64
	// Version is that of the configuration that contains the limit.
	Version uint64
}

func (l Limit) limited() bool { return l.PerSecond > 0 && l.Burst > 0 }

// capacity returns the most tokens that the leader's bucket holds.
func (l Limit) capacity() float64 { return l.Burst + tolerancePart*l.Tolerated }

// tolerancePart is the part of the tolerated tokens that the leader's bucket holds beyond the burst.
// The rest is for the time until the leader notices that instances are cut off, and for the random
// arrivals at instances that use their shares.
const tolerancePart = 0.4

// Tolerated returns the tokens that may be used beyond rate and burst in any window, if that is the
// overage, a part of what they allow there, and the slack.
func Tolerated(perSecond, burst float64, window time.Duration, overage, slack float64) float64 {
	return overage*(perSecond*window.Seconds()+burst) + slack
}

// A tokenBucket holds the tokens of one workspace.
type tokenBucket struct {
	limit  Limit
	tokens float64
	at     time.Duration
	// granted sums the tokens granted to all instances in the window, grantedTo those of each entry
	// instance.
	granted   windowSum
	grantedTo map[string]*windowSum
	// silent holds the local shares, in tokens a second, of entry instances that may be cut off.
	silent map[string]float64
	// refusedAt is when a request was last refused; refused is false if none was.
	refusedAt time.Duration
	refused   bool
}

// maxTokenBuckets bounds the buckets of workspaces. Beyond it those that are full are dropped,
// which changes nothing.
const maxTokenBuckets = 16_384

// NewTokens returns Tokens without buckets. limits may be nil, and the limits are then those of the
// requests. instances returns the number of entry instances; it may be nil if none use local shares.
func NewTokens(l Leadership, limits LimitSource, instances func() int, now func() time.Duration) *Tokens {
	if limits == nil {
		limits = func(string) Limit { return Limit{} }
	}
	if instances == nil {
		instances = func() int { return 0 }
	}
	return &Tokens{leadership: l, limits: limits, instances: instances, now: now, buckets: map[string]*tokenBucket{}, requesters: map[string]*requester{}}
}

// Taken returns the number of requests for tokens that were granted, Refused that of the others.
func (t *Tokens) Taken() int64 { return t.taken.Load() }

// Refused returns the number of requests for tokens that were refused.
func (t *Tokens) Refused() int64 { return t.refused.Load() }

// Take answers a request for tokens. An amount above the burst needs a full bucket. The bucket
// may become negative, so that the rate holds for amounts of any size.
func (t *Tokens) Take(request *peer.TokenRequest) *peer.TokenResponse {
	term, leading := t.leadership.Leading()
	if !leading || !validTokens(request) {
		return &peer.TokenResponse{Leader: t.leadership.LeaderAddress()}
	}
	limit := Limit{PerSecond: request.PerSecond, Burst: request.Burst, Version: request.Version}
	if own := t.limits(request.Bucket); own.Version > 0 && own.Version >= limit.Version {
		limit = own
	}
	response := t.take(term, limit, request)
	// A leader that lost its lease meanwhile must not have granted anything.
	if now, still := t.leadership.Leading(); !still || now != term {
		return &peer.TokenResponse{Leader: t.leadership.LeaderAddress()}
	}
	if response.Taken {
		t.taken.Add(1)
	} else {
		t.refused.Add(1)
	}
	return response
}

// validTokens reports whether the numbers of the request can be computed with.
func validTokens(r *peer.TokenRequest) bool {
	for _, n := range []float64{r.Amount, r.Returned, r.Charged, r.PerSecond, r.Burst} {
		if !(n >= 0) || math.IsInf(n, 0) {
			return false
		}
	}
	return r.PerSecond > 0 && r.Burst > 0
}

func (t *Tokens) take(term uint64, limit Limit, request *peer.TokenRequest) *peer.TokenResponse {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	t.enter(term, now)
	t.heard(request.Incarnation, now)
	instances := t.count()
	response := &peer.TokenResponse{Current: true, Term: term, Instances: int32(instances)}
	if !limit.limited() {
		delete(t.buckets, request.Bucket)
		response.Taken = true
		return response
	}
	b := t.bucket(request.Bucket, limit, now)
	b.refill(limit, now)
	if request.Term == term {
		b.tokens = min(limit.capacity(), b.tokens+request.Returned)
		b.count(request.Incarnation, -request.Returned, now)
	}
	b.spend(request.Incarnation, request.Charged, now)
	response.ShareScale, response.Level = b.shareScale(instances, now), max(0, b.tokens)
	if missing := min(request.Amount, limit.Burst) - b.tokens; missing > 0 {
		if request.Amount > 0 {
			b.refusedAt, b.refused = now, true
		}
		response.WaitMs = int64(min(missing/b.rate(), maxTokenWait.Seconds()) * 1000)
		return response
	}
	b.spend(request.Incarnation, request.Amount, now)
	response.Taken = true
	if a := b.tokens * allowancePart / max(1, float64(instances)); request.Incarnation != "" && request.Amount > 0 && a >= request.Amount {
		b.spend(request.Incarnation, a, now)
		response.Allowance = a
	}
	response.Level = max(0, b.tokens)
	return response
}

const (
	// allowancePart is the part of a bucket that allowances of all instances together take.
	allowancePart = 0.125
	// allowanceTime is how long an allowance may be spent. A lowered limit takes effect after it.
	allowanceTime = time.Second
	// maxTokenWait bounds the time after which tokens are said to be available.
	maxTokenWait = time.Minute
	// minRefillPart is the least part of the rate at which a bucket refills, however many instances
	// may be cut off: the share of an instance that is not.
	minRefillPart = 0.01
)

// Observe tells the Tokens the time at which each entry instance last contacted this control
// instance, and keeps up with terms and with instances that fall silent. It is called regularly.
func (t *Tokens) Observe(contacts map[string]time.Duration) {
	term, leading := t.leadership.Leading()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	switch {
	case leading:
		t.enter(term, now)
	case term != t.term:
		t.enter(0, now)
	}
	t.observe(contacts, now)
}

// enter drops the state of earlier terms. t.mutex must be held.
func (t *Tokens) enter(term uint64, now time.Duration) {
	if term == t.term {
		return
	}
	t.term, t.began, t.buckets = term, now, map[string]*tokenBucket{}
}

// bucket returns the bucket of the workspace. t.mutex must be held.
func (t *Tokens) bucket(name string, limit Limit, now time.Duration) *tokenBucket {
	b := t.buckets[name]
	if b == nil {
		t.makeRoom(now)
		b = &tokenBucket{limit: limit, at: t.began, grantedTo: map[string]*windowSum{}, silent: map[string]float64{}}
		t.buckets[name] = b
		b.refill(limit, now)
		t.markSilent(b, now)
	}
	return b
}

// makeRoom drops full buckets that nobody used for a while if there are too many. t.mutex must be
// held.
func (t *Tokens) makeRoom(now time.Duration) {
	if len(t.buckets) < maxTokenBuckets {
		return
	}
	for name, b := range t.buckets {
		if now-b.at > bucketTTL && b.tokens+b.rate()*(now-b.at).Seconds() >= b.limit.capacity() {
			delete(t.buckets, name)
		}
	}
}

// refill adds what has accrued and applies the limit.
func (b *tokenBucket) refill(limit Limit, now time.Duration) {
	b.tokens = min(limit.capacity(), b.tokens+b.rate()*max(0, (now-b.at).Seconds()))
	b.at, b.limit = now, limit
}

// rate returns the rate at which the bucket refills: that of the limit, less what instances that
// may be cut off use of it.
func (b *tokenBucket) rate() float64 {
	left := b.limit.PerSecond
	for _, share := range b.silent {
		left -= share
	}
	return max(minRefillPart*b.limit.PerSecond, left)
}

func (b *tokenBucket) spend(incarnation string, amount float64, now time.Duration) {
	b.tokens -= amount
	b.count(incarnation, amount, now)
}

func (b *tokenBucket) count(incarnation string, amount float64, now time.Duration) {
	if incarnation == "" || amount == 0 {
		return
	}
	b.granted.add(amount, now)
	if b.grantedTo[incarnation] == nil {
		b.grantedTo[incarnation] = &windowSum{}
	}
	b.grantedTo[incarnation].add(amount, now)
}

// shareScale returns the factor of the local shares: the shares of the instances that were granted
// tokens in the window make up their part of all instances, and each of the others has an equal share.
func (b *tokenBucket) shareScale(instances int, now time.Duration) float64 {
	total, active := b.granted.sum(now), 0
	for _, s := range b.grantedTo {
		if s.sum(now) > 0 {
			active++
		}
	}
	if total <= 0 || instances <= 0 {
		return 0
	}
	return min(1, float64(active)/float64(instances)) / total
}

// share returns the part of a rate that an instance uses while it gets no answer: the tokens
// granted to it, scaled, or an equal share if there were none.
func share(granted, scale float64, instances int) float64 {
	if granted > 0 && scale > 0 {
		return min(1, granted*scale)
	}
	return 1 / max(1, float64(instances))
}
