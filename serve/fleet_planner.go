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
	scaleKind = "purchase"
	stageKind = "stage"
	// stewardInterval is the time between two looks at the fleet.
	planInterval = 200 * time.Millisecond
	// settleTime is how long the fleet must look the same before engines change
	// their stage: starts and restarts come in groups.
	stageChangeDelay = 800 * time.Millisecond
	// orderAgain is when an order that has not taken effect is given once more.
	scaleRetryInterval = 6 * time.Second
	// stageAgain is when an engine that was ordered is looked at once more. It
	// exceeds the time after which a lost order may still be carried out.
	stageRetryInterval = 15 * time.Second
	// startSlack is what a new target may take beyond its start time until it
	// is known.
	startTimeSlack = 2500 * time.Millisecond
	// forgetTried is how long a try is remembered.
	attemptRetention    = 5 * time.Minute
	engineReportTimeout = 500 * time.Millisecond
)

// A steward says which orders are wanted: purchases and stages. It implements
// authority.Planner.
type fleetPlanner struct {
	voter          *voter.Voter
	roster         *roster.Roster
	configuration  func() *catalog.Snapshot
	engines        *platform.EngineClient
	scalingEnabled bool
	logger         *event.Logger

	// announce is the time between two heartbeats of a target.
	heartbeatInterval time.Duration

	lastPlanned time.Duration
	// targets is the hash of the targets and their stages, which have been the
	// same since steady.
	targetsHash    uint64
	unchangedSince time.Duration
	lastAttempts   map[string]time.Duration
	// ordered is when a failure domain was last ordered anything new.
	lastScaled map[string]time.Duration
}

// purchasePayload is the committed content of a purchase order.
type scalePayload struct {
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
func (s *fleetPlanner) Wanted() []authority.Action {
	now := clock.Now()
	if now-s.lastPlanned < planInterval {
		return nil
	}
	s.lastPlanned = now
	maps.DeleteFunc(s.lastAttempts, func(_ string, at time.Duration) bool { return now-at > attemptRetention })
	configuration := s.configuration()
	if configuration == nil {
		return nil
	}
	snapshot := s.roster.Snapshot()
	s.trackTargets(snapshot, configuration, now)
	var actions []authority.Action
	services := configuration.Services()
	for i := range services {
		rows := snapshot.Service(services[i].Name)
		if s.scalingEnabled {
			actions = append(actions, s.scaleActions(&services[i], snapshot.Known(services[i].Name), now)...)
		}
		if services[i].Engine != nil && now-s.unchangedSince > stageChangeDelay {
			actions = append(actions, s.stageActions(rows, now)...)
		}
	}
	return actions
}

// noteTargets notes since when the targets and their stages have been the same.
// Other changes of the roster, such as silences, come and go all the time.
func (s *fleetPlanner) trackTargets(snapshot *roster.Snapshot, configuration *catalog.Snapshot, now time.Duration) {
	h := xxhash.New()
	for _, service := range configuration.Services() {
		for _, row := range snapshot.Service(service.Name) {
			// A hash takes any number of bytes without an error.
			_, _ = fmt.Fprintf(h, "%s %d;", row.Id, row.Stage)
		}
	}
	if sum := h.Sum64(); sum != s.targetsHash {
		s.targetsHash, s.unchangedSince = sum, now
	}
}

func (s *fleetPlanner) scaleActions(service *catalog.Service, rows []*peer.TargetRow, now time.Duration) []authority.Action {
	counts := plan.CountTargets(rows)
	last := s.lastOrders(service.Name)
	if len(last) == 0 && now-s.unchangedSince < s.heartbeatInterval/2 {
		// The first orders go by the targets present at first. Those announce
		// themselves within one heartbeat, one soon after the other.
		return nil
	}
	var actions []authority.Action
	starting := func(domain string) bool {
		at, ordered := s.lastScaled[service.Name+"/"+domain]
		return ordered && now-at < service.Purchase.StartTime+startTimeSlack
	}
	for _, o := range plan.ScaleOrders(service, counts, last, starting) {
		s.lastScaled[service.Name+"/"+o.Pool.FailureDomain] = now
		actions = append(actions, s.scaleOrderAction(o, now)...)
		delete(last, o.Pool)
	}
	for pool, o := range last {
		if pool.Reclaimable && counts[pool.FailureDomain].Reclaimable < o.Count {
			actions = append(actions, s.retryOrder(o, now)...)
		}
	}
	return actions
}

// repeat gives an order once more that has not taken effect.
func (s *fleetPlanner) retryOrder(o plan.ScaleOrder, now time.Duration) []authority.Action {
	if at, tried := s.lastAttempts[scaleOrderKey(o)]; tried && now-at < scaleRetryInterval {
		return nil
	}
	return s.scaleOrderAction(o, now)
}

func scaleTarget(s plan.Pool) string {
	return fmt.Sprintf("%s/%s/%s/%t", scaleKind, s.Service, s.FailureDomain, s.Reclaimable)
}

func scaleOrderKey(o plan.ScaleOrder) string {
	return fmt.Sprintf("%s/%d", scaleTarget(o.Pool), o.Count)
}

// lastOrders returns the last orders for the service, from the log.
func (s *fleetPlanner) lastOrders(service string) map[plan.Pool]plan.ScaleOrder {
	last := map[plan.Pool]plan.ScaleOrder{}
	s.voter.Read(func(m *control.Machine) {
		for _, i := range m.Intents() {
			var p scalePayload
			if i.Kind != scaleKind || json.Unmarshal(i.Payload, &p) != nil || p.Service != service {
				continue
			}
			pool := plan.Pool{Service: p.Service, FailureDomain: p.FailureDomain, Reclaimable: p.Reclaimable}
			last[pool] = plan.ScaleOrder{Pool: pool, Count: p.Count, InitialCount: p.Base}
		}
	})
	return last
}

func (s *fleetPlanner) scaleOrderAction(o plan.ScaleOrder, now time.Duration) []authority.Action {
	target := scaleTarget(o.Pool)
	s.lastAttempts[scaleOrderKey(o)] = now
	payload, err := json.Marshal(scalePayload{o.Pool.Service, o.Pool.FailureDomain, o.Count, o.Pool.Reclaimable, o.InitialCount})
	if err != nil {
		s.logger.Log(event.ActionRefused, zap.String("target", target), zap.Error(err))
		return nil
	}
	return []authority.Action{{ID: fmt.Sprintf("%s-%d-%d", target, s.term(), now.Milliseconds()), Target: target, Kind: scaleKind, Payload: payload, Fenced: true}}
}

func (s *fleetPlanner) term() uint64 { return s.voter.Status().Term() }

// stages returns orders for engines that should do another part. The engine's
// own report comes first: its heartbeat may be older than its last order.
func (s *fleetPlanner) stageActions(rows []*peer.TargetRow, now time.Duration) []authority.Action {
	var actions []authority.Action
	for _, change := range plan.StageChanges(rows) {
		if at, tried := s.lastAttempts[change.Target]; tried && now-at < stageRetryInterval {
			continue
		}
		s.lastAttempts[change.Target] = now
		row := s.roster.Snapshot().Target(change.Target)
		ctx, cancel := context.WithTimeout(context.Background(), engineReportTimeout)
		report, err := s.engines.Report(ctx, row.Id, row.Address)
		cancel()
		if err != nil || report.Busy || report.Stage == change.Stage {
			s.logger.Log(event.ActionRefused, zap.String("target", change.Target), zap.Bool("busy", report.Busy), zap.Error(err))
			continue
		}
		payload, err := json.Marshal(stagePayload{change.Stage, report.Orders})
		if err != nil {
			s.logger.Log(event.ActionRefused, zap.String("target", change.Target), zap.Error(err))
			continue
		}
		id := fmt.Sprintf("%s-%s-%d-%d", stageKind, change.Target, row.BornMs, report.Orders)
		actions = append(actions, authority.Action{ID: id, Target: change.Target, Kind: stageKind, Payload: payload, Fenced: true})
	}
	return actions
}

// purchaseSender sends purchase orders.
type scaleSender struct{ client *platform.DutyClient }

// Send sends the committed order.
func (s scaleSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	var p scalePayload
	if err := json.Unmarshal(payload, &p); err != nil {
		return 0, "", fmt.Errorf("decode order: %w", err)
	}
	body, err := platform.EncodePurchase(platform.PurchaseOrder{
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
const switchTimeSlack = 6 * time.Second

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
	status, detail, err := s.engines.SetStage(ctx, target, row.Address, epoch, platform.StageOrder{Stage: p.Stage, Orders: p.Orders})
	if err == nil && status == http.StatusAccepted {
		s.roster.SetAway(target, s.switchTime(row.Service)+switchTimeSlack)
	}
	return status, detail, err
}
