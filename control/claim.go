package control

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// openClaim grants the right to run a non-idempotent call to the first owner that
// claims the call's idempotency key. Later owners get the stored outcome, or
// UNKNOWN_OUTCOME if none is stored. A claim whose call did not run is granted to
// the next owner. A claim of the key for a request with another digest is a
// conflict.
func (m *Machine) openClaim(e *peer.Entry, c *peer.OpenClaim) *peer.Result {
	m.expireClaims()
	key := claimKey{c.Workspace, c.Key}
	claim := m.claims[key]
	if claim == nil {
		m.claims[key] = &peer.Claim{Workspace: c.Workspace, Key: c.Key, Digest: c.Digest, Owner: c.Owner, AtMs: m.clockMs}
		m.claimOrder = append(m.claimOrder, key)
		return &peer.Result{}
	}
	if !bytes.Equal(claim.Digest, c.Digest) {
		return &peer.Result{Code: peer.Result_CONFLICT, Detail: fmt.Sprintf("idempotency key %q was used for another request", c.Key)}
	}
	if claim.Outcome.GetNotRun() {
		claim.Outcome = nil
		claim.Owner = c.Owner
		return &peer.Result{}
	}
	if claim.Outcome != nil {
		return &peer.Result{Code: peer.Result_REPLAY, Outcome: claim.Outcome}
	}
	if claim.Owner == c.Owner {
		return &peer.Result{}
	}
	return &peer.Result{Code: peer.Result_UNKNOWN_OUTCOME, Detail: "another request has claimed this idempotency key and its outcome is unknown; the call is not retried"}
}

// closeClaim stores the outcome of a claimed call. Only the owner of the claim
// may store it, and only once. A repeated closeClaim is confirmed, since the response to the
// first may have been lost; one with another outcome gets the stored one.
func (m *Machine) closeClaim(c *peer.CloseClaim) *peer.Result {
	claim := m.claims[claimKey{c.Workspace, c.Key}]
	if claim == nil {
		return &peer.Result{Code: peer.Result_NOT_FOUND, Detail: "no claim exists for this idempotency key"}
	}
	if claim.Owner != c.Owner {
		return refused("the claim is owned by another request")
	}
	if claim.Outcome != nil && !proto.Equal(claim.Outcome, c.Outcome) {
		return &peer.Result{Code: peer.Result_REPLAY, Outcome: claim.Outcome}
	}
	claim.Outcome = c.Outcome
	return &peer.Result{}
}

// expireClaims removes claims older than Limits.ClaimRetain. claimOrder is sorted
// by claim time because the state machine's clock never runs backwards.
func (m *Machine) expireClaims() {
	cutoffMs := m.clockMs - m.limits.ClaimRetain.Milliseconds()
	for len(m.claimOrder) > 0 {
		key := m.claimOrder[0]
		if m.claims[key].AtMs > cutoffMs {
			return
		}
		delete(m.claims, key)
		m.claimOrder = m.claimOrder[1:]
	}
}
