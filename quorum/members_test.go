package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"auburnscale/peer"
)

func replica(id uint64, address, domain string) *peer.Replica {
	return &peer.Replica{Id: id, Address: address, Domain: domain}
}

func threeVoters() *peer.Voters {
	return &peer.Voters{Ids: []uint64{1, 2, 3}, Replicas: []*peer.Replica{replica(1, "a", "d1"), replica(2, "b", "d2"), replica(3, "c", "d3")}}
}

func newPlanner(v *peer.Voters, members ...MemberStatus) MembershipPlanner {
	return MembershipPlanner{Self: 1, Current: v, Members: members, DesiredVoters: 3, ReplaceAfter: 3 * time.Second, ForgetAfter: 20 * time.Second}
}

// TestLostFolderIsReplaced covers a voter that lost its data folder and returns
// at the same address under another id: it becomes a learner first, and a voter
// only once it has caught up.
func TestLostFolderIsReplaced(t *testing.T) {
	p := newPlanner(threeVoters(), NewMemberStatus(2, 0, true), NewMemberStatus(3, time.Second, true))
	p.JoinRequests = []*peer.Replica{replica(9, "c", "d3")}
	next, _ := p.Next()
	require.Equal(t, []uint64{1, 2}, next.Ids)
	require.Equal(t, []uint64{9}, next.Learners)

	p = newPlanner(next, NewMemberStatus(2, 0, true), NewMemberStatus(9, 0, false))
	p.JoinRequests = []*peer.Replica{replica(9, "c", "d3")}
	waiting, _ := p.Next()
	require.Nil(t, waiting, "a learner that has not caught up must not become a voter")

	p.Members = []MemberStatus{NewMemberStatus(2, 0, true), NewMemberStatus(9, 0, true)}
	next, _ = p.Next()
	require.Equal(t, []uint64{1, 2, 9}, next.Ids)
	require.Empty(t, next.Learners)
}

// TestReplacementAtAnotherAddress covers a voter that is permanently lost: its
// replacement becomes a voter before the lost one is removed, so that the number
// of copies of the log never drops first.
func TestReplacementAtAnotherAddress(t *testing.T) {
	lost := NewMemberStatus(3, 5*time.Second, true)
	p := newPlanner(threeVoters(), NewMemberStatus(2, 0, true), lost)
	next, _ := p.Next()
	require.Nil(t, next, "no learner can replace the voter")

	p.JoinRequests = []*peer.Replica{replica(4, "d", "d3")}
	next, _ = p.Next()
	require.Equal(t, []uint64{4}, next.Learners)
	next, _ = newPlanner(next, NewMemberStatus(2, 0, true), lost, NewMemberStatus(4, 0, true)).Next()
	require.Equal(t, []uint64{1, 2, 3, 4}, next.Ids)
	next, _ = newPlanner(next, NewMemberStatus(2, 0, true), lost, NewMemberStatus(4, 0, true)).Next()
	require.Equal(t, []uint64{1, 2, 4}, next.Ids)
	require.Empty(t, next.Learners, "an unresponsive voter does not stay as a learner")
}

func TestSurplusVoterBecomesLearner(t *testing.T) {
	four := threeVoters()
	four.Ids = append(four.Ids, 4)
	four.Replicas = append(four.Replicas, replica(4, "d", "d3"))
	next, _ := newPlanner(four, NewMemberStatus(2, 0, true), NewMemberStatus(3, 0, true), NewMemberStatus(4, 0, true)).Next()
	require.Len(t, next.Ids, 3)
	require.Len(t, next.Learners, 1, "the excess voter of the domain with two voters stays as a learner")
	require.Contains(t, []uint64{3, 4}, next.Learners[0])
}

// TestPlanChangesOneVoter draws voter sets and the state of their members. Each
// step changes at most one voter, never removes the leader, and adds only learners
// that have caught up.
func TestPlanChangesOneVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := &peer.Voters{}
		var members []MemberStatus
		caughtUp := map[uint64]bool{}
		for id := uint64(1); id <= uint64(rapid.IntRange(1, 8).Draw(t, "size")); id++ {
			learner := id > 1 && rapid.Bool().Draw(t, "learner")
			if learner {
				current.Learners = append(current.Learners, id)
			} else {
				current.Ids = append(current.Ids, id)
			}
			domain := rapid.SampledFrom([]string{"d1", "d2", "d3"}).Draw(t, "domain")
			current.Replicas = append(current.Replicas, replica(id, string(rune('a'+id)), domain))
			caughtUp[id] = rapid.Bool().Draw(t, "caught up")
			silence := time.Duration(rapid.IntRange(0, 30).Draw(t, "silence")) * time.Second
			if id > 1 {
				members = append(members, NewMemberStatus(id, silence, caughtUp[id]))
			}
		}
		p := newPlanner(current, members...)
		p.DesiredVoters = 2*rapid.IntRange(0, 3).Draw(t, "losses") + 1
		if rapid.Bool().Draw(t, "applies") {
			address := rapid.SampledFrom([]string{"c", "d", "z"}).Draw(t, "address")
			p.JoinRequests = []*peer.Replica{replica(99, address, "d1")}
		}
		next, _ := p.Next()
		if next == nil {
			return
		}
		added, removed := difference(next.Ids, current.Ids), difference(current.Ids, next.Ids)
		require.LessOrEqual(t, len(added)+len(removed), 1)
		require.Contains(t, next.Ids, uint64(1))
		for _, id := range added {
			require.Contains(t, current.Learners, id)
			require.True(t, caughtUp[id])
		}
	})
}
