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
	"auburnscale/permit"
	"auburnscale/quarantine"
	"auburnscale/voter"
)

// peerServer serves the peer protocol, which instances speak among each other.
// voter, table, suspects, issuer and tokens are nil on an instance that is not a voter.
type peerServer struct {
	voter         *voter.Voter
	table         *member.Table
	suspects      *quarantine.Board
	issuer        *permit.Issuer
	tokens        *permit.Tokens
	counterHolder counterHolder
}

// counterHolder holds copies of other instances' usage counters.
type counterHolder interface {
	Hold(counters []*peer.Counter)
}

// NewVoterServer returns a peer protocol server for a voter that keeps no copies
// of usage counters. Without an issuer it issues no permits.
func NewVoterServer(v *voter.Voter, table *member.Table, suspects *quarantine.Board, issuer *permit.Issuer) peer.Peer {
	return &peerServer{voter: v, table: table, suspects: suspects, issuer: issuer, counterHolder: discardCounters{}}
}

type discardCounters struct{}

// Hold discards the counters.
func (discardCounters) Hold([]*peer.Counter) {}

// maxTrailEntries is the maximum number of audit trail entries in a response.
const maxTrailEntries = 1000

var errNotVoter = twirp.NewError(twirp.FailedPrecondition, "this instance is not a voter")

// Step passes quorum messages to the voter.
func (s *peerServer) Step(_ context.Context, request *peer.StepRequest) (*peer.StepResponse, error) {
	if s.voter == nil {
		return nil, errNotVoter
	}
	s.voter.Receive(request.Messages)
	return &peer.StepResponse{}, nil
}

// Propose commits a command if this voter is the leader. If it is not, or if the
// command's outcome is uncertain, the response names the leader that this voter
// knows.
func (s *peerServer) Propose(ctx context.Context, request *peer.ProposeRequest) (*peer.ProposeResponse, error) {
	v := s.voter
	if v == nil {
		return nil, errNotVoter
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

// Sync handles an instance's heartbeat.
func (s *peerServer) Sync(ctx context.Context, request *peer.SyncRequest) (*peer.SyncResponse, error) {
	if s.table == nil {
		return nil, errNotVoter
	}
	return s.table.Sync(ctx, request)
}

// ReportSuspects adds an instance's report to the evidence on suspect prompt blocks.
func (s *peerServer) ReportSuspects(_ context.Context, report *peer.SuspectReport) (*peer.SuspectList, error) {
	if s.suspects == nil {
		return nil, errNotVoter
	}
	return s.suspects.Report(report), nil
}

// IssuePermit issues a permit for a request to a target with a rate limit, if this voter leads.
func (s *peerServer) IssuePermit(_ context.Context, request *peer.PermitRequest) (*peer.PermitResponse, error) {
	if s.issuer == nil {
		return nil, errNotVoter
	}
	return s.issuer.Issue(request), nil
}

// TakeTokens takes tokens from the bucket of a workspace's limit, if this voter leads.
func (s *peerServer) TakeTokens(_ context.Context, request *peer.TokenRequest) (*peer.TokenResponse, error) {
	if s.tokens == nil {
		return nil, errNotVoter
	}
	return s.tokens.Take(request), nil
}

// Hold keeps a copy of another instance's usage counters.
func (s *peerServer) Hold(_ context.Context, request *peer.HoldRequest) (*peer.HoldResponse, error) {
	s.counterHolder.Hold(request.Counters)
	return &peer.HoldResponse{}, nil
}

// Status returns this voter's view of the control group, which is authoritative
// only if this voter is the leader.
func (s *peerServer) Status(_ context.Context, request *peer.StatusRequest) (*peer.StatusResponse, error) {
	v := s.voter
	if v == nil {
		return nil, errNotVoter
	}
	status := v.Status()
	response := &peer.StatusResponse{
		Leading: v.MayAct(), Leader: status.Leader(), Term: status.Term(), Commit: status.Commit(),
		Voters: status.Voters(), Members: s.table.Members(),
	}
	if request.Revision > 0 {
		response.MayServe = s.table.MayServe(request.Revision)
	}
	v.Read(func(m *control.Machine) { fillStatus(response, m) })
	return response, nil
}

// fillStatus adds the state of the machine to the response. It copies the intents,
// since the machine changes them later.
func fillStatus(response *peer.StatusResponse, m *control.Machine) {
	response.Version = m.Configuration().GetVersion()
	response.Revision = m.Revision()
	response.SettledWindow = m.LastClosedWindow()
	response.Drains = m.Drains()
	response.Withdrawn = m.Withdrawn(0)
	for _, i := range m.Intents() {
		response.Intents = append(response.Intents, proto.Clone(i).(*peer.Intent))
	}
}

// Trail returns the entries of the audit trail that follow request.After, at most
// maxTrailEntries.
func (s *peerServer) Trail(_ context.Context, request *peer.TrailRequest) (*peer.TrailResponse, error) {
	if s.voter == nil {
		return nil, errNotVoter
	}
	response := &peer.TrailResponse{}
	s.voter.Read(func(m *control.Machine) {
		response.Entries = slices.Clone(m.Trail(request.After, min(maxTrailEntries, int(request.Limit))))
	})
	return response, nil
}
