package control

import (
	"bytes"
	"fmt"

	"auburnscale/peer"
)

// openClaim gives the right to run a non-idempotent call to the first that asks
// for its key. Everyone else gets the stored outcome, or the truth that the
// outcome is not known.
func (m *Machine) openClaim(e *peer.Entry, c *peer.OpenClaim) *peer.Result {
	m.expireClaims()
	key := claimKey{c.Workspace, c.Key}
	known := m.claims[key]
	if known == nil {
		m.claims[key] = &peer.Claim{Workspace: c.Workspace, Key: c.Key, Digest: c.Digest, Owner: c.Owner, AtMs: m.clockMs}
		m.claimOrder = append(m.claimOrder, key)
		return &peer.Result{}
	}
	if !bytes.Equal(known.Digest, c.Digest) {
		return &peer.Result{Code: peer.Result_CONFLICT, Detail: fmt.Sprintf("idempotency key %q was used for another request", c.Key)}
	}
	if known.Outcome.GetNotRun() {
		known.Outcome = nil
		known.Owner = c.Owner
		return &peer.Result{}
	}
	if known.Outcome != nil {
		return &peer.Result{Code: peer.Result_REPLAY, Outcome: known.Outcome}
	}
	if known.Owner == c.Owner {
		return &peer.Result{}
	}
	return &peer.Result{Code: peer.Result_UNKNOWN_OUTCOME, Detail: "the call was claimed before and its outcome is not known; it is not repeated"}
}

// closeClaim stores the outcome. Only the owner of the claim may, and only once.
func (m *Machine) closeClaim(c *peer.CloseClaim) *peer.Result {
	known := m.claims[claimKey{c.Workspace, c.Key}]
	if known == nil {
		return &peer.Result{Code: peer.Result_NOT_FOUND, Detail: "no such claim"}
	}
	if known.Owner != c.Owner {
		return refused("the claim belongs to another dispatch")
	}
	if known.Outcome != nil {
		return &peer.Result{Code: peer.Result_REPLAY, Outcome: known.Outcome}
	}
	known.Outcome = c.Outcome
	return &peer.Result{}
}

// dropOldClaims forgets claims that are older than the retention. Claims are
// queued in the order of the state's clock, which never runs backwards.
func (m *Machine) expireClaims() {
	limit := m.clockMs - m.limits.ClaimRetain.Milliseconds()
	for len(m.claimOrder) > 0 {
		key := m.claimOrder[0]
		if m.claims[key].AtMs > limit {
			return
		}
		delete(m.claims, key)
		m.claimOrder = m.claimOrder[1:]
	}
}
