package watch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
)

// limitSource is a load source with the gate of an instance.
type limitSource struct {
	fleetLoad
	gate *permit.Gate
}

func (s limitSource) LimitReports(all bool) []*peer.TargetLimit { return s.gate.Reports(all) }

func (s limitSource) MergeLimits(limits []*peer.TargetLimit) { s.gate.Merge(limits) }

func newLimitExchanger(name, domain string, entries int, controls domainControls, dialer sharingDialer) (*LoadExchanger, *permit.Gate) {
	gate := permit.NewGate(clock.Now, nil)
	return NewLoadExchanger(name, domain, controls, dialer, limitSource{fleetLoad{entries}, gate}), gate
}

// TestLimitsReachAllInstances checks that a limit that one entry instance observes is distributed to
// all failure domains of a large fleet, as are its changes and its end, and that a restarted
// control instance receives the known limits.
func TestLimitsReachAllInstances(t *testing.T) {
	const entries = 300
	dialer, controls := sharingDialer{}, domainControls{"a": "d1", "b": "d2", "c": "d3"}
	var meshes []*LoadMesh
	start := func(address, incarnation string) {
		dialer[address] = &sharingControl{aggregator: NewLoadAggregator(incarnation, permit.NewBook(clock.Now), origin.NewIndex(clock.Now))}
	}
	for _, address := range dialer.addresses() {
		start(address, "first "+address)
		meshes = append(meshes, NewLoadMesh(address, dialer[address].aggregator, dialer.addresses, func() int { return entries }, dialer))
	}
	told, toldGate := newLimitExchanger("e1", "d1", entries, controls, dialer)
	other, otherGate := newLimitExchanger("e2", "d3", entries, controls, dialer)
	exchange := func() {
		for range 2 {
			told.exchange()
			for _, m := range meshes {
				m.exchange()
			}
			other.exchange()
		}
	}
	limit := func() float64 {
		exchange()
		perSecond, limited := otherGate.PerSecond("t", "1")
		require.True(t, limited)
		return perSecond
	}
	toldGate.Named("t", "1", 2)
	require.EqualValues(t, 2, limit())
	toldGate.Named("t", "1", 1)
	require.EqualValues(t, 1, limit())

	start("a", "second a")
	meshes[0] = NewLoadMesh("a", dialer["a"].aggregator, dialer.addresses, func() int { return entries }, dialer)
	exchange()
	known, _ := dialer["a"].aggregator.LimitsSince(0)
	require.Len(t, known, 1, "a control instance that has started learns what is known")

	toldGate.Unnamed("t", "1", clock.Now())
	exchange()
	_, limited := otherGate.PerSecond("t", "1")
	require.False(t, limited)
}

// TestUnsentLimitsAreReported checks that a limit that could not be reported goes with the next
// exchange that succeeds.
func TestUnsentLimitsAreReported(t *testing.T) {
	dialer, controls := sharingDialer{"a": {aggregator: NewLoadAggregator("c", permit.NewBook(clock.Now), origin.NewIndex(clock.Now))}}, domainControls{}
	e, gate := newLimitExchanger("e1", "d1", 3, controls, dialer)
	gate.Named("t", "1", 2)
	e.exchange()
	controls["a"] = "d1"
	e.exchange()
	known, _ := dialer["a"].aggregator.LimitsSince(0)
	require.Len(t, known, 1)
}
