package watch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
)

// Dialer gives the stub of the instance at a peer address.
type Dialer interface {
	Peer(address string) peer.Peer
}

// A Sink takes what control instances say and gives what they are told.
type Sink interface {
	// Request returns the part of a request that is the same for all.
	Request() *peer.WatchRequest
	// Take merges an answer.
	Take(*peer.WatchResponse)
}

const (
	// answerSlack is what an answer may take beyond Hold.
	answerSlack = 700 * time.Millisecond
	// pause keeps a control instance that answers at once from being flooded,
	// and one that does not from being asked without end.
	pause      = 20 * time.Millisecond
	retryPause = 250 * time.Millisecond
	// forgetAfter is the number of failures in a row after which an address
	// that nobody names any more is given up.
	forgetAfter = 20
)

// A Client represents an instance's watch over all control instances.
type Client struct {
	self   string
	dialer Dialer
	sink   Sink
	logger *event.Logger

	mutex  sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	loops  map[string]*loop
	seeds  map[string]bool
	named  map[string]bool
	// members are the control instances as last named by the one that voted in
	// the newest term.
	members []*peer.Replica
	term    uint64
	source  source
}

type loop struct {
	client  *Client
	address string
	server  string
	roster  uint64
	fails   int
	lost    bool
}

// NewClient returns a client that watches nobody yet. self is this instance's
// own peer address if it serves control itself.
func NewClient(self string, dialer Dialer, sink Sink, logger *event.Logger) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		self: self, dialer: dialer, sink: sink, logger: logger, ctx: ctx, cancel: cancel,
		loops: map[string]*loop{}, seeds: map[string]bool{}, named: map[string]bool{}, source: source{wait: sourceWait},
	}
}

// SetSeeds watches the peer addresses until further notice.
func (c *Client) SetSeeds(addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = map[string]bool{}
	for _, a := range addresses {
		c.seeds[a] = true
		c.startLocked(a)
	}
}

// Stop ends all loops.
func (c *Client) Stop() {
	c.cancel()
	c.group.Wait()
}

// Addresses returns the peer addresses of the control instances known.
func (c *Client) Addresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []string
	for a := range c.loops {
		list = append(list, a)
	}
	return list
}

// Named returns the members of the control group as last named.
func (c *Client) Named() []*peer.Replica {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.members
}

func (c *Client) startLocked(address string) {
	if address == c.self || address == "" || c.loops[address] != nil || c.ctx.Err() != nil {
		return
	}
	l := &loop{client: c, address: address}
	c.loops[address] = l
	c.group.Add(1)
	go l.run()
}

// learn watches the control instances that an answer names.
func (c *Client) learn(answer *peer.WatchResponse) {
	replicas := answer.Control
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(replicas) == 0 || answer.Term < c.term {
		return
	}
	c.members, c.term = replicas, answer.Term
	c.named = map[string]bool{}
	for _, r := range replicas {
		c.named[r.Address] = true
		c.startLocked(r.Address)
	}
}

// giveUp ends the watch over an address that nobody names any more.
func (c *Client) giveUp(l *loop) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l.fails < forgetAfter || c.seeds[l.address] || c.named[l.address] {
		return false
	}
	delete(c.loops, l.address)
	return true
}

func (l *loop) run() {
	defer l.client.group.Done()
	for l.client.ctx.Err() == nil {
		wait, ok := l.ask()
		if !ok {
			wait = retryPause
			if l.client.giveUp(l) {
				return
			}
		}
		select {
		case <-l.client.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// ask asks once, and returns the pause before the next question.
func (l *loop) ask() (time.Duration, bool) {
	request := l.client.sink.Request()
	request.Server, request.Roster = l.server, l.roster
	request.Spare, request.Version = l.client.role(l, request.Version)
	ctx, cancel := context.WithTimeout(l.client.ctx, Hold+answerSlack)
	defer cancel()
	answer, err := l.client.dialer.Peer(l.address).Watch(ctx, request)
	if err != nil {
		l.fails++
		l.client.resign(l)
		if !l.lost && l.client.ctx.Err() == nil {
			l.lost = true
			l.client.logger.Log(event.ControlLost, zap.String("address", l.address), zap.Error(err))
		}
		return 0, false
	}
	if l.lost {
		l.client.logger.Log(event.ControlRestored, zap.String("address", l.address), zap.Int("failures", l.fails))
	}
	l.fails, l.lost = 0, false
	l.client.sink.Take(answer)
	if answer.Full || l.server == answer.Server {
		l.server, l.roster = answer.Server, answer.Roster
	}
	l.client.learn(answer)
	l.client.take(answer.Document.GetVersion())
	if answer.Version > request.Version && request.Spare {
		l.client.tell(answer.Version)
		return sourceWait, true
	}
	return pause, true
}
