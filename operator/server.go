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

// Control is the way to the control group.
type Control interface {
	Propose(ctx context.Context, command *peer.Command) (*peer.Result, error)
	ChangeVoters(ctx context.Context, voters *peer.Voters) (*peer.Result, error)
	LeaderClient() peer.Peer
}

// Local is what the asked instance itself decides by.
type Local interface {
	View() *member.View
	Fresh() bool
	Withdraw(keyID string)
}

// Targets gives the asked instance's view of the targets.
type Targets interface {
	Status() []target.Status
}

// Config is what the server needs to know about its instance.
type Config struct {
	Instance      string
	FailureDomain string
	Key           string
	// Wait bounds how long a change waits to be in force everywhere.
	Wait time.Duration
}

const (
	requestTimeout = 5 * time.Second
	pollInterval   = 20 * time.Millisecond
	maxBodyBytes   = 64 << 20
	maxTrailPage   = 1000
)

// errNotFound means that there is nothing at the path.
var errNotFound = errors.New("there is nothing at this path")

// A Server represents the listening side towards operators.
type Server struct {
	config  Config
	control Control
	local   Local
	targets Targets
	http    *fasthttp.Server
}

// New returns a server that does not listen yet.
func New(config Config, control Control, local Local, targets Targets) *Server {
	s := &Server{config: config, control: control, local: local, targets: targets}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "auburnscale", MaxRequestBodySize: maxBodyBytes, ReadTimeout: requestTimeout}
	return s
}

// ListenAndServe answers until Close.
func (s *Server) ListenAndServe(address string) error { return s.http.ListenAndServe(address) }

// Close ends the server after the open requests.
func (s *Server) Close() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	want := []byte("Bearer " + s.config.Key)
	if subtle.ConstantTimeCompare(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), want) != 1 {
		writeAnswer(ctx, fasthttp.StatusUnauthorized, refusalBody{Error: "the operator key does not match"})
		return
	}
	background, cancel := context.WithTimeout(context.Background(), s.config.Wait+requestTimeout)
	defer cancel()
	answer, err := s.answer(background, ctx)
	switch {
	case errors.Is(err, errNotFound):
		writeAnswer(ctx, fasthttp.StatusNotFound, refusalBody{Error: err.Error()})
	case errors.Is(err, member.ErrNoLeader):
		writeAnswer(ctx, fasthttp.StatusServiceUnavailable, refusalBody{Error: "no control leader answered; the change may or may not have been taken, and sending it again is harmless: " + err.Error()})
	case err != nil:
		writeAnswer(ctx, fasthttp.StatusBadRequest, refusalBody{Error: err.Error()})
	default:
		writeAnswer(ctx, fasthttp.StatusOK, answer)
	}
}

func writeAnswer(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Server) answer(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	switch string(request.Path()) {
	case applyPath:
		return decoded(ctx, request, s.apply)
	case withdrawPath:
		return decoded(ctx, request, s.withdraw)
	case drainPath:
		return decoded(ctx, request, s.drain)
	case forgetPath:
		return decoded(ctx, request, s.forget)
	case releasePath:
		return decoded(ctx, request, s.release)
	case votersPath:
		return decoded(ctx, request, s.voters)
	case statusPath:
		return s.status(ctx)
	case trailPath:
		return s.trail(ctx, request)
	}
	return nil, errNotFound
}

// decoded reads the request's JSON body and hands it on. Unknown fields are an
// error, so that a misspelt one is not lost.
func decoded[Q, A any](ctx context.Context, request *fasthttp.RequestCtx, f func(context.Context, Q) (A, error)) (any, error) {
	var q Q
	decoder := json.NewDecoder(bodyReader(request))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		return nil, fmt.Errorf("the request cannot be read: %w", err)
	}
	return f(ctx, q)
}

// apply checks the configuration here, so that nothing faulty is committed, and
// waits until the living instances have it.
func (s *Server) apply(ctx context.Context, q ApplyRequest) (*ChangeAnswer, error) {
	_, findings := inventory.Parse(q.Version, []byte(q.Inventory), []byte(q.Rules))
	if findings.Len() > 0 {
		return &ChangeAnswer{Detail: "the configuration was not taken", Findings: findings.Lines()}, nil
	}
	return s.change(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Apply{Apply: &peer.ApplyConfiguration{
		Version: q.Version, Digest: delta.Digest([]byte(q.Inventory), []byte(q.Rules)),
		Inventory: []byte(q.Inventory), Rules: []byte(q.Rules),
	}}})
}

func (s *Server) drain(ctx context.Context, q DrainRequest) (*ChangeAnswer, error) {
	if err := s.checkDrain(q); err != nil {
		return nil, err
	}
	return s.change(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Drain{Drain: &peer.Drain{Kind: q.Kind, Name: q.Name, Undo: q.Undo}}})
}

func (s *Server) checkDrain(q DrainRequest) error {
	snapshot := s.local.View().Snapshot()
	if snapshot == nil {
		return errors.New("no configuration is in force yet")
	}
	switch q.Kind {
	case "target":
		if snapshot.Target(q.Name) == nil && !q.Undo {
			return fmt.Errorf("the inventory holds no target %q", q.Name)
		}
	case "failure_domain":
		known := slices.ContainsFunc(snapshot.FailureDomains(), func(d inventory.FailureDomain) bool { return d.Name == q.Name })
		if !known && !q.Undo {
			return fmt.Errorf("the inventory holds no failure domain %q", q.Name)
		}
	default:
		return fmt.Errorf("kind %q is neither \"target\" nor \"failure_domain\"", q.Kind)
	}
	return nil
}

func (s *Server) forget(ctx context.Context, q NameRequest) (*ChangeAnswer, error) {
	return s.changeOnly(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Forget{Forget: &peer.Forget{Instance: q.Name}}})
}

func (s *Server) release(ctx context.Context, q NameRequest) (*ChangeAnswer, error) {
	if q.Reason == "" {
		return nil, errors.New("a reason is needed; it is kept in the audit trail")
	}
	return s.changeOnly(ctx, &peer.Command{Actor: q.Actor, Body: &peer.Command_Release{Release: &peer.ReleaseIssuer{Issuer: q.Name, Reason: q.Reason}}})
}

func (s *Server) voters(ctx context.Context, q VotersRequest) (*ChangeAnswer, error) {
	result, err := s.control.ChangeVoters(ctx, &peer.Voters{Ids: q.Voters, Learners: q.Learners})
	if err != nil {
		return nil, err
	}
	return changeAnswer(result), nil
}

func (s *Server) changeOnly(ctx context.Context, command *peer.Command) (*ChangeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := s.control.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return changeAnswer(result), nil
}

func changeAnswer(result *peer.Result) *ChangeAnswer {
	return &ChangeAnswer{Accepted: result.Code == peer.Result_OK, Detail: result.Detail, Version: result.Version, Revision: result.Revision}
}

// change commits the command and waits until every living instance has confirmed
// it, or until the wait is over.
func (s *Server) change(ctx context.Context, command *peer.Command) (*ChangeAnswer, error) {
	answer, err := s.changeOnly(ctx, command)
	if err != nil || !answer.Accepted {
		return answer, err
	}
	deadline := time.Now().Add(s.config.Wait)
	for {
		status, err := s.leaderStatus(ctx, answer.Revision)
		if err == nil {
			answer.fill(status)
		}
		if err == nil && len(answer.Waiting) == 0 || time.Now().After(deadline) {
			return answer, nil
		}
		time.Sleep(pollInterval)
	}
}

func (a *ChangeAnswer) fill(status *peer.StatusResponse) {
	a.InForce, a.Waiting, a.Silent = nil, nil, nil
	for _, m := range status.Members {
		switch {
		case m.Revision >= a.Revision:
			a.InForce = append(a.InForce, m.Instance)
		case m.Alive:
			a.Waiting = append(a.Waiting, m.Instance)
		default:
			a.Silent = append(a.Silent, m.Instance)
		}
	}
}

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
	answer := &Status{
		Asked: s.config.Instance, AskedVersion: s.local.View().Version(), Fresh: s.local.Fresh(), Targets: s.targets.Status(),
		Version: s.local.View().Version(), Revision: s.local.View().Revision(),
	}
	slices.SortFunc(answer.Targets, func(a, b target.Status) int { return compareNames(a.Name, b.Name) })
	status, err := s.leaderStatus(ctx, 0)
	if err != nil {
		// A cut-off instance still tells what it decides by.
		return answer, nil
	}
	fillStatus(answer, status)
	return answer, nil
}

func fillStatus(answer *Status, status *peer.StatusResponse) {
	answer.Leader, answer.Term, answer.Commit = status.Leader, status.Term, status.Commit
	answer.Version, answer.Revision = status.Version, status.Revision
	answer.Voters, answer.Learners = status.Voters.GetIds(), status.Voters.GetLearners()
	answer.Withdrawn, answer.Settled = status.Withdrawn, status.SettledWindow
	for _, m := range status.Members {
		answer.Members = append(answer.Members, MemberStatus{
			Instance: m.Instance, FailureDomain: m.Domain, Alive: m.Alive, Draining: m.Draining,
			Version: m.Version, Revision: m.Revision, SilentMs: m.SilentMs,
		})
	}
	for _, i := range status.Intents {
		if !i.Done || len(i.Issuers) > 0 {
			answer.Intents = append(answer.Intents, IntentStatus{ID: i.Id, Target: i.Target, Kind: i.Kind, Epoch: i.Epoch, Done: i.Done, Issuers: i.Issuers})
		}
	}
	for _, d := range status.Drains {
		answer.Drains = append(answer.Drains, d.Kind+" "+d.Name)
	}
}

func (s *Server) trail(ctx context.Context, request *fasthttp.RequestCtx) ([]TrailLine, error) {
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
	lines := []TrailLine{}
	for _, t := range page.Entries {
		lines = append(lines, TrailLine{Index: t.Index, AtMs: t.AtMs, Actor: t.Actor, Action: t.Action, Subject: t.Subject, Result: t.Result})
	}
	return lines, nil
}
