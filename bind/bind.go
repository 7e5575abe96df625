// Package bind makes listeners, and dialers whose connections come from the
// instance's own IP number.
//
// It owns the socket options of connections. It must not import any
// other package of this module.
//
// # Usage
//
//	dialer := bind.Dialer(localIP)
package bind

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
	// userTimeout ends a connection whose bytes nobody acknowledges. It is below
	// the few seconds within which a change must be in force everywhere.
	userTimeout = 2500 * time.Millisecond
	// keepAlive finds a silent connection that carries no bytes.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Listen opens a TCP listener whose connections end when the other side has
// gone silent.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive()}
	return config.Listen(context.Background(), "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option a silent connection only ends later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Dialer returns a TCP dialer bound to the local IP number. The kernel chooses
// the port at connect time; otherwise one address would run out of ports for
// short connections to many targets.
func Dialer(local netip.Addr) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local.AsSlice()}, Control: prepare, KeepAliveConfig: keepAlive(),
	}
}

func prepare(network, address string, raw syscall.RawConn) error {
	if err := setUserTimeout(network, address, raw); err != nil {
		return err
	}
	return choosePortLate(network, address, raw)
}

func choosePortLate(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An old kernel without the option only costs ports, so its error is
		// not a reason to fail.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1)
	})
}
