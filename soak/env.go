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

	"auburnscale/bind"
	"auburnscale/platform/standin"
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
	duties  *standin.Duties

	controls, entries []*instance
	targets           []*target
	versions          *versions
	loadBalancer      *loadBalancer

	group    sync.WaitGroup
	faults   sync.WaitGroup
	mutex    sync.Mutex
	findings []Finding
	// lastDataLoss is when the instance that last lost its data folder is
	// started again.
	lastDataLoss time.Time
}

func newEnv(c Config) (*env, error) {
	s := &env{config: c, network: newNetwork(), history: newHistory(), duties: &standin.Duties{}}
	const first, size = 80, 40
	s.prefix = fmt.Sprintf("127.%d.%d.", first+os.Getpid()%size, 1+envCount.Add(1)%250)
	s.versions = &versions{env: s}
	if err := s.duties.Listen(s.at(platformHost, platformPort).String()); err != nil {
		return nil, err
	}
	for i := range c.Controls {
		if err := s.addInstance(fmt.Sprint("control", i), firstControlHost+i, true); err != nil {
			return nil, err
		}
	}
	for i := range c.Entries {
		if err := s.addInstance(fmt.Sprint("entry", i), firstEntryHost+i, false); err != nil {
			return nil, err
		}
	}
	s.loadBalancer = newLoadBalancer(s)
	return s, s.addTargets()
}

// addTargets adds a decode engine in each failure domain, prefill engines in two of
// them, and targets of the plain service.
func (s *env) addTargets() error {
	stages := []string{"decode", "decode", "decode", "prefill", "prefill", "", "", ""}
	for i, stage := range stages {
		t := &target{env: s, host: firstTargetHost + i, domain: domainOf(i), stage: stage, service: plainService}
		if stage != "" {
			t.service = engineService
		}
		address := s.at(t.host, targetPort)
		if err := s.network.forward(address, s.at(t.host, targetPort+listenPortOffset)); err != nil {
			return err
		}
		s.targets = append(s.targets, t)
		if err := t.start(); err != nil {
			return err
		}
	}
	return nil
}

func domainOf(i int) string { return fmt.Sprint("d", i%domainCount) }

func (s *env) ip(host int) netip.Addr { return netip.MustParseAddr(s.prefix + fmt.Sprint(host)) }

func (s *env) at(host int, port uint16) netip.AddrPort { return netip.AddrPortFrom(s.ip(host), port) }

func (s *env) addInstance(name string, host int, control bool) error {
	i := &instance{name: name, host: host, control: control, folder: filepath.Join(s.config.Folder, name), program: s.config.Program}
	if err := os.MkdirAll(i.folder, 0o700); err != nil {
		return err
	}
	w := &settingsWriter{env: s, instance: i}
	i.writeSettings = w.writeSettings
	ports := []uint16{entryPort}
	if control {
		s.controls = append(s.controls, i)
		ports = []uint16{operatorPort, peerPort}
	} else {
		s.entries = append(s.entries, i)
	}
	for _, port := range ports {
		if err := s.network.forward(s.at(host, port), s.at(host, port+listenPortOffset)); err != nil {
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
	s, i := w.env, w.instance
	var seeds []string
	for n := range min(3, s.config.Controls) {
		seeds = append(seeds, fmt.Sprintf("%q", s.at(firstControlHost+n, operatorPort)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "instance = %q\nfailure_domain = %q\n[fleet]\naddress = %q\npeer_port = %d\nseeds = [%s]\nfound = %t\n",
		i.name, domainOf(i.host), s.ip(i.host), peerPort, strings.Join(seeds, ", "), bootstrap)
	if i.control {
		fmt.Fprintf(&b, "peer_listen = %q\noperators = %q\ndata_folder = %q\nplatform = %q\nduties = [\"report_usage\", \"order_targets\"]\n",
			s.at(i.host, peerPort+listenPortOffset), s.at(i.host, operatorPort+listenPortOffset), i.dataFolder(), s.at(platformHost, platformPort))
	} else {
		fmt.Fprintf(&b, "requests = %q\nreadiness = %q\n", s.at(i.host, entryPort+listenPortOffset), s.at(i.host, readyPort))
	}
	fmt.Fprintf(&b, "losses = %d\nannounce = \"%v\"\ncontact = \"%v\"\ndrain = \"%v\"\ngrace = \"%v\"\neffect = \"%v\"\nlease = \"%v\"\nretry_slack = 50\n",
		(s.config.Controls-1)/2, heartbeatInterval, configuredBounds.Contact, configuredBounds.Drain, configuredBounds.Grace, configuredBounds.Effect, configuredBounds.Lease)
	return os.WriteFile(i.settingsFile(), []byte(b.String()), 0o600)
}

func (s *env) instances() []*instance {
	return append(append([]*instance(nil), s.controls...), s.entries...)
}

// bootstrap starts all processes, applies the first configuration and waits until
// the load balancer finds all entry instances healthy.
func (s *env) bootstrap(ctx context.Context) error {
	for _, i := range s.instances() {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, t := range s.targets {
		s.group.Go(func() { t.run(ctx) })
	}
	limit, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	if !s.versions.change(limit, 0) {
		return fmt.Errorf("no configuration was acknowledged within %v", bootstrapTimeout)
	}
	s.group.Go(func() { s.loadBalancer.run(ctx) })
	for limit.Err() == nil && !s.loadBalancer.allHealthy() {
		time.Sleep(retryDelay)
	}
	return limit.Err()
}

// startTraffic starts the callers and the operator's reads.
func (s *env) startTraffic(ctx context.Context) {
	for n := range callerCount {
		c := newCaller(s, n)
		s.group.Go(func() { c.run(ctx) })
	}
	r := &configReader{env: s}
	s.group.Go(func() { r.run(ctx) })
}

// awaitRecovery waits until all faults have ended and then for the recovery.
func (s *env) awaitRecovery(ctx context.Context) {
	s.faults.Wait()
	for _, i := range s.instances() {
		i.signal(syscall.SIGCONT)
	}
	s.history.withLock(func() { s.history.LastFaultEnd = time.Now() })
	if s.config.TimeoutFactor <= 1 {
		s.sleep(ctx, configuredBounds.Recovery)
	} else {
		limit, cancel := context.WithTimeout(ctx, s.config.bounds().Recovery)
		defer cancel()
		for limit.Err() == nil && !s.recovered() {
			s.sleep(limit, retryDelay)
		}
	}
	s.history.withLock(func() { s.history.RecoveryDue = time.Now() })
}

// recovered reports whether every entry instance is healthy and the newest
// acknowledged configuration was read since the last fault ended.
func (s *env) recovered() (yes bool) {
	if !s.loadBalancer.allHealthy() {
		return false
	}
	s.history.withLock(func() { yes = s.history.lastReadVersion() >= s.history.newestAck(s.history.LastFaultEnd) })
	return yes
}

func (s *env) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *env) addFinding(invariant, format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.findings = append(s.findings, Finding{invariant, fmt.Sprintf(format, args...)})
}

// collect adds to the history what the instances, targets and the platform recorded
// and returns it.
func (s *env) collect() *History {
	h := s.history
	for _, i := range s.instances() {
		h.UnexpectedExits = append(h.UnexpectedExits, i.unexpectedExits()...)
	}
	for _, t := range s.targets {
		t.collect(h)
	}
	h.Calls = s.duties.Calls()
	return h
}

func (s *env) close() {
	for _, i := range s.instances() {
		if i.done() != nil {
			i.kill()
		}
	}
	for _, t := range s.targets {
		t.stop()
	}
	s.duties.Close()
	s.network.close()
}

// client returns an HTTP client whose connections come from the host.
func (s *env) client(host int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: bind.Dialer(s.ip(host)).DialContext, DisableKeepAlives: true},
		Timeout:   callTimeout,
	}
}

// callTimeout bounds a call to a control instance or a health check. After it the
// operator and the targets try the next control instance.
const callTimeout = time.Second
