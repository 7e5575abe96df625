package control

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"auburnscale/peer"
)

// openIntent records that an issuer is about to act on a target. A target has
// one intent at a time. A different action waits until the open one is done and,
// if the target does not check fencing numbers, until every process that may
// still have a send in flight has answered or is known to be gone.
func (m *Machine) openIntent(e *peer.Entry, o *peer.OpenIntent) *peer.Result {
	known := m.intents[o.Target]
	if known != nil && known.Id == o.Id && known.Kind == o.Kind && bytes.Equal(known.Payload, o.Payload) {
		return m.takeOverIntent(e, known, o.Issuer)
	}
	if known != nil && !known.Done {
		return refused("intent %s on target %q has no outcome yet", known.Id, o.Target)
	}
	if known != nil && !o.Fenced && len(known.Issuers) > 0 {
		return refused("target %q does not check fencing numbers, and issuer %s of intent %s is not released", o.Target, known.Issuers[0], known.Id)
	}
	m.intents[o.Target] = &peer.Intent{
		Id: o.Id, Target: o.Target, Kind: o.Kind, Payload: o.Payload,
		Fenced: o.Fenced, Epoch: e.Term, Issuers: []string{o.Issuer},
	}
	m.appendTrail(e, "intent", o.Target, fmt.Sprintf("%s %s opened in epoch %d", o.Kind, o.Id, e.Term))
	return &peer.Result{Epoch: e.Term}
}

// joinIntent lets a successor send the same content again.
func (m *Machine) takeOverIntent(e *peer.Entry, known *peer.Intent, issuer string) *peer.Result {
	if known.Done {
		return &peer.Result{Code: peer.Result_REPLAY, Epoch: known.Epoch}
	}
	if !slices.Contains(known.Issuers, issuer) {
		known.Issuers = append(known.Issuers, issuer)
		m.appendTrail(e, "intent", known.Target, fmt.Sprintf("%s %s taken over in epoch %d", known.Kind, known.Id, e.Term))
	}
	known.Epoch = e.Term
	return &peer.Result{Epoch: e.Term}
}

// closeIntent records the target's answer. The issuer that got it has no send in
// flight any more.
func (m *Machine) closeIntent(e *peer.Entry, c *peer.CloseIntent) *peer.Result {
	for _, name := range slices.Sorted(maps.Keys(m.intents)) {
		known := m.intents[name]
		if known.Id != c.Id {
			continue
		}
		known.Issuers = without(known.Issuers, c.Issuer)
		if !known.Done {
			known.Done = true
			known.Status = c.Status
			m.appendTrail(e, "intent", known.Target, fmt.Sprintf("%s %s answered %d %s", known.Kind, known.Id, c.Status, c.Detail))
			m.acknowledgeWindow(known)
		}
		return &peer.Result{}
	}
	return &peer.Result{Code: peer.Result_NOT_FOUND, Detail: fmt.Sprintf("no intent %s", c.Id)}
}

// release removes a process that is known to be gone from every intent.
func (m *Machine) releaseIssuer(e *peer.Entry, r *peer.ReleaseIssuer) *peer.Result {
	m.removeIssuer(r.Issuer)
	m.appendTrail(e, "release", r.Issuer, r.Reason)
	return &peer.Result{Detail: "committed"}
}

func (m *Machine) removeIssuer(issuer string) {
	for _, known := range m.intents {
		known.Issuers = without(known.Issuers, issuer)
	}
}

// Intents returns all intents, sorted by target.
func (m *Machine) Intents() []*peer.Intent {
	var list []*peer.Intent
	for _, name := range slices.Sorted(maps.Keys(m.intents)) {
		list = append(list, m.intents[name])
	}
	return list
}

// Intent returns the last intent on the target, or nil.
func (m *Machine) Intent(target string) *peer.Intent { return m.intents[target] }

func without(list []string, drop string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == drop })
}
