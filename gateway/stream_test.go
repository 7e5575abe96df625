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

// TestReaderThatIsGoneIsReplaced has one of two readers crash under long prompts,
// each of another subject. The other reads them: a runner that read them itself
// would delay all its streams.
func TestReaderThatIsGoneIsReplaced(t *testing.T) {
	b := newBed(t, 3)
	b.announce(0, peer.TargetRow_PREFILL)
	b.announce(1, peer.TargetRow_PREFILL)
	b.announce(2, peer.TargetRow_DECODE)
	b.targets[0].Close()
	for i := range 6 {
		a, _ := b.send(http.MethodPost, "/streams/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", fmt.Sprintf("a%d:40000,b2:10000", i))
		require.Equal(t, threeEvents, a.body)
		require.NotEmpty(t, b.targets[2].Seen()[i].Source, "request %d was read by the runner", i)
	}
}

// TestReaderThatDeclinesIsReplaced has the reader that is asked first decline.
func TestReaderThatDeclinesIsReplaced(t *testing.T) {
	b := newBed(t, 3)
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

// TestRejectedReadsKeepToTheBudget has two readers decline while the retry budget
// is used up. Only one is asked, and the runner reads the prompt itself. Load
// pattern: engines that shed most of what they get, under clients that repeat.
func TestRejectedReadsKeepToTheBudget(t *testing.T) {
	b := newBedWith(t, 3, retry.NewShare(0, 0, time.Minute))
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
	b.roster.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 1})
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
