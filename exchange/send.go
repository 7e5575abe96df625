package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Request is a request to a target. Its URI and body are forwarded byte for
// byte.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a new connection. A target may close a reused one
	// just as the request arrives, and then it is unknown whether the request ran.
	NewConnection bool
	// Retryable says that the request can be sent again. It may then use a
	// connection that was idle for long.
	Retryable bool
}

// A Response is a target's response whose body may still be arriving. The target
// delimits the body by a Content-Length, by chunked encoding or by closing the
// connection. A Response must be closed.
type Response struct {
	dialer   *Dialer
	address  string
	line     *line
	response *http.Response
	body     wholeBody
	stop     func() bool
	written  chan error
	keep     time.Duration
	once     sync.Once
}

// wholeBody is a body that records whether it was read to its end.
type wholeBody struct {
	io.Reader
	whole bool
}

// Read reads from the body. It implements [io.Reader].
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

const (
	// connectTimeout bounds the wait for a connection to a target. Connecting takes
	// milliseconds, so that one that takes longer had better go to another target.
	connectTimeout = 150 * time.Millisecond
	replyBuffer    = 4 << 10
	// inlineBody is the largest body that is written before the response is read.
	// A longer one is written concurrently with reading the response, since a
	// target may respond before it has read the whole body.
	inlineBody = 2 << 10
)

// Send sends the request to the address and reads the header of the response. It
// reuses an idle connection if there is a suitable one. The end of the context
// closes the connection, even while the body is being read. Errors are of type
// [*Error]; the request is never retried.
func (d *Dialer) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	l, err := d.connect(ctx, address, r)
	if err != nil {
		return nil, &Error{err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	p := &Response{dialer: d, address: address, line: l, written: make(chan error, 1)}
	p.stop = context.AfterFunc(ctx, func() { l.Close() })
	sent := time.Now()
	err = p.exchange(r)
	if l.used {
		d.noteKept(ctx, address, l, err, time.Since(sent))
	}
	if err != nil {
		p.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{sent: true, err: err}
	}
	return p, nil
}

// dropShows bounds the time after which sending over a dropped connection fails:
// about one round trip. A later failure means that the target failed during the
// request.
const dropShows = 25 * time.Millisecond

// noteKept records the outcome of an exchange over a reused connection. took is
// the time until the header of the response or the failure.
func (d *Dialer) noteKept(ctx context.Context, address string, l *line, err error, took time.Duration) {
	switch {
	case err == nil:
		d.kept.worked(l.idle)
	case ctx.Err() == nil && took < dropShows && l.idle > leastIdle && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)):
		limit := d.kept.dropped(l.idle, time.Now())
		if d.dropped != nil {
			d.dropped(address, l.idle, limit)
		}
	}
}

// connect returns an idle connection for the request, or a new one.
func (d *Dialer) connect(ctx context.Context, address string, r *Request) (*line, error) {
	now := time.Now()
	d.kept.sweep(now)
	if !r.NewConnection {
		if l := d.kept.take(address, r.Retryable, now); l != nil {
			return l, nil
		}
	}
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	connection, err := d.net.DialContext(dialing, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &line{Conn: connection, reader: bufio.NewReaderSize(connection, replyBuffer)}, nil
}

// maxLate bounds the responses that are read for one request: interim ones, late
// ones to earlier requests, and its own.
const maxLate = 3

// exchange writes the request and reads the header of its response, skipping
// interim responses and late ones to earlier requests.
func (p *Response) exchange(r *Request) error {
	if len(r.Body) > inlineBody {
		go p.runWrite(r)
	} else {
		err := r.write(p.line)
		if err != nil {
			return fmt.Errorf("send request: %w", err)
		}
		p.written <- nil
	}
	for range maxLate {
		response, err := http.ReadResponse(p.line.reader, &http.Request{Method: r.Method})
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		late, err := p.isLate(r, response)
		if err != nil {
			return err
		}
		if !late {
			p.response = response
			p.body.Reader = response.Body
			p.keep = keepOf(response)
			return nil
		}
	}
	return ErrMismatched
}

// isLate reports whether the response belongs to an earlier request on the same
// connection, and discards its body in that case. An error response without a
// request id is taken for the request's own, since a target may reject a request
// before it has read the id.
func (p *Response) isLate(r *Request, response *http.Response) (bool, error) {
	sent := r.Header.Get(RequestIDHeader)
	got := response.Header.Get(RequestIDHeader)
	if got == sent || got == "" && response.StatusCode >= http.StatusBadRequest {
		return false, nil
	}
	if !p.line.used || got == "" {
		return false, ErrMismatched
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, fmt.Errorf("discard late response: %w", err)
	}
	return true, nil
}

// keepOf returns the keep-alive time that the target announces, 0 if it announces
// none, or a negative time if it closes the connection.
func keepOf(response *http.Response) time.Duration {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return -1
	}
	var seconds int
	_, value, found := strings.Cut(response.Header.Get("Keep-Alive"), "timeout=")
	if !found {
		value = response.Header.Get("Keep-Alive")
	}
	// On a parse error seconds stays 0: no announced keep-alive time.
	_, _ = fmt.Sscanf(value, "%d", &seconds)
	return time.Duration(seconds) * time.Second
}

// runWrite writes a request with a long body while the response is awaited. It
// needs no error handling of its own: after a failed write no response arrives.
func (p *Response) runWrite(r *Request) { p.written <- r.write(p.line) }

// write sends the request in a single write, so that a small one fits one packet.
func (r *Request) write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := w.Write(b.Bytes())
	return err
}

// Status returns the HTTP status code.
func (p *Response) Status() int { return p.response.StatusCode }

// Header returns the header of the response.
func (p *Response) Header() http.Header { return p.response.Header }

// Length returns the announced length of the body in bytes, or -1 if it is
// unknown.
func (p *Response) Length() int64 { return p.response.ContentLength }

// Framed reports whether the body is delimited by a Content-Length or by chunked
// encoding, as opposed to by the end of the connection.
func (p *Response) Framed() bool {
	return p.response.ContentLength >= 0 || len(p.response.TransferEncoding) > 0
}

// Body returns the body. A body that is cut short ends with an error other than
// io.EOF.
func (p *Response) Body() io.Reader { return &p.body }

// ReadAll reads the rest of the body. It fails if that is longer than limit bytes
// or if the body is cut short.
func (p *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(&p.body, limit+1))
	if err != nil {
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", err)}
	}
	if int64(len(data)) > limit {
		return nil, &Error{sent: true, err: fmt.Errorf("response body exceeds the limit of %d bytes", limit)}
	}
	return data, nil
}

// Close ends the exchange. The connection is kept for reuse if the exchange is
// complete; otherwise it is closed, which cancels the request if the target still
// runs it.
func (p *Response) Close() {
	p.once.Do(func() {
		if p.stop() && p.complete() {
			p.dialer.kept.put(p.address, p.line, p.keep, time.Now())
			return
		}
		p.line.Close()
	})
}

// complete reports whether the request was written and the response read in full.
// If a target responds before it has read the whole request body, it may take
// what follows on the connection for the rest of that body.
func (p *Response) complete() bool {
	if p.response == nil || p.keep < 0 || !p.body.whole {
		return false
	}
	select {
	case err := <-p.written:
		return err == nil
	default:
		return false
	}
}
