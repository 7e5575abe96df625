package experiment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"auburnscale/event"
	"auburnscale/inventory"
	"auburnscale/operator"
	"auburnscale/serve"
	"auburnscale/settings"
	"auburnscale/standin"
)

const (
	operatorKey = "a key for experiments only"
	maxVoters   = 3
	startLimit  = 30 * time.Second
	startPause  = 50 * time.Millisecond
	callerPort  = 7001
	peerPort    = 7101
	toolPort    = 7201
	enginePort  = 8000
	// firstNetwork and networks are the loopback networks of experiments. A site
	// takes the first free one, and each part of the system a host of it.
	firstNetwork = 80
	networks     = 40
	lockPort     = 6999
)

// site is the system under one trial.
type site struct {
	scenario *Scenario
	folder   string
	hosts    int
	network  int
	lock     net.Listener
	engines  map[string][]*standin.Engine
	all      []*standin.Engine
	nodes    []*node
}

type node struct {
	name     string
	domain   string
	host     string
	settings settings.Settings
	cancel   context.CancelFunc
	ended    chan struct{}
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.host, port) }

func (s *site) host() string {
	s.hosts++
	return fmt.Sprintf("127.%d.%d.%d", s.network, s.hosts/200, s.hosts%200+1)
}

// takeNetwork keeps other processes off a network by listening on its first
// host.
func (s *site) takeNetwork() error {
	for i := range networks {
		network := firstNetwork + (os.Getpid()+i)%networks
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, lockPort))
		if err == nil {
			s.network, s.lock = network, lock
			return nil
		}
	}
	return errors.New("no loopback network is free")
}

// newSite starts everything and puts the configuration in force.
func newSite(ctx context.Context, scenario *Scenario, variant Variant, seed uint64) (*site, error) {
	folder, err := os.MkdirTemp("", "auburnscale-experiment-")
	if err != nil {
		return nil, err
	}
	s := &site{scenario: scenario, folder: folder, engines: map[string][]*standin.Engine{}}
	if err := errors.Join(s.takeNetwork(), s.start(ctx, variant, seed)); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) start(ctx context.Context, variant Variant, seed uint64) error {
	if err := os.WriteFile(s.keyFile(), []byte(operatorKey), 0o600); err != nil {
		return err
	}
	if err := s.startEngines(seed); err != nil {
		return err
	}
	s.describeNodes(variant)
	for _, n := range s.nodes {
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	return s.configure(ctx)
}

func (s *site) keyFile() string { return filepath.Join(s.folder, "key") }

func (s *site) startEngines(seed uint64) error {
	for _, domain := range s.scenario.Domains {
		for i := range s.scenario.Engines.PerDomain {
			config := s.scenario.Engines.config(fmt.Sprintf("%s-e%d", domain, i), seed, len(s.all) == 0)
			engine := standin.NewEngine(config)
			if err := engine.Listen(fmt.Sprintf("%s:%d", s.host(), enginePort)); err != nil {
				return err
			}
			s.engines[domain] = append(s.engines[domain], engine)
			s.all = append(s.all, engine)
		}
	}
	return nil
}

func (s *site) describeNodes(variant Variant) {
	for i := range s.scenario.InstancesPerDomain {
		for _, domain := range s.scenario.Domains {
			s.nodes = append(s.nodes, &node{name: fmt.Sprintf("%s-i%d", domain, i), domain: domain, host: s.host()})
		}
	}
	for i, n := range s.nodes {
		n.settings = s.settingsOf(n, i, variant)
	}
}

func (s *site) settingsOf(n *node, index int, variant Variant) settings.Settings {
	c := settings.Default()
	c.Instance, c.FailureDomain = n.name, n.domain
	c.Listen = settings.Listen{Caller: n.address(callerPort), Peer: n.address(peerPort), Operator: n.address(toolPort)}
	c.Peer.KeyFile, c.Operator.KeyFile = s.keyFile(), s.keyFile()
	voters := min(maxVoters, (len(s.nodes)-1)/2*2+1)
	for i := range voters {
		c.Voters = append(c.Voters, settings.Voter{ID: uint64(i + 1), Address: s.nodes[i].address(peerPort)})
		c.InitialVoters = append(c.InitialVoters, uint64(i+1))
	}
	if index < voters {
		c.Voter = settings.VoterRole{ID: uint64(index + 1), DataFolder: filepath.Join(s.folder, n.name)}
	}
	if variant.Routing != "" {
		c.Policy.Routing = variant.Routing
	}
	if variant.Admission != "" {
		c.Policy.Admission = variant.Admission
	}
	if variant.Retries != "" {
		c.Policy.Retries = variant.Retries
	}
	return c
}

func (s *site) startNode(n *node) error {
	process, err := serve.New(n.settings, event.Nop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.ended = cancel, make(chan struct{})
	go n.run(ctx, process)
	return nil
}

func (n *node) run(ctx context.Context, process *serve.Process) {
	defer close(n.ended)
	_ = process.Run(ctx)
}

// configure applies the inventory and waits until every instance is ready.
func (s *site) configure(ctx context.Context) error {
	var addresses []string
	for _, n := range s.nodes {
		addresses = append(addresses, n.address(toolPort))
	}
	client := operator.NewClient(addresses, operatorKey)
	request := operator.ApplyRequest{Version: 1, Inventory: s.inventory(), Rules: "[[allow]]\nworkspace = \"*\"\nservice = \"*\"\n", Actor: "experiment"}
	return s.await(func() error {
		answer, err := client.Apply(ctx, request)
		if err != nil {
			return err
		}
		if !answer.Accepted {
			return errors.New(answer.Detail + strings.Join(answer.Findings, "; "))
		}
		return s.ready()
	})
}

func (s *site) ready() error {
	for _, n := range s.nodes {
		response, err := http.Get("http://" + n.address(callerPort) + "/readyz")
		if err != nil {
			return err
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s is not ready", n.name)
		}
	}
	return nil
}

func (s *site) await(f func() error) error {
	deadline := time.Now().Add(startLimit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(startPause)
	}
}

func (s *site) inventory() string {
	var b strings.Builder
	b.WriteString("currency = \"AUD\"\n\n[[services]]\nname = \"reading\"\nkind = \"engine\"\nmodels = [\"reader\"]\n")
	for _, domain := range s.scenario.Domains {
		fmt.Fprintf(&b, "\n[[failure_domains]]\nname = %q\n", domain)
		for i, engine := range s.engines[domain] {
			fmt.Fprintf(&b, "\n[[targets]]\nname = \"%s-e%d\"\nservice = \"reading\"\nfailure_domain = %q\naddress = %q\nhonours_fencing = true\nslots = %d\ntoken_cost = 300\n",
				domain, i, domain, engine.Address(), max(1, s.scenario.Engines.Slots))
		}
	}
	for _, w := range s.scenario.Load.Workspaces {
		fmt.Fprintf(&b, "\n[[workspaces]]\nname = %q\n\n[[keys]]\nid = %q\nworkspace = %q\nhash = %q\n", w.Name, w.Name, w.Name, inventory.HashKey(keyOf(w.Name)))
	}
	return b.String()
}

func keyOf(workspace string) string { return workspace + ".experiment" }

// strike brings a fault about.
func (s *site) strike(f Fault) {
	for _, e := range s.engines[f.Domain] {
		e.Kill()
	}
}

func (s *site) close() {
	for _, n := range s.nodes {
		if n.cancel != nil {
			n.cancel()
		}
	}
	for _, n := range s.nodes {
		if n.ended != nil {
			<-n.ended
		}
	}
	for _, e := range s.all {
		e.Kill()
	}
	if s.lock != nil {
		s.lock.Close()
	}
	os.RemoveAll(s.folder)
}
