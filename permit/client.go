package permit

import (
	"context"
	"errors"
	"slices"
	"sync"

	"auburnscale/peer"
)

// A Dialer returns peer protocol clients.
type Dialer interface {
	// Peer returns the client for the instance at a peer address.
	Peer(address string) peer.Peer
}

// errNoLeader means that the control instances that were asked know no leader.
var errNoLeader = errors.New("no control leader is known")

// A Client asks the control leader for permits. It is safe for concurrent use.
type Client struct {
	incarnation string
	addresses   func() []string
	dialer      Dialer

	mutex sync.Mutex
	// leader is the peer address that is asked first, or empty.
	leader string
}

// NewClient returns a client of the instance with the incarnation. The function returns the peer
// addresses of the control instances.
func NewClient(incarnation string, addresses func() []string, dialer Dialer) *Client {
	return &Client{incarnation: incarnation, addresses: addresses, dialer: dialer}
}

// Ask asks the leader for a permit. It asks the control instances in turn until one of them
// leads, or the context ends.
func (c *Client) Ask(ctx context.Context, limit *peer.TargetLimit) (*peer.PermitResponse, error) {
	err := errNoLeader
	var asked []string
	for address := c.next(nil); address != ""; address = c.next(asked) {
		asked = append(asked, address)
		var response *peer.PermitResponse
		response, err = c.dialer.Peer(address).IssuePermit(ctx, &peer.PermitRequest{Incarnation: c.incarnation, Limit: limit})
		switch {
		case err == nil && response.Current:
			c.setLeader(address)
			return response, nil
		case err == nil:
			err = errNoLeader
			c.setLeader(response.Leader)
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			// Another one may answer the next question in time.
			c.setLeader(c.other(asked))
			return nil, err
		case ctx.Err() != nil:
			return nil, err
		default:
			c.setLeader("")
		}
	}
	return nil, err
}

// next returns the address to ask after the given ones: that of the leader if it is known, or
// any other. It returns "" if all have been asked.
func (c *Client) next(asked []string) string {
	c.mutex.Lock()
	leader := c.leader
	c.mutex.Unlock()
	if leader != "" && !slices.Contains(asked, leader) {
		return leader
	}
	return c.other(asked)
}

// other returns the address of a control instance that was not asked, or "".
func (c *Client) other(asked []string) string {
	addresses := c.addresses()
	slices.Sort(addresses)
	for _, a := range addresses {
		if !slices.Contains(asked, a) {
			return a
		}
	}
	return ""
}

func (c *Client) setLeader(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = address
}
