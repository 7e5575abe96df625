package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/gateway"
	"auburnscale/peer"
	"auburnscale/platform"
	"auburnscale/retry"
	"auburnscale/roster"
	"auburnscale/route"
	"auburnscale/settings"
	"auburnscale/usage"
	"auburnscale/watch"
)

const (
	// refreshTick bounds the age of the fleets when only a breaker changed.
	refreshTick = 100 * time.Millisecond
	// handOverCost is what moving a prompt's cache costs beside the reading: the
	// set-up and a transfer of some hundred megabytes.
	handOverCost = 40 * time.Millisecond
	// remoteCost is what another failure domain costs, in time and in traffic.
	remoteCost = 8 * time.Millisecond
	// answerTravel bounds the way of an answer from the leader that made it.
	answerTravel = 500 * time.Millisecond
	// keyMargin is left of a key's life for requests on their way.
	keyMargin = time.Second
	// moveCost is what a cache costs more between failure domains: the transfer
	// takes twice as long there.
	moveCost = 25 * time.Millisecond
	// cutOffContacts is after how many contact times without a leader a started
	// instance takes itself for cut off. An election and the repair of the
	// control group take one or two.
	cutOffContacts = 3
	// stopNotice covers two questions of the balancer, which come every second.
	stopNotice = 2600 * time.Millisecond
)

// An Entry represents a running entry instance.
type Entry struct {
	settings    settings.Settings
	logger      *event.Logger
	incarnation string
	outgoing    outgoing
	started     time.Duration

	roster   *roster.Roster
	fleets   *gateway.Fleets
	budget   *retry.Share
	suspects *retry.Suspects
	begun    *usage.Begun
	watcher  *watch.Client
	sharer   *watch.Sharer
	gateway  *gateway.Server

	configuration atomic.Pointer[catalog.Snapshot]
	// current is true once a leader under its lease has answered.
	current atomic.Bool
	version atomic.Uint64
	// confirmed is when, on clock.Now, the last question was sent that a leader
	// answered with nothing newer than what this instance has.
	confirmed atomic.Int64
	metrics   tally.Scope
	scraped   *metricsServer
	taking    chan *peer.ReplaceDocument
	failed    chan error
	stopped   chan struct{}
}

// NewEntry opens the listeners.
func NewEntry(s settings.Settings, logger *event.Logger) (*Entry, error) {
	out, err := newOutgoing(s)
	if err != nil {
		return nil, err
	}
	f := s.Fleet
	e := &Entry{
		settings: s, logger: logger, incarnation: newIncarnation(), outgoing: out, started: clock.Now(),
		roster:   roster.New(clock.Now, silentHeartbeats*f.Announce.Span()),
		fleets:   gateway.NewFleets(s.FailureDomain, route.Placer{TransferDelay: handOverCost, RemoteDelay: remoteCost, CrossDomainDelay: moveCost}, logger),
		budget:   retry.NewShare(f.RetryRatio, f.RetrySlack, f.RetryWindow.Span()),
		suspects: retry.NewSuspects(), begun: usage.NewBegun(f.UsageWindow.Span()),
		taking: make(chan *peer.ReplaceDocument, 16), failed: make(chan error, 4), stopped: make(chan struct{}),
	}
	scope, scrape := newFleetMetrics(s.Instance)
	e.metrics = scope
	if e.scraped, err = serveMetrics(f.Metrics, scrape, logger); err != nil {
		return nil, err
	}
	out.dialer.OnDropped(e.logDropped)
	e.watcher = watch.NewClient("", out.client, e, logger)
	e.sharer = watch.NewSharer(e.incarnation, e.watcher.Addresses, out.client, e.fleets)
	e.gateway = gateway.New(gateway.Config{
		Requests: f.Requests, Readiness: f.Readiness, Notice: min(stopNotice, f.Grace.Span()/3), Grace: f.Grace.Span(),
	}, gateway.Parts{
		Sources: e, Codec: platform.HeaderCodec{}, Dialer: out.dialer, Fleets: e.fleets, Budget: e.budget, Suspects: e.suspects,
		Begun: e.begun, Metrics: scope, Logger: logger,
	})
	return e, e.gateway.Listen()
}

// Run serves until the context ends, and then stops without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	e.watcher.SetSeeds(seedAddresses(e.settings.Fleet))
	e.sharer.Start()
	go e.runGateway()
	go e.runReadiness()
	go e.runRefresh()
	e.logger.Log(event.Started, zap.String("incarnation", e.incarnation), zap.String("requests", e.settings.Fleet.Requests))
	select {
	case <-ctx.Done():
	case err := <-e.failed:
		e.logger.Log(event.ListenerFailed, zap.Error(err))
		return err
	}
	e.logger.Log(event.Stopping, zap.Int64("open", e.gateway.Open()))
	open := e.gateway.Stop()
	close(e.stopped)
	e.sharer.Stop()
	e.watcher.Stop()
	e.scraped.close()
	e.logger.Log(event.Stopped, zap.Int64("open", open))
	return nil
}

// logDropped logs that a target had dropped an idle connection.
func (e *Entry) logDropped(address string, idle, limit time.Duration) {
	e.logger.Log(event.IdleTimeCut, zap.String("address", address), zap.Int64("idle_ms", idle.Milliseconds()), zap.Int64("limit_ms", limit.Milliseconds()))
}

func (e *Entry) runGateway()   { e.report(e.gateway.Serve()) }
func (e *Entry) runReadiness() { e.report(e.gateway.ServeReadiness()) }

func (e *Entry) report(err error) {
	if !e.gateway.Stopping() {
		e.failed <- err
	}
}

// Reload takes over what may change while the process runs.
func (e *Entry) Reload(s settings.Settings) {
	e.watcher.SetSeeds(seedAddresses(s.Fleet))
	e.logger.Log(event.SettingsReloaded, zap.Strings("seeds", s.Fleet.Seeds))
}

// Configuration returns the configuration in force, or nil.
func (e *Entry) Configuration() *catalog.Snapshot {
	if !e.trusted() {
		return nil
	}
	return e.configuration.Load()
}

// trusted reports whether the configuration can be taken for the newest: a
// leader under its lease has answered, or none could be reached for so long that
// this instance is cut off and serves on by what it was given.
func (e *Entry) trusted() bool {
	return e.current.Load() || clock.Now()-e.started > cutOffContacts*e.settings.Fleet.Contact.Span()
}

// Ready reports whether the instance has a configuration.
func (e *Entry) Ready() bool { return e.Configuration() != nil }

// KeysFresh reports whether a key that was withdrawn a key's life ago would be
// known here. Without strict keys it need not be.
func (e *Entry) KeysFresh() bool {
	f := &e.settings.Fleet
	return !f.StrictKeys || clock.Now()-time.Duration(e.confirmed.Load()) < f.KeyLife.Span()-keyMargin
}

// Request is what this instance tells the control instances.
func (e *Entry) Request() *peer.WatchRequest {
	request := &peer.WatchRequest{
		Instance: e.settings.Instance, Incarnation: e.incarnation, Domain: e.settings.FailureDomain,
		Version: e.version.Load(), WallMs: time.Now().UnixMilli(), Begun: e.begun.Counters(),
	}
	for _, each := range e.suspects.Own(clock.Now()) {
		request.Suspicions = append(request.Suspicions, &peer.Suspicion{
			Fingerprint: each.Fingerprint, Crashes: int32(each.Crashes), AgeMs: each.Age.Milliseconds(),
		})
	}
	return request
}

// Take merges what a control instance knows.
func (e *Entry) Take(answer *peer.WatchResponse) {
	if answer.Document != nil {
		e.taking <- answer.Document
	}
	e.roster.Merge(answer.Rows)
	e.fleets.SetSharers(int(answer.Entries))
	e.budget.SetSharers(int(answer.Entries))
	e.begun.SetTime(answer.WallMs)
	var told []retry.Suspicion
	for _, each := range answer.Suspicions {
		told = append(told, retry.Suspicion{Fingerprint: each.Fingerprint, Crashes: int(each.Crashes)})
	}
	e.suspects.Tell(told)
	newest := max(answer.Version, answer.Document.GetVersion())
	if held := e.version.Load(); answer.Current && held > 0 && newest <= held {
		e.current.Store(true)
		// The answer was held for a while, but what it says was so at its end.
		e.confirmed.Store(int64(clock.Now() - answerTravel))
	}
}

// runRefresh is the only writer of the configuration and the fleets.
func (e *Entry) runRefresh() {
	ticker := time.NewTicker(refreshTick)
	defer ticker.Stop()
	for {
		changed := e.roster.Changed()
		e.refresh()
		select {
		case <-e.stopped:
			return
		case document := <-e.taking:
			e.take(document)
		case <-changed:
		case <-ticker.C:
			e.roster.Expire()
		}
	}
}

func (e *Entry) refresh() {
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
	e.metrics.Gauge("requests_open").Update(float64(e.gateway.Open()))
	for _, name := range names {
		e.metrics.Tagged(map[string]string{"service": name}).Gauge("targets_usable").Update(float64(len(e.fleets.Fleet(name).Targets())))
	}
}

// take puts a document in force. It never goes back to a lower version.
func (e *Entry) take(document *peer.ReplaceDocument) {
	if document.Version <= e.version.Load() {
		return
	}
	snapshot, _, err := decodeDocument(document)
	if err != nil {
		e.logger.Log(event.ConfigRefused, zap.Uint64("version", document.Version), zap.Error(err))
		return
	}
	e.configuration.Store(snapshot)
	e.version.Store(document.Version)
	e.logger.Log(event.ConfigInForce, zap.Uint64("version", document.Version), zap.Int("routes", len(snapshot.Routes())))
}
