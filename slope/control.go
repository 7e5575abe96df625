package slope

import (
	"context"
	"fmt"
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

	"auburnscale/bind"
	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/delta"
	"auburnscale/event"
	"auburnscale/link"
	"auburnscale/member"
	"auburnscale/peer"
	"auburnscale/quorum"
	"auburnscale/serve"
	"auburnscale/storage"
	"auburnscale/voter"
)

const (
	voters       = 3
	firstPort    = 7101
	linkKey      = "a key for measuring only"
	restSpan     = 5 * time.Second
	startLimit   = 30 * time.Second
	changes      = 9
	interval     = time.Second
	freshness    = 4 * time.Second
	claimSpan    = 4 * time.Second
	claimWorkers = 128
)

// group is three voters with folders, listeners and tables.
type group struct {
	folder    string
	addresses map[uint64]string
	voters    []*voter.Voter
	stops     []func()
	followers []*member.Follower
	bytes     atomic.Int64
}

func newGroup() (*group, error) {
	folder, err := os.MkdirTemp("", "auburnscale-slope-")
	if err != nil {
		return nil, err
	}
	g := &group{folder: folder, addresses: map[uint64]string{}}
	for id := uint64(1); id <= voters; id++ {
		g.addresses[id] = fmt.Sprintf("127.%d.0.%d:%d", 120+os.Getpid()%100, id, firstPort)
	}
	for id := uint64(1); id <= voters; id++ {
		if err := g.startVoter(id); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, g.awaitLeader()
}

func (g *group) startVoter(id uint64) error {
	local := netip.MustParseAddrPort(g.addresses[id])
	folder, err := storage.Open(filepath.Join(g.folder, fmt.Sprint(id)))
	if err != nil {
		return err
	}
	client := link.NewClient(local.Addr(), linkKey, nil)
	senders := link.NewSenders(client, g.addresses, id)
	v := voter.New(voter.Config{
		ID: id, InitialVoters: []uint64{1, 2, 3}, Timing: quorum.DefaultTiming, Seed: id,
		Limits: control.Limits{ClaimRetain: time.Hour}, Incarnation: fmt.Sprint("voter", id),
	}, folder, senders, event.Nop())
	table := member.NewTable(v, clock.Now, interval, freshness)
	server, err := link.Listen(g.addresses[id], link.Handler(linkKey, serve.NewVoterServer(v, table)), nil)
	if err != nil {
		return err
	}
	v.Start()
	go (&listener{server}).run()
	g.voters = append(g.voters, v)
	g.stops = append(g.stops, func() { v.Stop(); senders.Close(); _ = server.Close(); folder.Close() })
	return nil
}

// listener answers for one voter until it is closed.
type listener struct{ server *link.Server }

func (l *listener) run() { _ = l.server.Serve() }

func (g *group) awaitLeader() error {
	deadline := time.Now().Add(startLimit)
	for g.leader() == nil {
		if time.Now().After(deadline) {
			return fmt.Errorf("no leader within %v", startLimit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (g *group) leader() *voter.Voter {
	for _, v := range g.voters {
		if v.MayAct() {
			return v
		}
	}
	return nil
}

func (g *group) close() {
	for _, f := range g.followers {
		f.Stop()
	}
	for _, stop := range g.stops {
		stop()
	}
	os.RemoveAll(g.folder)
}

// propose commits through whichever voter leads.
func (g *group) propose(ctx context.Context, c *peer.Command) (*peer.Result, error) {
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

func (g *group) apply(ctx context.Context, version uint64, inventoryTOML string) error {
	rules := []byte("[[allow]]\nworkspace = \"*\"\nservice = \"*\"\n")
	result, err := g.propose(ctx, &peer.Command{Actor: "slope", Body: &peer.Command_Apply{Apply: &peer.ApplyConfiguration{
		Version: version, Digest: delta.Digest([]byte(inventoryTOML), rules), Inventory: []byte(inventoryTOML), Rules: rules,
	}}})
	if err == nil && result.Code != peer.Result_OK {
		err = fmt.Errorf("apply: %s", result.Detail)
	}
	return err
}

// noUsage is the usage of an instance without callers.
type noUsage struct{}

// Unsettled returns nothing.
func (noUsage) Unsettled(*member.View) []*peer.Counter { return nil }

// Settled does nothing.
func (noUsage) Settled([]*peer.Counter, []bool, uint64) {}

// join starts light instances, each with its own link.
func (g *group) join(n int) {
	for i := range n {
		client := link.NewClientOver(g.countingDialer(), linkKey)
		f := member.NewFollower(member.FollowerConfig{
			Instance: fmt.Sprintf("i%d", i), Incarnation: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%6),
			Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250), Interval: interval, Freshness: freshness, Voters: g.addresses,
		}, client, noUsage{}, event.Nop(), nil)
		f.Start()
		g.followers = append(g.followers, f)
	}
}

func (g *group) countingDialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := bind.Dialer(netip.MustParseAddr("127.0.0.1"))
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

// Read counts what comes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (g *group) awaitVersion(version uint64) error {
	deadline := time.Now().Add(startLimit)
	for {
		behind := slices.IndexFunc(g.followers, func(f *member.Follower) bool { return f.View().Version() < version })
		if behind < 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("instance %d does not have version %d within %v", behind, version, startLimit)
		}
		time.Sleep(time.Millisecond)
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measureControl(ctx context.Context, n int) (*ControlPoint, error) {
	g, err := newGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	const workspaces = 750
	if err := g.apply(ctx, 1, inventoryOf(workspaces, 0)); err != nil {
		return nil, err
	}
	g.join(n)
	if err := g.awaitVersion(1); err != nil {
		return nil, err
	}
	time.Sleep(2 * interval)
	p := &ControlPoint{Instances: n}
	g.measureRest(p)
	return p, g.measureChanges(ctx, p, workspaces)
}

func (g *group) measureRest(p *ControlPoint) {
	bytes, cpu := g.bytes.Load(), processorTime()
	time.Sleep(restSpan)
	p.CPU = (processorTime() - cpu).Seconds() / restSpan.Seconds()
	p.BytesPerInstance = float64(g.bytes.Load()-bytes) / float64(p.Instances) / restSpan.Seconds()
}

func (g *group) measureChanges(ctx context.Context, p *ControlPoint, workspaces int) error {
	var times []float64
	bytes, cpu := g.bytes.Load(), processorTime()
	for version := uint64(2); version < 2+changes; version++ {
		text := inventoryOf(workspaces, int(version))
		began := time.Now()
		if err := g.apply(ctx, version, text); err != nil {
			return err
		}
		if err := g.awaitVersion(version); err != nil {
			return err
		}
		times = append(times, float64(time.Since(began).Microseconds())/1000)
	}
	p.ChangeBytes = float64(g.bytes.Load()-bytes) / float64(p.Instances) / changes
	p.ChangeCPUMs = float64((processorTime() - cpu).Milliseconds()) / changes
	slices.Sort(times)
	p.InForceMs, p.InForceMaxMs = times[len(times)/2], times[len(times)-1]
	return nil
}

// claimers sends claims at given times and notes how long each took from its
// time on.
type claimers struct {
	group     *group
	histogram *hdrhistogram.Histogram
	mutex     sync.Mutex
	waiting   sync.WaitGroup
	slots     chan struct{}
}

func measureClaims(ctx context.Context, rate int) (*ClaimPoint, error) {
	g, err := newGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	ctx, cancel := context.WithTimeout(ctx, claimSpan+startLimit)
	defer cancel()
	const maxMicroseconds, digits, perMs = 60_000_000, 3, 1000.0
	c := &claimers{group: g, histogram: hdrhistogram.New(1, maxMicroseconds, digits), slots: make(chan struct{}, claimWorkers)}
	began := time.Now()
	for i := range int(claimSpan.Seconds() * float64(rate)) {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		c.slots <- struct{}{}
		c.waiting.Add(1)
		go c.run(ctx, i, due)
	}
	c.waiting.Wait()
	return &ClaimPoint{
		Offered: rate, Done: float64(c.histogram.TotalCount()) / time.Since(began).Seconds(),
		P50Ms: float64(c.histogram.ValueAtQuantile(50)) / perMs, P99Ms: float64(c.histogram.ValueAtQuantile(99)) / perMs,
	}, nil
}

func (c *claimers) run(ctx context.Context, i int, due time.Time) {
	defer c.waiting.Done()
	defer func() { <-c.slots }()
	if c.group.claim(ctx, i) != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.histogram.RecordValue(time.Since(due).Microseconds())
}

// claim opens one claim, which is what a call waits for before its first byte.
func (g *group) claim(ctx context.Context, i int) error {
	_, err := g.propose(ctx, &peer.Command{Body: &peer.Command_OpenClaim{OpenClaim: &peer.OpenClaim{
		Workspace: "w1", Key: fmt.Sprint(i), Digest: []byte("digest"), Owner: fmt.Sprint("owner", i),
	}}})
	return err
}

func measureRestart(ctx context.Context, n int) (*RestartPoint, error) {
	g, err := newGroup()
	if err != nil {
		return nil, err
	}
	defer g.close()
	for version := uint64(1); version <= uint64(n); version++ {
		if err := g.apply(ctx, version, inventoryOf(100, int(version))); err != nil {
			return nil, err
		}
	}
	g.stops[0]()
	g.stops = g.stops[1:]
	began := time.Now()
	folder, err := storage.Open(filepath.Join(g.folder, "1"))
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	v := voter.New(voter.Config{ID: 1, InitialVoters: []uint64{1, 2, 3}, Timing: quorum.DefaultTiming, Limits: control.Limits{ClaimRetain: time.Hour}},
		folder, nobody{}, event.Nop())
	took := time.Since(began)
	_ = v
	const perMB = 1 << 20
	return &RestartPoint{Changes: n, Ms: float64(took.Microseconds()) / 1000, LogMB: float64(folder.LogSize()) / perMB}, nil
}

// nobody takes messages to no one.
type nobody struct{}

// Send drops the messages.
func (nobody) Send([]*peer.Message) {}
