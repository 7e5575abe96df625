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

// failuresUntilDown is the number of consecutive failed probes after which a target
// is down.
const failuresUntilDown = 2

// A probe represents the periodic health probes of one target. Each fetches the
// target's load report and, from an engine, its cache events.
type probe struct {
	registry   *Registry
	spec       inventory.Target
	target     *route.Target
	cancel     context.CancelFunc
	triggers   chan struct{}
	up         atomic.Bool
	probed     atomic.Bool
	lastReport atomic.Pointer[engine.Load]
	service    atomic.Pointer[Service]

	consecutiveFailures int
	cacheCursor         uint64
	isEngine            bool
}

func (r *Registry) startProbe(spec inventory.Target) *probe {
	ctx, cancel := context.WithCancel(context.Background())
	p := &probe{registry: r, spec: spec, cancel: cancel, triggers: make(chan struct{}, 1)}
	service := r.views.View().Snapshot().Service(spec.Service)
	p.isEngine = service != nil && service.Kind == inventory.EngineService
	p.target = route.NewTarget(route.Spec{
		Name: spec.Name, Address: spec.Address, FailureDomain: spec.FailureDomain, Slots: spec.Slots,
		Reclaimable: spec.Class == inventory.Reclaimable, TokenCost: spec.TokenCost,
	})
	r.probeLoops.Add(1)
	go p.loop(ctx, &r.probeLoops)
	return p
}

func (p *probe) isUp() bool { return p.up.Load() }

func (p *probe) lastLoad() *engine.Load { return p.lastReport.Load() }

func (p *probe) trigger() {
	select {
	case p.triggers <- struct{}{}:
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
		case <-p.triggers:
		}
		p.probeOnce(ctx)
		timer.Reset(p.registry.config.ProbeInterval)
	}
}

func (p *probe) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.registry.config.ProbeInterval)
	defer cancel()
	load, err := p.registry.engines.Load(ctx, p.spec.Address)
	defer p.probed.Store(true)
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.recordLoad(load)
	if p.isEngine {
		p.fetchCacheEvents(ctx)
	}
	if service := p.service.Load(); service != nil {
		service.queue.AdmitWaiting()
	}
}

func (p *probe) recordFailure(err error) {
	p.consecutiveFailures++
	if p.consecutiveFailures < failuresUntilDown {
		p.trigger()
		return
	}
	if p.up.CompareAndSwap(true, false) {
		p.registry.requestRefresh()
		p.registry.logger.Log(event.TargetDown, zap.String("target", p.spec.Name), zap.Error(err))
	}
}

func (p *probe) recordLoad(load *engine.Load) {
	p.consecutiveFailures = 0
	before := p.lastReport.Swap(load)
	if before != nil && before.Incarnation != load.Incarnation {
		p.resetCacheIndex()
	}
	p.target.SetReport(route.Load{
		Running: load.Running, Waiting: load.Waiting, WaitingTokens: load.WaitingTokens, PrefillRate: load.PrefillRate,
		DecodeRate: load.DecodeRate, PrefillShare: load.PrefillShare, Role: load.Role, Version: load.SoftwareVersion, Switching: load.AwayMs > 0,
	}, time.Now())
	if p.up.CompareAndSwap(false, true) {
		p.registry.requestRefresh()
		p.registry.logger.Log(event.TargetUp, zap.String("target", p.spec.Name), zap.String("incarnation", load.Incarnation), zap.String("software_version", load.SoftwareVersion))
	}
}

func (p *probe) resetCacheIndex() {
	p.cacheCursor = 0
	if service := p.service.Load(); service != nil {
		service.index.RemoveTarget(p.target)
	}
}

// fetchCacheEvents applies the engine's new cache events to the prefix index. After
// a gap the index entries of this engine are dropped, since the lost events may
// include evictions.
func (p *probe) fetchCacheEvents(ctx context.Context) {
	service := p.service.Load()
	if service == nil {
		return
	}
	events, err := p.registry.engines.CacheEvents(ctx, p.spec.Address, p.cacheCursor)
	if err != nil {
		return
	}
	if events.Gap {
		service.index.RemoveTarget(p.target)
	}
	p.cacheCursor = events.Next
	for _, e := range events.Events {
		if e.Stored {
			service.index.Add(p.target, e.Blocks)
		} else {
			service.index.Remove(p.target, e.Blocks)
		}
	}
}
