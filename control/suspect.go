package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnscale/peer"
)

const (
	// suspectSpan is how long a request stays suspect after one crash.
	suspicionDuration = time.Minute
	// quarantineSpan is how long it is refused after two.
	quarantineDuration = 10 * time.Minute
	// maxCrashes is the number of targets that one request may crash.
	quarantineCrashes = 2
)

// suspect counts the crashes of a request over all instances. The first report
// gets the one try that is left; every other one is refused.
func (m *Machine) suspectRequest(e *peer.Entry, s *peer.Suspect) *peer.Result {
	m.expireQuarantines()
	known := m.quarantines[s.Fingerprint]
	if s.Cleared {
		return m.clearSuspicion(e, known, s)
	}
	crashes := known.GetQuarantine().GetCrashes() + 1
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

// clearSuspect takes the suspicion back after the owner's try went well.
func (m *Machine) clearSuspicion(e *peer.Entry, known *peer.QuarantineMark, s *peer.Suspect) *peer.Result {
	if known == nil || known.Quarantine.Crashes >= quarantineCrashes || known.Quarantine.Owner != s.Owner {
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

// Quarantines returns the suspect and quarantined requests that have not run
// out, sorted by fingerprint.
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
