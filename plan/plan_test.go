package plan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"auburnscale/catalog"
	"auburnscale/peer"
)

func service() *catalog.Service {
	return &catalog.Service{Name: "lm", Purchase: &catalog.Purchase{Min: 1, Max: 6, ReclaimablePrice: 0.2}}
}

func settled(string) bool { return false }

// A site plays orders: it holds what was ordered last and what serves.
type site struct {
	last  map[Pool]ScaleOrder
	count TargetCounts
}

func (s *site) step(starting bool) []ScaleOrder {
	orders := ScaleOrders(service(), map[string]TargetCounts{"d1": s.count}, s.last, func(string) bool { return starting })
	for _, o := range orders {
		s.last[o.Pool] = o
	}
	return orders
}

func (s *site) ordered(reclaimable bool) int { return s.last[Pool{"lm", "d1", reclaimable}].Count }

// TestReclaimOfADomainUnderLoad follows a failure domain through a start, a
// reclaim of all its reclaimable targets with none to be had, and their return.
func TestReclaimOfADomainUnderLoad(t *testing.T) {
	s := &site{last: map[Pool]ScaleOrder{}, count: TargetCounts{Regular: 3}}
	s.step(true)
	require.Equal(t, 3, s.ordered(true), "as many again, reclaimable")
	require.Empty(t, s.step(true), "they are starting")
	s.count.Reclaimable = 3
	for len(s.step(false)) > 0 {
	}
	require.Equal(t, 3, s.ordered(true), "all the first ones stay beside them")

	s.count.Reclaimable, s.count.Reclaiming = 0, 3
	for len(s.step(true)) > 0 {
	}
	require.Equal(t, 4, s.ordered(false), "the notice is enough to order others")
	require.Equal(t, 2, s.ordered(true))

	s.count = TargetCounts{Regular: 4, Reclaimable: 2}
	for len(s.step(false)) > 0 {
		s.count.Regular = s.ordered(false)
	}
	require.Equal(t, 3, s.ordered(false), "the dear ones are given back")
	require.Equal(t, 3, s.ordered(true))
}

// TestSmallDomainHasSpare orders for a failure domain with few first targets.
// Load pattern: prompts swing every three seconds while a neighbouring domain's
// reclaimable targets are taken away, so that others carry its load.
func TestSmallDomainHasSpare(t *testing.T) {
	s := &site{last: map[Pool]ScaleOrder{}, count: TargetCounts{Regular: 2}}
	s.step(true)
	require.Equal(t, 4, s.ordered(true), "twice as many more, reclaimable")
	s = &site{last: map[Pool]ScaleOrder{}, count: TargetCounts{Regular: 5}}
	s.step(true)
	require.Equal(t, 1, s.ordered(true), "up to what can be ordered")
}

// TestOrdersStayWithinBounds draws what serves and what is lost. Both kinds
// together never exceed the bound, and the floor is kept.
func TestOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := rapid.IntRange(0, 2).Draw(t, "least")
		most := rapid.IntRange(3, 12).Draw(t, "most")
		base := rapid.IntRange(1, most).Draw(t, "base")
		v := &catalog.Service{Name: "lm", Purchase: &catalog.Purchase{Min: least, Max: most, ReclaimablePrice: 0.2}}
		last := map[Pool]ScaleOrder{}
		count := TargetCounts{Regular: base}
		for range 30 {
			orders := ScaleOrders(v, map[string]TargetCounts{"d1": count}, last, func(string) bool { return rapid.Bool().Draw(t, "starting") })
			require.LessOrEqual(t, len(orders), 1)
			for _, o := range orders {
				last[o.Pool] = o
			}
			dear := base
			if o, ok := last[Pool{"lm", "d1", false}]; ok {
				dear = o.Count
			}
			cheap := last[Pool{"lm", "d1", true}].Count
			require.LessOrEqual(t, dear+cheap, most)
			require.GreaterOrEqual(t, dear, max(1, min(least, base)))
			require.GreaterOrEqual(t, cheap, 0)
			count = TargetCounts{Regular: dear, Reclaimable: cheap}
			if rapid.Bool().Draw(t, "reclaimed") {
				count.Reclaimable, count.Reclaiming = 0, cheap
			}
		}
	})
}

// TestFirstTargetsThatShowLate orders when one of three first targets is known.
// Load pattern: bursts from the first seconds on, with the first targets starting
// one after the other. Later dear ones, ordered by the plan, raise no base.
func TestFirstTargetsThatShowLate(t *testing.T) {
	s := &site{last: map[Pool]ScaleOrder{}, count: TargetCounts{Regular: 1}}
	s.step(true)
	require.Equal(t, 2, s.ordered(true), "two for each that is known")
	s.count.Regular = 3
	for len(s.step(true)) > 0 {
	}
	require.Equal(t, 3, s.ordered(true), "up to what can be ordered")
	require.Equal(t, 3, s.last[Pool{"lm", "d1", true}].InitialCount)

	s.count.Reclaiming = 3
	for len(s.step(true)) > 0 {
	}
	dear := s.ordered(false)
	s.count = TargetCounts{Regular: dear}
	for len(s.step(true)) > 0 {
	}
	require.Equal(t, 3, s.last[Pool{"lm", "d1", true}].InitialCount)
}

func TestNoPurchaseWithoutNeed(t *testing.T) {
	plain := &catalog.Service{Name: "desk"}
	require.Empty(t, ScaleOrders(plain, map[string]TargetCounts{"d1": {Regular: 3}}, nil, settled))
	dear := &catalog.Service{Name: "lm", Purchase: &catalog.Purchase{Max: 6, ReclaimablePrice: 1}}
	require.Empty(t, ScaleOrders(dear, map[string]TargetCounts{"d1": {Regular: 3}}, nil, settled), "reclaimable ones save nothing")
	full := &catalog.Service{Name: "lm", Purchase: &catalog.Purchase{Max: 3, ReclaimablePrice: 0.2}}
	require.Empty(t, ScaleOrders(full, map[string]TargetCounts{"d1": {Regular: 3}}, nil, settled))
}

func engine(i int, domain string, stage peer.TargetRow_Stage, reclaimable bool) *peer.TargetRow {
	return &peer.TargetRow{Id: fmt.Sprintf("e%02d", i), Domain: domain, Stage: stage, Reclaimable: reclaimable, State: peer.TargetRow_READY}
}

// TestLongPromptsNeedReaders has a failure domain of engines that all make
// answers, as after a start.
func TestLongPromptsNeedReaders(t *testing.T) {
	var rows []*peer.TargetRow
	for i := range 6 {
		rows = append(rows, engine(i, "d1", peer.TargetRow_DECODE, i >= 3))
	}
	changes := StageChanges(rows)
	require.Len(t, changes, 4)
	for _, c := range changes {
		require.Equal(t, peer.TargetRow_PREFILL, c.Stage)
	}
	require.Equal(t, "e03", changes[0].Target, "reclaimable ones become readers first")
}

// TestCutOffDomainServes has a failure domain without an engine that makes
// answers.
func TestCutOffDomainServes(t *testing.T) {
	changes := StageChanges([]*peer.TargetRow{engine(0, "d1", peer.TargetRow_PREFILL, false), engine(1, "d1", peer.TargetRow_PREFILL, false), engine(2, "d2", peer.TargetRow_DECODE, false)})
	require.Equal(t, []StageChange{{"e00", peer.TargetRow_DECODE}}, changes)
}

func TestFewChanges(t *testing.T) {
	rows := []*peer.TargetRow{
		engine(0, "d1", peer.TargetRow_DECODE, false), engine(1, "d1", peer.TargetRow_PREFILL, false), engine(2, "d1", peer.TargetRow_PREFILL, false),
		engine(3, "d1", peer.TargetRow_PREFILL, false), engine(4, "d1", peer.TargetRow_STAGE_UNSPECIFIED, false),
	}
	require.Empty(t, StageChanges(rows))
	silent := engine(5, "d2", peer.TargetRow_PREFILL, false)
	silent.Silent = true
	require.Empty(t, StageChanges([]*peer.TargetRow{silent}), "one that nobody hears is not ordered")
}

// TestOrderedEnginesCountWhereTheyGo looks at the fleet again while the engines
// that were ordered change their stage. Nothing more is ordered.
func TestOrderedEnginesCountWhereTheyGo(t *testing.T) {
	var rows []*peer.TargetRow
	for i := range 18 {
		stage := peer.TargetRow_DECODE
		if i%3 == 0 {
			stage = peer.TargetRow_PREFILL
		}
		rows = append(rows, engine(i, fmt.Sprint("d", i%4), stage, i >= 9))
	}
	changes := StageChanges(rows)
	require.NotEmpty(t, changes)
	for _, c := range changes {
		for _, row := range rows {
			if row.Id == c.Target {
				row.AwayMs = 3000
			}
		}
	}
	require.Empty(t, StageChanges(rows))
}
