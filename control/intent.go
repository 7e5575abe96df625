package control

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"auburnscale/peer"
)

// openIntent records that an issuer is about to perform an external action on a
// target. A target has one intent at a time. A different action is refused until
// the open one is done and, if the target does not check fencing tokens, until
// every process that may still have a request in flight has committed its
// response or has been released.
func (m *Machine) openIntent(e *peer.Entry, o *peer.OpenIntent) *peer.Result {
	existing := m.intents[o.Target]
	if existing != nil && existing.Id == o.Id && existing.Kind == o.Kind && bytes.Equal(existing.Payload, o.Payload) {
		return m.takeOverIntent(e, existing, o.Issuer)
	}
	if existing != nil && !existing.Done {
		return refused("intent %s on target %q is still open", existing.Id, o.Target)
	}
	if existing != nil && !o.Fenced && len(existing.Issuers) > 0 {
		return refused("target %q does not check fencing tokens, and issuer %s of intent %s is not released", o.Target, existing.Issuers[0], existing.Id)
	}
	m.intents[o.Target] = &peer.Intent{
		Id: o.Id, Target: o.Target, Kind: o.Kind, Payload: o.Payload,
		Fenced: o.Fenced, Epoch: e.Term, Issuers: []string{o.Issuer},
	}
	m.appendTrail(e, "intent", o.Target, fmt.Sprintf("%s %s opened in epoch %d", o.Kind, o.Id, e.Term))
	return &peer.Result{Epoch: e.Term}
}

// takeOverIntent lets a new leader send the payload of an open intent again. If
// the intent is done, the result is REPLAY.
func (m *Machine) takeOverIntent(e *peer.Entry, intent *peer.Intent, issuer string) *peer.Result {
	if intent.Done {
		return &peer.Result{Code: peer.Result_REPLAY, Epoch: intent.Epoch}
	}
	if !slices.Contains(intent.Issuers, issuer) {
		intent.Issuers = append(intent.Issuers, issuer)
		m.appendTrail(e, "intent", intent.Target, fmt.Sprintf("%s %s taken over in epoch %d", intent.Kind, intent.Id, e.Term))
	}
	intent.Epoch = e.Term
	return &peer.Result{Epoch: e.Term}
}

// closeIntent records the target's response. The issuer that received it has no
// request in flight any more and is removed from the intent.
func (m *Machine) closeIntent(e *peer.Entry, c *peer.CloseIntent) *peer.Result {
	for _, name := range slices.Sorted(maps.Keys(m.intents)) {
		intent := m.intents[name]
		if intent.Id != c.Id {
			continue
		}
		intent.Issuers = without(intent.Issuers, c.Issuer)
		if !intent.Done {
			intent.Done = true
			intent.Status = c.Status
			m.appendTrail(e, "intent", intent.Target, fmt.Sprintf("%s %s answered %d %s", intent.Kind, intent.Id, c.Status, c.Detail))
			m.acknowledgeWindow(intent)
		}
		return &peer.Result{}
	}
	return &peer.Result{Code: peer.Result_NOT_FOUND, Detail: fmt.Sprintf("intent %s does not exist", c.Id)}
}

// releaseIssuer removes a process that is known to have terminated from every
// intent.
func (m *Machine) releaseIssuer(e *peer.Entry, r *peer.ReleaseIssuer) *peer.Result {
	m.removeIssuer(r.Issuer)
	m.appendTrail(e, "release", r.Issuer, r.Reason)
	return &peer.Result{Detail: "committed"}
}

func (m *Machine) removeIssuer(issuer string) {
	for _, intent := range m.intents {
		intent.Issuers = without(intent.Issuers, issuer)
	}
}

// Intents returns the latest intent of every target, sorted by target.
func (m *Machine) Intents() []*peer.Intent {
	var list []*peer.Intent
	for _, name := range slices.Sorted(maps.Keys(m.intents)) {
		list = append(list, m.intents[name])
	}
	return list
}

// Intent returns the latest intent on the target, or nil.
func (m *Machine) Intent(target string) *peer.Intent { return m.intents[target] }

func without(list []string, drop string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == drop })
}
