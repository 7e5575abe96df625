package soak

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOverlappingFaultsStartOneTarget guards against a second start at an address at which an
// incarnation runs already (seeds 2402, 2415, 2418, 2433 and 2434: "address already in use"),
// when two faults replace the same target.
func TestOverlappingFaultsStartOneTarget(t *testing.T) {
	e := &env{prefix: "127.0.0.", history: newHistory()}
	target := &target{env: e, host: 1}
	require.NoError(t, target.start())
	defer target.stop()
	var group sync.WaitGroup
	for range 4 {
		group.Go(target.replace)
	}
	group.Wait()
	require.Empty(t, e.findings)
	require.False(t, target.stopped)
	require.True(t, netip.MustParseAddrPort(target.current.Address()).IsValid())
}
