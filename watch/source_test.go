package watch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
	"auburnscale/peer"
)

// A group is a set of control instances that all have the same document.
type group struct {
	mutex   sync.Mutex
	version uint64
	// sent counts documents by the instance that sent them, stuck are instances
	// that tell of versions but never get a document across.
	sent    map[string]int
	stuck   map[string]bool
	members []*peer.Replica
}

type member struct {
	peer.Peer
	group   *group
	address string
}

func (g *group) Peer(address string) peer.Peer { return &member{group: g, address: address} }

// Watch holds a question for a while unless there is a newer version.
func (m *member) Watch(ctx context.Context, r *peer.WatchRequest) (*peer.WatchResponse, error) {
	const looks, look = 20, 5 * time.Millisecond
	for range looks {
		if m.group.newer(r.Version) {
			break
		}
		time.Sleep(look)
	}
	return m.group.answer(ctx, m.address, r)
}

func (g *group) newer(version uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.version > version
}

func (g *group) answer(ctx context.Context, address string, r *peer.WatchRequest) (*peer.WatchResponse, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	a := &peer.WatchResponse{Server: address, Version: g.version, Control: g.members}
	if r.Spare || g.version <= r.Version {
		return a, nil
	}
	if g.stuck[address] {
		g.mutex.Unlock()
		<-ctx.Done()
		g.mutex.Lock()
		return nil, ctx.Err()
	}
	g.sent[address]++
	a.Document = &peer.ReplaceDocument{Version: g.version}
	return a, nil
}

func (g *group) set(version uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.version = version
}

func (g *group) documents() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	n := 0
	for _, each := range g.sent {
		n += each
	}
	return n
}

// A taker is an instance that applies documents at once.
type taker struct {
	mutex   sync.Mutex
	version uint64
}

func (t *taker) Request() *peer.WatchRequest { return &peer.WatchRequest{Version: t.held()} }

func (t *taker) HandleResponse(a *peer.WatchResponse) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.version = max(t.version, a.Document.GetVersion())
}

func (t *taker) held() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.version
}

func newGroup() *group {
	g := &group{sent: map[string]int{}, stuck: map[string]bool{}}
	for _, a := range []string{"c1", "c2", "c3", "c4", "c5"} {
		g.members = append(g.members, &peer.Replica{Address: a})
	}
	return g
}

func watchGroup(t *testing.T, g *group, wait time.Duration) *taker {
	taker := &taker{}
	c := NewClient("", g, taker, event.Nop())
	c.source.wait = wait
	c.SetSeeds([]string{"c1", "c2", "c3", "c4", "c5"})
	t.Cleanup(c.Stop)
	return taker
}

func (t *taker) await(test *testing.T, version uint64) {
	require.Eventually(test, func() bool { return t.held() == version }, 20*time.Second, time.Millisecond)
}

// TestDocumentsComeFromOneInstance puts documents in force one after the other
// that five control instances have. Load pattern: a configuration of thousands
// of routes for many entry instances on narrow links.
func TestDocumentsComeFromOneInstance(t *testing.T) {
	g := newGroup()
	// A source that is slow for the machine's sake is not replaced here.
	taker := watchGroup(t, g, time.Hour)
	const versions = 6
	for v := uint64(1); v <= versions; v++ {
		g.set(v)
		taker.await(t, v)
	}
	require.Equal(t, versions, g.documents())
}

// TestSourceThatFailsIsReplaced has the instance that documents come from get
// none across any more, though it still answers.
func TestSourceThatFailsIsReplaced(t *testing.T) {
	g := newGroup()
	taker := watchGroup(t, g, sourceWait)
	g.set(1)
	taker.await(t, 1)
	g.mutex.Lock()
	for address := range g.sent {
		g.stuck[address] = true
	}
	g.version = 2
	g.mutex.Unlock()
	taker.await(t, 2)
}

// TestSpareQuestionIsToldTheVersion asks a server without wanting the document.
func TestSpareQuestionIsToldTheVersion(t *testing.T) {
	s, v, _ := newServer(t)
	propose(t, v, 3)
	request := ask("e1")
	request.Spare = true
	answer := s.Watch(context.Background(), request)
	require.Nil(t, answer.Document)
	require.EqualValues(t, 3, answer.Version)
}
