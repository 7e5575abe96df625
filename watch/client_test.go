package watch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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

// discardSink sends empty requests and drops the responses.
type discardSink struct{}

// Request implements [Sink].
func (discardSink) Request() *peer.WatchRequest { return &peer.WatchRequest{Incarnation: "e1"} }

// HandleResponse implements [Sink].
func (discardSink) HandleResponse(*peer.WatchResponse) {}

// TestUnreadableIsNotSilent polls a control instance whose responses cannot be encoded, one that is not
// there, and a sound one: the log and the gauges must tell them apart.
func TestUnreadableIsNotSilent(t *testing.T) {
	reported := make(chan []string, 100)
	report := func(method string, fields []string) {
		require.Equal(t, "Watch", method)
		reported <- fields
	}
	poisoned := httptest.NewServer(transport.Handler("", watchFunc{watch: func() (*peer.WatchResponse, error) {
		return &peer.WatchResponse{Server: "\xff"}, nil
	}}, transport.ReportUnencodable(report)))
	defer poisoned.Close()
	sound := httptest.NewServer(transport.Handler("", watchFunc{watch: func() (*peer.WatchResponse, error) {
		return &peer.WatchResponse{Server: "s"}, nil
	}}))
	defer sound.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	client := NewClient("", dialerFunc(func(address string) peer.Peer {
		return peer.NewPeerProtobufClient("http://"+address, http.DefaultClient)
	}), discardSink{}, event.New(zap.NewNop()))
	client.SetSeeds([]string{poisoned.Listener.Addr().String(), sound.Listener.Addr().String(), gone.Listener.Addr().String()})
	defer client.Stop()
	require.Equal(t, []string{"server"}, <-reported)
	require.Eventually(t, func() bool {
		silent, unreadable := client.Failing()
		return silent == 1 && unreadable == 1
	}, 20*time.Second, time.Millisecond)
}

type dialerFunc func(address string) peer.Peer

// Peer implements [Dialer].
func (f dialerFunc) Peer(address string) peer.Peer { return f(address) }
