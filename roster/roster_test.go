package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"auburnscale/peer"
	"auburnscale/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

type fakeClock struct{ at time.Duration }

func (c *fakeClock) now() time.Duration { return c.at }

func newRoster() (*Roster, *fakeClock) {
	c := &fakeClock{at: time.Hour}
	return New(c.now, 5*time.Second), c
}

func row(id, address string, start int64, seq uint64) *peer.TargetRow {
	return &peer.TargetRow{Id: id, Service: "desk", Address: address, Domain: "d0", Slots: 4, State: peer.TargetRow_READY, BornMs: start, Seq: seq}
}

func state(r *Roster, id string) peer.TargetRow_State { return r.Snapshot().Target(id).GetState() }

func TestLateHeartbeatDoesNotRevive(t *testing.T) {
	r, _ := newRoster()
	require.True(t, r.UpdateTarget(row("e1", "1:1", 10, 1)))
	draining := row("e1", "1:1", 10, 5)
	draining.State = peer.TargetRow_DRAINING
	require.True(t, r.UpdateTarget(draining))
	require.False(t, r.UpdateTarget(row("e1", "1:1", 10, 4)), "an older heartbeat")
	require.Equal(t, peer.TargetRow_DRAINING, state(r, "e1"))
	r.UpdateTarget(row("e1", "1:1", 10, 9))
	require.Equal(t, peer.TargetRow_DRAINING, state(r, "e1"), "no return to READY within an incarnation")
	r.UpdateTarget(row("e1", "1:1", 11, 1))
	require.Equal(t, peer.TargetRow_READY, state(r, "e1"), "a later incarnation is another target")
}

func TestAddressHasOneOwner(t *testing.T) {
	r, _ := newRoster()
	r.UpdateTarget(row("old", "1:1", 10, 1))
	r.UpdateTarget(row("new", "1:1", 20, 1))
	require.Equal(t, peer.TargetRow_GONE, state(r, "old"))
	r.UpdateTarget(row("old", "1:1", 10, 9))
	require.Equal(t, peer.TargetRow_READY, state(r, "new"), "a heartbeat of the previous owner changes nothing")
	require.Equal(t, peer.TargetRow_GONE, state(r, "old"))
	require.Len(t, r.Snapshot().ReadyTargets("desk"), 1)
}

func TestDeregistrationWithoutStartTime(t *testing.T) {
	r, _ := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 1))
	r.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE})
	require.Equal(t, peer.TargetRow_GONE, state(r, "e1"))

	// An instance that has no row of the target accepts the deregistration as
	// well, and an older row that it receives later does not undo it.
	other, clock := newRoster()
	other.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE})
	older := row("e1", "1:1", 10, 1)
	older.AgeMs = 400
	other.Merge([]*peer.TargetRow{older})
	require.Equal(t, peer.TargetRow_GONE, state(other, "e1"))
	clock.at += time.Second
	other.UpdateTarget(row("e1", "1:1", 30, 1))
	require.Equal(t, peer.TargetRow_READY, state(other, "e1"))
}

func TestUnresponsiveTargetStays(t *testing.T) {
	r, clock := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 1))
	clock.at += time.Minute
	r.Tick()
	require.True(t, r.Snapshot().Target("e1").Silent)
	require.Len(t, r.Snapshot().ReadyTargets("desk"), 1)
	before := r.Snapshot().Revision()
	r.UpdateTarget(row("e1", "1:1", 10, 2))
	require.False(t, r.Snapshot().Target("e1").Silent)
	require.Greater(t, r.Snapshot().Revision(), before)
}

// TestUnresponsiveFlagSpreads merges the flag at an instance that has the same
// heartbeat.
func TestUnresponsiveFlagSpreads(t *testing.T) {
	a, clockA := newRoster()
	b, clockB := newRoster()
	a.UpdateTarget(row("e1", "1:1", 10, 1))
	b.Merge(allRows(a))
	clockA.at += time.Minute
	clockB.at += time.Minute
	a.Tick()
	b.Merge(allRows(a))
	require.True(t, b.Snapshot().Target("e1").Silent)
}

// TestSwitchingSpreads has two control instances: one receives the heartbeats of a
// target, the other ordered it to change its stage. The target must count as
// switching at every instance until it reports the new stage.
func TestSwitchingSpreads(t *testing.T) {
	receiver, clock := newRoster()
	orderer, _ := newRoster()
	entry, _ := newRoster()
	before := row("e1", "1:1", 10, 1)
	before.Stage = peer.TargetRow_DECODE
	receiver.UpdateTarget(before)
	orderer.Merge(allRows(receiver))
	entry.Merge(allRows(receiver))
	orderer.SetSwitching("e1", 9*time.Second)
	entry.Merge(allRows(orderer))
	require.NotZero(t, entry.Snapshot().Target("e1").AwayMs)
	later := row("e1", "1:1", 10, 2)
	later.Stage = peer.TargetRow_DECODE
	receiver.UpdateTarget(later)
	entry.Merge(allRows(receiver))
	require.NotZero(t, entry.Snapshot().Target("e1").AwayMs, "a heartbeat during the switch does not end it")
	receiver.Merge(allRows(orderer))
	require.NotZero(t, receiver.Snapshot().Target("e1").AwayMs)

	switched := row("e1", "1:1", 10, 3)
	switched.Stage = peer.TargetRow_PREFILL
	receiver.UpdateTarget(switched)
	entry.Merge(allRows(receiver))
	require.Zero(t, entry.Snapshot().Target("e1").AwayMs)
	entry.Merge(allRows(orderer))
	require.Zero(t, entry.Snapshot().Target("e1").AwayMs, "an older row does not set it again")

	require.NotZero(t, orderer.Snapshot().Target("e1").AwayMs)
	clock.at += time.Minute
	orderer.now = clock.now
	orderer.EndExpiredSwitches()
	require.Zero(t, orderer.Snapshot().Target("e1").AwayMs, "switching ends by itself")
}

func TestHeartbeatAloneChangesNoRevision(t *testing.T) {
	r, _ := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 1))
	before := r.Snapshot().Revision()
	r.UpdateTarget(row("e1", "1:1", 10, 2))
	require.Equal(t, before, r.Snapshot().Revision())
}

// TestMergeOrderDoesNotMatter draws rows with start times that are unique per
// target and merges them at two instances in different orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []*peer.TargetRow
		for range rapid.IntRange(1, 12).Draw(t, "rows") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			start := int64(rapid.IntRange(1, 3).Draw(t, "start"))*10 + int64(id[0]-'a')
			each := row(id, rapid.SampledFrom([]string{"1:1", "1:2"}).Draw(t, "address"), start, uint64(rapid.IntRange(1, 5).Draw(t, "seq")))
			// A target keeps its address within an incarnation.
			each.Address = []string{"1:1", "1:2"}[start%2]
			each.State = peer.TargetRow_State(rapid.IntRange(1, 3).Draw(t, "state"))
			each.SoftwareVersion = rapid.SampledFrom([]string{"", "v1", "v1", "v2"}).Draw(t, "version")
			if each.State == peer.TargetRow_GONE && rapid.Bool().Draw(t, "no start time") {
				each.EndedMs = int64(rapid.IntRange(1, 40).Draw(t, "ended"))
			}
			rows = append(rows, each)
		}
		one, _ := newRoster()
		two, _ := newRoster()
		for _, each := range rows {
			one.Merge([]*peer.TargetRow{proto.Clone(each).(*peer.TargetRow)})
		}
		for _, i := range rapid.Permutation(indexes(len(rows))).Draw(t, "order") {
			two.Merge([]*peer.TargetRow{proto.Clone(rows[i]).(*peer.TargetRow)})
		}
		for _, id := range []string{"a", "b", "c"} {
			x, y := one.Snapshot().Target(id), two.Snapshot().Target(id)
			require.Equal(t, x.GetBornMs(), y.GetBornMs(), "%s of %v", id, rows)
			require.Equal(t, x.GetState() == peer.TargetRow_READY, y.GetState() == peer.TargetRow_READY, "%s of %v", id, rows)
			require.Equal(t, x.GetSoftwareVersion(), y.GetSoftwareVersion(), "%s of %v", id, rows)
			require.Equal(t, x.GetVersionDisputed(), y.GetVersionDisputed(), "%s of %v", id, rows)
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func allRows(r *Roster) []*peer.TargetRow {
	rows, _ := r.Rows(0)
	return rows
}

func TestRowsSinceARevision(t *testing.T) {
	r, clock := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 1))
	_, revision := r.Rows(0)
	r.UpdateTarget(row("e1", "1:1", 10, 2))
	rows, same := r.Rows(revision)
	require.Empty(t, rows, "a heartbeat alone is no change")
	require.Equal(t, revision, same)
	r.UpdateTarget(row("e2", "1:2", 10, 1))
	rows, revision = r.Rows(revision)
	require.Len(t, rows, 1)
	require.Equal(t, "e2", rows[0].Id)
	clock.at += time.Minute
	r.Tick()
	rows, _ = r.Rows(revision)
	require.Len(t, rows, 2, "both became unresponsive")
}

// TestDeregistrationIgnoresSequence has a target deregister with the sequence
// number of a heartbeat that is already known. This happens when it retries a
// heartbeat that got no response at another instance and deregisters there.
func TestDeregistrationIgnoresSequence(t *testing.T) {
	for _, state := range []peer.TargetRow_State{peer.TargetRow_DRAINING, peer.TargetRow_GONE} {
		r, _ := newRoster()
		r.UpdateTarget(row("e1", "1:1", 10, 7))
		deregistration := row("e1", "1:1", 10, 7)
		deregistration.State = state
		require.True(t, r.UpdateTarget(deregistration))
		require.Empty(t, r.Snapshot().ReadyTargets("desk"))
		r.UpdateTarget(row("e1", "1:1", 10, 8))
		require.Empty(t, r.Snapshot().ReadyTargets("desk"))
	}
}

// TestDeregistrationEndsUnknownIncarnation has a target restart while it is
// partitioned and deregister as soon as it is reachable: the control instance that
// acknowledges the deregistration knows only the previous incarnation.
func TestDeregistrationEndsUnknownIncarnation(t *testing.T) {
	r, clock := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 7))
	require.True(t, r.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, EndedMs: 50}))
	clock.at += time.Second
	r.UpdateTarget(row("e1", "1:1", 40, 3))
	require.Equal(t, peer.TargetRow_GONE, state(r, "e1"), "the incarnation that started at 40 had deregistered")

	// The same in the other order, at an instance that merges rows of others.
	other, _ := newRoster()
	other.Merge([]*peer.TargetRow{row("e1", "1:1", 40, 3)})
	other.Merge(allRows(r))
	require.Equal(t, peer.TargetRow_GONE, state(other, "e1"))
	other.UpdateTarget(row("e1", "1:1", 40, 4))
	require.Equal(t, peer.TargetRow_GONE, state(other, "e1"))

	// Another id that started at the address in the meantime is not ended by it.
	r.UpdateTarget(row("e2", "1:1", 45, 1))
	r.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, EndedMs: 55})
	require.Equal(t, peer.TargetRow_READY, state(r, "e2"))

	r.UpdateTarget(row("e1", "1:2", 60, 1))
	require.Equal(t, peer.TargetRow_READY, state(r, "e1"), "an incarnation after the deregistration is ready")
}

// TestHeardSince checks what proves that a target did not crash: a later heartbeat of the same
// start, or its announcement that it ends.
func TestHeardSince(t *testing.T) {
	r, clock := newRoster()
	r.UpdateTarget(row("e1", "1:1", 10, 1))
	crashed := clock.at + time.Millisecond
	require.False(t, r.HeardSince("e1", "10", crashed))
	clock.at += time.Second
	r.UpdateTarget(row("e1", "1:1", 10, 2))
	require.True(t, r.HeardSince("e1", "10", crashed))
	require.False(t, r.HeardSince("e1", "9", crashed), "an earlier start")
	require.False(t, r.HeardSince("unknown", "10", crashed))
	crashed = clock.at + time.Millisecond
	require.False(t, r.HeardSince("e1", "10", crashed))
	r.MarkLeaving("e1", 10)
	require.True(t, r.HeardSince("e1", "10", crashed), "it leaves")
}
