package watch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
)

// fixedSink sends the same request each time.
type fixedSink struct{ request *peer.WatchRequest }

func (s fixedSink) Request() *peer.WatchRequest {
	return &peer.WatchRequest{Instance: s.request.Instance, Incarnation: s.request.Incarnation, Begun: s.request.Begun}
}
func (fixedSink) HandleResponse(*peer.WatchResponse) {}

// watchedServer is a control instance that serves the long poll.
type watchedServer struct {
	peer.Peer
	server *Server
}

func (s watchedServer) Watch(ctx context.Context, request *peer.WatchRequest) (*peer.WatchResponse, error) {
	return s.server.Watch(ctx, request), nil
}

type watchedDialer map[string]watchedServer

func (d watchedDialer) Peer(address string) peer.Peer { return d[address] }

func begun(window, requests int64) []*peer.BegunCounter {
	return []*peer.BegunCounter{{Window: window, Workspace: "guild", Requests: requests}}
}

// TestPlannedStopDeliversLastCounters checks that the requests that an entry instance started
// since its last poll, which is held, are counted when it stops, and that a window does not wait
// for it any more.
func TestPlannedStopDeliversLastCounters(t *testing.T) {
	s, _, _ := newServer(t)
	sink := fixedSink{&peer.WatchRequest{Instance: "e1", Incarnation: "e1", Begun: begun(2000, 3)}}
	client := NewClient("", watchedDialer{"a": {server: s}}, sink, event.Nop())
	client.SetSeeds([]string{"a"})
	counted := func() int64 { counts, _ := s.StartedRequests(2000, 0); return counts["guild"] }
	require.Eventually(t, func() bool { return counted() == 3 }, 10*time.Second, time.Millisecond)

	sink.request.Begun = begun(2000, 7)
	client.Stop()
	client.Flush(context.Background())
	require.EqualValues(t, 7, counted())
	_, complete := s.StartedRequests(2000, clock.Now())
	require.True(t, complete)
	require.Zero(t, s.Entries())
}

// TestControlInstanceLearnsCountersOfStoppedEntries checks that a control instance that started
// after an entry instance had stopped gets its counters from another one, once, and those of
// windows that were closed not.
func TestControlInstanceLearnsCountersOfStoppedEntries(t *testing.T) {
	s, _, _ := newServer(t)
	last := newRequest("e1")
	last.Last, last.Begun = true, append(begun(2000, 3), begun(4000, 5)...)
	s.Watch(context.Background(), last)
	control := newRequest("c2")
	control.Control = true
	first := s.Watch(context.Background(), control)
	require.Len(t, first.Ended, 2)

	started, _, _ := newServer(t)
	started.MergeEnded(first.Ended)
	counts, _ := started.StartedRequests(4000, 0)
	require.EqualValues(t, 5, counts["guild"])

	control.Server, control.EndedSeen = first.Server, first.EndedSeen
	require.Empty(t, s.response(control).Ended)
	control.EndedSeen = 0
	s.DropWindowsBefore(4000)
	require.Len(t, s.response(control).Ended, 1)
	require.EqualValues(t, 4000, s.response(control).Ended[0].Window)
	require.Empty(t, s.response(newRequest("e2")).Ended, "entry instances do not need them")
}
