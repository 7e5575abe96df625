package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// An Identification asks a target who it is, on the connection that a request is about to use. A connection
// leads to one process, so the answer holds as long as it is open.
type Identification struct {
	// Request is sent before the first request that needs the answer. Its host is the address.
	Request *Request
	// Identity returns who the target is by its response, or an empty string if it does not say.
	Identity func(status int, body []byte) string
	// Want is the identity that the request is meant for.
	Want string
	// Required is true if the request must not be sent to a target that does not say who it is.
	Required bool
}

const (
	// identifyTimeout bounds the time until the target has said who it is.
	identifyTimeout = 300 * time.Millisecond
	// maxIdentityBytes bounds the body of its response.
	maxIdentityBytes = 64 << 10
)

// Errors of the identification of a target. The request has not been sent.
var (
	// ErrOtherIdentity means that the target is not the one that the request is meant for.
	ErrOtherIdentity = errors.New("the target is another one than expected")
	// ErrNoIdentity means that the target did not say who it is.
	ErrNoIdentity = errors.New("the target does not state who it is")
)

// identify asks the target on a new connection who it is, and returns a connection to it. A target that
// ends the connection with its response gets another one, and counts as one that does not say.
func (d *Dialer) identify(ctx context.Context, address string, c *conn, i *Identification) (*conn, error) {
	identity, kept, err := c.ask(ctx, address, i)
	switch {
	case err != nil:
		c.Close()
		return nil, fmt.Errorf("identify: %w", err)
	case identity != "" && identity != i.Want:
		c.Close()
		return nil, fmt.Errorf("%w: %q instead of %q", ErrOtherIdentity, identity, i.Want)
	case i.Required && (identity == "" || !kept):
		c.Close()
		return nil, ErrNoIdentity
	}
	if !kept {
		c.Close()
		if c, err = d.dial(ctx, address); err != nil {
			return nil, err
		}
		c.identified = true
		return c, nil
	}
	// The response to the question may be written again.
	c.identified, c.identity, c.reused = true, identity, true
	return c, nil
}

// ask sends the identification. It returns the identity that the target states, and whether the connection
// can be used further.
func (c *conn) ask(ctx context.Context, address string, i *Identification) (identity string, kept bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	question := *i.Request
	question.Host = address
	if err := question.write(c); err != nil {
		return "", false, err
	}
	resp := &Response{conn: c}
	response, err := resp.readHead(question.Method)
	if err != nil {
		return "", false, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxIdentityBytes+1))
	if err != nil {
		return "", false, err
	}
	if len(body) > maxIdentityBytes {
		return "", false, ErrBodyTooLong
	}
	kept = keepAliveOf(response) >= 0 && c.reader.Buffered() == 0 && stop()
	return i.Identity(response.StatusCode, body), kept, nil
}

// Identified reports whether the target said, on this connection, that it is the one that the request is meant
// for.
func (resp *Response) Identified() bool { return resp.conn.identity != "" }
