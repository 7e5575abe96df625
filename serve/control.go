package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"auburnscale/authority"
	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
	"auburnscale/platform"
	"auburnscale/quarantine"
	"auburnscale/quorum"
	"auburnscale/replica"
	"auburnscale/roster"
	"auburnscale/settings"
	"auburnscale/storage"
	"auburnscale/tcp"
	"auburnscale/transport"
	"auburnscale/voter"
	"auburnscale/watch"
)

const (
	// missedHeartbeatLimit is the number of heartbeat intervals without a heartbeat
	// after which a target counts as unresponsive. A heartbeat may be a second late
	// and then go to a second address.
	missedHeartbeatLimit = 4
	// compactEntries is the number of applied entries after which the log is
	// compacted into a snapshot. It is small because an entry can hold a whole
	// configuration of a few hundred kilobytes.
	compactEntries = 64
	rosterInterval = 500 * time.Millisecond
	// operatorTimeout is below the second that operators wait for a response.
	operatorTimeout = 900 * time.Millisecond
	// operatorReadTimeout bounds the time that a call of a target or operator takes to
	// arrive.
	operatorReadTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 64 << 10
	usageKind      = control.UsageIntentKind
	// refusalLogFirst refusals of targets' calls are logged, and one each refusalLogInterval after that. A target
	// that is refused calls again.
	refusalLogFirst    = 20
	refusalLogInterval = time.Second
	// diskRetryInterval is the time between two checks whether the data folder of a
	// failed disk is writable again.
	diskRetryInterval = 500 * time.Millisecond
)

// ErrRestartRequired is returned by [Control.Run] if the disk failed and is
// writable again. The caller must build a new instance, which reads the data
// folder again.
var ErrRestartRequired = errors.New("the data folder was unavailable and is writable again; the instance must be rebuilt")

// A Control is a control instance of a fleet with seed discovery. It serves
// operators, target heartbeats and the peer protocol, takes part in the control
// group as a replica, and watches the other control instances.
type Control struct {
	settings        settings.Settings
	logger          *event.Logger
	incarnation     string
	outboundClients outboundClients

	folder         *storage.Folder
	senders        *transport.Senders
	voter          *voter.Voter
	roster         *roster.Roster
	replicaManager *replica.Manager
	suspects       *quarantine.Board
	watchServer    *watch.Server
	limits         *permit.Book
	issuer         *permit.Issuer
	tokens         *permit.Tokens
	loadAggregator *watch.LoadAggregator
	loadMesh       *watch.LoadMesh
	origins        *origin.Index
	originCopier   *watch.OriginCopier
	leaves         *leaveKeeper
	watchClient    *watch.Client
	meter          *authority.Meter
	// decodedConfiguration caches the result of snapshot.
	decodedConfiguration atomic.Pointer[decodedConfiguration]
	linkServer           *transport.Server
	operatorServer       *http.Server
	// listener is the listener of operatorServer.
	listener  net.Listener
	startedAt time.Duration
	// othersHeard is true once another control instance has responded, and othersVersion the newest version
	// of a configuration that one of them had.
	othersHeard   atomic.Bool
	othersVersion atomic.Uint64
	// loggedSnapshot is decodeLogged, called once.
	loggedSnapshot func() *catalog.Snapshot
	// refusalLog bounds the lines about calls of targets that are refused.
	refusalLog rate.Sometimes
	// rowLog logs the rows of targets that other instances send and this one cannot use.
	rowLog        *rowLog
	guard         *guard
	metrics       tally.Scope
	metricsServer *metricsServer
	failures      chan error
	stopped       chan struct{}
}

// NewControl builds a control instance. It opens the data folder and the
// listeners.
func NewControl(s settings.Settings, logger *event.Logger) (*Control, error) {
	out, err := newOutboundClients(s)
	if err != nil {
		return nil, err
	}
	c := &Control{
		settings: s, logger: logger, incarnation: newIncarnation(), outboundClients: out, startedAt: clock.Now(),
		refusalLog: rate.Sometimes{First: refusalLogFirst, Interval: refusalLogInterval}, failures: make(chan error, 4), stopped: make(chan struct{}),
	}
	identity, err := c.openDataFolder()
	if err != nil {
		if c.folder != nil {
			c.folder.Close()
		}
		return nil, err
	}
	scope, scrape := newMetricsScope(s.Instance)
	c.metrics, c.rowLog = scope, newRowLog(scope, logger)
	c.guard = newGuard(s, scope, logger)
	c.build(identity)
	if err := c.listen(); err != nil {
		return nil, err
	}
	c.metricsServer, err = serveMetrics(s.Fleet.MetricsAddress, scrape, c.guard, logger)
	return c, err
}

func (c *Control) openDataFolder() (*peer.Identity, error) {
	f := c.settings.Fleet
	var err error
	if c.folder, err = storage.Open(f.DataFolder); err != nil {
		return nil, err
	}
	identity, isNew, err := replica.LoadOrCreateIdentity(c.folder, replica.BootstrapConfig{
		Address: ownPeerAddress(f), Domain: c.settings.FailureDomain, InitialVoters: seedAddresses(f), CreateGroup: f.Bootstrap,
	})
	if err != nil {
		return nil, err
	}
	if isNew {
		c.logger.Log(event.ReplicaInitialized, zap.Uint64("voter", identity.Self.Id), zap.Bool("founder", identity.Founders != nil))
	}
	return identity, nil
}

func (c *Control) build(identity *peer.Identity) {
	f := c.settings.Fleet
	founders := identity.Founders
	self := &peer.Replica{Id: identity.Self.Id, Address: ownPeerAddress(f), Domain: c.settings.FailureDomain}
	c.senders = transport.NewSenders(c.outboundClients.client, replica.Addresses(founders), self.Id)
	c.voter = voter.New(voter.Config{
		ID: self.Id, InitialVoters: founders.GetIds(), Replicas: founders.GetReplicas(), Timing: quorum.QuickTiming,
		Limits:      control.Limits{ClaimRetain: c.settings.Control.ClaimRetain.AsDuration()},
		Incarnation: c.incarnation, Seed: uint64(clock.Now()), CompactEntries: compactEntries,
	}, c.folder, c.senders, c.logger)
	c.loggedSnapshot = sync.OnceValue(c.decodeLogged)
	c.roster = roster.New(clock.Now, missedHeartbeatLimit*f.HeartbeatInterval.AsDuration())
	c.suspects = quarantine.NewBoard(c.incarnation, quarantine.NewEvidence(clock.Now, c.roster, c.logger))
	c.watchServer = watch.NewServer(c.incarnation, c.voter, c.roster, c.suspects)
	c.limits = permit.NewBook(clock.Now)
	c.issuer = permit.NewIssuer(leadership{voter: c.voter}, c.limits, clock.Now)
	c.tokens = permit.NewTokens(leadership{voter: c.voter}, c.quotaOf, c.watchServer.Entries, clock.Now)
	c.origins = origin.NewIndex(clock.Now)
	c.loadAggregator = watch.NewLoadAggregator(c.incarnation, c.limits, c.origins)
	c.watchClient = watch.NewClient(self.Address, c.outboundClients.client, c, c.logger)
	c.loadMesh = watch.NewLoadMesh(self.Address, c.loadAggregator, c.watchClient.Addresses, c.watchServer.Entries, c.outboundClients.client)
	c.originCopier = watch.NewOriginCopier(self.Address, c.settings.FailureDomain, c.origins, c.watchClient, c.outboundClients.client)
	copier := watch.NewLeaveCopier(self.Address, c.settings.FailureDomain, f.ToleratedLosses, c.watchClient, c.outboundClients.client)
	c.leaves = newLeaveKeeper(c.roster, copier, storage.NewLeaves(f.DataFolder), c.metrics, c.logger)
	c.leaves.load()
	c.replicaManager = replica.New(replica.Config{Self: self, DesiredVoters: 2*f.ToleratedLosses + 1, ControlAddresses: c.watchClient.Addresses, ReportedMembers: c.watchClient.ControlReplicas}, c.voter, c.senders, c.outboundClients.client, c.logger)
	c.buildLeaderTasks()
}

// buildLeaderTasks builds the tasks that only the leader performs: usage reports,
// scaling and stage changes.
func (c *Control) buildLeaderTasks() {
	f := c.settings.Fleet
	engines := platform.NewEngineClient(c.outboundClients.dialer, c.settings.Instance)
	senders := map[string]authority.Sender{stageKind: stageSender{engines, c.roster, c.switchTime}}
	config := authority.MeterConfig{
		Window: f.UsageWindow.AsDuration(), ReportDue: f.UsageDue.AsDuration(), Lease: f.LeaseTime.AsDuration(), Encode: platform.EncodeUsageReport,
		Planner: &fleetPlanner{
			voter: c.voter, roster: c.roster, configuration: c.snapshot, engines: engines, logger: c.logger, heartbeatInterval: f.HeartbeatInterval.AsDuration(), lastAttempts: map[string]time.Duration{},
			lastScaled:     map[string]time.Duration{},
			scaler:         newScaler(c.settings.Policy.Scaling, c.loadAggregator.Demand, c.watchServer.Entries, c.metrics, c.logger),
			scalingEnabled: f.PlatformAddress != "" && slices.Contains(f.LeaderTasks, settings.OrderTargetsTask),
		},
	}
	if f.PlatformAddress != "" {
		client := platform.NewLeaderTaskClient(c.outboundClients.dialer, f.PlatformAddress, c.settings.Instance)
		senders[scaleKind] = scaleSender{client}
		if slices.Contains(f.LeaderTasks, settings.ReportUsageTask) {
			config.Kind = usageKind
			senders[usageKind] = usageSender{client}
		}
	}
	c.meter = authority.NewMeter(config, authority.New(c.voter, senders, c.logger), c.watchServer, c.logger)
}

// switchTime returns how long the service's engines take to switch to another
// stage, or 0 if that is unknown.
func (c *Control) switchTime(service string) time.Duration {
	snapshot := c.snapshot()
	if snapshot == nil || snapshot.Service(service) == nil || snapshot.Service(service).Engine == nil {
		return 0
	}
	return snapshot.Service(service).Engine.SwitchTime
}

// snapshot returns the newest configuration that this voter has applied, or nil if
// there is none or it cannot be decoded.
func (c *Control) snapshot() *catalog.Snapshot {
	var document *peer.ReplaceDocument
	c.voter.Read(func(m *control.Machine) { document = m.Document() })
	if document == nil {
		return nil
	}
	if known := c.decodedConfiguration.Load(); known != nil && known.version == document.Version {
		return known.snapshot
	}
	snapshot, _, err := decodeDocument(document)
	if err != nil {
		c.logger.Log(event.ConfigurationRefused, zap.Uint64("version", document.Version), zap.Error(err))
		snapshot = nil
	}
	c.decodedConfiguration.Store(&decodedConfiguration{document.Version, snapshot})
	return snapshot
}

// A decodedConfiguration is the result of decoding the document of a version. The snapshot is nil if
// the document cannot be decoded.
type decodedConfiguration struct {
	version  uint64
	snapshot *catalog.Snapshot
}

type usageSender struct{ client *platform.LeaderTaskClient }

// Send sends the committed usage report to the platform and returns the response's
// status and detail.
func (s usageSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	return s.client.ReportUsage(ctx, epoch, payload)
}

func (c *Control) listen() error {
	f := c.settings.Fleet
	key, err := readPeerKey(c.settings)
	if err != nil {
		return err
	}
	server := &controlPeerServer{NewVoterServer(c.voter, nil, c.suspects, c.issuer).(*peerServer), c}
	server.tokens = c.tokens
	c.linkServer, err = transport.Listen(peerListenAddress(f), c.guard.bodies(transport.Handler(key, server, logUnencodable(c.metrics, c.logger)), messageBytesFactor), nil)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	c.linkServer.Limit(c.guard.limiter("peers", peerShare))
	c.listener, err = tcp.Listen(f.OperatorAddress)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	c.operatorServer = &http.Server{Handler: c.guard.bodies(platform.ControlHandler(c), callBytesFactor), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: operatorReadTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: c.logger.Standard(), DisableGeneralOptionsHandler: true}
	c.listener = c.guard.limiter("operators", operatorShare).Apply(c.operatorServer, c.listener)
	return nil
}

// Run serves until ctx is done and then stops. If the storage fails, it stops,
// waits until the data folder is writable and returns [ErrRestartRequired]. If a
// listener fails, it returns the listener's error at once.
func (c *Control) Run(ctx context.Context) error {
	c.guard.start()
	defer c.guard.stop()
	c.voter.Start()
	c.replicaManager.Start()
	c.loadMesh.Start()
	c.originCopier.Start()
	c.watchClient.SetSeeds(seedAddresses(c.settings.Fleet))
	go c.runLinkServer()
	go c.runOperators()
	go c.runRoster()
	c.meter.Start()
	c.logger.Log(event.Started, zap.String("incarnation", c.incarnation), zap.String("operators", c.settings.Fleet.OperatorAddress), zap.Uint64("voter", c.voter.ID()))
	select {
	case <-ctx.Done():
		c.stop()
		return nil
	case <-c.voter.StorageFailed():
		c.stop()
		c.awaitDisk(ctx)
		return ErrRestartRequired
	case err := <-c.failures:
		c.logger.Log(event.ListenerFailed, zap.Error(err))
		return err
	}
}

// awaitDisk returns when the data folder is writable again or ctx is done.
func (c *Control) awaitDisk(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(diskRetryInterval)
		if storage.Writable(c.settings.Fleet.DataFolder) {
			return
		}
	}
}

func (c *Control) runLinkServer() { c.failures <- c.linkServer.Serve() }
func (c *Control) runOperators()  { c.failures <- c.operatorServer.Serve(c.listener) }

func (c *Control) runRoster() {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-ticker.C:
			c.tokens.Observe(c.watchServer.EntryContacts())
			c.updateGauges()
			c.updateQuotaGauges()
			c.dropClosedWindows()
			c.roster.Tick()
			c.leaves.forget()
			c.roster.EndExpiredSwitches()
		}
	}
}

// dropClosedWindows drops the counters of usage windows that the control group has closed, also if
// another instance leads.
func (c *Control) dropClosedWindows() {
	var last int64
	c.voter.Read(func(m *control.Machine) { last = m.LastClosedWindow() })
	c.watchServer.DropWindowsBefore(last)
}

// updateGauges sets the gauges of this instance's state.
func (c *Control) updateGauges() {
	status := c.voter.Status()
	leads := 0.0
	if status.MayAct(clock.Now()) {
		leads = 1
	}
	c.metrics.Gauge("control_leads").Update(leads)
	c.metrics.Gauge("control_term").Update(float64(status.Term()))
	c.metrics.Gauge("control_commit_index").Update(float64(status.Commit()))
	c.metrics.Gauge("control_voters").Update(float64(len(status.Voters().GetIds())))
	c.metrics.Gauge("control_leader_silence_seconds").Update(status.SinceLeaderContact().Seconds())
	c.metrics.Gauge("control_log_bytes").Update(float64(c.folder.LogSize()))
	c.metrics.Gauge("control_blocks_quarantined").Update(float64(c.suspects.Quarantined()))
	c.metrics.Gauge("control_targets_limited").Update(float64(c.limits.Limited()))
	silent, unreadable := c.watchClient.Failing()
	c.metrics.Gauge("control_silent").Update(float64(silent))
	c.metrics.Gauge("control_unreadable").Update(float64(unreadable))
	c.metrics.Gauge("control_stream_origins").Update(float64(c.origins.Len()))
	c.metrics.Gauge("control_permits_issued").Update(float64(c.issuer.Issued()))
	c.metrics.Gauge("control_permits_refused").Update(float64(c.issuer.Refused()))
	c.voter.Read(func(m *control.Machine) {
		c.metrics.Gauge("configuration_version").Update(float64(m.Document().GetVersion()))
	})
}

func (c *Control) stop() {
	c.logger.Log(event.Stopping)
	close(c.stopped)
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	// Open calls finish; later ones go to other instances.
	_ = c.operatorServer.Shutdown(ctx)
	c.meter.Stop()
	c.loadMesh.Stop()
	c.originCopier.Stop()
	c.replicaManager.Stop()
	c.watchClient.Stop()
	c.voter.Stop()
	c.senders.Close()
	c.folder.Close()
	_ = c.linkServer.Close()
	c.metricsServer.close()
	c.logger.Log(event.Stopped)
}

// Reload applies the seeds of the settings. All other settings need a restart.
func (c *Control) Reload(s settings.Settings) {
	c.watchClient.SetSeeds(seedAddresses(s.Fleet))
	c.logger.Log(event.SettingsReloaded, zap.Strings("seeds", s.Fleet.Seeds))
}
