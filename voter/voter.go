// Package voter runs one voter of the control group. It drives the quorum node
// with time, messages and proposals, persists and sends the effects of each step,
// and applies committed entries to the control state machine.
//
// The package owns the run loop and the only write access to the node, the data
// folder and the state machine. It must not perform external actions on targets or
// the platform; these belong to the authority package.
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

// A Link sends quorum messages to the other voters. Send must not block and may
// drop messages.
type Link interface {
	Send(messages []*peer.Message)
}

// Config configures a voter.
type Config struct {
	ID            uint64
	InitialVoters []uint64
	// Replicas holds the peer addresses of the initial voters, if the settings do
	// not give them.
	Replicas    []*peer.Replica
	Timing      quorum.Timing
	Limits      control.Limits
	Incarnation string
	Seed        uint64
	// CompactEntries is the number of applied entries after which the log is
	// compacted into a snapshot. Zero selects the default.
	CompactEntries uint64
}

const (
	tickInterval          = 20 * time.Millisecond
	inboxSize             = 4096
	proposalQueueSize     = 4096
	maxItemsPerPass       = 1024
	defaultCompactEntries = 10000
)

// Errors of Propose, HandlePropose and ChangeVoters.
var (
	// ErrNotLeader means that the command was not added to the log.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrUncertain means that the command may or may not be committed later.
	ErrUncertain = errors.New("the leadership changed before the command was committed")
	// ErrStopped means that the voter has stopped and did not accept the command.
	ErrStopped = errors.New("the voter has stopped")
)

type proposal struct {
	command  *peer.Command
	voters   *peer.Voters
	resultCh chan proposalResult
}

type proposalResult struct {
	result *peer.Result
	err    error
}

type waiter struct {
	term     uint64
	resultCh chan proposalResult
}

// A Status is what a voter knows about leadership and membership at one point in
// time. All times are readings of clock.Now.
type Status struct {
	leader            uint64
	term              uint64
	commit            uint64
	activeLeader      bool
	leaseEnd          time.Duration
	members           []quorum.MemberStatus
	lastLeaderContact time.Duration
	voters            *peer.Voters
	leaderSince       time.Duration
}

// Leader returns the id of the leader, or 0.
func (s *Status) Leader() uint64 { return s.leader }

// Term returns the current term, which a leader uses as its fencing token.
func (s *Status) Term() uint64 { return s.term }

// Commit returns the index of the last committed entry.
func (s *Status) Commit() uint64 { return s.commit }

// Voters returns the current voter set.
func (s *Status) Voters() *peer.Voters { return s.voters }

// LeaderSince returns the time on clock.Now at which this voter last became the
// leader.
func (s *Status) LeaderSince() time.Duration { return s.leaderSince }

// SinceLeaderContact returns the time since this voter last led or was last
// contacted by a leader.
func (s *Status) SinceLeaderContact() time.Duration { return clock.Now() - s.lastLeaderContact }

// Members returns the status of the other replicas if this voter leads, and nil
// otherwise.
func (s *Status) Members() []quorum.MemberStatus { return s.members }

// MayAct reports whether this voter may perform external actions at the given time
// on clock.Now: it leads, its lease is valid, and it has applied every entry that
// was committed before its term.
func (s *Status) MayAct(at time.Duration) bool { return s.activeLeader && at < s.leaseEnd }

// A Voter is a voter of the control group. The fields from node to halted belong to
// the run loop.
type Voter struct {
	config    Config
	folder    *storage.Folder
	link      Link
	logger    *event.Logger
	startTime time.Duration

	node        *quorum.Node
	waiters     map[uint64]waiter
	lastApplied uint64
	// lastAppliedTerm is the term of the last applied entry.
	lastAppliedTerm uint64
	lastCompacted   uint64
	wasLeader       bool
	// holdOffEndLogged is true once the early end of the hold-off after the start
	// has been logged.
	holdOffEndLogged bool
	leaderSince      time.Duration
	leaderTerm       uint64
	halted           bool

	// loggedDocument is the newest document in the log that the voter started with, after its snapshot.
	loggedDocument *peer.ReplaceDocument

	mutex   sync.RWMutex
	machine *control.Machine
	changed chan struct{}

	inbox         chan []*peer.Message
	proposals     chan proposal
	status        atomic.Pointer[Status]
	stop          chan struct{}
	done          chan struct{}
	stopOnce      sync.Once
	storageFailed chan struct{}
}

// New returns a voter that continues from the state stored in the folder.
func New(config Config, folder *storage.Folder, link Link, logger *event.Logger) *Voter {
	if config.CompactEntries == 0 {
		config.CompactEntries = defaultCompactEntries
	}
	v := &Voter{
		config: config, folder: folder, link: link, logger: logger, startTime: clock.Now(),
		waiters: map[uint64]waiter{}, machine: control.New(config.Limits),
		inbox: make(chan []*peer.Message, inboxSize), proposals: make(chan proposal, proposalQueueSize),
		changed: make(chan struct{}),
		stop:    make(chan struct{}), done: make(chan struct{}), storageFailed: make(chan struct{}),
	}
	hard, entries, snapshot := folder.LoadedState()
	if snapshot != nil {
		v.machine.Restore(snapshot.State)
		v.lastApplied = snapshot.Index
		v.lastAppliedTerm = snapshot.Term
		v.lastCompacted = snapshot.Index
	}
	for _, e := range entries {
		if replace := e.GetCommand().GetReplace(); replace.GetVersion() > v.loggedDocument.GetVersion() {
			v.loggedDocument = replace
		}
	}
	random := rand.New(rand.NewPCG(config.Seed, config.ID))
	v.node = quorum.New(quorum.Config{ID: config.ID, Voters: config.InitialVoters, Replicas: config.Replicas, Timing: config.Timing, Rand: random},
		quorum.Restored{HardState: hard, Entries: entries, Snapshot: snapshot}, 0)
	v.publishStatus()
	return v
}

// StorageFailed returns a channel that is closed when the data folder has failed.
// The voter then no longer takes part in the control group.
func (v *Voter) StorageFailed() <-chan struct{} { return v.storageFailed }

// Start starts the run loop.
func (v *Voter) Start() { go v.run() }

// Stop stops the run loop and waits for it to end. Pending proposals fail with
// ErrUncertain.
func (v *Voter) Stop() {
	v.stopOnce.Do(func() { close(v.stop) })
	<-v.done
}

// Receive queues messages of other voters. It drops them if the queue is full; the
// protocol retransmits what it needs.
func (v *Voter) Receive(messages []*peer.Message) {
	select {
	case v.inbox <- messages:
	default:
	}
}

// Status returns the voter's latest status. It must not be modified.
func (v *Voter) Status() *Status { return v.status.Load() }

// MayAct reports whether this voter may perform external actions now.
func (v *Voter) MayAct() bool { return v.Status().MayAct(clock.Now()) }

func (v *Voter) ID() uint64 { return v.config.ID }

// LoggedDocument returns the newest document in the log that the voter started with, or nil. It may not be committed: that is
// known once a leader is in contact. The caller must not modify it.
func (v *Voter) LoggedDocument() *peer.ReplaceDocument { return v.loggedDocument }

// Incarnation returns the incarnation of this process.
func (v *Voter) Incarnation() string { return v.config.Incarnation }

// Read calls f with the state machine under a read lock. f must neither modify nor
// retain it.
func (v *Voter) Read(f func(*control.Machine)) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	f(v.machine)
}

// Changed returns a channel that is closed at the next change of the state
// machine's revision or when this voter loses leadership.
func (v *Voter) Changed() <-chan struct{} {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.changed
}

// Propose commits a command and returns its result. It fails with ErrNotLeader,
// ErrUncertain or ErrStopped, or with the error of the context.
func (v *Voter) Propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	// The command is copied because the caller may propose it again.
	command = proto.Clone(command).(*peer.Command)
	if refused := checkCommand(command); refused != nil {
		return refused, nil
	}
	command.AtMs = clock.Wall().UnixMilli()
	return v.submit(ctx, proposal{command: command, resultCh: make(chan proposalResult, 1)})
}

// maxCommandBytes bounds a command, so that a message to another voter can carry it.
const maxCommandBytes = 24 << 20

// checkCommand returns the refusal of a command that cannot be stored, sent to the other voters or applied by all of
// them, or nil. In the log the former would take every leader for one with a failed disk.
func checkCommand(command *peer.Command) *peer.Result {
	if fields := peer.Unencodable(command); len(fields) > 0 {
		return &peer.Result{Code: peer.Result_REFUSED, Detail: fmt.Sprintf("the command holds text that is not UTF-8: %v", fields)}
	}
	if size := proto.Size(command); size > maxCommandBytes {
		return &peer.Result{Code: peer.Result_REFUSED, Detail: fmt.Sprintf("the command has %d bytes, at most %d are accepted", size, maxCommandBytes)}
	}
	if replace := command.GetReplace(); replace != nil && replace.Version == 0 {
		// Voters of earlier releases end when they apply it.
		return &peer.Result{Code: peer.Result_REFUSED, Detail: "version 0 is not a version of a configuration"}
	}
	return nil
}

// HandlePropose commits the command or the voter set of another instance's request.
func (v *Voter) HandlePropose(ctx context.Context, request *peer.ProposeRequest) (*peer.Result, error) {
	if request.Voters != nil {
		return v.ChangeVoters(ctx, request.Voters)
	}
	if request.Command == nil {
		return &peer.Result{Code: peer.Result_REFUSED, Detail: "the propose request has neither a command nor a voter set"}, nil
	}
	return v.Propose(ctx, request.Command)
}

// ChangeVoters commits a new voter set. A change that the quorum node rejects gives
// a result with code REFUSED.
func (v *Voter) ChangeVoters(ctx context.Context, voters *peer.Voters) (*peer.Result, error) {
	if fields := peer.Unencodable(voters); len(fields) > 0 {
		return &peer.Result{Code: peer.Result_REFUSED, Detail: fmt.Sprintf("the voter set holds text that is not UTF-8: %v", fields)}, nil
	}
	return v.submit(ctx, proposal{voters: voters, resultCh: make(chan proposalResult, 1)})
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
	case r := <-p.resultCh:
		return r.result, r.err
	case <-v.done:
		return nil, ErrUncertain
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for commit: %w", errors.Join(ErrUncertain, ctx.Err()))
	}
}

func (v *Voter) now() time.Duration { return clock.Now() - v.startTime }

func (v *Voter) log(kind event.Kind, fields ...zap.Field) {
	v.logger.Log(kind, append(fields, zap.Uint64("voter", v.config.ID))...)
}
