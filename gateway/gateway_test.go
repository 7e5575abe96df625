package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
		"extra":        {standin.ExtraResponse, 200, 1},
		"target's 500": {standin.Fail, 500, 1},
		"reset":        {standin.Reset, 502, 1},
		"garbled":      {standin.Garble, 502, 1},
		"crossed":      {standin.MismatchID, 502, 1},
		"truncated":    {standin.Truncate, 502, 1},
		"unstamped":    {standin.Unstamped, 502, 1},
		"refused":      {standin.Refuse, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			for _, target := range f.targets {
				if each.behaviour != nil {
					target.Script(each.behaviour)
				}
			}
			if name == "refused" {
				// Only one target refuses; the other takes the request.
				f = newFixture(t, 2)
				f.targets[0].Script(standin.Refuse)
			}
			response, id := f.send(http.MethodPost, "/orders/1")
			require.NoError(t, response.err)
			require.Equal(t, each.status, response.status, response.body)
			require.Equal(t, each.runs, f.runs(id))
			if each.status == 502 {
				require.NotContains(t, response.body, `"not_run":true`)
				require.Empty(t, response.header.Get("X-Server-Stamp"))
			}
		})
	}
}

func TestRefusedByAllTargetsIsNotRun(t *testing.T) {
	f := newFixture(t, 2)
	for _, target := range f.targets {
		target.Script(standin.Refuse, standin.Refuse, standin.Refuse)
	}
	response, id := f.send(http.MethodPost, "/orders/1")
	require.Equal(t, 503, response.status)
	require.Contains(t, response.body, `"not_run":true`)
	require.NotEmpty(t, response.header.Get("Retry-After"))
	require.Zero(t, f.runs(id))
}

// TestIdempotentRequestIsRetried checks that an idempotent request is retried when a
// target fails it.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{"target's 500": standin.Fail, "reset": standin.Reset, "truncated": standin.Truncate} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.targets[0].Script(behaviour)
			f.targets[1].Script(behaviour)
			// Each target fails one request: the first request may meet both failures,
			// the second one meets none.
			response, id := f.send(http.MethodGet, "/reads/1")
			if f.runs(id) == 2 && response.status != 200 {
				require.Contains(t, []int{500, 502}, response.status, "both targets failed")
			}
			response, _ = f.send(http.MethodGet, "/reads/2")
			require.Equal(t, 200, response.status, "no scripted failure is left")
		})
	}
}

func TestRetryUsesOtherTarget(t *testing.T) {
	f := newFixture(t, 2)
	f.targets[0].Script(standin.Fail, standin.Fail, standin.Fail, standin.Fail)
	for range 4 {
		response, id := f.send(http.MethodGet, "/reads/1")
		require.Equal(t, 200, response.status, response.body)
		require.LessOrEqual(t, f.runs(id), 2)
	}
}

// TestReservedHeadersAreReplaced checks that a caller cannot set headers that only
// the gateway sets.
func TestReservedHeadersAreReplaced(t *testing.T) {
	f := newFixture(t, 1)
	response, _ := f.send(http.MethodPost, "/orders/1?x=1", "X-Tenant", "venue", "X-Kv-Source", "1.2.3.4:5/h", "X-Kv-Hold", "h", "X-Pin-Ms", "9",
		"X-Stage", "prefill", "X-Request-Priority", "0", "X-Expect-Instance", "other", "X-Deadline-Ms", "5000", "Connection", "X-Custom", "X-Custom", "1")
	require.Equal(t, 200, response.status, response.body)
	seen := f.targets[0].Seen()[0]
	require.Equal(t, "guild", seen.Tenant)
	require.Empty(t, seen.Key)
	require.Empty(t, seen.Source)
	require.Empty(t, seen.Stage)
	require.Equal(t, "e0", seen.Expect)
	require.Equal(t, "3", seen.Priority)
	require.Equal(t, "/orders/1?x=1", seen.URI)
	require.Equal(t, "order one", seen.Body)
	require.LessOrEqual(t, seen.Deadline, "5000")
	require.Equal(t, 1, f.runCounter.counts["guild"])
}

func TestKeysAndRoutes(t *testing.T) {
	f := newFixture(t, 1)
	for path, status := range map[string]int{"/orders/1": 401, "/open/1": 200, "/nothing/": 404} {
		r, _ := f.request(context.Background(), http.MethodGet, path)
		r.Header.Del("Authorization")
		require.Equal(t, status, send(r).status, path)
	}
	f.state.stale = true
	response, _ := f.send(http.MethodGet, "/reads/1")
	require.Equal(t, 503, response.status, "the key may have been withdrawn")
	response, _ = f.send(http.MethodGet, "/open/1")
	require.Equal(t, 200, response.status, "open routes are still served")
	f.state.stale, f.state.snapshot = false, nil
	response, _ = f.send(http.MethodGet, "/nothing/")
	require.Equal(t, 503, response.status, "without a configuration no route is reported as missing")
	require.NotEmpty(t, response.header.Get("Retry-After"))
}

// TestRequestWaitsForConfiguration checks that an instance that receives its
// configuration shortly after its start serves a caller with enough time, and refuses
// one that gives no timeout, as not run.
func TestRequestWaitsForConfiguration(t *testing.T) {
	f := newFixture(t, 1)
	snapshot := f.state.snapshot
	f.state.snapshot = nil
	response, _ := f.send(http.MethodPost, "/orders/1")
	require.Equal(t, 503, response.status, "the caller gives no timeout")
	require.Contains(t, response.body, `"not_run":true`)
	r, id := f.request(context.Background(), http.MethodPost, "/orders/1", "X-Deadline-Ms", "60000")
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	f.waitFor("the request waits", func() bool { return f.server.OpenRequests() == 1 })
	f.state.set(snapshot)
	require.Equal(t, 200, (<-ended).status)
	require.Equal(t, 1, f.runs(id))
}

// TestAmbiguousFraming guards against request smuggling: a request with both a
// Content-Length and a Transfer-Encoding must not reach a target, nor must the
// request hidden in its body.
func TestAmbiguousFraming(t *testing.T) {
	f := newFixture(t, 1)
	connection, err := net.Dial("tcp", f.address)
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
	require.Empty(t, f.targets[0].Seen())
}

// Guards against a request with both framings that arrives in the same read as the one before it: the request
// hidden in its body ran. Sound requests that arrive together are all served.
func TestAmbiguousFramingOfPipelinedRequest(t *testing.T) {
	for _, end := range []string{"\r\n", "\n"} {
		for _, first := range []string{"GET /open/0 HTTP/1.1\r\n%s\r\n", "POST /open/0 HTTP/1.1\r\nContent-Length: 2\r\n%s\r\nhi", "POST /open/0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n2\r\nhi\r\n0\r\n\r\n"} {
			f := newFixture(t, 1)
			connection, err := net.Dial("tcp", f.address)
			require.NoError(t, err)
			defer connection.Close()
			sound := func(id string) string {
				return fmt.Sprintf(first, "Host: desk.example\r\nX-Request-Id: "+id+"\r\n")
			}
			hidden := strings.ReplaceAll("GET /open/hidden HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: hidden\r\n\r\n", "\r\n", end)
			outer := fmt.Sprintf("POST /open/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: outer\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", 5+len(hidden))
			_, err = fmt.Fprintf(connection, "%s%s%s0\r\n\r\n%s", sound("one"), sound("two"), strings.ReplaceAll(outer, "\r\n", end), hidden)
			require.NoError(t, err)
			reader := bufio.NewReader(connection)
			for _, status := range []int{200, 200, 400} {
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, status, response.StatusCode)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
			}
			_, err = io.ReadAll(reader)
			require.NoError(t, err, "the connection is closed")
			require.Equal(t, []int{1, 1, 0, 0}, []int{f.runs("one"), f.runs("two"), f.runs("outer"), f.runs("hidden")})
		}
	}
}

// TestDisconnectCancels checks that a caller's disconnecting cancels the request at
// the target that runs it.
func TestDisconnectCancels(t *testing.T) {
	for _, path := range []string{"/orders/1", "/streams/1"} {
		f := newFixture(t, 1)
		release := f.targets[0].Hold()
		defer release()
		ctx, disconnect := context.WithCancel(context.Background())
		r, id := f.request(ctx, http.MethodPost, path, streamHeaders...)
		ended := make(chan callerResponse, 1)
		go func() { ended <- send(r) }()
		f.waitFor("the target runs the request", func() bool { return f.runs(id) == 1 })
		disconnect()
		require.Error(t, (<-ended).err)
		f.waitFor("the target cancels the request", func() bool { return f.targets[0].Cancelled() == 1 })
	}
}

// TestRouteTimeout checks that the caller gets a response when the route's timeout
// ends, and that a request that ran is not reported as not run.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, 1)
	defer f.targets[0].Hold()()
	response, id := f.send(http.MethodPost, "/short/1")
	require.Equal(t, 504, response.status)
	require.NotContains(t, response.body, `"not_run":true`)
	require.Equal(t, 1, f.runs(id))
}

func TestWrongTargetIsAvoided(t *testing.T) {
	f := newFixture(t, 2)
	// Another target responds at the address of the one announced as "ghost".
	f.roster.UpdateTarget(&peer.TargetRow{Id: "e0", State: peer.TargetRow_GONE, BornMs: 1})
	f.roster.UpdateTarget(&peer.TargetRow{Id: "ghost", Service: "desk", Address: f.targets[0].Address(), Domain: "d0", Slots: 8, State: peer.TargetRow_READY, BornMs: 2, Seq: 1})
	f.refresh()
	for range 6 {
		response, id := f.send(http.MethodPost, "/orders/1")
		require.Equal(t, 200, response.status, response.body)
		require.Equal(t, 1, f.targets[1].Runs(id))
	}
	f.refresh()
	before := len(f.targets[0].Seen())
	for range 6 {
		f.send(http.MethodPost, "/orders/1")
	}
	require.Len(t, f.targets[0].Seen(), before, "nothing is sent to an address at which another target responded")
}

const threeEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
