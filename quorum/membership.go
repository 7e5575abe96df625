package quorum

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"auburnscale/peer"
)

// ChangeVoters appends a new voter set to the log. It returns an error, and
// changes nothing, if this node is not the leader, if an earlier change is not yet
// committed, if more than one voter differs from the current set or none would be
// left, or if an added voter is not a learner that has caught up. A voter with an
// empty log would count towards the quorum without holding any entry, so that a
// failure right after the change could cost the quorum.
func (n *Node) ChangeVoters(now time.Duration, next *peer.Voters) error {
	if n.role != Leader {
		return fmt.Errorf("voter %d is not the leader", n.config.ID)
	}
	if err := n.checkNoPendingChange(); err != nil {
		return err
	}
	current := n.log.voters()
	added := difference(next.Ids, current.Ids)
	removed := difference(current.Ids, next.Ids)
	if len(added)+len(removed) > 1 {
		return fmt.Errorf("one voter can change at a time: request adds %d and removes %d", len(added), len(removed))
	}
	if len(next.Ids) == 0 {
		return fmt.Errorf("the last voter cannot be removed")
	}
	for _, id := range added {
		if err := n.checkCaughtUp(now, id); err != nil {
			return err
		}
	}
	n.append(&peer.Entry{Voters: next})
	n.pruneProgress()
	n.broadcast(now, true)
	return nil
}

// pruneProgress drops the progress of replicas that are no longer members. A
// replica that returns is a new member, and its time without contact counts from
// its return.
func (n *Node) pruneProgress() {
	members := n.otherMembers()
	maps.DeleteFunc(n.peers, func(id uint64, _ *progress) bool { return !slices.Contains(members, id) })
}

// checkNoPendingChange returns an error while an earlier voter change or the
// first entry of this term is not committed.
func (n *Node) checkNoPendingChange() error {
	if term, _ := n.log.term(n.commitIndex); term != n.term {
		return fmt.Errorf("the leader has not yet committed an entry of its term %d", n.term)
	}
	for _, e := range n.log.slice(n.commitIndex+1, n.log.lastIndex()) {
		if e.Voters != nil {
			return fmt.Errorf("the previous voter change, at entry %d, is not yet committed", e.Index)
		}
	}
	return nil
}

// checkCaughtUp returns an error unless the replica is a learner that was in
// contact within MinElectionTimeout and holds every committed entry.
func (n *Node) checkCaughtUp(now time.Duration, id uint64) error {
	if n.config.SafetyOverrides.NoCatchUp {
		return nil
	}
	if !slices.Contains(n.log.voters().Learners, id) {
		return fmt.Errorf("voter %d must be a learner first", id)
	}
	p := n.peers[id]
	if p == nil || now-p.lastContact > n.config.Timing.MinElectionTimeout {
		return fmt.Errorf("learner %d has not answered lately", id)
	}
	if p.match < n.commitIndex {
		return fmt.Errorf("learner %d holds entry %d, but entries up to %d are committed", id, p.match, n.commitIndex)
	}
	return nil
}

// difference returns the ids of from that are not among in.
func difference(from, in []uint64) []uint64 {
	var ids []uint64
	for _, id := range from {
		if !slices.Contains(in, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
