package target

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnscale/engine"
	"auburnscale/event"
	"auburnscale/inventory"
	"auburnscale/route"
)

// downAfter is the number of failed probes after which a target is down.
const downAfter = 2

// A probe represents the regular questions to one target.
type probe struct {
	book    *Book
	spec    inventory.Target
	target  *route.Target
	cancel  context.CancelFunc
	wake    chan struct{}
	up      atomic.Bool
	asked   atomic.Bool
	load    atomic.Pointer[engine.Load]
	service atomic.Pointer[Service]

	failures  int
	cacheNext uint64
	isEngine  bool
}

func (b *Book) startProbe(spec inventory.Target) *probe {
	ctx, cancel := context.WithCancel(context.Background())
	p := &probe{book: b, spec: spec, cancel: cancel, wake: make(chan struct{}, 1)}
	service := b.views.View().Snapshot().Service(spec.Service)
	p.isEngine = service != nil && service.Kind == inventory.EngineService
	p.target = route.NewTarget(route.Spec{
		Name: spec.Name, Address: spec.Address, FailureDomain: spec.FailureDomain, Slots: spec.Slots,
		Reclaimable: spec.Class == inventory.Cheap, TokenCost: spec.TokenCost,
	})
	b.group.Add(1)
	go p.loop(ctx, &b.group)
	return p
}

func (p *probe) isUp() bool { return p.up.Load() }

func (p *probe) lastLoad() *engine.Load { return p.load.Load() }

func (p *probe) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *probe) loop(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
		}
		p.ask(ctx)
		timer.Reset(p.book.config.ProbeInterval)
	}
}

func (p *probe) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.book.config.ProbeInterval)
	defer cancel()
	load, err := p.book.engines.Load(ctx, p.spec.Address)
	defer p.asked.Store(true)
	if err != nil {
		p.noteFailure(err)
		return
	}
	p.noteLoad(load)
	if p.isEngine {
		p.askCache(ctx)
	}
	if service := p.service.Load(); service != nil {
		service.queue.Pump()
	}
}

func (p *probe) noteFailure(err error) {
	p.failures++
	if p.failures < downAfter {
		p.wakeUp()
		return
	}
	if p.up.CompareAndSwap(true, false) {
		p.book.noteChange()
		p.book.logger.Log(event.TargetDown, zap.String("target", p.spec.Name), zap.Error(err))
	}
}

func (p *probe) noteLoad(load *engine.Load) {
	p.failures = 0
	before := p.load.Swap(load)
	if before != nil && before.Incarnation != load.Incarnation {
		p.forgetCache()
	}
	p.target.SetReport(route.Load{
		Running: load.Running, Waiting: load.Waiting, WaitingTokens: load.WaitingTokens, PrefillRate: load.PrefillRate,
		DecodeRate: load.DecodeRate, PrefillShare: load.PrefillShare, Role: load.Role, Switching: load.AwayMs > 0,
	}, time.Now())
	if p.up.CompareAndSwap(false, true) {
		p.book.noteChange()
		p.book.logger.Log(event.TargetUp, zap.String("target", p.spec.Name), zap.String("incarnation", load.Incarnation))
	}
}

func (p *probe) forgetCache() {
	p.cacheNext = 0
	if service := p.service.Load(); service != nil {
		service.index.RemoveTarget(p.target)
	}
}

// askCache follows the engine's cache events. After a gap nothing that was
// learned before can be trusted, since a removal may be among the lost.
func (p *probe) askCache(ctx context.Context) {
	service := p.service.Load()
	if service == nil {
		return
	}
	events, err := p.book.engines.CacheEvents(ctx, p.spec.Address, p.cacheNext)
	if err != nil {
		return
	}
	if events.Gap {
		service.index.RemoveTarget(p.target)
	}
	p.cacheNext = events.Next
	for _, e := range events.Events {
		if e.Stored {
			service.index.Add(p.target, e.Pieces)
		} else {
			service.index.Remove(p.target, e.Pieces)
		}
	}
}
