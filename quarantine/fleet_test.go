package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
	"auburnscale/peer"
)

const (
	simContact     = 3 * time.Second
	simReportDelay = 40 * time.Millisecond
	simPushDelay   = 30 * time.Millisecond
	simRestartTime = 4 * time.Second
	simCrashDelay  = 60 * time.Millisecond
	simControls    = 3
)

// A simConfig describes a simulated fleet and its traffic.
type simConfig struct {
	entries, engines int
	// soundRate and badRate are requests per second.
	soundRate, badRate float64
	// firsts, seconds are the numbers of different first and second blocks of sound prompts.
	firsts, seconds int
	// common blocks stand between the first and the second of all prompts, and as many of its own as own in each.
	common, own int
	// badFirst returns the first block of a bad prompt.
	badFirst func(random *rand.Rand) uint64
	// crashEvery crashes an engine at random that often, sharedCrash as many of them at once.
	crashEvery  time.Duration
	sharedCrash int
}

// A simulation runs Blocks of the entries and Evidence of the control instances in simulated
// time, with engines that crash when they begin to respond to a bad prompt.
type simulation struct {
	simConfig
	clock    *testClock
	random   *rand.Rand
	queue    eventQueue
	order    int
	blocks   []*Blocks
	controls []*Evidence
	engines  []*simEngine
	requests uint64

	crashTimes []time.Duration
	// badArrivals holds when bad requests reached an engine.
	badArrivals []time.Duration
	sound       []soundOutcome
}

type simEngine struct {
	start    int
	down     bool
	inFlight map[uint64]*simRequest
}

type simRequest struct {
	entry     int
	blocks    []uint64
	admission Admission
}

type soundOutcome struct {
	at      time.Duration
	first   uint64
	refused bool
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(c simConfig, seed uint64) *simulation {
	s := &simulation{simConfig: c, clock: newTestClock(), random: rand.New(rand.NewPCG(seed, 1))}
	for range c.entries {
		b := NewBlocks(s.clock.now, s.random.Float64, event.Nop())
		b.SetInstances(c.entries)
		s.blocks = append(s.blocks, b)
	}
	for range simControls {
		s.controls = append(s.controls, NewEvidence(s.clock.now, nil, event.Nop()))
	}
	for range c.engines {
		s.engines = append(s.engines, &simEngine{inFlight: map[uint64]*simRequest{}})
	}
	hold := max(time.Second, time.Duration(c.entries)*8*time.Millisecond)
	for entry := range c.entries {
		for control := range simControls {
			s.after(s.upTo(hold), func() { s.poll(entry, control, hold) })
		}
	}
	s.after(0, s.soundArrives)
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.clock.at + d, s.order, run})
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(d))
}

func (s *simulation) run(span time.Duration) {
	for end := s.clock.at + span; len(s.queue) > 0 && s.queue[0].at < end; {
		next := heap.Pop(&s.queue).(simEvent)
		s.clock.at = next.at
		next.run()
	}
}

func (s *simulation) poll(entry, control int, hold time.Duration) {
	s.push(entry, control)
	s.after(hold, func() { s.poll(entry, control, hold) })
}

// push delivers a control instance's list to an entry, and what the entry replies.
func (s *simulation) push(entry, control int) {
	s.blocks[entry].Received(fmt.Sprint(control), s.controls[control].List())
	s.report(entry)
}

// report delivers what an entry has to report.
func (s *simulation) report(entry int) {
	for control := range simControls {
		name := fmt.Sprint(control)
		report, position := s.blocks[entry].Report(name)
		if report == nil {
			continue
		}
		s.blocks[entry].Sent(name, report, position)
		s.after(simReportDelay, func() { s.receive(entry, control, report) })
	}
}

func (s *simulation) receive(entry, control int, report *peer.SuspectReport) {
	listed, decided := s.controls[control].Record(report)
	s.blocks[entry].Received(fmt.Sprint(control), s.controls[control].List())
	for other := range s.entries {
		if decided {
			s.after(simPushDelay, func() { s.push(other, control) })
		} else if listed {
			batch := min(750*time.Millisecond, time.Duration(s.entries)*2*time.Millisecond)
			s.after(simPushDelay+batch/2+s.upTo(batch/2), func() { s.push(other, control) })
		}
	}
}

func (s *simulation) soundArrives() {
	s.after(time.Duration(s.random.ExpFloat64()/s.soundRate*float64(time.Second)), s.soundArrives)
	first := uint64(1 + min(s.random.IntN(s.firsts), s.random.IntN(s.firsts)))
	refused := s.send(first, uint64(1_000_000+s.random.IntN(s.seconds)))
	s.sound = append(s.sound, soundOutcome{s.clock.at, first, refused})
}

func (s *simulation) badArrives() {
	s.after(time.Duration(s.random.ExpFloat64()/s.badRate*float64(time.Second)), s.badArrives)
	s.send(s.badFirst(s.random), bad)
}

func (s *simulation) crashArrives() {
	s.after(s.crashEvery, s.crashArrives)
	for range max(1, s.sharedCrash) {
		s.crash(s.random.IntN(len(s.engines)))
	}
}

// send sends a request with the first and the second block to an entry at random and from there to an engine.
// It returns whether it was refused for its blocks.
func (s *simulation) send(first, second uint64) (refused bool) {
	s.requests++
	id := s.requests
	blocks := []uint64{first}
	for n := range s.common {
		blocks = append(blocks, uint64(2_000_000+n))
	}
	for n := range s.own {
		blocks = append(blocks, 1<<50+id<<16+uint64(n))
	}
	return s.sendBlocks(id, append(blocks, second, 1<<40+id), second == bad)
}

func (s *simulation) sendBlocks(id uint64, prompt []uint64, isBad bool) (refused bool) {
	request := &simRequest{entry: s.random.IntN(s.entries), blocks: prompt}
	blocks := s.blocks[request.entry]
	request.admission = blocks.Admit(request.blocks)
	if request.admission.Refused {
		return true
	}
	number := s.random.IntN(len(s.engines))
	engine := s.engines[number]
	if engine.down {
		blocks.End(request.admission)
		return false
	}
	if isBad {
		s.badArrivals = append(s.badArrivals, s.clock.at)
	}
	engine.inFlight[id] = request
	start := engine.start
	duration := 200*time.Millisecond + s.upTo(time.Second)
	if isBad {
		duration = simCrashDelay
	}
	s.after(duration, func() {
		if engine.inFlight[id] != request || engine.start != start {
			return
		}
		if isBad {
			s.crash(number)
			return
		}
		delete(engine.inFlight, id)
		blocks.Served(request.blocks)
		blocks.End(request.admission)
		s.report(request.entry)
	})
	return false
}

func (s *simulation) crash(number int) {
	engine := s.engines[number]
	if engine.down {
		return
	}
	s.crashTimes = append(s.crashTimes, s.clock.at)
	for id, request := range engine.inFlight {
		s.blocks[request.entry].Crashed(fmt.Sprint("e", number), fmt.Sprint(engine.start), request.blocks)
		s.blocks[request.entry].End(request.admission)
		entry := request.entry
		s.after(15*time.Millisecond, func() { s.report(entry) })
		delete(engine.inFlight, id)
	}
	engine.down = true
	engine.start++
	s.after(simRestartTime, func() { engine.down = false })
}

// refusedShare returns the share of the sound requests sent from the time on that was refused.
func (s *simulation) refusedShare(from time.Duration, first uint64) float64 {
	n, refused := 0, 0
	for _, o := range s.sound {
		if o.at < from || first != 0 && o.first != first {
			continue
		}
		n++
		if o.refused {
			refused++
		}
	}
	return float64(refused) / float64(max(1, n))
}

// lateArrivals returns how many bad requests reached an engine later than the contact time after
// the fifth crash.
func (s *simulation) lateArrivals() (n int) {
	if len(s.crashTimes) < finalCrashes {
		return 0
	}
	for _, at := range s.badArrivals {
		if at > s.crashTimes[finalCrashes-1]+simContact {
			n++
		}
	}
	return n
}

var (
	smallFleet = simConfig{entries: 9, engines: 6, soundRate: 50, firsts: 140, seconds: 200}
	largeFleet = simConfig{entries: 300, engines: 160, soundRate: 550, firsts: 70, seconds: 2000}
)

// TestCrashingBlockInAFleet plays the pattern of incident inc1 in simulated time: a block that
// crashes engines comes in prompts that share their other blocks with sound ones, at all entries.
// Both bounds of the users must hold: few requests with the block reach engines after the fifth
// crash, and sound ones go on, those with the same first block too.
func TestCrashingBlockInAFleet(t *testing.T) {
	popular := func(*rand.Rand) uint64 { return 1 }
	rare := func(*rand.Rand) uint64 { return 777 }
	varied := func(random *rand.Rand) uint64 { return uint64(1 + random.IntN(140)) }
	cases := []struct {
		name     string
		fleet    simConfig
		badRate  float64
		badFirst func(*rand.Rand) uint64
	}{
		{"small", smallFleet, 1.5, varied},
		{"small, one first block", smallFleet, 1.5, popular},
		{"small, first block of its own", smallFleet, 1.5, rare},
		{"small, seldom", smallFleet, 0.3, varied},
		{"small, often", smallFleet, 10, varied},
		{"large", largeFleet, 2, varied},
		{"large, one first block", largeFleet, 2, popular},
		{"large, often", largeFleet, 15, varied},
	}
	const seeds = 5
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				config := c.fleet
				config.badRate, config.badFirst = c.badRate, c.badFirst
				s := newSimulation(config, seed)
				s.run(10 * time.Second)
				s.after(0, s.badArrives)
				// Long enough for trials in the small fleets.
				s.run(max(time.Minute, 4*time.Minute-time.Duration(c.fleet.entries)*time.Second))
				require.LessOrEqual(t, s.lateArrivals(), 3, "seed %d, crashes %d", seed, len(s.crashTimes))
				from := s.crashTimes[min(len(s.crashTimes), finalCrashes)-1] + 2*simContact
				require.Less(t, s.refusedShare(from, 0), 0.02, "seed %d", seed)
				require.Less(t, s.refusedShare(from, 1), 0.1, "seed %d, first block of the bad prompts", seed)
				t.Logf("seed %d: %d crashes, %d late, %.4f of the sound requests refused, %.4f with the first block", seed, len(s.crashTimes), s.lateArrivals(), s.refusedShare(0, 0), s.refusedShare(from, 1))
			}
		})
	}
}

// TestCrashesWithoutABadBlock plays engines that crash by themselves, one after the other or many
// at once: sound blocks are not quarantined for that.
func TestCrashesWithoutABadBlock(t *testing.T) {
	cases := []struct {
		name        string
		fleet       simConfig
		crashEvery  time.Duration
		sharedCrash int
	}{
		{"small, one by one", smallFleet, 800 * time.Millisecond, 1},
		{"small, three at once", smallFleet, 5 * time.Second, 3},
		{"large, one by one", largeFleet, 300 * time.Millisecond, 1},
		{"large, many at once", largeFleet, 5 * time.Second, 25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(5) {
				config := c.fleet
				config.crashEvery, config.sharedCrash = c.crashEvery, c.sharedCrash
				s := newSimulation(config, seed)
				s.run(5 * time.Second)
				s.after(0, s.crashArrives)
				s.run(30 * time.Second)
				t.Logf("seed %d: %d crashes, %.4f of the sound requests refused", seed, len(s.crashTimes), s.refusedShare(0, 0))
				require.Less(t, s.refusedShare(0, 0), 0.01, "seed %d", seed)
			}
		})
	}
}
