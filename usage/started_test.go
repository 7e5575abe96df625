package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWindowsFollowEstimatedTime checks that requests are counted in the windows of
// the estimated true time, whatever the instance's own clock says.
func TestWindowsFollowEstimatedTime(t *testing.T) {
	const window = 5 * time.Second
	b := NewStartedRequests(window)
	start := int64(1_767_225_600_000)
	b.SetTime(start + 100)
	b.Count("guild")
	b.Count("guild")
	b.Count("venue")
	b.Count("")
	counters := b.Counters()
	require.Len(t, counters, 2)
	require.Equal(t, start, counters[0].Window)
	require.Equal(t, "guild", counters[0].Workspace)
	require.EqualValues(t, 2, counters[0].Requests)

	b.SetTime(start + window.Milliseconds() + 1)
	b.Count("guild")
	counters = b.Counters()
	require.Len(t, counters, 3)
	require.Equal(t, start+window.Milliseconds(), counters[2].Window)

	b.SetTime(start + 100*window.Milliseconds())
	b.Count("guild")
	require.Len(t, b.Counters(), 1, "windows older than the retained ones are dropped")
}
