package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/platform/standin"
)

// TestNonIdempotentRequestRunsOnce checks that a request that must not be retried
// runs at most once, whichever way a target fails, and that a request that ran is
// not reported as not run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for name, each := range map[string]struct {
		behaviour standin.Behaviour
		status    int
		runs      int
	}{
		"complete":     {nil, 200, 1},
		"unframed":     {standin.Unframed, 200, 1},
		"extra":        {standin.Extra, 200, 1},
		"target's 500": {standin.Fail, 500, 1},
		"reset":        {standin.Reset, 502, 1},
		"garbled":      {standin.Garble, 502, 1},
		"crossed":      {standin.Cross, 502, 1},
		"truncated":    {standin.Truncate, 502, 1},
		"unstamped":    {standin.Unstamped, 502, 1},
		"refused":      {standin.Refuse, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2)
			for _, target := range b.targets {
				if each.behaviour != nil {
					target.Script(each.behaviour)
				}
			}
			if name == "refused" {
				// Only one target refuses; the other takes the request.
				b = newFixture(t, 2)
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

func TestRefusedByAllTargetsIsNotRun(t *testing.T) {
	b := newFixture(t, 2)
	for _, target := range b.targets {
		target.Script(standin.Refuse, standin.Refuse, standin.Refuse)
	}
	a, id := b.send(http.MethodPost, "/orders/1")
	require.Equal(t, 503, a.status)
	require.Contains(t, a.body, `"not_run":true`)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Zero(t, b.runs(id))
}

// TestIdempotentRequestIsRetried checks that an idempotent request is retried when a
// target fails it.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{"target's 500": standin.Fail, "reset": standin.Reset, "truncated": standin.Truncate} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2)
			b.targets[0].Script(behaviour)
			b.targets[1].Script(behaviour)
			// Each target fails one request: the first request may meet both failures,
			// the second one meets none.
			a, id := b.send(http.MethodGet, "/reads/1")
			if b.runs(id) == 2 && a.status != 200 {
				require.Contains(t, []int{500, 502}, a.status, "both targets failed")
			}
			a, _ = b.send(http.MethodGet, "/reads/2")
			require.Equal(t, 200, a.status, "no scripted failure is left")
		})
	}
}

func TestRetryUsesOtherTarget(t *testing.T) {
	b := newFixture(t, 2)
	b.targets[0].Script(standin.Fail, standin.Fail, standin.Fail, standin.Fail)
	for range 4 {
		a, id := b.send(http.MethodGet, "/reads/1")
		require.Equal(t, 200, a.status, a.body)
		require.LessOrEqual(t, b.runs(id), 2)
	}
}

// TestReservedHeadersAreReplaced checks that a caller cannot set headers that only
// the gateway sets.
func TestReservedHeadersAreReplaced(t *testing.T) {
	b := newFixture(t, 1)
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
	require.Equal(t, 1, b.runCounter.counts["guild"])
}

func TestKeysAndRoutes(t *testing.T) {
	b := newFixture(t, 1)
	for path, status := range map[string]int{"/orders/1": 401, "/open/1": 200, "/nothing/": 404} {
		r, _ := b.request(context.Background(), http.MethodGet, path)
		r.Header.Del("Authorization")
		require.Equal(t, status, send(r).status, path)
	}
	b.state.stale = true
	a, _ := b.send(http.MethodGet, "/reads/1")
	require.Equal(t, 503, a.status, "the key may have been withdrawn")
	a, _ = b.send(http.MethodGet, "/open/1")
	require.Equal(t, 200, a.status, "open routes are still served")
	b.state.stale, b.state.snapshot = false, nil
	a, _ = b.send(http.MethodGet, "/nothing/")
	require.Equal(t, 503, a.status, "without a configuration no route is reported as missing")
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// TestRequestWaitsForConfiguration checks that an instance that receives its
// configuration shortly after its start serves a caller with enough time, and tells
// one that gives no timeout when to retry.
func TestRequestWaitsForConfiguration(t *testing.T) {
	b := newFixture(t, 1)
	snapshot := b.state.snapshot
	b.state.snapshot = nil
	a, _ := b.send(http.MethodPost, "/orders/1")
	require.Equal(t, 503, a.status, "the caller gives no timeout")
	require.Contains(t, a.body, `"not_run":true`)
	r, id := b.request(context.Background(), http.MethodPost, "/orders/1", "X-Deadline-Ms", "60000")
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	b.waitFor("the request waits", func() bool { return b.server.OpenRequests() == 1 })
	b.state.set(snapshot)
	require.Equal(t, 200, (<-ended).status)
	require.Equal(t, 1, b.runs(id))
}

// TestAmbiguousFraming guards against request smuggling: a request with both a
// Content-Length and a Transfer-Encoding must not reach a target, nor must the
// request hidden in its body.
func TestAmbiguousFraming(t *testing.T) {
	b := newFixture(t, 1)
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
	require.NoError(t, err, "the connection is closed")
	require.Empty(t, b.targets[0].Seen())
}

// TestDisconnectCancels checks that a caller's disconnecting cancels the request at
// the target that runs it.
func TestDisconnectCancels(t *testing.T) {
	for _, path := range []string{"/orders/1", "/streams/1"} {
		b := newFixture(t, 1)
		release := b.targets[0].Hold()
		defer release()
		ctx, leave := context.WithCancel(context.Background())
		r, id := b.request(ctx, http.MethodPost, path, streamHeaders...)
		ended := make(chan callerResponse, 1)
		go func() { ended <- send(r) }()
		b.waitFor("the target runs the request", func() bool { return b.runs(id) == 1 })
		leave()
		require.Error(t, (<-ended).err)
		b.waitFor("the target cancels the request", func() bool { return b.targets[0].Stopped() == 1 })
	}
}

// TestRouteTimeout checks that the caller gets a response when the route's timeout
// ends, and that a request that ran is not reported as not run.
func TestRouteTimeout(t *testing.T) {
	b := newFixture(t, 1)
	defer b.targets[0].Hold()()
	a, id := b.send(http.MethodPost, "/short/1")
	require.Equal(t, 504, a.status)
	require.NotContains(t, a.body, `"not_run":true`)
	require.Equal(t, 1, b.runs(id))
}

func TestWrongTargetIsAvoided(t *testing.T) {
	b := newFixture(t, 2)
	// Another target responds at the address of the one announced as "ghost".
	b.roster.UpdateTarget(&peer.TargetRow{Id: "e0", State: peer.TargetRow_GONE, BornMs: 1})
	b.roster.UpdateTarget(&peer.TargetRow{Id: "ghost", Service: "desk", Address: b.targets[0].Address(), Domain: "d0", Slots: 8, State: peer.TargetRow_READY, BornMs: 2, Seq: 1})
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
	require.Len(t, b.targets[0].Seen(), before, "nothing is sent to an address at which another target responded")
}

const threeEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
