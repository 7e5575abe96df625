package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnscale/account"
	"auburnscale/tcp"
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
	// Identification, if not nil, asks the target who it is, once for each connection.
	Identification *Identification
}

// A Response is a target's response whose body may still be arriving. The target
// delimits the body by a Content-Length, by chunked encoding or by closing the
// connection. A Response must be closed.
type Response struct {
	dialer    *Dialer
	address   string
	conn      *conn
	response  *http.Response
	body      trackedBody
	stop      func() bool
	written   chan error
	keepAlive time.Duration
	// buffered counts the bytes of the body that are held in memory.
	buffered int64
	// hold is the reservation for them in the dialer's account.
	hold *account.Hold
	once sync.Once
}

// A trackedBody is a body that records whether it was read to its end.
type trackedBody struct {
	io.Reader
	// checkEnd, if not nil, returns an error if the end of the connection is not that of the body.
	checkEnd func() error
	complete bool
}

// Read reads from the body. It implements [io.Reader].
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.checkEnd != nil && !b.complete {
		if failed := b.checkEnd(); failed != nil {
			return n, failed
		}
	}
	b.complete = true
	return n, err
}

const (
	// connectTimeout bounds the wait for a connection to a target. Connecting takes
	// milliseconds; after this time the request is better sent to another target.
	connectTimeout      = 150 * time.Millisecond
	responseBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is written before the response is read.
	// A longer one is written concurrently with reading the response, since a
	// target may respond before it has read the whole body.
	maxInlineBodyBytes = 2 << 10
)

// Send sends the request to the address and reads the header of the response. It
// reuses an idle connection if there is a suitable one. The end of the context
// closes the connection, even while the body is being read. Errors are of type
// [*Error]; the request is never retried.
func (d *Dialer) Send(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := d.connect(ctx, address, r)
	if err != nil {
		return nil, &Error{err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	c.carry(r.Header.Get(RequestIDHeader))
	resp := &Response{dialer: d, address: address, conn: c, written: make(chan error, 1)}
	resp.stop = context.AfterFunc(ctx, func() { c.Close() })
	sent := time.Now()
	err = resp.exchange(r)
	if c.reused {
		d.recordReuse(ctx, address, c, err, time.Since(sent))
	}
	if err != nil {
		resp.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{sent: true, err: err}
	}
	return resp, nil
}

// dropDetectTime bounds the time after which sending over a dropped connection fails:
// about one round trip. A later failure means that the target failed during the
// request.
const dropDetectTime = 25 * time.Millisecond

// recordReuse records the outcome of an exchange over a reused connection. took is
// the time until the header of the response or the failure.
func (d *Dialer) recordReuse(ctx context.Context, address string, c *conn, err error, took time.Duration) {
	switch {
	case err == nil:
		d.idle.recordSuccess(c.idleTime)
	case ctx.Err() == nil && took < dropDetectTime && c.idleTime > minIdle && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)):
		limit := d.idle.recordDropped(c.idleTime, time.Now())
		if d.onDropped != nil {
			d.onDropped(address, c.idleTime, limit)
		}
	}
}

// connect returns an idle connection for the request, or a new one, to a target that has stated who it is if
// the request asks for that.
func (d *Dialer) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	now := time.Now()
	d.idle.closeExpired(now)
	// Without an id a late response could not be distinguished from the request's own.
	if id := r.Header.Get(RequestIDHeader); !r.NewConnection && id != "" {
		for c := d.idle.take(address, id, r, now); c != nil; c = d.idle.take(address, id, r, now) {
			if r.Identification == nil || c.identity == "" || c.identity == r.Identification.Want {
				return c, nil
			}
			// It leads to a start of the target that is not the expected one.
			c.Close()
		}
	}
	c, err := d.dial(ctx, address)
	if err != nil || r.Identification == nil {
		return c, err
	}
	return d.identify(ctx, address, c, r.Identification)
}

func (d *Dialer) dial(ctx context.Context, address string) (*conn, error) {
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	connection, err := d.net.DialContext(dialing, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(connection), nil
}

// maxLateResponses bounds the late responses to earlier requests that are skipped.
const maxLateResponses = 2

// exchange writes the request and reads the header of its response, skipping
// interim responses and late ones to earlier requests.
func (resp *Response) exchange(r *Request) error {
	if len(r.Body) > maxInlineBodyBytes {
		go resp.writeConcurrently(r)
	} else {
		err := r.write(resp.conn)
		if err != nil {
			return fmt.Errorf("send request: %w", err)
		}
		resp.written <- nil
	}
	for range maxLateResponses + 1 {
		response, err := resp.readHead(r.Method)
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
		late, err := resp.discardIfLate(r, response)
		if err != nil {
			return err
		}
		if !late {
			resp.response = response
			resp.body.Reader = response.Body
			if !resp.Framed() {
				resp.body.checkEnd = resp.checkEnd
			}
			resp.keepAlive = keepAliveOf(response)
			return nil
		}
	}
	return ErrMismatched
}

// readHead reads the header of the next response, skipping interim ones.
func (resp *Response) readHead(method string) (*http.Response, error) {
	resp.conn.limit.allow(maxHeadBytes)
	defer resp.conn.limit.allowAll()
	for {
		response, err := http.ReadResponse(resp.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkHead(response.ProtoMajor, response.StatusCode); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// checkEnd returns an error if the connection was reset. If that came while the request was being written, the
// operating system may have reported it to the write alone, and the body then ends like a whole one.
func (resp *Response) checkEnd() error {
	if !tcp.Gone(resp.conn.Conn) {
		return nil
	}
	// On a connection that is gone a write ends at once.
	err := <-resp.written
	resp.written <- err
	if err == nil {
		return nil
	}
	return fmt.Errorf("connection reset while the request was written: %w", errors.Join(err, io.ErrUnexpectedEOF))
}

// discardIfLate reports whether the response belongs to an earlier request on the
// same connection, and discards its body in that case. It fails with ErrMismatched
// if it is not certain which request the response belongs to. On a new connection, an error
// response without a request id is taken for the request's own, since a target may reject a
// request before it has read the id; on a reused one it may be a late one.
func (resp *Response) discardIfLate(r *Request, response *http.Response) (bool, error) {
	sent := r.Header.Get(RequestIDHeader)
	got := response.Header.Get(RequestIDHeader)
	if resp.conn.reused && (len(response.Header[RequestIDHeader]) > 1 || holdsHead(response)) {
		return false, ErrMismatched
	}
	if got == sent || got == "" && response.StatusCode >= http.StatusBadRequest && !resp.conn.reused {
		return false, nil
	}
	if !resp.conn.reused || got == "" {
		return false, ErrMismatched
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateBytes+1))
	if err != nil {
		return false, fmt.Errorf("discard late response: %w", err)
	}
	if n > maxLateBytes {
		return false, fmt.Errorf("discard late response: %w", ErrBodyTooLong)
	}
	return true, nil
}

// statusLine matches the start of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// holdsHead reports whether the status line or a header of the response holds the start of another
// response. A late response that was cut may be continued by the next one.
func holdsHead(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for name, values := range response.Header {
		if statusLine.MatchString(name) || slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// keepAliveOf returns the keep-alive time that the target announces, 0 if it announces
// none, or a negative time if it closes the connection.
func keepAliveOf(response *http.Response) time.Duration {
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

// writeConcurrently writes a request with a long body while the response is awaited. It
// needs no error handling of its own: after a failed write no response arrives.
func (resp *Response) writeConcurrently(r *Request) { resp.written <- r.write(resp.conn) }

// write sends the request. A small one is sent in a single write, so that it fits one packet; a large body is not
// copied.
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
	if len(r.Body) <= maxInlineBodyBytes {
		b.Write(r.Body)
		_, err := w.Write(b.Bytes())
		return err
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return err
	}
	_, err := w.Write(r.Body)
	return err
}

// Status returns the HTTP status code.
func (resp *Response) Status() int { return resp.response.StatusCode }

// Header returns the header of the response.
func (resp *Response) Header() http.Header { return resp.response.Header }

// Length returns the announced length of the body in bytes, or -1 if it is
// unknown.
func (resp *Response) Length() int64 { return resp.response.ContentLength }

// Framed reports whether the body is delimited by a Content-Length or by chunked
// encoding, as opposed to by the end of the connection.
func (resp *Response) Framed() bool {
	return resp.response.ContentLength >= 0 || len(resp.response.TransferEncoding) > 0
}

// Body returns the body. A body that is cut short ends with an error other than
// io.EOF.
func (resp *Response) Body() io.Reader { return &resp.body }

// ReadAll reads the rest of the body. It fails if that is longer than limit bytes
// or if the body is cut short.
func (resp *Response) ReadAll(limit int64) ([]byte, error) {
	if length := resp.Length(); length > limit {
		return nil, &Error{sent: true, err: fmt.Errorf("read body of %d bytes: %w", length, ErrBodyTooLong)}
	}
	if resp.hold == nil {
		resp.hold = resp.dialer.account.Open(account.Response, func() { resp.conn.Close() })
		// It cannot be evicted: it holds nothing yet.
		_ = resp.hold.Pin()
	}
	data, err := account.Read(reservingReader{resp}, resp.Length(), limit, resp.hold)
	switch {
	case errors.Is(err, account.ErrTooLong):
		return nil, &Error{sent: true, err: fmt.Errorf("read body of over %d bytes: %w", limit, ErrBodyTooLong)}
	case errors.Is(err, account.ErrFull):
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", ErrBuffersFull)}
	case err != nil:
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", err)}
	}
	return data, nil
}

// Hold returns the memory that the body takes, once it has been read in full. Closing the response returns it.
func (resp *Response) Hold() *account.Hold { return resp.hold }

// A reservingReader reads a body that is kept in memory until its response is closed.
type reservingReader struct{ response *Response }

// Read reads from the body and counts the bytes against the memory for bodies.
func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.response.body.Read(p)
	if n > 0 {
		if !r.response.dialer.buffers.Reserve(r.response.buffered, int64(n)) {
			return 0, ErrBuffersFull
		}
		r.response.buffered += int64(n)
	}
	return n, err
}

// Close ends the exchange. The connection is kept for reuse if the exchange is
// complete; otherwise it is closed, which cancels the request if the target still
// runs it.
func (resp *Response) Close() {
	resp.once.Do(func() {
		resp.dialer.buffers.Release(resp.buffered)
		resp.hold.Close()
		if resp.stop() && resp.complete() {
			resp.dialer.idle.put(resp.address, resp.conn, resp.keepAlive, time.Now())
			return
		}
		resp.conn.Close()
	})
}

// complete reports whether the request was written and the response read in full.
// If a target responds before it has read the whole request body, it may take
// what follows on the connection for the rest of that body.
func (resp *Response) complete() bool {
	if resp.response == nil || resp.keepAlive < 0 || !resp.body.complete {
		return false
	}
	select {
	case err := <-resp.written:
		return err == nil
	default:
		return false
	}
}
