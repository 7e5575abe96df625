package serve

import (
	"fmt"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburnscale/catalog"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/plan"
	"auburnscale/settings"
	"auburnscale/watch"
)

const (
	// maxDemandAge is the age of a report of demand up to which orders are derived from it.
	maxDemandAge = 2 * time.Second
	// firstOrderWait is how long the first orders of a service wait for its demand. The initial targets serve
	// meanwhile; orders by their number would be taken back when the demand is known.
	firstOrderWait = 3 * time.Second
)

// A scaler decides which plan orders the targets of a service: that by demand, or that by the number of
// initial targets. It must not be used concurrently.
type scaler struct {
	mode    string
	demand  func() watch.DemandSum
	entries func() int
	metrics tally.Scope
	logger  *event.Logger

	plans map[string]*plan.DemandPlan
	// waitingSince is when the first orders of a service were put off.
	waitingSince map[string]time.Duration
}

// newScaler returns a scaler with the mode of policy.scaling. The functions return the demand of all
// services and the number of live entry instances.
func newScaler(mode string, demand func() watch.DemandSum, entries func() int, metrics tally.Scope, logger *event.Logger) *scaler {
	return &scaler{mode: mode, demand: demand, entries: entries, metrics: metrics, logger: logger, plans: map[string]*plan.DemandPlan{}, waitingSince: map[string]time.Duration{}}
}

// A scaleInput holds what the orders for a service depend on, apart from its demand.
type scaleInput struct {
	service    *catalog.Service
	throughput plan.Throughput
	counts     map[string]plan.TargetCounts
	last       map[plan.Pool]plan.ScaleOrder
	// lastByDemand is true if the last orders were derived from demand.
	lastByDemand bool
	starting     func(domain string) bool
	// inFlight reports whether an order was issued and may not be among the last ones yet.
	inFlight func(plan.ScaleOrder) bool
	// statesSpeed reports whether the service's targets state their speed, as far as that is known without demand.
	statesSpeed func() bool
	term        uint64
}

// orders returns the orders that differ from the last ones, and whether they are derived from demand. A
// service whose last orders were keeps that plan: without fresh demand it gets no orders.
func (s *scaler) orders(in scaleInput, now time.Duration) (orders []plan.ScaleOrder, byDemand bool) {
	if s.mode == settings.ScalingInitial || in.service.Scaling == nil {
		return plan.ScaleOrders(in.service, in.counts, in.last, in.starting), false
	}
	sum := s.demand()
	known := sum.Services[in.service.Name]
	if sum.Age > maxDemandAge {
		known = nil
	}
	ofDemand := s.mode == settings.ScalingDemand || in.lastByDemand || known != nil && known.SpeedStated
	if ofDemand {
		return s.ordersByDemand(in, known, sum.Entries, now), true
	}
	if known == nil && len(in.last) == 0 {
		if in.statesSpeed() {
			return s.ordersByDemand(in, nil, 0, now), true
		}
		if s.waits(in.service.Name, now) {
			return nil, false
		}
	}
	return plan.ScaleOrders(in.service, in.counts, in.last, in.starting), false
}

// waits reports whether the first orders for the service wait for its demand.
func (s *scaler) waits(service string, now time.Duration) bool {
	since, waiting := s.waitingSince[service]
	if !waiting {
		since = now
		s.waitingSince[service] = now
	}
	return now-since < firstOrderWait
}

// ordersByDemand returns the orders of the service's demand plan. known is nil if there is no fresh demand;
// reporting is the number of entry instances whose demand it includes.
func (s *scaler) ordersByDemand(in scaleInput, known *peer.ServiceDemand, reporting int, now time.Duration) []plan.ScaleOrder {
	p := s.plans[in.service.Name]
	if p == nil {
		p = plan.NewDemandPlan()
		s.plans[in.service.Name] = p
	}
	demand := demandOf(known, reporting, s.entries())
	decision := p.Decide(now, plan.DemandInput{
		Service: in.service, Throughput: in.throughput, Counts: in.counts, Last: in.last, Starting: in.starting, Demand: demand, Term: in.term,
	})
	decision.Orders = slices.DeleteFunc(decision.Orders, in.inFlight)
	if demand != nil {
		s.report(in, decision, reporting)
	}
	return decision.Orders
}

// demandOf returns the demand to plan for, or nil if none is known. An entry instance that changes the
// control instance to which it reports counts twice for two seconds; the sum is then reduced to the live
// entry instances.
func demandOf(d *peer.ServiceDemand, reporting, live int) *plan.Demand {
	if d == nil {
		return nil
	}
	scale := 1.0
	if reporting > live && live > 0 {
		scale = float64(live) / float64(reporting)
	}
	scaled := func(f float32) float64 { return scale * float64(f) }
	return &plan.Demand{
		Requests: scaled(d.Requests), PromptTokens: scaled(d.PromptTokens), PrefillTokens: scaled(d.PrefillTokens), PrefillSquares: scaled(d.PrefillSquares),
		Running: scaled(d.Running), EntryMean: scaled(d.PrefillMean), EntryPeak: scaled(d.PrefillPeak), RunningPeak: scaled(d.RunningPeak),
		PrefillRate: float64(d.PrefillRate), Complete: reporting >= live,
	}
}

// report sets the gauges of the service's plan, and logs a decision that changes something.
func (s *scaler) report(in scaleInput, d plan.DemandDecision, reporting int) {
	scope := s.metrics.Tagged(map[string]string{"service": in.service.Name})
	scope.Gauge("scale_demand_tokens").Update(d.Outlook.Mean)
	scope.Gauge("scale_planned_tokens").Update(d.Outlook.Planned)
	scope.Gauge("scale_target_tokens").Update(d.Outlook.PrefillRate)
	scope.Gauge("scale_targets_steady").Update(d.Need.Steady)
	scope.Gauge("scale_targets_reduced").Update(d.Need.Reduced)
	scope.Gauge("scale_targets_total").Update(float64(d.Need.Total))
	scope.Gauge("scale_targets_expected").Update(float64(d.Expected))
	scope.Gauge("scale_entries").Update(float64(reporting))
	if len(d.Orders) == 0 {
		return
	}
	scope.Counter("scale_decisions").Inc(1)
	s.logger.Log(event.ScaleDecided, zap.String("service", in.service.Name), zap.Strings("orders", orderTexts(in, d.Orders)),
		zap.Float64("mean_tokens", d.Outlook.Mean), zap.Float64("peak_tokens", d.Outlook.Peak), zap.Float64("planned_tokens", d.Outlook.Planned),
		zap.Float64("prompt_tokens", d.Outlook.Prompt), zap.Float64("growth", d.Outlook.Growth), zap.Float64("running", d.Outlook.RunningPlanned), zap.Float64("target_tokens", d.Outlook.PrefillRate),
		zap.Float64("steady", d.Need.Steady), zap.Float64("reduced", d.Need.Reduced), zap.Int("total", d.Need.Total),
		zap.Int("expected", d.Expected), zap.Int("targets", d.Running), zap.Strings("missing", d.Missing), zap.Int("entries", reporting), zap.Int("entries_live", s.entries()))
}

// orderTexts returns the orders as "DOMAIN KIND BEFORE AFTER".
func orderTexts(in scaleInput, orders []plan.ScaleOrder) []string {
	var texts []string
	for _, o := range orders {
		kind, before := "regular", in.counts[o.Pool.FailureDomain].Regular
		if o.Pool.Reclaimable {
			kind, before = "reclaimable", 0
		}
		if last, ok := in.last[o.Pool]; ok {
			before = last.Count
		}
		texts = append(texts, fmt.Sprintf("%s %s %d %d", o.Pool.FailureDomain, kind, before, o.Count))
	}
	return texts
}

// throughputOf returns what a target of the service can do, as its rows and the configuration state.
func throughputOf(service *catalog.Service, objective time.Duration, rows []*peer.TargetRow) plan.Throughput {
	t := plan.Throughput{Objective: objective}
	slots := 0
	for _, row := range rows {
		slots += int(row.Slots)
		t.Staged = t.Staged || row.Stage != peer.TargetRow_STAGE_UNSPECIFIED
	}
	if len(rows) > 0 {
		t.Slots = slots / len(rows)
	}
	if service.Engine != nil && service.Engine.Slots > 0 {
		t.Slots = service.Engine.Slots
	}
	return t
}

// objectiveOf returns the shortest latency objective of the routes that stream from the service, or 0 if
// none states one.
func objectiveOf(configuration *catalog.Snapshot, service string) time.Duration {
	least := time.Duration(0)
	routes := configuration.Routes()
	for i := range routes {
		r := &routes[i]
		if r.RequestKind != catalog.Streaming || r.LatencyObjective <= 0 {
			continue
		}
		for _, share := range r.Shares {
			if share.Service == service && share.Weight > 0 && (least == 0 || r.LatencyObjective < least) {
				least = r.LatencyObjective
			}
		}
	}
	return least
}
