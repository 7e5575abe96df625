// Package service is the client of plain services: it passes one call on and
// returns the whole answer.
//
// It owns the choice of headers that pass. The caller's key is not among them.
// It must not choose targets or decide on retries.
//
// # Usage
//
//	client := service.New(dialer, 1<<20)
//	answer, err := client.Call(ctx, address, call)
package service

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"auburnscale/exchange"
)

// A Header represents one header line.
type Header struct {
	name  string
	value string
}

// NewHeader returns the header line.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the header's name.
func (h Header) Name() string { return h.name }

// Value returns the header's value.
func (h Header) Value() string { return h.value }

// A Call represents one request to a plain service.
type Request struct {
	ID      string
	Method  string
	URI     string
	Headers []Header
	Body    []byte
}

// An Answer represents the whole answer to a call.
type Response struct {
	status      int
	contentType string
	body        []byte
}

// NewAnswer returns an answer, as stored for a claimed call.
func NewResponse(status int, contentType string, body []byte) *Response {
	return &Response{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (a *Response) Status() int { return a.status }

// ContentType returns the body's type.
func (a *Response) ContentType() string { return a.contentType }

// Body returns the body.
func (a *Response) Body() []byte { return a.body }

// A Client represents the outgoing side towards plain services. It is safe for
// concurrent use.
type Client struct {
	dialer    *exchange.Dialer
	bodyLimit int
}

// New returns a client that accepts answers of at most bodyLimit bytes.
func New(dialer *exchange.Dialer, bodyLimit int) *Client {
	return &Client{dialer: dialer, bodyLimit: bodyLimit}
}

// Call sends the call once. An error tells through exchange.NotSent whether the
// call can have run.
func (c *Client) Do(ctx context.Context, address string, call Request) (*Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(call.Method)
	request.SetRequestURI(call.URI)
	for _, h := range call.Headers {
		request.Header.Add(h.name, h.value)
	}
	request.Header.Set(exchange.RequestIDHeader, call.ID)
	request.SetBodyRaw(call.Body)
	answer, err := c.dialer.Do(ctx, address, request, c.bodyLimit)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := answer.ReadAll(c.bodyLimit)
	if err != nil {
		return nil, err
	}
	return &Response{status: answer.Status(), contentType: string(answer.Header().ContentType()), body: body}, nil
}

// Passes reports whether a caller's header may reach a target. Keys, cookies
// and headers of the connection itself stay behind.
func ForwardsHeader(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "proxy-authorization", "x-api-key", "cookie", "connection", "keep-alive", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length", "expect", "proxy-connection", "x-request-id":
		return false
	}
	return true
}
