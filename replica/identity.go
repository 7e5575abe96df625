// Package replica manages the membership of one control instance in the control
// group: it creates the group, requests to join it and, while this instance
// leads, decides which replicas vote.
//
// The package owns the replica identity in the data folder and the automatic
// repair of the voter set. An instance that lost its data folder gets a new
// identity, so that no vote or acknowledged heartbeat of the old one counts for it.
// Only an initial voter may vote before it has been added to the voter set, so that
// replicas with empty data folders cannot elect each other.
//
// # Usage
//
//	identity, isNew, err := replica.LoadOrCreateIdentity(folder, config)
//	manager := replica.New(config, voter, addressUpdater, dialer, logger)
//	manager.Start()
package replica

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"auburnscale/peer"
	"auburnscale/storage"
)

// A BootstrapConfig holds the settings that determine the identity of a new data
// folder.
type BootstrapConfig struct {
	// Address is this instance's peer address and Domain its failure domain.
	Address string
	Domain  string
	// InitialVoters are the peer addresses of the first voters of the group.
	InitialVoters []string
	// CreateGroup makes an initial voter create the control group. It must be true
	// only at the first start of the whole system.
	CreateGroup bool
}

// LoadOrCreateIdentity returns the identity stored in the folder. It creates and
// stores one if the folder is empty; isNew reports whether it did. A folder that
// holds a log or a snapshot without an identity is an error.
func LoadOrCreateIdentity(folder *storage.Folder, config BootstrapConfig) (identity *peer.Identity, isNew bool, err error) {
	if existing := folder.Identity(); existing != nil {
		return existing, false, nil
	}
	if hard, entries, snapshot := folder.LoadedState(); hard != nil || len(entries) > 0 || snapshot != nil {
		return nil, false, fmt.Errorf("the data folder holds a log or snapshot but no replica identity")
	}
	identity = &peer.Identity{Self: &peer.Replica{Address: config.Address, Domain: config.Domain}}
	if config.CreateGroup && slices.Contains(config.InitialVoters, config.Address) {
		identity.Self.Id = initialVoterID(config.Address)
		identity.Founders = initialVoters(config)
	} else if identity.Self.Id, err = randomID(); err != nil {
		return nil, false, err
	}
	if err := folder.SaveIdentity(identity); err != nil {
		return nil, false, err
	}
	return identity, true, nil
}

// initialVoters returns the first voter set. Every initial voter computes the same
// set from its settings.
func initialVoters(config BootstrapConfig) *peer.Voters {
	voters := &peer.Voters{}
	for _, address := range config.InitialVoters {
		id := initialVoterID(address)
		voters.Ids = append(voters.Ids, id)
		voters.Replicas = append(voters.Replicas, &peer.Replica{Id: id, Address: address})
	}
	slices.Sort(voters.Ids)
	slices.SortFunc(voters.Replicas, func(a, b *peer.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return voters
}

func initialVoterID(address string) uint64 { return xxhash.Sum64String("founder " + address) }

// randomID returns a random nonzero id.
func randomID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("generate replica id: %w", err)
	}
	return binary.LittleEndian.Uint64(raw[:]) | 1, nil
}
