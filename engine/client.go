package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"auburnscale/exchange"
	"auburnscale/peer"
)

const (
	// maxReportBytes bounds load reports, cache events and responses to orders.
	maxReportBytes = 4 << 20
	// maxStreamBytes bounds the body of a completion that is not streamed by the library.
	maxStreamBytes  = 64 << 20
	contentTypeJSON = "application/json"
)

// A StatusError represents a response with a status other than 200.
type StatusError struct {
	status     int
	body       string
	retryAfter string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Body returns the start of the response body.
func (e *StatusError) Body() string { return e.body }

// RetryAfter returns the Retry-After header.
func (e *StatusError) RetryAfter() string { return e.retryAfter }

// Error describes the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target returned status %d: %s", e.status, e.body)
}

// A Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	dialer *exchange.Dialer
}

// New returns a client that connects through the dialer.
func New(dialer *exchange.Dialer) *Client { return &Client{dialer: dialer} }

// Complete starts a completion. The stream must be closed; closing it early cancels
// the completion. A status other than 200 is returned as a *StatusError.
func (c *Client) Complete(ctx context.Context, address string, r Request) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(r.Path)
	request.Header.SetContentType(contentTypeJSON)
	request.Header.Set(exchange.RequestIDHeader, r.ID)
	request.Header.Set(PriorityHeader, strconv.Itoa(r.Priority))
	request.SetBodyRaw(r.Body)
	response, err := c.dialer.Do(ctx, address, request, maxStreamBytes)
	if err != nil {
		return nil, err
	}
	if response.Status() != fasthttp.StatusOK {
		defer response.Close()
		return nil, newStatusError(response)
	}
	return newStream(response, r.ResumePosition), nil
}

func newStatusError(response *exchange.OneShotResponse) error {
	const maxQuoted = 512
	body, _ := response.ReadAll(maxReportBytes)
	return &StatusError{
		status: response.Status(), body: peer.Clip(string(body), maxQuoted),
		retryAfter: string(response.Header().Peek(fasthttp.HeaderRetryAfter)),
	}
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	load := &Load{}
	return load, c.get(ctx, address, "/load", load)
}

// CacheEvents fetches the cache events that follow the sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (*CacheEvents, error) {
	events := &CacheEvents{}
	return events, c.get(ctx, address, "/cache/events?after="+strconv.FormatUint(after, 10), events)
}

// Order sends an order with its fencing token and returns the response's status and
// body. An error means that no complete response arrived.
func (c *Client) Order(ctx context.Context, address string, order Order) (int, string, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, "", fmt.Errorf("encode order: %w", err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/orders")
	request.Header.SetContentType(contentTypeJSON)
	request.Header.Set(FencingHeader, strconv.FormatUint(order.Epoch, 10))
	request.SetBodyRaw(body)
	response, err := c.dialer.Do(ctx, address, request, maxReportBytes)
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	text, err := response.ReadAll(maxReportBytes)
	return response.Status(), string(text), err
}

func (c *Client) get(ctx context.Context, address, path string, into any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(path)
	response, err := c.dialer.Do(ctx, address, request, maxReportBytes)
	if err != nil {
		return err
	}
	defer response.Close()
	if response.Status() != fasthttp.StatusOK {
		return newStatusError(response)
	}
	body, err := response.ReadAll(maxReportBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode response to %s from %s: %w", path, address, err)
	}
	return nil
}
