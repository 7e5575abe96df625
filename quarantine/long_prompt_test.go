package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
)

// Guards against a block that is never quarantined because it stands behind many others (review/9), or because many
// others were in flight when targets crashed.
func TestCrashingBlockBehindManyOthers(t *testing.T) {
	for _, c := range []struct {
		common, own int
		badRate     float64
	}{{70, 0, 1.5}, {300, 0, 1.5}, {1500, 0, 1.5}, {0, 70, 1.5}, {0, 1000, 1.5}, {200, 200, 10}} {
		t.Run(fmt.Sprintf("%d common, %d own", c.common, c.own), func(t *testing.T) {
			config := smallFleet
			config.common, config.own, config.badRate = c.common, c.own, c.badRate
			config.badFirst = func(random *rand.Rand) uint64 { return uint64(1 + random.IntN(140)) }
			s := newSimulation(config, 1)
			s.run(5 * time.Second)
			s.after(0, s.badArrives)
			s.run(20 * time.Second)
			require.GreaterOrEqual(t, len(s.crashTimes), quarantineCrashes)
			require.LessOrEqual(t, s.lateArrivals(), 3, "%d crashes", len(s.crashTimes))
			from := s.crashTimes[min(len(s.crashTimes), finalCrashes)-1] + 2*simContact
			require.Less(t, s.refusedShare(from, 0), 0.02)
		})
	}
}

// Guards against reports that grow with the prompts: the bounds hold, the fingerprint and what has not been served are
// reported first, and nothing is passed over between two messages.
func TestReportsOfLongPromptsAreBounded(t *testing.T) {
	const unserved = 6_000_000
	clock := newTestClock()
	b := newTestBlocks(clock)
	b.Received("c1", nil)
	var served, prompt []uint64
	for n := range uint64(maxBlocksPerRequest) {
		served = append(served, 1+n)
	}
	b.Served(served)
	prompt = append(append(prompt, served...), unserved, 7_000_000)
	clock.pass(time.Millisecond)
	for n := range 100 {
		b.Crashed(fmt.Sprint("t", n), "1", prompt)
	}
	require.LessOrEqual(t, b.kept, maxKeptBlocks)
	seen := map[string]bool{}
	for report, position := b.Report("c1"); report != nil && len(report.Crashed) > 0; report, position = b.Report("c1") {
		blocks := 0
		for _, r := range report.Crashed {
			blocks += len(r.Blocks)
			require.Equal(t, []uint64{unserved, 7_000_000}, r.Blocks[len(r.Blocks)-2:])
			seen[r.Target] = true
		}
		require.LessOrEqual(t, blocks, maxReportedBlocks)
		b.Sent("c1", report, position)
	}
	require.Len(t, seen, len(b.reports))
	require.Contains(t, seen, "t99")
}

// Guards against evidence that grows with the prompts.
func TestEvidenceOfLongPromptsIsBounded(t *testing.T) {
	clock := newTestClock()
	e := NewEvidence(clock.now, nil, event.Nop())
	for target := range uint64(maxCrashes) {
		clock.pass(time.Millisecond)
		var blocks []uint64
		for n := range uint64(maxBlocksPerRequest) {
			blocks = append(blocks, target<<40+n)
		}
		e.Record(crashUnder(fmt.Sprint("t", target), blocks...))
	}
	total := 0
	for _, c := range e.crashes {
		total += len(c.blocks)
	}
	require.Equal(t, total, e.blocks)
	require.LessOrEqual(t, total, maxBlocks)
	require.LessOrEqual(t, len(e.counts), total)
	require.Contains(t, e.crashes, crashID{fmt.Sprint("t", maxCrashes-1), "1"})
}
