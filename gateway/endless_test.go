package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/platform/standin"
)

// TestEndlessResponsesEndTruly checks that a response without end is given up after a
// bounded number of bytes, and that the caller is told that the request may have run, or
// that its stream was cut.
func TestEndlessResponsesEndTruly(t *testing.T) {
	const head = standin.EndlessHeader
	const bound = 32 << 20
	for name, test := range map[string]struct {
		head, unit, path string
		headers          []string
	}{
		"header":           {head, "X-More: 1\r\n", "/orders/1", nil},
		"body":             {head + "\r\n", "x", "/orders/1", nil},
		"header of stream": {head, "X-More: 1\r\n", "/streams/1", streamHeaders},
		"event":            {standin.EndlessEvent, "x", "/streams/1", streamHeaders},
		"second event":     {head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: ", "x", "/streams/1", streamHeaders},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			var sent atomic.Int64
			f.targets[0].Script(standin.Endless(test.head, test.unit, &sent))
			response, _ := f.send(http.MethodPost, test.path, test.headers...)
			if response.err == nil {
				require.Equal(t, 502, response.status, response.body)
				require.Contains(t, response.body, `"not_run":false`)
			}
			f.waitFor("the connection to the target is closed", func() bool {
				before := sent.Load()
				time.Sleep(50 * time.Millisecond)
				return sent.Load() == before
			})
			require.Less(t, sent.Load(), int64(bound))
		})
	}
}

// TestSlowStreamIsNotCut checks that a stream whose events come slowly, in pieces, is
// forwarded to its end.
func TestSlowStreamIsNotCut(t *testing.T) {
	f := newFixture(t, 1)
	f.targets[0].SetEvents(12)
	f.targets[0].SetPause(100 * time.Millisecond)
	response, _ := f.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.NoError(t, response.err)
	require.Contains(t, response.body, "piece 12")
}

// TestDrippingStreamEnds checks that a stream of which a byte arrives now and then, but
// never a whole event, ends at the route's timeout, and that the target's run is ended.
func TestDrippingStreamEnds(t *testing.T) {
	f := newFixture(t, 1)
	ended := make(chan struct{})
	f.targets[0].Script(func(target *standin.Target, w http.ResponseWriter, r *http.Request) bool {
		defer close(ended)
		w.Header().Set("X-Server-Stamp", "stamp-"+target.ID())
		for r.Context().Err() == nil {
			fmt.Fprint(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		return true
	})
	response, _ := f.send(http.MethodPost, "/short/1")
	require.Equal(t, 504, response.status)
	require.Contains(t, response.body, `"not_run":false`)
	<-ended
}

// TestDrippingRequestBody checks that a request whose body arrives a byte now and then is
// refused at its route's timeout.
func TestDrippingRequestBody(t *testing.T) {
	f := newFixture(t, 1)
	connection, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer connection.Close()
	fmt.Fprintf(connection, "POST /short/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: drip\r\nAuthorization: Bearer %s\r\nContent-Length: 100000\r\n\r\n", key)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				// An error means that the server has closed the connection.
				_, _ = connection.Write([]byte("x"))
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, 408, response.StatusCode)
	require.True(t, response.Close)
	require.Zero(t, f.runs("drip"))
}
