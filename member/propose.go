package member

import (
	"context"
	"errors"
	"time"

	"auburnscale/peer"
	"auburnscale/voter"
)

// ErrNoControl means that no control leader took the command in time. It may
// still have been committed if it was sent to one.
var ErrNoLeader = errors.New("no control leader can be reached")

// proposePause is the wait between two tries.
const proposePause = 50 * time.Millisecond

// A Proposer commits commands from any instance: through the local voter if it
// leads, or else through the leader. Every command may be proposed twice without
// harm, so a try whose outcome is not known is repeated.
type Proposer struct {
	follower *ControlClient
	dialer   Dialer
	local    *voter.Voter
}

// NewProposer returns the proposer of an instance. local is nil if the instance
// is no voter.
func NewProposer(follower *ControlClient, dialer Dialer, local *voter.Voter) *Proposer {
	return &Proposer{follower: follower, dialer: dialer, local: local}
}

// Propose returns the result of the committed command, or ErrNoControl when the
// context ends first.
func (p *Proposer) Propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	return p.submit(ctx, &peer.ProposeRequest{Command: command})
}

// ChangeVoters returns the result of the change of the voter set.
func (p *Proposer) ChangeVoters(ctx context.Context, voters *peer.Voters) (*peer.Result, error) {
	return p.submit(ctx, &peer.ProposeRequest{Voters: voters})
}

func (p *Proposer) submit(ctx context.Context, request *peer.ProposeRequest) (*peer.Result, error) {
	hint := uint64(0)
	for tries := 0; ; tries++ {
		result, leader := p.try(ctx, request, hint, tries)
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
		case <-time.After(proposePause):
		}
	}
}

// try proposes once and returns the result, or a leader to try next.
func (p *Proposer) try(ctx context.Context, request *peer.ProposeRequest, hint uint64, tries int) (*peer.Result, uint64) {
	if p.local != nil && (hint == p.local.ID() || p.local.Status().Leader() == p.local.ID()) {
		result, err := p.local.HandlePropose(ctx, request)
		if err == nil {
			return result, 0
		}
		return nil, p.local.Status().Leader()
	}
	address := p.address(hint, tries)
	answer, err := p.dialer.Peer(address).Propose(ctx, request)
	if err != nil {
		return nil, 0
	}
	if answer.Accepted && !answer.Uncertain {
		return answer.Result, 0
	}
	return nil, answer.Leader
}

// address picks the hinted leader, then the known one, then the voters in turn.
func (p *Proposer) address(hint uint64, tries int) string {
	voters := p.follower.config.Voters
	if address := voters[hint]; address != "" {
		return address
	}
	if address := voters[p.follower.View().Leader()]; address != "" && tries%2 == 0 {
		return address
	}
	return voters[p.follower.order[tries/2%len(p.follower.order)]]
}

// Leader returns the stub of the control leader as far as it is known, or nil.
func (p *Proposer) LeaderClient() peer.Peer {
	address := p.follower.config.Voters[p.follower.View().Leader()]
	if address == "" {
		return nil
	}
	return p.dialer.Peer(address)
}

// inForcePause is the wait between two questions whether a change is in force.
const inForcePause = 2 * time.Millisecond

// AwaitInForce waits until no instance may serve keyed requests by a state older
// than the revision. It returns false if the context ends first.
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
		case <-time.After(inForcePause):
		}
	}
	return false
}
