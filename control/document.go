package control

import (
	"fmt"

	"auburnscale/peer"
)

// replaceDocument puts the document in effect if its version is higher than every
// version before it. A lower or equal version is accepted without effect: its
// sender may retry a change that a newer version has superseded, and a retry must
// succeed like the first attempt. Version 0 stands for no document and is never put
// in effect; entries with it are in the logs of instances that accepted them.
func (m *Machine) replaceDocument(e *peer.Entry, r *peer.ReplaceDocument) *peer.Result {
	subject := fmt.Sprintf("version %d", r.Version)
	if current := m.document.GetVersion(); r.Version <= current {
		m.appendTrail(e, "replace", subject, fmt.Sprintf("overtaken by version %d", current))
		if m.document == nil {
			return refused("version 0 is not a version of a configuration")
		}
		return &peer.Result{Version: current, Detail: "overtaken"}
	}
	m.document = r
	m.revision = e.Index
	m.appendTrail(e, "replace", subject, "accepted")
	return &peer.Result{Version: r.Version, Detail: "accepted"}
}

// Document returns the configuration document in effect, or nil if none has been
// committed. The caller must not modify it.
func (m *Machine) Document() *peer.ReplaceDocument { return m.document }
