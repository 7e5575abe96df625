package watch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quorum"
	"auburnscale/roster"
	"auburnscale/storage"
	"auburnscale/voter"
)

type noLink struct{}

func (noLink) Send([]*peer.Message) {}

// newServer returns a server over a voter that leads alone.
func newServer(t *testing.T) (*Server, *voter.Voter, *roster.Roster) {
	folder, err := storage.Open(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(folder.Close)
	v := voter.New(voter.Config{ID: 1, InitialVoters: []uint64{1}, Timing: quorum.QuickTiming, Limits: control.Limits{}, Incarnation: "c1"}, folder, noLink{}, event.Nop())
	v.Start()
	t.Cleanup(v.Stop)
	r := roster.New(clock.Now, time.Hour)
	return NewServer("c1", v, r), v, r
}

func propose(t *testing.T, v *voter.Voter, version uint64) {
	require.Eventually(t, func() bool {
		_, err := v.Propose(context.Background(), &peer.Command{Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: version, Body: []byte("x")}}})
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
}

func ask(incarnation string) *peer.WatchRequest {
	return &peer.WatchRequest{Instance: incarnation, Incarnation: incarnation, WallMs: time.Now().UnixMilli()}
}

// TestWatchEndsWithNews holds two questions and answers them when a target
// leaves and when a configuration comes.
func TestWatchEndsWithNews(t *testing.T) {
	s, v, r := newServer(t)
	r.UpdateTarget(&peer.TargetRow{Id: "known", State: peer.TargetRow_READY, Address: "1:1", BornMs: 1, Seq: 1})
	propose(t, v, 3)
	first := s.Watch(context.Background(), ask("e1"))
	require.True(t, first.Full)
	require.EqualValues(t, 3, first.Document.Version)
	require.True(t, first.Current)

	next := ask("e1")
	next.Server, next.Roster, next.Version = first.Server, first.Roster, 3
	answers := make(chan *peer.WatchResponse, 1)
	go func() { answers <- s.Watch(context.Background(), next) }()
	r.UpdateTarget(&peer.TargetRow{Id: "t", State: peer.TargetRow_GONE})
	answer := <-answers
	require.False(t, answer.Full, "only what changed")
	require.Len(t, answer.Rows, 1)
	require.Nil(t, answer.Document, "the asker has it")

	next.Roster = answer.Roster
	go func() { answers <- s.Watch(context.Background(), next) }()
	propose(t, v, 5)
	require.EqualValues(t, 5, (<-answers).Document.Version)
}

func TestWatchWithoutNewsIsEmpty(t *testing.T) {
	s, v, _ := newServer(t)
	propose(t, v, 3)
	first := s.Watch(context.Background(), ask("e1"))
	next := ask("e1")
	next.Server, next.Roster, next.Version = first.Server, first.Roster, 3
	answer := s.Watch(context.Background(), next)
	require.Empty(t, answer.Rows)
	require.Nil(t, answer.Document)
}

// TestTrueTimeIsTheMedian has one instance of three with a clock an hour ahead.
func TestTrueTimeIsTheMedian(t *testing.T) {
	s, _, _ := newServer(t)
	s.note(ask("e1"))
	wrong := ask("e2")
	wrong.WallMs += time.Hour.Milliseconds()
	s.note(wrong)
	off := s.MedianTime() - time.Duration(time.Now().UnixNano())
	require.Less(t, off.Abs(), time.Minute)
}

func TestBegunAddsUpOverIncarnations(t *testing.T) {
	s, _, _ := newServer(t)
	for _, each := range []struct {
		incarnation string
		requests    int64
	}{{"e1", 3}, {"e1", 5}, {"e1", 4}, {"e2", 2}} {
		request := ask(each.incarnation)
		request.Begun = []*peer.BegunCounter{{Window: 5000, Workspace: "guild", Requests: each.requests}}
		s.note(request)
	}
	counts, complete := s.StartedRequests(5000, 0)
	require.Equal(t, map[string]int64{"guild": 7}, counts)
	require.True(t, complete)
	_, complete = s.StartedRequests(5000, clock.Now()+time.Hour)
	require.False(t, complete, "nobody was heard since")
	require.EqualValues(t, 5000, s.OldestWindow())
	s.DropWindowsBefore(6000)
	require.Zero(t, s.OldestWindow())
}

func TestSuspicionsAddUp(t *testing.T) {
	s, _, _ := newServer(t)
	for _, incarnation := range []string{"e1", "e2"} {
		request := ask(incarnation)
		request.Suspicions = []*peer.Suspicion{{Fingerprint: 7, Crashes: 2}}
		s.note(request)
	}
	answer := s.answer(ask("e3"))
	require.EqualValues(t, 4, answer.Suspicions[0].Crashes)
	require.EqualValues(t, 2, answer.Entries)
}

func TestPoolSumsTheOthers(t *testing.T) {
	p := NewLoadAggregator()
	share := func(incarnation string, tokens int64) *peer.ShareResponse {
		return p.Exchange(&peer.ShareRequest{Incarnation: incarnation, Work: []*peer.TargetWork{{Target: "t", Tokens: tokens, Requests: 1}}})
	}
	require.Empty(t, share("e1", 100).Work)
	require.EqualValues(t, 100, share("e2", 30).Work[0].Tokens)
	answer := share("e1", 50)
	require.EqualValues(t, 30, answer.Work[0].Tokens)
	require.EqualValues(t, 80, share("e3", 0).Work[0].Tokens)
}

// fakeControl answers watches as several control instances.
type fakeControl struct {
	peer.Peer
	address string
	named   []*peer.Replica
	asked   chan string
	err     error
}

func (f *fakeControl) Watch(ctx context.Context, _ *peer.WatchRequest) (*peer.WatchResponse, error) {
	select {
	case f.asked <- f.address:
	case <-ctx.Done():
	}
	return &peer.WatchResponse{Server: f.address, Full: true, Control: f.named, Term: 1}, f.err
}

type fakeDialer map[string]*fakeControl

func (d fakeDialer) Peer(address string) peer.Peer { return d[address] }

type sink struct{}

func (sink) Request() *peer.WatchRequest        { return &peer.WatchRequest{} }
func (sink) HandleResponse(*peer.WatchResponse) {}

// TestClientLearnsOfOthers knows one control instance at the start and watches
// the one that this one names; its own address it leaves out.
func TestClientLearnsOfOthers(t *testing.T) {
	asked := make(chan string)
	named := []*peer.Replica{{Id: 1, Address: "a:1"}, {Id: 2, Address: "b:1"}, {Id: 3, Address: "self:1"}}
	dialer := fakeDialer{"a:1": {address: "a:1", named: named, asked: asked}, "b:1": {address: "b:1", asked: asked, err: errors.New("down")}}
	c := NewClient("self:1", dialer, sink{}, event.Nop())
	c.SetSeeds([]string{"a:1"})
	defer c.Stop()
	seen := map[string]bool{}
	for !seen["a:1"] || !seen["b:1"] {
		seen[<-asked] = true
	}
	require.NotContains(t, c.Addresses(), "self:1")
	require.Len(t, c.ControlReplicas(), 3)
}

// TestExchangesSlowDownWithTheFleet bounds what the control instance that adds up
// answers. Load pattern: bursts over many entry instances, which place prompts by
// what the others had in flight at the last exchange.
func TestExchangesSlowDownWithTheFleet(t *testing.T) {
	const most = 250
	require.Equal(t, 80*time.Millisecond, sharePause(9))
	for _, entries := range []int{1, 9, 60, 350} {
		require.LessOrEqual(t, time.Duration(entries)*time.Second, most*sharePause(entries), "%d entries", entries)
	}
	require.LessOrEqual(t, sharePause(60), 250*time.Millisecond)
}
