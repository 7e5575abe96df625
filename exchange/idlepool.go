package exchange

import (
	"bufio"
	"net"
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
	reader *bufio.Reader
	// reused is true if the connection has carried an earlier exchange.
	reused bool
	// idleSince is when the connection became idle, reusableUntil when it stops
	// being reusable.
	idleSince     time.Time
	reusableUntil time.Time
	// idleTime is how long the connection was idle before the current exchange.
	idleTime time.Duration
}

// An idlePool holds idle connections by target address. It is safe for concurrent
// use.
type idlePool struct {
	mutex sync.Mutex
	conns map[string][]*conn
	// longIdleSuccesses counts the successful exchanges over connections that had been idle
	// for longer than defaultIdle, since a connection was last found dropped.
	longIdleSuccesses int
	// dropLimit bounds the idle time of all connections until dropLimitUntil. It is
	// set when a target is found to have dropped a connection without closing it.
	dropLimit      time.Duration
	dropLimitUntil time.Time
}

// take removes and returns a usable idle connection to the address, or nil. It
// takes the most recently used one, so that the others can expire. retryable says
// whether the request can be retried if the target has dropped the connection
// without closing it.
func (k *idlePool) take(address string, repeatable bool, now time.Time) *conn {
	longest := k.maxIdleFor(repeatable, now)
	for {
		l := k.pop(address, now.Add(-longest))
		if l == nil {
			return nil
		}
		if now.Before(l.reusableUntil) && isOpenAndEmpty(l.Conn) {
			l.idleTime = now.Sub(l.idleSince)
			return l
		}
		l.Close()
	}
}

// maxIdleFor returns how long a connection may have been idle to carry a request
// that can or cannot be retried.
func (k *idlePool) maxIdleFor(repeatable bool, now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case now.Before(k.dropLimitUntil):
		return k.dropLimit
	case repeatable || k.longIdleSuccesses >= minLongIdleSuccesses:
		return maxIdle
	}
	return defaultIdle
}

// recordSuccess records a successful exchange over a connection that had been idle.
func (k *idlePool) recordSuccess(idle time.Duration) {
	if idle <= defaultIdle {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.longIdleSuccesses++
}

// recordDropped records that the target had dropped a connection that was idle for the
// given time. For dropPenalty, only connections that were idle for at most half
// of it are reused. It returns that limit.
func (k *idlePool) recordDropped(idle time.Duration, now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	limit := max(minIdle, idle/2)
	if now.Before(k.dropLimitUntil) {
		limit = min(limit, k.dropLimit)
	}
	k.longIdleSuccesses, k.dropLimit, k.dropLimitUntil = 0, limit, now.Add(dropPenalty)
	return limit
}

// pop removes and returns the connection that became idle last, or nil if it did
// so before the given time.
func (k *idlePool) pop(address string, since time.Time) *conn {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	list := k.conns[address]
	if len(list) == 0 || list[len(list)-1].idleSince.Before(since) {
		return nil
	}
	l := list[len(list)-1]
	k.conns[address] = list[:len(list)-1]
	return l
}

// put adds a connection whose response was read in full. keepAlive is the time
// that the target announced for it, 0 if it announced none. A connection that
// must not be reused is closed.
func (k *idlePool) put(address string, l *conn, keepAlive time.Duration, now time.Time) {
	idle := defaultIdle
	if keepAlive > 0 {
		idle = min(maxIdle, keepAlive-keepAliveMargin)
	}
	if idle <= 0 || l.reader.Buffered() > 0 {
		l.Close()
		return
	}
	l.reused, l.idleSince, l.reusableUntil = true, now, now.Add(idle)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.conns == nil {
		k.conns = map[string][]*conn{}
	}
	if len(k.conns[address]) >= maxIdlePerTarget {
		l.Close()
		return
	}
	k.conns[address] = append(k.conns[address], l)
}

// closeExpired closes the connections that have been idle for too long.
func (k *idlePool) closeExpired(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for address, list := range k.conns {
		left := list[:0]
		for _, l := range list {
			if now.Before(l.reusableUntil) {
				left = append(left, l)
			} else {
				l.Close()
			}
		}
		k.conns[address] = left
		if len(left) == 0 {
			delete(k.conns, address)
		}
	}
}

// isOpenAndEmpty reports whether an idle connection is open and has no bytes to read. Bytes
// that arrive while it is idle belong to no request.
func isOpenAndEmpty(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		still = err == unix.EAGAIN
		return true
	})
	return err == nil && still
}
