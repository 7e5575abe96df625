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

// A Request represents a request that is passed on byte for byte but for its
// header.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a connection of its own. On a kept one the target may close
	// just when the request comes, and then nobody knows whether it ran.
	NewConnection bool
	// Repeatable tells that the request can be sent again. It may then use a
	// connection that was idle for long.
	Retryable bool
}

// A Reply represents an answer whose body is still being read, as the target
// frames it: by a length, in chunks, or by the end of the connection.
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

// wholeBody notes whether a body was read to its end.
type wholeBody struct {
	io.Reader
	whole bool
}

// Read reads from the body.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

const (
	// connectTimeout bounds the wait for a connection to a target. The network
	// takes milliseconds; a target that does not answer is left for another.
	connectTimeout = 150 * time.Millisecond
	replyBuffer    = 4 << 10
	// inlineBody is the body up to which a request is written before the answer
	// is read. A longer one is written beside the reading, since a target may
	// answer before it has read all.
	inlineBody = 2 << 10
)

// Send sends the request and reads the answer's header, over a kept connection
// if there is one. The context's end closes the connection, also while the body
// is read.
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

// dropShows is how soon a dropped connection shows after something was sent: a
// round trip. What takes longer is a target that broke off.
const dropShows = 25 * time.Millisecond

// noteKept notes how an exchange over a kept connection went.
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

// maxLate bounds the late answers to earlier requests that are skipped.
const maxLate = 3

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
			return fmt.Errorf("read answer: %w", err)
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

// isLate reports whether the answer belongs to an earlier request on the same
// connection, and reads it away then.
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
		return false, fmt.Errorf("read a late answer: %w", err)
	}
	return true, nil
}

// keepOf returns how long the target keeps the connection, or a negative time
// if it closes it.
func keepOf(response *http.Response) time.Duration {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return -1
	}
	var seconds int
	_, value, found := strings.Cut(response.Header.Get("Keep-Alive"), "timeout=")
	if !found {
		value = response.Header.Get("Keep-Alive")
	}
	// Without a figure the connection is kept for the shortest time.
	_, _ = fmt.Sscanf(value, "%d", &seconds)
	return time.Duration(seconds) * time.Second
}

// runWrite writes a long request while the answer is awaited. A failure shows
// in the answer: there is none.
func (p *Response) runWrite(r *Request) { p.written <- r.write(p.line) }

// write sends the request in one piece, so that a small one takes one packet.
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

// Status returns the HTTP status.
func (p *Response) Status() int { return p.response.StatusCode }

// Header returns the answer's header.
func (p *Response) Header() http.Header { return p.response.Header }

// Length returns the announced length of the body, or -1.
func (p *Response) Length() int64 { return p.response.ContentLength }

// Framed reports whether the answer says where it ends. The end of one that
// does not is the end of its connection.
func (p *Response) Framed() bool {
	return p.response.ContentLength >= 0 || len(p.response.TransferEncoding) > 0
}

// Body returns the body. A body that ends before its announced end fails with
// an error other than io.EOF.
func (p *Response) Body() io.Reader { return &p.body }

// ReadAll reads the rest of the body, of at most limit bytes.
func (p *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(&p.body, limit+1))
	if err != nil {
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", err)}
	}
	if int64(len(data)) > limit {
		return nil, &Error{sent: true, err: fmt.Errorf("the body is over the limit of %d bytes", limit)}
	}
	return data, nil
}

// Close ends the exchange. A connection whose exchange is complete is kept for
// the next one; any other is closed, which cancels what the target still does.
func (p *Response) Close() {
	p.once.Do(func() {
		if p.stop() && p.complete() {
			p.dialer.kept.put(p.address, p.line, p.keep, time.Now())
			return
		}
		p.line.Close()
	})
}

// complete reports whether the request was sent and the answer read in full. A
// target that answered early may take what follows for the rest of the body.
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
