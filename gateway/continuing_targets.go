package gateway

import (
	"slices"
	"time"

	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/route"
)

// drainShare is the part of the drain time, as a divisor, in which a draining target gets streams that
// began at its version and that no other target can continue. The rest is left for these streams to
// finish, and for the time until this instance learns that the target drains.
const drainShare = 2

// A reserve holds the targets of a service that get no new requests, but may continue streams.
type reserve struct {
	ejected, draining []*route.Target
}

func (r reserve) withDraining(t *route.Target) reserve {
	r.draining = append(r.draining, t)
	return r
}

// drainingTarget returns the target of a draining row. f.mutex must be held.
func (f *Fleets) drainingTarget(row *peer.TargetRow, alive map[string]bool, now time.Time) *route.Target {
	alive[row.Id] = true
	return f.updateTarget(row, f.state(row.Service), now).target
}

// Continuing returns the service's fleet with the decode targets alone that may continue a stream of
// the origin. Usable ones go before ejected ones, and these before draining ones.
func (f *Fleets) Continuing(o origin.Origin, now time.Time) *route.Fleet {
	fleet := f.Fleet(o.Service)
	rest := (*f.reserves.Load())[o.Service]
	candidates := [][]*route.Target{withSoftware(fleet.DecodeTargets(), o.Software), withSoftware(rest.ejected, o.Software), f.stillDraining(withSoftware(rest.draining, o.Software))}
	for _, targets := range candidates {
		if slices.ContainsFunc(targets, func(t *route.Target) bool { return t.Available(now) }) {
			return fleet.WithDecodeTargets(targets)
		}
	}
	return fleet.WithDecodeTargets(slices.Concat(candidates...))
}

// Runs reports whether any target of the service that this instance knows of may soon continue a stream of
// the origin, whatever its stage. An instance that knows no target of the service cannot tell.
func (f *Fleets) Runs(o origin.Origin) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := false
	for _, k := range f.targets {
		if k.row.Service != o.Service {
			continue
		}
		known = true
		if k.row.State == peer.TargetRow_READY && k.target.Software() == o.Software {
			return true
		}
	}
	return !known
}

func withSoftware(targets []*route.Target, software string) (list []*route.Target) {
	for _, t := range targets {
		if t.Decodes() && t.Software() == software {
			list = append(list, t)
		}
	}
	return list
}

// stillDraining returns those of the draining targets that began to drain so recently that they
// may continue streams.
func (f *Fleets) stillDraining(targets []*route.Target) (list []*route.Target) {
	for _, t := range targets {
		if since, draining := f.leaving.DrainingFor(t.Name(), t.Incarnation()); draining && since < f.continueTime {
			list = append(list, t.Renewed())
		}
	}
	return list
}

// certainSoftware reports whether what the target runs is certain: it is not if the target has
// started again with other software, since the later start may have got the request.
func (f *Fleets) certainSoftware(t *route.Target) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	k := f.targets[t.Name()]
	return k == nil || k.row.BornMs == t.Incarnation() || k.target.Software() == t.Software()
}

// A knownStart is a start of a target that this instance learned of at the given time.
type knownStart struct {
	incarnation int64
	software    string
	at          time.Time
}

const (
	// startRetention is how long the start of a target that has ended is remembered.
	startRetention = time.Minute
	// startTolerance is added to the age of a start for the difference of two clocks, and
	// minStartAge and maxStartAge bound the result. Heartbeats are late by seconds at most.
	startTolerance = time.Second
	minStartAge    = 2 * time.Second
	maxStartAge    = 10 * time.Second
)

// noteStart records a start of a target. If it runs other software than the one before, the streams
// that were sent to the target since it started may have been begun by it. f.mutex must be held.
func (f *Fleets) noteStart(t *route.Target, now time.Time) {
	before, known := f.starts[t.Name()]
	f.starts[t.Name()] = knownStart{t.Incarnation(), t.Software(), now}
	if known && before.incarnation != t.Incarnation() && before.software != t.Software() {
		age := now.Sub(time.UnixMilli(t.Incarnation())) + startTolerance
		f.origins.StartChanged(t.Name(), t.Incarnation(), min(maxStartAge, max(minStartAge, age)))
	}
}

// forgetStarts removes the starts of targets that ended long ago. f.mutex must be held.
func (f *Fleets) forgetStarts(alive map[string]bool, now time.Time) {
	for id, s := range f.starts {
		if !alive[id] && now.Sub(s.at) > startRetention {
			delete(f.starts, id)
		}
	}
}
