package plan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"auburnscale/catalog"
	"auburnscale/peer"
)

func scalableService() *catalog.Service {
	return &catalog.Service{Name: "lm", Scaling: &catalog.Scaling{Min: 1, Max: 6, ReclaimablePrice: 0.2}}
}

func notStarting(string) bool { return false }

// A fleetSim applies scale orders to one failure domain: it holds the last order
// of each pool and the current targets.
type fleetSim struct {
	last   map[Pool]ScaleOrder
	counts TargetCounts
}

func (s *fleetSim) step(starting bool) []ScaleOrder {
	orders := ScaleOrders(scalableService(), map[string]TargetCounts{"d1": s.counts}, s.last, func(string) bool { return starting })
	for _, o := range orders {
		s.last[o.Pool] = o
	}
	return orders
}

func (s *fleetSim) ordered(reclaimable bool) int { return s.last[Pool{"lm", "d1", reclaimable}].Count }

// TestScaleOrdersAcrossReclaim follows a failure domain through its start, a
// reclaim of all its reclaimable targets while none can be had, and their return.
func TestScaleOrdersAcrossReclaim(t *testing.T) {
	s := &fleetSim{last: map[Pool]ScaleOrder{}, counts: TargetCounts{Regular: 3}}
	s.step(true)
	require.Equal(t, 3, s.ordered(true), "one reclaimable target per regular one, up to the maximum")
	require.Empty(t, s.step(true), "no further orders while targets are starting")
	s.counts.Reclaimable = 3
	for len(s.step(false)) > 0 {
	}
	require.Equal(t, 3, s.ordered(true), "three reclaimable targets beside all initial regular ones")

	s.counts.Reclaimable, s.counts.Reclaiming = 0, 3
	for len(s.step(true)) > 0 {
	}
	require.Equal(t, 4, s.ordered(false), "draining reclaimable targets are replaced before they are gone")
	require.Equal(t, 2, s.ordered(true))

	s.counts = TargetCounts{Regular: 4, Reclaimable: 2}
	for len(s.step(false)) > 0 {
		s.counts.Regular = s.ordered(false)
	}
	require.Equal(t, 3, s.ordered(false), "additional regular targets are released")
	require.Equal(t, 3, s.ordered(true))
}

// TestSmallDomainGetsSpareCapacity guards against too few targets in a failure
// domain with few initial ones. It matters when the prompt length changes every
// three seconds while another domain's reclaimable targets are reclaimed, so that
// the remaining domains carry its load.
func TestSmallDomainGetsSpareCapacity(t *testing.T) {
	s := &fleetSim{last: map[Pool]ScaleOrder{}, counts: TargetCounts{Regular: 2}}
	s.step(true)
	require.Equal(t, 4, s.ordered(true), "two reclaimable targets per regular one")
	s = &fleetSim{last: map[Pool]ScaleOrder{}, counts: TargetCounts{Regular: 5}}
	s.step(true)
	require.Equal(t, 1, s.ordered(true), "limited by the maximum")
}

// TestScaleOrdersStayWithinBounds draws the bounds, the initial targets and the
// reclaims. Regular and reclaimable targets together never exceed the maximum. There
// is always a regular target, and there are never fewer than the minimum unless the
// domain started with fewer.
func TestScaleOrdersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minTargets := rapid.IntRange(0, 2).Draw(t, "least")
		maxTargets := rapid.IntRange(3, 12).Draw(t, "most")
		base := rapid.IntRange(1, maxTargets).Draw(t, "base")
		v := &catalog.Service{Name: "lm", Scaling: &catalog.Scaling{Min: minTargets, Max: maxTargets, ReclaimablePrice: 0.2}}
		last := map[Pool]ScaleOrder{}
		count := TargetCounts{Regular: base}
		for range 30 {
			orders := ScaleOrders(v, map[string]TargetCounts{"d1": count}, last, func(string) bool { return rapid.Bool().Draw(t, "starting") })
			require.LessOrEqual(t, len(orders), 1)
			for _, o := range orders {
				last[o.Pool] = o
			}
			regular := base
			if o, ok := last[Pool{"lm", "d1", false}]; ok {
				regular = o.Count
			}
			reclaimable := last[Pool{"lm", "d1", true}].Count
			require.LessOrEqual(t, regular+reclaimable, maxTargets)
			require.GreaterOrEqual(t, regular, max(1, min(minTargets, base)))
			require.GreaterOrEqual(t, reclaimable, 0)
			count = TargetCounts{Regular: regular, Reclaimable: reclaimable}
			if rapid.Bool().Draw(t, "reclaimed") {
				count.Reclaimable, count.Reclaiming = 0, reclaimable
			}
		}
	})
}

// TestInitialCountIncludesLateTargets orders while only one of three initial targets
// is known, as when they start one after the other under bursts from the first
// seconds on. The initial count rises with the initial targets that appear later,
// but not with regular targets that the plan itself ordered.
func TestInitialCountIncludesLateTargets(t *testing.T) {
	s := &fleetSim{last: map[Pool]ScaleOrder{}, counts: TargetCounts{Regular: 1}}
	s.step(true)
	require.Equal(t, 2, s.ordered(true), "two for each known regular target")
	s.counts.Regular = 3
	for len(s.step(true)) > 0 {
	}
	require.Equal(t, 3, s.ordered(true), "limited by the maximum")
	require.Equal(t, 3, s.last[Pool{"lm", "d1", true}].InitialCount)

	s.counts.Reclaiming = 3
	for len(s.step(true)) > 0 {
	}
	regular := s.ordered(false)
	s.counts = TargetCounts{Regular: regular}
	for len(s.step(true)) > 0 {
	}
	require.Equal(t, 3, s.last[Pool{"lm", "d1", true}].InitialCount)
}

func TestNoScaleOrdersWithoutBenefit(t *testing.T) {
	withoutScaling := &catalog.Service{Name: "desk"}
	require.Empty(t, ScaleOrders(withoutScaling, map[string]TargetCounts{"d1": {Regular: 3}}, nil, notStarting))
	notCheaper := &catalog.Service{Name: "lm", Scaling: &catalog.Scaling{Max: 6, ReclaimablePrice: 1}}
	require.Empty(t, ScaleOrders(notCheaper, map[string]TargetCounts{"d1": {Regular: 3}}, nil, notStarting), "reclaimable targets cost as much as regular ones")
	atMaximum := &catalog.Service{Name: "lm", Scaling: &catalog.Scaling{Max: 3, ReclaimablePrice: 0.2}}
	require.Empty(t, ScaleOrders(atMaximum, map[string]TargetCounts{"d1": {Regular: 3}}, nil, notStarting))
}

func engineRow(i int, domain string, stage peer.TargetRow_Stage, reclaimable bool) *peer.TargetRow {
	return &peer.TargetRow{Id: fmt.Sprintf("e%02d", i), Domain: domain, Stage: stage, Reclaimable: reclaimable, State: peer.TargetRow_READY}
}

// TestSurplusDecodeEnginesSwitchToPrefill has a failure domain whose engines all
// decode, as after a start.
func TestSurplusDecodeEnginesSwitchToPrefill(t *testing.T) {
	var rows []*peer.TargetRow
	for i := range 6 {
		rows = append(rows, engineRow(i, "d1", peer.TargetRow_DECODE, i >= 3))
	}
	changes := StageChanges(rows)
	require.Len(t, changes, 4)
	for _, c := range changes {
		require.Equal(t, peer.TargetRow_PREFILL, c.Stage)
	}
	require.Equal(t, "e03", changes[0].Target, "reclaimable engines switch to prefill first")
}

// TestEveryDomainHasDecodeEngine has a failure domain without a decode engine, which
// could not serve while cut off from the others.
func TestEveryDomainHasDecodeEngine(t *testing.T) {
	changes := StageChanges([]*peer.TargetRow{engineRow(0, "d1", peer.TargetRow_PREFILL, false), engineRow(1, "d1", peer.TargetRow_PREFILL, false), engineRow(2, "d2", peer.TargetRow_DECODE, false)})
	require.Equal(t, []StageChange{{"e00", peer.TargetRow_DECODE}}, changes)
}

// TestEveryVersionKeepsADecodeEngine checks which engines change their stage in a release: a stream goes
// on only at a decode engine of the version that began it.
func TestEveryVersionKeepsADecodeEngine(t *testing.T) {
	ofVersion := func(version string, row *peer.TargetRow) *peer.TargetRow {
		row.SoftwareVersion = version
		return row
	}
	var rows []*peer.TargetRow
	for i := range 8 {
		rows = append(rows, ofVersion("v1", engineRow(i, "d1", peer.TargetRow_DECODE, false)))
	}
	rows = append(rows, ofVersion("v2", engineRow(8, "d1", peer.TargetRow_DECODE, true)), ofVersion("v2", engineRow(9, "d1", peer.TargetRow_PREFILL, true)))
	changes := StageChanges(rows)
	require.NotEmpty(t, changes)
	require.NotContains(t, changes, StageChange{"e08", peer.TargetRow_PREFILL}, "it is the last of its version")

	rows = nil
	for i := range 6 {
		rows = append(rows, ofVersion("v1", engineRow(i, "d1", peer.TargetRow_PREFILL, false)))
	}
	rows = append(rows, ofVersion("v1", engineRow(6, "d1", peer.TargetRow_DECODE, false)),
		ofVersion("v2", engineRow(7, "d1", peer.TargetRow_PREFILL, true)), ofVersion("v2", engineRow(8, "d1", peer.TargetRow_PREFILL, true)))
	changes = StageChanges(rows)
	require.NotEmpty(t, changes)
	require.Equal(t, StageChange{"e07", peer.TargetRow_DECODE}, changes[0])
}

func TestSmallDeviationChangesNothing(t *testing.T) {
	rows := []*peer.TargetRow{
		engineRow(0, "d1", peer.TargetRow_DECODE, false), engineRow(1, "d1", peer.TargetRow_PREFILL, false), engineRow(2, "d1", peer.TargetRow_PREFILL, false),
		engineRow(3, "d1", peer.TargetRow_PREFILL, false), engineRow(4, "d1", peer.TargetRow_STAGE_UNSPECIFIED, false),
	}
	require.Empty(t, StageChanges(rows))
	silent := engineRow(5, "d2", peer.TargetRow_PREFILL, false)
	silent.Silent = true
	require.Empty(t, StageChanges([]*peer.TargetRow{silent}), "an engine without recent heartbeats gets no order")
}

// TestSwitchingEnginesCountInNewStage computes the changes again while the ordered
// engines are switching. It guards against ordering more of them.
func TestSwitchingEnginesCountInNewStage(t *testing.T) {
	var rows []*peer.TargetRow
	for i := range 18 {
		stage := peer.TargetRow_DECODE
		if i%3 == 0 {
			stage = peer.TargetRow_PREFILL
		}
		rows = append(rows, engineRow(i, fmt.Sprint("d", i%4), stage, i >= 9))
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
