package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/catalog"
)

// requireNoSuccess requires that the response is no success, since no target has answered.
func requireNoSuccess(t *testing.T, response callerResponse) {
	t.Helper()
	if response.err == nil {
		require.GreaterOrEqual(t, response.status, http.StatusBadRequest)
	}
}

// Guards against an empty 200 for callers that have closed their sending side and wait for the response.
func TestHalfClosedCallersGetNoEmptySuccess(t *testing.T) {
	for _, path := range []string{"/orders/1", "/reads/1", "/streams/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, 1)
			t.Cleanup(f.targets[0].Hold())
			c := f.stopClient()
			c.write(rawRequest("POST", path, "half"))
			f.waitFor("the target has the request", func() bool { return f.runs("half") == 1 })
			require.NoError(t, c.connection.(*net.TCPConn).CloseWrite())
			response := c.read()
			require.NoError(t, response.err)
			require.Equal(t, http.StatusBadGateway, response.status)
			require.Contains(t, response.body, `"not_run":false`)
			require.Equal(t, "half", response.header.Get("X-Request-Id"))
		})
	}
	t.Run("before the configuration", func(t *testing.T) {
		f := newFixture(t, 1)
		f.state.set(nil)
		c := f.stopClient()
		c.write("GET /reads/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: early\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + key + "\r\n\r\n")
		f.waitFor("the request waits", func() bool { return f.server.OpenRequests() == 1 })
		require.NoError(t, c.connection.(*net.TCPConn).CloseWrite())
		response := c.read()
		require.NoError(t, response.err)
		require.Equal(t, http.StatusServiceUnavailable, response.status)
	})
}

// Guards against an empty 200 for requests that wait for the configuration beyond the time of their route (review/7):
// a read deadline that had passed ended net/http's read behind a request, and with it the contexts of all requests on the
// connection.
func TestConfigurationAfterTheRoutesTime(t *testing.T) {
	const callers = 100
	for method, body := range map[string]string{http.MethodGet: "", http.MethodPost: "order one"} {
		t.Run(method, func(t *testing.T) {
			f := newFixture(t, 1)
			late, findings := catalog.New(configuration())
			require.NoError(t, findings.Err())
			f.state.set(nil)
			request := func(id, path string) string {
				return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, key, len(body), body)
			}
			var clients []*stopClient
			for n := range callers {
				clients = append(clients, f.stopClient())
				clients[n].write(request(fmt.Sprint("late", n), "/short/1"))
			}
			f.waitFor("the requests wait", func() bool { return f.server.OpenRequests() == callers })
			time.Sleep(350 * time.Millisecond)
			f.state.set(late)
			for n, c := range clients {
				response := c.read()
				require.NoError(t, response.err)
				require.Equal(t, http.StatusServiceUnavailable, response.status)
				require.Contains(t, response.body, `"not_run":true`)
				c.write(request(fmt.Sprint("next", n), "/orders/1"))
				require.Equal(t, http.StatusOK, c.read().status, "the next request on the connection")
			}
		})
	}
}

// Guards against the 200 that net/http gives to OPTIONS *, behind which the next request was refused.
func TestOptionsOfTheServerAreNotAnswered(t *testing.T) {
	f := newFixture(t, 1)
	c := f.stopClient()
	c.write("OPTIONS * HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	requireNoSuccess(t, c.read())
	c.write(rawRequest("POST", "/orders/1", "next"))
	require.Equal(t, http.StatusOK, c.read().status)
}

// Guards against the end of a planned stop that cancels requests without a body as if their callers had left.
func TestStopAnswersRequestsWithoutBody(t *testing.T) {
	f := newFixtureWith(t, 1, fixtureOptions{stopNotice: 50 * time.Millisecond, stopTimeout: 1500 * time.Millisecond})
	f.state.set(nil)
	c := f.stopClient()
	c.write("GET /reads/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: s\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer " + key + "\r\n\r\n")
	f.waitFor("the request waits", func() bool { return f.server.OpenRequests() == 1 })
	f.server.Stop()
	response := c.read()
	require.NoError(t, response.err)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
}
