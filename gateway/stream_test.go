package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/platform/standin"
	"auburnscale/retry"
)

func TestStreamIsComplete(t *testing.T) {
	b := newFixture(t, 1)
	a, _ := b.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.NoError(t, a.err)
	require.Equal(t, threeEvents, a.body)
	require.Equal(t, "stamp-e0", a.header.Get("X-Server-Stamp"))
}

// TestBrokenStreamIsAborted checks that the caller gets an error when a stream that
// must not be retried breaks.
func TestBrokenStreamIsAborted(t *testing.T) {
	b := newFixture(t, 2)
	for _, target := range b.targets {
		target.Script(standin.CutAfter(1))
	}
	a, id := b.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.Error(t, a.err)
	require.Equal(t, 1, b.runs(id))
}

// TestBrokenStreamIsResumed checks that the caller gets each event once when a
// resumable stream breaks in the middle of an event.
func TestBrokenStreamIsResumed(t *testing.T) {
	for cut := range 3 {
		b := newFixture(t, 2)
		once := onlyFirst(standin.CutAfter(cut))
		b.targets[0].Script(once)
		b.targets[1].Script(once)
		a, id := b.send(http.MethodPost, "/resumable/1", streamHeaders...)
		require.NoError(t, a.err)
		require.Equal(t, threeEvents, a.body, "cut after %d", cut)
		require.LessOrEqual(t, b.runs(id), 3)
	}
}

// onlyFirst returns a behaviour that applies to the first request only, over all
// targets that share it.
func onlyFirst(behaviour standin.Behaviour) standin.Behaviour {
	var met atomic.Bool
	return func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		return met.CompareAndSwap(false, true) && behaviour(t, w, r)
	}
}

// TestKVTransfer checks that a long prompt is prefilled at the prefill target and
// that the decode target gets the KV source.
func TestKVTransfer(t *testing.T) {
	b := newFixture(t, 2)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	a, id := b.send(http.MethodPost, "/streams/1", long...)
	require.Equal(t, threeEvents, a.body)
	require.Equal(t, 1, b.targets[1].Runs(id))
	require.Equal(t, "prefill", b.targets[0].Seen()[0].Stage)
	require.Equal(t, b.targets[0].Address()+"/e0-1", b.targets[1].Seen()[0].Source)
}

// TestKVTransferDeclined checks that the prompt is sent to the prefill target only
// once when the decode targets decline its KV cache, and that the request runs at
// most once.
func TestKVTransferDeclined(t *testing.T) {
	b := newFixture(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	b.announce(2, peer.TargetRow_DECODE)
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	b.targets[1].Script(standin.Refuse)
	b.targets[2].Script(standin.Refuse)
	a, id := b.send(http.MethodPost, "/streams/1", long...)
	require.Contains(t, []int{200, 503}, a.status, a.body)
	require.Len(t, b.targets[0].Seen(), 1, "the prompt is sent to the prefill target once")
	require.LessOrEqual(t, b.runs(id), 1)
}

// TestCrashedPrefillTargetIsReplaced checks that when one of two prefill targets
// has crashed, the other prefills long prompts, each with another prefix. A decode
// target that prefilled them itself would delay all its streams.
func TestCrashedPrefillTargetIsReplaced(t *testing.T) {
	b := newFixture(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_PREFILL)
	b.announce(2, peer.TargetRow_DECODE)
	b.targets[0].Close()
	for i := range 6 {
		a, _ := b.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", fmt.Sprintf("a%d:40000,b2:10000", i))
		require.Equal(t, threeEvents, a.body)
		require.NotEmpty(t, b.targets[2].Seen()[i].Source, "the decode target prefilled request %d", i)
	}
}

// TestDecliningPrefillTargetIsReplaced checks that the prompt is prefilled at the
// second prefill target when the first declines.
func TestDecliningPrefillTargetIsReplaced(t *testing.T) {
	b := newFixture(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_PREFILL)
	b.announce(2, peer.TargetRow_DECODE)
	var asked atomic.Int64
	decline := func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		return asked.Add(1) == 1 && standin.Refuse(t, w, r)
	}
	b.targets[0].Script(decline)
	b.targets[1].Script(decline)
	a, id := b.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000")
	require.Equal(t, threeEvents, a.body)
	require.Equal(t, 1, b.runs(id))
	require.Len(t, b.targets[2].Seen(), 1)
	require.NotEmpty(t, b.targets[2].Seen()[0].Source)
}

// TestRejectedPrefillsKeepToTheBudget checks that with an empty retry budget only one
// of two declining prefill targets gets the prompt, and that the decode target
// prefills it itself. Load pattern: engines that shed most of their load, under
// clients that retry.
func TestRejectedPrefillsKeepToTheBudget(t *testing.T) {
	b := newFixtureWithBudget(t, 3, retry.NewBudgetShare(0, 0, time.Minute))
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_PREFILL)
	b.announce(2, peer.TargetRow_DECODE)
	b.targets[0].Script(standin.Refuse)
	b.targets[1].Script(standin.Refuse)
	a, _ := b.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000")
	require.Equal(t, threeEvents, a.body)
	require.Len(t, append(b.targets[0].Seen(), b.targets[1].Seen()...), 1)
	require.Empty(t, b.targets[2].Seen()[0].Source)
}

// TestDecodeTargetLeavesDuringPrefill checks that the request goes to another decode
// target when the chosen one leaves the fleet during the prefill.
func TestDecodeTargetLeavesDuringPrefill(t *testing.T) {
	b := newFixture(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	b.announce(2, peer.TargetRow_DECODE)
	read := make(chan struct{})
	b.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool { <-read; return false })
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	r, id := b.request(context.Background(), http.MethodPost, "/streams/1", long...)
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	b.waitFor("the prefill target gets the prompt", func() bool { return len(b.targets[0].Seen()) == 1 })
	b.roster.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 1})
	b.refresh()
	close(read)
	require.Equal(t, threeEvents, (<-ended).body)
	require.Empty(t, b.targets[1].Seen())
	require.Equal(t, 1, b.targets[2].Runs(id))
}

// TestPoisonRequestIsQuarantined checks that a request that crashes every target it
// reaches is refused after three crashes.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	b := newFixture(t, 2)
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

// TestStopWaitsForOpenRequest checks that a request in progress completes when the
// server is stopped.
func TestStopWaitsForOpenRequest(t *testing.T) {
	b := newFixture(t, 1)
	release := b.targets[0].Hold()
	r, id := b.request(context.Background(), http.MethodPost, "/orders/1")
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	b.waitFor("the target runs the request", func() bool { return b.runs(id) == 1 })
	stopped := make(chan int64, 1)
	go func() { stopped <- b.server.Stop() }()
	b.waitFor("the server is stopping", b.server.Stopping)
	release()
	require.Equal(t, 200, (<-ended).status)
	require.Zero(t, <-stopped)
}

// TestStopClosesIdleConnections checks that a stopping server closes idle keep-alive
// connections after the stop notice, while another request is still in progress.
// Otherwise a late request over such a connection would be interrupted at the end of
// the stop timeout.
func TestStopClosesIdleConnections(t *testing.T) {
	b := newFixture(t, 1)
	release := b.targets[0].Hold()
	first, id := b.request(context.Background(), http.MethodPost, "/orders/1")
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(first) }()
	b.waitFor("a request is open", func() bool { return b.runs(id) == 1 })

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
	require.EqualValues(t, 1, b.server.OpenRequests())
	release()
	require.Equal(t, 200, (<-ended).status)
	require.Zero(t, <-stopped)
}

// TestServiceRemovedDuringPrefill checks that a request is refused, without a panic,
// when a new configuration removes its service during the prefill.
func TestServiceRemovedDuringPrefill(t *testing.T) {
	b := newFixture(t, 2)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_DECODE)
	read := make(chan struct{})
	b.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool { <-read; return false })
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	r, id := b.request(context.Background(), http.MethodPost, "/streams/1", long...)
	ended := make(chan callerResponse, 1)
	go func() { ended <- send(r) }()
	b.waitFor("the prefill target gets the prompt", func() bool { return len(b.targets[0].Seen()) == 1 })
	b.fleets.Refresh(b.roster.Snapshot(), nil, time.Now())
	close(read)
	a := <-ended
	require.NoError(t, a.err)
	require.Equal(t, 503, a.status)
	require.Zero(t, b.runs(id))
}

// TestStreamNeverLooksComplete checks that the caller gets an error when something
// else than a target responds to a stream, and when a resumable stream breaks and no
// other target is left.
func TestStreamNeverLooksComplete(t *testing.T) {
	b := newFixture(t, 1)
	b.targets[0].Script(standin.Unstamped)
	a, _ := b.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.Equal(t, 502, a.status, a.body)
	require.NotContains(t, a.body, "not an engine")
	b = newFixture(t, 1)
	b.targets[0].Script(standin.CutAfter(2))
	a, _ = b.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Error(t, a.err, "the only target failed")
}
