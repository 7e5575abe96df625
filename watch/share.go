package watch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/peer"
)

// shareLife is how long an entry instance's work counts without a word from it.
const shareLife = time.Second

// A Pool represents the work that entry instances have in flight, as they told
// this control instance lately.
type LoadAggregator struct {
	mutex  sync.Mutex
	shares map[string]share
}

type share struct {
	work []*peer.TargetWork
	at   time.Duration
}

// NewPool returns an empty pool.
func NewLoadAggregator() *LoadAggregator { return &LoadAggregator{shares: map[string]share{}} }

// Share takes an entry instance's work and returns that of all others.
func (p *LoadAggregator) Exchange(request *peer.ShareRequest) *peer.ShareResponse {
	now := clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shares[request.Incarnation] = share{request.Work, now}
	sums := map[string]*peer.TargetWork{}
	for incarnation, s := range p.shares {
		if now-s.at > shareLife {
			delete(p.shares, incarnation)
			continue
		}
		if incarnation == request.Incarnation {
			continue
		}
		for _, w := range s.work {
			sum := sums[w.Target]
			if sum == nil {
				sum = &peer.TargetWork{Target: w.Target}
				sums[w.Target] = sum
			}
			sum.Tokens += w.Tokens
			sum.Requests += w.Requests
		}
	}
	answer := &peer.ShareResponse{}
	for _, sum := range sums {
		answer.Work = append(answer.Work, sum)
	}
	slices.SortFunc(answer.Work, func(a, b *peer.TargetWork) int { return cmp.Compare(a.Target, b.Target) })
	return answer
}
