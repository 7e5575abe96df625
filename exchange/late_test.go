package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A refusalRepeater refuses the first request, and writes the refusal again, or a part of it, before its
// response to the second one.
type refusalRepeater struct {
	// name is the id that the refusal carries: none, or that of the first request.
	name string
	// status is the status line of the refusal without the version.
	status string
	// cut is how much of the refusal is written again, -1 for all of it.
	cut int
	// apart writes it some time before the response, which then comes in another read.
	apart bool

	mutex    sync.Mutex
	requests int
	ran      map[string]bool
}

func (f *refusalRepeater) refusal(id string) string {
	line := ""
	if id != "" {
		line = "X-Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 " + f.status + "\r\n" + line + "X-Not-Executed: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfull"
}

func (f *refusalRepeater) respond(c net.Conn, _ int64, id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests++
	if f.requests == 1 {
		fmt.Fprint(c, f.refusal(id))
		return
	}
	f.ran[id] = true
	named := map[string]string{"none": "", "first": "r1"}[f.name]
	again := f.refusal(named)
	if f.cut >= 0 {
		again = again[:f.cut]
	}
	if f.apart {
		fmt.Fprint(c, again)
		time.Sleep(time.Millisecond)
		again = ""
	}
	fmt.Fprint(c, again+okResponse(id, "response to "+id))
}

// Guards against an earlier refusal that a target writes again on a kept connection, complete or cut, with
// or without a request id, and that is taken for the refusal of a request which runs.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	const all = -1
	for _, name := range []string{"none", "first"} {
		for _, status := range []string{"503 Service Unavailable", "400 Bad Request", "429 Too Many Requests", "421 Misdirected Request"} {
			whole := len((&refusalRepeater{status: status}).refusal("r1"))
			if name == "none" {
				whole = len((&refusalRepeater{status: status}).refusal(""))
			}
			for cut := all; cut < whole; cut++ {
				for _, apart := range []bool{false, true} {
					if apart && cut%7 != 0 {
						continue
					}
					checkRepeatedRefusal(t, &refusalRepeater{name: name, status: status, cut: cut, apart: apart, ran: map[string]bool{}})
				}
			}
		}
	}
}

func checkRepeatedRefusal(t *testing.T, f *refusalRepeater) {
	what := fmt.Sprintf("id %s, %s, cut at %d, apart %v", f.name, f.status, f.cut, f.apart)
	s := newScriptedTarget(t, f.respond)
	defer s.listener.Close()
	d := dialer()
	first, err := d.Send(context.Background(), s.listener.Addr().String(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{RequestIDHeader: {"r1"}}})
	require.NoError(t, err, what)
	_, err = first.ReadAll(100)
	require.NoError(t, err, what)
	require.NotEqual(t, http.StatusOK, first.Status())
	first.Close()
	second, err := d.Send(context.Background(), s.listener.Addr().String(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{RequestIDHeader: {"r2"}}})
	require.EqualValues(t, 1, s.connections.Load(), what)
	if err != nil {
		require.False(t, NotSent(err), what)
		return
	}
	defer second.Close()
	body, err := second.ReadAll(100)
	require.Equal(t, http.StatusOK, second.Status(), what)
	if err == nil {
		require.Equal(t, "response to r2", string(body), what)
	}
	require.True(t, f.cut != -1 || f.name != "first" || err == nil, "a complete late refusal with its id is skipped: %s", what)
}

// TestRequestWithoutIDGetsItsOwnConnection has a target repeat a response that names no request.
func TestRequestWithoutIDGetsItsOwnConnection(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, n int64, _ string) {
		response := strings.Replace(okResponse("", fmt.Sprint("response ", n)), "X-Request-Id: \r\n", "", 1)
		fmt.Fprint(c, response)
		time.Sleep(time.Millisecond)
	})
	d := dialer()
	for n := range 3 {
		response, err := d.Send(context.Background(), s.listener.Addr().String(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, err)
		body, err := response.ReadAll(100)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("response ", n+1), string(body))
		response.Close()
	}
	require.EqualValues(t, 3, s.connections.Load())
}

// TestRequestIsNotSentAgainOnItsConnection sends a request again to the target that refused it, which repeats the
// refusal: it must get a connection on which no late response can have its id.
func TestRequestIsNotSentAgainOnItsConnection(t *testing.T) {
	s := newScriptedTarget(t, func(c net.Conn, n int64, id string) {
		if n == 1 {
			fmt.Fprint(c, strings.Replace(okResponse(id, "no"), "200 OK", "503 Service Unavailable", 1))
			return
		}
		fmt.Fprint(c, okResponse(id, fmt.Sprint("response ", n)))
	})
	d := dialer()
	for n, id := range []string{"a", "a", "b", "c", "a", "b"} {
		body, err := sendRequest(t, d, s, id, false)
		require.NoError(t, err)
		if n > 0 {
			require.Equal(t, fmt.Sprint("response ", n+1), body)
		}
	}
	// a, a | b and c on the second, which became idle last | a and b have been on both.
	require.EqualValues(t, 3, s.connections.Load())
	for n := range 2 * maxCarried {
		_, err := sendRequest(t, d, s, fmt.Sprint("x", n), false)
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, s.connections.Load())
}
