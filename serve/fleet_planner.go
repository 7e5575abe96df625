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
	// planInterval is the minimum time between two planning passes.
	planInterval = 200 * time.Millisecond
	// stageChangeDelay is how long the targets and their stages must be unchanged
	// before engines are ordered to change their stage, since starts and restarts
	// come in groups.
	stageChangeDelay = 800 * time.Millisecond
	// scaleRetryInterval is the time after which a scale order that has not taken
	// effect is issued again.
	scaleRetryInterval = 6 * time.Second
	// stageRetryInterval is the time after which an engine that was considered for a
	// stage change is considered again. It exceeds the time within which a lost
	// order may still be carried out.
	stageRetryInterval = 15 * time.Second
	// startTimeSlack is the additional time, beyond its start time, that a new
	// target may take until the roster knows it.
	startTimeSlack = 2500 * time.Millisecond
	// attemptRetention is how long attempts are kept in lastAttempts.
	attemptRetention    = 5 * time.Minute
	engineReportTimeout = 500 * time.Millisecond
)

// A fleetPlanner plans the external actions on the fleet: scale orders to the
// platform and orders to engines that change their stage. It implements
// authority.Planner. Its methods are called from one goroutine.
type fleetPlanner struct {
	voter          *voter.Voter
	roster         *roster.Roster
	configuration  func() *catalog.Snapshot
	engines        *platform.EngineClient
	scaler         *scaler
	scalingEnabled bool
	logger         *event.Logger

	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval time.Duration

	lastPlanned time.Duration
	// targetsHash is the hash of the targets and their stages, which have been the
	// same since unchangedSince.
	targetsHash    uint64
	unchangedSince time.Duration
	// lastAttempts is when a scale order, by scaleOrderKey, or a stage change, by
	// target, was last attempted.
	lastAttempts map[string]time.Duration
	// lastScaled is when a new scale order was last issued, by
	// "service/failure domain".
	lastScaled map[string]time.Duration
	// speedAnswers holds, by service, whether targets state their speed.
	speedAnswers map[string]speedAnswer
}

// scalePayload is the committed content of a scale order.
type scalePayload struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Count         int    `json:"count"`
	Reclaimable   bool   `json:"reclaimable"`
	Base          int    `json:"base"`
	// Demand is true if the count was derived from the demand of the service.
	Demand bool `json:"demand,omitempty"`
}

// stagePayload is the committed content of an order to an engine to change its
// stage. Orders is the number of orders that the engine had reported before.
type stagePayload struct {
	Stage  peer.TargetRow_Stage `json:"stage"`
	Orders uint64               `json:"orders"`
}

// Wanted returns the scale orders and stage changes to issue now. It returns none
// if less than planInterval has passed since the last pass.
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
		rows := snapshot.ReadyTargets(services[i].Name)
		if s.scalingEnabled {
			actions = append(actions, s.scaleActions(&services[i], objectiveOf(configuration, services[i].Name), snapshot.AllTargets(services[i].Name), now)...)
		}
		if services[i].Engine != nil && now-s.unchangedSince > stageChangeDelay {
			actions = append(actions, s.stageActions(rows, now)...)
		}
	}
	return actions
}

// trackTargets records since when the targets and their stages have been
// unchanged. Other changes of the roster, such as unresponsive targets, are
// ignored, since they happen all the time.
func (s *fleetPlanner) trackTargets(snapshot *roster.Snapshot, configuration *catalog.Snapshot, now time.Duration) {
	h := xxhash.New()
	for _, service := range configuration.Services() {
		for _, row := range snapshot.ReadyTargets(service.Name) {
			// Writes to a hash do not fail.
			_, _ = fmt.Fprintf(h, "%s %d;", row.Id, row.Stage)
		}
	}
	if sum := h.Sum64(); sum != s.targetsHash {
		s.targetsHash, s.unchangedSince = sum, now
	}
}

// scaleActions returns the new scale orders for the service, and retries of orders
// that have not taken effect.
func (s *fleetPlanner) scaleActions(service *catalog.Service, objective time.Duration, rows []*peer.TargetRow, now time.Duration) []authority.Action {
	counts := plan.CountTargets(rows)
	last, lastByDemand := s.lastOrders(service.Name)
	if len(last) == 0 && now-s.unchangedSince < s.heartbeatInterval/2 {
		// The first orders depend on the targets that run already. These announce
		// themselves in quick succession, within one heartbeat interval.
		return nil
	}
	var actions []authority.Action
	starting := func(domain string) bool {
		at, ordered := s.lastScaled[service.Name+"/"+domain]
		return ordered && now-at < service.Scaling.StartupTime+startTimeSlack
	}
	orders, byDemand := s.scaler.orders(scaleInput{
		service: service, throughput: throughputOf(service, objective, rows), counts: counts, last: last, lastByDemand: lastByDemand, starting: starting, term: s.term(),
		inFlight: func(o plan.ScaleOrder) bool { return s.inFlight(o, now) }, statesSpeed: func() bool { return s.statesSpeed(service, rows, now) },
	}, now)
	for _, o := range orders {
		s.lastScaled[service.Name+"/"+o.Pool.FailureDomain] = now
		actions = append(actions, s.scaleOrderAction(o, byDemand, now)...)
		delete(last, o.Pool)
	}
	for pool, o := range last {
		if pool.Reclaimable && counts[pool.FailureDomain].Reclaimable < o.Count {
			actions = append(actions, s.retryOrder(o, lastByDemand, now)...)
		}
	}
	return actions
}

const (
	// speedQuestionInterval is the least time between two questions of a service's targets whether they state their speed.
	speedQuestionInterval = time.Second
	// maxSpeedQuestions bounds these questions, each of which is a health check.
	maxSpeedQuestions = 5
)

// A speedAnswer is what is known of whether a service's targets state their speed.
type speedAnswer struct {
	stated, known bool
	questions     int
	askedAt       time.Duration
}

// statesSpeed reports whether the service's targets state their speed. It asks one of them until one answers: before the
// first requests there is no other source.
func (s *fleetPlanner) statesSpeed(service *catalog.Service, rows []*peer.TargetRow, now time.Duration) bool {
	a := s.speedAnswers[service.Name]
	if a.known || a.questions >= maxSpeedQuestions || a.questions > 0 && now-a.askedAt < speedQuestionInterval || service.HealthPath == "" || len(rows) == 0 {
		return a.stated
	}
	row := rows[a.questions%len(rows)]
	ctx, cancel := context.WithTimeout(context.Background(), engineReportTimeout)
	defer cancel()
	stated, err := s.engines.StatesSpeed(ctx, row.Id, row.Address, service.HealthPath)
	a.stated, a.known, a.questions, a.askedAt = stated, err == nil, a.questions+1, now
	if s.speedAnswers == nil {
		s.speedAnswers = map[string]speedAnswer{}
	}
	s.speedAnswers[service.Name] = a
	return a.stated
}

// commitTime bounds the time in which an order is committed, and then among the last orders.
const commitTime = time.Second

// inFlight reports whether the order was issued so recently that it may not have been committed yet.
func (s *fleetPlanner) inFlight(o plan.ScaleOrder, now time.Duration) bool {
	at, tried := s.lastAttempts[scaleOrderKey(o)]
	return tried && now-at < commitTime
}

// retryOrder issues an order that has not taken effect again, unless it was issued
// within scaleRetryInterval.
func (s *fleetPlanner) retryOrder(o plan.ScaleOrder, byDemand bool, now time.Duration) []authority.Action {
	if at, tried := s.lastAttempts[scaleOrderKey(o)]; tried && now-at < scaleRetryInterval {
		return nil
	}
	return s.scaleOrderAction(o, byDemand, now)
}

func scaleTarget(pool plan.Pool) string {
	return fmt.Sprintf("%s/%s/%s/%t", scaleKind, pool.Service, pool.FailureDomain, pool.Reclaimable)
}

func scaleOrderKey(o plan.ScaleOrder) string {
	return fmt.Sprintf("%s/%d", scaleTarget(o.Pool), o.Count)
}

// lastOrders returns the last committed scale order of each of the service's pools, and whether any of them
// was derived from demand.
func (s *fleetPlanner) lastOrders(service string) (last map[plan.Pool]plan.ScaleOrder, byDemand bool) {
	last = map[plan.Pool]plan.ScaleOrder{}
	s.voter.Read(func(m *control.Machine) {
		for _, i := range m.Intents() {
			var p scalePayload
			if i.Kind != scaleKind || json.Unmarshal(i.Payload, &p) != nil || p.Service != service {
				continue
			}
			pool := plan.Pool{Service: p.Service, FailureDomain: p.FailureDomain, Reclaimable: p.Reclaimable}
			last[pool] = plan.ScaleOrder{Pool: pool, Count: p.Count, InitialCount: p.Base}
			byDemand = byDemand || p.Demand
		}
	})
	return last, byDemand
}

func (s *fleetPlanner) scaleOrderAction(o plan.ScaleOrder, byDemand bool, now time.Duration) []authority.Action {
	target := scaleTarget(o.Pool)
	s.lastAttempts[scaleOrderKey(o)] = now
	payload, err := json.Marshal(scalePayload{o.Pool.Service, o.Pool.FailureDomain, o.Count, o.Pool.Reclaimable, o.InitialCount, byDemand})
	if err != nil {
		s.logger.Log(event.ActionRefused, zap.String("target", target), zap.Error(err))
		return nil
	}
	return []authority.Action{{ID: fmt.Sprintf("%s-%d-%d", target, s.term(), now.Milliseconds()), Target: target, Kind: scaleKind, Payload: payload, Fenced: true}}
}

func (s *fleetPlanner) term() uint64 { return s.voter.Status().Term() }

// stageActions returns orders for the engines that should change their stage. It
// asks each engine for a report first, since the engine's last heartbeat may be
// older than its last order.
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

// scaleSender sends scale orders to the platform.
type scaleSender struct{ client *platform.LeaderTaskClient }

// Send sends the committed scale order and returns the response's status and
// detail.
func (s scaleSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	var p scalePayload
	if err := json.Unmarshal(payload, &p); err != nil {
		return 0, "", fmt.Errorf("decode scale order: %w", err)
	}
	body, err := platform.EncodeScaleOrder(platform.ScaleOrder{
		Service: p.Service, FailureDomain: p.FailureDomain, Count: p.Count, Reclaimable: p.Reclaimable,
	})
	if err != nil {
		return 0, "", err
	}
	return s.client.Order(ctx, epoch, body)
}

// stageSender sends orders to engines that change their stage.
type stageSender struct {
	engines    *platform.EngineClient
	roster     *roster.Roster
	switchTime func(service string) time.Duration
}

// switchTimeSlack is the additional time, beyond its switch time, that an engine
// may take until a heartbeat reports its new stage. The engine first finishes its
// running requests, which may take long.
const switchTimeSlack = 6 * time.Second

// Send sends the committed order to the named engine and returns the response's
// status and detail. If the engine has left, it returns statusGone. If the engine
// accepts the order, it is marked as switching in the roster.
func (s stageSender) Send(ctx context.Context, target string, epoch uint64, payload []byte) (int, string, error) {
	var p stagePayload
	if err := json.Unmarshal(payload, &p); err != nil {
		return 0, "", fmt.Errorf("decode stage order: %w", err)
	}
	row := s.roster.Snapshot().Target(target)
	if row == nil || row.State != peer.TargetRow_READY {
		return statusGone, "the engine left", nil
	}
	status, detail, err := s.engines.SetStage(ctx, target, row.Address, epoch, platform.StageOrder{Stage: p.Stage, ExpectedOrders: p.Orders})
	if err == nil && status == http.StatusAccepted {
		s.roster.SetSwitching(target, s.switchTime(row.Service)+switchTimeSlack)
	}
	return status, detail, err
}
