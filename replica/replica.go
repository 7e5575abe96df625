// Package replica keeps one control instance part of the control group: it
// founds the group, asks to take part, and, while it leads, decides who votes.
//
// It owns the identity of the data folder and the automatic repair of the voter
// set. A folder that was lost comes back under another identity, so that nothing
// the old one promised is counted for it, and two empty folders never elect each
// other: only a folder of the founders votes before it was added.
//
// # Usage
//
//	identity, err := replica.Identify(folder, start)
//	keeper := replica.New(config, voter, senders, dialer, logger)
//	keeper.Start()
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

// A Start represents what settings say about the beginning.
type BootstrapConfig struct {
	// Address is this instance's peer address, Domain its failure domain.
	Address string
	Domain  string
	// Founders are the peer addresses of the first voters.
	Founders []string
	// Found is true only at the first start of the whole system.
	Found bool
}

// Identify returns the identity of the folder, and gives it one if it is new.
// isNew tells whether it did.
func LoadOrCreateIdentity(folder *storage.Folder, start BootstrapConfig) (identity *peer.Identity, isNew bool, err error) {
	if known := folder.Identity(); known != nil {
		return known, false, nil
	}
	if hard, entries, snapshot := folder.LoadedState(); hard != nil || len(entries) > 0 || snapshot != nil {
		return nil, false, fmt.Errorf("the data folder holds a log but does not say whose")
	}
	identity = &peer.Identity{Self: &peer.Replica{Address: start.Address, Domain: start.Domain}}
	if start.Found && slices.Contains(start.Founders, start.Address) {
		identity.Self.Id = founderID(start.Address)
		identity.Founders = founders(start)
	} else if identity.Self.Id, err = randomID(); err != nil {
		return nil, false, err
	}
	if err := folder.SaveIdentity(identity); err != nil {
		return nil, false, err
	}
	return identity, true, nil
}

// founders is the first voter set, the same on every founder.
func founders(start BootstrapConfig) *peer.Voters {
	v := &peer.Voters{}
	for _, address := range start.Founders {
		id := founderID(address)
		v.Ids = append(v.Ids, id)
		v.Replicas = append(v.Replicas, &peer.Replica{Id: id, Address: address})
	}
	slices.Sort(v.Ids)
	slices.SortFunc(v.Replicas, func(a, b *peer.Replica) int { return cmp.Compare(a.Id, b.Id) })
	return v
}

func founderID(address string) uint64 { return xxhash.Sum64String("founder " + address) }

func randomID() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("draw a replica id: %w", err)
	}
	return binary.LittleEndian.Uint64(raw[:]) | 1, nil
}
