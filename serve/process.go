// Package serve assembles an instance from its settings and runs it.
//
// [New] builds an instance whose settings list every voter: it always has the
// entry role, and also the control role if the settings give it a voter id.
// [NewFleetInstance] builds an instance that finds the others through seed
// addresses: it has either the control role or the entry role.
//
// The package defines the order in which the components start and stop and
// passes data between them. Decisions belong to the components' own packages.
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
	"maps"
	randv2 "math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
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
	"auburnscale/member"
	"auburnscale/operator"
	"auburnscale/peer"
	"auburnscale/permit"
	"auburnscale/plainservice"
	"auburnscale/platform"
	"auburnscale/quarantine"
	"auburnscale/quorum"
	"auburnscale/retry"
	"auburnscale/route"
	"auburnscale/settings"
	"auburnscale/storage"
	"auburnscale/target"
	"auburnscale/transport"
	"auburnscale/usage"
	"auburnscale/voter"
	"auburnscale/watch"
)

const (
	// idleTimeout is how long a caller's keep-alive connection may be idle.
	idleTimeout = 10 * time.Second
	// maxQueuedRequests is the maximum number of requests that wait for admission
	// per service on this instance.
	maxQueuedRequests = 10_000
	// changeTimeout bounds how long an operator's call waits until a change is in
	// effect.
	changeTimeout = 10 * time.Second
	// incarnationBytes is the number of random bytes in an incarnation.
	incarnationBytes = 8
	// finalHeartbeatTimeout bounds the last heartbeat and the deregistration of a
	// planned stop.
	finalHeartbeatTimeout = 2 * time.Second
)

// A Process is an instance of a deployment whose settings list every voter. Use
// [New] to build one and [Process.Run] to run it.
type Process struct {
	settings    settings.Settings
	logger      *event.Logger
	incarnation string

	peerKey      string
	certificates *certificate.Store

	dialer        *exchange.Dialer
	client        *transport.Client
	linkServer    *transport.Server
	folder        *storage.Folder
	senders       *transport.Senders
	voter         *voter.Voter
	table         *member.Table
	controlClient *member.ControlClient
	// suspects is nil on an instance that is not a voter.
	suspects *quarantine.Board
	// issuer and tokens are nil on an instance that is not a voter.
	issuer          *permit.Issuer
	tokens          *permit.Tokens
	permitClient    *permit.Client
	blocks          *quarantine.Blocks
	suspectReporter *watch.SuspectReporter
	proposer        *member.Proposer
	recorder        *usage.Recorder
	registry        *target.Registry
	leaderTasks     *authority.LeaderTasks
	callerServer    *caller.Server
	operator        *operator.Server

	failures chan error
	replaced chan struct{}
	// ended is closed when the process stops.
	ended chan struct{}
}

// New builds the components and opens the listeners for callers and for other
// instances. The operator listener is opened by [Process.Run].
func New(s settings.Settings, logger *event.Logger) (*Process, error) {
	p := &Process{settings: s, logger: logger, incarnation: newIncarnation(), failures: make(chan error, 4), replaced: make(chan struct{}), ended: make(chan struct{})}
	if err := p.buildClients(); err != nil {
		return nil, err
	}
	if err := p.buildControl(); err != nil {
		return nil, err
	}
	p.buildMembership()
	if err := p.listenForPeers(); err != nil {
		return nil, err
	}
	if err := p.buildServers(); err != nil {
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

func readKeyFile(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read key file: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// buildClients builds the clients for outbound connections, which use the IP
// address of listen.peer as their source.
func (p *Process) buildClients() error {
	local, err := netip.ParseAddrPort(p.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("listen.peer: %w", err)
	}
	p.peerKey, err = readKeyFile(p.settings.Peer.KeyFile)
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
	p.client = transport.NewClient(local.Addr(), p.peerKey, p.certificates)
	return nil
}

func (p *Process) listenForPeers() error {
	server := &peerServer{voter: p.voter, table: p.table, suspects: p.suspects, issuer: p.issuer, tokens: p.tokens, counterHolder: p.recorder}
	var err error
	p.linkServer, err = transport.Listen(p.settings.Listen.Peer, transport.Handler(p.peerKey, server, logUnencodable(tally.NoopScope, p.logger)), p.certificates)
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

// voterPeerAddresses returns the peer addresses of the voters.
func (p *Process) voterPeerAddresses() []string {
	return slices.Collect(maps.Values(p.voterAddresses()))
}

// voterPeers returns the peer addresses of the voters. Their incarnations are not known here.
func (p *Process) voterPeers() map[string]string {
	voters := map[string]string{}
	for _, address := range p.voterAddresses() {
		voters[address] = ""
	}
	return voters
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
	p.senders = transport.NewSenders(p.client, p.voterAddresses(), p.settings.Voter.ID)
	p.voter = voter.New(voter.Config{
		ID: p.settings.Voter.ID, InitialVoters: p.settings.InitialVoters, Timing: quorum.DefaultTiming,
		Limits: control.Limits{ClaimRetain: p.settings.Control.ClaimRetain.AsDuration()}, Incarnation: p.incarnation,
		Seed: uint64(time.Now().UnixNano()),
	}, folder, p.senders, p.logger)
	leads := leadership{p.voter, p.voterAddresses()}
	p.issuer = permit.NewIssuer(leads, permit.NewBook(clock.Now), clock.Now)
	p.tokens = permit.NewTokens(leads, nil, nil, clock.Now)
	p.suspects = quarantine.NewBoard(p.incarnation, quarantine.NewEvidence(clock.Now, nil, p.logger))
	p.table = member.NewTable(p.voter, p.suspects, clock.Now, p.settings.Control.SyncInterval.AsDuration(), p.settings.Control.Freshness.AsDuration())
	return nil
}

func (p *Process) buildMembership() {
	p.blocks = quarantine.NewBlocks(clock.Now, randv2.Float64, p.logger)
	p.recorder = usage.New(p.incarnation, p.settings.Instance, p.settings.Platform.UsageWindow.AsDuration(), p.client, p.logger)
	p.controlClient = member.NewControlClient(member.ControlClientConfig{
		Instance: p.settings.Instance, Incarnation: p.incarnation, FailureDomain: p.settings.FailureDomain,
		Address: p.settings.Listen.Peer, Interval: p.settings.Control.SyncInterval.AsDuration(),
		Freshness: p.settings.Control.Freshness.AsDuration(), Voters: p.voterAddresses(),
	}, p.client, p.recorder, p.blocks, p.logger, func() { close(p.replaced) })
	p.suspectReporter = watch.NewSuspectReporter(p.incarnation, p.voterPeers, p.client, p.blocks)
	p.proposer = member.NewProposer(p.controlClient, p.client, p.voter)
}

func (p *Process) buildServers() error {
	policy, err := route.NewPolicy(p.settings.Policy.Routing, p.settings.Policy.HotRatio)
	if err != nil {
		return err
	}
	engines := engine.New(p.dialer)
	p.permitClient = permit.NewClient(p.incarnation, p.voterPeerAddresses, p.client)
	p.registry = target.NewRegistry(target.Config{
		FailureDomain: p.settings.FailureDomain, ProbeInterval: p.settings.Control.ProbeInterval.AsDuration(), Policy: policy,
		Queue: admit.Config{Fair: p.settings.Policy.Admission == "fair", FirstTokenLimit: p.settings.Caller.FirstToken.AsDuration(), MaxQueue: maxQueuedRequests},
	}, p.controlClient, engines, permit.NewGate(clock.Now, p.permitClient), p.logger)
	p.dialer.OnResponse(p.registry.RecordResponse)
	if err := p.buildCallerServer(engines); err != nil {
		return err
	}
	key, err := readKeyFile(p.settings.Operator.KeyFile)
	if err != nil {
		return err
	}
	p.operator = operator.New(operator.Config{
		Instance: p.settings.Instance, FailureDomain: p.settings.FailureDomain, Key: key, ConfirmTimeout: changeTimeout,
	}, p.proposer, p.controlClient, p.registry)
	p.buildLeaderTasks(engines)
	return nil
}

func (p *Process) buildCallerServer(engines *engine.Client) error {
	scope, scrape := newFastHTTPMetrics(p.settings.Instance)
	config := caller.Config{
		Instance: p.settings.Instance, FailureDomain: p.settings.FailureDomain,
		MaxBodyBytes: p.settings.Caller.BodyBytes, MaxHeaderBytes: p.settings.Caller.HeaderBytes,
		MaxConnections: p.settings.Caller.Connections, ReadTimeout: p.settings.Caller.ReadTimeout.AsDuration(),
		MaxRequestTimeout: p.settings.Caller.Deadline.AsDuration(), IdleTimeout: idleTimeout,
	}
	if file := p.settings.Caller.CertificateFile; file != "" {
		certificates, err := certificate.New(file, p.settings.Caller.PrivateKeyFile, "")
		if err != nil {
			return err
		}
		config.TLS = certificates.ServerConfig()
	}
	p.callerServer = caller.New(config, caller.Dependencies{
		Views: p.controlClient, Registry: p.registry, Engines: engines, Services: plainservice.New(p.dialer, p.settings.Caller.BodyBytes),
		Tokens: p.permitClient, Proposer: p.proposer, Recorder: p.recorder, Budget: retry.NewBudget(p.settings.Policy.Retries, p.settings.Policy.RetryShare), Blocks: p.blocks,
		Metrics: scope, MetricsHandler: scrape, Logger: p.logger,
	})
	return p.callerServer.Listen(p.settings.Listen.Caller)
}

func (p *Process) buildLeaderTasks(engines *engine.Client) {
	if p.voter == nil {
		return
	}
	senders := map[string]authority.Sender{roleOrderKind: &roleOrderSender{engines: engines, views: p.controlClient}}
	if p.settings.Platform.Address != "" {
		client := platform.New(p.dialer, p.settings.Platform.Address)
		senders[control.UsageIntentKind] = &platformSender{client: client, path: platform.UsagePath}
	}
	executor := authority.New(p.voter, senders, p.logger)
	p.leaderTasks = authority.NewLeaderTasks(authority.LeaderTasksConfig{
		Window: p.settings.Platform.UsageWindow.AsDuration(), Grace: p.settings.Platform.UsageGrace.AsDuration(),
		PlatformFenced: p.settings.Platform.HonoursFencing, Reports: p.settings.Platform.Address != "",
	}, executor, p.table, &rolePlanner{views: p.controlClient, registry: p.registry, voter: p.voter}, p.logger)
}

// Run starts the components and serves until ctx is done. It then stops, waiting
// up to the stop limit for open requests, and returns an error if some are still
// open. It returns at once with an error if a listener fails or a newer process
// runs under the same instance name.
func (p *Process) Run(ctx context.Context) error {
	p.start()
	p.logger.Log(event.Started, zap.String("instance", p.settings.Instance), zap.String("incarnation", p.incarnation),
		zap.String("caller", p.settings.Listen.Caller), zap.String("peer", p.settings.Listen.Peer), zap.String("operator", p.settings.Listen.Operator))
	select {
	case <-ctx.Done():
	case <-p.replaced:
		return errors.New("a newer process is running under this instance's name")
	case err := <-p.failures:
		p.logger.Log(event.ListenerFailed, zap.Error(err))
		return err
	}
	return p.stop()
}

func (p *Process) start() {
	if p.voter != nil {
		p.voter.Start()
	}
	go p.runLinkServer()
	p.recorder.Start(p.controlClient)
	p.controlClient.Start()
	p.suspectReporter.Start()
	p.registry.Start()
	if p.leaderTasks != nil {
		p.leaderTasks.Start()
	}
	go p.runCallerServer()
	go p.runOperators()
	if p.tokens != nil {
		go p.runTokens()
	}
}

// termInterval is the time between two looks at the term of the control group.
const termInterval = 100 * time.Millisecond

// runTokens lets the token buckets keep up with the terms of the control group: they fill from the
// start of a term.
func (p *Process) runTokens() {
	ticker := time.NewTicker(termInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-ticker.C:
			p.tokens.Observe(nil)
		}
	}
}

func (p *Process) runLinkServer() { p.failures <- p.linkServer.Serve() }
func (p *Process) runOperators()  { p.failures <- p.operator.ListenAndServe(p.settings.Listen.Operator) }

// runCallerServer serves callers. It reports an error only if the server ended
// without being stopped.
func (p *Process) runCallerServer() {
	if err := p.callerServer.Serve(); err != nil && !p.callerServer.Stopping() {
		p.failures <- err
	}
}

// stop stops the components in order of their dependencies: first the caller
// server, then the usage counters that its requests updated, then the control
// role.
func (p *Process) stop() error {
	close(p.ended)
	p.logger.Log(event.Stopping, zap.Int64("open", p.callerServer.OpenRequests()))
	p.controlClient.SetDraining()
	p.controlClient.Wake()
	open := p.callerServer.Stop(p.settings.Control.DrainNotice.AsDuration(), p.settings.Control.StopLimit.AsDuration())
	p.recorder.Stop()
	p.suspectReporter.Stop()
	p.controlClient.Stop()
	p.leaveGroup()
	if p.leaderTasks != nil {
		p.leaderTasks.Stop()
	}
	p.registry.Stop()
	_ = p.operator.Close()
	if p.voter != nil {
		p.voter.Stop()
		p.senders.Close()
		p.folder.Close()
	}
	_ = p.linkServer.Close()
	p.logger.Log(event.Stopped, zap.Int64("open", open))
	if open > 0 {
		return fmt.Errorf("stop limit reached with %d requests still open", open)
	}
	return nil
}

// leaveGroup sends the last usage counters and tells the control group that this
// incarnation has ended.
func (p *Process) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), finalHeartbeatTimeout)
	defer cancel()
	p.controlClient.Flush(ctx)
	_, _ = p.proposer.Propose(ctx, &peer.Command{Actor: p.settings.Instance, Body: &peer.Command_Forget{
		Forget: &peer.Forget{Instance: p.settings.Instance, Incarnation: p.incarnation},
	}})
}
