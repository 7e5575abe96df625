package member

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"auburnscale/contact"
	"auburnscale/control"
	"auburnscale/delta"
	"auburnscale/peer"
	"auburnscale/quarantine"
	"auburnscale/voter"
)

// maxMissedHeartbeats is the number of heartbeat intervals without contact after
// which an instance counts as unresponsive.
const maxMissedHeartbeats = 3

// maxOtherDomainMembers is the number of instances of other failure domains that an
// instance is told about, besides those of its own.
const maxOtherDomainMembers = 2

// A Table holds a voter's view of the instances. Only the leader's table is
// current; it is rebuilt from heartbeats after a change of leader. It is safe for
// concurrent use.
type Table struct {
	voter    *voter.Voter
	suspects *quarantine.Board
	// now is the clock for heartbeats and freshness: clock.Now except in tests.
	now       func() time.Duration
	interval  time.Duration
	freshness time.Duration

	mutex sync.Mutex
	// term is the term that rows and counters were collected in.
	term uint64
	// rows holds the instances that sent heartbeats, by name.
	rows     map[string]*row
	counters map[counterKey]*peer.Counter
	contacts *contact.Tracker
}

// A row is an instance with its latest heartbeat.
type row struct {
	member      *peer.Member
	lastContact time.Duration
	// freshUntil is until when the instance may serve by the state that it has
	// confirmed.
	freshUntil time.Duration
}

// mayServeOlder reports whether the instance may still serve by a state older than
// the revision.
func (r *row) mayServeOlder(revision uint64, now time.Duration) bool {
	return r.member.Revision < revision && now < r.freshUntil
}

type counterKey struct {
	source    string
	window    int64
	workspace string
}

// NewTable returns an empty table over the voter's state. interval is the heartbeat
// interval, and freshness is how long a response permits an instance to serve.
func NewTable(v *voter.Voter, suspects *quarantine.Board, now func() time.Duration, interval, freshness time.Duration) *Table {
	return &Table{suspects: suspects, contacts: contact.New(maxMissedHeartbeats * interval), voter: v, now: now, interval: interval, freshness: freshness, rows: map[string]*row{}, counters: map[counterKey]*peer.Counter{}}
}

// Sync handles one heartbeat. Any voter responds with the state that it has; only a
// leader that holds its lease grants freshness.
func (t *Table) Sync(ctx context.Context, request *peer.SyncRequest) (*peer.SyncResponse, error) {
	status := t.voter.Status()
	response := &peer.SyncResponse{Leader: status.Leader(), Term: status.Term()}
	current := status.MayAct(t.now())
	if current && !t.ensureJoined(ctx, request) {
		return &peer.SyncResponse{Replaced: true}, nil
	}
	if current {
		t.recordHeartbeat(request, status.Term())
		t.waitForChange(ctx, request)
	}
	t.voter.Read(func(m *control.Machine) {
		fillState(response, request, m)
		response.Settled = settledFlags(m, request.Counters)
	})
	if current {
		response.MembersDigest, response.Members = t.visibleMembers(request)
		response.Instances = t.liveInstances()
	}
	response.Suspects = t.suspects.List()
	// The lease is checked last: the state that was read above is current only if
	// the lease was still held.
	response.Current = current && t.voter.MayAct()
	return response, nil
}

// waitForChange holds the heartbeat of an instance that is up to date until there
// is a new revision or the interval is over, so that a change takes effect within
// a round trip.
func (t *Table) waitForChange(ctx context.Context, request *peer.SyncRequest) {
	if request.Revision == 0 || request.Draining {
		return
	}
	timer := time.NewTimer(t.interval)
	defer timer.Stop()
	decided, listed := t.suspects.Changes()
	for {
		changed := t.voter.Changed()
		var revision uint64
		t.voter.Read(func(m *control.Machine) { revision = m.Revision() })
		if revision > request.Revision || !t.voter.MayAct() {
			return
		}
		select {
		case <-changed:
		case <-decided:
			return
		case <-listed:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ensureJoined commits an instance's incarnation and address unless they are
// already committed. It returns false if a newer process has taken the instance's
// place. If the commit fails, it returns true, and the next heartbeat tries again.
func (t *Table) ensureJoined(ctx context.Context, request *peer.SyncRequest) bool {
	known := false
	t.voter.Read(func(m *control.Machine) {
		j := m.Instance(request.Instance)
		known = j.GetIncarnation() == request.Incarnation && j.GetAddress() == request.Address
	})
	if known {
		return true
	}
	result, err := t.voter.Propose(ctx, &peer.Command{Actor: request.Instance, Body: &peer.Command_Join{Join: &peer.Join{
		Instance: request.Instance, Incarnation: request.Incarnation, Domain: request.Domain, Address: request.Address,
	}}})
	return err != nil || result.Code == peer.Result_OK
}

// fillState adds to the response the committed state that the instance lacks.
func fillState(response *peer.SyncResponse, request *peer.SyncRequest, m *control.Machine) {
	response.Revision = m.Revision()
	response.SettledWindow = m.LastClosedWindow()
	configuration := m.Configuration()
	response.Version = configuration.GetVersion()
	if request.Revision >= m.Revision() {
		return
	}
	response.Full = true
	response.Withdrawn = m.Withdrawn(request.Revision)
	response.Drains = m.Drains()
	response.Quarantines = m.Quarantines()
	if configuration != nil && configuration.Version > request.Version {
		response.Delta = delta.Make(m.ConfigurationAt(request.Version, request.Digest), configuration)
	}
}

// settledFlags returns, for each counter, whether the committed figures include it.
func settledFlags(m *control.Machine, counters []*peer.Counter) []bool {
	list := make([]bool, 0, len(counters))
	for _, c := range counters {
		list = append(list, m.IsSettled(c))
	}
	return list
}

// recordHeartbeat stores the state and counters of a heartbeat. A new term starts
// with an empty table.
func (t *Table) recordHeartbeat(request *peer.SyncRequest, term uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.term != term {
		t.term = term
		t.rows = map[string]*row{}
		t.counters = map[counterKey]*peer.Counter{}
	}
	now := t.now()
	t.contacts.Record(now)
	t.rows[request.Instance] = &row{lastContact: now, freshUntil: now + t.freshness, member: &peer.Member{
		Instance: request.Instance, Incarnation: request.Incarnation, Domain: request.Domain, Address: request.Address,
		Alive: true, Draining: request.Draining, Version: request.Version, Revision: request.Revision,
	}}
	for _, c := range request.Counters {
		key := counterKey{c.Source, c.Window, c.Workspace}
		if known := t.counters[key]; known == nil || known.Requests < c.Requests {
			t.counters[key] = c
		}
	}
}

// visibleMembers returns the live instances of the requester's failure domain and a
// few others, or only their digest if the requester has them.
func (t *Table) visibleMembers(request *peer.SyncRequest) (uint64, []*peer.Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []*peer.Member
	others := 0
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[name]
		if !t.alive(r) {
			continue
		}
		if r.member.Domain != request.Domain {
			others++
			if others > maxOtherDomainMembers {
				continue
			}
		}
		m := r.member
		list = append(list, &peer.Member{Instance: m.Instance, Incarnation: m.Incarnation, Domain: m.Domain, Address: m.Address, Alive: true, Draining: m.Draining})
	}
	digest := membersDigest(list)
	if digest == request.MembersDigest {
		return digest, nil
	}
	return digest, list
}

// membersDigest returns a hash of the list, which must be in a fixed order.
func membersDigest(list []*peer.Member) uint64 {
	h := xxhash.New()
	for _, m := range list {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		h.Write(data)
	}
	return h.Sum64()
}

// alive reports whether the instance sent a heartbeat recently.
func (t *Table) alive(r *row) bool { return t.now()-r.lastContact < maxMissedHeartbeats*t.interval }

// liveInstances returns the number of live instances.
func (t *Table) liveInstances() int32 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var count int32
	for _, r := range t.rows {
		if t.alive(r) {
			count++
		}
	}
	return count
}

// Members returns every known instance with the versions in effect there, sorted by
// name. An instance that the control group knows and that has not contacted this
// leader is listed as not alive, with SilentMs -1.
func (t *Table) Members() []*peer.Member {
	var known []*peer.Join
	t.voter.Read(func(m *control.Machine) { known = slices.Clone(m.Instances()) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []*peer.Member
	for _, j := range known {
		r := t.rows[j.Instance]
		if r == nil {
			list = append(list, &peer.Member{Instance: j.Instance, Incarnation: j.Incarnation, Domain: j.Domain, Address: j.Address, SilentMs: -1})
			continue
		}
		m := proto.Clone(r.member).(*peer.Member)
		m.Alive = t.alive(r)
		m.SilentMs = (t.now() - r.lastContact).Milliseconds()
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *peer.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// MayServe returns the instances that may still serve requests with a caller key by
// a state older than the revision, because they have not confirmed it and their
// freshness has not expired. Instances that have not contacted this leader count
// until the freshness that an earlier leader may have granted has expired.
func (t *Table) MayServe(revision uint64) []string {
	status := t.voter.Status()
	earlierGrants := t.now() < status.LeaderSince()+t.freshness
	members := t.Members()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []string
	for _, m := range members {
		r := t.rows[m.Instance]
		if r == nil && earlierGrants {
			list = append(list, m.Instance)
		}
		if r != nil && r.mayServeOlder(revision, t.now()) {
			list = append(list, m.Instance)
		}
	}
	return list
}

// Confirmed reports whether the instance has reported that it decides by the
// revision or a later one.
func (t *Table) Confirmed(instance string, revision uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.rows[instance]
	return r != nil && r.member.Revision >= revision
}

// Counters returns the usage counters of windows up to the given one, sorted.
func (t *Table) Counters(window int64) []*peer.Counter {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []*peer.Counter
	for _, c := range t.counters {
		if c.Window <= window {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *peer.Counter) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Source, b.Source), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}

// DropSettled removes the usage counters that the committed figures include.
func (t *Table) DropSettled() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.voter.Read(func(m *control.Machine) {
		maps.DeleteFunc(t.counters, func(_ counterKey, c *peer.Counter) bool { return m.IsSettled(c) })
	})
}

// AllContactedSince reports whether all live instances have sent a heartbeat since the
// time on the table's clock. Missing heartbeats do not count as a failure of the
// instance while this voter has no contact with any instance, or had none until
// just now, because then the voter itself may have been suspended or partitioned.
func (t *Table) AllContactedSince(at time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	conclusive := t.contacts.Conclusive(t.now())
	for _, r := range t.rows {
		if (t.alive(r) || !conclusive) && r.lastContact < at {
			return false
		}
	}
	return true
}
