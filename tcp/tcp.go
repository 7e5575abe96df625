// Package tcp provides TCP listeners, and dialers that bind their connections to
// the instance's own IP address.
//
// It owns the socket options of connections. It must not import any other package of
// this module.
//
// # Usage
//
//	dialer := tcp.Dialer(localIP)
package tcp

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// ipBindAddressNoPort is IP_BIND_ADDRESS_NO_PORT of Linux, which the
	// syscall package does not name.
	ipBindAddressNoPort = 24
	// userTimeout closes a connection whose bytes are not acknowledged. It is
	// below the few seconds within which a configuration change must be in effect
	// at every instance.
	userTimeout = 2500 * time.Millisecond
	// The keep-alive probes detect a dead peer on an idle connection.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Listen opens a TCP listener on the address (host:port) whose connections are
// closed when the peer stops responding.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive()}
	return config.Listen(context.Background(), "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option a connection to an unresponsive peer is only closed
		// later, so the error is ignored.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dialer returns a TCP dialer bound to the local IP address. The kernel chooses
// the local port at connect time and not when binding; otherwise one address would
// run out of ports for short connections to many targets.
func Dialer(local netip.Addr) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local.AsSlice()}, Control: setSocketOptions, KeepAliveConfig: keepAlive(),
	}
}

func setSocketOptions(network, address string, raw syscall.RawConn) error {
	if err := setUserTimeout(network, address, raw); err != nil {
		return err
	}
	return setBindAddressNoPort(network, address, raw)
}

func setBindAddressNoPort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An old kernel without the option only uses more ports, so the error is
		// ignored.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1)
	})
}

// Unaccepted returns the number of connections that peers have opened and the listener has not accepted, or 0 if the
// operating system does not report it.
func Unaccepted(listener net.Listener) int {
	// Linux reports the queue of a listening socket in the field for unacknowledged segments.
	if info := infoOf(listener); info != nil {
		return int(info.Unacked)
	}
	return 0
}

// stateClosed is TCP_CLOSE of Linux, the state of a connection without a peer.
const stateClosed = 7

// Gone reports whether the connection has ended in both directions, as after a reset, though this side has not closed it.
// It returns false if the operating system does not report it. Of the read and the write that are in progress at
// a reset only one fails with it: a read may then return io.EOF, as at the end of what the peer sent.
func Gone(connection net.Conn) bool {
	info := infoOf(connection)
	return info != nil && info.State == stateClosed
}

// infoOf returns what the operating system reports of a listener or connection, or nil.
func infoOf(socket any) (info *unix.TCPInfo) {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) {
		// Without the report info is nil.
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info
}
