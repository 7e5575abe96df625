package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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
}

// A Reply represents an answer whose body is still being read, as the target
// frames it: by a length, in chunks, or by the end of the connection.
type Reply struct {
	connection net.Conn
	response   *http.Response
	stop       func() bool
	written    chan error
	once       sync.Once
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

// Send sends the request over a connection of its own and reads the answer's
// header. The context's end closes the connection, also while the body is read.
func (d *Dialer) Send(ctx context.Context, address string, r *Request) (*Reply, error) {
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	connection, err := d.net.DialContext(dialing, "tcp", address)
	cancel()
	if err != nil {
		return nil, &Error{err: fmt.Errorf("connect to %s: %w", address, err)}
	}
	p := &Reply{connection: connection, written: make(chan error, 1)}
	p.stop = context.AfterFunc(ctx, func() { connection.Close() })
	if err := p.exchange(r); err != nil {
		p.Close()
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, &Error{sent: true, err: err}
	}
	return p, nil
}

func (p *Reply) exchange(r *Request) error {
	if len(r.Body) > inlineBody {
		go p.runWrite(r)
	} else if err := r.write(p.connection); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	reader := bufio.NewReaderSize(p.connection, replyBuffer)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			p.response = response
			return p.check(r)
		}
	}
}

// runWrite writes a long request while the answer is awaited. A failure shows
// in the answer: there is none.
func (p *Reply) runWrite(r *Request) { p.written <- r.write(p.connection) }

func (p *Reply) check(r *Request) error {
	sent := r.Header.Get(RequestIDHeader)
	if got := p.response.Header.Get(RequestIDHeader); got != sent && (got != "" || p.response.StatusCode < http.StatusBadRequest) {
		return ErrCrossed
	}
	return nil
}

// write sends the request in one piece, so that a small one takes one packet.
func (r *Request) write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", r.Method, r.URI, r.Host)
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
func (p *Reply) Status() int { return p.response.StatusCode }

// Header returns the answer's header.
func (p *Reply) Header() http.Header { return p.response.Header }

// Length returns the announced length of the body, or -1.
func (p *Reply) Length() int64 { return p.response.ContentLength }

// Framed reports whether the answer says where it ends. The end of one that
// does not is the end of its connection.
func (p *Reply) Framed() bool {
	return p.response.ContentLength >= 0 || len(p.response.TransferEncoding) > 0
}

// Body returns the body. A body that ends before its announced end fails with
// an error other than io.EOF.
func (p *Reply) Body() io.Reader { return p.response.Body }

// ReadAll reads the rest of the body, of at most limit bytes.
func (p *Reply) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(p.response.Body, limit+1))
	if err != nil {
		return nil, &Error{sent: true, err: fmt.Errorf("read body: %w", err)}
	}
	if int64(len(data)) > limit {
		return nil, &Error{sent: true, err: fmt.Errorf("the body is over the limit of %d bytes", limit)}
	}
	return data, nil
}

// Close closes the connection, which cancels what the target still does.
func (p *Reply) Close() {
	p.once.Do(func() {
		p.stop()
		p.connection.Close()
	})
}
