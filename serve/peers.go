package serve

import (
	"context"
	"errors"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"auburnscale/control"
	"auburnscale/member"
	"auburnscale/peer"
	"auburnscale/voter"
)

// peerServer answers the inner protocol. The voter and its table are nil on an
// instance that is no voter.
type peerServer struct {
	voter  *voter.Voter
	table  *member.Table
	holder holder
}

// holder keeps copies of other instances' usage counters.
type holder interface {
	Hold(counters []*peer.Counter)
}

// NewVoterServer returns the inner protocol's server of a voter that keeps no
// copies of usage counters.
func NewVoterServer(v *voter.Voter, table *member.Table) peer.Peer {
	return &peerServer{voter: v, table: table, holder: noHolder{}}
}

type noHolder struct{}

// Hold drops the counters.
func (noHolder) Hold([]*peer.Counter) {}

// maxTrailPage bounds one page of the audit trail.
const maxTrailPage = 1000

var errNoVoter = twirp.NewError(twirp.FailedPrecondition, "this instance is no voter")

// Step takes quorum messages.
func (s *peerServer) Step(_ context.Context, request *peer.StepRequest) (*peer.StepResponse, error) {
	if s.voter == nil {
		return nil, errNoVoter
	}
	s.voter.Receive(request.Messages)
	return &peer.StepResponse{}, nil
}

// Propose commits a command if this voter leads.
func (s *peerServer) Propose(ctx context.Context, request *peer.ProposeRequest) (*peer.ProposeResponse, error) {
	v := s.voter
	if v == nil {
		return nil, errNoVoter
	}
	result, err := v.HandlePropose(ctx, request)
	switch {
	case err == nil:
		return &peer.ProposeResponse{Accepted: true, Result: result}, nil
	case errors.Is(err, voter.ErrNotLeader):
		return &peer.ProposeResponse{Leader: v.Status().Leader()}, nil
	}
	return &peer.ProposeResponse{Leader: v.Status().Leader(), Uncertain: true}, nil
}

// Sync answers an instance's heartbeat.
func (s *peerServer) Sync(ctx context.Context, request *peer.SyncRequest) (*peer.SyncResponse, error) {
	if s.table == nil {
		return nil, errNoVoter
	}
	return s.table.Sync(ctx, request)
}

// Hold keeps a copy of another instance's usage counters.
func (s *peerServer) Hold(_ context.Context, request *peer.HoldRequest) (*peer.HoldResponse, error) {
	s.holder.Hold(request.Counters)
	return &peer.HoldResponse{}, nil
}

// Status returns this voter's view; it is the system's if this voter leads.
func (s *peerServer) Status(_ context.Context, request *peer.StatusRequest) (*peer.StatusResponse, error) {
	v := s.voter
	if v == nil {
		return nil, errNoVoter
	}
	standing := v.Status()
	answer := &peer.StatusResponse{
		Leading: v.MayAct(), Leader: standing.Leader(), Term: standing.Term(), Commit: standing.Commit(),
		Voters: standing.Voters(), Members: s.table.Members(),
	}
	if request.Revision > 0 {
		answer.MayServe = s.table.MayServe(request.Revision)
	}
	v.Read(func(m *control.Machine) { fillStatus(answer, m) })
	return answer, nil
}

// fillStatus copies what it reads, since the machine changes its intents.
func fillStatus(answer *peer.StatusResponse, m *control.Machine) {
	answer.Version = m.Configuration().GetVersion()
	answer.Revision = m.Revision()
	answer.SettledWindow = m.LastClosedWindow()
	answer.Drains = m.Drains()
	answer.Withdrawn = m.Withdrawn(0)
	for _, i := range m.Intents() {
		answer.Intents = append(answer.Intents, proto.Clone(i).(*peer.Intent))
	}
}

// Trail returns a page of the audit trail.
func (s *peerServer) Trail(_ context.Context, request *peer.TrailRequest) (*peer.TrailResponse, error) {
	if s.voter == nil {
		return nil, errNoVoter
	}
	answer := &peer.TrailResponse{}
	s.voter.Read(func(m *control.Machine) {
		answer.Entries = slices.Clone(m.Trail(request.After, min(maxTrailPage, int(request.Limit))))
	})
	return answer, nil
}
