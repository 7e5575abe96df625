package exchange

import (
	"errors"
	"math"
	"net"
)

const (
	// maxHeadBytes bounds what is read before the body of a response begins: interim
	// responses and the header.
	maxHeadBytes = 64 << 10
	// maxLateBytes bounds a late response to an earlier request, which is discarded.
	maxLateBytes = 1 << 20
	// maxBufferedBytes bounds the bodies that a Dialer's exchanges hold in memory at once,
	// so that targets that send bodies without end cannot exhaust the instance's memory.
	maxBufferedBytes = 48 << 20
)

// Errors of an exchange with a peer that sends more than is acceptable.
var (
	// ErrHeadTooLong means that the header of a response, with the interim responses
	// before it, does not end within the limit.
	ErrHeadTooLong = errors.New("header of the response exceeds the limit")
	// ErrBodyTooLong means that a body is longer than the limit of its reader.
	ErrBodyTooLong = errors.New("body of the response exceeds the limit")
	// ErrBuffersFull means that all bodies being read together exceed the limit.
	ErrBuffersFull = errors.New("bodies of responses exceed the memory for them")
)

// A limitedConn is a connection that fails to read once it has delivered as many bytes
// as it may.
type limitedConn struct {
	net.Conn
	left int64
}

// allow sets how many more bytes may be read.
func (c *limitedConn) allow(bytes int64) { c.left = bytes }

// allowAll removes the limit.
func (c *limitedConn) allowAll() { c.left = math.MaxInt64 }

// Read reads from the connection within the limit.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}
