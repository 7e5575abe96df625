package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

const (
	senderQueue = 1024
	// maxStepBytes bounds one batch of quorum messages; a single larger message
	// still goes alone.
	maxStepBytes = 8 << 20
	stepTimeout  = 2 * time.Second
	// heartbeatTimeout bounds a batch without a snapshot or many entries. A
	// connection that has gone mute is given up within it, while the voters
	// still keep their promise to the leader.
	heartbeatTimeout = 500 * time.Millisecond
	smallStepBytes   = 64 << 10
)

// Senders carries quorum messages to the other voters, each through a queue of
// its own, so that a slow voter does not hold up the rest.
type Senders struct {
	client *Client
	self   uint64
	mutex  sync.Mutex
	byID   map[uint64]*sender
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

type sender struct {
	address string
	stub    peer.Peer
	queue   chan *peer.Message
	cancel  context.CancelFunc
}

// NewSenders returns the senders to the voters at the addresses and starts their
// loops.
func NewSenders(client *Client, addresses map[uint64]string, self uint64) *Senders {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Senders{client: client, self: self, byID: map[uint64]*sender{}, ctx: ctx, cancel: cancel}
	s.SetAddresses(addresses)
	return s
}

// Follow replaces the voters' addresses.
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

func (s *Senders) start(address string) *sender {
	ctx, cancel := context.WithCancel(s.ctx)
	each := &sender{address: address, stub: s.client.Peer(address), queue: make(chan *peer.Message, senderQueue), cancel: cancel}
	s.group.Add(1)
	go each.loop(ctx, &s.group)
	return each
}

// Send queues the messages. A message to an unknown voter or into a full queue
// is dropped; the protocol sends again what matters.
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

// Close ends the loops.
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

// send gives a batch one try. A late quorum message has no value.
func (s *sender) send(ctx context.Context, batch []*peer.Message, size int) {
	limit := heartbeatTimeout
	if size > smallStepBytes {
		limit = stepTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, _ = s.stub.Step(ctx, &peer.StepRequest{Messages: batch})
}
