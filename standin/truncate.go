package standin

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// closeConnection closes a connection without a response.
func closeConnection(connection net.Conn) { connection.Close() }

// truncateBody replaces the response by one that declares the full Content-Length,
// sends half of the body and closes the connection.
func truncateBody(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.Response.Body()...)
	id := string(ctx.Request.Header.Peek(requestIDHeader))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) {
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body[:len(body)/2])
		connection.Close()
	})
}
