package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// TestPrefixKnowledgeIsShared checks that an instance that never sent a prompt sends it to
// the prefill target at which another instance saw its shared blocks, and reports what it
// learned itself once. Load pattern: hundreds of instances, each of which sees a shared
// prompt rarely.
func TestPrefixKnowledgeIsShared(t *testing.T) {
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	for range 4 {
		first, second := newFixture(t, 5), newFixture(t, 5)
		for _, f := range []*fixture{first, second} {
			for i := range 4 {
				f.announce(i, peer.TargetRow_PREFILL)
			}
			f.announce(4, peer.TargetRow_DECODE)
		}
		second.fleets.AddHeldBlocks([]*peer.HeldBlock{{Block: 1, Target: "unknown", BornMs: 1}})
		response, _ := first.send(http.MethodPost, "/streams/1", long...)
		require.Equal(t, threeEvents, response.body)
		blocks := first.fleets.TakeHeldBlocks()
		require.Len(t, blocks, 1, "the decode target holds the shared block as well, but is not reported")
		require.Empty(t, first.fleets.TakeHeldBlocks())
		// Let another target hold it than the one that this instance would choose.
		other := "e0"
		if blocks[0].Target == other {
			other = "e1"
		}
		blocks[0].Target = other
		second.fleets.AddHeldBlocks(blocks[:1])
		require.Empty(t, second.fleets.TakeHeldBlocks(), "what was received is not reported again")
		second.send(http.MethodPost, "/streams/1", long...)
		require.Len(t, second.targets[int(other[1]-'0')].Seen(), 1)

		blocks[0].BornMs = 2
		require.NotPanics(t, func() { second.fleets.AddHeldBlocks(blocks[:1]) })
	}
}
