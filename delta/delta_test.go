package delta

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"auburnscale/peer"
	"auburnscale/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func newConfiguration(version uint64, inventory, rules string) *peer.ApplyConfiguration {
	return &peer.ApplyConfiguration{
		Version: version, Inventory: []byte(inventory), Rules: []byte(rules), Digest: Digest([]byte(inventory), []byte(rules)),
	}
}

func TestRebuildReversesMake(t *testing.T) {
	text := rapid.SliceOfN(rapid.SampledFrom([]string{"[[a]]\n", "[b]\n", "x = 1\n", "y = \"[\"\n", "\n", "[", "z"}), 0, 20)
	rapid.Check(t, func(t *rapid.T) {
		base := newConfiguration(1, strings.Join(text.Draw(t, "base"), ""), strings.Join(text.Draw(t, "base rules"), ""))
		next := newConfiguration(2, strings.Join(text.Draw(t, "next"), ""), strings.Join(text.Draw(t, "next rules"), ""))
		for _, from := range []*peer.ApplyConfiguration{base, nil} {
			got, err := Rebuild(from, Make(from, next))
			require.NoError(t, err)
			require.Equal(t, string(next.Inventory), string(got.Inventory))
			require.Equal(t, string(next.Rules), string(got.Rules))
		}
	})
}

func TestRebuildRejectsWrongBase(t *testing.T) {
	d := Make(newConfiguration(1, "[a]\n", ""), newConfiguration(2, "[a]\n[b]\n", ""))
	_, err := Rebuild(newConfiguration(3, "[a]\n", ""), d)
	require.ErrorContains(t, err, "builds on version 1, not on version 3")
	_, err = Rebuild(newConfiguration(1, "[c]\n", ""), d)
	require.ErrorIs(t, err, ErrDigest)
	d.Inventory = []*peer.Piece{{First: 4, Count: 2}}
	_, err = Rebuild(newConfiguration(1, "[a]\n", ""), d)
	require.ErrorContains(t, err, "piece 0 refers to blocks")
}

// TestDeltaSizeIsOneTable changes one of 7,500 workspaces. The delta must not grow
// with the size of the configuration.
func TestDeltaSizeIsOneTable(t *testing.T) {
	var b strings.Builder
	for i := range 7500 {
		fmt.Fprintf(&b, "[[workspaces]]\nname = \"w%d\"\nweight = 1.0\n\n", i)
	}
	base := newConfiguration(1, b.String(), "")
	next := newConfiguration(2, strings.Replace(b.String(), "name = \"w4000\"\nweight = 1.0", "name = \"w4000\"\nweight = 2.0", 1), "")
	require.Less(t, proto.Size(Make(base, next)), 200)
}
