package quorum

import (
	"cmp"
	"slices"
	"time"

	"auburnscale/peer"
)

// A MemberStatus represents what a leader knows about another replica.
type MemberStatus struct {
	id           uint64
	sinceContact time.Duration
	caughtUp     bool
}

// NewMemberStatus returns the status of the replica with this id: the time since
// its last contact with the leader, and whether it holds every committed entry.
func NewMemberStatus(id uint64, silence time.Duration, caughtUp bool) MemberStatus {
	return MemberStatus{id: id, sinceContact: silence, caughtUp: caughtUp}
}

// Members returns the status of every other replica, voters before learners, in
// the order of the voter set. It returns nil if this node is not the leader.
func (n *Node) Members(now time.Duration) []MemberStatus {
	if n.role != Leader {
		return nil
	}
	var list []MemberStatus
	for _, id := range n.otherMembers() {
		p := n.peers[id]
		if p == nil {
			list = append(list, MemberStatus{id: id})
			continue
		}
		list = append(list, MemberStatus{id: id, sinceContact: now - p.lastContact, caughtUp: p.match >= n.commitIndex})
	}
	return list
}

// A MembershipPlanner holds the inputs from which the leader derives the next
// change of the voter set.
type MembershipPlanner struct {
	Self    uint64
	Current *peer.Voters
	Members []MemberStatus
	// JoinRequests are the replicas that requested to join the control group.
	JoinRequests []*peer.Replica
	// DesiredVoters is the number of voters the planner works towards.
	DesiredVoters int
	// ReplaceAfter is the time without contact after which a voter is replaced
	// if a learner can take its place. ForgetAfter is the time without contact
	// after which a learner is dropped.
	ReplaceAfter time.Duration
	ForgetAfter  time.Duration
}

// Next returns the next voter set and the reason for it, or nil if the current
// one needs no change. Each step adds or removes at most one voter, and only
// learners that have caught up become voters.
func (p MembershipPlanner) Next() (*peer.Voters, string) {
	voters := len(p.Current.Ids)
	unresponsive := p.unresponsiveVoter()
	learner := p.promotableLearner()
	if learner != 0 && voters < p.DesiredVoters {
		return p.promote(learner), "a learner has caught up"
	}
	for _, a := range p.JoinRequests {
		if next := p.addLearner(a); next != nil {
			return next, "a replica requested to join"
		}
	}
	switch {
	case voters > p.DesiredVoters && unresponsive != 0:
		return p.removeMember(unresponsive), "an unresponsive voter has been replaced"
	case voters > p.DesiredVoters:
		return p.removeMember(p.excessVoter()), "there are more voters than desired"
	case learner != 0 && unresponsive != 0:
		return p.promote(learner), "a learner has caught up"
	}
	if id := p.unresponsiveLearner(); id != 0 {
		return p.removeMember(id), "a learner has been unresponsive for too long"
	}
	return nil, ""
}

// addLearner returns the voter set with the replica a added as a learner, or nil
// if a is a member already. A member that is listed at a's address is removed: two
// processes cannot listen on one address, so that member has lost its data folder.
// The only voter is never removed.
func (p MembershipPlanner) addLearner(a *peer.Replica) *peer.Voters {
	if p.isMember(a.Id) {
		return nil
	}
	next := cloneVoters(p.Current)
	for _, r := range p.Current.Replicas {
		if r.Address == a.Address {
			removeReplica(next, r.Id)
		}
	}
	if len(next.Ids) == 0 {
		return nil
	}
	next.Learners = append(next.Learners, a.Id)
	next.Replicas = append(next.Replicas, a)
	return next
}

func (p MembershipPlanner) isMember(id uint64) bool {
	return slices.Contains(p.Current.Ids, id) || slices.Contains(p.Current.Learners, id)
}

func (p MembershipPlanner) status(id uint64) MemberStatus {
	for _, m := range p.Members {
		if m.id == id {
			return m
		}
	}
	return MemberStatus{id: id}
}

func (p MembershipPlanner) unresponsiveVoter() uint64 {
	for _, id := range p.Current.Ids {
		if id != p.Self && p.status(id).sinceContact > p.ReplaceAfter {
			return id
		}
	}
	return 0
}

// promotableLearner returns a learner that has caught up and was in contact
// within half of ReplaceAfter, preferring the failure domain with the fewest
// voters. It returns 0 if there is none.
func (p MembershipPlanner) promotableLearner() uint64 {
	best, fewest := uint64(0), 0
	for _, id := range p.Current.Learners {
		m := p.status(id)
		if !m.caughtUp || m.sinceContact > p.ReplaceAfter/2 {
			continue
		}
		if n := p.votersIn(p.failureDomain(id)); best == 0 || n < fewest {
			best, fewest = id, n
		}
	}
	return best
}

// excessVoter returns the voter to remove when there are too many: one of the
// failure domain with the most voters, but never this node. It returns 0 if there
// is none.
func (p MembershipPlanner) excessVoter() uint64 {
	best, most := uint64(0), 0
	for _, id := range p.Current.Ids {
		if n := p.votersIn(p.failureDomain(id)); id != p.Self && n > most {
			best, most = id, n
		}
	}
	return best
}

func (p MembershipPlanner) unresponsiveLearner() uint64 {
	for _, id := range p.Current.Learners {
		if p.status(id).sinceContact > p.ForgetAfter {
			return id
		}
	}
	return 0
}

func (p MembershipPlanner) failureDomain(id uint64) string {
	for _, r := range p.Current.Replicas {
		if r.Id == id {
			// The failure domain of an initial voter is not known; its address
			// serves as a failure domain of its own.
			return cmp.Or(r.Domain, r.Address)
		}
	}
	return ""
}

func (p MembershipPlanner) votersIn(domain string) int {
	n := 0
	for _, id := range p.Current.Ids {
		if p.failureDomain(id) == domain {
			n++
		}
	}
	return n
}

func (p MembershipPlanner) promote(id uint64) *peer.Voters {
	next := cloneVoters(p.Current)
	next.Learners = slices.DeleteFunc(next.Learners, func(o uint64) bool { return o == id })
	next.Ids = append(next.Ids, id)
	return next
}

// removeMember returns the voter set without the voter or learner. A voter that
// was in contact within ReplaceAfter stays as a learner. It returns nil if id is 0.
func (p MembershipPlanner) removeMember(id uint64) *peer.Voters {
	if id == 0 {
		return nil
	}
	next := cloneVoters(p.Current)
	demote := slices.Contains(p.Current.Ids, id) && p.status(id).sinceContact <= p.ReplaceAfter
	replica := slices.IndexFunc(next.Replicas, func(r *peer.Replica) bool { return r.Id == id })
	if demote && replica >= 0 {
		kept := next.Replicas[replica]
		removeReplica(next, id)
		next.Learners = append(next.Learners, id)
		next.Replicas = append(next.Replicas, kept)
		return next
	}
	removeReplica(next, id)
	return next
}

func cloneVoters(v *peer.Voters) *peer.Voters {
	return &peer.Voters{Ids: slices.Clone(v.Ids), Learners: slices.Clone(v.Learners), Replicas: slices.Clone(v.Replicas)}
}

func removeReplica(v *peer.Voters, id uint64) {
	is := func(o uint64) bool { return o == id }
	v.Ids = slices.DeleteFunc(v.Ids, is)
	v.Learners = slices.DeleteFunc(v.Learners, is)
	v.Replicas = slices.DeleteFunc(v.Replicas, func(r *peer.Replica) bool { return r.Id == id })
}

// LastLeaderContact returns when this node last received a message from a
// leader, or now if it is the leader itself.
func (n *Node) LastLeaderContact(now time.Duration) time.Duration {
	if n.role == Leader {
		return now
	}
	return n.lastLeaderContact
}
