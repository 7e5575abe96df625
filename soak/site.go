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

// Ports of the addresses that others reach. The instances listen behind them.
const (
	operatorPort = 7301
	peerPort     = 7302
	entryPort    = 7303
	targetPort   = 7304
	platformPort = 7305
	readyPort    = 7306
	// behind is the distance to the port that a process itself listens on.
	behind = 1000
)

// Hosts are numbered in one network of their own.
const (
	firstControl = 1
	firstEntry   = 11
	firstTarget  = 101
	operatorHost = 200
	platformHost = 201
	firstCaller  = 210

	callers       = 12
	domains       = 3
	workspaceName = "guild"
	workspaceKey  = "key-of-guild"
	hostName      = "desk.example"
	plainService  = "desk"
	engineService = "lm"
)

// networks numbers the sites of this process.
var networks atomic.Uint32

// A site is a running system with all that is around it.
type site struct {
	config  Config
	prefix  string
	network *network
	history *History
	duties  *standin.ActionRecorder

	controls, entries []*instance
	targets           []*target
	versions          *versions
	rotation          *rotation

	group      sync.WaitGroup
	faults     sync.WaitGroup
	mutex      sync.Mutex
	complaints []Finding
	// lost is when the last data folder was lost.
	lost time.Time
}

func newSite(c Config) (*site, error) {
	s := &site{config: c, network: newNetwork(), history: newHistory(), duties: &standin.ActionRecorder{}}
	const first, size = 80, 40
	s.prefix = fmt.Sprintf("127.%d.%d.", first+os.Getpid()%size, 1+networks.Add(1)%250)
	s.versions = &versions{site: s}
	if err := s.duties.Listen(s.at(platformHost, platformPort).String()); err != nil {
		return nil, err
	}
	for i := range c.Controls {
		if err := s.addInstance(fmt.Sprint("control", i), firstControl+i, true); err != nil {
			return nil, err
		}
	}
	for i := range c.Entries {
		if err := s.addInstance(fmt.Sprint("entry", i), firstEntry+i, false); err != nil {
			return nil, err
		}
	}
	s.rotation = newRotation(s)
	return s, s.addTargets()
}

// addTargets adds an engine that runs prompts in each domain, readers in two,
// and plain targets.
func (s *site) addTargets() error {
	stages := []string{"decode", "decode", "decode", "prefill", "prefill", "", "", ""}
	for i, stage := range stages {
		t := &target{site: s, host: firstTarget + i, domain: domainOf(i), stage: stage, service: plainService}
		if stage != "" {
			t.service = engineService
		}
		address := s.at(t.host, targetPort)
		if err := s.network.forward(address, s.at(t.host, targetPort+behind)); err != nil {
			return err
		}
		s.targets = append(s.targets, t)
		if err := t.start(); err != nil {
			return err
		}
	}
	return nil
}

func domainOf(i int) string { return fmt.Sprint("d", i%domains) }

func (s *site) ip(host int) netip.Addr { return netip.MustParseAddr(s.prefix + fmt.Sprint(host)) }

func (s *site) at(host int, port uint16) netip.AddrPort { return netip.AddrPortFrom(s.ip(host), port) }

func (s *site) addInstance(name string, host int, control bool) error {
	i := &instance{name: name, host: host, control: control, folder: filepath.Join(s.config.Folder, name), program: s.config.Program}
	if err := os.MkdirAll(i.folder, 0o700); err != nil {
		return err
	}
	w := &settingsWriter{site: s, instance: i}
	i.write = w.write
	ports := []uint16{entryPort}
	if control {
		s.controls = append(s.controls, i)
		ports = []uint16{operatorPort, peerPort}
	} else {
		s.entries = append(s.entries, i)
	}
	for _, port := range ports {
		if err := s.network.forward(s.at(host, port), s.at(host, port+behind)); err != nil {
			return err
		}
	}
	return nil
}

// A settingsWriter renders the settings of an instance.
type settingsWriter struct {
	site     *site
	instance *instance
}

func (w *settingsWriter) write(found bool) error {
	s, i := w.site, w.instance
	var seeds []string
	for n := range min(3, s.config.Controls) {
		seeds = append(seeds, fmt.Sprintf("%q", s.at(firstControl+n, operatorPort)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "instance = %q\nfailure_domain = %q\n[fleet]\naddress = %q\npeer_port = %d\nseeds = [%s]\nfound = %t\n",
		i.name, domainOf(i.host), s.ip(i.host), peerPort, strings.Join(seeds, ", "), found)
	if i.control {
		fmt.Fprintf(&b, "peer_listen = %q\noperators = %q\ndata_folder = %q\nplatform = %q\nduties = [\"report_usage\", \"order_targets\"]\n",
			s.at(i.host, peerPort+behind), s.at(i.host, operatorPort+behind), i.dataFolder(), s.at(platformHost, platformPort))
	} else {
		fmt.Fprintf(&b, "requests = %q\nreadiness = %q\n", s.at(i.host, entryPort+behind), s.at(i.host, readyPort))
	}
	fmt.Fprintf(&b, "losses = %d\nannounce = \"%v\"\ncontact = \"%v\"\ndrain = \"%v\"\ngrace = \"%v\"\neffect = \"%v\"\nlease = \"%v\"\nretry_slack = 50\n",
		(s.config.Controls-1)/2, announceInterval, promised.Contact, promised.Drain, promised.Grace, promised.Effect, promised.Lease)
	return os.WriteFile(i.settingsFile(), []byte(b.String()), 0o600)
}

func (s *site) instances() []*instance {
	return append(append([]*instance(nil), s.controls...), s.entries...)
}

// found starts everything and puts the first configuration in force.
func (s *site) found(ctx context.Context) error {
	for _, i := range s.instances() {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, t := range s.targets {
		s.group.Go(func() { t.run(ctx) })
	}
	limit, cancel := context.WithTimeout(ctx, foundingTime)
	defer cancel()
	if !s.versions.change(limit, 0) {
		return fmt.Errorf("no configuration was acknowledged within %v", foundingTime)
	}
	s.group.Go(func() { s.rotation.run(ctx) })
	for limit.Err() == nil && !s.rotation.all() {
		time.Sleep(retryPause)
	}
	return limit.Err()
}

// traffic starts callers and the operator's readings.
func (s *site) traffic(ctx context.Context) {
	for n := range callers {
		c := newCaller(s, n)
		s.group.Go(func() { c.run(ctx) })
	}
	r := &reader{site: s}
	s.group.Go(func() { r.run(ctx) })
}

// heal waits for every fault's end, and then for the time to recover in.
func (s *site) heal(ctx context.Context) {
	s.faults.Wait()
	for _, i := range s.instances() {
		i.signal(syscall.SIGCONT)
	}
	s.history.do(func() { s.history.Healed = time.Now() })
	if s.config.Patience <= 1 {
		s.sleep(ctx, promised.Recovery)
	} else {
		limit, cancel := context.WithTimeout(ctx, s.config.bounds().Recovery)
		defer cancel()
		for limit.Err() == nil && !s.settled() {
			s.sleep(limit, retryPause)
		}
	}
	s.history.do(func() { s.history.Judged = time.Now() })
}

// settled reports whether every entry takes connections and the newest
// acknowledged configuration was read since the last fault.
func (s *site) settled() (yes bool) {
	if !s.rotation.all() {
		return false
	}
	s.history.do(func() { yes = s.history.lastReading() >= s.history.newestAck(s.history.Healed) })
	return yes
}

func (s *site) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *site) complain(promise, format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.complaints = append(s.complaints, Finding{promise, fmt.Sprintf(format, args...)})
}

// collect stops what still runs and returns all that was seen.
func (s *site) collect() *History {
	h := s.history
	for _, i := range s.instances() {
		h.OwnEnds = append(h.OwnEnds, i.ownEnds()...)
	}
	for _, t := range s.targets {
		t.collect(h)
	}
	h.Calls = s.duties.Calls()
	return h
}

func (s *site) close() {
	for _, i := range s.instances() {
		if i.end() != nil {
			i.kill()
		}
	}
	for _, t := range s.targets {
		t.stop()
	}
	s.duties.Close()
	s.network.close()
}

// client returns a client whose connections come from the host.
func (s *site) client(host int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: bind.Dialer(s.ip(host)).DialContext, DisableKeepAlives: true},
		Timeout:   callTimeout,
	}
}

// callTimeout is after how long callers of control instances go on to another.
const callTimeout = time.Second
