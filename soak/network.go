package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"auburnscale/bind"
)

// A path is the way of bytes from one host to another. Hosts are the last bytes
// of their addresses.
type path struct{ from, to int }

// A network represents the links between all hosts of a site. Every listener
// that others reach stands behind a forwarder of it.
type network struct {
	mutex   sync.Mutex
	changed *sync.Cond
	cut     map[path]int
	delay   map[path]time.Duration
	open    map[*conversation]bool
	closing bool

	listeners []net.Listener
	group     sync.WaitGroup
}

// A conversation is one forwarded connection.
type conversation struct {
	network  *network
	from, to int
	near     *net.TCPConn
	far      *net.TCPConn
	// mute is true if the connection carries nothing any more, though new ones
	// between the same hosts work.
	mute bool
	over bool
}

func newNetwork() *network {
	n := &network{cut: map[path]int{}, delay: map[path]time.Duration{}, open: map[*conversation]bool{}}
	n.changed = sync.NewCond(&n.mutex)
	return n
}

// forward listens on the address and passes each connection on to the backend.
func (n *network) forward(address, backend netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("forward %s: %w", address, err)
	}
	n.listeners = append(n.listeners, listener)
	f := &forwarder{network: n, listener: listener, backend: backend}
	n.group.Go(f.run)
	return nil
}

// close ends every listener and connection.
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

// setCut holds bytes on the path back, or lets them go on.
func (n *network) setCut(p path, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if on {
		n.cut[p]++
	} else {
		n.cut[p]--
	}
	n.changed.Broadcast()
}

// setDelay makes bytes on the path late.
func (n *network) setDelay(p path, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delay[p] = delay
}

// reset ends the open connections of the host by a reset.
func (n *network) reset(host int) {
	n.each(host, func(c *conversation) { c.end(true) })
}

// silence makes the open connections of the host carry nothing any more.
func (n *network) silence(host int) {
	n.each(host, func(c *conversation) { c.mute = true })
}

func (n *network) each(host int, do func(c *conversation)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for c := range n.open {
		if c.from == host || c.to == host {
			do(c)
		}
	}
	n.changed.Broadcast()
}

// await returns once bytes may pass, with whether they had to wait. It returns
// false if the connection is over.
func (n *network) await(c *conversation, p path) (held, passes bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for !c.over && !n.closing && (c.mute || n.cut[p] > 0) {
		held = true
		n.changed.Wait()
	}
	return held, !c.over && !n.closing
}

func (n *network) delayOf(p path) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.delay[p]
}

// A forwarder takes the connections of one listener.
type forwarder struct {
	network  *network
	listener net.Listener
	backend  netip.AddrPort
}

func (f *forwarder) run() {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		near, ok := connection.(*net.TCPConn)
		if !ok {
			connection.Close()
			continue
		}
		c := &conversation{network: f.network, from: hostOf(near.RemoteAddr()), to: int(f.backend.Addr().As4()[3]), near: near}
		d := &dialling{conversation: c, backend: f.backend}
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

// A dialling opens the far side of a conversation once the path is open.
type dialling struct {
	conversation *conversation
	backend      netip.AddrPort
}

func (d *dialling) run() {
	c, n := d.conversation, d.conversation.network
	n.mutex.Lock()
	n.open[c] = true
	n.mutex.Unlock()
	defer c.close()
	if _, passes := n.await(c, path{c.from, c.to}); !passes {
		return
	}
	far, err := bind.Dialer(d.backend.Addr()).Dial("tcp", d.backend.String())
	if err != nil {
		c.reset()
		return
	}
	n.mutex.Lock()
	c.far = far.(*net.TCPConn)
	n.mutex.Unlock()
	back := &copying{c, c.near, c.far, path{c.to, c.from}}
	forth := &copying{c, c.far, c.near, path{c.from, c.to}}
	var both sync.WaitGroup
	both.Go(back.run)
	both.Go(forth.run)
	both.Wait()
}

func (c *conversation) close() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.end(false)
	delete(c.network.open, c)
}

func (c *conversation) reset() {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	c.end(true)
}

// end closes both sides. The network's mutex is held.
func (c *conversation) end(reset bool) {
	c.over = true
	for _, side := range []*net.TCPConn{c.near, c.far} {
		if side == nil {
			continue
		}
		if reset {
			// A failure means that the connection is closed already.
			_ = side.SetLinger(0)
		}
		side.Close()
	}
	c.network.changed.Broadcast()
}

// A copying passes on the bytes of one direction.
type copying struct {
	conversation *conversation
	into, from   *net.TCPConn
	path         path
}

const copyBuffer = 16 << 10

func (c *copying) run() {
	n := c.conversation.network
	buffer := make([]byte, copyBuffer)
	for {
		count, err := c.from.Read(buffer)
		held, passes := n.await(c.conversation, c.path)
		if !passes {
			return
		}
		if held && wasReset(c.from) || err != nil && !errors.Is(err, io.EOF) {
			// Bytes that were held are lost if their sender gave the connection up.
			c.conversation.reset()
			return
		}
		if delay := n.delayOf(c.path); delay > 0 {
			time.Sleep(delay)
		}
		if _, werr := c.into.Write(buffer[:count]); werr != nil {
			c.conversation.reset()
			return
		}
		if err != nil {
			// The other direction may still have bytes.
			_ = c.into.CloseWrite()
			return
		}
	}
}

// wasReset reports whether the other side has reset the connection.
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
