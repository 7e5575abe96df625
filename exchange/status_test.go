package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a status that is none of HTTP, which reached callers as an answer, or was waited out until the deadline.
func TestBadStatusIsNoResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			t.Run(line+fmt.Sprint(", interim ", interim != ""), func(t *testing.T) {
				s := newScriptedTarget(t, func(c net.Conn, n int64, id string) {
					if id == "kept" {
						fmt.Fprint(c, okResponse(id, "first"))
						return
					}
					fmt.Fprintf(c, "%s%s\r\nX-Request-Id: %s\r\nX-Server-Stamp: s\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok", interim, line, id)
				})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				d := dialer()
				for _, kept := range []bool{false, true} {
					if kept {
						_, err := sendRequest(t, d, s, "kept", false)
						require.NoError(t, err)
					}
					_, err := d.Send(ctx, s.listener.Addr().String(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{RequestIDHeader: {"r1"}}})
					require.Error(t, err)
					require.False(t, NotSent(err))
				}
				request := fasthttp.AcquireRequest()
				defer fasthttp.ReleaseRequest(request)
				request.SetRequestURI("/")
				request.Header.Set(RequestIDHeader, "r1")
				_, err := d.Do(ctx, s.listener.Addr().String(), request, 1<<10)
				require.Error(t, err)
				require.False(t, NotSent(err))
				require.NoError(t, ctx.Err(), "given up at once")
			})
		}
	}
}
