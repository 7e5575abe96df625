package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"auburnscale/catalog"
	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/gateway"
	"auburnscale/peer"
	"auburnscale/platform"
	"auburnscale/platform/standin"
	"auburnscale/retry"
	"auburnscale/roster"
	"auburnscale/route"
)

const (
	key       = "secret-key-of-guild"
	waitLimit = 20 * time.Second
)

// A bed is a gateway before stand-in targets.
type bed struct {
	t       *testing.T
	server  *gateway.Server
	roster  *roster.Roster
	fleets  *gateway.Fleets
	sources *sources
	begun   *begun
	targets []*standin.Target
	address string
	number  int
	seq     uint64
}

type sources struct {
	mutex    sync.Mutex
	snapshot *catalog.Snapshot
	stale    bool
}

func (s *sources) set(snapshot *catalog.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = snapshot
}

func (s *sources) Configuration() *catalog.Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot
}

func (s *sources) Ready() bool     { return s.Configuration() != nil }
func (s *sources) KeysFresh() bool { return !s.stale }

type begun struct{ counts map[string]int }

func (b *begun) Count(workspace string) { b.counts[workspace]++ }

// configuration has one route of each kind, all to the service "desk".
func configuration() catalog.Configuration {
	route := func(prefix string, repetition catalog.Repetition, attempts int) catalog.Route {
		return catalog.Route{
			Name: prefix, Host: "desk.example", Prefix: prefix, Repetition: repetition, Timeout: waitLimit, Objective: time.Second,
			Shares: []catalog.Share{{Service: "desk", Weight: 1}}, Attempts: attempts,
		}
	}
	resumable := route("/resumable/", catalog.Streamed, 3)
	resumable.Resumable = true
	open := route("/open/", catalog.Idempotent, 1)
	open.Open = true
	short := route("/short/", catalog.Once, 1)
	short.Timeout = 300 * time.Millisecond
	return catalog.Configuration{
		Version:  1,
		Services: []catalog.Service{{Name: "desk"}},
		Routes: []catalog.Route{
			route("/orders/", catalog.Once, 1), route("/reads/", catalog.Idempotent, 2), route("/streams/", catalog.Streamed, 1),
			resumable, open, short,
		},
		Workspaces: []catalog.Workspace{{Name: "guild", Keys: []string{key}, Priority: 3}},
		Limits:     catalog.Limits{BodyBytes: 1 << 20},
	}
}

func newBed(t *testing.T, targets int) *bed {
	snapshot, findings := catalog.New(configuration())
	require.NoError(t, findings.Err())
	b := &bed{t: t, sources: &sources{snapshot: snapshot}, begun: &begun{map[string]int{}}, roster: roster.New(clock.Now, time.Hour)}
	b.fleets = gateway.NewFleets("d0", route.Placer{})
	for i := range targets {
		target := standin.NewTarget(fmt.Sprint("e", i))
		require.NoError(t, target.Listen("127.0.0.1:0"))
		t.Cleanup(target.Close)
		b.targets = append(b.targets, target)
		b.announce(i, peer.TargetRow_STAGE_UNSPECIFIED)
	}
	b.server = gateway.New(gateway.Config{Requests: free(t), Readiness: free(t), Notice: 10 * time.Millisecond, Grace: waitLimit}, gateway.Parts{
		Sources: b.sources, Codec: platform.Headers{}, Dialer: exchange.NewDialer(netip.MustParseAddr("127.0.0.1")), Fleets: b.fleets,
		Budget: retry.NewShare(1, 100, time.Minute), Suspects: retry.NewSuspects(), Begun: b.begun, Metrics: tally.NoopScope, Logger: event.Nop(),
	})
	require.NoError(t, b.server.Listen())
	b.address = b.server.Address()
	go func() { _ = b.server.Serve() }()
	go func() { _ = b.server.ServeReadiness() }()
	t.Cleanup(func() { b.server.Abort() })
	return b
}

func free(*testing.T) string { return "127.0.0.1:0" }

func (b *bed) announce(i int, stage peer.TargetRow_Stage) {
	target := b.targets[i]
	b.seq++
	b.roster.Hear(&peer.TargetRow{
		Id: target.ID(), Service: "desk", Address: target.Address(), Domain: "d0", Slots: 8, State: peer.TargetRow_READY,
		Stage: stage, BornMs: 1, Seq: b.seq,
	})
	b.refresh()
}

func (b *bed) refresh() { b.fleets.Refresh(b.roster.Snapshot(), []string{"desk"}, time.Now()) }

// An answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

func (b *bed) request(ctx context.Context, method, path string, headers ...string) (*http.Request, string) {
	b.number++
	id := fmt.Sprint("r", b.number)
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order one")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.address+path, body)
	require.NoError(b.t, err)
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r, id
}

func send(r *http.Request) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), response.Header, err}
}

func (b *bed) send(method, path string, headers ...string) (answer, string) {
	r, id := b.request(context.Background(), method, path, headers...)
	return send(r), id
}

func (b *bed) runs(id string) int {
	n := 0
	for _, t := range b.targets {
		n += t.Runs(id)
	}
	return n
}

func (b *bed) await(what string, yes func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !yes() {
		require.False(b.t, time.Now().After(deadline), "did not happen: %s", what)
		time.Sleep(5 * time.Millisecond)
	}
}

var streamed = []string{"X-Model", "m", "X-Token-Count", "1000,10", "X-Prefix-Hash", "a1:900,b2:100"}

// TestOrderRunsOnce sends a request that may run once to a target that fails in
// each way. It runs once at most, and only a request that did not run is refused
// as not run.
func TestOrderRunsOnce(t *testing.T) {
	for name, each := range map[string]struct {
		behaviour standin.Behaviour
		status    int
		runs      int
	}{
		"whole":     {nil, 200, 1},
		"unframed":  {standin.Unframed, 200, 1},
		"extra":     {standin.Extra, 200, 1},
		"own 500":   {standin.Fail, 500, 1},
		"reset":     {standin.Reset, 502, 1},
		"garbled":   {standin.Garble, 502, 1},
		"crossed":   {standin.Cross, 502, 1},
		"truncated": {standin.Truncate, 502, 1},
		"unstamped": {standin.Unstamped, 502, 1},
		"refused":   {standin.Refuse, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2)
			for _, target := range b.targets {
				if each.behaviour != nil {
					target.Script(each.behaviour)
				}
			}
			if name == "refused" {
				// Only one of the two refuses; the other takes the request.
				b = newBed(t, 2)
				b.targets[0].Script(standin.Refuse)
			}
			a, id := b.send(http.MethodPost, "/orders/1")
			require.NoError(t, a.err)
			require.Equal(t, each.status, a.status, a.body)
			require.Equal(t, each.runs, b.runs(id))
			if each.status == 502 {
				require.NotContains(t, a.body, `"not_run":true`)
				require.Empty(t, a.header.Get("X-Server-Stamp"))
			}
		})
	}
}

func TestRefusalByAllIsTrue(t *testing.T) {
	b := newBed(t, 2)
	for _, target := range b.targets {
		target.Script(standin.Refuse, standin.Refuse, standin.Refuse)
	}
	a, id := b.send(http.MethodPost, "/orders/1")
	require.Equal(t, 503, a.status)
	require.Contains(t, a.body, `"not_run":true`)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Zero(t, b.runs(id))
}

// TestReadIsRepeated sends a request that may run more than once.
func TestReadIsRepeated(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{"own 500": standin.Fail, "reset": standin.Reset, "truncated": standin.Truncate} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2)
			b.targets[0].Script(behaviour)
			b.targets[1].Script(behaviour)
			// One target misbehaves for the first request, the other is well.
			a, id := b.send(http.MethodGet, "/reads/1")
			if b.runs(id) == 2 && a.status != 200 {
				require.Contains(t, []int{500, 502}, a.status, "both misbehaved")
			}
			a, _ = b.send(http.MethodGet, "/reads/2")
			require.Equal(t, 200, a.status, "the scripts are used up")
		})
	}
}

func TestReadGoesToTheOtherTarget(t *testing.T) {
	b := newBed(t, 2)
	b.targets[0].Script(standin.Fail, standin.Fail, standin.Fail, standin.Fail)
	for range 4 {
		a, id := b.send(http.MethodGet, "/reads/1")
		require.Equal(t, 200, a.status, a.body)
		require.LessOrEqual(t, b.runs(id), 2)
	}
}

// TestHeadersAreOurs sends headers that only the system sets.
func TestHeadersAreOurs(t *testing.T) {
	b := newBed(t, 1)
	a, _ := b.send(http.MethodPost, "/orders/1?x=1", "X-Tenant", "venue", "X-Kv-Source", "1.2.3.4:5/h", "X-Kv-Hold", "h", "X-Pin-Ms", "9",
		"X-Stage", "prefill", "X-Request-Priority", "0", "X-Expect-Instance", "other", "X-Deadline-Ms", "5000", "Connection", "X-Custom", "X-Custom", "1")
	require.Equal(t, 200, a.status, a.body)
	seen := b.targets[0].Seen()[0]
	require.Equal(t, "guild", seen.Tenant)
	require.Empty(t, seen.Key)
	require.Empty(t, seen.Source)
	require.Empty(t, seen.Stage)
	require.Equal(t, "e0", seen.Expect)
	require.Equal(t, "3", seen.Priority)
	require.Equal(t, "/orders/1?x=1", seen.URI)
	require.Equal(t, "order one", seen.Body)
	require.LessOrEqual(t, seen.Deadline, "5000")
	require.Equal(t, 1, b.begun.counts["guild"])
}

func TestKeysAndRoutes(t *testing.T) {
	b := newBed(t, 1)
	for path, status := range map[string]int{"/orders/1": 401, "/open/1": 200, "/nothing/": 404} {
		r, _ := b.request(context.Background(), http.MethodGet, path)
		r.Header.Del("Authorization")
		require.Equal(t, status, send(r).status, path)
	}
	b.sources.stale = true
	a, _ := b.send(http.MethodGet, "/reads/1")
	require.Equal(t, 503, a.status, "a key that may have been withdrawn")
	a, _ = b.send(http.MethodGet, "/open/1")
	require.Equal(t, 200, a.status, "open routes go on")
	b.sources.stale, b.sources.snapshot = false, nil
	a, _ = b.send(http.MethodGet, "/nothing/")
	require.Equal(t, 503, a.status, "an instance without a configuration denies nothing")
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// TestStartingInstanceWaits sends a request to an instance that has just started
// and gets its configuration a moment later. A caller with enough time is served,
// one without is told when to come back.
func TestStartingInstanceWaits(t *testing.T) {
	b := newBed(t, 1)
	snapshot := b.sources.snapshot
	b.sources.snapshot = nil
	a, _ := b.send(http.MethodPost, "/orders/1")
	require.Equal(t, 503, a.status, "it does not say how long it waits")
	require.Contains(t, a.body, `"not_run":true`)
	r, id := b.request(context.Background(), http.MethodPost, "/orders/1", "X-Deadline-Ms", "60000")
	ended := make(chan answer, 1)
	go func() { ended <- send(r) }()
	b.await("it waits", func() bool { return b.server.Open() == 1 })
	b.sources.set(snapshot)
	require.Equal(t, 200, (<-ended).status)
	require.Equal(t, 1, b.runs(id))
}

// TestTwoFramings sends a body that is framed both ways. It must not reach a
// target, nor must the request that hides behind it.
func TestTwoFramings(t *testing.T) {
	b := newBed(t, 1)
	connection, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer connection.Close()
	hidden := "GET /open/hidden HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: hidden\r\n\r\n"
	_, err = fmt.Fprintf(connection, "POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: outer\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(hidden), hidden)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, 400, response.StatusCode)
	_, err = io.ReadAll(connection)
	require.NoError(t, err, "the connection ends")
	require.Empty(t, b.targets[0].Seen())
}

// TestCallerThatLeavesCancels leaves while the target works.
func TestCallerThatLeavesCancels(t *testing.T) {
	for _, path := range []string{"/orders/1", "/streams/1"} {
		b := newBed(t, 1)
		release := b.targets[0].Hold()
		defer release()
		ctx, leave := context.WithCancel(context.Background())
		r, id := b.request(ctx, http.MethodPost, path, streamed...)
		ended := make(chan answer, 1)
		go func() { ended <- send(r) }()
		b.await("the target runs it", func() bool { return b.runs(id) == 1 })
		leave()
		require.Error(t, (<-ended).err)
		b.await("the run is cancelled", func() bool { return b.targets[0].Stopped() == 1 })
	}
}

// TestRouteTimeout answers at the route's time-out, and does not call a request
// that ran not run.
func TestRouteTimeout(t *testing.T) {
	b := newBed(t, 1)
	defer b.targets[0].Hold()()
	a, id := b.send(http.MethodPost, "/short/1")
	require.Equal(t, 504, a.status)
	require.NotContains(t, a.body, `"not_run":true`)
	require.Equal(t, 1, b.runs(id))
}

func TestWrongTargetIsLeft(t *testing.T) {
	b := newBed(t, 2)
	// Another target answers at the address of the one announced as "ghost".
	b.roster.Hear(&peer.TargetRow{Id: "e0", State: peer.TargetRow_GONE, BornMs: 1})
	b.roster.Hear(&peer.TargetRow{Id: "ghost", Service: "desk", Address: b.targets[0].Address(), Domain: "d0", Slots: 8, State: peer.TargetRow_READY, BornMs: 2, Seq: 1})
	b.refresh()
	for range 6 {
		a, id := b.send(http.MethodPost, "/orders/1")
		require.Equal(t, 200, a.status, a.body)
		require.Equal(t, 1, b.targets[1].Runs(id))
	}
	b.refresh()
	before := len(b.targets[0].Seen())
	for range 6 {
		b.send(http.MethodPost, "/orders/1")
	}
	require.Len(t, b.targets[0].Seen(), before, "a target that is not the one meant is asked no more")
}

const threeEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"

func TestStreamIsWhole(t *testing.T) {
	b := newBed(t, 1)
	a, _ := b.send(http.MethodPost, "/streams/1", streamed...)
	require.NoError(t, a.err)
	require.Equal(t, threeEvents, a.body)
	require.Equal(t, "stamp-e0", a.header.Get("X-Server-Stamp"))
}

// TestBrokenStreamIsCut breaks a stream that may not run again. The caller must
// see that it is cut.
func TestBrokenStreamIsCut(t *testing.T) {
	b := newBed(t, 2)
	for _, target := range b.targets {
		target.Script(standin.CutAfter(1))
	}
	a, id := b.send(http.MethodPost, "/streams/1", streamed...)
	require.Error(t, a.err)
	require.Equal(t, 1, b.runs(id))
}

// TestBrokenStreamGoesOn breaks a stream that may go on elsewhere, within an
// event. The caller gets each event once.
func TestBrokenStreamGoesOn(t *testing.T) {
	for cut := range 3 {
		b := newBed(t, 2)
		once := onlyFirst(standin.CutAfter(cut))
		b.targets[0].Script(once)
		b.targets[1].Script(once)
		a, id := b.send(http.MethodPost, "/resumable/1", streamed...)
		require.NoError(t, a.err)
		require.Equal(t, threeEvents, a.body, "cut after %d", cut)
		require.LessOrEqual(t, b.runs(id), 3)
	}
}

// onlyFirst returns a behaviour that holds for the first request it meets.
func onlyFirst(behaviour standin.Behaviour) standin.Behaviour {
	var met atomic.Bool
	return func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		return met.CompareAndSwap(false, true) && behaviour(t, w, r)
	}
}

// TestHandOver reads at one target and runs at another.
func TestHandOver(t *testing.T) {
	b := newBed(t, 2)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	a, id := b.send(http.MethodPost, "/streams/1", long...)
	require.Equal(t, threeEvents, a.body)
	require.Equal(t, 1, b.targets[1].Runs(id))
	require.Equal(t, "prefill", b.targets[0].Seen()[0].Stage)
	require.Equal(t, b.targets[0].Address()+"/e0-1", b.targets[1].Seen()[0].Source)
}

// TestHandOverFailsOver declines the cache. The runner reads the prompt itself,
// and the reader is asked once.
func TestHandOverFailsOver(t *testing.T) {
	b := newBed(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	b.announce(2, peer.TargetRow_DECODE)
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	b.targets[1].Script(standin.Refuse)
	b.targets[2].Script(standin.Refuse)
	a, id := b.send(http.MethodPost, "/streams/1", long...)
	require.Contains(t, []int{200, 503}, a.status, a.body)
	require.Len(t, b.targets[0].Seen(), 1, "the prompt is read elsewhere once")
	require.LessOrEqual(t, b.runs(id), 1)
}

// TestRunnerThatLeavesWhileThePromptIsRead has the chosen runner say that it
// leaves. The request goes to another one.
func TestRunnerThatLeavesWhileThePromptIsRead(t *testing.T) {
	b := newBed(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	b.announce(2, peer.TargetRow_DECODE)
	read := make(chan struct{})
	b.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool { <-read; return false })
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	r, id := b.request(context.Background(), http.MethodPost, "/streams/1", long...)
	ended := make(chan answer, 1)
	go func() { ended <- send(r) }()
	b.await("the prompt is being read", func() bool { return len(b.targets[0].Seen()) == 1 })
	b.roster.Hear(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 1})
	b.refresh()
	close(read)
	require.Equal(t, threeEvents, (<-ended).body)
	require.Empty(t, b.targets[1].Seen())
	require.Equal(t, 1, b.targets[2].Runs(id))
}

// TestPoisonIsQuarantined sends a request that breaks each target it reaches. It
// reaches three.
func TestPoisonIsQuarantined(t *testing.T) {
	b := newBed(t, 2)
	for _, target := range b.targets {
		target.Script(standin.Reset, standin.Reset, standin.Reset, standin.Reset, standin.Reset, standin.Reset)
	}
	reached := 0
	for range 6 {
		a, id := b.send(http.MethodPost, "/orders/poison")
		reached += b.runs(id)
		if b.runs(id) == 0 {
			require.Equal(t, 503, a.status)
		}
	}
	require.Equal(t, 3, reached)
}

// TestPlannedStop stops under an open request, which ends whole.
func TestPlannedStop(t *testing.T) {
	b := newBed(t, 1)
	release := b.targets[0].Hold()
	r, id := b.request(context.Background(), http.MethodPost, "/orders/1")
	ended := make(chan answer, 1)
	go func() { ended <- send(r) }()
	b.await("the target runs it", func() bool { return b.runs(id) == 1 })
	stopped := make(chan int64, 1)
	go func() { stopped <- b.server.Stop() }()
	b.await("the stop has begun", b.server.Stopping)
	release()
	require.Equal(t, 200, (<-ended).status)
	require.Zero(t, <-stopped)
}

// TestStopTakesNothingLate keeps a caller sending over a kept connection while
// the instance stops. After the notice nothing more is taken: a request that
// comes late would be cut by the end of the grace.
func TestStopTakesNothingLate(t *testing.T) {
	b := newBed(t, 1)
	release := b.targets[0].Hold()
	first, id := b.request(context.Background(), http.MethodPost, "/orders/1")
	ended := make(chan answer, 1)
	go func() { ended <- send(first) }()
	b.await("a request is open", func() bool { return b.runs(id) == 1 })

	idle, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer idle.Close()
	_, err = fmt.Fprint(idle, "GET /nothing/ HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(idle)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)

	stopped := make(chan int64, 1)
	go func() { stopped <- b.server.Stop() }()
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection is closed while another request is open")
	require.EqualValues(t, 1, b.server.Open())
	release()
	require.Equal(t, 200, (<-ended).status)
	require.Zero(t, <-stopped)
}

// TestServiceThatIsTakenAway has a configuration take the service away while its
// prompt is read. The request is refused, and nothing panics.
func TestServiceThatIsTakenAway(t *testing.T) {
	b := newBed(t, 2)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	read := make(chan struct{})
	b.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool { <-read; return false })
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	r, id := b.request(context.Background(), http.MethodPost, "/streams/1", long...)
	ended := make(chan answer, 1)
	go func() { ended <- send(r) }()
	b.await("the prompt is being read", func() bool { return len(b.targets[0].Seen()) == 1 })
	b.fleets.Refresh(b.roster.Snapshot(), nil, time.Now())
	close(read)
	a := <-ended
	require.NoError(t, a.err)
	require.Equal(t, 503, a.status)
	require.Zero(t, b.runs(id))
}

// TestStreamOfNoTarget has something answer a stream that is no target, and a
// stream that nobody can go on with. The caller never gets them as whole.
func TestStreamOfNoTarget(t *testing.T) {
	b := newBed(t, 1)
	b.targets[0].Script(standin.Unstamped)
	a, _ := b.send(http.MethodPost, "/streams/1", streamed...)
	require.Equal(t, 502, a.status, a.body)
	require.NotContains(t, a.body, "not an engine")
	b = newBed(t, 1)
	b.targets[0].Script(standin.CutAfter(2))
	a, _ = b.send(http.MethodPost, "/resumable/1", streamed...)
	require.Error(t, a.err, "the only target broke off")
}
