// Package serve puts one process together from its settings and runs it: the
// entry role always, the control role where settings give a voter id.
//
// It owns the order in which parts start and stop. It must not decide anything
// that a part decides.
//
// # Usage
//
//	process, err := serve.New(settings, logger)
//	err = process.Run(ctx)
package serve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"auburnscale/admit"
	"auburnscale/authority"
	"auburnscale/caller"
	"auburnscale/certificate"
	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/engine"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/link"
	"auburnscale/member"
	"auburnscale/operator"
	"auburnscale/peer"
	"auburnscale/platform"
	"auburnscale/quorum"
	"auburnscale/retry"
	"auburnscale/route"
	"auburnscale/service"
	"auburnscale/settings"
	"auburnscale/storage"
	"auburnscale/target"
	"auburnscale/usage"
	"auburnscale/voter"
)

const (
	// idleTimeout is how long a caller's kept-alive connection may be idle.
	idleTimeout = 10 * time.Second
	// maxQueue bounds the requests that wait on one instance per service.
	maxQueue = 10_000
	// changeWait bounds how long an operator's change waits to be in force.
	changeWait = 10 * time.Second
	// incarnationBytes is the length of the random part of an incarnation.
	incarnationBytes = 8
	// lastBeat bounds the last heartbeat at a planned stop.
	lastBeat = 2 * time.Second
)

// A Process represents one running instance.
type Process struct {
	settings    settings.Settings
	logger      *event.Logger
	incarnation string

	peerKey      string
	certificates *certificate.Store

	dialer   *exchange.Dialer
	client   *link.Client
	inner    *link.Server
	folder   *storage.Folder
	senders  *link.Senders
	voter    *voter.Voter
	table    *member.Table
	follower *member.ControlClient
	proposer *member.Proposer
	recorder *usage.Recorder
	book     *target.Registry
	duties   *authority.LeaderTasks
	callers  *caller.Server
	operator *operator.Server

	failed   chan error
	replaced chan struct{}
}

// New builds the parts and opens the listeners towards callers and instances.
func New(s settings.Settings, logger *event.Logger) (*Process, error) {
	p := &Process{settings: s, logger: logger, incarnation: newIncarnation(), failed: make(chan error, 4), replaced: make(chan struct{})}
	if err := p.buildLinks(); err != nil {
		return nil, err
	}
	if err := p.buildControl(); err != nil {
		return nil, err
	}
	p.buildMember()
	if err := p.listenInner(); err != nil {
		return nil, err
	}
	if err := p.buildCallers(); err != nil {
		return nil, err
	}
	return p, nil
}

func newIncarnation() string {
	var raw [incarnationBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())
	}
	return hex.EncodeToString(raw[:])
}

func readKey(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// buildLinks prepares the outgoing sides, which come from the peer address.
func (p *Process) buildLinks() error {
	local, err := netip.ParseAddrPort(p.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen.peer: %w", err)
	}
	p.peerKey, err = readKey(p.settings.Peer.KeyFile)
	if err != nil {
		return err
	}
	if file := p.settings.Peer.CertificateFile; file != "" {
		p.certificates, err = certificate.New(file, p.settings.Peer.PrivateKeyFile, p.settings.Peer.AuthorityFile)
		if err != nil {
			return err
		}
	}
	p.dialer = exchange.NewDialer(local.Addr())
	p.client = link.NewClient(local.Addr(), p.peerKey, p.certificates)
	return nil
}

func (p *Process) listenInner() error {
	server := &peerServer{voter: p.voter, table: p.table, holder: p.recorder}
	var err error
	p.inner, err = link.Listen(p.settings.Listen.Peer, link.Handler(p.peerKey, server), p.certificates)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	return nil
}

func (p *Process) voterAddresses() map[uint64]string {
	addresses := map[uint64]string{}
	for _, v := range p.settings.Voters {
		addresses[v.ID] = v.Address
	}
	return addresses
}

func (p *Process) buildControl() error {
	if p.settings.Voter.ID == 0 {
		return nil
	}
	folder, err := storage.Open(p.settings.Voter.DataFolder)
	if err != nil {
		return err
	}
	p.folder = folder
	p.senders = link.NewSenders(p.client, p.voterAddresses(), p.settings.Voter.ID)
	p.voter = voter.New(voter.Config{
		ID: p.settings.Voter.ID, InitialVoters: p.settings.InitialVoters, Timing: quorum.DefaultTiming,
		Limits: control.Limits{ClaimRetain: p.settings.Control.ClaimRetain.Span()}, Incarnation: p.incarnation,
		Seed: uint64(time.Now().UnixNano()),
	}, folder, p.senders, p.logger)
	p.table = member.NewTable(p.voter, clock.Now, p.settings.Control.SyncInterval.Span(), p.settings.Control.Freshness.Span())
	return nil
}

func (p *Process) buildMember() {
	p.recorder = usage.New(p.incarnation, p.settings.Instance, p.settings.Platform.UsageWindow.Span(), p.client, p.logger)
	p.follower = member.NewControlClient(member.ControlClientConfig{
		Instance: p.settings.Instance, Incarnation: p.incarnation, FailureDomain: p.settings.FailureDomain,
		Address: p.settings.Listen.Peer, Interval: p.settings.Control.SyncInterval.Span(),
		Freshness: p.settings.Control.Freshness.Span(), Voters: p.voterAddresses(),
	}, p.client, p.recorder, p.logger, func() { close(p.replaced) })
	p.proposer = member.NewProposer(p.follower, p.client, p.voter)
}

func (p *Process) buildCallers() error {
	policy, err := route.NewPolicy(p.settings.Policy.Routing, p.settings.Policy.Hot)
	if err != nil {
		return err
	}
	engines := engine.New(p.dialer)
	p.book = target.NewRegistry(target.Config{
		FailureDomain: p.settings.FailureDomain, ProbeInterval: p.settings.Control.ProbeInterval.Span(), Policy: policy,
		Queue: admit.Config{Fair: p.settings.Policy.Admission == "fair", MaxWait: p.settings.Caller.FirstToken.Span(), MaxQueue: maxQueue},
	}, p.follower, engines, p.logger)
	if err := p.buildCallerServer(engines); err != nil {
		return err
	}
	key, err := readKey(p.settings.Operator.KeyFile)
	if err != nil {
		return err
	}
	p.operator = operator.New(operator.Config{
		Instance: p.settings.Instance, FailureDomain: p.settings.FailureDomain, Key: key, Wait: changeWait,
	}, p.proposer, p.follower, p.book)
	p.buildDuties(engines)
	return nil
}

func (p *Process) buildCallerServer(engines *engine.Client) error {
	scope, scrape := newMetrics(p.settings.Instance)
	config := caller.Config{
		Instance: p.settings.Instance, FailureDomain: p.settings.FailureDomain,
		BodyBytes: p.settings.Caller.BodyBytes, HeaderBytes: p.settings.Caller.HeaderBytes,
		Connections: p.settings.Caller.Connections, ReadTimeout: p.settings.Caller.ReadTimeout.Span(),
		Deadline: p.settings.Caller.Deadline.Span(), IdleTimeout: idleTimeout,
	}
	if file := p.settings.Caller.CertificateFile; file != "" {
		certificates, err := certificate.New(file, p.settings.Caller.PrivateKeyFile, "")
		if err != nil {
			return err
		}
		config.TLS = certificates.Serving()
	}
	p.callers = caller.New(config, caller.Parts{
		Views: p.follower, Book: p.book, Engines: engines, Services: service.New(p.dialer, p.settings.Caller.BodyBytes),
		Proposer: p.proposer, Recorder: p.recorder, Budget: retry.NewBudget(p.settings.Policy.Retries, p.settings.Policy.RetryShare),
		Metrics: scope, Scrape: scrape, Logger: p.logger,
	})
	return p.callers.Listen(p.settings.Listen.Caller)
}

func (p *Process) buildDuties(engines *engine.Client) {
	if p.voter == nil {
		return
	}
	senders := map[string]authority.Sender{orderKind: &orderSender{engines: engines, views: p.follower}}
	if p.settings.Platform.Address != "" {
		client := platform.New(p.dialer, p.settings.Platform.Address)
		senders[control.UsageIntentKind] = &platformSender{client: client, path: platform.UsagePath}
	}
	a := authority.New(p.voter, senders, p.logger)
	p.duties = authority.NewLeaderTasks(authority.LeaderTasksConfig{
		Window: p.settings.Platform.UsageWindow.Span(), Grace: p.settings.Platform.UsageGrace.Span(),
		PlatformFenced: p.settings.Platform.HonoursFencing, Reports: p.settings.Platform.Address != "",
	}, a, p.table, &rolePlanner{views: p.follower, book: p.book, voter: p.voter}, p.logger)
}

// Run starts the parts, serves until the context ends, and then stops without
// cutting a request.
func (p *Process) Run(ctx context.Context) error {
	p.start()
	p.logger.Log(event.Started, zap.String("instance", p.settings.Instance), zap.String("incarnation", p.incarnation),
		zap.String("caller", p.settings.Listen.Caller), zap.String("peer", p.settings.Listen.Peer), zap.String("operator", p.settings.Listen.Operator))
	select {
	case <-ctx.Done():
	case <-p.replaced:
		return errors.New("a newer process runs under this instance's name")
	case err := <-p.failed:
		p.logger.Log(event.ListenerFailed, zap.Error(err))
		return err
	}
	return p.stop()
}

func (p *Process) start() {
	if p.voter != nil {
		p.voter.Start()
	}
	go p.runInner()
	p.recorder.Start(p.follower)
	p.follower.Start()
	p.book.Start()
	if p.duties != nil {
		p.duties.Start()
	}
	go p.runCallers()
	go p.runOperator()
}

func (p *Process) runInner()    { p.failed <- p.inner.Serve() }
func (p *Process) runOperator() { p.failed <- p.operator.ListenAndServe(p.settings.Listen.Operator) }

// runCallers reports the end of the caller's listener only if no stop caused it.
func (p *Process) runCallers() {
	if err := p.callers.Serve(); err != nil && !p.callers.Stopping() {
		p.failed <- err
	}
}

// stop ends the process in the order in which parts need each other: callers
// first, then the counters they left, then control.
func (p *Process) stop() error {
	p.logger.Log(event.Stopping, zap.Int64("open", p.callers.Open()))
	p.follower.SetDraining()
	p.follower.Wake()
	open := p.callers.Stop(p.settings.Control.DrainNotice.Span(), p.settings.Control.StopLimit.Span())
	p.recorder.Stop()
	p.follower.Stop()
	p.leave()
	if p.duties != nil {
		p.duties.Stop()
	}
	p.book.Stop()
	_ = p.operator.Close()
	if p.voter != nil {
		p.voter.Stop()
		p.senders.Close()
		p.folder.Close()
	}
	_ = p.inner.Close()
	p.logger.Log(event.Stopped, zap.Int64("open", open))
	if open > 0 {
		return fmt.Errorf("the stop limit passed with %d requests open", open)
	}
	return nil
}

// leave hands over the last counters and tells the control group that this
// incarnation has ended.
func (p *Process) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), lastBeat)
	defer cancel()
	p.follower.Flush(ctx)
	_, _ = p.proposer.Propose(ctx, &peer.Command{Actor: p.settings.Instance, Body: &peer.Command_Forget{
		Forget: &peer.Forget{Instance: p.settings.Instance, Incarnation: p.incarnation},
	}})
}
