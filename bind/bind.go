// Package bind makes dialers whose connections come from the instance's own IP
// number.
//
// It owns the socket options of outgoing connections. It must not import any
// other package of this module.
//
// # Usage
//
//	dialer := bind.Dialer(localIP)
package bind

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	// ipBindAddressNoPort is IP_BIND_ADDRESS_NO_PORT of Linux, which the
	// syscall package does not name.
	ipBindAddressNoPort = 24
)

// Dialer returns a TCP dialer bound to the local IP number. The kernel chooses
// the port at connect time; otherwise one address would run out of ports for
// short connections to many targets.
func Dialer(local netip.Addr) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: local.AsSlice()}, Control: choosePortLate,
	}
}

func choosePortLate(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An old kernel without the option only costs ports, so its error is
		// not a reason to fail.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipBindAddressNoPort, 1)
	})
}
