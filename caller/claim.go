package caller

import (
	"context"
	"sync"
	"time"

	"auburnscale/control"
	"auburnscale/peer"
	"auburnscale/plainservice"
)

const (
	maxDeferredCloses = 1024
	// deferredCloseTimeout limits the attempt to commit a deferred close, which is
	// dropped afterwards.
	deferredCloseTimeout = 30 * time.Second
	// closeTimeout limits how long a response waits until its outcome is stored.
	closeTimeout = 2 * time.Second
)

// A claimer closes claims on idempotency keys. It defers a claim that it cannot
// close in time because no control leader is reachable; until that claim is closed,
// a retry under the same key receives the error that the outcome is unknown.
type claimer struct {
	proposer Proposer
	deferred chan *peer.Command
	stop     chan struct{}
	done     chan struct{}
	once     sync.Once
	started  bool
}

func newClaimer(proposer Proposer) *claimer {
	return &claimer{proposer: proposer, deferred: make(chan *peer.Command, maxDeferredCloses), stop: make(chan struct{}), done: make(chan struct{})}
}

func (c *claimer) start() {
	c.started = true
	go c.run()
}

func (c *claimer) stopAndWait() {
	c.once.Do(func() { close(c.stop) })
	if c.started {
		<-c.done
	}
}

func (c *claimer) run() {
	defer close(c.done)
	for {
		select {
		case command := <-c.deferred:
			_ = c.propose(command, deferredCloseTimeout)
		case <-c.stop:
			c.flush()
			return
		}
	}
}

// flush tries once, with a short timeout, to commit each deferred close. It runs at a
// planned stop.
func (c *claimer) flush() {
	for {
		select {
		case command := <-c.deferred:
			_ = c.propose(command, closeTimeout)
		default:
			return
		}
	}
}

func (c *claimer) propose(command *peer.Command, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.proposer.Propose(ctx, command)
	return err
}

// close stores the outcome before the caller receives it. It ignores the caller's
// deadline, because the call has already run and its outcome must be stored. If the
// commit fails, the close is deferred.
func (c *claimer) close(claimedCall *call, outcome *peer.Outcome) {
	if c.propose(closeCommand(claimedCall, outcome), closeTimeout) != nil {
		c.deferClose(claimedCall, outcome)
	}
}

// deferClose queues the close, to be committed when a control leader is reachable
// again. The close is dropped if the queue is full or no leader is reached within
// deferredCloseTimeout; retries then receive the error that the outcome is unknown.
func (c *claimer) deferClose(claimedCall *call, outcome *peer.Outcome) {
	select {
	case c.deferred <- closeCommand(claimedCall, outcome):
	default:
	}
}

func closeCommand(claimedCall *call, outcome *peer.Outcome) *peer.Command {
	return &peer.Command{Body: &peer.Command_CloseClaim{CloseClaim: &peer.CloseClaim{
		Workspace: claimedCall.identity.workspace.Name, Key: claimedCall.key, Owner: claimedCall.id, Outcome: outcome,
	}}}
}

// maxContentTypeBytes bounds the content type that is stored with an outcome.
const maxContentTypeBytes = 256

// outcomeFromResponse returns the response as an outcome to store. It drops a body
// over control.MaxOutcomeBytes.
func outcomeFromResponse(response *plainservice.Response) *peer.Outcome {
	outcome := &peer.Outcome{Status: int32(response.Status()), ContentType: peer.Clip(response.ContentType(), maxContentTypeBytes), Body: response.Body()}
	if len(outcome.Body) > control.MaxOutcomeBytes {
		outcome.Body = nil
		outcome.BodyDropped = true
	}
	return outcome
}
