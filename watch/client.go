package watch

import (
	"context"
	"errors"
	"maps"
	"net/url"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
)

// A Dialer returns peer protocol clients.
type Dialer interface {
	// Peer returns the client for the instance at a peer address.
	Peer(address string) peer.Peer
}

// A Sink supplies the watch requests of an instance and consumes the responses.
type Sink interface {
	// Request returns a request with the fields that are the same for all
	// control instances.
	Request() *peer.WatchRequest
	// HandleResponse merges the response of one control instance.
	HandleResponse(*peer.WatchResponse)
}

const (
	// responseMargin is the time that a response may take in addition to
	// the hold before the request times out.
	responseMargin = 700 * time.Millisecond
	// minPollPause is the pause after a response, so that a control instance
	// that responds immediately is not flooded with requests.
	minPollPause = 20 * time.Millisecond
	// retryDelay is the pause after a failed request, so that a control
	// instance that does not respond is not polled continuously.
	retryDelay = 250 * time.Millisecond
	// maxFailures is the number of consecutive failures after which an address
	// that is neither a seed nor in the current replica list is dropped.
	maxFailures = 20
)

// A Client polls all control instances on behalf of one instance, with one
// long-poll loop per control instance.
type Client struct {
	self   string
	dialer Dialer
	sink   Sink
	logger *event.Logger

	mutex  sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	loops  map[string]*pollLoop
	seeds  map[string]bool
	// advertised holds the addresses of the replicas.
	advertised map[string]bool
	// replicas are the control instances as listed by the latest response with
	// the highest term.
	replicas []*peer.Replica
	term     uint64
	// domains holds the failure domain of each control instance that responded, by its
	// address.
	domains map[string]string
	// servers holds the incarnation of each control instance that responded, by its address.
	servers map[string]string
	// failing holds, by address, the control instances whose last poll failed, and whether they responded.
	failing map[string]bool
	// source is the control instance that configuration documents come from.
	source documentSource
}

// A pollLoop polls one control instance.
type pollLoop struct {
	client  *Client
	address string
	// server is the incarnation of the control instance that roster, a revision
	// of its target rows, belongs to.
	server   string
	roster   uint64
	counters sentCounters
	// endedSeen is the position in the server's counters of entry instances that stopped.
	endedSeen uint64
	// failures counts consecutive failed requests.
	failures int
	// unreachable is set from the first failure to the next success.
	unreachable bool
}

// NewClient returns a client that polls no control instance yet. self is this
// instance's own peer address if it is a control instance, or empty.
func NewClient(self string, dialer Dialer, sink Sink, logger *event.Logger) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		self: self, dialer: dialer, sink: sink, logger: logger, ctx: ctx, cancel: cancel,
		loops: map[string]*pollLoop{}, seeds: map[string]bool{}, advertised: map[string]bool{}, domains: map[string]string{}, servers: map[string]string{}, failing: map[string]bool{}, source: documentSource{timeout: sourceTimeout},
	}
}

// SetSeeds replaces the seed addresses and starts polling them. A seed is polled
// even if no control instance lists it.
func (c *Client) SetSeeds(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = map[string]bool{}
	for _, a := range addresses {
		c.seeds[a] = true
		c.startLocked(a)
	}
}

// Stop ends all poll loops and waits for them.
func (c *Client) Stop() {
	c.cancel()
	c.group.Wait()
}

// Flush sends the last request of this instance to all control instances, with the counters that
// they lack. It is called at a planned stop, after Stop.
func (c *Client) Flush(ctx context.Context) {
	c.mutex.Lock()
	loops := slices.Collect(maps.Values(c.loops))
	c.mutex.Unlock()
	var group sync.WaitGroup
	for _, l := range loops {
		group.Go(func() { l.flush(ctx) })
	}
	group.Wait()
}

// flush sends the last request. What it does not deliver is lost with this instance, so that it
// is only logged.
func (l *pollLoop) flush(ctx context.Context) {
	request := l.client.sink.Request()
	request.Server, request.Roster, request.Last, request.Spare = l.server, l.roster, true, true
	request.Begun = l.counters.missing(request.Begun)
	if _, err := l.client.dialer.Peer(l.address).Watch(ctx, request); err != nil {
		l.client.logger.Log(event.FlushFailed, zap.String("address", l.address), zap.Int("counters", len(request.Begun)), zap.Error(err))
	}
}

// Addresses returns the peer addresses of the control instances being polled, in
// no particular order.
func (c *Client) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []string
	for a := range c.loops {
		list = append(list, a)
	}
	return list
}

// Domains returns the failure domains of the control instances that have responded, by
// peer address.
func (c *Client) Domains() map[string]string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.domains)
}

// Servers returns the incarnations of the control instances being polled by peer address; empty
// for those that have not responded.
func (c *Client) Servers() map[string]string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	servers := make(map[string]string, len(c.loops))
	for address := range c.loops {
		servers[address] = c.servers[address]
	}
	return servers
}

func (c *Client) recordResponder(address string, response *peer.WatchResponse) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.domains[address], c.servers[address] = response.ResponderDomain, response.Server
	delete(c.failing, address)
}

// recordFailure records how the last poll of a control instance failed.
func (c *Client) recordFailure(address string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failing[address] = responded(err)
}

// Failing returns the number of control instances whose last poll got no response, and the number of
// those that responded with an error or with a response that cannot be read.
func (c *Client) Failing() (silent, unreadable int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, responded := range c.failing {
		if responded {
			unreadable++
		} else {
			silent++
		}
	}
	return silent, unreadable
}

// Unreadable reports whether no control instance that is polled answers with what can be read, and at
// least one answers with something else. Then this instance is not cut off, but behind.
func (c *Client) Unreadable() bool {
	silent, unreadable := c.Failing()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return unreadable > 0 && silent+unreadable == len(c.loops)
}

// responded reports whether a failed call got a response: an error of the other instance, or a
// message that cannot be decoded.
func responded(err error) bool {
	var network *url.Error
	return err != nil && !errors.As(err, &network) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
}

// ControlReplicas returns the members of the control group as last listed by a
// control instance.
func (c *Client) ControlReplicas() []*peer.Replica {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.replicas
}

// startLocked starts a poll loop for the address unless there is one already.
func (c *Client) startLocked(address string) {
	if address == c.self || address == "" || c.loops[address] != nil || c.ctx.Err() != nil {
		return
	}
	l := &pollLoop{client: c, address: address}
	c.loops[address] = l
	c.group.Add(1)
	go l.run()
}

// updateReplicas starts polling the control instances that a response lists. A
// response with an older term than the current list is ignored.
func (c *Client) updateReplicas(response *peer.WatchResponse) {
	replicas := response.Control
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(replicas) == 0 || response.Term < c.term {
		return
	}
	c.replicas, c.term = replicas, response.Term
	c.advertised = map[string]bool{}
	for _, r := range replicas {
		c.advertised[r.Address] = true
		c.startLocked(r.Address)
	}
}

// dropIfStale removes the loop, and returns true, if its address has failed
// maxFailures times in a row and is neither a seed nor in the replica list.
func (c *Client) dropIfStale(l *pollLoop) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l.failures < maxFailures || c.seeds[l.address] || c.advertised[l.address] {
		return false
	}
	delete(c.loops, l.address)
	delete(c.domains, l.address)
	delete(c.servers, l.address)
	delete(c.failing, l.address)
	return true
}

func (l *pollLoop) run() {
	defer l.client.group.Done()
	for l.client.ctx.Err() == nil {
		wait, ok := l.poll()
		if !ok {
			wait = retryDelay
			if l.client.dropIfStale(l) {
				return
			}
		}
		select {
		case <-l.client.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// poll sends one watch request. It returns the pause before the next one and
// whether the request succeeded.
func (l *pollLoop) poll() (time.Duration, bool) {
	request := l.client.sink.Request()
	request.Server, request.Roster, request.EndedSeen = l.server, l.roster, l.endedSeen
	begun := request.Begun
	request.Begun = l.counters.missing(begun)
	var wait time.Duration
	request.Spare, request.Version, wait = l.client.documentRequest(l, request.Version)
	if wait > 0 {
		return wait, true
	}
	ctx, cancel := context.WithTimeout(l.client.ctx, holdOf(request)+responseMargin)
	defer cancel()
	response, err := l.client.dialer.Peer(l.address).Watch(ctx, request)
	if err != nil {
		l.failures++
		l.client.releaseSource(l)
		if !l.unreachable && l.client.ctx.Err() == nil {
			l.unreachable = true
			l.client.logger.Log(event.ControlLost, zap.String("address", l.address), zap.Bool("responded", responded(err)), zap.Error(err))
		}
		l.client.recordFailure(l.address, err)
		return 0, false
	}
	if l.unreachable {
		l.client.logger.Log(event.ControlRestored, zap.String("address", l.address), zap.Int("failures", l.failures),
			zap.String("incarnation", response.Server), zap.Bool("restarted", l.server != "" && l.server != response.Server))
	}
	l.failures, l.unreachable = 0, false
	l.counters.acknowledge(response.Server, begun, request.Begun)
	l.client.recordResponder(l.address, response)
	l.client.sink.HandleResponse(response)
	if response.Full || l.server == response.Server {
		l.server, l.roster, l.endedSeen = response.Server, response.Roster, response.EndedSeen
	}
	l.client.updateReplicas(response)
	l.client.noteReceived(response.Document.GetVersion())
	if response.Version > request.Version && request.Spare {
		l.client.noteAnnounced(response.Version)
		// By the next request, the document source should have delivered the
		// version. If it has not, this loop can replace it.
		return sourceTimeout, true
	}
	return minPollPause, true
}
