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
	// sent counts documents by the address of the sender. stuck holds the
	// addresses of instances that announce versions but never deliver a document.
	sent    map[string]int
	stuck   map[string]bool
	members []*peer.Replica
}

// A groupMember is one control instance of a group.
type groupMember struct {
	peer.Peer
	group   *group
	address string
}

func (g *group) Peer(address string) peer.Peer { return &groupMember{group: g, address: address} }

// Watch holds a request for up to 100 ms until there is a newer version.
func (m *groupMember) Watch(ctx context.Context, r *peer.WatchRequest) (*peer.WatchResponse, error) {
	const polls, pollInterval = 20, 5 * time.Millisecond
	for range polls {
		if m.group.newer(r.Version) {
			break
		}
		time.Sleep(pollInterval)
	}
	return m.group.respond(ctx, m.address, r)
}

func (g *group) newer(version uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.version > version
}

func (g *group) respond(ctx context.Context, address string, r *peer.WatchRequest) (*peer.WatchResponse, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	response := &peer.WatchResponse{Server: address, Version: g.version, Control: g.members}
	if r.Spare || g.version <= r.Version {
		return response, nil
	}
	if g.stuck[address] {
		g.mutex.Unlock()
		<-ctx.Done()
		g.mutex.Lock()
		return nil, ctx.Err()
	}
	g.sent[address]++
	response.Document = &peer.ReplaceDocument{Version: g.version}
	return response, nil
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

// A documentSink is a Sink that applies documents at once.
type documentSink struct {
	mutex   sync.Mutex
	version uint64
}

func (s *documentSink) Request() *peer.WatchRequest { return &peer.WatchRequest{Version: s.held()} }

func (s *documentSink) HandleResponse(response *peer.WatchResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version = max(s.version, response.Document.GetVersion())
}

func (s *documentSink) held() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

func newGroup() *group {
	g := &group{sent: map[string]int{}, stuck: map[string]bool{}}
	for _, a := range []string{"c1", "c2", "c3", "c4", "c5"} {
		g.members = append(g.members, &peer.Replica{Address: a})
	}
	return g
}

func watchGroup(t *testing.T, g *group, timeout time.Duration) *documentSink {
	sink := &documentSink{}
	c := NewClient("", g, sink, event.Nop())
	c.source.timeout = timeout
	c.SetSeeds([]string{"c1", "c2", "c3", "c4", "c5"})
	t.Cleanup(c.Stop)
	return sink
}

func (s *documentSink) await(t *testing.T, version uint64) {
	require.Eventually(t, func() bool { return s.held() == version }, 20*time.Second, time.Millisecond)
}

// TestOnlyOneInstanceSendsDocuments publishes documents one after the other
// at five control instances. Guards against every control instance sending each
// document: a configuration of thousands of routes for many entry instances would
// saturate slow network links.
func TestOnlyOneInstanceSendsDocuments(t *testing.T) {
	g := newGroup()
	// With this timeout, a source that is slow on a busy host is not replaced.
	sink := watchGroup(t, g, time.Hour)
	const versions = 6
	for v := uint64(1); v <= versions; v++ {
		g.set(v)
		sink.await(t, v)
	}
	require.Equal(t, versions, g.documents())
}

// TestStuckSourceIsReplaced has the document source deliver no documents any more
// while it still announces versions.
func TestStuckSourceIsReplaced(t *testing.T) {
	g := newGroup()
	sink := watchGroup(t, g, sourceTimeout)
	g.set(1)
	sink.await(t, 1)
	g.mutex.Lock()
	for address := range g.sent {
		g.stuck[address] = true
	}
	g.version = 2
	g.mutex.Unlock()
	sink.await(t, 2)
}

// TestResponseWithoutDocumentHasVersion polls a server without requesting the
// document.
func TestResponseWithoutDocumentHasVersion(t *testing.T) {
	s, v, _ := newServer(t)
	propose(t, v, 3)
	request := newRequest("e1")
	request.Spare = true
	response := s.Watch(context.Background(), request)
	require.Nil(t, response.Document)
	require.EqualValues(t, 3, response.Version)
}

// TestNewSourceThatDeliversNothing guards against documents that arrive seconds late when a control
// instance loses power (tbhg-riders-large, trouble-2, seed 320337504799): its loop, which had just
// timed out, became the source again shortly before the others could, whose next requests
// were then held although the document was missing.
func TestNewSourceThatDeliversNothing(t *testing.T) {
	c := &Client{logger: event.Nop(), source: documentSource{timeout: sourceTimeout}}
	dead, alive := &pollLoop{client: c, address: "dead"}, &pollLoop{client: c, address: "alive"}
	const held, announced = 16, 20
	c.noteAnnounced(announced)
	spare, _, _ := c.documentRequest(dead, held)
	require.False(t, spare, "there was no source")

	spare, version, wait := c.documentRequest(alive, held)
	require.True(t, spare)
	require.EqualValues(t, announced, version)
	require.Positive(t, wait)
	require.LessOrEqual(t, wait, sourceTimeout)
	time.Sleep(wait)
	spare, version, wait = c.documentRequest(alive, held)
	require.False(t, spare, "it is the source now")
	require.EqualValues(t, held, version)
	require.Zero(t, wait)

	c.noteReceived(announced)
	_, _, wait = c.documentRequest(dead, announced)
	require.Zero(t, wait, "nothing is missing")
}
