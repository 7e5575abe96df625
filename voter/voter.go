// Package voter runs one voter: it drives the quorum step function with time,
// messages and proposals, stores what must be stored, sends what must be sent
// and applies what is committed to the control state machine.
//
// It owns the run loop and the only write access to the node, the data folder
// and the machine. It must not act on targets or the platform; that is the
// authority package's work.
//
// # Usage
//
//	v, err := voter.New(voter.Config{ID: 1, ...}, folder, link, logger)
//	v.Start()
//	result, err := v.Propose(ctx, command)
//	v.Stop()
package voter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quorum"
	"auburnscale/storage"
)

// Link carries quorum messages to the other voters. Send must not block; it may
// drop messages.
type Link interface {
	Send(messages []*peer.Message)
}

// Config is what a voter needs to know about itself.
type Config struct {
	ID            uint64
	InitialVoters []uint64
	// Replicas says where the initial voters are reached, if settings do not.
	Replicas    []*peer.Replica
	Timing      quorum.Timing
	Limits      control.Limits
	Incarnation string
	Seed        uint64
	// CompactEntries is the number of applied entries after which the log is
	// compacted into a snapshot.
	CompactEntries uint64
}

const (
	tickInterval   = 20 * time.Millisecond
	inboxSize      = 4096
	proposalSize   = 4096
	maxBatch       = 1024
	defaultCompact = 10000
)

// Errors that Propose returns.
var (
	// ErrNotLeader means that the command was not taken.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrUncertain means that the command may or may not be committed.
	ErrUncertain = errors.New("the leadership changed before the command was committed")
	// ErrStopped means that the voter has stopped and took nothing.
	ErrStopped = errors.New("the voter has stopped")
)

type proposal struct {
	command *peer.Command
	voters  *peer.Voters
	answer  chan answer
}

type answer struct {
	result *peer.Result
	err    error
}

type waiter struct {
	term   uint64
	answer chan answer
}

// A Standing represents who leads, as this voter knows it, at one moment.
type Status struct {
	leader  uint64
	term    uint64
	commit  uint64
	leading bool
	// lease is the end of the lease on clock.Now.
	lease   time.Duration
	members []quorum.MemberStatus
	heard   time.Duration
	voters  *peer.Voters
	since   time.Duration
}

// Leader returns the id of the leader, or 0.
func (s *Status) Leader() uint64 { return s.leader }

// Term returns the current term, which is the fencing number of a leader.
func (s *Status) Term() uint64 { return s.term }

// Commit returns the index of the last committed entry.
func (s *Status) Commit() uint64 { return s.commit }

// Voters returns the voter set in force.
func (s *Status) Voters() *peer.Voters { return s.voters }

// Since returns when, on clock.Now, this voter became the leader of the term.
func (s *Status) LeaderSince() time.Duration { return s.since }

// Silence returns the time since this voter heard a leader, or led.
func (s *Status) SinceLeaderContact() time.Duration { return clock.Now() - s.heard }

// Members returns what the leader knows of the other replicas; nil elsewhere.
func (s *Status) Members() []quorum.MemberStatus { return s.members }

// MayAct reports whether this voter may act outward at the time of clock.Now: it
// leads, its lease holds, and it has applied everything committed before its
// term.
func (s *Status) MayAct(at time.Duration) bool { return s.leading && at < s.lease }

// A Voter represents a running voter.
type Voter struct {
	config  Config
	folder  *storage.Folder
	link    Link
	logger  *event.Logger
	started time.Duration

	node    *quorum.Node
	waiters map[uint64]waiter
	applied uint64
	// appliedTerm is the term of the last applied entry.
	appliedTerm uint64
	compacted   uint64
	leading     bool
	// quietEnded is true once the early end of the quiet time was logged.
	quietEnded bool
	since      time.Duration
	startTerm  uint64
	broken     bool

	mutex   sync.RWMutex
	machine *control.Machine
	changed chan struct{}

	inbox     chan []*peer.Message
	proposals chan proposal
	standing  atomic.Pointer[Status]
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	failure   chan struct{}
}

// New returns a voter that goes on from what the folder holds.
func New(config Config, folder *storage.Folder, link Link, logger *event.Logger) *Voter {
	if config.CompactEntries == 0 {
		config.CompactEntries = defaultCompact
	}
	v := &Voter{
		config: config, folder: folder, link: link, logger: logger, started: clock.Now(),
		waiters: map[uint64]waiter{}, machine: control.New(config.Limits),
		inbox: make(chan []*peer.Message, inboxSize), proposals: make(chan proposal, proposalSize),
		changed: make(chan struct{}),
		stop:    make(chan struct{}), done: make(chan struct{}), failure: make(chan struct{}),
	}
	hard, entries, snapshot := folder.LoadedState()
	if snapshot != nil {
		v.machine.Restore(snapshot.State)
		v.applied = snapshot.Index
		v.appliedTerm = snapshot.Term
		v.compacted = snapshot.Index
	}
	random := rand.New(rand.NewPCG(config.Seed, config.ID))
	v.node = quorum.New(quorum.Config{ID: config.ID, Voters: config.InitialVoters, Replicas: config.Replicas, Timing: config.Timing, Rand: random},
		quorum.Restored{HardState: hard, Entries: entries, Snapshot: snapshot}, 0)
	v.publish()
	return v
}

// Broken returns a channel that is closed when the data folder has failed and
// this voter takes no further part.
func (v *Voter) StorageFailed() <-chan struct{} { return v.failure }

// Start runs the loop.
func (v *Voter) Start() { go v.run() }

// Stop ends the loop and waits for it. Open proposals get ErrUncertain.
func (v *Voter) Stop() {
	v.stopOnce.Do(func() { close(v.stop) })
	<-v.done
}

// Receive hands in messages of other voters. It drops them if the voter is
// overloaded; the protocol repeats what matters.
func (v *Voter) Receive(messages []*peer.Message) {
	select {
	case v.inbox <- messages:
	default:
	}
}

// Standing returns the voter's current knowledge of the leadership.
func (v *Voter) Status() *Status { return v.standing.Load() }

// MayAct reports whether this voter may act outward right now.
func (v *Voter) MayAct() bool { return v.Status().MayAct(clock.Now()) }

// ID returns the voter's id.
func (v *Voter) ID() uint64 { return v.config.ID }

// Incarnation returns the process's incarnation.
func (v *Voter) Incarnation() string { return v.config.Incarnation }

// Read calls f with the state machine, which f must neither change nor keep.
func (v *Voter) Read(f func(*control.Machine)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	f(v.machine)
}

// Changed returns a channel that is closed when the state's revision changes or
// the leadership does.
func (v *Voter) Changed() <-chan struct{} {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.changed
}

// Propose commits a command and returns its result, or one of the package's
// errors, or the context's.
func (v *Voter) Propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	// The log keeps its own copy: the caller may propose the same command again.
	command = proto.Clone(command).(*peer.Command)
	command.AtMs = clock.Wall().UnixMilli()
	return v.submit(ctx, proposal{command: command, answer: make(chan answer, 1)})
}

// Submit commits what the request of another instance asks for.
func (v *Voter) HandlePropose(ctx context.Context, request *peer.ProposeRequest) (*peer.Result, error) {
	if request.Voters != nil {
		return v.ChangeVoters(ctx, request.Voters)
	}
	if request.Command == nil {
		return &peer.Result{Code: peer.Result_REFUSED, Detail: "the request holds no command"}, nil
	}
	return v.Propose(ctx, request.Command)
}

// ChangeVoters commits a new voter set.
func (v *Voter) ChangeVoters(ctx context.Context, voters *peer.Voters) (*peer.Result, error) {
	return v.submit(ctx, proposal{voters: voters, answer: make(chan answer, 1)})
}

func (v *Voter) submit(ctx context.Context, p proposal) (*peer.Result, error) {
	select {
	case v.proposals <- p:
	case <-v.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("propose: %w", ctx.Err())
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-v.done:
		return nil, ErrUncertain
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for commit: %w", errors.Join(ErrUncertain, ctx.Err()))
	}
}

func (v *Voter) now() time.Duration { return clock.Now() - v.started }

func (v *Voter) log(k event.Kind, fields ...zap.Field) {
	v.logger.Log(k, append(fields, zap.Uint64("voter", v.config.ID))...)
}
