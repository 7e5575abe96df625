package watch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
)

// loadReportTTL is how long an instance's load report counts without being renewed.
const loadReportTTL = time.Second

// maxSpeedAge is the age up to which the speed of a target is passed on. Targets state another
// one after this time.
const maxSpeedAge = 600 * time.Millisecond

// meshDelay is how much older a speed may be than the requester's last exchange, to be passed on:
// it may have come late from another control instance. Older ones were passed on before.
const meshDelay = 200 * time.Millisecond

// A LoadAggregator holds the load that is in flight by target: of each entry instance
// that reports to this control instance, and of all those together that report to each
// other control instance. It also lists the prompt blocks that targets hold and the rate limits
// that targets name, as reported by them. It is safe for concurrent use.
type LoadAggregator struct {
	incarnation string
	limits      *permit.Book
	origins     *origin.Index

	mutex sync.Mutex
	held  heldBlocks
	costs costClasses
	// entries and controls hold the latest report by incarnation.
	entries  map[string]loadReport
	controls map[string]loadReport
	// demandOfEntries and demandOfControls hold the latest report of demand, likewise.
	demandOfEntries, demandOfControls map[string]demandReport
}

// A loadReport is the load that one instance reported and when it was received.
type loadReport struct {
	load []*peer.TargetWork
	at   time.Duration
}

// NewLoadAggregator returns an aggregator without reports, for a control instance with the
// incarnation that knows the limits of the book and the origins of the index.
func NewLoadAggregator(incarnation string, limits *permit.Book, origins *origin.Index) *LoadAggregator {
	return &LoadAggregator{incarnation: incarnation, limits: limits, origins: origins, held: newHeldBlocks(), costs: newCostClasses(), entries: map[string]loadReport{}, controls: map[string]loadReport{},
		demandOfEntries: map[string]demandReport{}, demandOfControls: map[string]demandReport{}}
}

// Exchange stores what the requester reports and returns the summed load, sorted by target,
// of all other entry instances, or for a control instance, of those that report here. It
// also returns the held blocks and the limits that the requester lacks.
func (a *LoadAggregator) Exchange(request *peer.ShareRequest) *peer.ShareResponse {
	a.origins.Report(request.Origins)
	now := clock.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sums := loadSums{}
	var last time.Duration
	if request.Control {
		last = a.controls[request.Incarnation].at
		a.controls[request.Incarnation] = loadReport{request.Work, now}
		sums.addAll(a.entries, "", now)
	} else {
		last = a.entries[request.Incarnation].at
		a.entries[request.Incarnation] = loadReport{request.Work, now}
		sums.addAll(a.entries, request.Incarnation, now)
		sums.addAll(a.controls, "", now)
	}
	sums.dropSpeeds(now - last + meshDelay)
	seen := request.Seen
	if request.Server != a.incarnation {
		seen = 0
	}
	a.held.add(request.Held, request.Incarnation, !request.Control)
	response := &peer.ShareResponse{Work: sums.sorted(), Server: a.incarnation}
	a.exchangeDemand(request, response, now)
	response.Held, response.Seen = a.held.since(seen, request.Incarnation, request.Control)
	a.costs.add(request.Classes)
	if !request.Control {
		response.Classes = a.costs.next(maxClassesPerResponse)
	}
	a.exchangeLimits(request, response)
	return response
}

// exchangeLimits merges the limits of the request and adds to the response those that the
// requester lacks.
func (a *LoadAggregator) exchangeLimits(request *peer.ShareRequest, response *peer.ShareResponse) {
	var corrections []*peer.TargetLimit
	for _, l := range request.Limits {
		if _, correction := a.limits.Merge(l); correction != nil {
			corrections = append(corrections, correction)
		}
	}
	seen := request.LimitsSeen
	if request.Server != a.incarnation {
		seen = 0
	}
	response.Limits, response.LimitsSeen = a.limits.Since(seen)
	response.Limits = append(response.Limits, corrections...)
}

// LimitsSince returns the limits that changed after the position, and the present position.
func (a *LoadAggregator) LimitsSince(position uint64) ([]*peer.TargetLimit, uint64) {
	return a.limits.Since(position)
}

// Local returns the summed load of the entry instances that report here, sorted by
// target, and the held blocks that they reported from the position on, with the position
// after them.
func (a *LoadAggregator) Local(position uint64) ([]*peer.TargetWork, []*peer.HeldBlock, uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sums := loadSums{}
	sums.addAll(a.entries, "", clock.Now())
	held, next := a.held.since(position, "", true)
	return sums.sorted(), held, next
}

// SetControl stores what another control instance, given by its address, responded of the
// entry instances that report to it.
func (a *LoadAggregator) SetControl(address string, response *peer.ShareResponse) {
	for _, l := range response.Limits {
		a.limits.Merge(l)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.controls[address] = loadReport{response.Work, clock.Now()}
	a.demandOfControls[address] = demandReport{response.Demand, clock.Now()}
	a.held.add(response.Held, address, false)
}

// loadSums holds summed load by target.
type loadSums map[string]*peer.TargetWork

// addAll adds the reports, except that of the given incarnation, and removes outdated
// ones from the map.
func (s loadSums) addAll(reports map[string]loadReport, except string, now time.Duration) {
	for incarnation, report := range reports {
		if now-report.at > loadReportTTL {
			delete(reports, incarnation)
			continue
		}
		if incarnation != except {
			s.add(report.load, now-report.at)
		}
	}
}

// add adds a report of the given age. Of several speeds of a target the latest is kept.
func (s loadSums) add(load []*peer.TargetWork, age time.Duration) {
	for _, w := range load {
		sum := s[w.Target]
		if sum == nil {
			sum = &peer.TargetWork{Target: w.Target}
			s[w.Target] = sum
		}
		sum.Tokens += w.Tokens
		sum.Requests += w.Requests
		sum.WorkUs += w.WorkUs
		if speedAge := max(0, w.SpeedAgeMs) + age.Milliseconds(); w.Speed > 0 && speedAge <= maxSpeedAge.Milliseconds() && (sum.Speed <= 0 || speedAge < sum.SpeedAgeMs) {
			sum.Speed, sum.SpeedAgeMs = w.Speed, speedAge
		}
	}
}

// dropSpeeds removes the speeds older than the limit, and the targets of which nothing else is
// known.
func (s loadSums) dropSpeeds(limit time.Duration) {
	for id, w := range s {
		if w.Speed > 0 && w.SpeedAgeMs > limit.Milliseconds() {
			w.Speed, w.SpeedAgeMs = 0, 0
		}
		if w.Speed == 0 && w.Requests == 0 && w.Tokens == 0 && w.WorkUs == 0 {
			delete(s, id)
		}
	}
}

func (s loadSums) sorted() []*peer.TargetWork {
	list := make([]*peer.TargetWork, 0, len(s))
	for _, w := range s {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *peer.TargetWork) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
