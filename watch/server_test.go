package watch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quarantine"
)

// TestSuspendedServerKeepsEntries suspends a control instance across the end of a
// usage window. Guards against the first entry instance that polls after the
// resumption being taken for the only live one: the usage figures would count as
// complete and the entry instance would get the whole retry budget.
func TestSuspendedServerKeepsEntries(t *testing.T) {
	s := NewServer("one", nil, nil, quarantine.NewBoard("one", quarantine.NewEvidence(clock.Now, nil, event.Nop())))
	at := time.Hour
	s.now = func() time.Duration { return at }
	contact := func(incarnation string, begun int64) {
		s.recordRequest(&peer.WatchRequest{Incarnation: incarnation, Begun: []*peer.BegunCounter{{Window: 1, Workspace: "w", Requests: begun}}})
	}
	contactEverySecond := func(incarnations ...string) {
		for range 7 {
			at += time.Second
			for _, each := range incarnations {
				contact(each, 10)
			}
			s.entriesLocked()
		}
	}
	contactEverySecond("a", "b")
	at += 30 * time.Second
	end := at - time.Second
	contact("a", 12)
	require.Equal(t, int32(2), s.entriesLocked())
	_, complete := s.StartedRequests(1, end)
	require.False(t, complete, "b has had no time to poll again")
	contact("b", 13)
	sums, complete := s.StartedRequests(1, end)
	require.True(t, complete)
	require.Equal(t, int64(25), sums["w"])

	// A stopped entry is removed once the other has polled for the whole timeout.
	contactEverySecond("a")
	require.Equal(t, int32(1), s.entriesLocked())
}

// TestControlInstancesGetAgesWhileTargetsChange guards against taking targets for silent that send
// their heartbeats to another control instance (incident inc-3ba5): while other targets changed,
// as after a partition, control instances got the changed rows only, without the ages of the rest.
func TestControlInstancesGetAgesWhileTargetsChange(t *testing.T) {
	s, v, r := newServer(t)
	propose(t, v, 3)
	seq := uint64(0)
	change := func() {
		seq++
		r.UpdateTarget(&peer.TargetRow{Id: "changing", Address: "1:1", State: peer.TargetRow_READY, BornMs: 1, Seq: seq, Slots: int32(seq)})
	}
	r.UpdateTarget(&peer.TargetRow{Id: "steady", Address: "1:2", State: peer.TargetRow_READY, BornMs: 1, Seq: 1})
	change()
	poll := func(last *peer.WatchResponse, control bool) *peer.WatchResponse {
		request := newRequest("c2")
		request.Control, request.Version, request.Server, request.Roster = control, 3, last.Server, last.Roster
		return s.Watch(context.Background(), request)
	}
	last := poll(&peer.WatchResponse{}, true)
	require.Len(t, last.Rows, 2)
	change()
	last = poll(last, true)
	require.Len(t, last.Rows, 1, "only what changed")

	now := s.now()
	s.now = func() time.Duration { return now + MinHold }
	change()
	last = poll(last, true)
	require.Len(t, last.Rows, 2, "all rows once per hold")
	change()
	last = poll(last, true)
	require.Len(t, last.Rows, 1)
	s.now = func() time.Duration { return now + 2*MinHold }
	change()
	require.Len(t, poll(last, false).Rows, 1, "entry instances do not need ages")
}
