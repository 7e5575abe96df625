package control

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// Snapshot returns a deep copy of the state. Equal states give equal snapshots.
func (m *Machine) Snapshot() *peer.State {
	s := &peer.State{
		Applied: m.lastApplied, Revision: m.revision, ClockMs: m.clockMs,
		Configuration: m.configuration, Document: m.document, Earlier: slices.Clone(m.previous),
		Instances: m.Instances(), Intents: m.Intents(),
		SettledWindow: m.lastClosedWindow,
		Trail:         slices.Clone(m.trail),
	}
	for _, id := range slices.Sorted(maps.Keys(m.withdrawn)) {
		s.Withdrawals = append(s.Withdrawals, &peer.Withdrawal{KeyId: id, Revision: m.withdrawn[id]})
	}
	for _, key := range sortedKeys(m.drains, compareDrain) {
		s.Drains = append(s.Drains, &peer.DrainMark{Drain: &peer.Drain{Kind: key.kind, Name: key.name}, Revision: m.drains[key]})
	}
	for _, fingerprint := range slices.Sorted(maps.Keys(m.quarantines)) {
		s.Quarantines = append(s.Quarantines, m.quarantines[fingerprint])
	}
	for _, key := range sortedKeys(m.claims, compareClaim) {
		s.Claims = append(s.Claims, m.claims[key])
	}
	for _, number := range slices.Sorted(maps.Keys(m.windows)) {
		s.Windows = append(s.Windows, m.windows[number])
	}
	for _, key := range sortedKeys(m.settledCounters, compareCounter) {
		s.Settled = append(s.Settled, m.settledCounters[key])
	}
	return proto.Clone(s).(*peer.State)
}

// Restore replaces the state with that of a snapshot. The limits are kept.
func (m *Machine) Restore(state *peer.State) {
	s := proto.Clone(state).(*peer.State)
	*m = Machine{
		limits: m.limits, lastApplied: s.Applied, revision: s.Revision, clockMs: s.ClockMs,
		configuration: s.Configuration, document: s.Document, previous: s.Earlier, trail: s.Trail, lastClosedWindow: s.SettledWindow,
		withdrawn: map[string]uint64{}, drains: map[drainKey]uint64{}, quarantines: map[string]*peer.QuarantineMark{},
		claims: map[claimKey]*peer.Claim{}, intents: map[string]*peer.Intent{},
		instances: map[string]*peer.Join{}, windows: map[int64]*peer.Window{}, settledCounters: map[counterKey]*peer.Counter{},
	}
	for _, w := range s.Withdrawals {
		m.withdrawn[w.KeyId] = w.Revision
	}
	for _, d := range s.Drains {
		m.drains[drainKey{d.Drain.Kind, d.Drain.Name}] = d.Revision
	}
	for _, q := range s.Quarantines {
		m.quarantines[q.Quarantine.Fingerprint] = q
	}
	for _, c := range s.Claims {
		key := claimKey{c.Workspace, c.Key}
		m.claims[key] = c
		m.claimOrder = append(m.claimOrder, key)
	}
	slices.SortFunc(m.claimOrder, func(a, b claimKey) int {
		return cmp.Or(cmp.Compare(m.claims[a].AtMs, m.claims[b].AtMs), compareClaim(a, b))
	})
	m.restoreInstancesAndUsage(s)
}

// restoreInstancesAndUsage restores intents, instances, usage windows and settled
// counters.
func (m *Machine) restoreInstancesAndUsage(s *peer.State) {
	for _, i := range s.Intents {
		m.intents[i.Target] = i
	}
	for _, j := range s.Instances {
		m.instances[j.Instance] = j
	}
	for _, w := range s.Windows {
		m.windows[w.Window] = w
	}
	for _, c := range s.Settled {
		if c.Source == TotalSource {
			// An earlier release kept them.
			continue
		}
		m.settledCounters[counterKey{c.Source, c.Window, c.Workspace}] = c
	}
}

func sortedKeys[K comparable, V any](from map[K]V, compare func(a, b K) int) []K {
	return slices.SortedFunc(maps.Keys(from), compare)
}

func compareDrain(a, b drainKey) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

func compareClaim(a, b claimKey) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.key, b.key))
}
