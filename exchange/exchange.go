// Package exchange sends HTTP requests and reads their responses. It never sends
// a request twice.
//
// The package owns the outgoing connections to targets and to the platform.
// Pooled HTTP clients retry a request when a kept-alive connection closes during
// it, some even a POST. Here no request is retried, and an error says whether any
// byte of the request can have been sent. [Dialer.Do] opens a connection for each
// request and closes it afterwards, so a late response cannot reach another
// request. [Dialer.Send] may reuse an idle connection, and recognizes late responses
// by their request id. The package must not import anything that knows what a
// request means.
//
// # Usage
//
//	dialer := exchange.NewDialer(localIP)
//	response, err := dialer.Do(ctx, "10.0.0.9:8000", request, bodyLimit)
//	defer response.Close()
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/account"
	"auburnscale/tcp"
)

const (
	oneShotBufferBytes = 16 << 10
	// RequestIDHeader carries the request id, which a target echoes.
	RequestIDHeader = "X-Request-Id"
)

// An Error is the failure of an exchange: one request and its response.
type Error struct {
	sent bool
	err  error
}

// Sent reports whether any byte of the request can have reached the peer.
func (e *Error) Sent() bool { return e.sent }

// Error returns the message of the cause.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// NotSent reports whether err is an [Error] of an exchange of which no byte can
// have been sent.
func NotSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && !failed.sent
}

// ConnectTimedOut reports whether err is a connection attempt that timed out: the
// address neither accepted nor refused it.
func ConnectTimedOut(err error) bool {
	var timeout net.Error
	return NotSent(err) && errors.As(err, &timeout) && timeout.Timeout()
}

// ConnectionEnded reports whether err is the end of a connection by the peer after the request
// was sent, before the response was complete.
func ConnectionEnded(err error) bool {
	return !NotSent(err) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// Errors of an exchange, besides network errors.
var (
	// ErrMismatched means that the response does not echo the request id.
	ErrMismatched = errors.New("response does not carry the request id")
	// ErrTruncated means that the body is not as long as its Content-Length says.
	ErrTruncated = errors.New("response body differs in length from its Content-Length")
)

// A Dialer opens the outgoing connections of one instance and keeps idle ones for
// reuse. It is safe for concurrent use.
type Dialer struct {
	net     *net.Dialer
	idle    idlePool
	buffers *account.Budget
	// account holds the memory of bodies that are read in full. It may be nil.
	account *account.Account
	// onResponse, if not nil, is called for the header of each response of Do.
	onResponse func(address string, header *fasthttp.ResponseHeader, took time.Duration)
	// onDropped, if not nil, is called for each idle connection that a target
	// dropped without closing it.
	onDropped func(address string, idle, limit time.Duration)
}

// NewDialer returns a Dialer whose connections use the local IP address.
func NewDialer(local netip.Addr) *Dialer {
	return &Dialer{net: tcp.Dialer(local), buffers: account.NewBudget(maxBufferedBytes)}
}

// SetAccount sets the account that bodies which are read in full are reserved from. It must be called before the
// first exchange.
func (d *Dialer) SetAccount(a *account.Account) { d.account = a }

// OnDropped sets a function that is called when a target turns out to have
// dropped an idle connection. The function gets the target's address, how long
// the connection was idle, and the idle time to which reuse is limited for a
// while. OnDropped must be called before the first exchange.
func (d *Dialer) OnDropped(f func(address string, idle, limit time.Duration)) { d.onDropped = f }

// OnResponse sets a function that is called with the header of each response that Do returns,
// the address that it came from and the time since the request was sent. It must be called
// before the first exchange.
func (d *Dialer) OnResponse(f func(address string, header *fasthttp.ResponseHeader, took time.Duration)) {
	d.onResponse = f
}

// A OneShotResponse is a response on a connection of its own, whose body may
// still be arriving. It must be closed.
type OneShotResponse struct {
	dialer     *Dialer
	connection net.Conn
	response   *fasthttp.Response
	body       io.Reader
	// kept counts the bytes that are reserved until the response is closed.
	kept int64
	stop func() bool
	once sync.Once
}

// Do sends the request over a new connection and reads the header of the
// response. It fails if the body is longer than limit bytes, or if the request
// has a request id and the response does not echo it ([ErrMismatched]). The end
// of the context closes the connection, even while the body is being read.
func (d *Dialer) Do(ctx context.Context, address string, request *fasthttp.Request, limit int) (*OneShotResponse, error) {
	connection, err := d.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	resp := &OneShotResponse{dialer: d, connection: connection, response: fasthttp.AcquireResponse()}
	resp.stop = context.AfterFunc(ctx, func() { connection.Close() })
	sent := time.Now()
	if err := resp.exchange(request, address, limit); err != nil {
		resp.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{sent: true, err: err}
	}
	if d.onResponse != nil {
		d.onResponse(address, resp.Header(), time.Since(sent))
	}
	return resp, nil
}

func (resp *OneShotResponse) exchange(request *fasthttp.Request, address string, limit int) error {
	request.Header.SetHost(address)
	request.SetConnectionClose()
	writer := bufio.NewWriter(resp.connection)
	if err := request.Write(writer); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	resp.response.StreamBody = true
	resp.response.SkipBody = request.Header.IsHead()
	reader := bufio.NewReaderSize(resp.connection, oneShotBufferBytes)
	if err := skipInterim(reader); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if err := resp.response.ReadLimitBody(reader, limit); err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	sent := request.Header.Peek(RequestIDHeader)
	if len(sent) > 0 && string(sent) != string(resp.response.Header.Peek(RequestIDHeader)) {
		return ErrMismatched
	}
	resp.body = resp.response.BodyStream()
	if resp.body == nil {
		resp.body = bytes.NewReader(resp.response.Body())
	}
	return nil
}

// Status returns the HTTP status code.
func (resp *OneShotResponse) Status() int { return resp.response.StatusCode() }

// Header returns the header of the response.
func (resp *OneShotResponse) Header() *fasthttp.ResponseHeader { return &resp.response.Header }

// Body returns the body. A body that is cut short ends with an error other than
// io.EOF.
func (resp *OneShotResponse) Body() io.Reader { return resp.body }

// Keep reserves n bytes of memory until the response is closed. It fails with [ErrBuffersFull] if all responses
// together hold too much.
func (resp *OneShotResponse) Keep(n int) error {
	if !resp.dialer.buffers.Reserve(resp.kept, int64(n)) {
		return ErrBuffersFull
	}
	resp.kept += int64(n)
	return nil
}

// A keptBody is the body of a response, whose bytes are kept until that is closed.
type keptBody struct{ response *OneShotResponse }

// Read implements [io.Reader].
func (b keptBody) Read(p []byte) (int, error) {
	n, err := b.response.body.Read(p)
	if n > 0 {
		if full := b.response.Keep(n); full != nil {
			return 0, full
		}
	}
	return n, err
}

// ReadAll reads the rest of the body. It fails if that is longer than limit bytes
// or if the body is cut short.
func (resp *OneShotResponse) ReadAll(limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(keptBody{resp}, int64(limit)+1))
	if err != nil {
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", err)}
	}
	if len(data) > limit {
		return nil, &Error{sent: true, err: fmt.Errorf("response body exceeds the limit of %d bytes", limit)}
	}
	if length := resp.response.Header.ContentLength(); length >= 0 && !resp.response.SkipBody && length != len(data) {
		return nil, &Error{sent: true, err: ErrTruncated}
	}
	return data, nil
}

// Close closes the connection, which cancels the request if the target still runs
// it.
func (resp *OneShotResponse) Close() {
	resp.once.Do(func() {
		resp.stop()
		resp.connection.Close()
		resp.dialer.buffers.Release(resp.kept)
	})
}
