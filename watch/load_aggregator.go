package watch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/peer"
)

// loadReportTTL is how long an entry instance's load report counts without being
// renewed.
const loadReportTTL = time.Second

// A LoadAggregator holds the load of each entry instance, as last reported to
// this control instance: the tokens and requests in flight by target. It is safe
// for concurrent use.
type LoadAggregator struct {
	mutex sync.Mutex
	// reports holds the latest report by incarnation.
	reports map[string]loadReport
}

// A loadReport is the load of one entry instance and when it was received.
type loadReport struct {
	load []*peer.TargetWork
	at   time.Duration
}

// NewLoadAggregator returns an aggregator without reports.
func NewLoadAggregator() *LoadAggregator { return &LoadAggregator{reports: map[string]loadReport{}} }

// Exchange stores the load of the requesting entry instance and returns the summed
// load of all others, sorted by target.
func (a *LoadAggregator) Exchange(request *peer.ShareRequest) *peer.ShareResponse {
	now := clock.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.reports[request.Incarnation] = loadReport{request.Work, now}
	sums := map[string]*peer.TargetWork{}
	for incarnation, report := range a.reports {
		if now-report.at > loadReportTTL {
			delete(a.reports, incarnation)
			continue
		}
		if incarnation == request.Incarnation {
			continue
		}
		for _, w := range report.load {
			sum := sums[w.Target]
			if sum == nil {
				sum = &peer.TargetWork{Target: w.Target}
				sums[w.Target] = sum
			}
			sum.Tokens += w.Tokens
			sum.Requests += w.Requests
		}
	}
	response := &peer.ShareResponse{}
	for _, sum := range sums {
		response.Work = append(response.Work, sum)
	}
	slices.SortFunc(response.Work, func(a, b *peer.TargetWork) int { return cmp.Compare(a.Target, b.Target) })
	return response
}
