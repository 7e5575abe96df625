package quarantine

import (
	"fmt"
	"testing"
	"time"

	"auburnscale/event"
	"auburnscale/peer"
)

// BenchmarkReport measures what a control instance does for one report of an instance while as many
// targets as given have crashed within a minute, each with 64 requests of three blocks in flight.
func BenchmarkReport(b *testing.B) {
	const inFlight = 64
	for _, targets := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(targets, " crashes"), func(b *testing.B) {
			clock := newTestClock()
			board := NewBoard("c1", NewEvidence(clock.now, nil, event.Nop()))
			for n := range targets {
				clock.pass(10 * time.Millisecond)
				for r := range uint64(inFlight) {
					board.Report(crashUnder(fmt.Sprint("t", n), r%20, 1000+r%50, uint64(n)<<20+r))
				}
			}
			b.ResetTimer()
			for n := range b.N {
				board.Report(crashUnder("last", uint64(n%20), uint64(1000+n%50), 1<<40+uint64(n%inFlight)))
			}
		})
	}
}

// BenchmarkAdmit measures what an instance does for one request: with no quarantined block, and
// with as many as a control instance keeps.
func BenchmarkAdmit(b *testing.B) {
	for _, held := range []int{0, maxVerdicts} {
		b.Run(fmt.Sprint(held, " quarantined"), func(b *testing.B) {
			clock := newTestClock()
			blocks := newTestBlocks(clock)
			var list []*peer.SuspectBlock
			for n := range held {
				list = append(list, &peer.SuspectBlock{Block: uint64(1 + n), Crashes: 5, Quarantined: true})
			}
			blocks.Received("c1", list)
			request := []uint64{1 << 30, 1 << 31, 1 << 32}
			for b.Loop() {
				a := blocks.Admit(request)
				blocks.Check(request, a)
				blocks.Served(request)
				blocks.End(a)
			}
		})
	}
}
