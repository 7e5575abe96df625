// Package exchange sends one HTTP request over one connection and reads its
// answer, and never does either twice.
//
// It owns outgoing connections to targets and the platform. HTTP client pools
// repeat a request when a kept-alive connection closes under it, some even a
// POST; here every exchange has a connection of its own, which is closed after
// it. So an answer that comes late has nowhere to go but its own request, and an
// error says whether any byte of the request can have left. It must not import
// anything that knows what the request means.
//
// # Usage
//
//	dialer := exchange.NewDialer(localIP)
//	answer, err := dialer.Do(ctx, "10.0.0.9:8000", request, bodyLimit)
//	defer answer.Close()
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
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/bind"
)

const (
	readBuffer = 16 << 10
	// RequestIDHeader names the request; a target echoes it.
	RequestIDHeader = "X-Request-Id"
)

// An Error represents an exchange that failed.
type Error struct {
	sent bool
	err  error
}

// Sent reports whether a byte of the request can have reached the other side.
func (e *Error) Sent() bool { return e.sent }

// Error returns the cause.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// NotSent reports whether err is an exchange of which no byte can have left.
func NotSent(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && !failed.sent
}

// Unanswered reports whether err is a connection that nobody answered, neither
// by taking nor by refusing it.
func ConnectTimedOut(err error) bool {
	var timeout net.Error
	return NotSent(err) && errors.As(err, &timeout) && timeout.Timeout()
}

// Errors that an exchange can fail with, besides those of the network.
var (
	ErrMismatched = errors.New("the answer names another request")
	ErrTruncated     = errors.New("the answer is cut")
)

// A Dialer represents the outgoing side of one instance. It is safe for
// concurrent use.
type Dialer struct {
	net  *net.Dialer
	kept kept
	// dropped, if not nil, is told of idle connections that targets dropped.
	dropped func(address string, idle, limit time.Duration)
}

// NewDialer returns a dialer whose connections come from the local IP number.
func NewDialer(local netip.Addr) *Dialer {
	return &Dialer{net: bind.Dialer(local)}
}

// OnDropped has f called when a connection that was idle for a time turns out to
// be dropped by its target, with the idle time that is used for a while. It must
// be set before the first exchange.
func (d *Dialer) OnDropped(f func(address string, idle, limit time.Duration)) { d.dropped = f }

// An Answer represents an answer whose body is still being read.
type OneShotResponse struct {
	connection net.Conn
	response   *fasthttp.Response
	body       io.Reader
	stop       func() bool
	once       sync.Once
}

// Do sends the request and reads the answer's header. The body of more than
// limit bytes is an error. The context's end closes the connection, also while
// the body is read. A request id in the request must be echoed.
func (d *Dialer) Do(ctx context.Context, address string, request *fasthttp.Request, limit int) (*OneShotResponse, error) {
	connection, err := d.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	a := &OneShotResponse{connection: connection, response: fasthttp.AcquireResponse()}
	a.stop = context.AfterFunc(ctx, func() { connection.Close() })
	if err := a.exchange(request, address, limit); err != nil {
		a.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{sent: true, err: err}
	}
	return a, nil
}

func (a *OneShotResponse) exchange(request *fasthttp.Request, address string, limit int) error {
	request.Header.SetHost(address)
	request.SetConnectionClose()
	writer := bufio.NewWriter(a.connection)
	if err := request.Write(writer); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	a.response.StreamBody = true
	a.response.SkipBody = request.Header.IsHead()
	if err := a.response.ReadLimitBody(bufio.NewReaderSize(a.connection, readBuffer), limit); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	sent := request.Header.Peek(RequestIDHeader)
	if len(sent) > 0 && string(sent) != string(a.response.Header.Peek(RequestIDHeader)) {
		return ErrMismatched
	}
	a.body = a.response.BodyStream()
	if a.body == nil {
		a.body = bytes.NewReader(a.response.Body())
	}
	return nil
}

// Status returns the HTTP status.
func (a *OneShotResponse) Status() int { return a.response.StatusCode() }

// Header returns the answer's header.
func (a *OneShotResponse) Header() *fasthttp.ResponseHeader { return &a.response.Header }

// Body returns the body. A body that ends before its announced end fails with
// an error other than io.EOF.
func (a *OneShotResponse) Body() io.Reader { return a.body }

// ReadAll reads the rest of the body.
func (a *OneShotResponse) ReadAll(limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a.body, int64(limit)+1))
	if err != nil {
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", err)}
	}
	if len(data) > limit {
		return nil, &Error{sent: true, err: fmt.Errorf("the body is over the limit of %d bytes", limit)}
	}
	if length := a.response.Header.ContentLength(); length >= 0 && !a.response.SkipBody && length != len(data) {
		return nil, &Error{sent: true, err: ErrTruncated}
	}
	return data, nil
}

// Close closes the connection, which cancels what the target still does.
func (a *OneShotResponse) Close() {
	a.once.Do(func() {
		a.stop()
		a.connection.Close()
	})
}
