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

// A Dialer returns clients of other instances by their peer address.
type Dialer interface {
	Peer(address string) peer.Peer
}

// An AddressUpdater sets the peer addresses to which quorum messages are sent, by
// replica id.
type AddressUpdater interface {
	SetAddresses(addresses map[uint64]string)
}

// Config configures the Manager of one control instance.
type Config struct {
	// Self is this instance's replica.
	Self *peer.Replica
	// DesiredVoters is the number of voters that the group should have.
	DesiredVoters int
	// ControlAddresses returns the known peer addresses of control instances. It
	// may include this instance's own.
	ControlAddresses func() []string
	// ReportedMembers returns the members of the group that other control
	// instances report. A replica that has just been added gets messages from the
	// leader before its own log holds the leader's address.
	ReportedMembers func() []*peer.Replica
}

const (
	reconcileInterval = 100 * time.Millisecond
	// enrolSilence is the time without contact to a leader after which a replica
	// requests to join. It is longer than an election.
	enrolSilence       = 2 * time.Second
	enrolRetryInterval = 300 * time.Millisecond
	// joinRequestTTL is how long a join request is valid unless it is repeated.
	joinRequestTTL = 3 * time.Second
	// voterReplaceDelay is the time without contact after which a voter is replaced
	// by a learner that has caught up. It is longer than a restart.
	voterReplaceDelay = 3 * time.Second
	// learnerRemovalDelay is the time without contact after which a learner is
	// removed.
	learnerRemovalDelay = 20 * time.Second
	enrolTimeout        = 700 * time.Millisecond
	voterChangeTimeout  = 2 * time.Second
)

// A Manager maintains the membership of one control instance in the control group
// and, while the instance leads, the voter set.
type Manager struct {
	config         Config
	voter          *voter.Voter
	addressUpdater AddressUpdater
	dialer         Dialer
	logger         *event.Logger

	mutex        sync.Mutex
	joinRequests map[uint64]joinRequest
	lastEnrol    time.Duration
	nextAddress  int

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

type joinRequest struct {
	replica    *peer.Replica
	receivedAt time.Duration
}

// New returns a manager. It does nothing until Start is called.
func New(config Config, v *voter.Voter, addressUpdater AddressUpdater, dialer Dialer, logger *event.Logger) *Manager {
	return &Manager{
		config: config, voter: v, addressUpdater: addressUpdater, dialer: dialer, logger: logger, joinRequests: map[uint64]joinRequest{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start starts the manager's loop.
func (m *Manager) Start() { go m.run() }

// Stop stops the loop and waits for it to end.
func (m *Manager) Stop() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.done
}

func (m *Manager) run() {
	defer close(m.done)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
		status := m.voter.Status()
		m.addressUpdater.SetAddresses(m.replicaAddresses(status))
		if status.MayAct(clock.Now()) {
			m.reconcileVoters(status)
			continue
		}
		if status.SinceLeaderContact() > enrolSilence || !m.isMember(status) {
			m.enrol()
		}
	}
}

// isMember reports whether this replica's own log lists it as a member. A replica
// that is not a member requests to join without waiting for enrolSilence.
func (m *Manager) isMember(status *voter.Status) bool {
	_, ok := Addresses(status.Voters())[m.config.Self.Id]
	return ok
}

// replicaAddresses returns the peer addresses of the group's members by id. Members
// that this replica's log does not hold yet are taken from ReportedMembers.
func (m *Manager) replicaAddresses(status *voter.Status) map[uint64]string {
	addresses := Addresses(&peer.Voters{Replicas: m.config.ReportedMembers()})
	maps.Copy(addresses, Addresses(status.Voters()))
	return addresses
}

// Addresses returns the peer addresses of the replicas of a voter set by id.
func Addresses(v *peer.Voters) map[uint64]string {
	addresses := map[uint64]string{}
	for _, r := range v.GetReplicas() {
		addresses[r.Id] = r.Address
	}
	return addresses
}

// reconcileVoters commits the next change towards the desired voter set, if one is
// needed.
func (m *Manager) reconcileVoters(status *voter.Status) {
	next, reason := quorum.MembershipPlanner{
		Self: m.config.Self.Id, Current: status.Voters(), Members: status.Members(), JoinRequests: m.pendingReplicas(),
		DesiredVoters: m.config.DesiredVoters, ReplaceAfter: voterReplaceDelay, ForgetAfter: learnerRemovalDelay,
	}.Next()
	if next == nil {
		return
	}
	m.logger.Log(event.VotersPlanned, zap.String("reason", reason), zap.Uint64s("voters", next.Ids), zap.Uint64s("learners", next.Learners))
	ctx, cancel := context.WithTimeout(context.Background(), voterChangeTimeout)
	defer cancel()
	result, err := m.voter.ChangeVoters(ctx, next)
	if err != nil || result.Code != peer.Result_OK {
		m.logger.Log(event.ActionRefused, zap.String("detail", result.GetDetail()), zap.Error(err))
	}
}

// pendingReplicas returns the replicas with a valid join request, sorted by id, and
// removes expired requests.
func (m *Manager) pendingReplicas() []*peer.Replica {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var list []*peer.Replica
	for id, a := range m.joinRequests {
		if clock.Now()-a.receivedAt > joinRequestTTL {
			delete(m.joinRequests, id)
			continue
		}
		list = append(list, a.replica)
	}
	slices.SortFunc(list, func(a, b *peer.Replica) int { return int(int64(a.Id>>1) - int64(b.Id>>1)) })
	return list
}

// Enrol accepts the join request of another replica if this voter leads under its
// lease. Otherwise the response holds the address of the leader, if it is known.
func (m *Manager) Enrol(request *peer.EnrolRequest) *peer.EnrolResponse {
	status := m.voter.Status()
	if !status.MayAct(clock.Now()) {
		return &peer.EnrolResponse{Leader: Addresses(status.Voters())[status.Leader()]}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.joinRequests[request.Replica.GetId()] = joinRequest{request.Replica, clock.Now()}
	return &peer.EnrolResponse{Accepted: true}
}

// enrol sends a join request to the control instances, one after the other, until
// one accepts it. Each call starts at a different instance.
func (m *Manager) enrol() {
	if clock.Now()-m.lastEnrol < enrolRetryInterval {
		return
	}
	m.lastEnrol = clock.Now()
	addresses := slices.DeleteFunc(m.config.ControlAddresses(), func(a string) bool { return a == m.config.Self.Address })
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	m.nextAddress++
	m.logger.Log(event.ReplicaJoinRequested, zap.Uint64("voter", m.config.Self.Id), zap.Strings("known", addresses))
	for i := range addresses {
		response := m.requestEnrol(addresses[(m.nextAddress+i)%len(addresses)])
		if response != nil && !response.Accepted && response.Leader != "" {
			response = m.requestEnrol(response.Leader)
		}
		if response.GetAccepted() {
			return
		}
	}
}

func (m *Manager) requestEnrol(address string) *peer.EnrolResponse {
	ctx, cancel := context.WithTimeout(context.Background(), enrolTimeout)
	defer cancel()
	response, err := m.dialer.Peer(address).Enrol(ctx, &peer.EnrolRequest{Replica: m.config.Self})
	if err != nil {
		// The request is sent to the next address, or again in the next round.
		return nil
	}
	return response
}

// Errors of Propose and CurrentDocument.
var (
	// ErrNoLeader means that no leader could be reached in time. A proposed command
	// may have been committed nevertheless.
	ErrNoLeader = errors.New("no leader of the control group is reachable")
)

// proposeRetryInterval is the delay between two attempts of Propose.
const proposeRetryInterval = 50 * time.Millisecond

// Propose commits a command through this voter if it leads, or else through the
// leader, and retries until the context ends. A retry may commit the command a
// second time, so the command must be idempotent.
func (m *Manager) Propose(ctx context.Context, command *peer.Command) (*peer.Result, error) {
	for ctx.Err() == nil {
		if result := m.tryPropose(ctx, command); result != nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(proposeRetryInterval):
		}
	}
	return nil, errors.Join(ErrNoLeader, ctx.Err())
}

// tryPropose makes one attempt to commit the command. It returns nil if no leader
// was reached or the leader gave no definite result.
func (m *Manager) tryPropose(ctx context.Context, command *peer.Command) *peer.Result {
	status := m.voter.Status()
	if status.Leader() == m.config.Self.Id {
		// An error means that leadership is changing; the next attempt finds the
		// new leader.
		result, _ := m.voter.Propose(ctx, command)
		return result
	}
	address := Addresses(status.Voters())[status.Leader()]
	if address == "" {
		return nil
	}
	response, err := m.dialer.Peer(address).Propose(ctx, &peer.ProposeRequest{Command: command})
	if err != nil || !response.Accepted || response.Uncertain {
		return nil
	}
	return response.Result
}

// CurrentDocument returns the current configuration document as read by a leader
// under its lease. The error is ErrNoLeader if no such leader was reached.
func (m *Manager) CurrentDocument(ctx context.Context) (*peer.ReplaceDocument, error) {
	if response := m.LocalDocument(); response.Current {
		return response.Document, nil
	}
	status := m.voter.Status()
	address := Addresses(status.Voters())[status.Leader()]
	if address == "" || status.Leader() == m.config.Self.Id {
		return nil, ErrNoLeader
	}
	response, err := m.dialer.Peer(address).Current(ctx, &peer.CurrentRequest{})
	if err != nil {
		return nil, errors.Join(ErrNoLeader, err)
	}
	if !response.Current {
		return nil, ErrNoLeader
	}
	return response.Document, nil
}
