// Package delta expresses a configuration as what changed since an earlier one,
// so that a change of one table costs the network one table.
//
// It owns the cutting of TOML text into blocks (a block starts at a line that
// opens a table) and the making and undoing of deltas. Every rebuilt text is
// checked against its digest by the receiver.
//
// # Usage
//
//	d := delta.Make(base, next)
//	inventory, rules, err := delta.Rebuild(base, d)
package delta

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"auburnscale/peer"
)

// ErrDigest means that a rebuilt configuration is not the one announced.
var ErrDigest = errors.New("the rebuilt configuration does not match its digest")

// Digest returns the digest of a configuration's two files.
func Digest(inventory, rules []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", len(inventory))
	h.Write(inventory)
	h.Write(rules)
	return h.Sum(nil)
}

// Make returns the delta from base to next. A nil base carries next whole.
func Make(base, next *peer.ApplyConfiguration) *peer.ConfigurationDelta {
	return &peer.ConfigurationDelta{
		BaseVersion: base.GetVersion(), Version: next.Version, Digest: next.Digest,
		Inventory: pieces(base.GetInventory(), next.Inventory),
		Rules:     pieces(base.GetRules(), next.Rules),
	}
}

// Rebuild returns the configuration that the delta describes over base.
func Rebuild(base *peer.ApplyConfiguration, d *peer.ConfigurationDelta) (*peer.ApplyConfiguration, error) {
	if d.BaseVersion != 0 && d.BaseVersion != base.GetVersion() {
		return nil, fmt.Errorf("the delta builds on version %d, not on version %d", d.BaseVersion, base.GetVersion())
	}
	inventory, err := join(base.GetInventory(), d.Inventory)
	if err != nil {
		return nil, fmt.Errorf("rebuild inventory: %w", err)
	}
	rules, err := join(base.GetRules(), d.Rules)
	if err != nil {
		return nil, fmt.Errorf("rebuild rules: %w", err)
	}
	if !bytes.Equal(Digest(inventory, rules), d.Digest) {
		return nil, ErrDigest
	}
	return &peer.ApplyConfiguration{Version: d.Version, Digest: d.Digest, Inventory: inventory, Rules: rules}, nil
}

// blocks cuts text before each line that starts with a bracket.
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

func pieces(base, next []byte) []*peer.Piece {
	index := map[string]int{}
	for i, b := range blocks(base) {
		index[string(b)] = i
	}
	var list []*peer.Piece
	for _, b := range blocks(next) {
		i, known := index[string(b)]
		list = extend(list, b, i, known)
	}
	return list
}

// extend adds a block to the last piece if it continues it.
func extend(list []*peer.Piece, block []byte, i int, known bool) []*peer.Piece {
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

func join(base []byte, list []*peer.Piece) ([]byte, error) {
	from := blocks(base)
	var text []byte
	for i, p := range list {
		if p.Count == 0 {
			text = append(text, p.Text...)
			continue
		}
		end := uint64(p.First) + uint64(p.Count)
		if end > uint64(len(from)) {
			return nil, fmt.Errorf("piece %d refers to blocks up to %d of %d", i, end, len(from))
		}
		for _, b := range from[p.First:end] {
			text = append(text, b...)
		}
	}
	return text, nil
}
