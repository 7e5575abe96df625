package quorum

import (
	"cmp"
	"slices"
	"time"

	"auburnscale/peer"
)

// A MemberStatus represents what a leader knows of another replica.
type MemberStatus struct {
	id       uint64
	silence  time.Duration
	caughtUp bool
}

// NewMemberStatus returns the status of the replica, for planners and tests.
func NewMemberStatus(id uint64, silence time.Duration, caughtUp bool) MemberStatus {
	return MemberStatus{id: id, silence: silence, caughtUp: caughtUp}
}

// Members returns the status of every other replica if this node leads, sorted
// by the order of the voter set.
func (n *Node) Members(now time.Duration) []MemberStatus {
	if n.role != Leader {
		return nil
	}
	var list []MemberStatus
	for _, id := range n.others() {
		p := n.peers[id]
		if p == nil {
			list = append(list, MemberStatus{id: id})
			continue
		}
		list = append(list, MemberStatus{id: id, silence: now - p.heard, caughtUp: p.match >= n.commit})
	}
	return list
}

// A Plan represents what the leader's planner of the voter set decides by.
type MembershipPlanner struct {
	Self    uint64
	Current *peer.Voters
	Members []MemberStatus
	// Applicants are replicas that asked to take part.
	Applicants []*peer.Replica
	// Want is the number of voters aimed at.
	DesiredVoters int
	// Patience is the silence after which a voter is replaced if a learner
	// stands by, and Forget the one after which a learner is dropped.
	ReplaceAfter time.Duration
	ForgetAfter  time.Duration
}

// Next returns the next voter set and the reason for it, or nil if the present
// one stays. Each step changes one voter at most, and a voter is only ever added
// from the learners that have caught up.
func (p MembershipPlanner) Next() (*peer.Voters, string) {
	voters := len(p.Current.Ids)
	silent := p.silentVoter()
	learner := p.standby()
	if learner != 0 && voters < p.DesiredVoters {
		return p.promote(learner), "a learner has caught up"
	}
	for _, a := range p.Applicants {
		if next := p.admit(a); next != nil {
			return next, "a replica asked to take part"
		}
	}
	switch {
	case voters > p.DesiredVoters && silent != 0:
		return p.without(silent), "a silent voter has a successor"
	case voters > p.DesiredVoters:
		return p.without(p.surplus()), "there are more voters than wanted"
	case learner != 0 && silent != 0:
		return p.promote(learner), "a learner has caught up"
	}
	if id := p.lostLearner(); id != 0 {
		return p.without(id), "a learner has been silent for long"
	}
	return nil, ""
}

// admit makes the applicant a learner. A member at its address has lost its
// folder, since two processes cannot listen there at once, and leaves.
func (p MembershipPlanner) admit(a *peer.Replica) *peer.Voters {
	if p.holds(a.Id) {
		return nil
	}
	next := clone(p.Current)
	for _, r := range p.Current.Replicas {
		if r.Address == a.Address {
			remove(next, r.Id)
		}
	}
	if len(next.Ids) == 0 {
		return nil
	}
	next.Learners = append(next.Learners, a.Id)
	next.Replicas = append(next.Replicas, a)
	return next
}

func (p MembershipPlanner) holds(id uint64) bool {
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

func (p MembershipPlanner) silentVoter() uint64 {
	for _, id := range p.Current.Ids {
		if id != p.Self && p.status(id).silence > p.ReplaceAfter {
			return id
		}
	}
	return 0
}

// standby returns a learner that can become a voter, of the failure domain with
// the fewest voters.
func (p MembershipPlanner) standby() uint64 {
	best, fewest := uint64(0), 0
	for _, id := range p.Current.Learners {
		m := p.status(id)
		if !m.caughtUp || m.silence > p.ReplaceAfter/2 {
			continue
		}
		if n := p.votersIn(p.domain(id)); best == 0 || n < fewest {
			best, fewest = id, n
		}
	}
	return best
}

// surplus returns the voter to give up, of the failure domain with the most.
func (p MembershipPlanner) surplus() uint64 {
	best, most := uint64(0), 0
	for _, id := range p.Current.Ids {
		if n := p.votersIn(p.domain(id)); id != p.Self && n > most {
			best, most = id, n
		}
	}
	return best
}

func (p MembershipPlanner) lostLearner() uint64 {
	for _, id := range p.Current.Learners {
		if p.status(id).silence > p.ForgetAfter {
			return id
		}
	}
	return 0
}

func (p MembershipPlanner) domain(id uint64) string {
	for _, r := range p.Current.Replicas {
		if r.Id == id {
			// A founder's failure domain is not known; it stands for itself.
			return cmp.Or(r.Domain, r.Address)
		}
	}
	return ""
}

func (p MembershipPlanner) votersIn(domain string) int {
	n := 0
	for _, id := range p.Current.Ids {
		if p.domain(id) == domain {
			n++
		}
	}
	return n
}

func (p MembershipPlanner) promote(id uint64) *peer.Voters {
	next := clone(p.Current)
	next.Learners = slices.DeleteFunc(next.Learners, func(o uint64) bool { return o == id })
	next.Ids = append(next.Ids, id)
	return next
}

// without removes a voter, which stays as a learner while it answers, or a
// learner.
func (p MembershipPlanner) without(id uint64) *peer.Voters {
	if id == 0 {
		return nil
	}
	next := clone(p.Current)
	keep := slices.Contains(p.Current.Ids, id) && p.status(id).silence <= p.ReplaceAfter
	replica := slices.IndexFunc(next.Replicas, func(r *peer.Replica) bool { return r.Id == id })
	if keep && replica >= 0 {
		kept := next.Replicas[replica]
		remove(next, id)
		next.Learners = append(next.Learners, id)
		next.Replicas = append(next.Replicas, kept)
		return next
	}
	remove(next, id)
	return next
}

func clone(v *peer.Voters) *peer.Voters {
	return &peer.Voters{Ids: slices.Clone(v.Ids), Learners: slices.Clone(v.Learners), Replicas: slices.Clone(v.Replicas)}
}

func remove(v *peer.Voters, id uint64) {
	is := func(o uint64) bool { return o == id }
	v.Ids = slices.DeleteFunc(v.Ids, is)
	v.Learners = slices.DeleteFunc(v.Learners, is)
	v.Replicas = slices.DeleteFunc(v.Replicas, func(r *peer.Replica) bool { return r.Id == id })
}

// Heard returns when this node last heard a leader; now if it leads itself.
func (n *Node) LastLeaderContact(now time.Duration) time.Duration {
	if n.role == Leader {
		return now
	}
	return n.lastLeader
}
