package permit

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// testClock is a clock that a test sets.
type testClock struct{ at time.Duration }

func (c *testClock) now() time.Duration { return c.at }

func (c *testClock) pass(d time.Duration) { c.at += d }

func newClock() *testClock { return &testClock{at: time.Hour} }

// TestYoungerNewsHolds checks that the most recent observation of a limit wins in any order of
// arrival, and that an older one is corrected.
func TestYoungerNewsHolds(t *testing.T) {
	c := newClock()
	b := NewBook(c.now)
	news := func(perSecond float64, ended bool, age time.Duration) *peer.TargetLimit {
		return &peer.TargetLimit{Target: "t", Incarnation: "1", PerSecond: perSecond, Ended: ended, AgeMs: age.Milliseconds()}
	}
	correction := func(n *peer.TargetLimit) *peer.TargetLimit {
		_, c := b.Merge(n)
		return c
	}
	require.Nil(t, correction(news(2, false, 5*time.Second)))
	require.EqualValues(t, 2, correction(news(9, false, 8*time.Second)).PerSecond, "it rose earlier")
	require.Nil(t, correction(news(1, false, 3*time.Second)), "it fell later")
	require.EqualValues(t, 1, correction(news(0, true, 4*time.Second)).PerSecond, "it ended before it was named again")
	require.Nil(t, correction(news(0, true, time.Second)))
	require.Nil(t, b.limitOf(key{"t", "1"}))
	require.True(t, correction(news(1, false, 2*time.Second)).Ended)
	require.Nil(t, b.limitOf(key{"t", "2"}), "a later start has named none")
}

// TestLimitsThatMakeNoSenseAreIgnored checks news that another instance would not send.
func TestLimitsThatMakeNoSenseAreIgnored(t *testing.T) {
	c := newClock()
	b := NewBook(c.now)
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		b.Merge(&peer.TargetLimit{Target: "t", PerSecond: perSecond})
	}
	b.Merge(nil)
	b.Merge(&peer.TargetLimit{PerSecond: 1})
	require.Zero(t, b.Limited())
	b.Merge(&peer.TargetLimit{Target: "t", PerSecond: 1, AgeMs: math.MinInt64})
	require.EqualValues(t, 1, b.Limited())
	c.pass(limitTTL + time.Second)
	require.Zero(t, b.Limited(), "nothing has renewed it")
}

// TestBookIsBounded checks that the oldest limits are dropped where there are too many.
func TestBookIsBounded(t *testing.T) {
	c := newClock()
	b := NewBook(c.now)
	for n := range 2 * maxLimits {
		c.pass(time.Millisecond)
		b.Merge(&peer.TargetLimit{Target: fmt.Sprint(n), PerSecond: 1})
	}
	require.Len(t, b.limits, maxLimits)
	require.NotNil(t, b.limitOf(key{target: fmt.Sprint(2*maxLimits - 1)}))
}

// TestLateResponseDoesNotEndALimit checks that a response without a limit, to a request that was
// sent before another response named one, does not end it.
func TestLateResponseDoesNotEndALimit(t *testing.T) {
	c := newClock()
	g := NewGate(c.now, nil)
	early := c.now()
	c.pass(time.Second)
	require.True(t, g.Named("t", "1", 2))
	c.pass(time.Second)
	require.False(t, g.Unnamed("t", "1", early))
	require.Equal(t, 1, g.Limited())
	require.True(t, g.Unnamed("t", "1", c.now()-time.Millisecond))
	require.Zero(t, g.Limited())
	require.False(t, g.Unnamed("t", "1", c.now()), "it is no news that there is none")
}

// TestRenewedLimitsAreReportedSparingly checks that a limit that every response names is reported
// once a second, and a change at once.
func TestRenewedLimitsAreReportedSparingly(t *testing.T) {
	c := newClock()
	g := NewGate(c.now, nil)
	reports := 0
	for range 100 {
		g.Named("t", "1", 2)
		reports += len(g.Reports(false))
		c.pass(100 * time.Millisecond)
	}
	require.Equal(t, 10, reports)
	g.Named("t", "1", 3)
	require.Len(t, g.Reports(false), 1)
	require.Empty(t, g.Reports(false))
	require.Len(t, g.Reports(true), 1, "a control instance that has started needs all")
}

// TestChangesOfLeaderIssueNothingExtra checks that leaders that follow each other fast issue no
// more together than one would.
func TestChangesOfLeaderIssueNothingExtra(t *testing.T) {
	const perSecond, instances = 1.7, 9
	s := newSimulation(t, instances, 1)
	s.demand(200, 30*time.Second)
	s.limit(perSecond)
	s.run(settleTime)
	from := s.clock
	for range 100 {
		s.leading = (s.leading + 1) % simulatedControls
		s.term++
		s.run(250 * time.Millisecond)
	}
	require.Zero(t, s.check(from), "no leader lasts long enough for a permit")
	s.run(4 * time.Second)
	require.NotZero(t, s.check(from))
}

// TestOwnPartsWithoutLeader checks that the bound holds while no leader answers for long and
// callers ask every instance for more. Instances go on with their parts, but send nothing to a
// target with a limit so small that one request of each would be too much at once.
func TestOwnPartsWithoutLeader(t *testing.T) {
	for _, test := range []struct {
		instances int
		perSecond float64
		least     int
	}{{9, 1.7, 60}, {9, 0.5, 0}, {9, 20, 1000}, {300, 1.7, 0}, {300, 200, 10000}} {
		t.Run(fmt.Sprintf("%d/%v", test.instances, test.perSecond), func(t *testing.T) {
			s := newSimulation(t, test.instances, 1)
			s.demand(4*test.perSecond+10*float64(test.instances), 90*time.Second)
			s.share(200*time.Millisecond, 90*time.Second)
			s.limit(test.perSecond)
			s.run(settleTime)
			from := s.clock
			s.run(2 * time.Second)
			s.leading = -1
			s.run(5 * time.Second)
			quiet := s.clock
			s.run(70 * time.Second)
			s.leading, s.term = 1, 2
			s.run(10 * time.Second)
			s.check(from)
			require.GreaterOrEqual(t, s.check(quiet), test.least)
			if test.least == 0 {
				require.LessOrEqual(t, s.check(quiet), int(12*test.perSecond), "only the leader at the end issues")
			}
		})
	}
}

// TestQuestionsAreBounded checks that the leader gets no more questions than it can answer, however
// many targets have limits and however much callers ask for, and that it still issues what the
// limits allow.
func TestQuestionsAreBounded(t *testing.T) {
	const instances, targets, perSecond, seconds = 300, 160, 2.0, 10
	c := newClock()
	s := &simulation{term: 1}
	issuer := NewIssuer(&simulatedLeader{simulation: s}, NewBook(c.now), c.now)
	var gates []*Gate
	for range instances {
		g := NewGate(c.now, directAsker{issuer})
		g.SetInstances(instances)
		for n := range targets {
			g.Named(fmt.Sprint(n), "1", perSecond)
		}
		gates = append(gates, g)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range seconds * 100 {
		c.pass(10 * time.Millisecond)
		for range 20 {
			gates[random.IntN(instances)].Acquire(context.Background(), fmt.Sprint(random.IntN(targets)), "1")
		}
	}
	asked := issuer.Issued() + issuer.Refused()
	require.LessOrEqual(t, asked, int64(maxAsksPerSecond*seconds+askBurst*instances))
	require.GreaterOrEqual(t, float64(issuer.Issued()), 0.8*perSecond*targets*(seconds-1))
}

// directAsker asks an issuer in the same process.
type directAsker struct{ issuer *Issuer }

func (a directAsker) Ask(_ context.Context, limit *peer.TargetLimit) (*peer.PermitResponse, error) {
	return a.issuer.Issue(&peer.PermitRequest{Limit: limit}), nil
}

// TestClientFindsTheLeader checks that a client follows the hint of a control instance, passes
// over one that does not answer, and remembers who leads.
func TestClientFindsTheLeader(t *testing.T) {
	group := controlGroup{"a": {hint: "c"}, "b": {failure: errNoAnswer}, "c": {leads: true}}
	addresses := func() []string { return []string{"c", "b", "a"} }
	client := NewClient("e1", addresses, group)
	limit := &peer.TargetLimit{Target: "t", PerSecond: 1}
	for range 2 {
		response, err := client.Ask(context.Background(), limit)
		require.NoError(t, err)
		require.True(t, response.Issued)
	}
	require.Equal(t, 1, group["a"].asked)
	require.Equal(t, 0, group["b"].asked)
	require.Equal(t, 2, group["c"].asked)
	group["c"].leads, group["a"].hint = false, ""
	_, err := client.Ask(context.Background(), limit)
	require.Error(t, err)
	require.Equal(t, 1, group["b"].asked, "each was asked")
	group["b"].failure, group["b"].leads = nil, true
	_, err = client.Ask(context.Background(), limit)
	require.NoError(t, err)
}

type controlGroup map[string]*fakeControl

func (g controlGroup) Peer(address string) peer.Peer { return g[address] }

type fakeControl struct {
	peer.Peer
	leads   bool
	hint    string
	failure error
	asked   int
}

func (c *fakeControl) IssuePermit(context.Context, *peer.PermitRequest) (*peer.PermitResponse, error) {
	c.asked++
	return &peer.PermitResponse{Current: c.leads, Issued: c.leads, Leader: c.hint}, c.failure
}

// BenchmarkIssue measures one decision of the leader, with the limits of as many targets known as
// a fleet with that many entry instances has.
func BenchmarkIssue(b *testing.B) {
	for _, entries := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			c := newClock()
			issuer := NewIssuer(&simulatedLeader{simulation: &simulation{term: 1}}, NewBook(c.now), c.now)
			var requests []*peer.PermitRequest
			for n := range entries {
				requests = append(requests, &peer.PermitRequest{Limit: &peer.TargetLimit{Target: fmt.Sprint(n), PerSecond: 2}})
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				c.pass(time.Millisecond)
				issuer.Issue(requests[n%entries])
			}
		})
	}
}
