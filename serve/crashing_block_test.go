package serve

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/platform/standin"
)

const (
	enginePort         = 8000
	engineRestartTime  = 800 * time.Millisecond
	engineHeartbeat    = 250 * time.Millisecond
	engineResponseTime = 40 * time.Millisecond
	// crashingBlock is the prompt block that crashes the engines, firstBlock one that sound
	// prompts share with the prompts that have crashingBlock.
	crashingBlock = "bad"
	firstBlock    = "a1"
)

// A crashingEngine is an address at which engines run, one after the other: each crashes when
// it begins to respond to a prompt with crashingBlock, and the next one starts some time later.
type crashingEngine struct {
	f     *testFleet
	host  int
	stage string

	mutex   sync.Mutex
	starts  []*standin.Target
	born    time.Time
	running bool
	crashed []time.Time
}

func (f *testFleet) startEngine(ctx context.Context, host int, stage string) *crashingEngine {
	e := &crashingEngine{f: f, host: host, stage: stage}
	e.start()
	go e.run(ctx)
	f.t.Cleanup(func() { e.current().Close() })
	return e
}

func (e *crashingEngine) start() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	t := standin.NewTarget(fmt.Sprintf("e%d-%d", e.host, len(e.starts)))
	t.SetPause(engineResponseTime)
	t.CrashOnBlock(crashingBlock, e.crash)
	if t.Listen(e.f.address(e.host, enginePort)) == nil {
		e.starts, e.born, e.running = append(e.starts, t), time.Now(), true
	}
}

func (e *crashingEngine) crash(at time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running = false
	e.crashed = append(e.crashed, at)
	time.AfterFunc(engineRestartTime, e.start)
}

func (e *crashingEngine) current() *standin.Target {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.starts[len(e.starts)-1]
}

// run sends the heartbeats of the running engine.
func (e *crashingEngine) run(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		e.mutex.Lock()
		t := e.starts[len(e.starts)-1]
		heartbeat := standin.Heartbeat{
			ID: t.ID(), Service: "desk", Address: t.Address(), Domain: fmt.Sprint("d", e.host%3), Stage: e.stage, Slots: 8, StartTime: e.born.UnixMilli(), Seq: seq, Version: "v1",
		}
		running := e.running
		e.mutex.Unlock()
		if running {
			// A lost heartbeat is followed by the next one.
			_ = heartbeat.Send(ctx, client, e.f.address(1+e.host%3, fleetOperatorPort))
		}
		time.Sleep(engineHeartbeat)
	}
}

// A streamAttempt is one request of a stream and whether its response came in full.
type streamAttempt struct {
	id     string
	at     time.Time
	served bool
}

// streamTraffic sends streams to entry instances in turn until it is stopped.
type streamTraffic struct {
	f        *testFleet
	entries  []int
	name     string
	interval time.Duration
	// prompt returns the blocks of the prompt of the n-th request.
	prompt func(n int) string

	mutex    sync.Mutex
	attempts []streamAttempt
	group    sync.WaitGroup
}

// loop sends requests until the context ends, and waits for their responses.
func (s *streamTraffic) loop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		s.group.Go(func() { s.send(n) })
		time.Sleep(s.interval)
	}
	s.group.Wait()
}

func (s *streamTraffic) send(n int) {
	a := streamAttempt{id: fmt.Sprintf("%s-%d", s.name, n), at: time.Now()}
	status, body, err := s.f.call(http.MethodPost, s.f.address(s.entries[n%len(s.entries)], fleetEntryPort), "/tales/x", fmt.Sprint("prompt ", a.id),
		"Authorization", "Bearer k1", "X-Request-Id", a.id, "X-Deadline-Ms", "3000", "X-Model", "m", "X-Token-Count", "1000,3", "X-Prefix-Hash", s.prompt(n))
	a.served = err == nil && status == http.StatusOK && strings.Contains(body, "piece 3")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempts = append(s.attempts, a)
}

// share returns how many requests were sent between the times, and the share of them that
// was served.
func (s *streamTraffic) share(from, to time.Time) (sent int, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	served := 0
	for _, a := range s.attempts {
		if a.at.Before(from) || !a.at.Before(to) {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return sent, float64(served) / float64(max(1, sent))
}

// crashTimes returns the times of all crashes in order.
func crashTimes(engines []*crashingEngine) (list []time.Time) {
	for _, e := range engines {
		e.mutex.Lock()
		list = append(list, e.crashed...)
		e.mutex.Unlock()
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// reachedWith returns the ids of the requests whose prompt has crashingBlock and that reached
// an engine after the time.
func reachedWith(engines []*crashingEngine, after time.Time) map[string]bool {
	ids := map[string]bool{}
	for _, e := range engines {
		e.mutex.Lock()
		for _, t := range e.starts {
			for _, seen := range t.Seen() {
				if standin.HasSharedBlock(seen.Blocks, crashingBlock) && seen.At.After(after) {
					ids[seen.ID] = true
				}
			}
		}
		e.mutex.Unlock()
	}
	return ids
}

// streamDocument is a configuration with one route for streams that must not run twice.
const streamDocument = `{"version":3,"routes":[{"name":"r","host":"desk.example","prefix":"/tales/","kind":"stream","timeoutMs":3000,"targetLatencyMs":500,"targetGapMs":250,"service":"desk","attempts":1,"sessionAffinity":true}],
"services":[{"name":"desk","health":"/health","maxConns":100}],"tenants":[{"name":"guild","keys":["k1"]}]}`

// fifthCrash is the crash after which few more requests with the block may reach engines, and
// maxLateRequests is how many, over all instances, later than the contact time after it.
const (
	fifthCrash      = 5
	maxLateRequests = 3
)

// TestCrashingBlockIsQuarantined guards against incident inc1: requests that share a prompt
// block, no two of them alike, crashed one engine after the other at all instances. Few of
// them may reach an engine after the fifth crash, and sound requests of the same caller, route
// and other blocks must go on.
func TestCrashingBlockIsQuarantined(t *testing.T) {
	f := newTestFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for host := 1; host <= 3; host++ {
		f.startControl(host)
	}
	entries := []int{10, 11, 12}
	for _, host := range entries {
		f.startEntry(host)
	}
	f.await("the configuration is acknowledged", func() bool {
		status, _, err := f.call(http.MethodPost, f.address(1, fleetOperatorPort), "/Config.Replace", streamDocument)
		return err == nil && status == http.StatusOK
	})
	var engines []*crashingEngine
	for host := 20; host < 26; host++ {
		engines = append(engines, f.startEngine(ctx, host, "decode"))
	}
	engines = append(engines, f.startEngine(ctx, 26, "prefill"), f.startEngine(ctx, 27, "prefill"))
	// Prompts of the first blocks a1 and a2, of a second block that comes rarely, and each with
	// a last block of its own.
	sound := &streamTraffic{f: f, entries: entries, name: "sound", interval: 25 * time.Millisecond, prompt: func(n int) string {
		return fmt.Sprintf("a%d:700,c%d:200,f%d:100", 1+n%2, n%40, n)
	}}
	for _, host := range entries {
		f.await("a stream is served", func() bool {
			first := &streamTraffic{f: f, entries: []int{host}, name: fmt.Sprint("first", host), prompt: sound.prompt}
			first.send(0)
			return first.attempts[0].served
		})
	}
	var traffic sync.WaitGroup
	defer traffic.Wait()
	defer cancel()
	traffic.Go(func() { sound.loop(ctx) })
	calmFrom := time.Now()
	const calmTime = 1500 * time.Millisecond
	time.Sleep(calmTime)
	calmTo := time.Now()
	crashing := &streamTraffic{f: f, entries: entries, name: "crashing", interval: 200 * time.Millisecond, prompt: func(n int) string {
		return fmt.Sprintf("%s:700,%s:200,%x:100", firstBlock, crashingBlock, n)
	}}
	traffic.Go(func() { crashing.loop(ctx) })

	contact := f.settings("entry", 10).Fleet.RecoveryTime.AsDuration()
	const observedTime = 4 * time.Second
	time.Sleep(2*contact + observedTime)
	crashes := crashTimes(engines)
	require.NotEmpty(t, crashes, "the block crashes engines")
	from := crashes[min(len(crashes), fifthCrash)-1]
	end := time.Now()
	cancel()
	traffic.Wait()

	t.Logf("%d crashes, %d requests with the block sent", len(crashes), len(crashing.attempts))
	require.LessOrEqual(t, len(reachedWith(engines, from.Add(contact))), maxLateRequests, "requests with the block that reach engines later")
	calmSent, calm := sound.share(calmFrom, calmTo)
	laterSent, later := sound.share(from.Add(2*contact), end)
	const comparable = 20
	require.GreaterOrEqual(t, min(calmSent, laterSent), comparable, "enough sound requests to compare")
	require.GreaterOrEqual(t, later, calm/2, "sound requests are served half as often as before, at least")
}

// TestEarlierReleaseAtTheControlInstances checks that an entry instance quarantines blocks by its
// own crashes while the control instances run a release that knows nothing of them.
func TestEarlierReleaseAtTheControlInstances(t *testing.T) {
	f := newTestFleet(t)
	s := f.settings("entry", 10)
	s.Fleet.RequestAddress, s.Fleet.ReadinessAddress = f.address(10, fleetEntryPort), f.address(10, fleetReadyPort)
	e, err := NewEntry(s, event.Nop())
	require.NoError(t, err)
	const block = 7
	for _, target := range []string{"t1", "t2", "t3"} {
		e.HandleResponse(&peer.WatchResponse{Server: "an earlier release", Entries: 1})
		e.blocks.Crashed(target, "1", []uint64{block})
		time.Sleep(300 * time.Millisecond)
	}
	require.True(t, e.blocks.Admit([]uint64{block}).Refused)
}
