// Package authority executes external actions: changes of engine roles, changes of
// the platform's targets and usage reports to the platform. No other package may
// perform external actions.
//
// An action is committed as an intent, then sent under the leader's lease with the
// epoch as the fencing token, and then its response is committed. An action without
// a response is sent again with the same payload, by this leader or its successor,
// and never with a different payload. The package must not decide which actions are
// needed.
//
// # Usage
//
//	executor := authority.New(voter, senders, logger)
//	err := executor.Execute(ctx, action)
package authority

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
)

// ErrNoLease means that this process may not perform external actions now.
var ErrNoLease = errors.New("this process does not hold the leader lease")

// errBusy means that this process has another action on the target in flight.
var errBusy = errors.New("another action on the target is in flight")

// A Voter gives an Executor access to the lease and to the replicated state.
type Voter interface {
	// MayAct reports whether this process holds the leader lease, and so may perform
	// external actions now.
	MayAct() bool
	Incarnation() string
	Propose(ctx context.Context, command *peer.Command) (*peer.Result, error)
	Read(f func(*control.Machine))
}

// An Action is an external action on a target.
type Action struct {
	// ID identifies the action. Equal content has an equal ID.
	ID string
	// Target is the object of the action. A target has one open action at a time.
	Target string
	// Kind selects the Sender of the payload.
	Kind string
	// Payload is sent unchanged.
	Payload []byte
	// Fenced is true if the target rejects requests with an older epoch.
	Fenced bool
}

// A Sender sends a payload with an epoch and returns the HTTP status of the response
// and a short detail. An error means that no response was received.
type Sender interface {
	Send(ctx context.Context, target string, epoch uint64, payload []byte) (status int, detail string, err error)
}

const (
	sendTimeout    = 3 * time.Second
	proposeTimeout = 2 * time.Second
	// firstRetryableStatus is the lowest response status that leaves the intent
	// open, so that the same payload is sent again.
	firstRetryableStatus = 500
	// staleFencingStatus is the response status of a target to a request with an old
	// fencing token.
	staleFencingStatus = 409
)

// An Executor executes the external actions of this process. It sends them only
// while the process holds the leader lease.
type Executor struct {
	voter   Voter
	logger  *event.Logger
	senders map[string]Sender

	mutex    sync.Mutex
	inFlight map[string]bool
	group    sync.WaitGroup
}

// New returns an executor for the voter. The senders are keyed by action kind.
func New(v Voter, senders map[string]Sender, logger *event.Logger) *Executor {
	return &Executor{voter: v, senders: senders, logger: logger, inFlight: map[string]bool{}}
}

// Execute commits the action as an intent, sends it and commits the response. After
// an error the intent may be left open; RetryOpen sends it again.
func (e *Executor) Execute(ctx context.Context, action Action) error {
	if !e.acquireTarget(action.Target) {
		return errBusy
	}
	defer e.releaseTarget(action.Target)
	return e.execute(ctx, action)
}

func (e *Executor) execute(ctx context.Context, action Action) error {
	sender := e.senders[action.Kind]
	if sender == nil {
		return fmt.Errorf("no sender is registered for actions of kind %q", action.Kind)
	}
	epoch, done, err := e.open(ctx, action)
	if err != nil || done {
		return err
	}
	return e.send(ctx, sender, action, epoch)
}

// ExecuteAsync executes the action in a goroutine, so that a target that does not
// respond does not delay actions on others. It does nothing if an action on the
// same target is in flight.
func (e *Executor) ExecuteAsync(ctx context.Context, action Action) {
	if !e.acquireTarget(action.Target) {
		return
	}
	a := &asyncAction{executor: e, action: action}
	e.group.Add(1)
	go a.run(ctx)
}

// Wait waits until all actions started by ExecuteAsync have ended.
func (e *Executor) Wait() { e.group.Wait() }

// An asyncAction is an action started by ExecuteAsync.
type asyncAction struct {
	executor *Executor
	action   Action
}

func (a *asyncAction) run(ctx context.Context) {
	defer a.executor.group.Done()
	defer a.executor.releaseTarget(a.action.Target)
	// A failed action stays open and is retried later; execute logs the failure.
	_ = a.executor.execute(ctx, a.action)
}

// acquireTarget marks the target as having an action in flight. It returns false if
// it already has one, so that this process never has two.
func (e *Executor) acquireTarget(target string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.inFlight[target] {
		return false
	}
	e.inFlight[target] = true
	return true
}

func (e *Executor) releaseTarget(target string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.inFlight, target)
}

func (e *Executor) open(ctx context.Context, action Action) (epoch uint64, done bool, err error) {
	result, err := e.propose(ctx, &peer.Command{Actor: e.voter.Incarnation(), Body: &peer.Command_OpenIntent{OpenIntent: &peer.OpenIntent{
		Id: action.ID, Target: action.Target, Kind: action.Kind, Payload: action.Payload,
		Fenced: action.Fenced, Issuer: e.voter.Incarnation(),
	}}})
	if err != nil {
		return 0, false, fmt.Errorf("commit intent %s: %w", action.ID, err)
	}
	switch result.Code {
	case peer.Result_OK:
		return result.Epoch, false, nil
	case peer.Result_REPLAY:
		return 0, true, nil
	}
	e.logger.Log(event.ActionRefused, zap.String("target", action.Target), zap.String("intent", action.ID), zap.String("detail", result.Detail))
	return 0, false, fmt.Errorf("intent %s: %s", action.ID, result.Detail)
}

// send checks the lease immediately before it sends the payload. A process may still
// be paused between the check and the write and send after its lease has ended. For
// this reason targets check fencing tokens, and a different intent on a target that
// does not is refused until the issuers of the previous one are released.
func (e *Executor) send(ctx context.Context, sender Sender, action Action, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if !e.voter.MayAct() {
		return ErrNoLease
	}
	status, detail, err := sender.Send(ctx, action.Target, epoch, action.Payload)
	if err == nil && status >= firstRetryableStatus {
		err = fmt.Errorf("status %d: %s", status, detail)
	}
	if err != nil {
		e.logger.Log(event.ActionUnanswered, zap.String("target", action.Target), zap.String("intent", action.ID), zap.Error(err))
		return err
	}
	return e.close(action, status, detail)
}

// close commits the response. It does so even if this process has lost the
// lease in the meantime, because the response is valid and the commit releases this
// issuer. The exception is a rejected fencing token after the lease was lost: the
// intent stays open for the successor.
func (e *Executor) close(action Action, status int, detail string) error {
	const maxDetail = 200
	if status == staleFencingStatus && action.Fenced && !e.voter.MayAct() {
		return ErrNoLease
	}
	_, err := e.propose(context.Background(), &peer.Command{Actor: e.voter.Incarnation(), Body: &peer.Command_CloseIntent{CloseIntent: &peer.CloseIntent{
		Id: action.ID, Issuer: e.voter.Incarnation(), Status: int32(status), Detail: peer.Clip(detail, maxDetail),
	}}})
	if err != nil {
		return fmt.Errorf("commit response to intent %s: %w", action.ID, err)
	}
	e.logger.Log(event.ActionSent, zap.String("target", action.Target), zap.String("intent", action.ID), zap.Int("status", status))
	return nil
}

func (e *Executor) propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return e.voter.Propose(ctx, command)
}

// RetryOpen sends every open intent again with its committed payload, one after the
// other, and stops when the lease is lost.
func (e *Executor) RetryOpen(ctx context.Context) {
	for _, action := range e.openActions() {
		if !e.voter.MayAct() {
			return
		}
		_ = e.Execute(ctx, action)
	}
}

// RetryOpenAsync sends every open intent again with its committed payload. It does
// not wait for the responses.
func (e *Executor) RetryOpenAsync(ctx context.Context) {
	for _, action := range e.openActions() {
		e.ExecuteAsync(ctx, action)
	}
}

// openActions returns the actions of all open intents.
func (e *Executor) openActions() []Action {
	var open []Action
	e.voter.Read(func(m *control.Machine) {
		for _, i := range m.Intents() {
			if !i.Done {
				open = append(open, Action{ID: i.Id, Target: i.Target, Kind: i.Kind, Payload: i.Payload, Fenced: i.Fenced})
			}
		}
	})
	return open
}
