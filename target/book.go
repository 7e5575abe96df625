// Package target keeps what an instance knows of the targets: which are usable,
// what they last reported, and the fleet and queue of each service.
//
// It owns the probing of targets, the breakers and the rebuilding of fleets when
// the configuration, a drain or a target's health changes. It must not send
// requests or orders.
//
// # Usage
//
//	book := target.NewBook(config, views, engines, logger)
//	book.Start()
//	service := book.Service("reading")
//	decision := service.Choose(request)
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
	"auburnscale/retry"
	"auburnscale/route"
)

// refreshInterval is the time between two looks at what changed.
const refreshInterval = 100 * time.Millisecond

// ViewSource gives what the instance decides by.
type ViewSource interface {
	View() *member.View
}

// Config is what a book needs to know about its instance.
type Config struct {
	FailureDomain string
	ProbeInterval time.Duration
	Policy        route.Policy
	Queue         admit.Config
}

// A Book represents an instance's knowledge of all targets.
type Book struct {
	config  Config
	views   ViewSource
	engines *engine.Client
	logger  *event.Logger

	mutex    sync.Mutex
	probes   map[string]*probe
	services atomic.Pointer[map[string]*Service]
	changed  chan struct{}
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	group    sync.WaitGroup
}

// A Service represents one service's usable targets and its queue.
type Service struct {
	policy  route.Policy
	queue   *admit.Queue
	breaker *retry.Breaker
	index   *route.PrefixIndex
	fleet   atomic.Pointer[route.Fleet]
	total   atomic.Int64
}

// NewBook returns a book without targets.
func NewBook(config Config, views ViewSource, engines *engine.Client, logger *event.Logger) *Book {
	b := &Book{
		config: config, views: views, engines: engines, logger: logger,
		probes: map[string]*probe{}, changed: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	b.services.Store(&map[string]*Service{})
	return b
}

// Start runs the loops.
func (b *Book) Start() { go b.run() }

// Stop ends the loops and waits for them.
func (b *Book) Stop() {
	b.stopOnce.Do(func() { close(b.stop) })
	<-b.done
	b.group.Wait()
}

// Service returns the service with the name, or nil.
func (b *Book) Service(name string) *Service { return (*b.services.Load())[name] }

func (b *Book) run() {
	defer close(b.done)
	defer b.stopProbes()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		b.refresh(time.Now())
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		case <-b.changed:
		}
	}
}

// noteChange makes the next look come at once.
func (b *Book) noteChange() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Settled reports whether every target of the configuration has been asked at
// least once, so that the fleets show which targets are usable.
func (b *Book) Settled() bool {
	snapshot := b.views.View().Snapshot()
	if snapshot == nil {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, t := range snapshot.AllTargets() {
		p := b.probes[t.Name]
		if p == nil || !p.asked.Load() || p.isUp() && p.service.Load() == nil {
			return false
		}
	}
	return true
}

func (b *Book) stopProbes() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, p := range b.probes {
		p.cancel()
	}
}

// refresh starts and ends probes and rebuilds every fleet.
func (b *Book) refresh(now time.Time) {
	view := b.views.View()
	snapshot := view.Snapshot()
	if snapshot == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.followInventory(snapshot)
	services := map[string]*Service{}
	for _, s := range snapshot.Services() {
		service := b.Service(s.Name)
		if service == nil {
			service = b.newService(len(snapshot.Services()))
		}
		b.rebuild(service, view, s.Name, now)
		services[s.Name] = service
	}
	b.services.Store(&services)
}

func (b *Book) newService(services int) *Service {
	s := &Service{policy: b.config.Policy, breaker: retry.NewBreaker(), index: route.NewPrefixIndex(route.GenerationBlocks(services))}
	s.fleet.Store(route.NewFleet(nil, b.config.FailureDomain, s.index))
	s.queue = admit.New(b.config.Queue, s)
	return s
}

func (b *Book) followInventory(snapshot *inventory.Snapshot) {
	for name, p := range b.probes {
		t := snapshot.Target(name)
		if t == nil || *t != p.spec {
			p.cancel()
			delete(b.probes, name)
		}
	}
	for _, t := range snapshot.AllTargets() {
		if b.probes[t.Name] == nil {
			b.probes[t.Name] = b.startProbe(t)
		}
	}
}

// rebuild replaces the service's fleet if its usable targets changed. Requests
// in flight keep the target they were given.
func (b *Book) rebuild(service *Service, view *member.View, name string, now time.Time) {
	var usable []*route.Target
	total := 0
	for _, t := range view.Snapshot().Targets(name) {
		total++
		p := b.probes[t.Name]
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
	service.fleet.Store(route.NewFleet(usable, b.config.FailureDomain, service.index))
	service.queue.Pump()
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

// Announce notes that a process says it is the named target. It gets work only
// if the inventory holds that name with that address, and only once it answers
// a probe. It returns false otherwise.
func (b *Book) Announce(name, address string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.probes[name]
	if p == nil || p.spec.Address != address {
		b.logger.Log(event.TargetUnknown, zap.String("target", name), zap.String("address", address))
		return false
	}
	p.wakeUp()
	return true
}

// Status returns the state of every target, for operators.
func (b *Book) Status() []Status {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var list []Status
	for _, p := range b.probes {
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

// A Status represents what an operator is told of a target.
type Status struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Up        bool   `json:"up"`
	Role      string `json:"role"`
	InFlight  int64  `json:"in_flight"`
	Requests  int64  `json:"requests"`
	LastOrder string `json:"last_order"`
}

// Load returns the target's last load report while it is up, or nil.
func (b *Book) Load(name string) *engine.Load {
	b.mutex.Lock()
	p := b.probes[name]
	b.mutex.Unlock()
	if p == nil || !p.isUp() {
		return nil
	}
	return p.lastLoad()
}

// Crashed asks the target whether it is still the process that it was. A target
// that cannot be reached, or runs as a new incarnation, has crashed.
func (b *Book) Crashed(ctx context.Context, name, incarnation string) bool {
	b.mutex.Lock()
	p := b.probes[name]
	b.mutex.Unlock()
	if p == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	load, err := b.engines.Load(ctx, p.spec.Address)
	p.wakeUp()
	return err != nil || load.Incarnation != incarnation
}

// NoteUnreachable says that a connection to the target was refused. It is asked
// at once instead of at its next turn, and taken out if it does not answer.
func (b *Book) NoteUnreachable(name string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if p := b.probes[name]; p != nil {
		p.wakeUp()
	}
}

// Incarnation returns the target's incarnation as last reported.
func (b *Book) Incarnation(name string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if p := b.probes[name]; p != nil {
		return p.lastLoad().GetIncarnation()
	}
	return ""
}

// crashTimeout bounds the question whether a target has crashed.
const crashTimeout = 300 * time.Millisecond

// HasRoom reports whether a usable target is estimated to have a free slot.
func (s *Service) HasRoom() bool { return s.fleet.Load().HasRoom() }

// HasReserve reports whether a usable target takes a request beyond its slots.
func (s *Service) HasReserve() bool { return s.fleet.Load().HasReserve() }

// Capacity returns the slots and the estimated requests of the usable targets.
func (s *Service) Capacity() (slots, requests int64) { return s.fleet.Load().Capacity() }

// Queue returns the service's queue on this instance.
func (s *Service) Queue() *admit.Queue { return s.queue }

// Fleet returns the usable targets.
func (s *Service) Fleet() *route.Fleet { return s.fleet.Load() }

// Choose returns the target for the request.
func (s *Service) Choose(r route.Request, random *rand.Rand) route.Decision {
	return s.policy.Choose(s.fleet.Load(), r, random)
}

// Succeeded notes that the target did its work.
func (s *Service) Succeeded(t *route.Target) { s.breaker.Success(t.Name()) }

// Failed notes that the target did not.
func (s *Service) Failed(t *route.Target) {
	s.breaker.Failure(t.Name(), int(s.total.Load()), time.Now())
}

// Dispatched notes that the target will hold the prompt's pieces.
func (s *Service) Dispatched(t *route.Target, pieces []uint64) { s.index.Add(t, pieces) }
