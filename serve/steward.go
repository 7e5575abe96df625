package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"auburnscale/authority"
	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/plan"
	"auburnscale/platform"
	"auburnscale/roster"
	"auburnscale/voter"
)

const (
	purchaseKind = "purchase"
	stageKind    = "stage"
	// stewardInterval is the time between two looks at the fleet.
	stewardInterval = 200 * time.Millisecond
	// settleTime is how long the fleet must look the same before engines change
	// their stage: starts and restarts come in groups.
	settleTime = 800 * time.Millisecond
	// orderAgain is when an order that has not taken effect is given once more.
	orderAgain = 6 * time.Second
	// stageAgain is when an engine that was ordered is looked at once more. It
	// exceeds the time after which a lost order may still be carried out.
	stageAgain = 15 * time.Second
	// startSlack is what a new target may take beyond its start time until it
	// is known.
	startSlack = 2500 * time.Millisecond
	// forgetTried is how long a try is remembered.
	forgetTried   = 5 * time.Minute
	reportTimeout = 500 * time.Millisecond
)

// A steward says which orders are wanted: purchases and stages. It implements
// authority.Planner.
type steward struct {
	voter    *voter.Voter
	roster   *roster.Roster
	document func() *catalog.Snapshot
	engines  *platform.EngineClient
	purchase bool
	logger   *event.Logger

	// announce is the time between two heartbeats of a target.
	announce time.Duration

	looked time.Duration
	// targets is the hash of the targets and their stages, which have been the
	// same since steady.
	targets uint64
	steady  time.Duration
	tried   map[string]time.Duration
	// ordered is when a failure domain was last ordered anything new.
	ordered map[string]time.Duration
}

// purchasePayload is the committed content of a purchase order.
type purchasePayload struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Count         int    `json:"count"`
	Reclaimable   bool   `json:"reclaimable"`
	Base          int    `json:"base"`
}

// stagePayload is the committed content of an order to an engine.
type stagePayload struct {
	Stage  peer.TargetRow_Stage `json:"stage"`
	Orders uint64               `json:"orders"`
}

// Wanted returns the orders to give now.
func (s *steward) Wanted() []authority.Action {
	now := clock.Now()
	if now-s.looked < stewardInterval {
		return nil
	}
	s.looked = now
	maps.DeleteFunc(s.tried, func(_ string, at time.Duration) bool { return now-at > forgetTried })
	configuration := s.document()
	if configuration == nil {
		return nil
	}
	snapshot := s.roster.Snapshot()
	s.noteTargets(snapshot, configuration, now)
	var actions []authority.Action
	services := configuration.Services()
	for i := range services {
		rows := snapshot.Service(services[i].Name)
		if s.purchase {
			actions = append(actions, s.purchases(&services[i], snapshot.Known(services[i].Name), now)...)
		}
		if services[i].Engine != nil && now-s.steady > settleTime {
			actions = append(actions, s.stages(rows, now)...)
		}
	}
	return actions
}

// noteTargets notes since when the targets and their stages have been the same.
// Other changes of the roster, such as silences, come and go all the time.
func (s *steward) noteTargets(snapshot *roster.Snapshot, configuration *catalog.Snapshot, now time.Duration) {
	h := xxhash.New()
	for _, service := range configuration.Services() {
		for _, row := range snapshot.Service(service.Name) {
			// A hash takes any number of bytes without an error.
			_, _ = fmt.Fprintf(h, "%s %d;", row.Id, row.Stage)
		}
	}
	if sum := h.Sum64(); sum != s.targets {
		s.targets, s.steady = sum, now
	}
}

func (s *steward) purchases(service *catalog.Service, rows []*peer.TargetRow, now time.Duration) []authority.Action {
	counts := plan.CountTargets(rows)
	last := s.lastOrders(service.Name)
	if len(last) == 0 && now-s.steady < s.announce/2 {
		// The first orders go by the targets present at first. Those announce
		// themselves within one heartbeat, one soon after the other.
		return nil
	}
	var actions []authority.Action
	starting := func(domain string) bool {
		at, ordered := s.ordered[service.Name+"/"+domain]
		return ordered && now-at < service.Scaling.StartupTime+startSlack
	}
	for _, o := range plan.ScaleOrders(service, counts, last, starting) {
		s.ordered[service.Name+"/"+o.Pool.FailureDomain] = now
		actions = append(actions, s.purchaseAction(o, now)...)
		delete(last, o.Pool)
	}
	for subject, o := range last {
		if subject.Reclaimable && counts[subject.FailureDomain].Reclaimable < o.Count {
			actions = append(actions, s.repeat(o, now)...)
		}
	}
	return actions
}

// repeat gives an order once more that has not taken effect.
func (s *steward) repeat(o plan.ScaleOrder, now time.Duration) []authority.Action {
	if at, tried := s.tried[purchaseKey(o)]; tried && now-at < orderAgain {
		return nil
	}
	return s.purchaseAction(o, now)
}

func purchaseTarget(s plan.Pool) string {
	return fmt.Sprintf("%s/%s/%s/%t", purchaseKind, s.Service, s.FailureDomain, s.Reclaimable)
}

func purchaseKey(o plan.ScaleOrder) string {
	return fmt.Sprintf("%s/%d", purchaseTarget(o.Pool), o.Count)
}

// lastOrders returns the last orders for the service, from the log.
func (s *steward) lastOrders(service string) map[plan.Pool]plan.ScaleOrder {
	last := map[plan.Pool]plan.ScaleOrder{}
	s.voter.Read(func(m *control.Machine) {
		for _, i := range m.Intents() {
			var p purchasePayload
			if i.Kind != purchaseKind || json.Unmarshal(i.Payload, &p) != nil || p.Service != service {
				continue
			}
			subject := plan.Pool{Service: p.Service, FailureDomain: p.FailureDomain, Reclaimable: p.Reclaimable}
			last[subject] = plan.ScaleOrder{Pool: subject, Count: p.Count, InitialCount: p.Base}
		}
	})
	return last
}

func (s *steward) purchaseAction(o plan.ScaleOrder, now time.Duration) []authority.Action {
	target := purchaseTarget(o.Pool)
	s.tried[purchaseKey(o)] = now
	payload, err := json.Marshal(purchasePayload{o.Pool.Service, o.Pool.FailureDomain, o.Count, o.Pool.Reclaimable, o.InitialCount})
	if err != nil {
		s.logger.Log(event.ActionRefused, zap.String("target", target), zap.Error(err))
		return nil
	}
	return []authority.Action{{ID: fmt.Sprintf("%s-%d-%d", target, s.term(), now.Milliseconds()), Target: target, Kind: purchaseKind, Payload: payload, Fenced: true}}
}

func (s *steward) term() uint64 { return s.voter.Status().Term() }

// stages returns orders for engines that should do another part. The engine's
// own report comes first: its heartbeat may be older than its last order.
func (s *steward) stages(rows []*peer.TargetRow, now time.Duration) []authority.Action {
	var actions []authority.Action
	for _, change := range plan.StageChanges(rows) {
		if at, tried := s.tried[change.Target]; tried && now-at < stageAgain {
			continue
		}
		s.tried[change.Target] = now
		row := s.roster.Snapshot().Target(change.Target)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		report, err := s.engines.Report(ctx, row.Id, row.Address)
		cancel()
		if err != nil || report.Busy || report.Stage == change.Stage {
			s.logger.Log(event.ActionRefused, zap.String("target", change.Target), zap.Bool("busy", report.Busy), zap.Error(err))
			continue
		}
		payload, err := json.Marshal(stagePayload{change.Stage, report.AcceptedOrders})
		if err != nil {
			s.logger.Log(event.ActionRefused, zap.String("target", change.Target), zap.Error(err))
			continue
		}
		id := fmt.Sprintf("%s-%s-%d-%d", stageKind, change.Target, row.BornMs, report.AcceptedOrders)
		actions = append(actions, authority.Action{ID: id, Target: change.Target, Kind: stageKind, Payload: payload, Fenced: true})
	}
	return actions
}

// purchaseSender sends purchase orders.
type purchaseSender struct{ client *platform.LeaderTaskClient }

// Send sends the committed order.
func (s purchaseSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	var p purchasePayload
	if err := json.Unmarshal(payload, &p); err != nil {
		return 0, "", fmt.Errorf("decode order: %w", err)
	}
	body, err := platform.EncodeScaleOrder(platform.ScaleOrder{
		Service: p.Service, FailureDomain: p.FailureDomain, Count: p.Count, Reclaimable: p.Reclaimable,
	})
	if err != nil {
		return 0, "", err
	}
	return s.client.Order(ctx, epoch, body)
}

// stageSender sends orders to engines.
type stageSender struct {
	engines    *platform.EngineClient
	roster     *roster.Roster
	switchTime func(service string) time.Duration
}

// switchSlack is what an engine may take beyond its switching time until its
// heartbeat says that it is back: running work comes first, and may be long.
const switchSlack = 6 * time.Second

// Send sends the committed order to the engine that it was meant for.
func (s stageSender) Send(ctx context.Context, target string, epoch uint64, payload []byte) (int, string, error) {
	var p stagePayload
	if err := json.Unmarshal(payload, &p); err != nil {
		return 0, "", fmt.Errorf("decode order: %w", err)
	}
	row := s.roster.Snapshot().Target(target)
	if row == nil || row.State != peer.TargetRow_READY {
		return statusGone, "the engine left", nil
	}
	status, detail, err := s.engines.SetStage(ctx, target, row.Address, epoch, platform.StageOrder{Stage: p.Stage, ExpectedOrders: p.Orders})
	if err == nil && status == http.StatusAccepted {
		s.roster.SetAway(target, s.switchTime(row.Service)+switchSlack)
	}
	return status, detail, err
}
