package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// Guards against responses without end, of several peers at once, that an instance keeps until its memory is used up. Small
// responses of others still arrive.
func TestEndlessResponsesOfPeersShareTheirMemory(t *testing.T) {
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for block := make([]byte, 64<<10); r.Context().Err() == nil; {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer endless.Close()
	client := NewClient(netip.MustParseAddr("127.0.0.1"), "the key", nil)
	budget := client.http.Transport.(boundedTransport).budget
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	sound := serveHold(t, nil)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			_, err := client.Peer(endless.Listener.Addr().(*net.TCPAddr).String()).Hold(ctx, &peer.HoldRequest{})
			if err == nil {
				t.Error("a response without end is no response")
			}
		})
	}
	for range 50 {
		_, err := client.Peer(sound).Hold(ctx, &peer.HoldRequest{})
		require.NoError(t, err)
		require.LessOrEqual(t, budget.Used(), int64(maxResponsesBytes))
		time.Sleep(time.Millisecond)
	}
	group.Wait()
	require.NoError(t, ctx.Err())
	require.Zero(t, budget.Used())
}
