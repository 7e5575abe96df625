package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"auburnscale/tcp"
)

// A path is one direction of traffic between two hosts. A host is identified by the
// last byte of its address.
type path struct{ from, to int }

// A network represents the links between all hosts of an env. Every listener that
// another host connects to is reached through a forwarder.
type network struct {
	mutex   sync.Mutex
	changed *sync.Cond
	blocked map[path]int
	delay   map[path]time.Duration
	open    map[*forwardedConn]bool
	closing bool

	// failedDials describes the connections that could not be forwarded, except refused ones.
	failedDials []string

	listeners []net.Listener
	group     sync.WaitGroup
}

// A forwardedConn is one forwarded connection.
type forwardedConn struct {
	network  *network
	from, to int
	inbound  *net.TCPConn
	outbound *net.TCPConn
	// stalled is true if the connection carries no more bytes, though new
	// connections between the same hosts work.
	stalled bool
	ended   bool
}

func newNetwork() *network {
	n := &network{blocked: map[path]int{}, delay: map[path]time.Duration{}, open: map[*forwardedConn]bool{}}
	n.changed = sync.NewCond(&n.mutex)
	return n
}

// forward listens on the address and passes each connection on to the destination.
func (n *network) forward(address, destination netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("forward %s: %w", address, err)
	}
	n.listeners = append(n.listeners, listener)
	f := &forwarder{network: n, listener: listener, destination: destination}
	n.group.Go(f.run)
	return nil
}

// close closes every listener and connection.
func (n *network) close() {
	for _, l := range n.listeners {
		l.Close()
	}
	n.mutex.Lock()
	n.closing = true
	for c := range n.open {
		c.end(true)
	}
	n.changed.Broadcast()
	n.mutex.Unlock()
	n.group.Wait()
}

// setBlocked blocks the path, or undoes one earlier block. Bytes on a blocked path
// are held. A path that was blocked several times is open again when each block has
// been undone.
func (n *network) setBlocked(p path, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if on {
		n.blocked[p]++
	} else {
		n.blocked[p]--
	}
	n.changed.Broadcast()
}

// setDelay delays bytes on the path. A delay of 0 ends it.
func (n *network) setDelay(p path, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delay[p] = delay
}

// reset closes the open connections of the host with a TCP reset.
func (n *network) reset(host int) {
	n.forEach(host, func(c *forwardedConn) { c.end(true) })
}

// stall makes the open connections of the host carry no more bytes.
func (n *network) stall(host int) {
	n.forEach(host, func(c *forwardedConn) { c.stalled = true })
}

func (n *network) forEach(host int, do func(c *forwardedConn)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.open {
		if c.from == host || c.to == host {
			do(c)
		}
	}
	n.changed.Broadcast()
}

// awaitPath waits until bytes may pass. held reports whether it had to wait, passes
// is false if the connection has ended.
func (n *network) awaitPath(c *forwardedConn, p path) (held, passes bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for !c.ended && !n.closing && (c.stalled || n.blocked[p] > 0) {
		held = true
		n.changed.Wait()
	}
	return held, !c.ended && !n.closing
}

func (n *network) delayOf(p path) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.delay[p]
}

// A forwarder accepts the connections of one listener.
type forwarder struct {
	network     *network
	listener    net.Listener
	destination netip.AddrPort
}

func (f *forwarder) run() {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		inbound, ok := connection.(*net.TCPConn)
		if !ok {
			connection.Close()
			continue
		}
		c := &forwardedConn{network: f.network, from: hostOf(inbound.RemoteAddr()), to: int(f.destination.Addr().As4()[3]), inbound: inbound}
		d := &pendingDial{conn: c, destination: f.destination}
		f.network.group.Go(d.run)
	}
}

func hostOf(address net.Addr) int {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return 0
	}
	return int(parsed.Addr().Unmap().As4()[3])
}

// A pendingDial opens the outbound side of a connection once the path is not
// blocked, and then relays both directions.
type pendingDial struct {
	conn        *forwardedConn
	destination netip.AddrPort
}

func (d *pendingDial) run() {
	c, n := d.conn, d.conn.network
	n.mutex.Lock()
	n.open[c] = true
	n.mutex.Unlock()
	defer c.close()
	if _, passes := n.awaitPath(c, path{c.from, c.to}); !passes {
		return
	}
	outbound, err := tcp.Dialer(d.destination.Addr()).Dial("tcp", d.destination.String())
	if err != nil {
		n.noteFailedDial(c.from, err)
		c.reset()
		return
	}
	n.mutex.Lock()
	c.outbound = outbound.(*net.TCPConn)
	n.mutex.Unlock()
	toInbound := &relay{c, c.inbound, c.outbound, path{c.to, c.from}}
	toOutbound := &relay{c, c.outbound, c.inbound, path{c.from, c.to}}
	var both sync.WaitGroup
	both.Go(toInbound.run)
	both.Go(toOutbound.run)
	both.Wait()
}

// noteFailedDial records a connection that the soak resets because its destination cannot be
// reached.
func (n *network) noteFailedDial(from int, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.failedDials = append(n.failedDials, fmt.Sprintf("%s connection of host %d reset by the soak: %v", time.Now().Format("05.000"), from, err))
}

// notes returns the descriptions of the connections that could not be forwarded.
func (n *network) notes() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.failedDials)
}

func (c *forwardedConn) close() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.end(false)
	delete(c.network.open, c)
}

func (c *forwardedConn) reset() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.end(true)
}

// end closes both sides. The caller holds the network's mutex.
func (c *forwardedConn) end(reset bool) {
	c.ended = true
	for _, side := range []*net.TCPConn{c.inbound, c.outbound} {
		if side == nil {
			continue
		}
		if reset {
			// An error means that the connection is already closed.
			_ = side.SetLinger(0)
		}
		side.Close()
	}
	c.network.changed.Broadcast()
}

// A relay copies the bytes of one direction.
type relay struct {
	conn       *forwardedConn
	into, from *net.TCPConn
	path       path
}

const relayBufferSize = 16 << 10

func (c *relay) run() {
	n := c.conn.network
	buffer := make([]byte, relayBufferSize)
	for {
		count, err := c.from.Read(buffer)
		held, passes := n.awaitPath(c.conn, c.path)
		if !passes {
			return
		}
		if held && wasReset(c.from) || err != nil && !errors.Is(err, io.EOF) {
			// Held bytes are dropped if their sender has reset the connection.
			c.conn.reset()
			return
		}
		if delay := n.delayOf(c.path); delay > 0 {
			time.Sleep(delay)
		}
		if _, werr := c.into.Write(buffer[:count]); werr != nil {
			c.conn.reset()
			return
		}
		if err != nil {
			// Half-close: the other direction may still carry bytes.
			_ = c.into.CloseWrite()
			return
		}
	}
}

// wasReset reports whether the peer has reset the connection.
func wasReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reset = errors.Is(err, syscall.ECONNRESET)
		return true
	})
	return reset || err != nil
}
