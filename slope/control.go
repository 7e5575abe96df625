package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/delta"
	"auburnscale/event"
	"auburnscale/member"
	"auburnscale/peer"
	"auburnscale/quarantine"
	"auburnscale/quorum"
	"auburnscale/serve"
	"auburnscale/storage"
	"auburnscale/tcp"
	"auburnscale/transport"
	"auburnscale/voter"
)

const (
	voters            = 3
	voterPort         = 7101
	linkKey           = "a key for measuring only"
	idleDuration      = 5 * time.Second
	startTimeout      = 30 * time.Second
	changeCount       = 9
	heartbeatInterval = time.Second
	freshness         = 4 * time.Second
	claimDuration     = 4 * time.Second
	claimWorkers      = 128
)

// voterGroup is a control group of three voters, each with its data folder and
// listener, and the control clients of the instances.
type voterGroup struct {
	folder    string
	addresses map[uint64]string
	voters    []*voter.Voter
	stops     []func()
	clients   []*member.ControlClient
	bytes     atomic.Int64
}

func newVoterGroup() (*voterGroup, error) {
	folder, err := os.MkdirTemp("", "auburnscale-slope-")
	if err != nil {
		return nil, err
	}
	g := &voterGroup{folder: folder, addresses: map[uint64]string{}}
	for id := uint64(1); id <= voters; id++ {
		g.addresses[id] = fmt.Sprintf("127.%d.0.%d:%d", 120+os.Getpid()%100, id, voterPort)
	}
	for id := uint64(1); id <= voters; id++ {
		if err := g.startVoter(id); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, g.awaitLeader()
}

func (g *voterGroup) startVoter(id uint64) error {
	local := netip.MustParseAddrPort(g.addresses[id])
	folder, err := storage.Open(filepath.Join(g.folder, fmt.Sprint(id)))
	if err != nil {
		return err
	}
	client := transport.NewClient(local.Addr(), linkKey, nil)
	senders := transport.NewSenders(client, g.addresses, id)
	v := voter.New(voter.Config{
		ID: id, InitialVoters: []uint64{1, 2, 3}, Timing: quorum.DefaultTiming, Seed: id,
		Limits: control.Limits{ClaimRetain: time.Hour}, Incarnation: fmt.Sprint("voter", id),
	}, folder, senders, event.Nop())
	suspects := quarantine.NewBoard(fmt.Sprint("voter", id), quarantine.NewEvidence(clock.Now, nil, event.Nop()))
	table := member.NewTable(v, suspects, clock.Now, heartbeatInterval, freshness)
	server, err := transport.Listen(g.addresses[id], transport.Handler(linkKey, serve.NewVoterServer(v, table, suspects, nil), func(string, []string) {}), nil)
	if err != nil {
		return err
	}
	v.Start()
	go (&voterListener{server}).run()
	g.voters = append(g.voters, v)
	g.stops = append(g.stops, func() { v.Stop(); senders.Close(); _ = server.Close(); folder.Close() })
	return nil
}

// voterListener serves the requests to one voter until the server is closed.
type voterListener struct{ server *transport.Server }

func (l *voterListener) run() { _ = l.server.Serve() }

func (g *voterGroup) awaitLeader() error {
	deadline := time.Now().Add(startTimeout)
	for g.leader() == nil {
		if time.Now().After(deadline) {
			return fmt.Errorf("no leader was elected within %v", startTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (g *voterGroup) leader() *voter.Voter {
	for _, v := range g.voters {
		if v.MayAct() {
			return v
		}
	}
	return nil
}

func (g *voterGroup) close() {
	for _, c := range g.clients {
		c.Stop()
	}
	for _, stop := range g.stops {
		stop()
	}
	os.RemoveAll(g.folder)
}

// propose commits the command through the current leader. It retries until that
// succeeds or the context ends.
func (g *voterGroup) propose(ctx context.Context, c *peer.Command) (*peer.Result, error) {
	for {
		if v := g.leader(); v != nil {
			result, err := v.Propose(ctx, c)
			if err == nil {
				return result, nil
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}

func (g *voterGroup) apply(ctx context.Context, version uint64, inventoryTOML string) error {
	rules := []byte("[[allow]]\nworkspace = \"*\"\nservice = \"*\"\n")
	result, err := g.propose(ctx, &peer.Command{Actor: "slope", Body: &peer.Command_Apply{Apply: &peer.ApplyConfiguration{
		Version: version, Digest: delta.Digest([]byte(inventoryTOML), rules), Inventory: []byte(inventoryTOML), Rules: rules,
	}}})
	if err == nil && result.Code != peer.Result_OK {
		err = fmt.Errorf("apply: %s", result.Detail)
	}
	return err
}

// emptyUsage is the usage source of an instance without callers.
type emptyUsage struct{}

// Unsettled returns nothing.
func (emptyUsage) Unsettled(*member.View) []*peer.Counter { return nil }

// Acknowledge does nothing.
func (emptyUsage) Acknowledge([]*peer.Counter, []bool, uint64) {}

// startClients starts the control clients of n instances, each with its own link.
func (g *voterGroup) startClients(n int) {
	for i := range n {
		client := transport.NewClientWithDial(g.countingDialer(), linkKey)
		c := member.NewControlClient(member.ControlClientConfig{
			Instance: fmt.Sprintf("i%d", i), Incarnation: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%6),
			Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250), Interval: heartbeatInterval, Freshness: freshness, Voters: g.addresses,
		}, client, emptyUsage{}, quarantine.NewBlocks(clock.Now, rand.Float64, event.Nop()), event.Nop(), nil)
		c.Start()
		g.clients = append(g.clients, c)
	}
}

func (g *voterGroup) countingDialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tcp.Dialer(netip.MustParseAddr("127.0.0.1"))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: connection, bytes: &g.bytes}, nil
	}
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts the received bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts the sent bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (g *voterGroup) awaitVersion(version uint64) error {
	deadline := time.Now().Add(startTimeout)
	for {
		behind := slices.IndexFunc(g.clients, func(c *member.ControlClient) bool { return c.View().Version() < version })
		if behind < 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("instance %d did not get version %d within %v", behind, version, startTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measureControl(ctx context.Context, n int) (*ControlPoint, error) {
	g, err := newVoterGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	const workspaces = 750
	if err := g.apply(ctx, 1, renderInventory(workspaces, 0)); err != nil {
		return nil, err
	}
	g.startClients(n)
	if err := g.awaitVersion(1); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeatInterval)
	p := &ControlPoint{Instances: n}
	g.measureIdle(p)
	return p, g.measureChanges(ctx, p, workspaces)
}

func (g *voterGroup) measureIdle(p *ControlPoint) {
	bytes, cpu := g.bytes.Load(), cpuTime()
	time.Sleep(idleDuration)
	p.CPU = (cpuTime() - cpu).Seconds() / idleDuration.Seconds()
	p.BytesPerInstance = float64(g.bytes.Load()-bytes) / float64(p.Instances) / idleDuration.Seconds()
}

func (g *voterGroup) measureChanges(ctx context.Context, p *ControlPoint, workspaces int) error {
	var times []float64
	bytes, cpu := g.bytes.Load(), cpuTime()
	for version := uint64(2); version < 2+changeCount; version++ {
		text := renderInventory(workspaces, int(version))
		started := time.Now()
		if err := g.apply(ctx, version, text); err != nil {
			return err
		}
		if err := g.awaitVersion(version); err != nil {
			return err
		}
		times = append(times, float64(time.Since(started).Microseconds())/1000)
	}
	p.ChangeBytes = float64(g.bytes.Load()-bytes) / float64(p.Instances) / changeCount
	p.ChangeCPUMs = float64((cpuTime() - cpu).Milliseconds()) / changeCount
	slices.Sort(times)
	p.InForceMs, p.InForceMaxMs = times[len(times)/2], times[len(times)-1]
	return nil
}

// claimLoad sends claims at a fixed rate and records the latency of each
// successful one, in microseconds from the time at which it was due.
type claimLoad struct {
	group     *voterGroup
	histogram *hdrhistogram.Histogram
	mutex     sync.Mutex
	inFlight  sync.WaitGroup
	slots     chan struct{}
}

func measureClaims(ctx context.Context, rate int) (*ClaimPoint, error) {
	g, err := newVoterGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	ctx, cancel := context.WithTimeout(ctx, claimDuration+startTimeout)
	defer cancel()
	const maxMicroseconds, digits, perMs = 60_000_000, 3, 1000.0
	c := &claimLoad{group: g, histogram: hdrhistogram.New(1, maxMicroseconds, digits), slots: make(chan struct{}, claimWorkers)}
	started := time.Now()
	for i := range int(claimDuration.Seconds() * float64(rate)) {
		due := started.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		c.slots <- struct{}{}
		c.inFlight.Add(1)
		go c.run(ctx, i, due)
	}
	c.inFlight.Wait()
	return &ClaimPoint{
		Offered: rate, Done: float64(c.histogram.TotalCount()) / time.Since(started).Seconds(),
		P50Ms: float64(c.histogram.ValueAtQuantile(50)) / perMs, P99Ms: float64(c.histogram.ValueAtQuantile(99)) / perMs,
	}, nil
}

func (c *claimLoad) run(ctx context.Context, i int, due time.Time) {
	defer c.inFlight.Done()
	defer func() { <-c.slots }()
	if c.group.claim(ctx, i) != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.histogram.RecordValue(time.Since(due).Microseconds())
}

// claim opens one claim, as a call does before its first byte is sent.
func (g *voterGroup) claim(ctx context.Context, i int) error {
	_, err := g.propose(ctx, &peer.Command{Body: &peer.Command_OpenClaim{OpenClaim: &peer.OpenClaim{
		Workspace: "w1", Key: fmt.Sprint(i), Digest: []byte("digest"), Owner: fmt.Sprint("owner", i),
	}}})
	return err
}

func measureRestart(ctx context.Context, n int) (*RestartPoint, error) {
	g, err := newVoterGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	for version := uint64(1); version <= uint64(n); version++ {
		if err := g.apply(ctx, version, renderInventory(100, int(version))); err != nil {
			return nil, err
		}
	}
	g.stops[0]()
	g.stops = g.stops[1:]
	started := time.Now()
	folder, err := storage.Open(filepath.Join(g.folder, "1"))
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	v := voter.New(voter.Config{ID: 1, InitialVoters: []uint64{1, 2, 3}, Timing: quorum.DefaultTiming, Limits: control.Limits{ClaimRetain: time.Hour}},
		folder, discardSender{}, event.Nop())
	took := time.Since(started)
	_ = v
	const perMB = 1 << 20
	return &RestartPoint{Changes: n, Ms: float64(took.Microseconds()) / 1000, LogMB: float64(folder.LogSize()) / perMB}, nil
}

// discardSender drops all messages to other voters.
type discardSender struct{}

// Send drops the messages.
func (discardSender) Send([]*peer.Message) {}
