// Package authority is the one place through which the system acts outward: on
// engines' roles, on the platform's targets and on its usage reports.
//
// It owns the order of things: an action is committed as an intent, then sent
// under the leader's lease with the epoch as fencing number, then its answer is
// committed. An action without an answer is sent again with the same content,
// by this leader or its successor, never with a different one. It must not
// decide what to do.
//
// # Usage
//
//	a := authority.New(voter, logger)
//	err := a.Act(ctx, action, send)
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

// ErrNoLease means that this process may not act outward now.
var ErrNoLease = errors.New("this process holds no lease")

// errBusy means that an action on the target is on its way.
var errBusy = errors.New("another action on the target is on its way")

// Voter is what the authority needs of the replicated log.
type Voter interface {
	MayAct() bool
	Incarnation() string
	Propose(ctx context.Context, command *peer.Command) (*peer.Result, error)
	Read(f func(*control.Machine))
}

// An Action represents one thing to do to a target.
type Action struct {
	// ID names the action; the same content has the same id.
	ID string
	// Target is what is acted on. A target has one open action at a time.
	Target string
	// Kind says how the payload is sent.
	Kind string
	// Payload is sent byte for byte.
	Payload []byte
	// Fenced is true if the target refuses an older epoch.
	Fenced bool
}

// A Sender sends a payload with an epoch and returns the answer's status and a
// short detail. An error means that no answer came.
type Sender interface {
	Send(ctx context.Context, target string, epoch uint64, payload []byte) (status int, detail string, err error)
}

const (
	sendTimeout    = 3 * time.Second
	proposeTimeout = 2 * time.Second
	// firstFailure is the lowest status that the same content is repeated for.
	firstFailure = 500
	// staleStatus is a target's answer to an old fencing number.
	staleStatus = 409
)

// An Authority represents a process's right to act outward, which it has only
// while it holds the lease.
type Executor struct {
	voter   Voter
	logger  *event.Logger
	senders map[string]Sender

	mutex  sync.Mutex
	acting map[string]bool
	group  sync.WaitGroup
}

// New returns the authority over the voter. The senders are by action kind.
func New(v Voter, senders map[string]Sender, logger *event.Logger) *Executor {
	return &Executor{voter: v, senders: senders, logger: logger, acting: map[string]bool{}}
}

// Act commits the action, sends it and commits its answer. An error leaves the
// intent open; Resolve sends it again.
func (a *Executor) Execute(ctx context.Context, action Action) error {
	if !a.begin(action.Target) {
		return errBusy
	}
	defer a.end(action.Target)
	return a.act(ctx, action)
}

func (a *Executor) act(ctx context.Context, action Action) error {
	sender := a.senders[action.Kind]
	if sender == nil {
		return fmt.Errorf("no sender for actions of kind %q", action.Kind)
	}
	epoch, done, err := a.open(ctx, action)
	if err != nil || done {
		return err
	}
	return a.send(ctx, sender, action, epoch)
}

// Start acts beside the caller, so that a target that does not answer holds up
// no other. An action on a target that is being acted on is left out.
func (a *Executor) ExecuteAsync(ctx context.Context, action Action) {
	if !a.begin(action.Target) {
		return
	}
	d := &dispatch{authority: a, action: action}
	a.group.Add(1)
	go d.run(ctx)
}

// Wait returns when no started action is on its way any more.
func (a *Executor) Wait() { a.group.Wait() }

// A dispatch is one started action.
type dispatch struct {
	authority *Executor
	action    Action
}

func (d *dispatch) run(ctx context.Context) {
	defer d.authority.group.Done()
	defer d.authority.end(d.action.Target)
	// An action that fails stays open and is resolved later; act logs it.
	_ = d.authority.act(ctx, d.action)
}

// begin admits one send at a time to a target, so that this process never has
// two in flight.
func (a *Executor) begin(target string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.acting[target] {
		return false
	}
	a.acting[target] = true
	return true
}

func (a *Executor) end(target string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.acting, target)
}

func (a *Executor) open(ctx context.Context, action Action) (epoch uint64, done bool, err error) {
	result, err := a.propose(ctx, &peer.Command{Actor: a.voter.Incarnation(), Body: &peer.Command_OpenIntent{OpenIntent: &peer.OpenIntent{
		Id: action.ID, Target: action.Target, Kind: action.Kind, Payload: action.Payload,
		Fenced: action.Fenced, Issuer: a.voter.Incarnation(),
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
	a.logger.Log(event.ActionRefused, zap.String("target", action.Target), zap.String("intent", action.ID), zap.String("detail", result.Detail))
	return 0, false, fmt.Errorf("intent %s: %s", action.ID, result.Detail)
}

// send looks at the lease as the last thing before the bytes go out. A process
// that is paused between the two is why targets fence, and why an intent on one
// that does not must be released before a different one opens.
func (a *Executor) send(ctx context.Context, sender Sender, action Action, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if !a.voter.MayAct() {
		return ErrNoLease
	}
	status, detail, err := sender.Send(ctx, action.Target, epoch, action.Payload)
	if err == nil && status >= firstFailure {
		err = fmt.Errorf("status %d: %s", status, detail)
	}
	if err != nil {
		a.logger.Log(event.ActionUnanswered, zap.String("target", action.Target), zap.String("intent", action.ID), zap.Error(err))
		return err
	}
	return a.close(action, status, detail)
}

// close commits the answer. It does so even if this process has lost the lease
// since: the answer is a fact, and it releases this issuer.
func (a *Executor) close(action Action, status int, detail string) error {
	const maxDetail = 200
	if status == staleStatus && action.Fenced && !a.voter.MayAct() {
		return ErrNoLease
	}
	_, err := a.propose(context.Background(), &peer.Command{Actor: a.voter.Incarnation(), Body: &peer.Command_CloseIntent{CloseIntent: &peer.CloseIntent{
		Id: action.ID, Issuer: a.voter.Incarnation(), Status: int32(status), Detail: detail[:min(len(detail), maxDetail)],
	}}})
	if err != nil {
		return fmt.Errorf("commit answer to intent %s: %w", action.ID, err)
	}
	a.logger.Log(event.ActionSent, zap.String("target", action.Target), zap.String("intent", action.ID), zap.Int("status", status))
	return nil
}

func (a *Executor) propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return a.voter.Propose(ctx, command)
}

// Resolve sends every open intent again, with the content it was committed with.
func (a *Executor) RetryOpen(ctx context.Context) {
	for _, action := range a.unanswered() {
		if !a.voter.MayAct() {
			return
		}
		_ = a.Execute(ctx, action)
	}
}

// StartOpen starts every open intent again.
func (a *Executor) RetryOpenAsync(ctx context.Context) {
	for _, action := range a.unanswered() {
		a.ExecuteAsync(ctx, action)
	}
}

// unanswered returns the actions whose intents are open.
func (a *Executor) unanswered() []Action {
	var open []Action
	a.voter.Read(func(m *control.Machine) {
		for _, i := range m.Intents() {
			if !i.Done {
				open = append(open, Action{ID: i.Id, Target: i.Target, Kind: i.Kind, Payload: i.Payload, Fenced: i.Fenced})
			}
		}
	})
	return open
}
