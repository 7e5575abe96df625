package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/storage"
)

var addresses = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

func open(t *testing.T, path string) *storage.Folder {
	folder, err := storage.Open(path)
	require.NoError(t, err)
	t.Cleanup(folder.Close)
	return folder
}

func identify(t *testing.T, start BootstrapConfig) *peer.Identity {
	identity, isNew, err := LoadOrCreateIdentity(open(t, t.TempDir()), start)
	require.NoError(t, err)
	require.True(t, isNew)
	return identity
}

// TestFoundersAgree has each founder work out the same first voters alone.
func TestFoundersAgree(t *testing.T) {
	var voters []*peer.Voters
	for i, address := range addresses {
		// The order in which the settings name the others says nothing.
		order := append(append([]string{}, addresses[i:]...), addresses[:i]...)
		identity := identify(t, BootstrapConfig{Address: address, Founders: order, Found: true})
		require.Contains(t, identity.Founders.Ids, identity.Self.Id)
		voters = append(voters, identity.Founders)
	}
	for _, v := range voters[1:] {
		require.Equal(t, voters[0].Ids, v.Ids)
		require.Equal(t, Addresses(voters[0]), Addresses(v))
	}
}

// TestLostFolderIsAnother gives a folder that comes back empty an identity that
// no vote or promise of the old one counts for, and no voters to elect itself.
func TestLostFolderIsAnother(t *testing.T) {
	first := identify(t, BootstrapConfig{Address: addresses[0], Founders: addresses, Found: true})
	one := identify(t, BootstrapConfig{Address: addresses[0], Founders: addresses})
	two := identify(t, BootstrapConfig{Address: addresses[0], Founders: addresses})
	require.Nil(t, one.Founders)
	require.NotEqual(t, first.Self.Id, one.Self.Id)
	require.NotEqual(t, one.Self.Id, two.Self.Id)
}

// TestLateInstanceFoundsNothing starts an instance that the founders do not name.
func TestLateInstanceFoundsNothing(t *testing.T) {
	identity := identify(t, BootstrapConfig{Address: "10.0.0.4:1", Founders: addresses, Found: true})
	require.Nil(t, identity.Founders)
}

func TestIdentityIsKept(t *testing.T) {
	path := t.TempDir()
	folder := open(t, path)
	first, isNew, err := LoadOrCreateIdentity(folder, BootstrapConfig{Address: addresses[0], Founders: addresses})
	require.NoError(t, err)
	require.True(t, isNew)
	again, isNew, err := LoadOrCreateIdentity(folder, BootstrapConfig{Address: addresses[0], Founders: addresses, Found: true})
	require.NoError(t, err)
	require.False(t, isNew)
	require.Equal(t, first.Self.Id, again.Self.Id)
	require.Nil(t, again.Founders)
}

// TestLogWithoutIdentity refuses a folder whose log may be another replica's.
func TestLogWithoutIdentity(t *testing.T) {
	folder := open(t, t.TempDir())
	require.NoError(t, folder.Append(&peer.Hard{Term: 3}, nil))
	require.NoError(t, folder.Sync())
	_, _, err := LoadOrCreateIdentity(folder, BootstrapConfig{Address: addresses[0]})
	require.ErrorContains(t, err, "does not say whose")
}
