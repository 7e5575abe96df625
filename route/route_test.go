package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newFleet(n int, index *PrefixIndex) *Fleet {
	var targets []*Target
	for i := range n {
		t := NewTarget(Spec{Name: fmt.Sprint("t", i), FailureDomain: fmt.Sprint("d", i%6), Slots: 16, Reclaimable: i%4 == 3})
		t.SetReport(Load{PrefillRate: 20000, DecodeRate: 70}, time.Now())
		targets = append(targets, t)
	}
	return NewFleet(targets, "d0", index)
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func policy(t testing.TB, name string) Policy {
	p, err := NewPolicy(name, 1.5)
	require.NoError(t, err)
	return p
}

func TestPrefixHolderIsPreferred(t *testing.T) {
	index := NewPrefixIndex(100)
	f := newFleet(12, index)
	index.Add(f.targets[7], []uint64{1, 2, 3})
	index.Add(f.targets[8], []uint64{1})
	d := policy(t, "affinity").Choose(f, Request{PromptTokens: 4000, Blocks: []uint64{1, 2, 3, 4}, BlockTokens: 1000}, random())
	require.Equal(t, "t7", d.Target().Name())
	require.Equal(t, ByPrefix, d.Reason())
	require.Equal(t, int64(3000), d.Cached())
}

func TestHotPrefixHolderIsNotChosen(t *testing.T) {
	index := NewPrefixIndex(100)
	f := newFleet(12, index)
	index.Add(f.targets[7], []uint64{1})
	for range 25 {
		f.targets[7].Begin(10)
	}
	d := policy(t, "affinity").Choose(f, Request{PromptTokens: 1500, Blocks: []uint64{1}, BlockTokens: 1000}, random())
	require.NotEqual(t, "t7", d.Target().Name())
}

func TestRemovedBlocksAreNotFound(t *testing.T) {
	index := NewPrefixIndex(100)
	f := newFleet(12, index)
	index.Add(f.targets[7], []uint64{1, 2})
	index.Remove(f.targets[7], []uint64{2})
	var into [3]*Target
	depth, n := index.Longest([]uint64{1, 2}, into[:])
	require.Equal(t, 1, depth)
	require.Equal(t, 1, n)
	index.RemoveTarget(f.targets[7])
	depth, _ = index.Longest([]uint64{1, 2}, into[:])
	require.Zero(t, depth)
}

func TestIndexIsBounded(t *testing.T) {
	index := NewPrefixIndex(100)
	f := newFleet(1, index)
	for i := range uint64(10_000) {
		index.Add(f.targets[0], []uint64{i})
	}
	require.LessOrEqual(t, index.Blocks(), 200)
}

func TestPoliciesSkipAvoidedAndReclaimableTargets(t *testing.T) {
	for _, name := range []string{"affinity", "least_in_flight", "round_robin"} {
		f := newFleet(8, NewPrefixIndex(100))
		p := policy(t, name)
		for range 50 {
			d := p.Choose(f, Request{Avoid: []string{"t0", "t1"}, AvoidReclaimable: true}, random())
			require.NotContains(t, []string{"t0", "t1", "t3", "t7"}, d.Target().Name(), name)
		}
		none := p.Choose(NewFleet(nil, "d0", nil), Request{}, random())
		require.Nil(t, none.Target())
		require.Equal(t, NoTarget, none.Reason())
	}
}

// TestStaleReportIsCorrected checks that requests begun since the last report are
// added to it and that those ended since are subtracted.
func TestStaleReportIsCorrected(t *testing.T) {
	target := NewTarget(Spec{Name: "t", Slots: 4})
	target.Begin(100)
	target.SetReport(Load{Running: 3}, time.Now())
	require.Equal(t, int64(3), target.Requests())
	target.Begin(100)
	require.Equal(t, int64(4), target.Requests())
	require.False(t, target.HasRoom())
	target.End()
	target.End()
	require.Equal(t, int64(2), target.Requests())
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{39, 620} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			index := NewPrefixIndex(100_000)
			f := newFleet(size, index)
			blocks := make([]uint64, 8)
			for i := range blocks {
				blocks[i] = uint64(i)
			}
			index.Add(f.targets[3], blocks[:5])
			p := policy(b, "affinity")
			r := random()
			b.ReportAllocs()
			for b.Loop() {
				p.Choose(f, Request{PromptTokens: 8000, OutputTokens: 200, Blocks: blocks, BlockTokens: 1000}, r)
			}
		})
	}
}
