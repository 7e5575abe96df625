// Package target tracks the targets that an instance knows: which are usable, what
// they last reported, and the fleet and admission queue of each service.
//
// It owns the probing of targets, the circuit breakers and the rebuilding of fleets
// when the configuration, a drain or a target's health changes. It must not send
// requests or orders.
//
// # Usage
//
//	registry := target.NewRegistry(config, views, engines, gate, logger)
//	registry.Start()
//	service := registry.Service("reading")
//	decision := service.Choose(request, random)
package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnscale/admit"
	"auburnscale/engine"
	"auburnscale/event"
	"auburnscale/inventory"
	"auburnscale/member"
	"auburnscale/permit"
	"auburnscale/retry"
	"auburnscale/route"
)

// fleetRefreshInterval is the longest time between two refreshes of the fleets.
const fleetRefreshInterval = 100 * time.Millisecond

// ViewSource provides the member's current view of the cluster.
type ViewSource interface {
	View() *member.View
}

// Config holds what a Registry needs to know about its instance.
type Config struct {
	FailureDomain string
	ProbeInterval time.Duration
	Policy        route.Policy
	Queue         admit.Config
}

// A Registry represents all targets of the configuration as this instance sees
// them.
type Registry struct {
	config  Config
	views   ViewSource
	engines *engine.Client
	gate    *permit.Gate
	logger  *event.Logger

	mutex           sync.Mutex
	probes          map[string]*probe
	services        atomic.Pointer[map[string]*Service]
	refreshRequests chan struct{}
	stop            chan struct{}
	done            chan struct{}
	stopOnce        sync.Once
	probeLoops      sync.WaitGroup
}

// A Service represents one service's usable targets and its admission queue on
// this instance.
type Service struct {
	policy  route.Policy
	queue   *admit.Queue
	breaker *retry.Breaker
	index   *route.PrefixIndex
	fleet   atomic.Pointer[route.Fleet]
	total   atomic.Int64
}

// NewRegistry returns a registry without targets. The gate keeps their rate limits.
func NewRegistry(config Config, views ViewSource, engines *engine.Client, gate *permit.Gate, logger *event.Logger) *Registry {
	r := &Registry{
		config: config, views: views, engines: engines, gate: gate, logger: logger,
		probes: map[string]*probe{}, refreshRequests: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	r.services.Store(&map[string]*Service{})
	return r
}

// Start begins the refresh loop, which starts a probe for each target.
func (r *Registry) Start() { go r.run() }

// Stop ends the refresh loop and the probes and waits for them.
func (r *Registry) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	r.probeLoops.Wait()
}

// Service returns the service with the name, or nil.
func (r *Registry) Service(name string) *Service { return (*r.services.Load())[name] }

func (r *Registry) run() {
	defer close(r.done)
	defer r.stopProbes()
	ticker := time.NewTicker(fleetRefreshInterval)
	defer ticker.Stop()
	for {
		r.refresh(time.Now())
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		case <-r.refreshRequests:
		}
	}
}

// requestRefresh triggers the next refresh at once.
func (r *Registry) requestRefresh() {
	select {
	case r.refreshRequests <- struct{}{}:
	default:
	}
}

// InitialProbesDone reports whether every target of the configuration has been
// probed at least once and each that is up has been assigned to its service, so that
// the fleets show which targets are usable.
func (r *Registry) InitialProbesDone() bool {
	snapshot := r.views.View().Snapshot()
	if snapshot == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, t := range snapshot.AllTargets() {
		p := r.probes[t.Name]
		if p == nil || !p.probed.Load() || p.isUp() && p.service.Load() == nil {
			return false
		}
	}
	return true
}

func (r *Registry) stopProbes() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.probes {
		p.cancel()
	}
}

// refresh starts and stops probes and rebuilds each fleet whose usable targets
// changed.
func (r *Registry) refresh(now time.Time) {
	view := r.views.View()
	snapshot := view.Snapshot()
	if snapshot == nil {
		return
	}
	r.gate.SetInstances(view.Instances())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.syncProbes(snapshot)
	services := map[string]*Service{}
	for _, s := range snapshot.Services() {
		service := r.Service(s.Name)
		if service == nil {
			service = r.newService(len(snapshot.Services()))
		}
		r.rebuild(service, view, s.Name, now)
		services[s.Name] = service
	}
	r.services.Store(&services)
}

func (r *Registry) newService(services int) *Service {
	s := &Service{policy: r.config.Policy, breaker: retry.NewBreaker(), index: route.NewPrefixIndex(route.GenerationBlocks(services))}
	s.fleet.Store(route.NewFleet(nil, r.config.FailureDomain, s.index))
	s.queue = admit.New(r.config.Queue, s)
	return s
}

func (r *Registry) syncProbes(snapshot *inventory.Snapshot) {
	for name, p := range r.probes {
		t := snapshot.Target(name)
		if t == nil || *t != p.spec {
			p.cancel()
			delete(r.probes, name)
		}
	}
	for _, t := range snapshot.AllTargets() {
		if r.probes[t.Name] == nil {
			r.probes[t.Name] = r.startProbe(t)
		}
	}
}

// rebuild replaces the service's fleet if its usable targets changed. Requests in
// flight stay with the target that was chosen for them.
func (r *Registry) rebuild(service *Service, view *member.View, name string, now time.Time) {
	var usable []*route.Target
	total := 0
	for _, t := range view.Snapshot().Targets(name) {
		total++
		p := r.probes[t.Name]
		p.service.Store(service)
		p.target.SetEntries(view.Instances())
		if p.isUp() && !view.Draining(t) && !service.breaker.Ejected(t.Name, now) {
			usable = append(usable, p.target)
		}
	}
	service.total.Store(int64(total))
	if sameTargets(usable, service.fleet.Load().Targets()) {
		return
	}
	service.fleet.Store(route.NewFleet(usable, r.config.FailureDomain, service.index))
	service.queue.AdmitWaiting()
}

func sameTargets(a, b []*route.Target) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Announce handles a process's announcement that it is the named target. It returns
// false unless the inventory lists that name with that address. Even then the target
// receives requests only after it has answered a probe.
func (r *Registry) Announce(name, address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	p := r.probes[name]
	if p == nil || p.spec.Address != address {
		r.logger.Log(event.TargetUnknown, zap.String("target", name), zap.String("address", address))
		return false
	}
	p.trigger()
	return true
}

// Status returns the state of every target, for operators.
func (r *Registry) Status() []Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []Status
	for _, p := range r.probes {
		load := p.lastLoad()
		s := Status{Name: p.spec.Name, Service: p.spec.Service, Up: p.isUp(), InFlight: p.target.InFlight(), Requests: p.target.Requests()}
		if load != nil {
			s.Role = load.Role
			s.LastOrder = load.LastOrder
		}
		list = append(list, s)
	}
	return list
}

// A Status represents a target's state as operators see it.
type Status struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Up        bool   `json:"up"`
	Role      string `json:"role"`
	InFlight  int64  `json:"in_flight"`
	Requests  int64  `json:"requests"`
	LastOrder string `json:"last_order"`
}

// Load returns the target's last load report, or nil if the target is unknown or
// down.
func (r *Registry) Load(name string) *engine.Load {
	r.mutex.Lock()
	p := r.probes[name]
	r.mutex.Unlock()
	if p == nil || !p.isUp() {
		return nil
	}
	return p.lastLoad()
}

// HasCrashed asks the target for its load report to find out whether it has crashed
// since it ran as the given incarnation. A target that cannot be reached, or that
// reports another incarnation, has crashed. An unknown target has not.
func (r *Registry) HasCrashed(ctx context.Context, name, incarnation string) bool {
	r.mutex.Lock()
	p := r.probes[name]
	r.mutex.Unlock()
	if p == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	load, err := r.engines.Load(ctx, p.spec.Address)
	p.trigger()
	return err != nil || load.Incarnation != incarnation
}

// ReportUnreachable handles a refused connection to the target: it is probed at
// once and leaves its fleet if it does not answer.
func (r *Registry) ReportUnreachable(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.probes[name]; p != nil {
		p.trigger()
	}
}

// Incarnation returns the target's incarnation as last reported, or "" if there is
// no report.
func (r *Registry) Incarnation(name string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p := r.probes[name]; p != nil {
		return p.lastLoad().GetIncarnation()
	}
	return ""
}

// crashCheckTimeout bounds the request that HasCrashed sends.
const crashCheckTimeout = 300 * time.Millisecond

// HasRoom reports whether a usable target is estimated to have a free slot.
func (s *Service) HasRoom() bool { return s.fleet.Load().HasRoom() }

// HasReserve reports whether a usable target accepts a request beyond its slots.
func (s *Service) HasReserve() bool { return s.fleet.Load().HasReserve() }

// Capacity returns the slots of the usable targets and the estimated number of
// requests on them.
func (s *Service) Capacity() (slots, requests int64) { return s.fleet.Load().Capacity() }

// PauseLeft returns the time until the first of the usable targets takes requests again, or 0
// unless the rate limits of all of them are used up.
func (s *Service) PauseLeft() time.Duration { return s.fleet.Load().PauseLeft(time.Now()) }

// Queue returns the service's admission queue on this instance.
func (s *Service) Queue() *admit.Queue { return s.queue }

// Fleet returns the usable targets.
func (s *Service) Fleet() *route.Fleet { return s.fleet.Load() }

// Choose returns the target for the request.
func (s *Service) Choose(r route.Request, random *rand.Rand) route.Decision {
	return s.policy.Choose(s.fleet.Load(), r, random)
}

// RecordSuccess records for the circuit breaker that the target served a request.
func (s *Service) RecordSuccess(t *route.Target) { s.breaker.Success(t.Name()) }

// RecordFailure records for the circuit breaker that the target failed a request.
func (s *Service) RecordFailure(t *route.Target) {
	s.breaker.Failure(t.Name(), int(s.total.Load()), time.Now())
}

// RecordDispatch records that a request was sent to the target, whose cache will
// therefore hold the prompt's blocks.
func (s *Service) RecordDispatch(t *route.Target, blocks []uint64) { s.index.Add(t, blocks) }
