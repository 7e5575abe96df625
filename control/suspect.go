package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnscale/peer"
)

const (
	// suspicionDuration is how long a request stays suspect after one crash.
	suspicionDuration = time.Minute
	// quarantineDuration is how long a request is refused once it has reached
	// quarantineCrashes.
	quarantineDuration = 10 * time.Minute
	// quarantineCrashes is the number of target crashes after which the request
	// that was in flight at each of them is quarantined.
	quarantineCrashes = 2
)

// suspectRequest counts the target crashes of a request over all instances. The
// reporter of the first crash may retry the request once; after a further crash
// the request is quarantined and refused. A report with Cleared set withdraws the
// suspicion.
func (m *Machine) suspectRequest(e *peer.Entry, s *peer.Suspect) *peer.Result {
	m.expireQuarantines()
	existing := m.quarantines[s.Fingerprint]
	if s.Cleared {
		return m.clearSuspicion(e, existing, s)
	}
	crashes := existing.GetQuarantine().GetCrashes() + 1
	span := suspicionDuration
	if crashes >= quarantineCrashes {
		span = quarantineDuration
	}
	m.revision = e.Index
	m.quarantines[s.Fingerprint] = &peer.QuarantineMark{Revision: e.Index, Quarantine: &peer.Quarantine{
		Fingerprint: s.Fingerprint, UntilMs: m.clockMs + span.Milliseconds(), Crashes: crashes, Owner: s.Owner,
	}}
	m.appendTrail(e, "suspect", s.Fingerprint, fmt.Sprintf("%d crashes", crashes))
	if crashes >= quarantineCrashes {
		return refused("the request was in flight when %d targets crashed", crashes)
	}
	return &peer.Result{}
}

// clearSuspicion removes the suspicion after the owner's retry succeeded. A
// quarantined request is not cleared.
func (m *Machine) clearSuspicion(e *peer.Entry, existing *peer.QuarantineMark, s *peer.Suspect) *peer.Result {
	if existing == nil || existing.Quarantine.Crashes >= quarantineCrashes || existing.Quarantine.Owner != s.Owner {
		return &peer.Result{}
	}
	delete(m.quarantines, s.Fingerprint)
	m.revision = e.Index
	m.appendTrail(e, "suspect", s.Fingerprint, "cleared")
	return &peer.Result{}
}

func (m *Machine) expireQuarantines() {
	for fingerprint, mark := range m.quarantines {
		if mark.Quarantine.UntilMs < m.clockMs {
			delete(m.quarantines, fingerprint)
		}
	}
}

// Quarantines returns the suspect and quarantined requests that have not expired,
// sorted by fingerprint.
func (m *Machine) Quarantines() []*peer.Quarantine {
	var list []*peer.Quarantine
	for _, fingerprint := range slices.Sorted(maps.Keys(m.quarantines)) {
		q := m.quarantines[fingerprint].Quarantine
		if q.UntilMs >= m.clockMs {
			list = append(list, q)
		}
	}
	return list
}
