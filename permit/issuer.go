package permit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"auburnscale/peer"
)

// A Leadership reports whether this control instance leads.
type Leadership interface {
	// Leading returns the term, and whether this instance is its leader and holds its lease.
	Leading() (term uint64, ok bool)
	// LeaderAddress returns the peer address of the leader, or "" if it is not known.
	LeaderAddress() string
}

// An Issuer issues the permits, if its control instance leads. A bucket starts without tokens in
// each term: what an earlier leader issued is not known, so that a change of the leader can
// only delay permits. It is safe for concurrent use.
type Issuer struct {
	leadership Leadership
	book       *Book
	now        func() time.Duration

	mutex   sync.Mutex
	term    uint64
	buckets map[key]*bucket

	issued, refused atomic.Int64
}

// Issued returns the number of permits that were issued so far.
func (i *Issuer) Issued() int64 { return i.issued.Load() }

// Refused returns the number of permits that were refused so far.
func (i *Issuer) Refused() int64 { return i.refused.Load() }

// A bucket holds the tokens of one start of a target.
type bucket struct {
	tokens float64
	at     time.Duration
}

// bucketTTL is how long the bucket of a target is kept without requests for permits.
const bucketTTL = time.Minute

// NewIssuer returns an issuer that knows the limits of the book.
func NewIssuer(l Leadership, book *Book, now func() time.Duration) *Issuer {
	return &Issuer{leadership: l, book: book, now: now, buckets: map[key]*bucket{}}
}

// Issue answers a request for a permit.
func (i *Issuer) Issue(request *peer.PermitRequest) *peer.PermitResponse {
	term, leading := i.leadership.Leading()
	if !leading || request.Limit == nil {
		return &peer.PermitResponse{Leader: i.leadership.LeaderAddress()}
	}
	i.book.Merge(request.Limit)
	k := key{request.Limit.Target, request.Limit.Incarnation}
	response := &peer.PermitResponse{Current: true, Limit: i.book.message(k)}
	if response.Limit == nil || response.Limit.Ended {
		response.Issued = true
		return response
	}
	wait := i.take(term, k, response.Limit.PerSecond)
	response.Issued, response.WaitMs = wait == 0, wait.Milliseconds()
	// A leader that lost its lease meanwhile must not have issued anything.
	if now, still := i.leadership.Leading(); !still || now != term {
		return &peer.PermitResponse{Leader: i.leadership.LeaderAddress()}
	}
	if response.Issued {
		i.issued.Add(1)
	} else {
		i.refused.Add(1)
	}
	return response
}

// take takes a token of the target. If there is none it returns the time until there is one.
func (i *Issuer) take(term uint64, k key, perSecond float64) time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := i.now()
	if term != i.term {
		i.term, i.buckets = term, map[key]*bucket{}
	}
	b := i.buckets[k]
	if b == nil {
		i.removeIdle(now)
		b = &bucket{at: now}
		i.buckets[k] = b
	}
	perSecond = max(minPerSecond, perSecond)
	b.tokens = min(burst(perSecond), b.tokens+perSecond*max(0, (now-b.at).Seconds()))
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return max(minWait, time.Duration(math.Ceil((1-b.tokens)/perSecond*float64(time.Second))))
}

// removeIdle removes buckets that have not been used within bucketTTL. i.mutex must be held.
func (i *Issuer) removeIdle(now time.Duration) {
	for k, b := range i.buckets {
		if now-b.at > bucketTTL {
			delete(i.buckets, k)
		}
	}
}
