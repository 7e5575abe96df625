package caller

import (
	"context"
	"sync"
	"time"

	"auburnscale/control"
	"auburnscale/peer"
	"auburnscale/service"
)

const (
	lateQueue   = 1024
	lateTimeout = 30 * time.Second
	// closeTimeout bounds how long an answer waits for its outcome to be stored.
	closeTimeout = 2 * time.Second
)

// A claimer closes claims. One that cannot be closed in time, because no control
// leader is reached, is closed later; until then a resend is told that the
// outcome is not known.
type claimer struct {
	proposer Proposer
	late     chan *peer.Command
	stop     chan struct{}
	done     chan struct{}
	once     sync.Once
	started  bool
}

func newClaimer(proposer Proposer) *claimer {
	return &claimer{proposer: proposer, late: make(chan *peer.Command, lateQueue), stop: make(chan struct{}), done: make(chan struct{})}
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
		case command := <-c.late:
			_ = c.propose(command, lateTimeout)
		case <-c.stop:
			c.flush()
			return
		}
	}
}

// flush gives each waiting close one short try at a planned stop.
func (c *claimer) flush() {
	for {
		select {
		case command := <-c.late:
			_ = c.propose(command, closeTimeout)
		default:
			return
		}
	}
}

func (c *claimer) propose(command *peer.Command, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := c.proposer.Propose(ctx, command)
	return err
}

// close stores the outcome before the caller gets it. It does not end with the
// caller's deadline: the outcome is a fact by now.
func (c *claimer) close(claimed *call, outcome *peer.Outcome) {
	if c.propose(closeCommand(claimed, outcome), closeTimeout) != nil {
		c.later(claimed, outcome)
	}
}

// later closes the claim when a control leader is reached again. A full queue
// drops it: then resends hear that the outcome is not known, which is true.
func (c *claimer) later(claimed *call, outcome *peer.Outcome) {
	select {
	case c.late <- closeCommand(claimed, outcome):
	default:
	}
}

func closeCommand(claimed *call, outcome *peer.Outcome) *peer.Command {
	return &peer.Command{Body: &peer.Command_CloseClaim{CloseClaim: &peer.CloseClaim{
		Workspace: claimed.who.workspace.Name, Key: claimed.key, Owner: claimed.id, Outcome: outcome,
	}}}
}

func outcomeOf(answer *service.Response) *peer.Outcome {
	outcome := &peer.Outcome{Status: int32(answer.Status()), ContentType: answer.ContentType(), Body: answer.Body()}
	if len(outcome.Body) > control.MaxOutcomeBytes {
		outcome.Body = nil
		outcome.BodyDropped = true
	}
	return outcome
}
