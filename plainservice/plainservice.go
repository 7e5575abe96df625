// Package plainservice is the client of plain services: it forwards one request and
// returns the whole response.
//
// It decides which of the caller's headers are forwarded. The caller's key is not
// among them. It must not choose targets or decide on retries.
//
// # Usage
//
//	client := plainservice.New(dialer, 1<<20)
//	response, err := client.Do(ctx, address, request)
package plainservice

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

// A Request represents one request to a plain service.
type Request struct {
	ID      string
	Method  string
	URI     string
	Headers []Header
	Body    []byte
}

// A Response represents the whole response to a request.
type Response struct {
	status      int
	contentType string
	body        []byte
}

// NewResponse returns a response with the given contents, such as one that was
// stored for an idempotent request.
func NewResponse(status int, contentType string, body []byte) *Response {
	return &Response{status: status, contentType: contentType, body: body}
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// ContentType returns the body's media type.
func (r *Response) ContentType() string { return r.contentType }

// Body returns the body.
func (r *Response) Body() []byte { return r.body }

// A Client sends requests to plain services. It is safe for concurrent use.
type Client struct {
	dialer           *exchange.Dialer
	maxResponseBytes int
}

// New returns a client that accepts responses of at most maxResponseBytes bytes.
func New(dialer *exchange.Dialer, maxResponseBytes int) *Client {
	return &Client{dialer: dialer, maxResponseBytes: maxResponseBytes}
}

// Do sends the request once. exchange.NotSent tells for a returned error whether the
// request can have run.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.URI)
	for _, h := range r.Headers {
		request.Header.Add(h.name, h.value)
	}
	request.Header.Set(exchange.RequestIDHeader, r.ID)
	request.SetBodyRaw(r.Body)
	response, err := c.dialer.Do(ctx, address, request, c.maxResponseBytes)
	if err != nil {
		return nil, err
	}
	defer response.Close()
	body, err := response.ReadAll(c.maxResponseBytes)
	if err != nil {
		return nil, err
	}
	return &Response{status: response.Status(), contentType: string(response.Header().ContentType()), body: body}, nil
}

// ForwardsHeader reports whether a caller's header may be forwarded to a target. Keys,
// cookies and hop-by-hop headers are not.
func ForwardsHeader(name string) bool {
	switch strings.ToLower(name) {
	case "authorization", "proxy-authorization", "x-api-key", "cookie", "connection", "keep-alive", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length", "expect", "proxy-connection", "x-request-id":
		return false
	}
	return true
}
