package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"auburnscale/platform/standin"
	"auburnscale/tcp"
)

// Ports that clients connect to. Except for platformPort and readyPort a forwarder
// listens on them.
const (
	operatorPort = 7301
	peerPort     = 7302
	entryPort    = 7303
	targetPort   = 7304
	platformPort = 7305
	readyPort    = 7306
	// listenPortOffset is the offset from a forwarder's port to the port that
	// the process behind it listens on.
	listenPortOffset = 1000
)

// Hosts are numbered within the loopback /24 network of the env.
const (
	firstControlHost = 1
	firstEntryHost   = 11
	firstTargetHost  = 101
	operatorHost     = 200
	platformHost     = 201
	firstCallerHost  = 210

	callerCount   = 12
	domainCount   = 3
	workspaceName = "guild"
	workspaceKey  = "key-of-guild"
	hostName      = "desk.example"
	plainService  = "desk"
	engineService = "lm"
)

// envCount numbers the envs of this process, so that each gets its own network.
var envCount atomic.Uint32

// An env represents a running system with its stand-ins: targets, callers, the
// operator and the platform.
type env struct {
	config  Config
	prefix  string
	network *network
	history *History
	actions *standin.ActionRecorder

	controls, entries []*instance
	targets           []*target
	versions          *versions
	loadBalancer      *loadBalancer

	group    sync.WaitGroup
	faults   sync.WaitGroup
	mutex    sync.Mutex
	findings []Finding
	// blockBegun is true once callers send prompts with crashingBlock, closed once the run has
	// ended.
	blockBegun, closed atomic.Bool
	// lastDataLoss is when the instance that last lost its data folder is
	// started again.
	lastDataLoss time.Time
}

func newEnv(c Config) (*env, error) {
	e := &env{config: c, network: newNetwork(), history: newHistory(), actions: &standin.ActionRecorder{}}
	const first, size = 80, 40
	e.prefix = fmt.Sprintf("127.%d.%d.", first+os.Getpid()%size, 1+envCount.Add(1)%250)
	e.versions = &versions{env: e}
	if err := e.actions.Listen(e.at(platformHost, platformPort).String()); err != nil {
		return nil, err
	}
	for i := range c.Controls {
		if err := e.addInstance(fmt.Sprint("control", i), firstControlHost+i, true); err != nil {
			return nil, err
		}
	}
	for i := range c.Entries {
		if err := e.addInstance(fmt.Sprint("entry", i), firstEntryHost+i, false); err != nil {
			return nil, err
		}
	}
	e.loadBalancer = newLoadBalancer(e)
	return e, e.addTargets()
}

// addTargets adds a decode engine in each failure domain, prefill engines in two of
// them, and targets of the plain service.
func (e *env) addTargets() error {
	stages := []string{"decode", "decode", "decode", "prefill", "prefill", "", "", ""}
	for i, stage := range stages {
		t := &target{env: e, host: firstTargetHost + i, domain: domainOf(i), stage: stage, service: plainService}
		if stage != "" {
			t.service = engineService
		}
		address := e.at(t.host, targetPort)
		if err := e.network.forward(address, e.at(t.host, targetPort+listenPortOffset)); err != nil {
			return err
		}
		e.targets = append(e.targets, t)
		if err := t.start(); err != nil {
			return err
		}
	}
	return nil
}

func domainOf(i int) string { return fmt.Sprint("d", i%domainCount) }

func (e *env) ip(host int) netip.Addr { return netip.MustParseAddr(e.prefix + fmt.Sprint(host)) }

func (e *env) at(host int, port uint16) netip.AddrPort { return netip.AddrPortFrom(e.ip(host), port) }

func (e *env) addInstance(name string, host int, control bool) error {
	i := &instance{name: name, host: host, control: control, folder: filepath.Join(e.config.Folder, name), program: e.config.Program}
	if err := os.MkdirAll(i.folder, 0o700); err != nil {
		return err
	}
	w := &settingsWriter{env: e, instance: i}
	i.writeSettings = w.writeSettings
	ports := []uint16{entryPort}
	if control {
		e.controls = append(e.controls, i)
		ports = []uint16{operatorPort, peerPort}
	} else {
		e.entries = append(e.entries, i)
	}
	for _, port := range ports {
		if err := e.network.forward(e.at(host, port), e.at(host, port+listenPortOffset)); err != nil {
			return err
		}
	}
	return nil
}

// A settingsWriter writes the settings file of an instance.
type settingsWriter struct {
	env      *env
	instance *instance
}

func (w *settingsWriter) writeSettings(bootstrap bool) error {
	e, i := w.env, w.instance
	var seeds []string
	for n := range min(3, e.config.Controls) {
		seeds = append(seeds, fmt.Sprintf("%q", e.at(firstControlHost+n, operatorPort)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "instance = %q\nfailure_domain = %q\n[fleet]\naddress = %q\npeer_port = %d\nseeds = [%s]\nfound = %t\n",
		i.name, domainOf(i.host), e.ip(i.host), peerPort, strings.Join(seeds, ", "), bootstrap)
	if i.control {
		fmt.Fprintf(&b, "peer_listen = %q\noperators = %q\ndata_folder = %q\nplatform = %q\nduties = [\"report_usage\", \"order_targets\"]\n",
			e.at(i.host, peerPort+listenPortOffset), e.at(i.host, operatorPort+listenPortOffset), i.dataFolder(), e.at(platformHost, platformPort))
	} else {
		fmt.Fprintf(&b, "requests = %q\nreadiness = %q\n", e.at(i.host, entryPort+listenPortOffset), e.at(i.host, readyPort))
	}
	fmt.Fprintf(&b, "losses = %d\nannounce = \"%v\"\ncontact = \"%v\"\ndrain = \"%v\"\ngrace = \"%v\"\neffect = \"%v\"\nlease = \"%v\"\nretry_slack = %v\nretry_ratio = %v\nretry_window = \"%v\"\nusage_window = \"%v\"\nusage_late = \"%v\"\n",
		(e.config.Controls-1)/2, heartbeatInterval, configuredBounds.Contact, configuredBounds.Drain, configuredBounds.Grace, configuredBounds.Effect, configuredBounds.Lease,
		configuredBounds.RetrySlack, configuredBounds.RetryRatio, configuredBounds.RetryWindow, configuredBounds.UsageWindow, configuredBounds.UsageDue)
	return os.WriteFile(i.settingsFile(), []byte(b.String()), 0o600)
}

func (e *env) instances() []*instance {
	return append(append([]*instance(nil), e.controls...), e.entries...)
}

// bootstrap starts all processes, applies the first configuration and waits until
// the load balancer finds all entry instances healthy.
func (e *env) bootstrap(ctx context.Context) error {
	for _, i := range e.instances() {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, t := range e.targets {
		e.group.Go(func() { t.run(ctx) })
	}
	limit, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	if !e.versions.change(limit, 0) {
		return fmt.Errorf("no configuration was acknowledged within %v", bootstrapTimeout)
	}
	e.group.Go(func() { e.loadBalancer.run(ctx) })
	for limit.Err() == nil && !e.loadBalancer.allHealthy() {
		time.Sleep(retryDelay)
	}
	return limit.Err()
}

// startTraffic starts the callers and the operator's reads.
func (e *env) startTraffic(ctx context.Context) {
	for n := range callerCount {
		c := newCaller(e, n)
		e.group.Go(func() { c.run(ctx) })
	}
	if at, ok := blockStart(e.config.Seed, e.config.Span); ok {
		e.group.Go(func() {
			e.sleep(ctx, at)
			e.blockBegun.Store(true)
		})
	}
	r := &configReader{env: e}
	e.group.Go(func() { r.run(ctx) })
}

// awaitRecovery waits until all faults have ended and then for the recovery.
func (e *env) awaitRecovery(ctx context.Context) {
	e.faults.Wait()
	for _, i := range e.instances() {
		i.signal(syscall.SIGCONT)
	}
	e.history.withLock(func() { e.history.LastFaultEnd = time.Now() })
	if e.config.TimeoutFactor <= 1 {
		e.sleep(ctx, configuredBounds.Recovery)
	} else {
		limit, cancel := context.WithTimeout(ctx, e.config.bounds().Recovery)
		defer cancel()
		for limit.Err() == nil && !e.recovered() {
			e.sleep(limit, retryDelay)
		}
	}
	e.history.withLock(func() { e.history.RecoveryDue = time.Now() })
}

// recovered reports whether every entry instance is healthy and the newest
// acknowledged configuration was read since the last fault ended.
func (e *env) recovered() (yes bool) {
	if !e.loadBalancer.allHealthy() {
		return false
	}
	e.history.withLock(func() { yes = e.history.lastReadVersion() >= e.history.newestAck(e.history.LastFaultEnd) })
	return yes
}

func (e *env) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *env) addFinding(invariant, format string, args ...any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.findings = append(e.findings, Finding{invariant, fmt.Sprintf(format, args...)})
}

// collect adds to the history what the instances, targets and the platform recorded,
// and returns the history.
func (e *env) collect() *History {
	h := e.history
	for _, i := range e.instances() {
		h.UnexpectedExits = append(h.UnexpectedExits, i.unexpectedExits()...)
	}
	for _, t := range e.targets {
		t.collect(h)
	}
	h.Calls = e.actions.Calls()
	return h
}

func (e *env) close() {
	e.closed.Store(true)
	for _, i := range e.instances() {
		if i.done() != nil {
			i.kill()
		}
	}
	for _, t := range e.targets {
		t.stop()
	}
	e.actions.Close()
	e.network.close()
}

// client returns an HTTP client whose connections come from the host.
func (e *env) client(host int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: tcp.Dialer(e.ip(host)).DialContext, DisableKeepAlives: true},
		Timeout:   callTimeout,
	}
}

// callTimeout bounds a call to a control instance or a health check. After it the
// operator and the targets try the next control instance.
const callTimeout = time.Second
