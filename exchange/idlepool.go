package exchange

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxIdle bounds how long a connection may be idle before it is reused, even
	// if the target announces a longer keep-alive time.
	maxIdle = 20 * time.Second
	// defaultIdle is the bound where the target announces no keep-alive time.
	defaultIdle = 1200 * time.Millisecond
	// minIdle is the lowest bound after targets were found to drop connections.
	minIdle = 200 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target. Targets limit
	// the connections of all their clients together.
	maxIdlePerTarget = 6
	// keepAliveMargin is subtracted from the keep-alive time that a target
	// announces, so that the target does not close the connection while a request
	// is on its way.
	keepAliveMargin = 1500 * time.Millisecond
	// minLongIdleSuccesses is the number of exchanges that must succeed over
	// connections idle for longer than defaultIdle before requests that cannot be
	// retried use such connections.
	minLongIdleSuccesses = 10
	// dropPenalty is how long the idle time of all connections stays limited
	// after a target was found to have dropped one.
	dropPenalty = 20 * time.Second
)

// A conn is an open connection to a target.
type conn struct {
	net.Conn
	// limit bounds what reader reads from the connection.
	limit  *limitedConn
	reader *bufio.Reader
	// reused is true if the connection has carried an earlier exchange.
	reused bool
	// idleSince is when the connection became idle, reusableUntil when it stops
	// being reusable.
	idleSince     time.Time
	reusableUntil time.Time
	// idleTime is how long the connection was idle before the current exchange.
	idleTime time.Duration
	// identified is true once the target was asked who it is, and identity is what it stated, or empty.
	identified bool
	identity   string
	// carried holds the ids of the last requests on the connection, at most maxCarried.
	carried []string
}

// maxCarried bounds the remembered request ids of a connection. A response is at most a few exchanges
// late.
const maxCarried = 16

// carry records that the connection carries the request with the id.
func (c *conn) carry(id string) {
	if len(c.carried) == maxCarried {
		c.carried = c.carried[:copy(c.carried, c.carried[1:])]
	}
	c.carried = append(c.carried, id)
}

func newConn(connection net.Conn) *conn {
	limit := &limitedConn{Conn: connection}
	return &conn{Conn: connection, limit: limit, reader: bufio.NewReaderSize(limit, responseBufferBytes)}
}

// An idlePool holds idle connections by target address. It is safe for concurrent
// use.
type idlePool struct {
	mutex sync.Mutex
	conns map[string][]*conn
	// longIdleSuccesses counts the successful exchanges over connections that had
	// been idle for longer than defaultIdle, since one was last found dropped.
	longIdleSuccesses int
	// dropLimit bounds the idle time of all connections until dropLimitUntil. It is
	// set when a target is found to have dropped a connection without closing it.
	dropLimit      time.Duration
	dropLimitUntil time.Time
}

// take removes and returns a usable idle connection to the address, or nil. It
// takes the most recently used one, so that the others can expire. A connection that has carried
// a request with the id is left out: a late response to that could not be distinguished from the response
// to this one. So is one on which the target was not asked who it is, if the request asks for that.
func (p *idlePool) take(address, id string, r *Request, now time.Time) *conn {
	longest := p.maxIdleFor(r.Retryable, now)
	usable := func(c *conn) bool {
		return !slices.Contains(c.carried, id) && (r.Identification == nil || c.identified && (c.identity != "" || !r.Identification.Required))
	}
	for {
		c := p.pop(address, usable, now.Add(-longest))
		if c == nil {
			return nil
		}
		if now.Before(c.reusableUntil) && isOpenAndEmpty(c.Conn) {
			c.idleTime = now.Sub(c.idleSince)
			return c
		}
		c.Close()
	}
}

// maxIdleFor returns how long a connection may have been idle to carry a request
// that can or cannot be retried.
func (p *idlePool) maxIdleFor(retryable bool, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case now.Before(p.dropLimitUntil):
		return p.dropLimit
	case retryable || p.longIdleSuccesses >= minLongIdleSuccesses:
		return maxIdle
	}
	return defaultIdle
}

// recordSuccess records a successful exchange over a connection that had been idle
// for the given time. Times up to defaultIdle are ignored.
func (p *idlePool) recordSuccess(idle time.Duration) {
	if idle <= defaultIdle {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.longIdleSuccesses++
}

// recordDropped records that the target had dropped a connection that was idle for
// the given time. For dropPenalty, only connections that have been idle for at most
// half that time, though at least minIdle, are reused, or for less if an earlier
// drop set a lower limit. recordDropped returns the limit.
func (p *idlePool) recordDropped(idle time.Duration, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := max(minIdle, idle/2)
	if now.Before(p.dropLimitUntil) {
		limit = min(limit, p.dropLimit)
	}
	p.longIdleSuccesses, p.dropLimit, p.dropLimitUntil = 0, limit, now.Add(dropPenalty)
	return limit
}

// pop removes and returns the usable connection that became idle last of those that did so after the given
// time, or nil.
func (p *idlePool) pop(address string, usable func(*conn) bool, since time.Time) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.conns[address]
	for i := len(list) - 1; i >= 0 && !list[i].idleSince.Before(since); i-- {
		if c := list[i]; usable(c) {
			p.conns[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds a connection whose response was read in full. keepAlive is the time
// that the target announced for it, 0 if it announced none. A connection that
// must not be reused is closed.
func (p *idlePool) put(address string, c *conn, keepAlive time.Duration, now time.Time) {
	idle := defaultIdle
	if keepAlive > 0 {
		idle = min(maxIdle, keepAlive-keepAliveMargin)
	}
	if idle <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.reused, c.idleSince, c.reusableUntil = true, now, now.Add(idle)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.conns == nil {
		p.conns = map[string][]*conn{}
	}
	if len(p.conns[address]) >= maxIdlePerTarget {
		c.Close()
		return
	}
	p.conns[address] = append(p.conns[address], c)
}

// closeExpired closes the connections that have been idle for too long.
func (p *idlePool) closeExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.conns {
		left := list[:0]
		for _, c := range list {
			if now.Before(c.reusableUntil) {
				left = append(left, c)
			} else {
				c.Close()
			}
		}
		p.conns[address] = left
		if len(left) == 0 {
			delete(p.conns, address)
		}
	}
}

// isOpenAndEmpty reports whether an idle connection is open and has no bytes to read.
// Bytes that arrive while it is idle belong to no request.
func isOpenAndEmpty(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
