package member

import (
	"context"
	"errors"
	"time"

	"auburnscale/peer"
	"auburnscale/voter"
)

// ErrNoLeader means that no control leader confirmed the command in time. If the
// command was sent to a leader, it may still have been committed.
var ErrNoLeader = errors.New("no control leader can be reached")

// proposeRetryDelay is the delay between two attempts.
const proposeRetryDelay = 50 * time.Millisecond

// A Proposer commits commands from any instance: through the local voter if it
// leads, or else through the leader. Commands are idempotent, so an attempt whose
// outcome is unknown is retried.
type Proposer struct {
	client *ControlClient
	dialer Dialer
	// local is the voter of this instance, or nil.
	local *voter.Voter
}

// NewProposer returns the proposer of an instance. local is nil if the instance
// is not a voter.
func NewProposer(client *ControlClient, dialer Dialer, local *voter.Voter) *Proposer {
	return &Proposer{client: client, dialer: dialer, local: local}
}

// Propose commits the command and returns its result, or ErrNoLeader if the context
// ends first.
func (p *Proposer) Propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	return p.submit(ctx, &peer.ProposeRequest{Command: command})
}

// ChangeVoters changes the voter set and returns the result, or ErrNoLeader if the
// context ends first.
func (p *Proposer) ChangeVoters(ctx context.Context, voters *peer.Voters) (*peer.Result, error) {
	return p.submit(ctx, &peer.ProposeRequest{Voters: voters})
}

// submit proposes the request until there is a result or the context ends.
func (p *Proposer) submit(ctx context.Context, request *peer.ProposeRequest) (*peer.Result, error) {
	hint := uint64(0)
	for attempt := 0; ; attempt++ {
		result, leader := p.attempt(ctx, request, hint, attempt)
		if result != nil {
			return result, nil
		}
		if leader != 0 && leader != hint {
			hint = leader
			continue
		}
		hint = 0
		select {
		case <-ctx.Done():
			return nil, errors.Join(ErrNoLeader, ctx.Err())
		case <-time.After(proposeRetryDelay):
		}
	}
}

// attempt proposes once. It returns the result, or the id of the leader to propose
// to next, or 0 if that is unknown.
func (p *Proposer) attempt(ctx context.Context, request *peer.ProposeRequest, hint uint64, attempt int) (*peer.Result, uint64) {
	if p.local != nil && (hint == p.local.ID() || p.local.Status().Leader() == p.local.ID()) {
		result, err := p.local.HandlePropose(ctx, request)
		if err == nil {
			return result, 0
		}
		return nil, p.local.Status().Leader()
	}
	address := p.address(hint, attempt)
	response, err := p.dialer.Peer(address).Propose(ctx, request)
	if err != nil {
		return nil, 0
	}
	if response.Accepted && !response.Uncertain {
		return response.Result, 0
	}
	return nil, response.Leader
}

// address returns the peer address to propose to: that of the hinted leader, else
// that of the known leader at even attempts, else that of the voters in turn.
func (p *Proposer) address(hint uint64, attempt int) string {
	voters := p.client.config.Voters
	if address := voters[hint]; address != "" {
		return address
	}
	if address := voters[p.client.View().Leader()]; address != "" && attempt%2 == 0 {
		return address
	}
	return voters[p.client.voterIDs[attempt/2%len(p.client.voterIDs)]]
}

// LeaderClient returns the client for the last known control leader, or nil if none is
// known.
func (p *Proposer) LeaderClient() peer.Peer {
	address := p.client.config.Voters[p.client.View().Leader()]
	if address == "" {
		return nil
	}
	return p.dialer.Peer(address)
}

// inEffectPollInterval is the delay between two checks whether a change has taken
// effect everywhere.
const inEffectPollInterval = 2 * time.Millisecond

// AwaitInEffect waits until no instance may serve requests with a caller key by a state
// older than the revision. It returns false if the context ends first.
func (p *Proposer) AwaitInEffect(ctx context.Context, revision uint64) bool {
	for ctx.Err() == nil {
		if leader := p.LeaderClient(); leader != nil {
			status, err := leader.Status(ctx, &peer.StatusRequest{Revision: revision})
			if err == nil && status.Leading && len(status.MayServe) == 0 {
				return true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(inEffectPollInterval):
		}
	}
	return false
}
