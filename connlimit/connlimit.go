// Package connlimit bounds the connections that the listeners of an instance accept, and the time and memory that a
// connection without progress may take.
//
// It owns accepted connections between the listener and the HTTP server. Accepting never fails for lack of
// descriptors: at the bound the connection that has served nothing, or has been without a request, for longest is closed
// for the new one, and accepting pauses if there is none. The bound can be exceeded by one connection. It must not know what a request means.
//
// # Usage
//
//	l := connlimit.New(1000, stall, account, clock.Now)
//	err := server.Serve(l.Apply(server, listener))
package connlimit

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"auburnscale/account"
	"auburnscale/tcp"
)

const (
	// connectionBytes is what a connection costs before a request: the buffers of net/http, two
	// stacks, and the descriptor.
	connectionBytes = 16 << 10
	// lineBytes is what a line of a head costs beside its bytes, once it is parsed: measured 83 bytes, and an
	// entry instance keeps a second copy of the headers.
	lineBytes = 128
	// grace is how long a connection without a request is kept while another one waits to be accepted. It is above
	// the time that a request takes to arrive on a new connection.
	grace = 250 * time.Millisecond
	// pieceBytes is written at once, so that a client that reads slowly makes progress.
	pieceBytes = 16 << 10
)

// A Limiter bounds the connections of one listener. It is safe for concurrent use. A nil Limiter has no limits.
type Limiter struct {
	max     int
	stall   time.Duration
	account *account.Account
	now     func() time.Duration

	mutex  sync.Mutex
	freed  *sync.Cond
	conns  map[*Conn]struct{}
	closed int64
	paused int64
}

// New returns a limiter of max connections. A response whose client takes no byte for the stall time is cut off.
func New(max int, stall time.Duration, a *account.Account, now func() time.Duration) *Limiter {
	l := &Limiter{max: max, stall: stall, account: a, now: now, conns: map[*Conn]struct{}{}}
	l.freed = sync.NewCond(&l.mutex)
	return l
}

// Apply makes the server tell the limiter when it handles requests, and returns the listener to serve.
func (l *Limiter) Apply(server *http.Server, listener net.Listener) net.Listener {
	if l == nil {
		return listener
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if !c.Begin() {
			// A handler that only returns would answer with an empty 200.
			panic(http.ErrAbortHandler)
		}
		defer c.End()
		next.ServeHTTP(w, r)
	})
	return l.Listener(listener)
}

// FromContext returns the connection of the request with the context, or nil if it has no limits.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return Of(c)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Listener returns a listener whose connections are bounded.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	if l == nil {
		return inner
	}
	return &listener{Listener: inner, limiter: l}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

// Closed returns how many connections were closed for new ones, and how often accepting paused.
func (l *Limiter) Closed() (closed, paused int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closed, l.paused
}

type listener struct {
	net.Listener
	limiter *Limiter
	// ended is guarded by the limiter's mutex.
	ended bool
}

// Accept returns the next connection. At the bound it closes another one for it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.awaitPlace() {
			return nil, net.ErrClosed
		}
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.add(inner); c != nil {
			return c, nil
		}
	}
}

// Close closes the listener and ends a pause.
func (l *listener) Close() error {
	l.limiter.mutex.Lock()
	l.ended = true
	l.limiter.freed.Broadcast()
	l.limiter.mutex.Unlock()
	return l.Listener.Close()
}

// awaitPlace waits until a connection can be accepted. It returns false if the listener is closed.
func (l *listener) awaitPlace() bool {
	m := l.limiter
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.conns) >= m.max && m.victim() == nil {
		m.paused++
		for !l.ended && len(m.conns) >= m.max && m.victim() == nil {
			if waiting := tcp.Unaccepted(l.Listener); waiting > 0 {
				m.evictStalled(waiting)
			}
			timer := time.AfterFunc(grace, m.freed.Broadcast)
			m.freed.Wait()
			timer.Stop()
		}
	}
	return !l.ended
}

// victim returns the connection to close for a new one, or nil if accepting must pause: of those that have served no
// request the oldest, unless it has had no time to send one; without such, the one whose last request is longest ago.
// l.mutex must be held.
func (l *Limiter) victim() (found *Conn) {
	for c := range l.conns {
		switch {
		case c.serving:
		case found == nil, !c.served && found.served, c.served == found.served && c.since < found.since:
			found = c
		}
	}
	if found != nil && l.now()-found.since < grace {
		return nil
	}
	return found
}

// evictStalled makes up to n requests fail whose clients have sent nothing of the body for longest. l.mutex must be
// held.
func (l *Limiter) evictStalled(n int) {
	type stalled struct {
		body *account.Hold
		idle time.Duration
	}
	var list []stalled
	for c := range l.conns {
		if idle, is := c.body.Stalled(); is {
			list = append(list, stalled{c.body, idle})
		}
	}
	slices.SortFunc(list, func(a, b stalled) int { return cmp.Compare(b.idle, a.idle) })
	for _, s := range list[:min(n, len(list))] {
		s.body.Evict()
	}
}

// add returns the connection with its limits, or nil if there is no memory for it.
func (l *Limiter) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, limiter: l, since: l.now()}
	c.hold = l.account.Open(account.Connection, c.Abort)
	if c.hold.Grow(connectionBytes) != nil {
		c.hold.Close()
		_ = inner.Close()
		return nil
	}
	l.mutex.Lock()
	var victim *Conn
	if len(l.conns) >= l.max {
		if victim = l.victim(); victim != nil {
			l.closed++
			delete(l.conns, victim)
		}
	}
	l.conns[c] = struct{}{}
	l.mutex.Unlock()
	if victim != nil {
		_ = victim.Close()
	}
	return c
}

// A Conn is a connection of a limited listener. A nil Conn has no limits.
type Conn struct {
	net.Conn
	limiter *Limiter
	hold    *account.Hold

	// The limiter's mutex guards these.
	serving, served bool
	// since is when the connection was accepted, or its last request was answered.
	since     time.Duration
	headBytes int64
	// body is the memory of the body that the request on the connection waits for, or nil.
	body *account.Hold
	// unread is true if the rest of the body must not be read.
	unread bool
}

// Of returns the limited connection below c, or nil if there is none.
func Of(c net.Conn) *Conn {
	for c != nil {
		if limited, ok := c.(*Conn); ok {
			return limited
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// Abort closes the connection below, which ends the reads and writes of its owner.
func (c *Conn) Abort() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// Begin records that a request has arrived, and that its body is accounted for elsewhere. It returns false if the
// connection is being closed; the request must then not be handled.
func (c *Conn) Begin() bool {
	if c == nil {
		return true
	}
	if c.hold.Pin() != nil {
		return false
	}
	l := c.limiter
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, open := l.conns[c]; !open {
		return false
	}
	c.serving = true
	return true
}

// Await records that the request on the connection waits for its body, which takes the memory of the hold. The request
// gives way to other connections if the body does not arrive.
func (c *Conn) Await(body *account.Hold) {
	if c == nil {
		return
	}
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.body = body
}

// StopReading records that the rest of the request's body must not be read, so that the connection closes once the
// request has been answered.
func (c *Conn) StopReading() {
	if c == nil {
		return
	}
	c.limiter.mutex.Lock()
	defer c.limiter.mutex.Unlock()
	c.unread = true
}

// End records that the request has been answered. The HTTP server then reads the rest of a body, for which the client gets
// the stall time; the server sets another limit for the next request.
func (c *Conn) End() {
	if c == nil {
		return
	}
	l := c.limiter
	l.mutex.Lock()
	c.serving, c.served, c.since = false, true, l.now()
	head := c.headBytes
	c.headBytes, c.body = 0, nil
	until := time.Now()
	if !c.unread {
		until = until.Add(l.stall)
	}
	l.freed.Broadcast()
	l.mutex.Unlock()
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(until)
	c.hold.Shrink(head)
	c.hold.Unpin(c.Abort)
}

// Read reads from the connection. The bytes of a head, and what its lines cost once they are parsed, are reserved before
// they are passed on; if there is no memory for them, the connection ends.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	l := c.limiter
	l.mutex.Lock()
	cost := int64(0)
	if !c.serving {
		cost = int64(n) + lineBytes*int64(bytes.Count(b[:n], []byte{'\n'}))
		c.headBytes += cost
	}
	l.mutex.Unlock()
	if full := c.hold.Grow(cost); full != nil {
		c.Abort()
		return 0, full
	}
	c.hold.Progress(n)
	return n, err
}

// Write writes to the connection. It fails if the client takes no byte for the stall time.
func (c *Conn) Write(b []byte) (written int, err error) {
	for {
		piece := b[written:min(len(b), written+pieceBytes)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.limiter.stall)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) && n > 0 {
			err = nil
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close closes the connection and returns its place.
func (c *Conn) Close() error {
	l := c.limiter
	l.mutex.Lock()
	delete(l.conns, c)
	l.freed.Broadcast()
	l.mutex.Unlock()
	c.hold.Close()
	return c.Conn.Close()
}
