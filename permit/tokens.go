package permit

import (
	"sync"
	"time"

	"auburnscale/peer"
)

// Tokens holds the buckets of the workspaces' limits, if its voter leads. A bucket begins full
// in each term, so that a change of the leader lets through one burst more. It is safe for
// concurrent use.
type Tokens struct {
	leadership Leadership
	now        func() time.Duration

	mutex   sync.Mutex
	term    uint64
	buckets map[string]*bucket
}

// maxTokenBuckets bounds the buckets of workspaces. Beyond it those that are full are dropped,
// which changes nothing.
const maxTokenBuckets = 16_384

// NewTokens returns Tokens without buckets.
func NewTokens(l Leadership, now func() time.Duration) *Tokens {
	return &Tokens{leadership: l, now: now, buckets: map[string]*bucket{}}
}

// Take answers a request for tokens. An amount above the burst needs a full bucket. The bucket
// may become negative, so that the rate holds for amounts of any size.
func (t *Tokens) Take(request *peer.TokenRequest) *peer.TokenResponse {
	term, leading := t.leadership.Leading()
	if !leading || !(request.PerSecond > 0) || !(request.Burst > 0) || !(request.Amount >= 0) {
		return &peer.TokenResponse{Leader: t.leadership.LeaderAddress()}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if term != t.term {
		t.term, t.buckets = term, map[string]*bucket{}
	}
	now, b := t.now(), t.bucket(request)
	b.tokens = min(request.Burst, b.tokens+request.PerSecond*max(0, (now-b.at).Seconds()))
	b.at = now
	if missing := min(request.Amount, request.Burst) - b.tokens; missing > 0 {
		return &peer.TokenResponse{Current: true, WaitMs: int64(missing / request.PerSecond * 1000)}
	}
	b.tokens -= request.Amount
	return &peer.TokenResponse{Current: true, Taken: true}
}

// bucket returns the bucket of the request. t.mutex must be held.
func (t *Tokens) bucket(request *peer.TokenRequest) *bucket {
	b := t.buckets[request.Bucket]
	if b == nil {
		t.makeRoom()
		b = &bucket{tokens: request.Burst, at: t.now()}
		t.buckets[request.Bucket] = b
	}
	return b
}

// makeRoom drops buckets that nobody used for a while if there are too many. t.mutex must be
// held.
func (t *Tokens) makeRoom() {
	if len(t.buckets) < maxTokenBuckets {
		return
	}
	now := t.now()
	for name, b := range t.buckets {
		if now-b.at > bucketTTL {
			delete(t.buckets, name)
		}
	}
}
