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
	// maxIdle is how long a connection may be idle and still take a request. It
	// is far below the seconds after which targets close theirs, so that the
	// close does not cross a request.
	maxIdle = 1200 * time.Millisecond
	// maxKept bounds the idle connections to one target. Targets count those of
	// all callers together.
	maxKept = 6
	// keepMargin is left of the time that a target says it keeps a connection.
	keepMargin = 500 * time.Millisecond
)

// A line represents an open connection to a target.
type line struct {
	net.Conn
	reader *bufio.Reader
	// used is true if an earlier exchange ran over it.
	used  bool
	since time.Time
	until time.Time
}

// kept holds idle connections by address. It is safe for concurrent use.
type kept struct {
	mutex sync.Mutex
	lines map[string][]*line
}

// take returns an idle connection that is still whole, or nil. The newest comes
// first, so that the others can run out.
func (k *kept) take(address string, now time.Time) *line {
	for {
		l := k.pop(address)
		if l == nil {
			return nil
		}
		if now.Before(l.until) && quiet(l.Conn) {
			return l
		}
		l.Close()
	}
}

func (k *kept) pop(address string) *line {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	list := k.lines[address]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	k.lines[address] = list[:len(list)-1]
	return l
}

// put keeps a connection whose answer was read in full.
func (k *kept) put(address string, l *line, keepAlive time.Duration, now time.Time) {
	idle := maxIdle
	if keepAlive > 0 {
		idle = min(idle, keepAlive-keepMargin)
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
