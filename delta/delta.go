// Package delta encodes a configuration as the difference from an earlier one, so
// that a change of one TOML table transfers one table over the network.
//
// It owns the splitting of TOML text into blocks (a block starts at a line that
// opens a table) and the encoding and decoding of deltas. The receiver checks every
// rebuilt configuration against its digest.
//
// # Usage
//
//	d := delta.Make(base, next)
//	configuration, err := delta.Rebuild(base, d)
package delta

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"auburnscale/peer"
)

// ErrDigest means that a rebuilt configuration does not match the digest of the
// delta.
var ErrDigest = errors.New("the rebuilt configuration does not match its digest")

// Digest returns the SHA-256 digest of a configuration's two files.
func Digest(inventory, rules []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", len(inventory))
	h.Write(inventory)
	h.Write(rules)
	return h.Sum(nil)
}

// Make returns the delta from base to next. For a nil base, the delta contains the
// whole of next.
func Make(base, next *peer.ApplyConfiguration) *peer.ConfigurationDelta {
	return &peer.ConfigurationDelta{
		BaseVersion: base.GetVersion(), Version: next.Version, Digest: next.Digest,
		Inventory: encode(base.GetInventory(), next.Inventory),
		Rules:     encode(base.GetRules(), next.Rules),
	}
}

// Rebuild applies a delta to base and returns the resulting configuration. base may
// be nil if the delta contains a whole configuration.
func Rebuild(base *peer.ApplyConfiguration, d *peer.ConfigurationDelta) (*peer.ApplyConfiguration, error) {
	if d.BaseVersion != 0 && d.BaseVersion != base.GetVersion() {
		return nil, fmt.Errorf("the delta builds on version %d, not on version %d", d.BaseVersion, base.GetVersion())
	}
	inventory, err := decode(base.GetInventory(), d.Inventory)
	if err != nil {
		return nil, fmt.Errorf("rebuild inventory: %w", err)
	}
	rules, err := decode(base.GetRules(), d.Rules)
	if err != nil {
		return nil, fmt.Errorf("rebuild rules: %w", err)
	}
	if !bytes.Equal(Digest(inventory, rules), d.Digest) {
		return nil, ErrDigest
	}
	return &peer.ApplyConfiguration{Version: d.Version, Digest: d.Digest, Inventory: inventory, Rules: rules}, nil
}

// blocks splits text before each line that starts with an opening bracket.
func blocks(text []byte) [][]byte {
	var list [][]byte
	start := 0
	for i := 1; i < len(text); i++ {
		if text[i] == '[' && text[i-1] == '\n' {
			list = append(list, text[start:i])
			start = i
		}
	}
	if start < len(text) {
		list = append(list, text[start:])
	}
	return list
}

// encode returns next as a list of references to blocks of base and new text.
func encode(base, next []byte) []*peer.Piece {
	index := map[string]int{}
	for i, b := range blocks(base) {
		index[string(b)] = i
	}
	var list []*peer.Piece
	for _, b := range blocks(next) {
		i, known := index[string(b)]
		list = appendBlock(list, b, i, known)
	}
	return list
}

// appendBlock adds a block of the new text to the list, and extends the last piece
// where possible. known means that the block is block i of the base.
func appendBlock(list []*peer.Piece, block []byte, i int, known bool) []*peer.Piece {
	var last *peer.Piece
	if len(list) > 0 {
		last = list[len(list)-1]
	}
	if !known {
		if last != nil && last.Count == 0 {
			last.Text = append(last.Text, block...)
			return list
		}
		return append(list, &peer.Piece{Text: bytes.Clone(block)})
	}
	if last != nil && last.Count > 0 && int(last.First+last.Count) == i {
		last.Count++
		return list
	}
	return append(list, &peer.Piece{First: uint32(i), Count: 1})
}

// decode returns the text that the list describes over base.
func decode(base []byte, list []*peer.Piece) ([]byte, error) {
	baseBlocks := blocks(base)
	var text []byte
	for i, p := range list {
		if p.Count == 0 {
			text = append(text, p.Text...)
			continue
		}
		end := uint64(p.First) + uint64(p.Count)
		if end > uint64(len(baseBlocks)) {
			return nil, fmt.Errorf("piece %d refers to blocks up to %d of %d", i, end, len(baseBlocks))
		}
		for _, b := range baseBlocks[p.First:end] {
			text = append(text, b...)
		}
	}
	return text, nil
}
