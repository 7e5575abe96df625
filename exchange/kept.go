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
	// maxIdle is how long a connection may be idle at most and still take a
	// request, also if its target says that it keeps it for longer.
	maxIdle = 20 * time.Second
	// unsaidIdle is the same where the target does not say how long it keeps a
	// connection, and leastIdle what is left where targets drop theirs sooner.
	unsaidIdle = 1200 * time.Millisecond
	leastIdle  = 200 * time.Millisecond
	// maxKept bounds the idle connections to one target. Targets count those of
	// all callers together.
	maxKept = 6
	// keepMargin is left of the time that a target says it keeps a connection:
	// the close must not cross a request.
	keepMargin = 1500 * time.Millisecond
	// trustAfter is how many requests that may be repeated must have gone well
	// over connections that were idle for long, before others use such ones.
	trustAfter = 10
	// doubtTime is how long a connection that was found dropped shortens the
	// idle time of all.
	doubtTime = 20 * time.Second
)

// A line represents an open connection to a target.
type line struct {
	net.Conn
	reader *bufio.Reader
	// used is true if an earlier exchange ran over it.
	used  bool
	since time.Time
	until time.Time
	// idle is how long it was idle before the present exchange.
	idle time.Duration
}

// kept holds idle connections by address. It is safe for concurrent use.
type kept struct {
	mutex sync.Mutex
	lines map[string][]*line
	// held counts the exchanges that went well after a long idle time.
	held int
	// limit bounds the idle time until doubtEnds, since targets were found to
	// drop connections without a word.
	limit     time.Duration
	doubtEnds time.Time
}

// take returns an idle connection that is still whole, or nil. The newest comes
// first, so that the others can run out. repeatable tells whether the request
// can be sent again if the target has dropped the connection without a word.
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

// longest returns how long a connection for the request may have been idle.
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

// worked notes an exchange that went well over a kept connection.
func (k *kept) worked(idle time.Duration) {
	if idle <= unsaidIdle {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.held++
}

// dropped notes that a kept connection turned out to be gone. Others that were
// idle for as long are not used for a while. It returns the longest idle time
// until then.
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

// pop returns the newest connection, if it has been idle since the time or less.
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

// put keeps a connection whose answer was read in full.
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
	if len(k.lines[address]) >= maxKept {
		l.Close()
		return
	}
	k.lines[address] = append(k.lines[address], l)
}

// sweep closes what has been idle for too long.
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

// quiet reports whether an idle connection is open and nothing has come on it. A
// byte there belongs to no request.
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
