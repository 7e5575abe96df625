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
	operatorKey        = "a key for experiments only"
	maxVoters          = 3
	startTimeout       = 30 * time.Second
	startRetryInterval = 50 * time.Millisecond
	callerPort         = 7001
	peerPort           = 7101
	operatorPort       = 7201
	enginePort         = 8000
	// Experiments use the loopback networks 127.N.0.0/16 with N from firstNetwork to
	// firstNetwork+networkCount-1. Each site reserves a free one, and each instance
	// and engine has its own host address in it.
	firstNetwork = 80
	networkCount = 40
	lockPort     = 6999
)

// site is the system under test in one trial: the instances and the engines.
type site struct {
	scenario  *Scenario
	folder    string
	hostCount int
	network   int
	lock      net.Listener
	engines   map[string][]*standin.Engine
	all       []*standin.Engine
	instances []*instance
}

// An instance represents one auburnscale instance of the site.
type instance struct {
	name     string
	domain   string
	host     string
	settings settings.Settings
	cancel   context.CancelFunc
	stopped  chan struct{}
}

func (n *instance) address(port int) string { return fmt.Sprintf("%s:%d", n.host, port) }

func (s *site) newHost() string {
	s.hostCount++
	return fmt.Sprintf("127.%d.%d.%d", s.network, s.hostCount/200, s.hostCount%200+1)
}

// reserveNetwork reserves a loopback network against other processes by listening on
// lockPort of its first host. The search starts at a network that depends on the
// process ID, so that concurrent experiments rarely try the same one.
func (s *site) reserveNetwork() error {
	for i := range networkCount {
		network := firstNetwork + (os.Getpid()+i)%networkCount
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, lockPort))
		if err == nil {
			s.network, s.lock = network, lock
			return nil
		}
	}
	return errors.New("every loopback network of the experiments is in use")
}

// newSite starts the instances and engines, applies the configuration and waits
// until every instance is ready.
func newSite(ctx context.Context, scenario *Scenario, variant Variant, seed uint64) (*site, error) {
	folder, err := os.MkdirTemp("", "auburnscale-experiment-")
	if err != nil {
		return nil, err
	}
	s := &site{scenario: scenario, folder: folder, engines: map[string][]*standin.Engine{}}
	if err := errors.Join(s.reserveNetwork(), s.start(ctx, variant, seed)); err != nil {
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
	s.describeInstances(variant)
	for _, n := range s.instances {
		if err := s.startInstance(n); err != nil {
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
			if err := engine.Listen(fmt.Sprintf("%s:%d", s.newHost(), enginePort)); err != nil {
				return err
			}
			s.engines[domain] = append(s.engines[domain], engine)
			s.all = append(s.all, engine)
		}
	}
	return nil
}

func (s *site) describeInstances(variant Variant) {
	for i := range s.scenario.InstancesPerDomain {
		for _, domain := range s.scenario.Domains {
			s.instances = append(s.instances, &instance{name: fmt.Sprintf("%s-i%d", domain, i), domain: domain, host: s.newHost()})
		}
	}
	for i, n := range s.instances {
		n.settings = s.settingsOf(n, i, variant)
	}
}

func (s *site) settingsOf(n *instance, index int, variant Variant) settings.Settings {
	c := settings.Default()
	c.Instance, c.FailureDomain = n.name, n.domain
	c.Listen = settings.Listen{Caller: n.address(callerPort), Peer: n.address(peerPort), Operator: n.address(operatorPort)}
	c.Peer.KeyFile, c.Operator.KeyFile = s.keyFile(), s.keyFile()
	voters := min(maxVoters, (len(s.instances)-1)/2*2+1)
	for i := range voters {
		c.Voters = append(c.Voters, settings.Voter{ID: uint64(i + 1), Address: s.instances[i].address(peerPort)})
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

func (s *site) startInstance(n *instance) error {
	process, err := serve.New(n.settings, event.Nop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.stopped = cancel, make(chan struct{})
	go n.run(ctx, process)
	return nil
}

func (n *instance) run(ctx context.Context, process *serve.Process) {
	defer close(n.stopped)
	_ = process.Run(ctx)
}

// configure applies the inventory and the rules and waits until every instance is
// ready, for at most startTimeout.
func (s *site) configure(ctx context.Context) error {
	var addresses []string
	for _, n := range s.instances {
		addresses = append(addresses, n.address(operatorPort))
	}
	client := operator.NewClient(addresses, operatorKey)
	request := operator.ApplyRequest{Version: 1, Inventory: s.inventory(), Rules: "[[allow]]\nworkspace = \"*\"\nservice = \"*\"\n", Actor: "experiment"}
	return s.retryUntilStarted(func() error {
		response, err := client.Apply(ctx, request)
		if err != nil {
			return err
		}
		if !response.Accepted {
			return errors.New(response.Detail + strings.Join(response.Findings, "; "))
		}
		return s.ready()
	})
}

func (s *site) ready() error {
	for _, n := range s.instances {
		response, err := http.Get("http://" + n.address(callerPort) + "/readyz")
		if err != nil {
			return err
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("instance %s is not ready", n.name)
		}
	}
	return nil
}

func (s *site) retryUntilStarted(f func() error) error {
	deadline := time.Now().Add(startTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(startRetryInterval)
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

// inject injects a fault: it crashes the engines of the failure domain.
func (s *site) inject(f Fault) {
	for _, e := range s.engines[f.Domain] {
		e.Kill()
	}
}

func (s *site) close() {
	for _, n := range s.instances {
		if n.cancel != nil {
			n.cancel()
		}
	}
	for _, n := range s.instances {
		if n.stopped != nil {
			<-n.stopped
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
