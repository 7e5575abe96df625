package watch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"auburnscale/clock"
	"auburnscale/peer"
)

// demandTTL is how long an instance's report of demand counts without being renewed. It covers four
// reports.
const demandTTL = 2 * time.Second

// A demandReport is the demand that one instance reported and when it was received.
type demandReport struct {
	demand []*peer.ServiceDemand
	at     time.Duration
}

// A DemandSum is the demand of all entry instances whose reports reach this control instance.
type DemandSum struct {
	// Entries is the number of entry instances in the sum.
	Entries int
	// Age is the age of the oldest report in the sum.
	Age time.Duration
	// Services holds the sums by service. Their means and peaks are sums of those of the instances;
	// such a peak is an upper bound.
	Services map[string]*peer.ServiceDemand
}

// exchangeDemand stores the demand that the requester reports, and adds to the response for a control
// instance that of the entry instances that report here. a.mutex must be held.
func (a *LoadAggregator) exchangeDemand(request *peer.ShareRequest, response *peer.ShareResponse, now time.Duration) {
	if request.Control {
		a.demandOfControls[request.Incarnation] = demandReport{request.Demand, now}
		response.Demand = a.localDemandLocked(now)
		return
	}
	if len(request.Demand) > 0 {
		a.demandOfEntries[request.Incarnation] = demandReport{request.Demand, now}
	}
}

// localDemand returns the summed demand at the entry instances that report here.
func (a *LoadAggregator) localDemand() []*peer.ServiceDemand {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.localDemandLocked(clock.Now())
}

// localDemandLocked is localDemand. a.mutex must be held.
func (a *LoadAggregator) localDemandLocked(now time.Duration) []*peer.ServiceDemand {
	sum := newDemandSum()
	sum.addAll(a.demandOfEntries, now)
	if sum.Entries == 0 {
		return nil
	}
	list := []*peer.ServiceDemand{{Entries: uint32(sum.Entries), AgeMs: sum.Age.Milliseconds()}}
	for _, d := range sum.Services {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *peer.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// demandNeeded reports whether other control instances need the demand that entry instances report
// here: targets of a service state their speed.
func (a *LoadAggregator) demandNeeded() bool {
	return slices.ContainsFunc(a.localDemand(), func(d *peer.ServiceDemand) bool { return d.SpeedStated })
}

// Demand returns the demand of all entry instances whose reports reach this control instance, directly
// or summed by another one.
func (a *LoadAggregator) Demand() DemandSum {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := clock.Now()
	sum := newDemandSum()
	sum.addAll(a.demandOfEntries, now)
	sum.addAll(a.demandOfControls, now)
	return sum
}

func newDemandSum() DemandSum { return DemandSum{Services: map[string]*peer.ServiceDemand{}} }

// addAll adds the reports and removes outdated ones from the map.
func (s *DemandSum) addAll(reports map[string]demandReport, now time.Duration) {
	for incarnation, report := range reports {
		age := now - report.at
		if age > demandTTL {
			delete(reports, incarnation)
			continue
		}
		for _, d := range report.demand {
			s.add(d, age+peer.Age(d.AgeMs))
		}
	}
}

// maxDemandEntries bounds the number of entry instances that a report states.
const maxDemandEntries = 1 << 16

func (s *DemandSum) add(d *peer.ServiceDemand, age time.Duration) {
	if d.Service == "" {
		s.Entries += int(min(d.Entries, maxDemandEntries))
		s.Age = max(s.Age, age)
		return
	}
	sum := s.Services[d.Service]
	if sum == nil {
		sum = &peer.ServiceDemand{Service: d.Service}
		s.Services[d.Service] = sum
	}
	if requests := figure(sum.Requests) + figure(d.Requests); requests > 0 {
		sum.PrefillRate = (sum.PrefillRate*sum.Requests + figure(d.PrefillRate)*figure(d.Requests)) / requests
	}
	sum.Requests += figure(d.Requests)
	sum.PromptTokens += figure(d.PromptTokens)
	sum.PrefillTokens += figure(d.PrefillTokens)
	sum.PrefillSquares += figure(d.PrefillSquares)
	sum.OutputTokens += figure(d.OutputTokens)
	sum.Running += figure(d.Running)
	sum.PrefillMean += figure(d.PrefillMean)
	sum.PrefillPeak += figure(d.PrefillPeak)
	sum.RunningPeak += figure(d.RunningPeak)
	sum.SpeedStated = sum.SpeedStated || d.SpeedStated
	sum.Entries += min(d.Entries, maxDemandEntries)
}

// maxFigure bounds a figure of a report, so that sums of them are finite.
const maxFigure = 1e30

// figure returns a figure of another instance's report, or 0 if it cannot be one.
func figure(f float32) float32 {
	if math.IsNaN(float64(f)) || f < 0 {
		return 0
	}
	return min(f, maxFigure)
}
