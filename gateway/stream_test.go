package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/platform/standin"
	"auburnscale/retry"
)

func TestStreamIsComplete(t *testing.T) {
	f := newFixture(t, 1)
	response, _ := f.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.NoError(t, response.err)
	require.Equal(t, threeEvents, response.body)
	require.Equal(t, "stamp-e0", response.header.Get("X-Server-Stamp"))
}

// TestBrokenStreamIsAborted checks that the caller gets an error when a stream that
// must not be retried breaks.
func TestBrokenStreamIsAborted(t *testing.T) {
	f := newFixture(t, 2)
	for _, target := range f.targets {
		target.Script(standin.TruncateStreamAfter(1))
	}
	response, id := f.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.Error(t, response.err)
	require.Equal(t, 1, f.runs(id))
}

// TestBrokenStreamIsResumed checks that the caller gets each event once when a
// resumable stream breaks in the middle of an event.
func TestBrokenStreamIsResumed(t *testing.T) {
	for cut := range 3 {
		f := newFixture(t, 2)
		once := onlyFirst(standin.TruncateStreamAfter(cut))
		f.targets[0].Script(once)
		f.targets[1].Script(once)
		response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		require.NoError(t, response.err)
		require.Equal(t, threeEvents, response.body, "cut after %d", cut)
		require.LessOrEqual(t, f.runs(id), 3)
	}
}

// Guards against a resumed stream that repeats its first events, because their text holds "id:".
func TestStreamWithFieldInItsTextIsResumed(t *testing.T) {
	f := newFixture(t, 2)
	once := onlyFirst(standin.TruncateStreamAfter(2))
	for _, target := range f.targets {
		target.SetVersion("v1")
		target.Script(once)
	}
	response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.NoError(t, response.err)
	require.Equal(t, strings.ReplaceAll(threeEvents, "\n\n", ", high bid: 0 of v1\n\n"), response.body)
}

// TestStreamWithoutPositionIsNotResumed has a target break off after an event without an id, and one that begins
// again although the request names the last event: nothing is repeated.
func TestStreamWithoutPositionIsNotResumed(t *testing.T) {
	for name, events := range map[string]string{"no id": "id: 1\ndata: a\n\ndata: b\n\n", "begins again": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"} {
		f := newFixture(t, 2)
		for _, target := range f.targets {
			target.Script(func(t *standin.Target, w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("X-Server-Stamp", "stamp")
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, events)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
		}
		response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		require.Error(t, response.err, name)
		require.Equal(t, events, response.body, name)
	}
}

// onlyFirst returns a behaviour that applies to the first request only, over all
// targets that share it.
func onlyFirst(behaviour standin.Behaviour) standin.Behaviour {
	var applied atomic.Bool
	return func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		return applied.CompareAndSwap(false, true) && behaviour(t, w, r)
	}
}

// TestKVTransfer checks that a long prompt is prefilled at the prefill target and
// that the decode target gets the KV source.
func TestKVTransfer(t *testing.T) {
	f := newFixture(t, 2)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_DECODE)
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	response, id := f.send(http.MethodPost, "/streams/1", long...)
	require.Equal(t, threeEvents, response.body)
	require.Equal(t, 1, f.targets[1].Runs(id))
	require.Equal(t, "prefill", f.targets[0].Seen()[0].Stage)
	require.Equal(t, f.targets[0].Address()+"/e0-1", f.targets[1].Seen()[0].Source)
}

// TestKVTransferDeclined checks that the prompt is sent to the prefill target only
// once when the decode targets decline its KV cache, and that the request runs at
// most once.
func TestKVTransferDeclined(t *testing.T) {
	f := newFixture(t, 3)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_DECODE)
	f.announce(2, peer.TargetRow_DECODE)
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	f.targets[1].Script(standin.Refuse)
	f.targets[2].Script(standin.Refuse)
	response, id := f.send(http.MethodPost, "/streams/1", long...)
	require.Contains(t, []int{200, 503}, response.status, response.body)
	require.Len(t, f.targets[0].Seen(), 1, "the prompt is sent to the prefill target once")
	require.LessOrEqual(t, f.runs(id), 1)
}

// TestCrashedPrefillTargetIsReplaced checks that when one of two prefill targets
// has crashed, the other prefills long prompts, each with another prefix. A decode
// target that prefilled them itself would delay all its streams.
func TestCrashedPrefillTargetIsReplaced(t *testing.T) {
	f := newFixture(t, 3)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_PREFILL)
	f.announce(2, peer.TargetRow_DECODE)
	f.targets[0].Close()
	for i := range 6 {
		response, _ := f.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", fmt.Sprintf("a%d:40000,b2:10000", i))
		require.Equal(t, threeEvents, response.body)
		require.NotEmpty(t, f.targets[2].Seen()[i].Source, "the decode target prefilled request %d", i)
	}
}

// TestDecliningPrefillTargetIsReplaced checks that the prompt is prefilled at the
// second prefill target when the first declines.
func TestDecliningPrefillTargetIsReplaced(t *testing.T) {
	f := newFixture(t, 3)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_PREFILL)
	f.announce(2, peer.TargetRow_DECODE)
	var asked atomic.Int64
	decline := func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		return asked.Add(1) == 1 && standin.Refuse(t, w, r)
	}
	f.targets[0].Script(decline)
	f.targets[1].Script(decline)
	response, id := f.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000")
	require.Equal(t, threeEvents, response.body)
	require.Equal(t, 1, f.runs(id))
	require.Len(t, f.targets[2].Seen(), 1)
	require.NotEmpty(t, f.targets[2].Seen()[0].Source)
}

// TestRejectedPrefillsKeepToTheBudget checks that with an empty retry budget only one
// of two declining prefill targets gets the prompt, and that the decode target
// prefills it itself. Load pattern: engines that shed most of their load, under
// clients that retry.
func TestRejectedPrefillsKeepToTheBudget(t *testing.T) {
	f := newFixtureWithBudget(t, 3, retry.NewBudgetShare(0, 0, time.Minute))
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_PREFILL)
	f.announce(2, peer.TargetRow_DECODE)
	f.targets[0].Script(standin.Refuse)
	f.targets[1].Script(standin.Refuse)
	response, _ := f.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000")
	require.Equal(t, threeEvents, response.body)
	require.Len(t, append(f.targets[0].Seen(), f.targets[1].Seen()...), 1)
	require.Empty(t, f.targets[2].Seen()[0].Source)
}

// TestDecodeTargetLeavesDuringPrefill checks that the request goes to another decode
// target when the chosen one leaves the fleet during the prefill.
func TestDecodeTargetLeavesDuringPrefill(t *testing.T) {
	f := newFixture(t, 3)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_DECODE)
	f.announce(2, peer.TargetRow_DECODE)
	release := make(chan struct{})
	f.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool { <-release; return false })
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	r, id := f.request(context.Background(), http.MethodPost, "/streams/1", long...)
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	f.waitFor("the prefill target gets the prompt", func() bool { return len(f.targets[0].Seen()) == 1 })
	f.roster.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 1})
	f.refresh()
	close(release)
	require.Equal(t, threeEvents, (<-ended).body)
	require.Empty(t, f.targets[1].Seen())
	require.Equal(t, 1, f.targets[2].Runs(id))
}

// TestPoisonRequestIsQuarantined checks that a request that crashes every target it
// reaches is refused after three crashes.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	f := newFixture(t, 2)
	for _, target := range f.targets {
		target.Script(standin.Reset, standin.Reset, standin.Reset, standin.Reset, standin.Reset, standin.Reset)
	}
	reached := 0
	for range 6 {
		response, id := f.send(http.MethodPost, "/orders/poison")
		reached += f.runs(id)
		if f.runs(id) == 0 {
			require.Equal(t, 503, response.status)
		}
	}
	require.Equal(t, 3, reached)
}

// TestStopWaitsForOpenRequest checks that a request in progress completes when the
// server is stopped.
func TestStopWaitsForOpenRequest(t *testing.T) {
	f := newFixture(t, 1)
	release := f.targets[0].Hold()
	r, id := f.request(context.Background(), http.MethodPost, "/orders/1")
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	f.waitFor("the target runs the request", func() bool { return f.runs(id) == 1 })
	stopped := make(chan int64, 1)
	go func() { stopped <- f.server.Stop() }()
	f.waitFor("the server is stopping", f.server.Stopping)
	release()
	require.Equal(t, 200, (<-ended).status)
	require.Zero(t, <-stopped)
}

// TestStopClosesIdleConnections checks that a stopping server closes idle keep-alive
// connections after the stop notice, while another request is still in progress.
// Otherwise a late request over such a connection would be interrupted at the end of
// the stop timeout.
func TestStopClosesIdleConnections(t *testing.T) {
	f := newFixture(t, 1)
	release := f.targets[0].Hold()
	first, id := f.request(context.Background(), http.MethodPost, "/orders/1")
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(first) }()
	f.waitFor("a request is open", func() bool { return f.runs(id) == 1 })

	idle, err := net.Dial("tcp", f.address)
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
	go func() { stopped <- f.server.Stop() }()
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection is closed while another request is open")
	require.EqualValues(t, 1, f.server.OpenRequests())
	release()
	require.Equal(t, 200, (<-ended).status)
	require.Zero(t, <-stopped)
}

// TestServiceRemovedDuringPrefill checks that a request is refused, without a panic,
// when a new configuration removes its service during the prefill.
func TestServiceRemovedDuringPrefill(t *testing.T) {
	f := newFixture(t, 2)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_DECODE)
	release := make(chan struct{})
	f.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool { <-release; return false })
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	r, id := f.request(context.Background(), http.MethodPost, "/streams/1", long...)
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	f.waitFor("the prefill target gets the prompt", func() bool { return len(f.targets[0].Seen()) == 1 })
	f.fleets.Refresh(f.roster.Snapshot(), nil, time.Now())
	close(release)
	response := <-ended
	require.NoError(t, response.err)
	require.Equal(t, 503, response.status)
	require.Zero(t, f.runs(id))
}

// TestStreamNeverLooksComplete checks that the caller gets an error when something
// else than a target responds to a stream, and when a resumable stream breaks and no
// other target is left.
func TestStreamNeverLooksComplete(t *testing.T) {
	f := newFixture(t, 1)
	f.targets[0].Script(standin.Unstamped)
	response, _ := f.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.Equal(t, 502, response.status, response.body)
	require.NotContains(t, response.body, "not an engine")
	f = newFixture(t, 1)
	f.targets[0].Script(standin.TruncateStreamAfter(2))
	response, _ = f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Error(t, response.err, "the only target failed")
}
