package watch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnscale/clock"
	"auburnscale/peer"
)

const (
	// minExchangeInterval is the time between two exchanges in a small fleet. It
	// is about the time that the prefill of a prompt takes.
	minExchangeInterval = 80 * time.Millisecond
	// exchangeIntervalPerEntry lengthens the interval with the number of entry
	// instances that report to the same control instance, which bounds its request
	// rate.
	exchangeIntervalPerEntry = 4 * time.Millisecond
	exchangeTimeout          = 300 * time.Millisecond
	// minUrgentInterval is the least time between two exchanges. A target that crashes breaks
	// off many streams at once.
	minUrgentInterval = 20 * time.Millisecond
	// maxSharedEntries is the largest number of entry instances that all report to one
	// control instance. In a larger fleet each reports to one in its failure domain, and
	// the control instances exchange sums.
	maxSharedEntries = 60
	// exchangeBackoff is how long a control instance that did not respond is
	// skipped in favor of the next one.
	exchangeBackoff = 2 * time.Second
)

// A LoadSource supplies the load that a LoadExchanger sends and takes the load
// that it receives.
type LoadSource interface {
	// OwnLoad returns the load that this instance has in flight, by target.
	OwnLoad() []*peer.TargetWork
	// SetOtherLoad takes the load that all other entry instances have in flight, or
	// nil if it is unknown.
	SetOtherLoad([]*peer.TargetWork)
	// TakeHeldBlocks returns the prompt blocks that this instance saw targets hold since
	// the last call.
	TakeHeldBlocks() []*peer.HeldBlock
	// AddHeldBlocks takes the blocks that other instances saw targets hold.
	AddHeldBlocks([]*peer.HeldBlock)
	// LimitReports returns the rate limits that this instance has observed since the last call,
	// or all known limits.
	LimitReports(all bool) []*peer.TargetLimit
	// MergeLimits takes the limits that other instances know.
	MergeLimits([]*peer.TargetLimit)
	// OriginReport returns the origins of streams of which the control instances lack news, or all. A
	// call of EndOriginReport follows, with the incarnation of the control instance that took
	// the report, or an empty string.
	OriginReport(all bool) []*peer.StreamOrigins
	EndOriginReport(server string)
	// OriginReportUrgent returns a channel that receives when such a report must not wait.
	OriginReportUrgent() <-chan struct{}
	// DemandReport returns what callers demand of the services at this instance, or nil if that was
	// reported shortly before.
	DemandReport() []*peer.ServiceDemand
	// TakeCostClasses returns what this instance observed of requests since the last call.
	TakeCostClasses() []*peer.CostClass
	// AddCostClasses takes what all instances observed of some classes of requests.
	AddCostClasses([]*peer.CostClass)
	// Entries returns the number of entry instances.
	Entries() int
}

// A LoadExchanger periodically exchanges an entry instance's load with the other
// entry instances. In a small fleet all of them use the same control instance as long as
// they can reach it, in a large one those of a failure domain.
type LoadExchanger struct {
	incarnation string
	domain      string
	controls    Controls
	dialer      Dialer
	source      LoadSource
	// backoffUntil is, by address, when a control instance that did not respond
	// is used again, on clock.Now.
	backoffUntil map[string]time.Duration
	// unsent holds the blocks that no control instance has received yet. server and seen
	// are those of the last response.
	unsent []*peer.HeldBlock
	server string
	seen   uint64
	// limitsSeen is the position in the limits of the server. reportAll is set if it may lack
	// limits that were reported before.
	limitsSeen uint64
	reportAll  bool

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// Controls gives the control instances that are known.
type Controls interface {
	// Addresses returns their peer addresses.
	Addresses() []string
	// Domains returns the failure domains, by peer address, of those that responded.
	Domains() map[string]string
}

// NewLoadExchanger returns an exchanger of an entry instance in the failure domain.
func NewLoadExchanger(incarnation, domain string, controls Controls, dialer Dialer, source LoadSource) *LoadExchanger {
	return &LoadExchanger{
		incarnation: incarnation, domain: domain, controls: controls, dialer: dialer, source: source, backoffUntil: map[string]time.Duration{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the exchange loop in the background.
func (e *LoadExchanger) Start() { go e.run() }

// Stop ends the exchange loop and waits for it.
func (e *LoadExchanger) Stop() {
	e.stopOnce.Do(func() { close(e.stop) })
	<-e.done
}

func (e *LoadExchanger) run() {
	defer close(e.done)
	for {
		e.exchange()
		if !e.pause(exchangeInterval(e.source.Entries(), e.domains())) {
			return
		}
	}
}

// pause waits for the interval, or for less if a report must not wait. It returns false if the
// exchanger stops.
func (e *LoadExchanger) pause(interval time.Duration) bool {
	least := time.After(min(interval, minUrgentInterval))
	select {
	case <-e.stop:
		return false
	case <-least:
	}
	select {
	case <-e.stop:
		return false
	case <-e.source.OriginReportUrgent():
	case <-time.After(interval - min(interval, minUrgentInterval)):
	}
	return true
}

// reportsByDomain reports whether the entry instances of a fleet with that many report to
// control instances of their own failure domain.
func reportsByDomain(entries int) bool { return entries > maxSharedEntries }

// exchangeInterval returns the time between two exchanges in a fleet with the
// given number of entry instances and of failure domains that have a control instance.
func exchangeInterval(entries, domains int) time.Duration {
	if reportsByDomain(entries) {
		entries = (entries + domains - 1) / max(1, domains)
	}
	return max(minExchangeInterval, time.Duration(entries)*exchangeIntervalPerEntry)
}

// domains returns the number of failure domains that have a control instance.
func (e *LoadExchanger) domains() int {
	distinct := map[string]bool{}
	for _, domain := range e.controls.Domains() {
		distinct[domain] = true
	}
	return max(1, len(distinct))
}

// exchange sends the load of this instance and takes the load of the others, or
// nil if no control instance responded. It exchanges new held blocks and observed rate limits as
// well.
func (e *LoadExchanger) exchange() {
	e.unsent = append(e.unsent, e.source.TakeHeldBlocks()...)
	e.unsent = e.unsent[max(0, len(e.unsent)-maxHeldPerExchange):]
	address := e.chooseAddress(clock.Now())
	if address == "" {
		e.source.SetOtherLoad(nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	response, err := e.dialer.Peer(address).Share(ctx, &peer.ShareRequest{
		Incarnation: e.incarnation, Work: e.source.OwnLoad(), Held: e.unsent, Server: e.server, Seen: e.seen,
		Limits: e.source.LimitReports(e.reportAll), LimitsSeen: e.limitsSeen, Origins: e.source.OriginReport(e.reportAll), Demand: e.source.DemandReport(),
		Classes: e.source.TakeCostClasses(),
	})
	e.source.EndOriginReport(response.GetServer())
	if err != nil {
		e.reportAll = true
		// The watch client, which polls the same instance, logs the failure.
		e.backoffUntil[address] = clock.Now() + exchangeBackoff
		e.source.SetOtherLoad(nil)
		return
	}
	e.reportAll = response.Server != e.server
	e.unsent, e.server, e.seen, e.limitsSeen = nil, response.Server, response.Seen, response.LimitsSeen
	e.source.SetOtherLoad(response.Work)
	e.source.AddHeldBlocks(response.Held)
	e.source.MergeLimits(response.Limits)
	e.source.AddCostClasses(response.Classes)
}

// chooseAddress returns the first address that is not in backoff, or an empty string.
func (e *LoadExchanger) chooseAddress(now time.Duration) string {
	for _, a := range e.preferredAddresses() {
		if now > e.backoffUntil[a] {
			return a
		}
	}
	return ""
}

// preferredAddresses returns the control instances' addresses in the order in which they
// are tried. In a large fleet those of the own failure domain come first; the order of the
// others differs by domain, so that the entry instances of a domain that has no control
// instance left stay together, and those of several such domains do not.
func (e *LoadExchanger) preferredAddresses() []string {
	addresses := e.controls.Addresses()
	slices.Sort(addresses)
	if !reportsByDomain(e.source.Entries()) {
		return addresses
	}
	domains := e.controls.Domains()
	rank := func(address string) uint64 {
		if domains[address] == e.domain {
			return 0
		}
		return xxhash.Sum64String(e.domain + address)
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return addresses
}
