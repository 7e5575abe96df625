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

	"auburnscale/control"
	"auburnscale/delta"
	"auburnscale/peer"
	"auburnscale/silence"
	"auburnscale/voter"
)

// aliveIntervals is the number of missed heartbeats after which an instance
// counts as silent.
const aliveIntervals = 3

// strangers is how many instances of other failure domains an instance is told
// of, besides those of its own.
const strangers = 2

// A Table represents a voter's knowledge of the instances. Only the leader's is
// current; it is rebuilt from heartbeats after a change of leader.
type Table struct {
	voter *voter.Voter
	// now is the clock of heartbeats and freshness, clock.Now but in tests.
	now       func() time.Duration
	interval  time.Duration
	freshness time.Duration

	mutex    sync.Mutex
	term     uint64
	rows     map[string]*row
	counters map[counterKey]*peer.Counter
	ear      *silence.ContactTracker
}

type row struct {
	member *peer.Member
	heard  time.Duration
	// granted is until when the instance may serve by what it has confirmed.
	granted time.Duration
}

// mayServe reports whether the instance may still serve by a state older than the
// revision.
func (r *row) mayServe(revision uint64, now time.Duration) bool {
	return r.member.Revision < revision && now < r.granted
}

type counterKey struct {
	source    string
	window    int64
	workspace string
}

// NewTable returns an empty table over the voter's state, on the clock.
func NewTable(v *voter.Voter, now func() time.Duration, interval, freshness time.Duration) *Table {
	return &Table{ear: silence.New(aliveIntervals * interval), voter: v, now: now, interval: interval, freshness: freshness, rows: map[string]*row{}, counters: map[counterKey]*peer.Counter{}}
}

// Sync answers one heartbeat. Any voter answers with what it has; only a leader
// under its lease grants freshness.
func (t *Table) Sync(ctx context.Context, request *peer.SyncRequest) (*peer.SyncResponse, error) {
	standing := t.voter.Status()
	answer := &peer.SyncResponse{Leader: standing.Leader(), Term: standing.Term()}
	current := standing.MayAct(t.now())
	if current && !t.join(ctx, request) {
		return &peer.SyncResponse{Replaced: true}, nil
	}
	if current {
		t.note(request, standing.Term())
		t.hold(ctx, request)
	}
	t.voter.Read(func(m *control.Machine) {
		fill(answer, request, m)
		answer.Settled = settled(m, request.Counters)
	})
	if current {
		answer.MembersDigest, answer.Members = t.neighbours(request)
		answer.Instances = t.living()
	}
	// The lease is looked at last: the state that was read above was current
	// while it held.
	answer.Current = current && t.voter.MayAct()
	return answer, nil
}

// hold keeps an instance that lacks nothing waiting until there is something new
// or the interval is over, so that a change is in force within a round trip.
func (t *Table) hold(ctx context.Context, request *peer.SyncRequest) {
	if request.Revision == 0 || request.Draining {
		return
	}
	timer := time.NewTimer(t.interval)
	defer timer.Stop()
	for {
		changed := t.voter.Changed()
		var revision uint64
		t.voter.Read(func(m *control.Machine) { revision = m.Revision() })
		if revision > request.Revision || !t.voter.MayAct() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// join commits an instance's incarnation on first sight. It returns false if a
// newer process has taken the instance's place.
func (t *Table) join(ctx context.Context, request *peer.SyncRequest) bool {
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

func fill(answer *peer.SyncResponse, request *peer.SyncRequest, m *control.Machine) {
	answer.Revision = m.Revision()
	answer.SettledWindow = m.LastClosedWindow()
	configuration := m.Configuration()
	answer.Version = configuration.GetVersion()
	if request.Revision >= m.Revision() {
		return
	}
	answer.Full = true
	answer.Withdrawn = m.Withdrawn(request.Revision)
	answer.Drains = m.Drains()
	answer.Quarantines = m.Quarantines()
	if configuration != nil && configuration.Version > request.Version {
		answer.Delta = delta.Make(m.ConfigurationAt(request.Version, request.Digest), configuration)
	}
}

func settled(m *control.Machine, counters []*peer.Counter) []bool {
	list := make([]bool, 0, len(counters))
	for _, c := range counters {
		list = append(list, m.IsSettled(c))
	}
	return list
}

func (t *Table) note(request *peer.SyncRequest, term uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.term != term {
		t.term = term
		t.rows = map[string]*row{}
		t.counters = map[counterKey]*peer.Counter{}
	}
	now := t.now()
	t.ear.Record(now)
	t.rows[request.Instance] = &row{heard: now, granted: now + t.freshness, member: &peer.Member{
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

// neighbours returns the living instances of the asker's failure domain and a
// few others, or only their digest if the asker has them.
func (t *Table) neighbours(request *peer.SyncRequest) (uint64, []*peer.Member) {
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
			if others > strangers {
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

func membersDigest(list []*peer.Member) uint64 {
	h := xxhash.New()
	for _, m := range list {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		h.Write(data)
	}
	return h.Sum64()
}

func (t *Table) alive(r *row) bool { return t.now()-r.heard < aliveIntervals*t.interval }

func (t *Table) living() int32 {
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

// Members returns every known instance with what is in force there, sorted. An
// instance that the control group knows and this leader has not heard is listed
// as silent.
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
		m.SilentMs = (t.now() - r.heard).Milliseconds()
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *peer.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Fresh returns the instances that may still serve keyed requests by a state
// older than the revision, because they have not confirmed it and their
// freshness has not run out. Instances that this leader has not heard count
// until the freshness an earlier leader may have granted has run out.
func (t *Table) MayServe(revision uint64) []string {
	standing := t.voter.Status()
	earlier := t.now() < standing.LeaderSince()+t.freshness
	members := t.Members()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []string
	for _, m := range members {
		r := t.rows[m.Instance]
		if r == nil && earlier {
			list = append(list, m.Instance)
		}
		if r != nil && r.mayServe(revision, t.now()) {
			list = append(list, m.Instance)
		}
	}
	return list
}

// Confirmed reports whether the instance has said that it decides by the
// revision or a later one.
func (t *Table) Confirmed(instance string, revision uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.rows[instance]
	return r != nil && r.member.Revision >= revision
}

// Counters returns the counters of windows up to the given one.
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

// DropSettled forgets the counters that the committed figures include.
func (t *Table) DropSettled() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.voter.Read(func(m *control.Machine) {
		maps.DeleteFunc(t.counters, func(_ counterKey, c *peer.Counter) bool { return m.IsSettled(c) })
	})
}

// EveryoneSince reports whether all living instances were heard since the time on
// the table's clock. While nobody is heard, or had not been until just now, the
// silence is this voter's own and tells nothing about who lives.
func (t *Table) AllContactedSince(at time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sure := t.ear.Conclusive(t.now())
	for _, r := range t.rows {
		if (t.alive(r) || !sure) && r.heard < at {
			return false
		}
	}
	return true
}
