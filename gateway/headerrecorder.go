package gateway

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"auburnscale/connlimit"
)

// A headerRecorder is a connection that records how each request on it is framed, to detect request
// smuggling. Of two contradicting framings net/http silently prefers one. A target or a load balancer may
// prefer the other and take a part of the body for a request. Requests may arrive together, so
// that the recorder follows their bodies too.
type headerRecorder struct {
	net.Conn
	mutex   sync.Mutex
	parser  framingParser
	headers []requestHeader
	// handled counts the requests that nextHeader has returned the headers of.
	handled int
	// bodyLimited is true while a deadline of limitBody is set.
	bodyLimited bool
}

// A requestHeader is what is recorded of the header of a request.
type requestHeader struct {
	// line is the request line.
	line string
	// framings counts the lines that frame the body: Content-Length or Transfer-Encoding.
	framings int
}

// recorderKey is the context key of a connection's headerRecorder.
type recorderKey struct{}

// A recordingListener wraps every connection in a headerRecorder.
type recordingListener struct{ net.Listener }

// Accept returns the next connection as a headerRecorder.
func (l recordingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerRecorder{Conn: connection}, nil
}

func withHeaderRecorder(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, recorderKey{}, c)
}

// limited returns the connection with its limits, or nil if it has none.
func (r *headerRecorder) limited() *connlimit.Conn {
	if r == nil {
		return nil
	}
	return connlimit.Of(r.Conn)
}

// resetOnClose makes the connection end with a reset when it is closed.
func (r *headerRecorder) resetOnClose() {
	inner := r.Conn
	if limited := connlimit.Of(inner); limited != nil {
		inner = limited.Conn
	}
	if c, ok := inner.(*net.TCPConn); ok {
		// An error means that the connection is closed.
		_ = c.SetLinger(0)
	}
}

// Read reads from the connection and records the headers.
func (r *headerRecorder) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.headers = append(r.headers, r.parser.parse(b[:n])...)
		r.liftBodyLimit()
	}
	return n, err
}

// limitBody makes reads of the body of the request that is being handled fail from the time on. It does nothing once
// the body has been read from the connection: net/http then reads on to learn that the client has disconnected, takes
// a deadline that passes for that, and cancels the contexts of this request and of all others on the connection.
func (r *headerRecorder) limitBody(until time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.bodyRead() {
		return nil
	}
	r.bodyLimited = true
	return r.Conn.SetReadDeadline(until)
}

// unlimitBody removes the deadline of limitBody.
func (r *headerRecorder) unlimitBody() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.bodyLimited {
		r.bodyLimited = false
		// An error means that the connection is closed.
		_ = r.Conn.SetReadDeadline(time.Time{})
	}
}

// liftBodyLimit removes the deadline of limitBody if the body has been read. The caller must hold the mutex.
func (r *headerRecorder) liftBodyLimit() {
	if r.bodyLimited && r.bodyRead() {
		r.bodyLimited = false
		_ = r.Conn.SetReadDeadline(time.Time{})
	}
}

// bodyRead reports whether the request that is being handled has been read whole. The caller must hold the mutex.
func (r *headerRecorder) bodyRead() bool { return r.parser.whole >= r.handled }

// nextHeader returns the header of the next request on the connection, in the order of their arrival, and whether
// it was recorded. Nothing is recorded without a recorder.
func (r *headerRecorder) nextHeader() (requestHeader, bool) {
	if r == nil {
		return requestHeader{}, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.headers) == 0 {
		return requestHeader{}, false
	}
	header := r.headers[0]
	r.headers = r.headers[1:]
	r.handled++
	return header, true
}

// requestArrived reports whether a further request, or the start of one, has been read from the connection.
func (r *headerRecorder) requestArrived() bool {
	if r == nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.headers) > 0 || r.parser.inRequest()
}

// belongsTo reports whether the header is that of a request with the method and target.
func (h requestHeader) belongsTo(method, target string) bool {
	return strings.HasPrefix(h.line, method+" "+target+" HTTP/")
}

// A framingParser splits the bytes of a connection into requests. It stops at the first request whose framing
// is contradictory or not valid, since where the next one begins is then not certain.
type framingParser struct {
	state framingState
	// line is the start of a line whose end has not arrived.
	line   []byte
	header requestHeader
	// length is the announced length of the body, and left what is left of the body or of a chunk.
	length, left int64
	chunked      bool
	// whole counts the requests whose last byte has been parsed.
	whole int
}

type framingState int

const (
	inHeader framingState = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	stopped
)

// maxChunkBytes bounds a chunk. No body may be that long.
const maxChunkBytes = 1 << 40

// chunkEndBytes is the length of the line end after the data of a chunk.
const chunkEndBytes = 2

// parse reads the next bytes and returns the headers that end in them.
func (p *framingParser) parse(b []byte) (headers []requestHeader) {
	for len(b) > 0 && p.state != stopped {
		if p.state == inBody || p.state == inChunk {
			b = p.skip(b)
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			p.line = append(p.line, b...)
			if len(p.line) > maxHeaderBytes {
				p.state = stopped
			}
			return headers
		}
		line := string(bytes.TrimRight(append(p.line, b[:end]...), "\r"))
		p.line, b = p.line[:0], b[end+1:]
		if p.endLine(line) {
			headers = append(headers, p.header)
			p.beginBody()
		}
	}
	return headers
}

// inRequest reports whether the start of a header has been read, but not its end.
func (p *framingParser) inRequest() bool {
	return p.state == inHeader && (len(p.line) > 0 || p.header.line != "")
}

// skip skips bytes of a body or chunk and returns the rest.
func (p *framingParser) skip(b []byte) []byte {
	n := min(p.left, int64(len(b)))
	p.left -= n
	switch {
	case p.left > 0:
	case p.chunked:
		p.state = inChunkSize
	default:
		p.endRequest()
	}
	return b[n:]
}

// endLine handles a line, without its end. It returns true at the end of a header.
func (p *framingParser) endLine(line string) bool {
	switch p.state {
	case inHeader:
		return p.endHeaderLine(line)
	case inChunkSize:
		p.beginChunk(line)
	case inTrailer:
		if line == "" {
			p.endRequest()
		}
	}
	return false
}

func (p *framingParser) endRequest() {
	p.state = inHeader
	p.whole++
}

func (p *framingParser) endHeaderLine(line string) bool {
	if p.header.line == "" {
		p.header, p.length, p.chunked = requestHeader{line: line}, 0, false
		return false
	}
	if line == "" {
		return true
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		p.header.framings++
		length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil || length < 0 {
			p.state = stopped
		}
		p.length = length
	case "transfer-encoding":
		p.header.framings++
		p.chunked = true
	}
	return false
}

// beginBody follows a header.
func (p *framingParser) beginBody() {
	framings := p.header.framings
	p.header = requestHeader{}
	switch {
	case framings > 1:
		p.state = stopped
	case p.chunked:
		p.state = inChunkSize
	case p.length > 0:
		p.state, p.left = inBody, p.length
	case p.state != stopped:
		p.endRequest()
	}
}

// beginChunk handles the line with the size of a chunk.
func (p *framingParser) beginChunk(line string) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 63)
	switch {
	case err != nil || size < 0 || size > maxChunkBytes:
		p.state = stopped
	case size == 0:
		p.state = inTrailer
	default:
		p.state, p.left = inChunk, size+chunkEndBytes
	}
}
