package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// staged returns a fleet of readers and runners over three failure domains.
func staged(readers, runners int) *Fleet {
	var targets []*Target
	for i := range readers {
		targets = append(targets, NewTarget(Spec{Name: fmt.Sprint("read", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 64, Stage: PrefillOnly}))
	}
	for i := range runners {
		targets = append(targets, NewTarget(Spec{Name: fmt.Sprint("run", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 64}))
	}
	return NewFleet(targets, "d0", NewPrefixIndex(1000))
}

var placer = Placer{TransferDelay: 40 * time.Millisecond, RemoteDelay: 8 * time.Millisecond}

func prompt(part uint64, shared, total int64) Prompt {
	return Prompt{Blocks: []uint64{part}, BlockEnds: []int64{shared}, TotalTokens: total}
}

// TestSharedPartsHaveAHome asks from several instances for the same shared part.
// All choose the same reader without a word between them.
func TestSharedPartsHaveAHome(t *testing.T) {
	homes := map[string]int{}
	for part := range uint64(200) {
		p := prompt(part*7919, 13000, 17000)
		first := placer.Place(staged(6, 3), p, nil, time.Now())
		require.NotNil(t, first.PrefillTarget)
		for range 3 {
			again := placer.Place(staged(6, 3), p, nil, time.Now())
			require.Equal(t, first.PrefillTarget.Name(), again.PrefillTarget.Name())
		}
		homes[first.PrefillTarget.Name()]++
	}
	require.Len(t, homes, 6)
	for name, n := range homes {
		require.Less(t, n, 80, "%s has more than twice its part", name)
	}
}

// TestManyInstancesSpread places one request from each of sixty instances, none of
// which knows of the others' yet. Load pattern: a burst over many entry instances,
// whose exchange of work in flight takes longer than their requests take to come.
func TestManyInstancesSpread(t *testing.T) {
	const instances, runners = 60, 42
	drawn := rand.New(rand.NewPCG(4, 2))
	p := placer
	p.RandIntN = drawn.IntN
	got := map[string]int{}
	for i := range uint64(instances) {
		c := p.Place(staged(60, runners), prompt(i*7919, 13000, 17000), nil, time.Now())
		require.NotNil(t, c.PrefillTarget)
		got[c.DecodeTarget.Name()]++
	}
	for name, n := range got {
		require.LessOrEqual(t, n, 8, "%s has far more than its part", name)
	}
	require.Greater(t, len(got), 10, "the own failure domain has 14 runners")
}

// TestOverflowHasAHomeToo places a hot shared part from many instances after its
// home has more than it can do. Load pattern: one document that everyone reads.
// What is too much goes to few others, so that the part is read there once.
func TestOverflowHasAHomeToo(t *testing.T) {
	drawn := rand.New(rand.NewPCG(4, 2))
	p := placer
	p.RandIntN = drawn.IntN
	hot := prompt(77, 13000, 17000)
	first := p.Place(staged(60, 42), hot, nil, time.Now()).PrefillTarget.Name()
	got := map[string]int{}
	for range 60 {
		f := staged(60, 42)
		for _, target := range f.targets {
			if target.Name() == first {
				target.SetOtherLoad(400_000, 20)
			}
		}
		got[p.Place(f, hot, nil, time.Now()).PrefillTarget.Name()]++
	}
	require.NotContains(t, got, first)
	require.Len(t, got, 1, "%v", got)
}

// TestSampleThatIsAway has all but one target of a large fleet away.
func TestSampleThatIsAway(t *testing.T) {
	f := staged(0, 60)
	for _, target := range f.targets[1:] {
		target.SetSwitching(true)
	}
	require.Equal(t, "run0", placer.Place(f, Prompt{}, nil, time.Now()).DecodeTarget.Name())
	require.Equal(t, "run0", placer.Direct(f, prompt(1, 100, 200), nil, time.Now()).DecodeTarget.Name())
}

// TestHomesAreInOrder checks the first homes against the only one.
func TestHomesAreInOrder(t *testing.T) {
	f := staged(60, 0)
	for part := range uint64(50) {
		homes := homeTargets(f.prefillTargets, prompt(part*7919, 10, 20))
		require.Len(t, homes, len(homeAssumedCached))
		require.Equal(t, f.prefillTargets[homeTarget(f.prefillTargets, prompt(part*7919, 10, 20))], homes[0])
		without := slices.DeleteFunc(slices.Clone(f.prefillTargets), func(t *Target) bool { return t == homes[0] })
		require.Equal(t, homes[1], homeTargets(without, prompt(part*7919, 10, 20))[0])
	}
}

// TestHotPartSpreads sends one hot shared part again and again. Its home is left
// once others would answer sooner, and not before.
func TestHotPartSpreads(t *testing.T) {
	f := staged(6, 3)
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

// TestPromptSwing has runners that read long prompts already. A short prompt
// goes to a reader then, though it would be run directly on a calm fleet.
func TestPromptSwing(t *testing.T) {
	f := staged(2, 2)
	short := prompt(5, 100, 400)
	require.Nil(t, placer.Place(f, short, nil, time.Now()).PrefillTarget)
	for _, target := range f.targets {
		if target.Decodes() {
			target.Begin(5000)
		}
	}
	require.NotNil(t, placer.Place(f, short, nil, time.Now()).PrefillTarget)
}

// TestOthersWorkCounts has another instance fill the home.
func TestOthersWorkCounts(t *testing.T) {
	f := staged(3, 2)
	p := prompt(3, 1000, 9000)
	home := placer.Place(f, p, nil, time.Now()).PrefillTarget
	home.SetOtherLoad(200_000, 40)
	require.NotEqual(t, home, placer.Place(f, p, nil, time.Now()).PrefillTarget)
	home.SetOtherLoad(0, 0)
	require.Equal(t, home, placer.Place(f, p, nil, time.Now()).PrefillTarget)
}

func TestAwaySilentAndAvoided(t *testing.T) {
	f := staged(0, 3)
	f.targets[0].SetSwitching(true)
	f.targets[1].RecordDecline(time.Now())
	c := placer.Place(f, Prompt{}, nil, time.Now())
	require.Equal(t, "run2", c.DecodeTarget.Name())
	require.Nil(t, placer.Place(f, Prompt{}, []string{"run2"}, time.Now()).DecodeTarget)
	require.NotNil(t, placer.Place(f, Prompt{}, []string{"run2"}, time.Now().Add(time.Minute)).DecodeTarget, "a rest ends")
	f.targets[0].SetSwitching(false)
	f.targets[2].SetSilent(true)
	require.Equal(t, "run0", placer.Place(f, Prompt{}, nil, time.Now()).DecodeTarget.Name())
}

func TestDeclinesRestLonger(t *testing.T) {
	target := NewTarget(Spec{Name: "e"})
	now := time.Now()
	var rests []time.Duration
	for range 6 {
		target.RecordDecline(now)
		rests = append(rests, time.Duration(target.backoffUntil.Load()-now.UnixNano()))
	}
	require.Equal(t, []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff, maxBackoff}, rests)
	target.RecordAccept()
	target.RecordDecline(now)
	require.Equal(t, initialBackoff, time.Duration(target.backoffUntil.Load()-now.UnixNano()))
}

func TestRatesAreLearned(t *testing.T) {
	r := NewRates()
	for range 500 {
		r.Observe(10_000, 100*time.Millisecond, true)
		r.Observe(10_000, time.Second, false)
	}
	require.InEpsilon(t, 100_000, r.PrefillOnly(), 0.01)
	require.InEpsilon(t, 10_000, r.Mixed(), 0.01)
	r.Observe(10, time.Hour, true)
	require.InEpsilon(t, 100_000, r.PrefillOnly(), 0.01, "a tiny reading tells nothing")
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{9, 60, 620} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := staged(size*2/3, size-size*2/3)
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

// TestCachesStayInTheirDomain hands over within a failure domain as long as its
// runners are about as light as others.
func TestCachesStayInTheirDomain(t *testing.T) {
	f := staged(6, 3)
	p := placer
	p.CrossDomainDelay = 25 * time.Millisecond
	for part := range uint64(50) {
		c := p.Place(f, prompt(part, 13000, 17000), nil, time.Now())
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

// TestCutOffTargetsAreTheLastResort has the whole fleet of a service in domains
// that seem to be cut off. Load pattern: a service with fewer targets than failure
// domains, one of them cut off.
func TestCutOffTargetsAreTheLastResort(t *testing.T) {
	f := staged(0, 3)
	now := time.Now()
	for _, target := range f.targets {
		target.SetUnreachable(now.Add(time.Second))
	}
	require.NotNil(t, placer.Place(f, Prompt{}, nil, now).DecodeTarget, "better than no answer")
	beside := staged(1, 1)
	beside.decodeTargets[0].SetUnreachable(now.Add(time.Second))
	last := placer.Place(beside, prompt(1, 13000, 17000), nil, now)
	require.Equal(t, "run0", last.DecodeTarget.Name())
	require.Nil(t, last.PrefillTarget, "a cache would have nowhere to go")
	f.targets[2].SetUnreachable(now)
	require.Equal(t, "run2", placer.Place(f, Prompt{}, nil, now).DecodeTarget.Name())
	f.targets[2].RecordDecline(now)
	require.NotEqual(t, "run2", placer.Place(f, Prompt{}, nil, now).DecodeTarget.Name(), "one that declined has said so itself")
}
