package admit

import (
	"maps"
	"math"
	"sync"
	"time"
)

// A Load is the load of a service's targets, from all instances together.
type Load struct {
	// Slots and Requests are the slots of the targets that generate responses, and the estimated
	// number of requests on them.
	Slots, Requests int64
	// Backlog is the mean time that a new prompt waits for those before it.
	Backlog time.Duration
	// Objective is the shortest latency objective of the requests to the service. The pressure
	// is the same for all of them, so that it does not refuse urgent ones first.
	Objective time.Duration
}

// Pressure returns the load relative to the capacity. At 1 all slots are used, or new prompts wait
// for half of the objective; the rest of it is left for their own prefill and its transfer.
func (l Load) Pressure() float64 {
	pressure := 0.0
	if l.Slots > 0 {
		pressure = float64(l.Requests) / float64(l.Slots)
	}
	if l.Objective > 0 {
		pressure = max(pressure, float64(l.Backlog)/(backlogPart*float64(l.Objective)))
	}
	return pressure
}

const (
	backlogPart = 0.5
	// shortagePressure is the pressure from which requests are refused, and fullPressure the one
	// from which only minAdmitted of them are sent. The pooled load is some 0.3 s old and requests
	// take 1 s and more: a narrower band makes the load swing between too much and too little.
	shortagePressure = 0.9
	fullPressure     = 1.3
	// endPressure is the pressure below which a shortage is reported as over.
	endPressure = 0.8
	minAdmitted = 0.05
	// evenPart is the part of the admitted cost that is spread evenly over all requests. Every
	// workspace and size is thus served at least evenPart times as often as all together; a
	// quarter is required.
	evenPart = 0.4
	// demandHalfLife is the half-life of the demand by rank. Bursts last about 3 s, and an entry
	// instance gets some four requests a second.
	demandHalfLife = 5 * time.Second
	// ranks is the number of ranks that are told apart.
	ranks = 64
	// maxGateRetryAfter bounds the Retry-After of a refusal.
	maxGateRetryAfter = 5 * time.Second
	// returnGrace is how long after the time it was given a caller counts as returned, and
	// earlyReturn how much earlier it may come: Retry-After is rounded to hundredths of a second.
	returnGrace = 3 * time.Second
	earlyReturn = 20 * time.Millisecond
	// maxPromises bounds the refusals that are remembered.
	maxPromises = 8192
	// durationSmoothing is the weight of a request's duration in the moving average.
	durationSmoothing = 0.05
)

// A Demand holds the properties of a request that a Gate uses.
type Demand struct {
	Service   string
	Workspace string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Cost is the request's cost in prompt tokens, as returned by the function Cost.
	Cost float64
	// Fingerprint is the same when the caller sends the same request again.
	Fingerprint uint64
	// Objective is the request's latency objective, the least Retry-After.
	Objective time.Duration
}

// A Gate decides, on an entry instance that holds no requests, whether a request is sent at once or
// refused. Without a shortage all are sent. All instances take the same part of the demand from the
// same pooled load, so that they need no agreement on single requests. It is safe for concurrent use.
type Gate struct {
	mode   string
	random func() float64

	mutex    sync.Mutex
	services map[string]*gateService
	promises map[uint64]time.Time
}

type gateService struct {
	shares shares
	// demand is the recent cost of the requests by rank, as of decayedAt.
	demand    [ranks]float64
	decayedAt time.Time
	// duration is the average time that a request takes.
	duration time.Duration
	// short is true in a shortage.
	short bool
}

// A Verdict is a decision of a Gate.
type Verdict struct {
	// Refusal is nil if the request is to be sent now. Otherwise it has the time at which capacity
	// is expected.
	Refusal  *Refusal
	Pressure float64
	// Short tells whether there is a shortage, and Changed whether that has changed.
	Short, Changed bool
}

// NewGate returns a gate without observations. mode is "auto", "on" or "off"; random returns a number
// in [0, 1).
func NewGate(mode string, random func() float64) *Gate {
	return &Gate{mode: mode, random: random, services: map[string]*gateService{}, promises: map[uint64]time.Time{}}
}

// Active reports whether requests to a service are subject to the gate. With "auto" they are if its
// targets state their speed. A nil Gate is never active.
func (g *Gate) Active(statesSpeed bool) bool {
	return g != nil && (g.mode == "on" || g.mode == "auto" && statesSpeed)
}

// service returns the state of the service. g.mutex must be held.
func (g *Gate) service(name string, now time.Time) *gateService {
	s := g.services[name]
	if s == nil {
		s = &gateService{shares: newShares(), decayedAt: now, duration: initialServiceTime}
		g.services[name] = s
	}
	return s
}

// Decide decides whether the request is sent now under the load.
func (g *Gate) Decide(load Load, d Demand, now time.Time) Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.service(d.Service, now)
	w := s.shares.workspace(d.Workspace, 1, now)
	s.shares.update(w, now)
	rank := rankOf(d.Priority, s.shares.level(w), g.takePromise(d.Fingerprint, now))
	s.decay(now)
	cost := max(1, d.Cost)
	s.demand[rank] += cost
	pressure := load.Pressure()
	short := pressure >= shortagePressure || s.short && pressure >= endPressure
	v := Verdict{Pressure: pressure, Short: short, Changed: short != s.short}
	s.short = short
	if part := admittedPart(pressure); part == 1 || g.random() < s.admission(rank, part) {
		s.shares.charge(w, cost, now)
		return v
	}
	wait := g.returnAfter(s, pressure, d.Objective)
	g.promise(d.Fingerprint, now, wait)
	v.Refusal = &Refusal{reason: "the targets of the service have no capacity for the request now", retryAfter: wait}
	return v
}

// Ended records how long an admitted request took.
func (g *Gate) Ended(service string, took time.Duration, now time.Time) {
	if g == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.service(service, now)
	s.duration += time.Duration(durationSmoothing * float64(took-s.duration))
}

// rankOf returns the rank of a request; low ranks are sent first. Each half doubling of a
// workspace's use above its fair share counts as much as one step of priority. A caller that
// returns at the time it was given goes before new ones.
func rankOf(priority, level int, returned bool) int {
	rank := 2 * (max(0, priority) + level)
	if !returned {
		rank++
	}
	return min(ranks-1, rank)
}

// admittedPart returns the part of the demand that is sent under the pressure.
func admittedPart(pressure float64) float64 {
	part := 1 - (pressure-shortagePressure)/(fullPressure-shortagePressure)
	return max(minAdmitted, min(1, part))
}

// admission returns the probability with which a request of the rank is sent, if the given part of
// the demand is: the ranks in order, apart from what all get alike.
func (s *gateService) admission(rank int, part float64) float64 {
	total, before := 0.0, 0.0
	for i, cost := range s.demand {
		total += cost
		if i < rank {
			before += cost
		}
	}
	byRank := max(0, min(1, (part*total-before)/s.demand[rank]))
	return evenPart*part + (1-evenPart)*byRank
}

func (s *gateService) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	for i := range s.demand {
		s.demand[i] *= factor
	}
	s.decayedAt = now
}

// returnAfter returns the time after which the caller is told to return: that in which what exceeds
// the capacity ends, spread over as long again.
func (g *Gate) returnAfter(s *gateService, pressure float64, objective time.Duration) time.Duration {
	drain := time.Duration(float64(s.duration) * (pressure - shortagePressure) / max(pressure, 1))
	least := min(maxGateRetryAfter/2, max(minRetryAfter, objective, drain))
	return time.Duration(float64(least) * (1 + g.random()))
}

// promise remembers that the caller was told to return after the given time. g.mutex must be held.
func (g *Gate) promise(fingerprint uint64, now time.Time, after time.Duration) {
	if len(g.promises) >= maxPromises {
		maps.DeleteFunc(g.promises, func(_ uint64, at time.Time) bool { return now.After(at.Add(returnGrace)) })
	}
	if len(g.promises) >= maxPromises {
		clear(g.promises)
	}
	g.promises[fingerprint] = now.Add(after)
}

// takePromise reports whether the caller was refused before and returns at the time it was given,
// and ends the promise if that time has come. g.mutex must be held.
func (g *Gate) takePromise(fingerprint uint64, now time.Time) bool {
	at, found := g.promises[fingerprint]
	if !found || now.Before(at.Add(-earlyReturn)) {
		return false
	}
	delete(g.promises, fingerprint)
	return !now.After(at.Add(returnGrace))
}
