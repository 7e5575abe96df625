package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
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
	route := func(prefix string, repetition catalog.RequestKind, attempts int) catalog.Route {
		return catalog.Route{
			Name: prefix, Host: "desk.example", Prefix: prefix, RequestKind: repetition, Timeout: waitLimit, LatencyObjective: time.Second,
			Shares: []catalog.Share{{Service: "desk", Weight: 1}}, MaxAttempts: attempts,
		}
	}
	resumable := route("/resumable/", catalog.Streaming, 3)
	resumable.Resumable = true
	open := route("/open/", catalog.Idempotent, 1)
	open.Unauthenticated = true
	short := route("/short/", catalog.NonIdempotent, 1)
	short.Timeout = 300 * time.Millisecond
	return catalog.Configuration{
		Version:  1,
		Services: []catalog.Service{{Name: "desk"}},
		Routes: []catalog.Route{
			route("/orders/", catalog.NonIdempotent, 1), route("/reads/", catalog.Idempotent, 2), route("/streams/", catalog.Streaming, 1),
			resumable, open, short,
		},
		Workspaces: []catalog.Workspace{{Name: "guild", Keys: []string{key}, Priority: 3}},
		Limits:     catalog.Limits{MaxBodyBytes: 1 << 20},
	}
}

func newBed(t *testing.T, targets int) *bed {
	return newBedWith(t, targets, retry.NewShare(1, 100, time.Minute))
}

// newBedWith returns a bed with the retry budget.
func newBedWith(t *testing.T, targets int, budget *retry.Share) *bed {
	snapshot, findings := catalog.New(configuration())
	require.NoError(t, findings.Err())
	b := &bed{t: t, sources: &sources{snapshot: snapshot}, begun: &begun{map[string]int{}}, roster: roster.New(clock.Now, time.Hour)}
	b.fleets = gateway.NewFleets("d0", route.Placer{}, event.Nop())
	for i := range targets {
		target := standin.NewTarget(fmt.Sprint("e", i))
		require.NoError(t, target.Listen("127.0.0.1:0"))
		t.Cleanup(target.Close)
		b.targets = append(b.targets, target)
		b.announce(i, peer.TargetRow_STAGE_UNSPECIFIED)
	}
	b.server = gateway.New(gateway.Config{Requests: free(t), Readiness: free(t), Notice: 10 * time.Millisecond, Grace: waitLimit}, gateway.Parts{
		Sources: b.sources, Codec: platform.HeaderCodec{}, Dialer: exchange.NewDialer(netip.MustParseAddr("127.0.0.1")), Fleets: b.fleets,
		Budget: budget, Suspects: retry.NewSuspects(), Begun: b.begun, Metrics: tally.NoopScope, Logger: event.Nop(),
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
