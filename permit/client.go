package permit

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"auburnscale/peer"
)

// A Dialer returns peer protocol clients.
type Dialer interface {
	// Peer returns the client for the instance at a peer address.
	Peer(address string) peer.Peer
}

// errNoLeader means that no reachable control instance knows a leader.
var errNoLeader = errors.New("no control leader is known")

// A Client asks the control leader for permits. It is safe for concurrent use.
type Client struct {
	incarnation string
	addresses   func() []string
	dialer      Dialer

	mutex sync.Mutex
	// leader is the peer address of the last known leader, or empty.
	leader string
}

// NewClient returns a client of the instance with the incarnation. The function returns the peer
// addresses of the control instances.
func NewClient(incarnation string, addresses func() []string, dialer Dialer) *Client {
	return &Client{incarnation: incarnation, addresses: addresses, dialer: dialer}
}

// Ask asks the leader for a permit.
func (c *Client) Ask(ctx context.Context, limit *peer.TargetLimit) (response *peer.PermitResponse, err error) {
	return response, c.askLeader(ctx, func(control peer.Peer) (bool, string, error) {
		response, err = control.IssuePermit(ctx, &peer.PermitRequest{Incarnation: c.incarnation, Limit: limit})
		return response.GetCurrent(), response.GetLeader(), err
	})
}

// TakeTokens takes the amount from the leader's bucket of that name, which refills at perSecond
// up to burst. If the bucket is empty it returns the time until it is not.
func (c *Client) TakeTokens(ctx context.Context, bucket string, perSecond, burst, amount float64) (time.Duration, error) {
	response, err := c.AskTokens(ctx, &peer.TokenRequest{Bucket: bucket, PerSecond: perSecond, Burst: burst, Amount: amount})
	if err != nil || response.Taken {
		return 0, err
	}
	return max(minWait, time.Duration(response.WaitMs)*time.Millisecond), nil
}

// AskTokens asks the leader for tokens. It returns an error if no leader answers.
func (c *Client) AskTokens(ctx context.Context, request *peer.TokenRequest) (response *peer.TokenResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return response, c.askLeader(ctx, func(control peer.Peer) (bool, string, error) {
		response, err = control.TakeTokens(ctx, request)
		return response.GetCurrent(), response.GetLeader(), err
	})
}

// askLeader asks the control instances in turn until one of them leads, or the context ends.
// The function returns whether the control instance leads, and the address of the leader if that
// is known there.
func (c *Client) askLeader(ctx context.Context, ask func(peer.Peer) (current bool, leader string, err error)) error {
	result := errNoLeader
	var asked []string
	for address := c.next(nil); address != ""; address = c.next(asked) {
		asked = append(asked, address)
		current, leader, err := ask(c.dialer.Peer(address))
		switch {
		case err == nil && current:
			c.setLeader(address)
			return nil
		case err == nil:
			c.setLeader(leader)
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			// The next request goes to another instance.
			c.setLeader(c.other(asked))
			return err
		case ctx.Err() != nil:
			return err
		default:
			result = err
			c.setLeader("")
		}
	}
	return result
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
