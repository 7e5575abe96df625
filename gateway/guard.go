package gateway

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// A guard represents the bytes of a connection's present request header. The
// HTTP library prefers one of two contradicting framings silently; a target or
// a balancer may prefer the other, and then a body is taken for a request.
type guard struct {
	net.Conn
	mutex sync.Mutex
	head  []byte
	whole bool
}

type guardKey struct{}

// guardedListener gives every connection a guard.
type guardedListener struct{ net.Listener }

// Accept returns the next connection with its guard.
func (l guardedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guard{Conn: connection}, nil
}

func withGuard(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, c)
}

// guardOf returns the request's guard, or an empty one for a connection that
// came without.
func guardOf(ctx context.Context) *guard {
	if g, ok := ctx.Value(guardKey{}).(*guard); ok {
		return g
	}
	return &guard{}
}

// Read reads from the connection and keeps what belongs to a header.
func (g *guard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.keep(b[:n])
	}
	return n, err
}

func (g *guard) keep(b []byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.whole {
		return
	}
	start := max(0, len(g.head)-len(headerEnd)+1)
	g.head = append(g.head, b...)
	if end := bytes.Index(g.head[start:], headerEnd); end >= 0 {
		g.head = g.head[:start+end+len(headerEnd)]
		g.whole = true
	}
	if len(g.head) > maxHeaderBytes {
		g.whole = true
	}
}

var headerEnd = []byte("\r\n\r\n")

// reset makes the guard wait for the next header.
func (g *guard) reset() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.head, g.whole = g.head[:0], false
}

// ambiguous reports whether the header frames the body both by a length and in
// chunks, or by two lengths.
func (g *guard) ambiguous() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(g.head, []byte("\r\n")) {
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
