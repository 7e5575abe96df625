package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestEvidenceProperties draws reports of few blocks and targets, heartbeats and pauses, and checks
// after each that no quarantined block was served since its last crash, that each has enough
// crashes, and that what is counted matches what is kept.
func TestEvidenceProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := newTestClock()
		alive := aliveTargets{}
		e := NewEvidence(clock.now, alive, event.Nop())
		block := rapid.Uint64Range(1, 6)
		target := rapid.IntRange(0, 9)
		steps := map[string]func(*rapid.T){
			"crash": func(r *rapid.T) {
				blocks := rapid.SliceOfNDistinct(block, 1, 4, rapid.ID).Draw(r, "blocks")
				e.Record(crashUnder(fmt.Sprint("t", target.Draw(r, "target")), blocks...))
			},
			"late report": func(r *rapid.T) {
				report := crashUnder(fmt.Sprint("t", target.Draw(r, "target")), block.Draw(r, "block"))
				report.Crashed[0].AgeMs = rapid.Int64Range(0, 3000).Draw(r, "age")
				e.Record(report)
			},
			"served": func(r *rapid.T) {
				e.Record(&peer.SuspectReport{Sound: []*peer.SoundBlock{{Block: block.Draw(r, "block"), AgeMs: rapid.Int64Range(0, 5000).Draw(r, "age")}}})
			},
			"alive": func(r *rapid.T) { alive[fmt.Sprint("t", target.Draw(r, "target"))] = clock.at },
			"adopt": func(r *rapid.T) {
				e.Record(&peer.SuspectReport{Quarantined: []*peer.SuspectBlock{{
					Block: block.Draw(r, "block"), Crashes: rapid.Int32Range(quarantineCrashes, 9).Draw(r, "crashes"), AgeMs: rapid.Int64Range(0, 90_000).Draw(r, "age"), Quarantined: true,
				}}})
			},
			"wait": func(r *rapid.T) {
				clock.pass(time.Duration(rapid.IntRange(1, 20_000).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) { checkEvidence(r, e) },
		}
		r.Repeat(steps)
	})
}

func checkEvidence(t *rapid.T, e *Evidence) {
	for _, listed := range e.List() {
		if !listed.Quarantined {
			continue
		}
		v := e.verdicts[listed.Block]
		require.GreaterOrEqual(t, v.crashes, quarantineCrashes)
		if served, ok := e.sound[listed.Block]; ok {
			require.LessOrEqual(t, served, v.at, "served since the last crash")
			require.GreaterOrEqual(t, v.crashes, provenCrashes, "served before")
		}
	}
	counts := map[uint64]int{}
	for _, c := range e.crashes {
		for block := range c.blocks {
			counts[block]++
		}
	}
	require.Equal(t, counts, e.counts)
}
