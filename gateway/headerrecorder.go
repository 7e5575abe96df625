package gateway

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// A headerRecorder is a connection that records the raw header of the current
// request, to detect request smuggling. Of two contradicting framings net/http
// silently prefers one. A target or a load balancer may prefer the other and take
// a part of the body for a request.
type headerRecorder struct {
	net.Conn
	mutex    sync.Mutex
	header   []byte
	complete bool
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

// headerRecorderFrom returns the recorder of the request's connection, or an empty
// one if the connection has none.
func headerRecorderFrom(ctx context.Context) *headerRecorder {
	if r, ok := ctx.Value(recorderKey{}).(*headerRecorder); ok {
		return r
	}
	return &headerRecorder{}
}

// Read reads from the connection and records what belongs to the header.
func (r *headerRecorder) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.record(b[:n])
	}
	return n, err
}

func (r *headerRecorder) record(b []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.complete {
		return
	}
	start := max(0, len(r.header)-len(headerEnd)+1)
	r.header = append(r.header, b...)
	if end := bytes.Index(r.header[start:], headerEnd); end >= 0 {
		r.header = r.header[:start+end+len(headerEnd)]
		r.complete = true
	}
	if len(r.header) > maxHeaderBytes {
		r.complete = true
	}
}

var headerEnd = []byte("\r\n\r\n")

// reset prepares the recorder for the next header.
func (r *headerRecorder) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.header, r.complete = r.header[:0], false
}

// ambiguousFraming reports whether the header has more than one line that frames
// the body: Content-Length or Transfer-Encoding.
func (r *headerRecorder) ambiguousFraming() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(r.header, []byte("\r\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(bytes.ToLower(bytes.TrimSpace(name))) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	return lengths+codings > 1
}
