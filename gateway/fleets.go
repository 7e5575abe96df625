package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/retry"
	"auburnscale/roster"
	"auburnscale/route"
)

// Fleets represents the usable targets of every service, rebuilt from the
// roster when it changes. Requests in flight keep the target they were given.
type Fleets struct {
	domain  string
	placer  route.Placer
	sharers atomic.Int64
	reach   *reach
	logger  *event.Logger

	mutex    sync.Mutex
	targets  map[string]*known
	services map[string]*fleetState
	fleets   atomic.Pointer[map[string]*route.Fleet]
}

type known struct {
	row    *peer.TargetRow
	target *route.Target
	// wrong is true if another target answers at the address.
	wrong bool
}

type fleetState struct {
	index   *route.PrefixIndex
	breaker *retry.Breaker
	rates   *route.Rates
	total   int
}

// piecesPerService bounds the prompt parts remembered for a service; each takes
// about 60 bytes.
const piecesPerService = 20_000

// NewFleets returns fleets without targets, seen from the failure domain.
func NewFleets(domain string, placer route.Placer, logger *event.Logger) *Fleets {
	f := &Fleets{domain: domain, placer: placer, logger: logger, reach: newReach(), targets: map[string]*known{}, services: map[string]*fleetState{}}
	f.fleets.Store(&map[string]*route.Fleet{})
	f.sharers.Store(1)
	return f
}

// Placer returns the choice of targets.
func (f *Fleets) Placer() route.Placer { return f.placer }

// SetSharers sets the number of instances that send to the targets.
func (f *Fleets) SetSharers(n int) { f.sharers.Store(int64(max(1, n))) }

// Fleet returns the usable targets of the service; none for a service that a
// later configuration took away.
func (f *Fleets) Fleet(service string) *route.Fleet {
	if fleet := (*f.fleets.Load())[service]; fleet != nil {
		return fleet
	}
	return route.NewFleet(nil, f.domain, route.NewPrefixIndex(1))
}

// Refresh rebuilds the fleets from the roster and the breakers.
func (f *Fleets) Refresh(s *roster.Snapshot, services []string, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	alive := map[string]bool{}
	fleets := map[string]*route.Fleet{}
	for _, name := range services {
		fleets[name] = f.rebuild(name, s.ReadyTargets(name), alive, now)
	}
	for id := range f.targets {
		if !alive[id] {
			delete(f.targets, id)
		}
	}
	f.fleets.Store(&fleets)
}

func (f *Fleets) rebuild(name string, rows []*peer.TargetRow, alive map[string]bool, now time.Time) *route.Fleet {
	state := f.state(name)
	state.total = len(rows)
	var usable, ejected []*route.Target
	for _, row := range rows {
		alive[row.Id] = true
		k := f.know(row, state, now)
		k.target.SetSilent(row.Silent)
		k.target.SetSwitching(row.AwayMs > 0)
		k.target.SetEntries(int(f.sharers.Load()))
		switch {
		case k.wrong:
		case state.breaker.Ejected(row.Id, now):
			ejected = append(ejected, k.target)
		default:
			usable = append(usable, k.target)
		}
	}
	if len(usable) == 0 {
		// A doubtful target serves better than none.
		usable = ejected
	}
	return route.NewFleet(usable, f.domain, state.index).WithRates(state.rates)
}

func (f *Fleets) state(name string) *fleetState {
	s := f.services[name]
	if s == nil {
		s = &fleetState{index: route.NewPrefixIndex(piecesPerService), breaker: retry.NewBreaker(), rates: route.NewRates()}
		f.services[name] = s
	}
	return s
}

func (f *Fleets) know(row *peer.TargetRow, state *fleetState, now time.Time) *known {
	k := f.targets[row.Id]
	same := k != nil && k.row.BornMs == row.BornMs && k.row.Address == row.Address
	if same && k.row.Stage == row.Stage {
		k.row = row
		return k
	}
	if same {
		k.row, k.target = row, newTarget(row, now)
		return k
	}
	if k != nil {
		state.index.RemoveTarget(k.target)
	}
	k = &known{row: row, target: newTarget(row, now)}
	f.targets[row.Id] = k
	return k
}

func newTarget(row *peer.TargetRow, now time.Time) *route.Target {
	spec := route.Spec{Name: row.Id, Address: row.Address, FailureDomain: row.Domain, Slots: int(row.Slots), Reclaimable: row.Reclaimable}
	if row.Stage == peer.TargetRow_PREFILL {
		spec.Stage = route.PrefillOnly
	}
	if row.ColdMs > 0 {
		spec.WarmedUpAt = now.Add(time.Duration(row.ColdMs) * time.Millisecond)
	}
	return route.NewTarget(spec)
}

// Succeeded notes that the target did its work.
func (f *Fleets) Succeeded(service string, t *route.Target) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(service).breaker.Success(t.Name())
}

// Failed notes that the target did not. wrong is true if it is not the target
// that was meant.
func (f *Fleets) Failed(service string, t *route.Target, wrong bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(service)
	if k := f.targets[t.Name()]; wrong && k != nil && k.target == t {
		k.wrong = true
		return
	}
	if state.breaker.Failure(t.Name(), state.total, time.Now()) {
		f.logger.Log(event.TargetEjected, zap.String("target", t.Name()), zap.String("service", service), zap.Int("targets", state.total))
	}
}

// Unanswered notes that the target did not answer a connection. Its failure
// domain is left alone for a while if it seems to be cut off.
func (f *Fleets) Unanswered(t *route.Target, now time.Time) {
	if t.FailureDomain() == f.domain {
		return
	}
	dark := f.reach.unanswered(t.FailureDomain(), t.Name(), now)
	if dark == 0 {
		return
	}
	f.logger.Log(event.DomainSilent, zap.String("failure_domain", t.FailureDomain()), zap.String("target", t.Name()), zap.Int64("rest_ms", dark.Milliseconds()))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, k := range f.targets {
		if k.target.FailureDomain() == t.FailureDomain() {
			k.target.SetUnreachable(now.Add(dark))
		}
	}
}

// Answered notes that the target answered.
func (f *Fleets) Answered(t *route.Target) {
	if f.reach.answered(t.FailureDomain()) {
		f.logger.Log(event.DomainBack, zap.String("failure_domain", t.FailureDomain()), zap.String("target", t.Name()))
	}
}

// Holds notes that the target has read the pieces of a prompt.
func (f *Fleets) Holds(service string, t *route.Target, pieces []uint64) {
	f.mutex.Lock()
	index := f.state(service).index
	f.mutex.Unlock()
	index.Add(t, pieces)
}

// Own returns what this instance has in flight, for the others.
func (f *Fleets) Own() []*peer.TargetWork {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*peer.TargetWork
	for id, k := range f.targets {
		if tokens, requests := k.target.OwnLoad(); requests > 0 {
			list = append(list, &peer.TargetWork{Target: id, Tokens: tokens, Requests: requests})
		}
	}
	return list
}

// Others takes what all other instances have in flight.
func (f *Fleets) Others(list []*peer.TargetWork) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	byID := make(map[string]*peer.TargetWork, len(list))
	for _, w := range list {
		byID[w.Target] = w
	}
	for id, k := range f.targets {
		w := byID[id]
		k.target.SetOtherLoad(w.GetTokens(), w.GetRequests())
	}
}

// Entries returns the number of instances that send to the targets.
func (f *Fleets) Entries() int { return int(f.sharers.Load()) }
