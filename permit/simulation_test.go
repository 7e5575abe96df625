package permit

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// A simulation runs many gates and a few control instances before one target, in virtual time.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	clock   time.Duration
	events  eventQueue
	gates   []*simulatedInstance
	issuers []*simulatedLeader
	// leading is the index of the control instance that leads, or -1.
	leading int
	term    uint64
	target  simulatedTarget
	// delay is the longest time that a question and its answer take.
	delay time.Duration
}

type simulatedTarget struct {
	incarnation string
	limited     bool
	limit       float64
	// told holds when each instance was first told of a limit of this incarnation, until it
	// restarts.
	told     map[int]time.Duration
	named    time.Duration
	arrivals []simulatedArrival
}

// A simulatedArrival is a request at the target; counted is true if its sender had been told of
// the limit half a second before.
type simulatedArrival struct {
	at      time.Duration
	limit   float64
	counted bool
}

type simulatedInstance struct {
	gate *Gate
	cut  bool
	// heldOff is until when nothing is sent to the target.
	heldOff time.Duration
}

type simulatedLeader struct {
	simulation *simulation
	index      int
	issuer     *Issuer
	book       *Book
}

func (l *simulatedLeader) Leading() (uint64, bool) {
	return l.simulation.term, l.simulation.leading == l.index
}
func (l *simulatedLeader) LeaderAddress() string { return "" }

type simulatedEvent struct {
	at time.Duration
	do func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const simulatedControls = 3

func newSimulation(t *testing.T, instances int, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), clock: time.Hour, term: 1, delay: 20 * time.Millisecond}
	s.target = simulatedTarget{incarnation: "1", told: map[int]time.Duration{}}
	for range simulatedControls {
		l := &simulatedLeader{simulation: s, index: len(s.issuers)}
		l.book = NewBook(s.now)
		l.issuer = NewIssuer(l, l.book, s.now)
		s.issuers = append(s.issuers, l)
	}
	for n := range instances {
		s.gates = append(s.gates, &simulatedInstance{})
		s.start(n, instances)
	}
	return s
}

func (s *simulation) now() time.Duration { return s.clock }

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, simulatedEvent{s.clock + d, do})
}

// run processes the events of the given time.
func (s *simulation) run(d time.Duration) {
	end := s.clock + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.clock = e.at
		e.do()
	}
	s.clock = end
}

// start starts an instance, which knows nothing.
func (s *simulation) start(n, instances int) {
	i := s.gates[n]
	i.gate = NewGate(s.now, &simulatedAsker{s, i})
	i.gate.SetInstances(instances)
	delete(s.target.told, n)
}

type simulatedAsker struct {
	simulation *simulation
	instance   *simulatedInstance
}

var errNoAnswer = errors.New("no answer")

// Ask asks the leader. Some answers are lost.
func (a *simulatedAsker) Ask(_ context.Context, limit *peer.TargetLimit) (*peer.PermitResponse, error) {
	s := a.simulation
	if a.instance.cut || s.leading < 0 {
		return nil, errNoAnswer
	}
	response := s.issuers[s.leading].issuer.Issue(&peer.PermitRequest{Limit: limit})
	if s.random.IntN(200) == 0 {
		return nil, errNoAnswer
	}
	return response, nil
}

// demand lets requests for the target arrive at random instances at the rate, for the given
// time. Each is sent if the gate allows it.
func (s *simulation) demand(perSecond float64, d time.Duration) {
	for at := time.Duration(0); at < d; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		s.after(at, func() { s.request(s.random.IntN(len(s.gates))) })
	}
}

func (s *simulation) request(n int) {
	i, incarnation := s.gates[n], s.target.incarnation
	if s.clock < i.heldOff {
		return
	}
	decision := i.gate.Acquire(context.Background(), "t", incarnation)
	if !decision.Allowed() {
		i.heldOff = s.clock + decision.Wait()
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(s.delay))), func() { s.arrive(n, i.gate, incarnation) })
}

func (s *simulation) arrive(n int, gate *Gate, incarnation string) {
	t, sent := &s.target, s.clock
	if incarnation != t.incarnation {
		return
	}
	told, known := t.told[n]
	if t.limited {
		t.arrivals = append(t.arrivals, simulatedArrival{s.clock, t.limit, known && s.clock-told >= 500*time.Millisecond && !s.gates[n].cut})
	}
	limited, limit := t.limited, t.limit
	s.after(time.Duration(s.random.Int64N(int64(s.delay))), func() {
		if !limited {
			gate.Unnamed("t", incarnation, sent)
			return
		}
		gate.Named("t", incarnation, limit)
		if _, known := t.told[n]; !known && incarnation == t.incarnation {
			t.told[n] = s.clock
		}
	})
}

// limit lets the target name the limit.
func (s *simulation) limit(perSecond float64) {
	if !s.target.limited {
		s.target.named = s.clock
	}
	s.target.limited, s.target.limit = true, perSecond
}

// endLimit lets the target name no limit any more.
func (s *simulation) endLimit() {
	s.target.limited = false
	clear(s.target.told)
}

// share exchanges the news of all instances that are not cut off through the first control
// instance, as the exchange of load does.
func (s *simulation) share(interval, d time.Duration) {
	for at := interval; at < d; at += interval {
		s.after(at, func() {
			book := s.issuers[0].book
			for _, i := range s.gates {
				if i.cut {
					continue
				}
				for _, l := range i.gate.Reports(false) {
					book.Merge(l)
				}
			}
			all, _ := book.Since(0)
			for _, i := range s.gates {
				if !i.cut {
					i.gate.Merge(all)
				}
			}
		})
	}
}

// check checks the bound over every window that begins at or after the time, and returns the
// number of arrivals from then on.
func (s *simulation) check(from time.Duration) int {
	s.t.Helper()
	const window = 4 * time.Second
	arrivals, total := s.target.arrivals, 0
	for i, first := range arrivals {
		if first.at < from {
			continue
		}
		total++
		count, highest := 0, 0.0
		for _, a := range arrivals[i:] {
			if a.at-first.at >= window {
				break
			}
			highest = max(highest, a.limit)
			if a.counted {
				count++
			}
		}
		require.LessOrEqual(s.t, float64(count), 1.5*highest*window.Seconds()+5, "in 4 s from %v on", first.at-s.target.named)
	}
	return total
}

const settleTime = 3 * time.Second

func forEachFleet(t *testing.T, test func(t *testing.T, instances int, perSecond float64, seed uint64)) {
	for _, instances := range []int{9, 300} {
		for _, perSecond := range []float64{0, 0.3, 1.1, 1.7, 8, 60} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("instances=%d/limit=%v/seed=%d", instances, perSecond, seed), func(t *testing.T) {
					t.Parallel()
					test(t, instances, perSecond, seed)
				})
			}
		}
	}
}

// TestTargetGetsItsLimitFromAllInstances checks that a target gets no more than it named from all
// instances together, and four fifths of that where callers ask for more.
func TestTargetGetsItsLimitFromAllInstances(t *testing.T) {
	forEachFleet(t, func(t *testing.T, instances int, perSecond float64, seed uint64) {
		const span = 60 * time.Second
		s := newSimulation(t, instances, seed)
		s.demand(max(4, 4*perSecond), span)
		s.share(200*time.Millisecond, span)
		s.limit(perSecond)
		s.run(span)
		got := s.check(s.target.named + settleTime)
		due := perSecond * (span - settleTime).Seconds()
		require.GreaterOrEqual(t, float64(got), 0.8*due-2)
	})
}

// TestLimitHoldsThroughFaults checks the bound while leaders change, no leader answers, instances
// are cut off, restart without knowledge and come back, and limits rise, fall, end and begin
// again. Instances that are cut off may use their own part, which does not count.
func TestLimitHoldsThroughFaults(t *testing.T) {
	forEachFleet(t, func(t *testing.T, instances int, perSecond float64, seed uint64) {
		const span = 120 * time.Second
		s := newSimulation(t, instances, seed)
		s.demand(max(6, 4*perSecond), span)
		s.share(200*time.Millisecond, span)
		s.limit(perSecond)
		s.run(settleTime)
		from := s.clock
		for s.clock < from+span-2*settleTime {
			s.fault(instances, perSecond)
			s.run(time.Duration(s.random.Int64N(int64(4 * time.Second))))
		}
		s.check(from)
	})
}

// fault injects one fault at random, or ends one.
func (s *simulation) fault(instances int, perSecond float64) {
	n := s.random.IntN(instances)
	switch s.random.IntN(7) {
	case 0:
		s.leading = -1
	case 1:
		s.leading = s.random.IntN(simulatedControls)
		s.term++
	case 2:
		for range 1 + instances/3 {
			s.gates[s.random.IntN(instances)].cut = true
		}
	case 3:
		for _, i := range s.gates {
			i.cut = false
		}
		// Who was cut off is told again before it counts.
		clear(s.target.told)
	case 4:
		s.start(n, instances)
	case 5:
		s.limit(perSecond * (0.5 + s.random.Float64()))
	case 6:
		s.target.incarnation = strconv.Itoa(s.random.IntN(1 << 30))
		s.target.arrivals = append(s.target.arrivals, simulatedArrival{at: s.clock})
		clear(s.target.told)
	}
}

// TestEndOfLimitIsLearned checks that requests are sent freely soon after a limit has ended, that
// news of the limit from before does not bring it back, and that a limit of an earlier start of
// the target does not hold for a later one.
func TestEndOfLimitIsLearned(t *testing.T) {
	forEachFleet(t, func(t *testing.T, instances int, perSecond float64, seed uint64) {
		const span = 60 * time.Second
		s := newSimulation(t, instances, seed)
		s.demand(20, span)
		s.share(200*time.Millisecond, span)
		s.limit(perSecond)
		s.run(10 * time.Second)
		s.endLimit()
		s.run(25 * time.Second)
		for n, i := range s.gates {
			require.Zero(t, i.gate.Limited(), "instance %d", n)
		}
		s.limit(perSecond)
		s.run(5 * time.Second)
		s.target.incarnation = "2"
		require.True(t, s.gates[0].gate.Acquire(context.Background(), "t", "2").Allowed())
	})
}
