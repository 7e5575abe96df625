package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/storage"
)

var addresses = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

func openFolder(t *testing.T, path string) *storage.Folder {
	folder, err := storage.Open(path)
	require.NoError(t, err)
	t.Cleanup(folder.Close)
	return folder
}

func createIdentity(t *testing.T, config BootstrapConfig) *peer.Identity {
	identity, isNew, err := LoadOrCreateIdentity(openFolder(t, t.TempDir()), config)
	require.NoError(t, err)
	require.True(t, isNew)
	return identity
}

// TestInitialVotersAgree checks that initial voters that do not communicate
// compute the same voter set. Different sets could elect two leaders.
func TestInitialVotersAgree(t *testing.T) {
	var voters []*peer.Voters
	for i, address := range addresses {
		// The order of the addresses in the settings must not matter.
		order := append(append([]string{}, addresses[i:]...), addresses[:i]...)
		identity := createIdentity(t, BootstrapConfig{Address: address, InitialVoters: order, CreateGroup: true})
		require.Contains(t, identity.Founders.Ids, identity.Self.Id)
		voters = append(voters, identity.Founders)
	}
	for _, v := range voters[1:] {
		require.Equal(t, voters[0].Ids, v.Ids)
		require.Equal(t, Addresses(voters[0]), Addresses(v))
	}
}

// TestLostFolderGetsNewIdentity checks that an instance with a lost data folder gets
// a new replica id, so that no vote or acknowledged heartbeat of the old one counts
// for it, and no initial voter set with which it could elect itself.
func TestLostFolderGetsNewIdentity(t *testing.T) {
	first := createIdentity(t, BootstrapConfig{Address: addresses[0], InitialVoters: addresses, CreateGroup: true})
	one := createIdentity(t, BootstrapConfig{Address: addresses[0], InitialVoters: addresses})
	two := createIdentity(t, BootstrapConfig{Address: addresses[0], InitialVoters: addresses})
	require.Nil(t, one.Founders)
	require.NotEqual(t, first.Self.Id, one.Self.Id)
	require.NotEqual(t, one.Self.Id, two.Self.Id)
}

// TestUnlistedInstanceIsNotInitialVoter checks that an instance that is not in the list
// of initial voters gets no initial voter set, even at the first start.
func TestUnlistedInstanceIsNotInitialVoter(t *testing.T) {
	identity := createIdentity(t, BootstrapConfig{Address: "10.0.0.4:1", InitialVoters: addresses, CreateGroup: true})
	require.Nil(t, identity.Founders)
}

func TestIdentityPersists(t *testing.T) {
	path := t.TempDir()
	folder := openFolder(t, path)
	first, isNew, err := LoadOrCreateIdentity(folder, BootstrapConfig{Address: addresses[0], InitialVoters: addresses})
	require.NoError(t, err)
	require.True(t, isNew)
	again, isNew, err := LoadOrCreateIdentity(folder, BootstrapConfig{Address: addresses[0], InitialVoters: addresses, CreateGroup: true})
	require.NoError(t, err)
	require.False(t, isNew)
	require.Equal(t, first.Self.Id, again.Self.Id)
	require.Nil(t, again.Founders)
}

// TestLogWithoutIdentityIsRejected checks that a data folder with a log but no
// identity is rejected, because the log may belong to another replica.
func TestLogWithoutIdentityIsRejected(t *testing.T) {
	folder := openFolder(t, t.TempDir())
	require.NoError(t, folder.Append(&peer.Hard{Term: 3}, nil))
	require.NoError(t, folder.Sync())
	_, _, err := LoadOrCreateIdentity(folder, BootstrapConfig{Address: addresses[0]})
	require.ErrorContains(t, err, "no replica identity")
}
