package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
	"auburnscale/retry"
	"auburnscale/roster"
	"auburnscale/route"
)

// Fleets holds the usable targets of every service. It is rebuilt from the roster
// when that changes; requests in flight keep their target. It is safe for
// concurrent use.
type Fleets struct {
	domain  string
	placer  route.Placer
	entries atomic.Int64
	reach   *reachability
	leaving LeavingRecorder
	gate    *permit.Gate
	origins *origin.Journal
	logger  *event.Logger
	demand  *demandMeter
	// continueTime is how long a draining target may continue streams.
	continueTime time.Duration

	mutex    sync.Mutex
	targets  map[string]*knownTarget
	services map[string]*serviceState
	// heldBlocks holds the prompt blocks to be reported to the other instances.
	heldBlocks []*peer.HeldBlock
	// returns holds, by service, the latest time announced by ReturnAfter.
	returns map[string]time.Time
	// starts holds the latest known start of each target, also for a while after it has ended.
	starts map[string]knownStart
	fleets atomic.Pointer[map[string]*route.Fleet]
	// reserves holds, by service, targets that may only continue streams.
	reserves atomic.Pointer[map[string]reserve]
}

// A LeavingRecorder takes note of targets that are about to end.
type LeavingRecorder interface {
	// MarkLeaving records that the incarnation of the target, and every earlier one, must
	// not get requests any more.
	MarkLeaving(target string, incarnation int64)
	// DrainingFor returns the time since the incarnation of the target began to drain, and
	// whether it drains.
	DrainingFor(target string, incarnation int64) (time.Duration, bool)
}

// A knownTarget is a target with its latest roster row.
type knownTarget struct {
	row    *peer.TargetRow
	target *route.Target
	// mismatched is true if another target responded at the address.
	mismatched bool
}

// A serviceState is the state of a service that outlives a rebuild of its fleet.
type serviceState struct {
	index   *route.PrefixIndex
	breaker *retry.Breaker
	rates   *route.Rates
	model   *route.CostModel
	// total is the number of the service's ready targets, usable or not.
	total int
}

// maxBlocksPerService bounds the prefix index of a service; each block takes about
// 60 bytes.
const maxBlocksPerService = 20_000

// FleetsConfig holds what Fleets need to know about their instance.
type FleetsConfig struct {
	FailureDomain string
	Placer        route.Placer
	// DrainTime is how long a target serves after it announced that it drains.
	DrainTime time.Duration
}

// NewFleets returns Fleets without targets. The gate keeps the rate limits of the targets, and
// the journal is told of targets that start again with other software.
func NewFleets(config FleetsConfig, leaving LeavingRecorder, gate *permit.Gate, origins *origin.Journal, logger *event.Logger) *Fleets {
	f := &Fleets{
		domain: config.FailureDomain, placer: config.Placer, continueTime: config.DrainTime / drainShare, leaving: leaving, gate: gate, origins: origins, logger: logger, reach: newReachability(), demand: newDemandMeter(clock.Now),
		targets: map[string]*knownTarget{}, services: map[string]*serviceState{}, returns: map[string]time.Time{}, starts: map[string]knownStart{},
	}
	f.fleets.Store(&map[string]*route.Fleet{})
	f.reserves.Store(&map[string]reserve{})
	f.entries.Store(1)
	return f
}

// Placer returns the placer that chooses targets.
func (f *Fleets) Placer() route.Placer { return f.placer }

// SetEntries sets the number of entry instances that send to the targets.
func (f *Fleets) SetEntries(n int) {
	f.entries.Store(int64(max(1, n)))
	f.gate.SetInstances(n)
}

// Fleet returns the usable targets of the service. The fleet is empty for a
// service that a later configuration removed.
func (f *Fleets) Fleet(service string) *route.Fleet {
	if fleet := (*f.fleets.Load())[service]; fleet != nil {
		return fleet
	}
	return route.NewFleet(nil, f.domain, route.NewPrefixIndex(1))
}

// Refresh rebuilds the fleets of the services from the roster and the circuit
// breakers.
func (f *Fleets) Refresh(s *roster.Snapshot, services []string, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	alive := map[string]bool{}
	fleets, reserves := map[string]*route.Fleet{}, map[string]reserve{}
	for _, name := range services {
		fleets[name], reserves[name] = f.rebuild(name, s.ReadyTargets(name), alive, now)
		for _, row := range s.DrainingTargets(name) {
			reserves[name] = reserves[name].withDraining(f.drainingTarget(row, alive, now))
		}
	}
	for id := range f.targets {
		if !alive[id] {
			delete(f.targets, id)
		}
	}
	f.forgetStarts(alive, now)
	f.fleets.Store(&fleets)
	f.reserves.Store(&reserves)
}

// rebuild returns the service's fleet for its roster rows, and the ejected targets, and adds their
// ids to alive. f.mutex must be held.
func (f *Fleets) rebuild(name string, rows []*peer.TargetRow, alive map[string]bool, now time.Time) (*route.Fleet, reserve) {
	state := f.state(name)
	state.total = len(rows)
	var usable, ejected []*route.Target
	for _, row := range rows {
		alive[row.Id] = true
		k := f.updateTarget(row, state, now)
		k.target.SetSilent(row.Silent)
		k.target.SetSwitching(row.AwayMs > 0)
		k.target.SetEntries(int(f.entries.Load()))
		f.endHoldOff(k.target, now)
		switch {
		case k.mismatched:
		case state.breaker.Ejected(row.Id, now):
			ejected = append(ejected, k.target)
		default:
			usable = append(usable, k.target)
		}
	}
	if len(usable) == 0 {
		// An ejected target is better than none.
		usable = ejected
	}
	return route.NewFleet(usable, f.domain, state.index).WithRates(state.rates).WithModel(state.model), reserve{ejected: ejected}
}

// state returns the state of the service. f.mutex must be held.
func (f *Fleets) state(name string) *serviceState {
	s := f.services[name]
	if s == nil {
		s = &serviceState{index: route.NewPrefixIndex(maxBlocksPerService), breaker: retry.NewBreaker(), rates: route.NewRates(), model: route.NewCostModel()}
		f.services[name] = s
	}
	return s
}

// updateTarget returns the known target of the row. It replaces a target that has
// restarted, moved to another address, changed its stage or named its version later. f.mutex must be held.
func (f *Fleets) updateTarget(row *peer.TargetRow, state *serviceState, now time.Time) *knownTarget {
	k := f.targets[row.Id]
	same := k != nil && k.row.BornMs == row.BornMs && k.row.Address == row.Address
	if same && k.row.Stage == row.Stage && k.row.SoftwareVersion == row.SoftwareVersion {
		k.row = row
		return k
	}
	next := newTarget(row, now)
	if k != nil {
		next.InheritPause(k.target)
	}
	if same {
		k.row, k.target = row, next
		return k
	}
	if k != nil {
		state.index.RemoveTarget(k.target)
	}
	f.noteStart(next, now)
	k = &knownTarget{row: row, target: next}
	f.targets[row.Id] = k
	return k
}

func newTarget(row *peer.TargetRow, now time.Time) *route.Target {
	spec := route.Spec{Name: row.Id, Address: row.Address, FailureDomain: row.Domain, Slots: int(row.Slots), Reclaimable: row.Reclaimable, Incarnation: row.BornMs, Version: row.SoftwareVersion, Software: roster.SoftwareOf(row)}
	if row.Stage == peer.TargetRow_PREFILL {
		spec.Stage = route.PrefillOnly
	}
	if row.ColdMs > 0 {
		spec.WarmedUpAt = now.Add(time.Duration(row.ColdMs) * time.Millisecond)
	}
	return route.NewTarget(spec)
}

// Succeeded records that the target ran a request successfully.
func (f *Fleets) Succeeded(service string, t *route.Target) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(service).breaker.Success(t.Name())
}

// Failed records that the target failed a request. mismatched is true if another
// target responded at its address; the target is then not used until it has
// restarted or moved to another address.
func (f *Fleets) Failed(service string, t *route.Target, mismatched bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(service)
	if k := f.targets[t.Name()]; mismatched && k != nil && k.target == t {
		k.mismatched = true
		return
	}
	if state.breaker.Failure(t.Name(), state.total, time.Now()) {
		f.logger.Log(event.TargetEjected, zap.String("target", t.Name()), zap.String("service", service), zap.Int("targets", state.total))
	}
}

// Leaving records that the target stated that it is about to end. It gets no requests
// from now on; a later start of it does.
func (f *Fleets) Leaving(t *route.Target) {
	if !t.SetLeaving() {
		return
	}
	f.leaving.MarkLeaving(t.Name(), t.Incarnation())
	f.logger.Log(event.TargetLeaving, zap.String("target", t.Name()), zap.Int64("incarnation", t.Incarnation()))
}

// maxPause bounds the pause that a target can ask for.
const maxPause = 5 * time.Minute

// Pause records that the target asked for no requests for the given time. A negative
// time is one that could not be decoded; it asks for no pause.
func (f *Fleets) Pause(t *route.Target, asked time.Duration, now time.Time) {
	pause := min(maxPause, max(0, asked))
	t.Pause(now.Add(pause))
	f.logger.Log(event.TargetPaused, zap.String("target", t.Name()), zap.Int64("pause_ms", pause.Milliseconds()), zap.Bool("bounded", pause != asked))
}

// ConnectTimedOut records that a connection attempt to the target timed out. If its
// failure domain seems unreachable, all targets there are avoided for a while. The
// instance's own failure domain is never taken for unreachable.
func (f *Fleets) ConnectTimedOut(t *route.Target, now time.Time) {
	if t.FailureDomain() == f.domain {
		return
	}
	avoidFor := f.reach.connectTimedOut(t.FailureDomain(), t.Name(), now)
	if avoidFor == 0 {
		return
	}
	f.logger.Log(event.DomainUnreachable, zap.String("failure_domain", t.FailureDomain()), zap.String("target", t.Name()), zap.Int64("rest_ms", avoidFor.Milliseconds()))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, k := range f.targets {
		if k.target.FailureDomain() == t.FailureDomain() {
			k.target.SetUnreachable(now.Add(avoidFor))
		}
	}
}

// Responded records that the target responded, so that its failure domain is
// reachable.
func (f *Fleets) Responded(t *route.Target) {
	if f.reach.responded(t.FailureDomain()) {
		f.logger.Log(event.DomainReachable, zap.String("failure_domain", t.FailureDomain()), zap.String("target", t.Name()))
	}
}

// AddPrefix records that the target holds the KV cache of the prompt blocks, to be
// reported to the other instances if it is a prefill target. Prompts that many instances
// sent to a decode target for its cache would delay the streams there.
func (f *Fleets) AddPrefix(service string, t *route.Target, blocks []uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, block := range f.state(service).index.Add(t, blocks) {
		if !t.Decodes() && len(f.heldBlocks) < maxUnreportedBlocks {
			f.heldBlocks = append(f.heldBlocks, &peer.HeldBlock{Block: block, Target: t.Name(), BornMs: t.Incarnation()})
		}
	}
}

// maxUnreportedBlocks bounds the blocks that wait to be reported.
const maxUnreportedBlocks = 1024

// TakeHeldBlocks returns the prompt blocks that this instance saw targets hold since the
// last call.
func (f *Fleets) TakeHeldBlocks() []*peer.HeldBlock {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := f.heldBlocks
	f.heldBlocks = nil
	return list
}

// AddHeldBlocks records the prompt blocks that other instances saw targets hold. Blocks of
// unknown targets, and of other incarnations than the known one, are ignored.
func (f *Fleets) AddHeldBlocks(blocks []*peer.HeldBlock) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, b := range blocks {
		if k := f.targets[b.Target]; k != nil && k.row.BornMs == b.BornMs {
			f.state(k.row.Service).index.Add(k.target, []uint64{b.Block})
		}
	}
}

// OwnLoad returns what this instance has in flight on each target, and the speed that it
// stated lately, to be reported to the other instances.
func (f *Fleets) OwnLoad() []*peer.TargetWork {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*peer.TargetWork
	now := time.Now()
	for id, k := range f.targets {
		tokens, requests := k.target.OwnLoad()
		speed, age := k.target.LatestSpeed(now)
		if requests > 0 || speed > 0 {
			list = append(list, &peer.TargetWork{Target: id, Tokens: tokens, Requests: requests, WorkUs: k.target.OwnWork(), Speed: float32(speed), SpeedAgeMs: age.Milliseconds()})
		}
	}
	return list
}

// SetOtherLoad sets what all other instances have in flight on each target.
func (f *Fleets) SetOtherLoad(list []*peer.TargetWork) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	byID := make(map[string]*peer.TargetWork, len(list))
	for _, w := range list {
		byID[w.Target] = w
	}
	now := time.Now()
	for id, k := range f.targets {
		w := byID[id]
		k.target.SetOtherLoad(w.GetTokens(), w.GetRequests())
		k.target.SetOtherWork(w.GetWorkUs())
		f.state(k.row.Service).model.RecordSharedSpeed(k.target, float64(w.GetSpeed()), now.Add(-sharedSpeedAge(w)))
	}
}

// Entries returns the number of entry instances that send to the targets.
func (f *Fleets) Entries() int { return int(f.entries.Load()) }
