package standin

import (
	"fmt"
	"net"
	"strings"

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

// respondRaw writes the bytes as the response, with {id} replaced by the request id, and closes the connection.
func respondRaw(ctx *fasthttp.RequestCtx, response string) {
	response = strings.ReplaceAll(response, "{id}", string(ctx.Request.Header.Peek(requestIDHeader)))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) {
		fmt.Fprint(connection, response)
		connection.Close()
	})
}

// nextResumeResponse returns the next of the configured responses to requests to resume, if one is left.
func (e *Engine) nextResumeResponse() (string, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	left := e.config.Faults.ResumeResponses
	if len(left) == 0 {
		return "", false
	}
	e.config.Faults.ResumeResponses = left[1:]
	return left[0], true
}
