package serve

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburnscale/admit"
	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/gateway"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
	"auburnscale/platform"
	"auburnscale/quarantine"
	"auburnscale/retry"
	"auburnscale/roster"
	"auburnscale/route"
	"auburnscale/settings"
	"auburnscale/usage"
	"auburnscale/watch"
)

const (
	// refreshInterval is the time after which the fleets are refreshed without a
	// change of the roster, so that they follow the state of circuit breakers.
	refreshInterval = 100 * time.Millisecond
	// kvTransferDelay is the estimated time that a KV cache transfer adds to the
	// prefill: the set-up and a transfer of a few hundred megabytes.
	kvTransferDelay = 40 * time.Millisecond
	// remoteDomainDelay is the penalty for a target in another failure domain. It
	// stands for the additional latency and traffic.
	remoteDomainDelay = 8 * time.Millisecond
	// maxResponseTravel bounds the time from when a leader makes a response to when
	// it arrives here.
	maxResponseTravel = 500 * time.Millisecond
	// keyLifeMargin is the part of fleet.key_life that is reserved for requests in
	// flight.
	keyLifeMargin = time.Second
	// crossDomainDelay is the estimated additional time of a KV cache transfer
	// between failure domains, where it takes twice as long.
	crossDomainDelay = 25 * time.Millisecond
	// isolationContactTimes is the number of contact times (fleet.contact) after
	// which an instance that has not reached a leader since its start considers
	// itself isolated. An election and the repair of the control group take one or
	// two.
	isolationContactTimes = 3
	// flushTimeout bounds the last report of an instance that stops. It fits into the time that
	// the gateway leaves for the process to exit.
	flushTimeout = 400 * time.Millisecond
	// shutdownNotice is how long a stopping instance accepts requests after it has
	// ceased to be ready. It covers two readiness probes of the load balancer,
	// which come every second.
	shutdownNotice = 2600 * time.Millisecond
)

// An Entry is an entry instance of a fleet with seed discovery. It routes requests
// to targets and watches the control instances.
type Entry struct {
	settings        settings.Settings
	logger          *event.Logger
	incarnation     string
	outboundClients outboundClients
	startedAt       time.Duration

	roster          *roster.Roster
	gate            *permit.Gate
	quotas          *permit.Quotas
	fleets          *gateway.Fleets
	origins         *origin.Journal
	budget          *retry.BudgetShare
	suspects        *retry.Suspects
	blocks          *quarantine.Blocks
	startedRequests *usage.StartedRequests
	watchClient     *watch.Client
	loadExchanger   *watch.LoadExchanger
	suspectReporter *watch.SuspectReporter
	gateway         *gateway.Server

	configuration atomic.Pointer[catalog.Snapshot]
	// leaderConfirmed is true once a leader that holds its lease has confirmed the
	// configuration.
	leaderConfirmed      atomic.Bool
	configurationVersion atomic.Uint64
	// unreadableVersion is the version of the newest configuration that could not be decoded.
	unreadableVersion atomic.Uint64
	// confirmedAt is a lower bound, on clock.Now in nanoseconds, of the time at
	// which a leader that holds its lease last made a response that confirmed this
	// instance's configuration as the newest.
	confirmedAt atomic.Int64
	// rowLog logs the rows of targets that other instances send and this one cannot use.
	rowLog        *rowLog
	guard         *guard
	metrics       tally.Scope
	metricsServer *metricsServer
	// behindLogged is the state that updateBehind last logged. It belongs to runRefresh.
	behindLogged bool
	// quotaGaugesAt is when the gauges of quotas were last updated. It belongs to runRefresh.
	quotaGaugesAt time.Duration
	documents     chan *peer.ReplaceDocument
	failures      chan error
	stopped       chan struct{}
}

// NewEntry builds an entry instance and opens its listeners.
func NewEntry(s settings.Settings, logger *event.Logger) (*Entry, error) {
	out, err := newOutboundClients(s)
	if err != nil {
		return nil, err
	}
	costMode, err := route.ParseCostMode(s.Policy.Cost)
	if err != nil {
		return nil, err
	}
	f := s.Fleet
	targets := roster.New(clock.Now, missedHeartbeatLimit*f.HeartbeatInterval.AsDuration())
	e := &Entry{
		settings: s, logger: logger, incarnation: newIncarnation(), outboundClients: out, startedAt: clock.Now(),
		roster:   targets,
		budget:   retry.NewBudgetShare(f.RetryRatio, f.RetrySlack, f.RetryWindow.AsDuration()),
		suspects: retry.NewSuspects(), blocks: quarantine.NewBlocks(clock.Now, rand.Float64, logger), startedRequests: usage.NewStartedRequests(f.UsageWindow.AsDuration()),
		documents: make(chan *peer.ReplaceDocument, 16), failures: make(chan error, 4), stopped: make(chan struct{}),
	}
	scope, scrape := newMetricsScope(s.Instance)
	e.metrics, e.rowLog = scope, newRowLog(scope, logger)
	e.guard = newGuard(s, scope, logger)
	out.dialer.SetAccount(e.guard.account)
	if e.metricsServer, err = serveMetrics(f.MetricsAddress, scrape, e.guard, logger); err != nil {
		return nil, err
	}
	out.dialer.OnDropped(e.logDroppedConnection)
	e.watchClient = watch.NewClient("", out.client, e, logger)
	permits := permit.NewClient(e.incarnation, e.watchClient.Addresses, out.client)
	e.gate = permit.NewGate(clock.Now, permits)
	e.quotas = permit.NewQuotas(e.incarnation, permits, clock.Now, rand.Float64)
	e.origins = origin.NewJournal(clock.Now)
	e.fleets = gateway.NewFleets(gateway.FleetsConfig{
		FailureDomain: s.FailureDomain, DrainTime: f.DrainTime.AsDuration(),
		Placer: route.Placer{TransferDelay: kvTransferDelay, RemoteDelay: remoteDomainDelay, CrossDomainDelay: crossDomainDelay, Cost: costMode},
	}, targets, e.gate, e.origins, logger)
	e.loadExchanger = watch.NewLoadExchanger(e.incarnation, s.FailureDomain, e.watchClient, out.client, sharedState{e.fleets, e.origins})
	e.suspectReporter = watch.NewSuspectReporter(e.incarnation, e.watchClient.Servers, out.client, e.blocks)
	e.gateway = gateway.New(gateway.Config{
		RequestAddress: f.RequestAddress, ReadinessAddress: f.ReadinessAddress, StopNotice: min(shutdownNotice, f.StopGrace.AsDuration()/3), StopTimeout: f.StopGrace.AsDuration(),
	}, gateway.Dependencies{
		State: e, Codec: platform.HeaderCodec{}, Dialer: out.dialer, Fleets: e.fleets, Budget: e.budget, Suspects: e.suspects, Blocks: e.blocks,
		Waiting: retry.NewWaiting(s.Policy.Waiting), Gate: admit.NewGate(s.Policy.Shedding, rand.Float64),
		Runs: e.startedRequests, Quotas: e.quotas, Origins: e.origins, OriginFinder: origin.NewFinder(e.origins, targets, e.watchClient.Addresses, out.client),
		Starts: platform.NewEngineClient(out.dialer, s.Instance), Metrics: scope, Logger: logger,
		Account: e.guard.account, Connections: e.guard.limiter("requests", requestShare), ReadinessConnections: e.guard.limiter("readiness", readinessShare),
	})
	return e, e.gateway.Listen()
}

// sharedState is what an entry instance exchanges with the others through a control instance.
type sharedState struct {
	*gateway.Fleets
	origins *origin.Journal
}

// OriginReport returns the origins of streams of which the control instances lack news, or all.
func (s sharedState) OriginReport(all bool) []*peer.StreamOrigins { return s.origins.Report(all) }

// OriginReportUrgent returns a channel that receives when such a report must not wait.
func (s sharedState) OriginReportUrgent() <-chan struct{} { return s.origins.Urgent() }

// EndOriginReport records the incarnation of the control instance that took the last report, which
// is empty if none is known to have taken it.
func (s sharedState) EndOriginReport(server string) {
	if server == "" {
		s.origins.Failed()
		return
	}
	s.origins.Delivered()
}

// Run serves until ctx is done and then stops, letting open requests finish within
// the grace time. If a listener fails, it returns the listener's error at once.
func (e *Entry) Run(ctx context.Context) error {
	e.watchClient.SetSeeds(seedAddresses(e.settings.Fleet))
	e.guard.start()
	defer e.guard.stop()
	e.loadExchanger.Start()
	e.suspectReporter.Start()
	go e.runGateway()
	go e.runReadiness()
	go e.runRefresh()
	quotasEnd, endQuotas := context.WithCancel(context.Background())
	defer endQuotas()
	go e.quotas.Run(quotasEnd)
	e.logger.Log(event.Started, zap.String("incarnation", e.incarnation), zap.String("requests", e.settings.Fleet.RequestAddress))
	select {
	case <-ctx.Done():
	case err := <-e.failures:
		e.logger.Log(event.ListenerFailed, zap.Error(err))
		return err
	}
	e.logger.Log(event.Stopping, zap.Int64("open", e.gateway.OpenRequests()))
	open := e.gateway.Stop()
	close(e.stopped)
	e.loadExchanger.Stop()
	e.suspectReporter.Stop()
	e.watchClient.Stop()
	flushing, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	e.watchClient.Flush(flushing)
	e.metricsServer.close()
	e.logger.Log(event.Stopped, zap.Int64("open", open))
	return nil
}

// logDroppedConnection logs that the target at the address closed a connection that
// had been idle for the given time, and the idle limit used for the target next.
func (e *Entry) logDroppedConnection(address string, idle, limit time.Duration) {
	e.logger.Log(event.IdleTimeoutReduced, zap.String("address", address), zap.Int64("idle_ms", idle.Milliseconds()), zap.Int64("limit_ms", limit.Milliseconds()))
}

func (e *Entry) runGateway()   { e.reportServeError(e.gateway.Serve()) }
func (e *Entry) runReadiness() { e.reportServeError(e.gateway.ServeReadiness()) }

// reportServeError reports the error of a listener that ended without being
// stopped.
func (e *Entry) reportServeError(err error) {
	if !e.gateway.Stopping() {
		e.failures <- err
	}
}

// Reload applies the seeds of the settings. All other settings need a restart.
func (e *Entry) Reload(s settings.Settings) {
	e.watchClient.SetSeeds(seedAddresses(s.Fleet))
	e.logger.Log(event.SettingsReloaded, zap.Strings("seeds", s.Fleet.Seeds))
}

// Configuration returns the configuration in effect, or nil if there is none that
// can be trusted to be the newest.
func (e *Entry) Configuration() *catalog.Snapshot {
	if !e.configurationTrusted() {
		return nil
	}
	return e.configuration.Load()
}

// configurationTrusted reports whether the configuration may be used as the newest
// one: a leader that holds its lease has confirmed it, or no leader was reached
// for so long that this instance considers itself isolated and serves with the
// configuration that it was given.
func (e *Entry) configurationTrusted() bool {
	return e.leaderConfirmed.Load() || clock.Now()-e.startedAt > isolationContactTimes*e.settings.Fleet.RecoveryTime.AsDuration()
}

// Ready reports whether the instance has a configuration that it may serve with and is not known to be
// behind.
func (e *Entry) Ready() bool { return e.Configuration() != nil && !e.behind() }

// behind reports whether this instance knows that it lacks news that it cannot read: a committed
// configuration, or the responses of every control instance that answers.
func (e *Entry) behind() bool {
	return e.unreadableVersion.Load() > e.configurationVersion.Load() || e.watchClient.Unreadable()
}

// KeysFresh reports whether this instance knows of every key that was withdrawn
// more than fleet.key_life ago. Without fleet.strict_keys it need not, and
// KeysFresh returns true.
func (e *Entry) KeysFresh() bool {
	f := &e.settings.Fleet
	return !f.StrictKeys || clock.Now()-time.Duration(e.confirmedAt.Load()) < f.KeyLife.AsDuration()-keyLifeMargin
}

// Request returns the watch request that this instance sends to the control
// instances.
func (e *Entry) Request() *peer.WatchRequest {
	request := &peer.WatchRequest{
		Instance: e.settings.Instance, Incarnation: e.incarnation, Domain: e.settings.FailureDomain,
		Version: e.configurationVersion.Load(), WallMs: time.Now().UnixMilli(), Begun: e.startedRequests.Counters(),
	}
	if e.leaderConfirmed.Load() && !e.settings.Fleet.StrictKeys {
		request.HoldMs = min(watch.HoldFor(e.fleets.Entries()), e.settings.Fleet.RecoveryTime.AsDuration()/2).Milliseconds()
	}
	request.Leaving = e.roster.LeavingReports()
	for _, suspicion := range e.suspects.OwnSuspicions(clock.Now()) {
		request.Suspicions = append(request.Suspicions, &peer.Suspicion{
			Fingerprint: suspicion.Fingerprint, Crashes: int32(suspicion.Failures), AgeMs: suspicion.Age.Milliseconds(),
		})
	}
	return request
}

// HandleResponse merges the state that a control instance reports.
func (e *Entry) HandleResponse(response *peer.WatchResponse) {
	if response.Document != nil {
		e.documents <- response.Document
	}
	e.rowLog.log(e.roster.Merge(response.Rows))
	e.fleets.SetEntries(int(response.Entries))
	e.budget.SetEntries(int(response.Entries))
	e.quotas.SetInstances(int(response.Entries))
	e.startedRequests.SetTime(response.WallMs)
	var reported []retry.Suspicion
	for _, suspicion := range response.Suspicions {
		reported = append(reported, retry.Suspicion{Fingerprint: suspicion.Fingerprint, Failures: int(suspicion.Crashes)})
	}
	e.suspects.SetReported(reported)
	e.blocks.SetInstances(int(response.Entries))
	// A control instance of an earlier release sends no list; this instance then decides alone.
	if response.Suspects != nil {
		e.blocks.Received(response.Server, response.Suspects.Blocks)
	}
	newest := max(response.Version, response.Document.GetVersion())
	if held := e.configurationVersion.Load(); response.Current && held > 0 && newest <= held {
		e.leaderConfirmed.Store(true)
		// The control instance holds the request for a while, but its response
		// states what was true when it was made.
		e.confirmedAt.Store(int64(clock.Now() - maxResponseTravel))
	}
}

// runRefresh refreshes the fleets until the instance stops. It is the only writer
// of the configuration and the fleets.
func (e *Entry) runRefresh() {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		changed := e.roster.Changed()
		e.refresh()
		select {
		case <-e.stopped:
			return
		case document := <-e.documents:
			e.applyDocument(document)
		case <-changed:
		case <-ticker.C:
			e.roster.EndExpiredSwitches()
		}
	}
}

// updateBehind logs whether this instance is behind when that changes, and sets the gauges.
func (e *Entry) updateBehind() {
	silent, unreadable := e.watchClient.Failing()
	e.metrics.Gauge("control_silent").Update(float64(silent))
	e.metrics.Gauge("control_unreadable").Update(float64(unreadable))
	behind := e.behind()
	if behind == e.behindLogged {
		return
	}
	e.behindLogged = behind
	kind, gauge := event.CaughtUp, 0.0
	if behind {
		kind, gauge = event.Behind, 1
	}
	e.metrics.Gauge("behind").Update(gauge)
	e.logger.Log(kind, zap.Uint64("version", e.configurationVersion.Load()), zap.Uint64("unreadable_version", e.unreadableVersion.Load()), zap.Int("control_unreadable", unreadable))
}

func (e *Entry) refresh() {
	e.updateBehind()
	configuration := e.configuration.Load()
	if configuration == nil {
		return
	}
	services := configuration.Services()
	names := make([]string, 0, len(services))
	for i := range services {
		names = append(names, services[i].Name)
	}
	e.fleets.Refresh(e.roster.Snapshot(), names, time.Now())
	e.metrics.Gauge("configuration_version").Update(float64(configuration.Version()))
	e.metrics.Gauge("blocks_quarantined").Update(float64(e.blocks.Quarantined()))
	e.metrics.Gauge("targets_limited").Update(float64(e.gate.Limited()))
	e.updateQuotaGauges()
	e.metrics.Gauge("requests_open").Update(float64(e.gateway.OpenRequests()))
	for _, name := range names {
		e.metrics.Tagged(map[string]string{"service": name}).Gauge("targets_usable").Update(float64(len(e.fleets.Fleet(name).Targets())))
	}
}

// applyDocument puts a configuration document into effect. It ignores documents
// whose version is not higher than the current one, and documents that cannot be
// decoded.
func (e *Entry) applyDocument(document *peer.ReplaceDocument) {
	if document.Version <= e.configurationVersion.Load() {
		return
	}
	snapshot, _, err := decodeDocument(document)
	if err != nil {
		e.unreadableVersion.Store(max(e.unreadableVersion.Load(), document.Version))
		e.logger.Log(event.ConfigurationRefused, zap.Uint64("version", document.Version), zap.Error(err))
		return
	}
	e.configuration.Store(snapshot)
	e.configurationVersion.Store(document.Version)
	e.logger.Log(event.ConfigurationInEffect, zap.Uint64("version", document.Version), zap.Int("routes", len(snapshot.Routes())))
}
