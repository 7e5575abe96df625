package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"auburnscale/peer"
	"auburnscale/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// A fixture applies commands to a state machine with increasing log indexes and
// times.
type fixture struct {
	machine *Machine
	index   uint64
	term    uint64
	clock   int64
}

func newFixture() *fixture {
	return &fixture{machine: New(Limits{ClaimRetain: time.Hour}), term: 1, clock: 1000}
}

func (f *fixture) apply(c *peer.Command) *peer.Result {
	f.index++
	f.clock += 10
	c.Actor, c.AtMs = "operator", f.clock
	return f.machine.Apply(&peer.Entry{Index: f.index, Term: f.term, Command: c})
}

func configuration(version uint64, text string) *peer.Command {
	return &peer.Command{Body: &peer.Command_Apply{Apply: &peer.ApplyConfiguration{Version: version, Digest: []byte(text), Inventory: []byte(text)}}}
}

func openClaim(key, digest, owner string) *peer.Command {
	return &peer.Command{Body: &peer.Command_OpenClaim{OpenClaim: &peer.OpenClaim{Workspace: "guild", Key: key, Digest: []byte(digest), Owner: owner}}}
}

func closeClaim(key, owner string, outcome *peer.Outcome) *peer.Command {
	return &peer.Command{Body: &peer.Command_CloseClaim{CloseClaim: &peer.CloseClaim{Workspace: "guild", Key: key, Owner: owner, Outcome: outcome}}}
}

func TestConfigurationVersionMustFollowCurrent(t *testing.T) {
	f := newFixture()
	steps := []struct {
		version uint64
		text    string
		code    peer.Result_Code
		current uint64
	}{
		{2, "a", peer.Result_CONFLICT, 0},
		{1, "a", peer.Result_OK, 1},
		{1, "a", peer.Result_OK, 1},
		{1, "b", peer.Result_CONFLICT, 1},
		{3, "c", peer.Result_CONFLICT, 1},
		{2, "c", peer.Result_OK, 2},
		{1, "a", peer.Result_OK, 2},
		{1, "b", peer.Result_CONFLICT, 2},
	}
	for i, s := range steps {
		result := f.apply(configuration(s.version, s.text))
		require.Equal(t, s.code, result.Code, "step %d: %s", i, result.Detail)
		require.Equal(t, s.current, f.machine.Configuration().GetVersion(), "step %d", i)
	}
	require.Contains(t, f.apply(configuration(1, "b")).Detail, fmt.Sprintf("accepted with digest %x", "a"))
}

func TestWithdrawalSurvivesNewConfiguration(t *testing.T) {
	f := newFixture()
	f.apply(&peer.Command{Body: &peer.Command_Withdraw{Withdraw: &peer.WithdrawKey{KeyId: "k1"}}})
	f.apply(configuration(1, "k1 again"))
	require.Equal(t, []string{"k1"}, f.machine.Withdrawn(0))
}

func TestClaimHasOneOwner(t *testing.T) {
	f := newFixture()
	require.Equal(t, peer.Result_OK, f.apply(openClaim("k", "d", "first")).Code)
	require.Equal(t, peer.Result_OK, f.apply(openClaim("k", "d", "first")).Code, "a retried proposal of the owner")
	require.Equal(t, peer.Result_UNKNOWN_OUTCOME, f.apply(openClaim("k", "d", "second")).Code)
	require.Equal(t, peer.Result_CONFLICT, f.apply(openClaim("k", "other", "second")).Code)
	require.Equal(t, peer.Result_REFUSED, f.apply(closeClaim("k", "second", &peer.Outcome{Status: 500})).Code)
	require.Equal(t, peer.Result_OK, f.apply(closeClaim("k", "first", &peer.Outcome{Status: 200, Body: []byte("yes")})).Code)
	replay := f.apply(openClaim("k", "d", "second"))
	require.Equal(t, peer.Result_REPLAY, replay.Code)
	require.Equal(t, "yes", string(replay.Outcome.Body))
	require.Equal(t, peer.Result_OK, f.apply(closeClaim("k", "first", &peer.Outcome{Status: 200, Body: []byte("yes")})).Code, "a retried proposal of the owner")
	require.Equal(t, peer.Result_REPLAY, f.apply(closeClaim("k", "first", &peer.Outcome{Status: 500})).Code, "an outcome never changes")
}

func TestClaimReopensIfCallDidNotRun(t *testing.T) {
	f := newFixture()
	f.apply(openClaim("k", "d", "first"))
	f.apply(closeClaim("k", "first", &peer.Outcome{NotRun: true}))
	require.Equal(t, peer.Result_OK, f.apply(openClaim("k", "d", "second")).Code)
	require.Equal(t, peer.Result_REFUSED, f.apply(closeClaim("k", "first", &peer.Outcome{NotRun: true})).Code,
		"a late report of the first owner must not reopen the second owner's claim")
	require.Equal(t, peer.Result_UNKNOWN_OUTCOME, f.apply(openClaim("k", "d", "third")).Code)
}

func TestClaimsExpire(t *testing.T) {
	f := newFixture()
	f.apply(openClaim("k", "d", "first"))
	f.clock += time.Hour.Milliseconds()
	require.Equal(t, peer.Result_OK, f.apply(openClaim("k", "d", "second")).Code)
	require.Len(t, f.machine.claims, 1)
}

func openIntent(id, target, payload, issuer string, fenced bool) *peer.Command {
	return &peer.Command{Body: &peer.Command_OpenIntent{OpenIntent: &peer.OpenIntent{
		Id: id, Target: target, Kind: "engine_order", Payload: []byte(payload), Issuer: issuer, Fenced: fenced,
	}}}
}

func closeIntent(id, issuer string) *peer.Command {
	return &peer.Command{Body: &peer.Command_CloseIntent{CloseIntent: &peer.CloseIntent{Id: id, Issuer: issuer, Status: 200}}}
}

func join(instance, incarnation, address string) *peer.Command {
	return &peer.Command{Body: &peer.Command_Join{Join: &peer.Join{Instance: instance, Incarnation: incarnation, Address: address}}}
}

// TestUnfencedTargetWaitsForIssuerRelease covers a leader that is paused after it
// opens an intent: A opens and stalls, B takes the intent over and gets the
// response. A could still send its request, so a different order is refused until
// A is released.
func TestUnfencedTargetWaitsForIssuerRelease(t *testing.T) {
	f := newFixture()
	f.apply(join("a", "A", "10.0.0.1:1"))
	require.Equal(t, peer.Result_OK, f.apply(openIntent("i1", "e1", "prefill", "A", false)).Code)
	f.term = 2
	require.Equal(t, peer.Result_REFUSED, f.apply(openIntent("i2", "e1", "decode", "B", false)).Code, "a different intent is open")
	require.Equal(t, peer.Result_OK, f.apply(openIntent("i1", "e1", "prefill", "B", false)).Code)
	f.apply(closeIntent("i1", "B"))
	refusal := f.apply(openIntent("i2", "e1", "decode", "B", false))
	require.Equal(t, peer.Result_REFUSED, refusal.Code)
	require.Contains(t, refusal.Detail, "issuer A of intent i1 is not released")

	require.Equal(t, peer.Result_OK, f.apply(join("a", "A2", "10.0.0.9:1")).Code)
	require.Equal(t, peer.Result_REFUSED, f.apply(openIntent("i2", "e1", "decode", "B", false)).Code,
		"a start at another address does not show that the old process has terminated")
	f.apply(join("a", "A3", "10.0.0.9:1"))
	f.apply(&peer.Command{Body: &peer.Command_Release{Release: &peer.ReleaseIssuer{Issuer: "A", Reason: "process terminated"}}})
	require.Equal(t, peer.Result_OK, f.apply(openIntent("i2", "e1", "decode", "B", false)).Code)
}

func TestRestartAtSameAddressReleasesIssuer(t *testing.T) {
	f := newFixture()
	f.apply(join("a", "A", "10.0.0.1:1"))
	f.apply(openIntent("i1", "e1", "prefill", "A", false))
	f.apply(openIntent("i1", "e1", "prefill", "B", false))
	f.apply(closeIntent("i1", "B"))
	f.apply(join("a", "A2", "10.0.0.1:1"))
	require.Equal(t, peer.Result_OK, f.apply(openIntent("i2", "e1", "decode", "B", false)).Code)
}

func TestFencedTargetDoesNotWait(t *testing.T) {
	f := newFixture()
	f.apply(openIntent("i1", "e1", "prefill", "A", true))
	f.term = 2
	f.apply(openIntent("i1", "e1", "prefill", "B", true))
	f.apply(closeIntent("i1", "B"))
	result := f.apply(openIntent("i2", "e1", "decode", "B", true))
	require.Equal(t, peer.Result_OK, result.Code)
	require.Equal(t, uint64(2), result.Epoch)
}

func TestReplacedIncarnationCannotJoin(t *testing.T) {
	f := newFixture()
	f.apply(join("a", "A", "10.0.0.1:1"))
	f.apply(join("a", "A2", "10.0.0.1:1"))
	require.Equal(t, peer.Result_REFUSED, f.apply(join("a", "A", "10.0.0.1:1")).Code)
}

func window(number int64, counters ...*peer.Counter) *peer.Command {
	return &peer.Command{Body: &peer.Command_CloseWindow{CloseWindow: &peer.CloseWindow{Window: number, Counters: counters}}}
}

func counter(source string, window, requests, tokens int64) *peer.Counter {
	return &peer.Counter{Source: source, Window: window, Workspace: "guild", Requests: requests, OutputTokens: tokens}
}

func TestWindowsCountEachTokenOnce(t *testing.T) {
	f := newFixture()
	f.apply(window(100, counter("a", 100, 1, 10), counter("b", 100, 2, 5), counter("a", 200, 9, 90)))
	require.Equal(t, int64(15), f.machine.windows[100].Figures[0].OutputTokens)
	require.Equal(t, peer.Result_REPLAY, f.apply(window(100, counter("a", 100, 5, 50))).Code, "a closed window stays as it is")
	// Requests of window 100 that were counted late are included in window 200.
	f.apply(window(200, counter("a", 100, 2, 13), counter("b", 100, 2, 5), counter("a", 200, 10, 100)))
	require.Equal(t, int64(103), f.machine.windows[200].Figures[0].OutputTokens)
	require.True(t, f.machine.IsSettled(counter("a", 100, 2, 13)))
	require.False(t, f.machine.IsSettled(counter("a", 100, 3, 14)))
}

func suspect(owner string, cleared bool) *peer.Command {
	return &peer.Command{Body: &peer.Command_Suspect{Suspect: &peer.Suspect{Fingerprint: "p", Owner: owner, Cleared: cleared}}}
}

func TestSecondCrashQuarantines(t *testing.T) {
	f := newFixture()
	require.Equal(t, peer.Result_OK, f.apply(suspect("r1", false)).Code)
	require.Equal(t, peer.Result_REFUSED, f.apply(suspect("r1", false)).Code)
	require.Equal(t, int32(2), f.machine.Quarantines()[0].Crashes)
	f.apply(suspect("r1", true))
	require.Len(t, f.machine.Quarantines(), 1, "two crashes are not cleared")
}

func TestSuccessfulRetryClearsSuspicion(t *testing.T) {
	f := newFixture()
	f.apply(suspect("r1", false))
	f.apply(suspect("r2", true))
	require.Len(t, f.machine.Quarantines(), 1, "only the owner clears")
	f.apply(suspect("r1", true))
	require.Empty(t, f.machine.Quarantines())
}

// TestSnapshotPreservesState applies random commands to one state machine, and to
// another that is restored from its own snapshot at random points. Both must give
// the same results and end in the same state.
func TestSnapshotPreservesState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, restored := newFixture(), newFixture()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				next := New(Limits{ClaimRetain: time.Hour})
				next.Restore(restored.machine.Snapshot())
				restored.machine = next
			}
			command := drawCommand(t, i)
			want := whole.apply(proto.Clone(command).(*peer.Command))
			got := restored.apply(proto.Clone(command).(*peer.Command))
			require.True(t, proto.Equal(want, got), "%v: %v and %v", command, want, got)
		}
		require.True(t, proto.Equal(whole.machine.Snapshot(), restored.machine.Snapshot()))
	})
}

func drawCommand(t *rapid.T, i int) *peer.Command {
	name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
	other := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "other")
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return configuration(uint64(rapid.IntRange(1, 6).Draw(t, "version")), other)
	case 1:
		return openClaim(name, other, fmt.Sprint(i))
	case 2:
		return closeClaim(name, fmt.Sprint(i-1), &peer.Outcome{Status: 200, NotRun: other == "p"})
	case 3:
		return openIntent(name, other, name, other, name == "x")
	case 4:
		return closeIntent(name, other)
	case 5:
		return join(name, other+fmt.Sprint(i%3), other)
	case 6:
		return window(int64(rapid.IntRange(1, 5).Draw(t, "window")), counter(name, 1, int64(i), int64(i)))
	case 7:
		return suspect(name, other == "p")
	case 8:
		return &peer.Command{Body: &peer.Command_Withdraw{Withdraw: &peer.WithdrawKey{KeyId: name}}}
	case 9:
		return &peer.Command{Body: &peer.Command_Drain{Drain: &peer.Drain{Kind: "target", Name: name, Undo: other == "p"}}}
	}
	return &peer.Command{Body: &peer.Command_Forget{Forget: &peer.Forget{Instance: name}}}
}
