package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/peer"
)

// StartedRequests counts the requests that targets started to run, by workspace and
// window. The counters are cumulative within this incarnation, so that sending them
// twice is idempotent. Windows are aligned to an estimate of the true time over all
// instances, since the clock of one instance may be seconds off.
type StartedRequests struct {
	window time.Duration

	mutex        sync.Mutex
	offset       time.Duration
	synchronized bool
	counts       map[startedKey]int64
}

type startedKey struct {
	window    int64
	workspace string
}

// retainedWindows is the number of windows whose counters are kept and sent. It is
// long enough to cover the time until a window's usage is due.
const retainedWindows = 5

// NewStartedRequests returns empty counters for windows of the given length.
func NewStartedRequests(window time.Duration) *StartedRequests {
	return &StartedRequests{window: window, counts: map[startedKey]int64{}}
}

// SetTime sets the estimate of true time, in milliseconds since 1970.
func (s *StartedRequests) SetTime(wallMs int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.offset = time.Duration(wallMs)*time.Millisecond - clock.Now()
	s.synchronized = true
}

func (s *StartedRequests) now() int64 {
	if !s.synchronized {
		return time.Now().UnixMilli()
	}
	return (s.offset + clock.Now()).Milliseconds()
}

// Count counts a request of the workspace that a target started to run now. An empty
// workspace is ignored.
func (s *StartedRequests) Count(workspace string) {
	if workspace == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	length := s.window.Milliseconds()
	start := s.now() / length * length
	s.counts[startedKey{start, workspace}]++
	maps.DeleteFunc(s.counts, func(k startedKey, _ int64) bool { return k.window <= start-retainedWindows*length })
}

// Counters returns the counters of the retained windows, ordered by window and
// workspace.
func (s *StartedRequests) Counters() []*peer.BegunCounter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keys := slices.SortedFunc(maps.Keys(s.counts), compareStarted)
	list := make([]*peer.BegunCounter, 0, len(keys))
	for _, k := range keys {
		list = append(list, &peer.BegunCounter{Window: k.window, Workspace: k.workspace, Requests: s.counts[k]})
	}
	return list
}

func compareStarted(a, b startedKey) int {
	return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.workspace, b.workspace))
}
