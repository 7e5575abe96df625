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
)

// Senders carries quorum messages to the other voters, each through a queue of
// its own, so that a slow voter does not hold up the rest.
type Senders struct {
	byID   map[uint64]*sender
	cancel context.CancelFunc
	group  sync.WaitGroup
}

type sender struct {
	stub  peer.Peer
	queue chan *peer.Message
}

// NewSenders returns the senders to the voters at the addresses and starts their
// loops.
func NewSenders(client *Client, addresses map[uint64]string, self uint64) *Senders {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Senders{byID: map[uint64]*sender{}, cancel: cancel}
	for id, address := range addresses {
		if id == self {
			continue
		}
		each := &sender{stub: client.Peer(address), queue: make(chan *peer.Message, senderQueue)}
		s.byID[id] = each
		s.group.Add(1)
		go each.loop(ctx, &s.group)
	}
	return s
}

// Send queues the messages. A message to an unknown voter or into a full queue
// is dropped; the protocol sends again what matters.
func (s *Senders) Send(messages []*peer.Message) {
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
			s.send(ctx, s.batch(m))
		}
	}
}

func (s *sender) batch(first *peer.Message) []*peer.Message {
	batch := []*peer.Message{first}
	size := proto.Size(first)
	for size < maxStepBytes {
		select {
		case m := <-s.queue:
			batch = append(batch, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

// send gives a batch one try. A late quorum message has no value.
func (s *sender) send(ctx context.Context, batch []*peer.Message) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_, _ = s.stub.Step(ctx, &peer.StepRequest{Messages: batch})
}
