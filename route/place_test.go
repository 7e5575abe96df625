package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stagedFleet returns a fleet of prefill and decode targets over three failure
// domains.
func stagedFleet(prefillTargets, decodeTargets int) *Fleet {
	var targets []*Target
	for i := range prefillTargets {
		targets = append(targets, NewTarget(Spec{Name: fmt.Sprint("read", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 64, Stage: PrefillOnly}))
	}
	for i := range decodeTargets {
		targets = append(targets, NewTarget(Spec{Name: fmt.Sprint("run", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 64}))
	}
	return NewFleet(targets, "d0", NewPrefixIndex(1000))
}

var placer = Placer{TransferDelay: 40 * time.Millisecond, RemoteDelay: 8 * time.Millisecond}

func prompt(block uint64, shared, total int64) Prompt {
	return Prompt{Blocks: []uint64{block}, BlockEnds: []int64{shared}, TotalTokens: total}
}

// TestSharedPrefixHasHomeTarget places prompts with the same shared prefix from
// several instances. All must choose the same prefill target without exchanging any
// state.
func TestSharedPrefixHasHomeTarget(t *testing.T) {
	homes := map[string]int{}
	for block := range uint64(200) {
		p := prompt(block*7919, 13000, 17000)
		first := placer.Place(stagedFleet(6, 3), p, nil, time.Now())
		require.NotNil(t, first.PrefillTarget)
		for range 3 {
			again := placer.Place(stagedFleet(6, 3), p, nil, time.Now())
			require.Equal(t, first.PrefillTarget.Name(), again.PrefillTarget.Name())
		}
		homes[first.PrefillTarget.Name()]++
	}
	require.Len(t, homes, 6)
	for name, n := range homes {
		require.Less(t, n, 80, "%s has more than twice its share", name)
	}
}

// TestManyInstancesSpreadLoad places one request from each of sixty instances that do
// not know each other's load yet. It guards against all choosing the same decode
// target when a burst over many entry instances arrives faster than they exchange
// their load.
func TestManyInstancesSpreadLoad(t *testing.T) {
	const instances, decodeTargets = 60, 42
	rng := rand.New(rand.NewPCG(4, 2))
	p := placer
	p.RandIntN = rng.IntN
	counts := map[string]int{}
	for i := range uint64(instances) {
		c := p.Place(stagedFleet(60, decodeTargets), prompt(i*7919, 13000, 17000), nil, time.Now())
		require.NotNil(t, c.PrefillTarget)
		counts[c.DecodeTarget.Name()]++
	}
	for name, n := range counts {
		require.LessOrEqual(t, n, 8, "%s has far more than its share", name)
	}
	require.Greater(t, len(counts), 10, "the local failure domain has 14 decode targets")
}

// TestOverflowHasHomeTarget places a hot shared prefix from many instances after its
// home target is overloaded, as with one document in every prompt. The overflow must
// go to the same other target, so that the prefix is prefilled there only once.
func TestOverflowHasHomeTarget(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 2))
	p := placer
	p.RandIntN = rng.IntN
	hot := prompt(77, 13000, 17000)
	first := p.Place(stagedFleet(60, 42), hot, nil, time.Now()).PrefillTarget.Name()
	counts := map[string]int{}
	for range 60 {
		f := stagedFleet(60, 42)
		for _, target := range f.targets {
			if target.Name() == first {
				target.SetOtherLoad(400_000, 20)
			}
		}
		counts[p.Place(f, hot, nil, time.Now()).PrefillTarget.Name()]++
	}
	require.NotContains(t, counts, first)
	require.Len(t, counts, 1, "%v", counts)
}

// TestSampleWithoutAvailableTarget makes all but one target of a large fleet
// unavailable, so that the sample contains no available one.
func TestSampleWithoutAvailableTarget(t *testing.T) {
	f := stagedFleet(0, 60)
	for _, target := range f.targets[1:] {
		target.SetSwitching(true)
	}
	require.Equal(t, "run0", placer.Place(f, Prompt{}, nil, time.Now()).DecodeTarget.Name())
	require.Equal(t, "run0", placer.Direct(f, prompt(1, 100, 200), nil, time.Now()).DecodeTarget.Name())
}

// TestHomeTargetsAreOrdered checks that the first home target is that of homeTarget,
// and that the second takes its place when the first leaves the fleet.
func TestHomeTargetsAreOrdered(t *testing.T) {
	f := stagedFleet(60, 0)
	for block := range uint64(50) {
		homes := homeTargets(f.prefillTargets, prompt(block*7919, 10, 20))
		require.Len(t, homes, len(homeAssumedCached))
		require.Equal(t, f.prefillTargets[homeTarget(f.prefillTargets, prompt(block*7919, 10, 20))], homes[0])
		without := slices.DeleteFunc(slices.Clone(f.prefillTargets), func(t *Target) bool { return t == homes[0] })
		require.Equal(t, homes[1], homeTargets(without, prompt(block*7919, 10, 20))[0])
	}
}

// TestHotPrefixSpreads places the same hot shared prefix repeatedly. Requests must
// leave its home target once others would answer sooner, and not before.
func TestHotPrefixSpreads(t *testing.T) {
	f := stagedFleet(6, 3)
	p := prompt(1, 13000, 17000)
	used := map[string]int{}
	for range 60 {
		c := placer.Place(f, p, nil, time.Now())
		if c.PrefillTarget == nil {
			used[c.DecodeTarget.Name()]++
			c.DecodeTarget.Begin(c.PrefillTokens)
			continue
		}
		used[c.PrefillTarget.Name()]++
		c.PrefillTarget.Begin(c.PrefillTokens)
		f.index.Add(c.PrefillTarget, p.Blocks)
	}
	require.Greater(t, len(used), 3)
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	require.Less(t, most, 30)
}

// TestShortPromptUsesPrefillTargetUnderLoad checks that a short prompt, which an idle
// fleet would run on a decode target alone, goes to a prefill target when the decode
// targets already prefill long prompts.
func TestShortPromptUsesPrefillTargetUnderLoad(t *testing.T) {
	f := stagedFleet(2, 2)
	short := prompt(5, 100, 400)
	require.Nil(t, placer.Place(f, short, nil, time.Now()).PrefillTarget)
	for _, target := range f.targets {
		if target.Decodes() {
			target.Begin(5000)
		}
	}
	require.NotNil(t, placer.Place(f, short, nil, time.Now()).PrefillTarget)
}

// TestLoadOfOtherInstancesCounts has another instance load the home target.
func TestLoadOfOtherInstancesCounts(t *testing.T) {
	f := stagedFleet(3, 2)
	p := prompt(3, 1000, 9000)
	home := placer.Place(f, p, nil, time.Now()).PrefillTarget
	home.SetOtherLoad(200_000, 40)
	require.NotEqual(t, home, placer.Place(f, p, nil, time.Now()).PrefillTarget)
	home.SetOtherLoad(0, 0)
	require.Equal(t, home, placer.Place(f, p, nil, time.Now()).PrefillTarget)
}

func TestSwitchingSilentAndAvoidedTargets(t *testing.T) {
	f := stagedFleet(0, 3)
	f.targets[0].SetSwitching(true)
	f.targets[1].RecordDecline(time.Now())
	c := placer.Place(f, Prompt{}, nil, time.Now())
	require.Equal(t, "run2", c.DecodeTarget.Name())
	require.Nil(t, placer.Place(f, Prompt{}, []string{"run2"}, time.Now()).DecodeTarget)
	require.NotNil(t, placer.Place(f, Prompt{}, []string{"run2"}, time.Now().Add(time.Minute)).DecodeTarget, "a backoff ends")
	f.targets[0].SetSwitching(false)
	f.targets[2].SetSilent(true)
	require.Equal(t, "run0", placer.Place(f, Prompt{}, nil, time.Now()).DecodeTarget.Name())
}

func TestBackoffDoublesWithDeclines(t *testing.T) {
	target := NewTarget(Spec{Name: "e"})
	now := time.Now()
	var backoffs []time.Duration
	for range 6 {
		target.RecordDecline(now)
		backoffs = append(backoffs, time.Duration(target.backoffUntil.Load()-now.UnixNano()))
	}
	require.Equal(t, []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff, maxBackoff}, backoffs)
	target.RecordAccept()
	target.RecordDecline(now)
	require.Equal(t, initialBackoff, time.Duration(target.backoffUntil.Load()-now.UnixNano()))
}

func TestRatesFollowObservations(t *testing.T) {
	r := NewRates()
	for range 500 {
		r.Observe(10_000, 100*time.Millisecond, true)
		r.Observe(10_000, time.Second, false)
	}
	require.InEpsilon(t, 100_000, r.PrefillOnly(), 0.01)
	require.InEpsilon(t, 10_000, r.Mixed(), 0.01)
	r.Observe(10, time.Hour, true)
	require.InEpsilon(t, 100_000, r.PrefillOnly(), 0.01, "a very short prefill is ignored")
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{9, 60, 620} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := stagedFleet(size*2/3, size-size*2/3)
			p := prompt(7, 13000, 17000)
			now := time.Now()
			require.NotNil(b, placer.Place(f, p, nil, now).DecodeTarget)
			b.ReportAllocs()
			for b.Loop() {
				placer.Place(f, p, nil, now)
			}
		})
	}
}

// TestCacheTransfersStayInFailureDomain checks that the decode target is in the
// failure domain of the prefill target unless its decode targets are clearly more
// loaded than others.
func TestCacheTransfersStayInFailureDomain(t *testing.T) {
	f := stagedFleet(6, 3)
	p := placer
	p.CrossDomainDelay = 25 * time.Millisecond
	for block := range uint64(50) {
		c := p.Place(f, prompt(block, 13000, 17000), nil, time.Now())
		require.Equal(t, c.PrefillTarget.FailureDomain(), c.DecodeTarget.FailureDomain())
	}
	near := p.Place(f, prompt(1, 13000, 17000), nil, time.Now())
	for range 40 {
		near.DecodeTarget.Begin(0)
	}
	far := p.Place(f, prompt(1, 13000, 17000), nil, time.Now())
	require.Equal(t, near.PrefillTarget, far.PrefillTarget)
	require.NotEqual(t, near.DecodeTarget, far.DecodeTarget)
}

// TestUnreachableTargetsAreTheLastResort has all targets of a service in failure
// domains that seem unreachable, as when a service has fewer targets than there are
// failure domains and one of them is cut off.
func TestUnreachableTargetsAreTheLastResort(t *testing.T) {
	f := stagedFleet(0, 3)
	now := time.Now()
	for _, target := range f.targets {
		target.SetUnreachable(now.Add(time.Second))
	}
	require.NotNil(t, placer.Place(f, Prompt{}, nil, now).DecodeTarget, "better than no target")
	staged := stagedFleet(1, 1)
	staged.decodeTargets[0].SetUnreachable(now.Add(time.Second))
	placement := placer.Place(staged, prompt(1, 13000, 17000), nil, now)
	require.Equal(t, "run0", placement.DecodeTarget.Name())
	require.Nil(t, placement.PrefillTarget, "no reachable decode target for the cache")
	f.targets[2].SetUnreachable(now)
	require.Equal(t, "run2", placer.Place(f, Prompt{}, nil, now).DecodeTarget.Name())
	f.targets[2].RecordDecline(now)
	require.NotEqual(t, "run2", placer.Place(f, Prompt{}, nil, now).DecodeTarget.Name(), "a target that declined is in backoff even as the last resort")
}

// TestRateIsLearnedFromFewPrefills checks that ten prefills, which an entry instance of a
// fleet of hundreds sees in ten seconds, correct an initial rate that is far off. Load
// pattern: a large fleet in its first seconds, when nothing is cached.
func TestRateIsLearnedFromFewPrefills(t *testing.T) {
	rates := NewRates()
	for range 10 {
		rates.Observe(10_000, 500*time.Millisecond, true)
	}
	require.Less(t, rates.PrefillOnly(), 30_000.0, "20,000 tokens a second were observed")
	require.InDelta(t, initialRate*mixedFactor, rates.Mixed(), 1)
}
