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
	unsaidIdle = 1200 * time.Millisecond
	// minIdle is the lowest bound after targets were found to drop connections.
	leastIdle = 200 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target. Targets limit
	// the connections of all their clients together.
	maxIdlePerTarget = 6
	// keepAliveMargin is subtracted from the keep-alive time that a target
	// announces, so that the target does not close the connection while a request
	// is on its way.
	keepMargin = 1500 * time.Millisecond
	// minLongIdleSuccesses is the number of exchanges that must succeed over
	// connections idle for longer than defaultIdle before requests that cannot be
	// retried use such connections.
	trustAfter = 10
	// dropPenalty is how long the idle time of all connections stays limited
	// after a target was found to have dropped one.
	doubtTime = 20 * time.Second
)

// A line is an open connection to a target.
type line struct {
	net.Conn
	reader *bufio.Reader
	// used is true if the connection has carried an earlier exchange.
	used bool
	// since is when the connection became idle, until when it must no longer be
	// reused.
	since time.Time
	until time.Time
	// idle is how long the connection was idle before the current exchange.
	idle time.Duration
}

// kept holds idle connections by target address. It is safe for concurrent use.
type kept struct {
	mutex sync.Mutex
	lines map[string][]*line
	// held counts the successful exchanges over connections that had been idle
	// for longer than defaultIdle, since a connection was last found dropped.
	held int
	// limit bounds the idle time of all connections until doubtEnds. It is set
	// when a target is found to have dropped a connection without closing it.
	limit     time.Duration
	doubtEnds time.Time
}

// take removes and returns a usable idle connection to the address, or nil. It
// takes the most recently used one, so that the others can expire. retryable says
// whether the request can be retried if the target has dropped the connection
// without closing it.
func (k *kept) take(address string, repeatable bool, now time.Time) *line {
	longest := k.longest(repeatable, now)
	for {
		l := k.pop(address, now.Add(-longest))
		if l == nil {
			return nil
		}
		if now.Before(l.until) && quiet(l.Conn) {
			l.idle = now.Sub(l.since)
			return l
		}
		l.Close()
	}
}

// longest returns how long a connection may have been idle to carry a request
// that can or cannot be retried.
func (k *kept) longest(repeatable bool, now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case now.Before(k.doubtEnds):
		return k.limit
	case repeatable || k.held >= trustAfter:
		return maxIdle
	}
	return unsaidIdle
}

// worked records a successful exchange over a connection that had been idle.
func (k *kept) worked(idle time.Duration) {
	if idle <= unsaidIdle {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.held++
}

// dropped records that the target had dropped a connection that was idle for the
// given time. For dropPenalty, only connections that were idle for at most half
// of it are reused. It returns that limit.
func (k *kept) dropped(idle time.Duration, now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	limit := max(leastIdle, idle/2)
	if now.Before(k.doubtEnds) {
		limit = min(limit, k.limit)
	}
	k.held, k.limit, k.doubtEnds = 0, limit, now.Add(doubtTime)
	return limit
}

// pop removes and returns the connection that became idle last, or nil if it did
// so before the given time.
func (k *kept) pop(address string, since time.Time) *line {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	list := k.lines[address]
	if len(list) == 0 || list[len(list)-1].since.Before(since) {
		return nil
	}
	l := list[len(list)-1]
	k.lines[address] = list[:len(list)-1]
	return l
}

// put adds a connection whose response was read in full. keepAlive is the time
// that the target announced for it, 0 if it announced none. A connection that
// must not be reused is closed.
func (k *kept) put(address string, l *line, keepAlive time.Duration, now time.Time) {
	idle := unsaidIdle
	if keepAlive > 0 {
		idle = min(maxIdle, keepAlive-keepMargin)
	}
	if idle <= 0 || l.reader.Buffered() > 0 {
		l.Close()
		return
	}
	l.used, l.since, l.until = true, now, now.Add(idle)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.lines == nil {
		k.lines = map[string][]*line{}
	}
	if len(k.lines[address]) >= maxIdlePerTarget {
		l.Close()
		return
	}
	k.lines[address] = append(k.lines[address], l)
}

// sweep closes the connections that have been idle for too long.
func (k *kept) sweep(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for address, list := range k.lines {
		left := list[:0]
		for _, l := range list {
			if now.Before(l.until) {
				left = append(left, l)
			} else {
				l.Close()
			}
		}
		k.lines[address] = left
		if len(left) == 0 {
			delete(k.lines, address)
		}
	}
}

// quiet reports whether an idle connection is open and has no bytes to read. Bytes
// that arrive while it is idle belong to no request.
func quiet(c net.Conn) bool {
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
