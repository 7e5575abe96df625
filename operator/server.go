package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/delta"
	"auburnscale/inventory"
	"auburnscale/member"
	"auburnscale/peer"
	"auburnscale/target"
)

// A ControlGroup gives access to the control group. LeaderClient returns nil if no
// leader is known.
type ControlGroup interface {
	Propose(ctx context.Context, command *peer.Command) (*peer.Result, error)
	ChangeVoters(ctx context.Context, voters *peer.Voters) (*peer.Result, error)
	LeaderClient() peer.Peer
}

// LocalState is the state of the instance that answers. Withdraw makes this instance
// reject the key until its process ends.
type LocalState interface {
	View() *member.View
	Fresh() bool
	Withdraw(keyID string)
}

// Targets returns the answering instance's view of the targets.
type Targets interface {
	Status() []target.Status
}

// Config holds the identity of the instance, the operator key and the limits of the
// server.
type Config struct {
	Instance      string
	FailureDomain string
	Key           string
	// ConfirmTimeout limits how long a change waits until it is in effect at every
	// live instance.
	ConfirmTimeout time.Duration
}

const (
	requestTimeout = 5 * time.Second
	pollInterval   = 20 * time.Millisecond
	maxBodyBytes   = 64 << 20
	maxTrailPage   = 1000
)

// errNotFound is the error for an unknown path.
var errNotFound = errors.New("no such path")

// A Server is the HTTP server for operators.
type Server struct {
	config  Config
	control ControlGroup
	local   LocalState
	targets Targets
	http    *fasthttp.Server
}

// New returns a server. ListenAndServe starts it.
func New(config Config, control ControlGroup, local LocalState, targets Targets) *Server {
	s := &Server{config: config, control: control, local: local, targets: targets}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "auburnscale", MaxRequestBodySize: maxBodyBytes, ReadTimeout: requestTimeout}
	return s
}

// ListenAndServe listens on the TCP address and handles requests until Close.
func (s *Server) ListenAndServe(address string) error { return s.http.ListenAndServe(address) }

// Close stops accepting requests and waits until those in progress are finished.
func (s *Server) Close() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	want := []byte("Bearer " + s.config.Key)
	if subtle.ConstantTimeCompare(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), want) != 1 {
		writeResponse(ctx, fasthttp.StatusUnauthorized, errorBody{Error: "the operator key does not match"})
		return
	}
	requestContext, cancel := context.WithTimeout(context.Background(), s.config.ConfirmTimeout+requestTimeout)
	defer cancel()
	response, err := s.dispatch(requestContext, ctx)
	switch {
	case errors.Is(err, errNotFound):
		writeResponse(ctx, fasthttp.StatusNotFound, errorBody{Error: err.Error()})
	case errors.Is(err, member.ErrNoLeader):
		writeResponse(ctx, fasthttp.StatusServiceUnavailable, errorBody{Error: "no control leader responded; the change may or may not have been committed, and sending it again is safe: " + err.Error()})
	case err != nil:
		writeResponse(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error()})
	default:
		writeResponse(ctx, fasthttp.StatusOK, response)
	}
}

func writeResponse(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// dispatch routes the request by its path. It returns the value to encode as the
// response, or errNotFound.
func (s *Server) dispatch(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	switch string(request.Path()) {
	case applyPath:
		return handleJSON(ctx, request, s.apply)
	case withdrawPath:
		return handleJSON(ctx, request, s.withdraw)
	case drainPath:
		return handleJSON(ctx, request, s.drain)
	case forgetPath:
		return handleJSON(ctx, request, s.forget)
	case releasePath:
		return handleJSON(ctx, request, s.release)
	case votersPath:
		return handleJSON(ctx, request, s.voters)
	case statusPath:
		return s.status(ctx)
	case trailPath:
		return s.trail(ctx, request)
	}
	return nil, errNotFound
}

// handleJSON decodes the request's JSON body and calls f with it. Unknown fields are an
// error, so that a misspelt field is not ignored.
func handleJSON[Q, A any](ctx context.Context, request *fasthttp.RequestCtx, f func(context.Context, Q) (A, error)) (any, error) {
	var q Q
	decoder := json.NewDecoder(bodyReader(request))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		return nil, fmt.Errorf("the request cannot be decoded: %w", err)
	}
	return f(ctx, q)
}

// apply validates the configuration before it proposes it, so that an invalid one is
// never committed, and waits until the live instances have it.
func (s *Server) apply(ctx context.Context, q ApplyRequest) (*ChangeResponse, error) {
	_, findings := inventory.Parse(q.Version, []byte(q.Inventory), []byte(q.Rules))
	if findings.Len() > 0 {
		return &ChangeResponse{Detail: "the configuration is invalid and was not applied", Findings: findings.Lines()}, nil
	}
	return s.proposeAndWait(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Apply{Apply: &peer.ApplyConfiguration{
		Version: q.Version, Digest: delta.Digest([]byte(q.Inventory), []byte(q.Rules)),
		Inventory: []byte(q.Inventory), Rules: []byte(q.Rules),
	}}})
}

func (s *Server) drain(ctx context.Context, q DrainRequest) (*ChangeResponse, error) {
	if err := s.checkDrain(q); err != nil {
		return nil, err
	}
	return s.proposeAndWait(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Drain{Drain: &peer.Drain{Kind: q.Kind, Name: q.Name, Undo: q.Undo}}})
}

// checkDrain checks the kind of a drain and that the inventory lists what is to be
// drained. An undo is allowed for names that the inventory no longer lists.
func (s *Server) checkDrain(q DrainRequest) error {
	snapshot := s.local.View().Snapshot()
	if snapshot == nil {
		return errors.New("no configuration is in effect yet")
	}
	switch q.Kind {
	case "target":
		if snapshot.Target(q.Name) == nil && !q.Undo {
			return fmt.Errorf("the inventory has no target %q", q.Name)
		}
	case "failure_domain":
		known := slices.ContainsFunc(snapshot.FailureDomains(), func(d inventory.FailureDomain) bool { return d.Name == q.Name })
		if !known && !q.Undo {
			return fmt.Errorf("the inventory has no failure domain %q", q.Name)
		}
	default:
		return fmt.Errorf("kind %q is neither \"target\" nor \"failure_domain\"", q.Kind)
	}
	return nil
}

func (s *Server) forget(ctx context.Context, q NameRequest) (*ChangeResponse, error) {
	return s.proposeOnly(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Forget{Forget: &peer.Forget{Instance: q.Name}}})
}

func (s *Server) release(ctx context.Context, q NameRequest) (*ChangeResponse, error) {
	if q.Reason == "" {
		return nil, errors.New("a reason is required; it is recorded in the audit trail")
	}
	return s.proposeOnly(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Release{Release: &peer.ReleaseIssuer{Issuer: q.Name, Reason: q.Reason}}})
}

func (s *Server) voters(ctx context.Context, q VotersRequest) (*ChangeResponse, error) {
	result, err := s.control.ChangeVoters(ctx, &peer.Voters{Ids: q.Voters, Learners: q.Learners})
	if err != nil {
		return nil, err
	}
	return changeResponse(result), nil
}

// proposeOnly commits the command without a wait for confirmations.
func (s *Server) proposeOnly(ctx context.Context, command *peer.Command) (*ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := s.control.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return changeResponse(result), nil
}

func changeResponse(result *peer.Result) *ChangeResponse {
	return &ChangeResponse{Accepted: result.Code == peer.Result_OK, Detail: result.Detail, Version: result.Version, Revision: result.Revision}
}

// proposeAndWait commits the command and waits until every live instance has confirmed
// it, or until ConfirmTimeout has passed. The response tells the state at that time.
func (s *Server) proposeAndWait(ctx context.Context, command *peer.Command) (*ChangeResponse, error) {
	response, err := s.proposeOnly(ctx, command)
	if err != nil || !response.Accepted {
		return response, err
	}
	deadline := time.Now().Add(s.config.ConfirmTimeout)
	for {
		status, err := s.leaderStatus(ctx, response.Revision)
		if err == nil {
			response.setConfirmations(status)
		}
		if err == nil && len(response.Waiting) == 0 || time.Now().After(deadline) {
			return response, nil
		}
		time.Sleep(pollInterval)
	}
}

// setConfirmations sorts the leader's members into those that have confirmed the
// change, live ones that have not, and unresponsive ones.
func (r *ChangeResponse) setConfirmations(status *peer.StatusResponse) {
	r.InEffect, r.Waiting, r.Unresponsive = nil, nil, nil
	for _, m := range status.Members {
		switch {
		case m.Revision >= r.Revision:
			r.InEffect = append(r.InEffect, m.Instance)
		case m.Alive:
			r.Waiting = append(r.Waiting, m.Instance)
		default:
			r.Unresponsive = append(r.Unresponsive, m.Instance)
		}
	}
}

// leaderStatus returns the status from the control leader. It returns
// member.ErrNoLeader if no leader is known, the leader does not respond, or the
// instance taken for the leader does not lead.
// A revision other than 0 asks which instances may still decide by an older one.
func (s *Server) leaderStatus(ctx context.Context, revision uint64) (*peer.StatusResponse, error) {
	leader := s.control.LeaderClient()
	if leader == nil {
		return nil, member.ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, err := leader.Status(ctx, &peer.StatusRequest{Revision: revision})
	if err != nil {
		return nil, errors.Join(member.ErrNoLeader, err)
	}
	if !status.Leading {
		return nil, member.ErrNoLeader
	}
	return status, nil
}

func (s *Server) status(ctx context.Context) (*Status, error) {
	response := &Status{
		AnsweringInstance: s.config.Instance, AnsweringVersion: s.local.View().Version(), Fresh: s.local.Fresh(), Targets: s.targets.Status(),
		Version: s.local.View().Version(), Revision: s.local.View().Revision(),
	}
	slices.SortFunc(response.Targets, func(a, b target.Status) int { return compareNames(a.Name, b.Name) })
	status, err := s.leaderStatus(ctx, 0)
	if err != nil {
		// An instance without contact to the control group still reports the
		// state that it decides by.
		return response, nil
	}
	fillStatus(response, status)
	return response, nil
}

func fillStatus(response *Status, status *peer.StatusResponse) {
	response.Leader, response.Term, response.Commit = status.Leader, status.Term, status.Commit
	response.Version, response.Revision = status.Version, status.Revision
	response.Voters, response.Learners = status.Voters.GetIds(), status.Voters.GetLearners()
	response.Withdrawn, response.SettledWindowMs = status.Withdrawn, status.SettledWindow
	for _, m := range status.Members {
		response.Members = append(response.Members, MemberStatus{
			Instance: m.Instance, FailureDomain: m.Domain, Alive: m.Alive, Draining: m.Draining,
			Version: m.Version, Revision: m.Revision, SinceContactMs: m.SilentMs,
		})
	}
	for _, i := range status.Intents {
		if !i.Done || len(i.Issuers) > 0 {
			response.Intents = append(response.Intents, IntentStatus{ID: i.Id, Target: i.Target, Kind: i.Kind, Epoch: i.Epoch, Done: i.Done, Issuers: i.Issuers})
		}
	}
	for _, d := range status.Drains {
		response.Drains = append(response.Drains, d.Kind+" "+d.Name)
	}
}

// trail returns a page of the audit trail. The query parameter after is the index
// after which the page starts; limit is at most maxTrailPage, which is the default.
func (s *Server) trail(ctx context.Context, request *fasthttp.RequestCtx) ([]TrailEntry, error) {
	after, err := strconv.ParseUint(string(request.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		after = 0
	}
	limit := min(maxTrailPage, request.QueryArgs().GetUintOrZero("limit"))
	if limit == 0 {
		limit = maxTrailPage
	}
	leader := s.control.LeaderClient()
	if leader == nil {
		return nil, member.ErrNoLeader
	}
	page, err := leader.Trail(ctx, &peer.TrailRequest{After: after, Limit: uint32(limit)})
	if err != nil {
		return nil, errors.Join(member.ErrNoLeader, err)
	}
	entries := []TrailEntry{}
	for _, t := range page.Entries {
		entries = append(entries, TrailEntry{Index: t.Index, AtMs: t.AtMs, Actor: t.Actor, Action: t.Action, Subject: t.Subject, Result: t.Result})
	}
	return entries, nil
}
