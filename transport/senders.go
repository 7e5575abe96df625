package transport

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

const (
	// senderQueue is the capacity of the queue to one voter, in messages.
	senderQueue = 1024
	// maxStepBytes is the size at which a batch of quorum messages is sent. A
	// single larger message is sent by itself.
	maxStepBytes = 8 << 20
	// stepTimeout is the timeout of a batch larger than smallStepBytes.
	stepTimeout = 2 * time.Second
	// heartbeatTimeout is the timeout of a small batch, which has no snapshot and
	// few entries. It is short enough that a connection without responses is
	// abandoned before the minimum election timeout of the voters, during which
	// they withhold their votes, is over.
	heartbeatTimeout = 500 * time.Millisecond
	// smallStepBytes is the maximum size of a small batch.
	smallStepBytes = 64 << 10
)

// Senders sends quorum messages to the other voters. Each voter has its own queue,
// so that a slow voter does not delay the others. It is safe for concurrent use.
type Senders struct {
	client *Client
	self   uint64
	mutex  sync.Mutex
	byID   map[uint64]*sender
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// A sender sends the queued messages to one voter.
type sender struct {
	address string
	client  peer.Peer
	queue   chan *peer.Message
	cancel  context.CancelFunc
}

// NewSenders returns senders to the voters at the addresses, by voter id, and starts
// their loops. self is the id of this voter, which gets no messages.
func NewSenders(client *Client, addresses map[uint64]string, self uint64) *Senders {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Senders{client: client, self: self, byID: map[uint64]*sender{}, ctx: ctx, cancel: cancel}
	s.SetAddresses(addresses)
	return s
}

// SetAddresses replaces the addresses of the voters, by voter id. It stops the senders
// whose voter was removed or moved and starts those that are missing.
func (s *Senders) SetAddresses(addresses map[uint64]string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, each := range s.byID {
		if addresses[id] != each.address {
			each.cancel()
			delete(s.byID, id)
		}
	}
	for id, address := range addresses {
		if id != s.self && s.byID[id] == nil {
			s.byID[id] = s.start(address)
		}
	}
}

// start starts a sender to the address.
func (s *Senders) start(address string) *sender {
	ctx, cancel := context.WithCancel(s.ctx)
	each := &sender{address: address, client: s.client.Peer(address), queue: make(chan *peer.Message, senderQueue), cancel: cancel}
	s.group.Add(1)
	go each.loop(ctx, &s.group)
	return each
}

// Send queues the messages by recipient without blocking. A message to an unknown
// voter or for a full queue is dropped; the quorum protocol retransmits.
func (s *Senders) Send(messages []*peer.Message) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, m := range messages {
		to := s.byID[m.To]
		if to == nil {
			continue
		}
		select {
		case to.queue <- m:
		default:
		}
	}
}

// Close ends the loops and waits for them. Queued messages are dropped.
func (s *Senders) Close() {
	s.cancel()
	s.group.Wait()
}

func (s *sender) loop(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			batch, size := s.batch(m)
			s.send(ctx, batch, size)
		}
	}
}

// batch returns the first message and further queued ones, up to maxStepBytes, and
// their total size.
func (s *sender) batch(first *peer.Message) (messages []*peer.Message, bytes int) {
	batch := []*peer.Message{first}
	size := proto.Size(first)
	for size < maxStepBytes {
		select {
		case m := <-s.queue:
			batch = append(batch, m)
			size += proto.Size(m)
		default:
			return batch, size
		}
	}
	return batch, size
}

// send sends a batch once. It is not retried, because the quorum protocol
// retransmits and a late message has no value.
func (s *sender) send(ctx context.Context, batch []*peer.Message, size int) {
	timeout := heartbeatTimeout
	if size > smallStepBytes {
		timeout = stepTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, _ = s.client.Step(ctx, &peer.StepRequest{Messages: batch})
}
