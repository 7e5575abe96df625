package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// TestSuspensionLosesNoEntry suspends a control instance's machine over a usage
// window's end. The first entry that is heard after it must neither make the
// figures complete nor be taken for the only one, which would give it the whole
// retry budget.
func TestSuspensionLosesNoEntry(t *testing.T) {
	s := NewServer("one", nil, nil)
	at := time.Hour
	s.now = func() time.Duration { return at }
	hear := func(incarnation string, begun int64) {
		s.note(&peer.WatchRequest{Incarnation: incarnation, Begun: []*peer.BegunCounter{{Window: 1, Workspace: "w", Requests: begun}}})
	}
	beat := func(incarnations ...string) {
		for range 7 {
			at += time.Second
			for _, each := range incarnations {
				hear(each, 10)
			}
			s.entriesLocked()
		}
	}
	beat("a", "b")
	at += 30 * time.Second
	end := at - time.Second
	hear("a", 12)
	require.Equal(t, int32(2), s.entriesLocked())
	_, complete := s.StartedRequests(1, end)
	require.False(t, complete, "b has had no time")
	hear("b", 13)
	sums, complete := s.StartedRequests(1, end)
	require.True(t, complete)
	require.Equal(t, int64(25), sums["w"])

	// One that is really gone is forgotten once the other was heard all the while.
	beat("a")
	require.Equal(t, int32(1), s.entriesLocked())
}
