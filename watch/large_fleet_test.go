package watch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

func targetRow(n int, seq uint64) *peer.TargetRow {
	return &peer.TargetRow{Id: fmt.Sprint("t", n), Service: "reader", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Domain: "d", Slots: int32(seq), State: peer.TargetRow_READY, BornMs: 1, Seq: seq}
}

// A poller polls a server like an entry instance until it is stopped.
type poller struct {
	server      *Server
	incarnation string
	responses   *atomic.Int64
	stop        <-chan struct{}
	group       *sync.WaitGroup
}

func (p *poller) run() {
	defer p.group.Done()
	request := newRequest(p.incarnation)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(minPollPause):
		}
		response := p.server.Watch(context.Background(), request)
		p.responses.Add(1)
		request.Server, request.Roster = response.Server, response.Roster
	}
}

// startPollers starts instances that poll the server, waits for the first response to each
// and returns the count of responses. stop ends the pollers.
func startPollers(t *testing.T, s *Server, instances int64) (responses *atomic.Int64, stop func()) {
	responses = &atomic.Int64{}
	ended := make(chan struct{})
	var group sync.WaitGroup
	for n := range instances {
		group.Add(1)
		go (&poller{s, fmt.Sprint("e", n), responses, ended, &group}).run()
	}
	require.Eventually(t, func() bool { return responses.Load() >= instances }, 20*time.Second, time.Millisecond)
	return responses, func() { close(ended); group.Wait() }
}

// TestManyCrashesInALargeFleet lets a quarter of the targets crash under a request each
// while hundreds of instances poll. A first crash under a request is no reason to wake all
// of them; the second under the same request is.
func TestManyCrashesInALargeFleet(t *testing.T) {
	const instances, crashes, maxPerSecond = 300, 100, 1200
	s, _, _ := newServer(t)
	responses, stop := startPollers(t, s, instances)
	defer stop()
	crash := func(reporter string, fingerprint uint64) {
		request := newRequest(reporter)
		request.Suspicions = []*peer.Suspicion{{Fingerprint: fingerprint, Crashes: 1}}
		s.recordRequest(request)
	}
	before, began := responses.Load(), time.Now()
	for i := range uint64(crashes) {
		crash("x", i)
		time.Sleep(10 * time.Millisecond)
	}
	got, seconds := responses.Load()-before, time.Since(began).Seconds()
	require.Less(t, float64(got), maxPerSecond*seconds, "%d responses in %.1f s", got, seconds)
	s.mutex.Lock()
	woken := s.suspicionsChanged
	s.mutex.Unlock()
	crash("y", 1)
	select {
	case <-woken:
	default:
		require.Fail(t, "the second crash under a request must wake the waiting instances")
	}
}

// TestManyChangesInALargeFleet replaces targets one after the other, as a release does,
// while hundreds of instances poll. The responses must be bounded by the number of
// instances and the time, not by the number of changes times the number of instances:
// otherwise a control instance has no processor time left to commit a configuration.
func TestManyChangesInALargeFleet(t *testing.T) {
	const instances, changes, maxPerSecond = 300, 200, 1200
	s, _, r := newServer(t)
	for n := range 160 {
		r.UpdateTarget(targetRow(n, 1))
	}
	responses, stop := startPollers(t, s, instances)
	before, began := responses.Load(), time.Now()
	for i := range changes {
		r.UpdateTarget(targetRow(i%160, uint64(2+i)))
		time.Sleep(10 * time.Millisecond)
	}
	got, seconds := responses.Load()-before, time.Since(began).Seconds()
	stop()
	require.Less(t, float64(got), maxPerSecond*seconds, "%d responses in %.1f s", got, seconds)
	require.GreaterOrEqual(t, got, int64(instances), "every instance hears of the changes")
}

// TestBatchDelayFollowsTheFleet checks that changes reach a small fleet at once, and the
// largest that the system is designed for well within the time in which a draining target
// must get no new requests.
func TestBatchDelayFollowsTheFleet(t *testing.T) {
	require.Equal(t, changeBatchDelay, maxBatchDelay(0))
	require.Less(t, maxBatchDelay(10), 50*time.Millisecond)
	require.Less(t, maxBatchDelay(350), time.Second)
	require.Equal(t, maxBatchDelay(1000), maxBatchDelay(2000))
}

// TestConfigurationsAreNotBatched checks that a configuration that arrives while a
// response to changed targets is delayed reaches the instance at once.
func TestConfigurationsAreNotBatched(t *testing.T) {
	s, v, r := newServer(t)
	propose(t, v, 1)
	for n := range 350 {
		s.recordRequest(newRequest(fmt.Sprint("e", n)))
	}
	request := newRequest("e1")
	request.Server, request.Version, request.Roster = "c1", 1, r.Snapshot().Revision()
	responses := make(chan *peer.WatchResponse, 1)
	go func() { responses <- s.Watch(context.Background(), request) }()
	time.Sleep(50 * time.Millisecond)
	r.UpdateTarget(targetRow(1, 1))
	propose(t, v, 2)
	require.EqualValues(t, 2, (<-responses).Document.GetVersion())
}

// BenchmarkResponse measures one response that reports 10 changed targets of 400, with
// 300 instances polling.
func BenchmarkResponse(b *testing.B) {
	s, _, r := newServer(b)
	for n := range 300 {
		s.recordRequest(newRequest(fmt.Sprint("e", n)))
	}
	for n := range 400 {
		r.UpdateTarget(targetRow(n, 1))
	}
	request := newRequest("e1")
	request.Server, request.Roster = "c1", r.Snapshot().Revision()
	for n := range 10 {
		r.UpdateTarget(targetRow(n, 2))
	}
	for b.Loop() {
		s.response(request)
	}
}
