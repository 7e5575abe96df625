package replica

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quorum"
	"auburnscale/voter"
)

// Dialer gives the stub of the instance at a peer address.
type Dialer interface {
	Peer(address string) peer.Peer
}

// Senders carry quorum messages to the replicas' addresses.
type AddressUpdater interface {
	Follow(addresses map[uint64]string)
}

// Config is what a keeper needs to know about its instance.
type Config struct {
	Self *peer.Replica
	// Want is the number of voters aimed at.
	DesiredVoters int
	// Known returns the peer addresses of other control instances.
	ControlAddresses func() []string
	// Named returns the members that other control instances name. A replica
	// that was just added hears the leader before its log says where it is.
	ReportedMembers func() []*peer.Replica
}

const (
	keepInterval = 100 * time.Millisecond
	// enrolAfter is the silence of leaders after which a replica asks to take
	// part. An election takes less.
	enrolAfter = 2 * time.Second
	enrolPause = 300 * time.Millisecond
	// applicantLife is how long an application is kept without a repetition.
	applicantLife = 3 * time.Second
	// patience is the silence after which a voter is replaced by a learner that
	// stands by. It is longer than a restart.
	patience = 3 * time.Second
	// forget is the silence after which a learner is dropped.
	forget        = 20 * time.Second
	enrolTimeout  = 700 * time.Millisecond
	changeTimeout = 2 * time.Second
)

// A Keeper represents the part of a control instance in the group.
type Manager struct {
	config  Config
	voter   *voter.Voter
	senders AddressUpdater
	dialer  Dialer
	logger  *event.Logger

	mutex      sync.Mutex
	applicants map[uint64]application
	asked      time.Duration
	next       int

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

type application struct {
	replica *peer.Replica
	at      time.Duration
}

// New returns a keeper that does nothing yet.
func New(config Config, v *voter.Voter, senders AddressUpdater, dialer Dialer, logger *event.Logger) *Manager {
	return &Manager{
		config: config, voter: v, senders: senders, dialer: dialer, logger: logger, applicants: map[uint64]application{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the loop.
func (k *Manager) Start() { go k.run() }

// Stop ends the loop and waits for it.
func (k *Manager) Stop() {
	k.stopOnce.Do(func() { close(k.stop) })
	<-k.done
}

func (k *Manager) run() {
	defer close(k.done)
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-ticker.C:
		}
		standing := k.voter.Status()
		k.senders.Follow(k.addresses(standing))
		if standing.MayAct(clock.Now()) {
			k.plan(standing)
			continue
		}
		if standing.SinceLeaderContact() > enrolAfter || !k.isMember(standing) {
			k.enrol()
		}
	}
}

// isMember reports whether this replica takes part by its own log. A new one
// does not wait for a silence.
func (k *Manager) isMember(standing *voter.Status) bool {
	_, ok := Addresses(standing.Voters())[k.config.Self.Id]
	return ok
}

// addresses returns where messages go: by this replica's own log first, and by
// the word of others for members that the log does not hold yet.
func (k *Manager) addresses(standing *voter.Status) map[uint64]string {
	addresses := Addresses(&peer.Voters{Replicas: k.config.ReportedMembers()})
	maps.Copy(addresses, Addresses(standing.Voters()))
	return addresses
}

// Addresses returns the peer addresses of a voter set by id.
func Addresses(v *peer.Voters) map[uint64]string {
	addresses := map[uint64]string{}
	for _, r := range v.GetReplicas() {
		addresses[r.Id] = r.Address
	}
	return addresses
}

// plan takes the next step towards the wanted voter set.
func (k *Manager) plan(standing *voter.Status) {
	next, reason := quorum.MembershipPlanner{
		Self: k.config.Self.Id, Current: standing.Voters(), Members: standing.Members(), JoinRequests: k.applying(),
		DesiredVoters: k.config.DesiredVoters, ReplaceAfter: patience, ForgetAfter: forget,
	}.Next()
	if next == nil {
		return
	}
	k.logger.Log(event.VotersPlanned, zap.String("reason", reason), zap.Uint64s("voters", next.Ids), zap.Uint64s("learners", next.Learners))
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result, err := k.voter.ChangeVoters(ctx, next)
	if err != nil || result.Code != peer.Result_OK {
		k.logger.Log(event.ActionRefused, zap.String("detail", result.GetDetail()), zap.Error(err))
	}
}

// applying returns the replicas that asked lately.
func (k *Manager) applying() []*peer.Replica {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var list []*peer.Replica
	for id, a := range k.applicants {
		if clock.Now()-a.at > applicantLife {
			delete(k.applicants, id)
			continue
		}
		list = append(list, a.replica)
	}
	slices.SortFunc(list, func(a, b *peer.Replica) int { return int(int64(a.Id>>1) - int64(b.Id>>1)) })
	return list
}

// Enrol takes another replica's application if this voter leads, or names the
// leader.
func (k *Manager) Enrol(request *peer.EnrolRequest) *peer.EnrolResponse {
	standing := k.voter.Status()
	if !standing.MayAct(clock.Now()) {
		return &peer.EnrolResponse{Leader: Addresses(standing.Voters())[standing.Leader()]}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.applicants[request.Replica.GetId()] = application{request.Replica, clock.Now()}
	return &peer.EnrolResponse{Accepted: true}
}

// enrol asks the control instances in turn to take part.
func (k *Manager) enrol() {
	if clock.Now()-k.asked < enrolPause {
		return
	}
	k.asked = clock.Now()
	known := slices.DeleteFunc(k.config.ControlAddresses(), func(a string) bool { return a == k.config.Self.Address })
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	k.next++
	k.logger.Log(event.ReplicaEnrols, zap.Uint64("voter", k.config.Self.Id), zap.Strings("known", known))
	for i := range known {
		answer := k.ask(known[(k.next+i)%len(known)])
		if answer != nil && !answer.Accepted && answer.Leader != "" {
			answer = k.ask(answer.Leader)
		}
		if answer.GetAccepted() {
			return
		}
	}
}

func (k *Manager) ask(address string) *peer.EnrolResponse {
	ctx, cancel := context.WithTimeout(context.Background(), enrolTimeout)
	defer cancel()
	answer, err := k.dialer.Peer(address).Enrol(ctx, &peer.EnrolRequest{Replica: k.config.Self})
	if err != nil {
		// The next address or the next round will do.
		return nil
	}
	return answer
}

// Errors of Propose and Current.
var (
	// ErrNoLeader means that no leader could be reached in time. A command may
	// have been committed all the same.
	ErrNoLeader = errors.New("no leader of the control group can be reached")
)

// proposePause is the wait between two tries.
const proposePause = 50 * time.Millisecond

// Propose commits a command through this voter if it leads, or else through the
// leader. Only commands that may be committed twice belong here.
func (k *Manager) Propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	for ctx.Err() == nil {
		if result := k.propose(ctx, command); result != nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(proposePause):
		}
	}
	return nil, errors.Join(ErrNoLeader, ctx.Err())
}

func (k *Manager) propose(ctx context.Context, command *peer.Command) *peer.Result {
	standing := k.voter.Status()
	if standing.Leader() == k.config.Self.Id {
		// An error means that the leadership is moving; the next try finds it.
		result, _ := k.voter.Propose(ctx, command)
		return result
	}
	address := Addresses(standing.Voters())[standing.Leader()]
	if address == "" {
		return nil
	}
	answer, err := k.dialer.Peer(address).Propose(ctx, &peer.ProposeRequest{Command: command})
	if err != nil || !answer.Accepted || answer.Uncertain {
		return nil
	}
	return answer.Result
}

// Current returns the configuration document in force, as a leader under its
// lease has it, or ErrNoLeader.
func (k *Manager) CurrentDocument(ctx context.Context) (*peer.ReplaceDocument, error) {
	if answer := k.LocalDocument(); answer.Current {
		return answer.Document, nil
	}
	standing := k.voter.Status()
	address := Addresses(standing.Voters())[standing.Leader()]
	if address == "" || standing.Leader() == k.config.Self.Id {
		return nil, ErrNoLeader
	}
	answer, err := k.dialer.Peer(address).Current(ctx, &peer.CurrentRequest{})
	if err != nil {
		return nil, errors.Join(ErrNoLeader, err)
	}
	if !answer.Current {
		return nil, ErrNoLeader
	}
	return answer.Document, nil
}
