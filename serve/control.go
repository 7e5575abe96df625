package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburnscale/authority"
	"auburnscale/bind"
	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/link"
	"auburnscale/peer"
	"auburnscale/platform"
	"auburnscale/quorum"
	"auburnscale/replica"
	"auburnscale/roster"
	"auburnscale/settings"
	"auburnscale/storage"
	"auburnscale/voter"
	"auburnscale/watch"
)

const (
	// silentHeartbeats is the number of missed heartbeats after which a target
	// counts as silent. One may be a second late and go to a second address.
	silentHeartbeats = 4
	// compactEntries bounds the log between snapshots. Entries can hold whole
	// configurations of some hundred kilobytes.
	compactEntries = 64
	rosterTick     = 500 * time.Millisecond
	// answerLimit is below the second that operators wait for an answer.
	answerLimit = 900 * time.Millisecond
	usageKind   = control.UsageIntentKind
	// brokenPause is the time between two looks whether a failed disk is back.
	brokenPause = 500 * time.Millisecond
)

// ErrRestart means that the instance must be built anew: its disk failed and is
// back, and what the disk holds must be read again.
var ErrRestart = errors.New("the data folder was lost for a while")

// A Control represents a running control instance.
type Control struct {
	settings    settings.Settings
	logger      *event.Logger
	incarnation string
	outgoing    outgoing

	folder    *storage.Folder
	senders   *link.Senders
	voter     *voter.Voter
	roster    *roster.Roster
	keeper    *replica.Manager
	watching  *watch.Server
	pool      *watch.Pool
	watcher   *watch.Client
	meter     *authority.Meter
	decoded   atomic.Pointer[catalog.Snapshot]
	inner     *link.Server
	operators *http.Server
	listener  net.Listener
	metrics   tally.Scope
	scraped   *metricsServer
	failed    chan error
	stopped   chan struct{}
}

// NewControl opens the data folder and the listeners.
func NewControl(s settings.Settings, logger *event.Logger) (*Control, error) {
	out, err := newOutgoing(s)
	if err != nil {
		return nil, err
	}
	c := &Control{
		settings: s, logger: logger, incarnation: newIncarnation(), outgoing: out,
		failed: make(chan error, 4), stopped: make(chan struct{}),
	}
	identity, err := c.openFolder()
	if err != nil {
		return nil, err
	}
	c.build(identity)
	scope, scrape := newFleetMetrics(s.Instance)
	c.metrics = scope
	if err := c.listen(); err != nil {
		return nil, err
	}
	c.scraped, err = serveMetrics(s.Fleet.Metrics, scrape, logger)
	return c, err
}

func (c *Control) openFolder() (*peer.Identity, error) {
	f := c.settings.Fleet
	var err error
	if c.folder, err = storage.Open(f.DataFolder); err != nil {
		return nil, err
	}
	identity, isNew, err := replica.LoadOrCreateIdentity(c.folder, replica.BootstrapConfig{
		Address: ownPeerAddress(f), Domain: c.settings.FailureDomain, Founders: seedAddresses(f), Found: f.Found,
	})
	if err != nil {
		return nil, err
	}
	if isNew {
		c.logger.Log(event.ReplicaFounded, zap.Uint64("voter", identity.Self.Id), zap.Bool("founder", identity.Founders != nil))
	}
	return identity, nil
}

func (c *Control) build(identity *peer.Identity) {
	f := c.settings.Fleet
	founders := identity.Founders
	self := &peer.Replica{Id: identity.Self.Id, Address: ownPeerAddress(f), Domain: c.settings.FailureDomain}
	c.senders = link.NewSenders(c.outgoing.client, replica.Addresses(founders), self.Id)
	c.voter = voter.New(voter.Config{
		ID: self.Id, InitialVoters: founders.GetIds(), Replicas: founders.GetReplicas(), Timing: quorum.QuickTiming,
		Limits:      control.Limits{ClaimRetain: c.settings.Control.ClaimRetain.Span()},
		Incarnation: c.incarnation, Seed: uint64(clock.Now()), CompactEntries: compactEntries,
	}, c.folder, c.senders, c.logger)
	c.roster = roster.New(clock.Now, silentHeartbeats*f.Announce.Span())
	c.watching = watch.NewServer(c.incarnation, c.voter, c.roster)
	c.pool = watch.NewPool()
	c.watcher = watch.NewClient(self.Address, c.outgoing.client, c, c.logger)
	c.keeper = replica.New(replica.Config{Self: self, DesiredVoters: 2*f.Losses + 1, ControlAddresses: c.watcher.Addresses, ReportedMembers: c.watcher.Named}, c.voter, c.senders, c.outgoing.client, c.logger)
	c.buildMeter()
}

// buildMeter builds the duties that only the leader has.
func (c *Control) buildMeter() {
	f := c.settings.Fleet
	engines := platform.NewEngineClient(c.outgoing.dialer, c.settings.Instance)
	senders := map[string]authority.Sender{stageKind: stageSender{engines, c.roster, c.switchTime}}
	config := authority.MeterConfig{
		Window: f.UsageWindow.Span(), ReportDue: f.UsageLate.Span(), Lease: f.Lease.Span(), Encode: platform.EncodeUsageReport,
		Planner: &steward{
			voter: c.voter, roster: c.roster, document: c.snapshot, engines: engines, logger: c.logger, announce: f.Announce.Span(), tried: map[string]time.Duration{},
			ordered:  map[string]time.Duration{},
			purchase: f.Platform != "" && slices.Contains(f.Duties, settings.PurchaseDuty),
		},
	}
	if f.Platform != "" {
		client := platform.NewLeaderTaskClient(c.outgoing.dialer, f.Platform, c.settings.Instance)
		senders[purchaseKind] = purchaseSender{client}
		if slices.Contains(f.Duties, settings.UsageDuty) {
			config.Kind = usageKind
			senders[usageKind] = usageSender{client}
		}
	}
	c.meter = authority.NewMeter(config, authority.New(c.voter, senders, c.logger), c.watching, c.logger)
}

// switchTime returns how long the service's engines are away when they change
// their stage.
func (c *Control) switchTime(service string) time.Duration {
	snapshot := c.snapshot()
	if snapshot == nil || snapshot.Service(service) == nil || snapshot.Service(service).Engine == nil {
		return 0
	}
	return snapshot.Service(service).Engine.SwitchTime
}

// snapshot returns the configuration in force as far as this voter knows it, or
// nil.
func (c *Control) snapshot() *catalog.Snapshot {
	var document *peer.ReplaceDocument
	c.voter.Read(func(m *control.Machine) { document = m.Document() })
	if document == nil {
		return nil
	}
	if known := c.decoded.Load(); known != nil && known.Version() == document.Version {
		return known
	}
	snapshot, _, err := decodeDocument(document)
	if err != nil {
		c.logger.Log(event.ConfigRefused, zap.Uint64("version", document.Version), zap.Error(err))
		return nil
	}
	c.decoded.Store(snapshot)
	return snapshot
}

type usageSender struct{ client *platform.LeaderTaskClient }

// Send reports the usage that was committed.
func (s usageSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	return s.client.ReportUsage(ctx, epoch, payload)
}

func (c *Control) listen() error {
	f := c.settings.Fleet
	key, err := fleetKey(c.settings)
	if err != nil {
		return err
	}
	c.inner, err = link.Listen(peerListenAddress(f), link.Handler(key, &controlServer{NewVoterServer(c.voter, nil).(*peerServer), c}), nil)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	c.listener, err = bind.Listen(f.Operators)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	c.operators = &http.Server{Handler: platform.ControlHandler(c), ReadHeaderTimeout: metricsTimeout, ErrorLog: c.logger.Standard()}
	return nil
}

// Run serves until the context ends.
func (c *Control) Run(ctx context.Context) error {
	c.voter.Start()
	c.keeper.Start()
	c.watcher.SetSeeds(seedAddresses(c.settings.Fleet))
	go c.runInner()
	go c.runOperators()
	go c.runRoster()
	c.meter.Start()
	c.logger.Log(event.Started, zap.String("incarnation", c.incarnation), zap.String("operators", c.settings.Fleet.Operators), zap.Uint64("voter", c.voter.ID()))
	select {
	case <-ctx.Done():
		c.stop()
		return nil
	case <-c.voter.StorageFailed():
		c.stop()
		c.awaitDisk(ctx)
		return ErrRestart
	case err := <-c.failed:
		c.logger.Log(event.ListenerFailed, zap.Error(err))
		return err
	}
}

// awaitDisk returns when the data folder takes writes again.
func (c *Control) awaitDisk(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(brokenPause)
		if storage.Writable(c.settings.Fleet.DataFolder) {
			return
		}
	}
}

func (c *Control) runInner()     { c.failed <- c.inner.Serve() }
func (c *Control) runOperators() { c.failed <- c.operators.Serve(c.listener) }

func (c *Control) runRoster() {
	ticker := time.NewTicker(rosterTick)
	defer ticker.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-ticker.C:
			c.measure()
			c.roster.Tick()
			c.roster.Expire()
		}
	}
}

// measure sets the gauges of this instance's state.
func (c *Control) measure() {
	standing := c.voter.Status()
	leads := 0.0
	if standing.MayAct(clock.Now()) {
		leads = 1
	}
	c.metrics.Gauge("control_leads").Update(leads)
	c.metrics.Gauge("control_term").Update(float64(standing.Term()))
	c.metrics.Gauge("control_commit_index").Update(float64(standing.Commit()))
	c.metrics.Gauge("control_voters").Update(float64(len(standing.Voters().GetIds())))
	c.metrics.Gauge("control_leader_silence_seconds").Update(standing.SinceLeaderContact().Seconds())
	c.metrics.Gauge("control_log_bytes").Update(float64(c.folder.LogSize()))
	c.voter.Read(func(m *control.Machine) {
		c.metrics.Gauge("configuration_version").Update(float64(m.Document().GetVersion()))
	})
}

func (c *Control) stop() {
	c.logger.Log(event.Stopping)
	close(c.stopped)
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	// Calls that are being answered finish; later ones go to other instances.
	_ = c.operators.Shutdown(ctx)
	c.meter.Stop()
	c.keeper.Stop()
	c.watcher.Stop()
	c.voter.Stop()
	c.senders.Close()
	c.folder.Close()
	_ = c.inner.Close()
	c.scraped.close()
	c.logger.Log(event.Stopped)
}

// Reload takes over what may change while the process runs.
func (c *Control) Reload(s settings.Settings) {
	c.watcher.SetSeeds(seedAddresses(s.Fleet))
	c.logger.Log(event.SettingsReloaded, zap.Strings("seeds", s.Fleet.Seeds))
}
