package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
	"auburnscale/peer"
)

const (
	system    = 0xa1
	document  = 0xd1
	bad       = 0xbad
	otherPart = 0xc3
)

// A testClock is a clock that tests set.
type testClock struct{ at time.Duration }

func newTestClock() *testClock { return &testClock{time.Hour} }

func (c *testClock) now() time.Duration { return c.at }

func (c *testClock) pass(d time.Duration) { c.at += d }

func crashUnder(target string, blocks ...uint64) *peer.SuspectReport {
	return &peer.SuspectReport{Crashed: []*peer.CrashedRequest{{Target: target, Incarnation: "1", Blocks: blocks}}}
}

func served(blocks ...uint64) *peer.SuspectReport {
	r := &peer.SuspectReport{}
	for _, block := range blocks {
		r.Sound = append(r.Sound, &peer.SoundBlock{Block: block})
	}
	return r
}

func quarantined(list []*peer.SuspectBlock) (blocks []uint64) {
	for _, s := range list {
		if s.Quarantined {
			blocks = append(blocks, s.Block)
		}
	}
	return blocks
}

// crashes records n crashes of different targets, half a second apart, each under a request
// with the blocks and a fingerprint of its own.
func crashes(e *Evidence, clock *testClock, n int, blocks ...uint64) {
	for range n {
		clock.pass(500 * time.Millisecond)
		e.Record(crashUnder(fmt.Sprint("t", clock.at), append(append([]uint64(nil), blocks...), uint64(clock.at))...))
	}
}

// TestBlockIsQuarantinedAfterThreeCrashes checks that the block that requests have in common is
// blamed, not those that differ.
func TestBlockIsQuarantinedAfterThreeCrashes(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	crashes(e, clock, 2, bad)
	require.Empty(t, quarantined(e.List()))
	crashes(e, clock, 1, bad)
	require.Equal(t, []uint64{bad}, quarantined(e.List()))
}

// TestMostSpecificBlockIsBlamed checks that of two blocks that were in flight at the same crashes,
// the later one in the prompt is blamed, unless the earlier one crashes targets without it.
func TestMostSpecificBlockIsBlamed(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	crashes(e, clock, 3, system, bad)
	require.Equal(t, []uint64{bad}, quarantined(e.List()))
	clock.pass(reviewTime)
	crashes(e, clock, 3, system, otherPart)
	require.ElementsMatch(t, []uint64{bad, otherPart}, quarantined(e.List()))

	e = NewEvidence(clock.now, nil, event.Nop())
	crashes(e, clock, 2, system, otherPart)
	crashes(e, clock, 1, system, document)
	require.Equal(t, []uint64{system}, quarantined(e.List()))
}

// TestRepeatedRequestIsBlamedItself checks that a single request that is sent again and again
// does not put the blocks under quarantine that it shares with others.
func TestRepeatedRequestIsBlamedItself(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	const fingerprint = 0xf00
	for n := range 3 {
		clock.pass(time.Second)
		e.Record(crashUnder(fmt.Sprint("t", n), system, document, fingerprint))
	}
	require.Equal(t, []uint64{fingerprint}, quarantined(e.List()))
}

// TestServedBlockIsSound checks that a served request exonerates its blocks from earlier crashes,
// and that blocks known to have been served need more crashes.
func TestServedBlockIsSound(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	crashes(e, clock, 2, system)
	e.Record(served(system))
	crashes(e, clock, 4, system)
	require.Empty(t, quarantined(e.List()), "four crashes since")
	crashes(e, clock, 1, system)
	require.Equal(t, []uint64{system}, quarantined(e.List()), "a block whose content or whose engines changed")

	clock.pass(time.Millisecond)
	e.Record(served(system))
	require.Empty(t, quarantined(e.List()))
	require.True(t, e.List()[0].Released)
}

// TestEarlierServiceOutweighsThreeCrashes checks that a quarantine ends when another instance
// tells that it has served a request with the block before.
func TestEarlierServiceOutweighsThreeCrashes(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	crashes(e, clock, 3, document)
	require.Equal(t, []uint64{document}, quarantined(e.List()))
	e.Record(&peer.SuspectReport{Sound: []*peer.SoundBlock{{Block: document, AgeMs: 30_000}}})
	require.Empty(t, quarantined(e.List()))
	crashes(e, clock, 2, document)
	require.Equal(t, []uint64{document}, quarantined(e.List()), "five crashes")
}

// TestTargetsThatCrashTogetherCountOnce checks that the loss of a rack or a failure domain is no
// evidence against the blocks that were in flight there.
func TestTargetsThatCrashTogetherCountOnce(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	for n := range 20 {
		clock.pass(5 * time.Millisecond)
		e.Record(crashUnder(fmt.Sprint("t", n), document))
	}
	require.Empty(t, quarantined(e.List()))
}

// TestSoundBlocksBesideABadOne checks that blocks whose crashes a quarantined block explains are
// not blamed, although they were in flight at all of them and are never served.
func TestSoundBlocksBesideABadOne(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	for n := range 4 {
		clock.pass(time.Second)
		target := fmt.Sprint("t", n)
		e.Record(crashUnder(target, document, uint64(1000+n)))
		e.Record(crashUnder(target, system, bad, uint64(2000+n)))
	}
	require.Equal(t, []uint64{bad}, quarantined(e.List()))
}

type aliveTargets map[string]time.Duration

func (a aliveTargets) HeardSince(target, _ string, at time.Duration) bool { return a[target] > at }

// TestTargetThatIsAliveDidNotCrash checks that connections that a living target ends are no
// evidence, also after the decision.
func TestTargetThatIsAliveDidNotCrash(t *testing.T) {
	clock := newTestClock()
	alive := aliveTargets{}
	e := NewEvidence(clock.now, alive, event.Nop())
	for n := range 3 {
		clock.pass(time.Second)
		e.Record(crashUnder(fmt.Sprint("t", n), bad))
	}
	require.Equal(t, []uint64{bad}, quarantined(e.List()))
	clock.pass(time.Second)
	alive["t1"] = clock.at
	require.Empty(t, quarantined(e.List()))
	clock.pass(time.Second)
	e.Record(crashUnder("t4", bad))
	require.Equal(t, []uint64{bad}, quarantined(e.List()), "three targets that did crash")
}

// TestLivingTargetAmongCrashedOnes checks that a target that is alive does not end the quarantine
// of a block for which enough others crashed, some of them together.
func TestLivingTargetAmongCrashedOnes(t *testing.T) {
	clock := newTestClock()
	alive := aliveTargets{}
	e := NewEvidence(clock.now, alive, event.Nop())
	for n := range 3 {
		clock.pass(time.Second)
		e.Record(crashUnder(fmt.Sprint("t", n), bad))
		e.Record(crashUnder(fmt.Sprint("u", n), bad))
	}
	clock.pass(2 * time.Second)
	decisions := e.decisions
	alive["u0"], alive["u1"] = clock.at, clock.at
	require.Equal(t, []uint64{bad}, quarantined(e.List()))
	require.Equal(t, decisions, e.decisions, "not released in between")
}

// TestEvidenceIsBounded checks the bounds of crashes and blocks.
func TestEvidenceIsBounded(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	for n := range 3 * maxCrashes {
		clock.pass(time.Millisecond)
		blocks := make([]uint64, 0, 2*maxBlocksPerCrash)
		for b := range 2 * maxBlocksPerCrash {
			blocks = append(blocks, uint64(n*10_000+b))
		}
		e.recordCrash(crashUnder(fmt.Sprint("t", n), blocks...).Crashed[0], clock.at)
	}
	require.Len(t, e.crashes, maxCrashes)
	for _, c := range e.crashes {
		require.LessOrEqual(t, len(c.blocks), maxBlocksPerCrash)
	}
	clock.pass(evidenceTTL + time.Second)
	require.Empty(t, e.List())
	require.Empty(t, e.crashes)
}

// TestLivingTargetAfterAdoption guards against losing the crashes that another control instance
// counted when a target turns out to be alive, and against keeping a served block quarantined for
// fewer crashes than that takes.
func TestLivingTargetAfterAdoption(t *testing.T) {
	clock := newTestClock()
	alive := aliveTargets{}
	e := NewEvidence(clock.now, alive, event.Nop())
	e.Record(&peer.SuspectReport{Quarantined: []*peer.SuspectBlock{{Block: bad, Crashes: 5, Quarantined: true}}})
	clock.pass(time.Second)
	e.Record(crashUnder("t0", bad))
	clock.pass(time.Second)
	alive["t0"] = clock.at
	list := e.List()
	require.Equal(t, []uint64{bad}, quarantined(list))
	require.EqualValues(t, 5, list[0].Crashes)

	e.Record(&peer.SuspectReport{Sound: []*peer.SoundBlock{{Block: bad, AgeMs: 60_000}}})
	require.Equal(t, []uint64{bad}, quarantined(e.List()), "served a minute ago")
}
