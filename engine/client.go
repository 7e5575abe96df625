package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"auburnscale/exchange"
)

const (
	// maxReportBytes bounds load reports, cache events and order answers.
	maxReportBytes = 4 << 20
	// maxStreamBytes bounds a whole completion stream.
	maxStreamBytes = 64 << 20
	jsonType       = "application/json"
)

// A StatusError represents an answer other than 200. The engine has not started
// the work if NotStarted is true.
type StatusError struct {
	status     int
	body       string
	retryAfter string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Body returns the start of the answer's body.
func (e *StatusError) Body() string { return e.body }

// RetryAfter returns the Retry-After header.
func (e *StatusError) RetryAfter() string { return e.retryAfter }

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the target answered %d: %s", e.status, e.body)
}

// A Client represents the outgoing side towards engines. It is safe for
// concurrent use.
type Client struct {
	dialer *exchange.Dialer
}

// New returns a client over the dialer.
func New(dialer *exchange.Dialer) *Client { return &Client{dialer: dialer} }

// Complete starts a completion. The stream must be closed; closing it early
// cancels the completion.
func (c *Client) Complete(ctx context.Context, address string, r Request) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(r.Path)
	request.Header.SetContentType(jsonType)
	request.Header.Set(exchange.RequestIDHeader, r.ID)
	request.Header.Set(PriorityHeader, strconv.Itoa(r.Priority))
	request.SetBodyRaw(r.Body)
	answer, err := c.dialer.Do(ctx, address, request, maxStreamBytes)
	if err != nil {
		return nil, err
	}
	if answer.Status() != fasthttp.StatusOK {
		defer answer.Close()
		return nil, statusError(answer)
	}
	return newStream(answer, r.ResumeAt), nil
}

func statusError(answer *exchange.OneShotResponse) error {
	const maxQuoted = 512
	body, _ := answer.ReadAll(maxReportBytes)
	return &StatusError{
		status: answer.Status(), body: string(body[:min(len(body), maxQuoted)]),
		retryAfter: string(answer.Header().Peek(fasthttp.HeaderRetryAfter)),
	}
}

// Load asks for the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	load := &Load{}
	return load, c.get(ctx, address, "/load", load)
}

// CacheEvents asks for the cache events behind the sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (*CacheEvents, error) {
	events := &CacheEvents{}
	return events, c.get(ctx, address, "/cache/events?after="+strconv.FormatUint(after, 10), events)
}

// Order sends an order with its fencing number and returns the answer's status
// and body. An error means that no answer came.
func (c *Client) Order(ctx context.Context, address string, order Order) (int, string, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, "", fmt.Errorf("encode order: %w", err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("/orders")
	request.Header.SetContentType(jsonType)
	request.Header.Set(FencingHeader, strconv.FormatUint(order.Epoch, 10))
	request.SetBodyRaw(body)
	answer, err := c.dialer.Do(ctx, address, request, maxReportBytes)
	if err != nil {
		return 0, "", err
	}
	defer answer.Close()
	text, err := answer.ReadAll(maxReportBytes)
	return answer.Status(), string(text), err
}

func (c *Client) get(ctx context.Context, address, path string, into any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(path)
	answer, err := c.dialer.Do(ctx, address, request, maxReportBytes)
	if err != nil {
		return err
	}
	defer answer.Close()
	if answer.Status() != fasthttp.StatusOK {
		return statusError(answer)
	}
	body, err := answer.ReadAll(maxReportBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode %s of %s: %w", path, address, err)
	}
	return nil
}
