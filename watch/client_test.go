package watch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/transport"
)

// watchFunc implements only Watch of the peer protocol.
type watchFunc struct {
	peer.Peer
	watch func() (*peer.WatchResponse, error)
}

// Watch implements [peer.Peer].
func (w watchFunc) Watch(context.Context, *peer.WatchRequest) (*peer.WatchResponse, error) {
	return w.watch()
}

// recordingSink sends empty requests and keeps the responses.
type recordingSink struct{ responses chan *peer.WatchResponse }

// Request implements [Sink].
func (recordingSink) Request() *peer.WatchRequest { return &peer.WatchRequest{Incarnation: "e1"} }

// HandleResponse implements [Sink].
func (s recordingSink) HandleResponse(response *peer.WatchResponse) {
	select {
	case s.responses <- response:
	default:
	}
}

func serveWatch(t *testing.T, report transport.TextReport, watch func() (*peer.WatchResponse, error)) (address string) {
	server := httptest.NewServer(transport.Handler("", watchFunc{watch: watch}, report))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func pollAll(t *testing.T, addresses ...string) (*Client, recordingSink) {
	sink := recordingSink{make(chan *peer.WatchResponse, 1)}
	client := NewClient("", transport.NewClient(netip.MustParseAddr("127.0.0.1"), "", nil), sink, event.Nop())
	client.SetSeeds(addresses)
	t.Cleanup(client.Stop)
	return client, sink
}

// TestUnreadableIsNotSilent polls a control instance that responds with an error, one that responds with
// bytes that are no message, one that is not there, and a sound one: the gauges must distinguish them.
func TestUnreadableIsNotSilent(t *testing.T) {
	ignore := func(string, []string) {}
	failing := serveWatch(t, ignore, func() (*peer.WatchResponse, error) { return nil, twirp.InternalError("cannot be encoded") })
	sound := serveWatch(t, ignore, func() (*peer.WatchResponse, error) { return &peer.WatchResponse{Server: "s"}, nil })
	garbled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("\x0a\x02\xff\xfe")) }))
	t.Cleanup(garbled.Close)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	client, _ := pollAll(t, failing, sound, garbled.Listener.Addr().String(), gone.Listener.Addr().String())
	require.Eventually(t, func() bool {
		silent, unreadable := client.Failing()
		return silent == 1 && unreadable == 2
	}, 20*time.Second, time.Millisecond)
}

// Guards against one row that cannot be encoded and costs the whole response of a control instance.
func TestUnencodableRowIsLeftOut(t *testing.T) {
	reported := make(chan []string, 100)
	address := serveWatch(t, func(method string, fields []string) {
		require.Equal(t, "Watch", method)
		select {
		case reported <- fields:
		default:
		}
	}, func() (*peer.WatchResponse, error) {
		return &peer.WatchResponse{Server: "s\xff", Rows: []*peer.TargetRow{{Id: "a"}, {Id: "i-\xff"}, {Id: "b"}}, Document: &peer.ReplaceDocument{Version: 7}}, nil
	})
	_, sink := pollAll(t, address)
	response := <-sink.responses
	require.Equal(t, []string{"server", "rows[1].id"}, <-reported)
	require.Equal(t, "s", response.Server)
	require.Len(t, response.Rows, 2)
	require.EqualValues(t, 7, response.Document.Version)
}
