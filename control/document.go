package control

import (
	"fmt"

	"auburnscale/peer"
)

// replaceDocument puts the document in force if its version is the highest so
// far. A lower or equal one is accepted without effect: its sender may repeat a
// change that was overtaken, and must get the same answer as the first time.
func (m *Machine) replaceDocument(e *peer.Entry, r *peer.ReplaceDocument) *peer.Result {
	subject := fmt.Sprintf("version %d", r.Version)
	if r.Version <= m.document.GetVersion() {
		m.appendTrail(e, "replace", subject, fmt.Sprintf("overtaken by version %d", m.document.Version))
		return &peer.Result{Version: m.document.Version, Detail: "overtaken"}
	}
	m.document = r
	m.revision = e.Index
	m.appendTrail(e, "replace", subject, "accepted")
	return &peer.Result{Version: r.Version, Detail: "accepted"}
}

// Document returns the configuration document in force, or nil before the
// first. The caller must not change it.
func (m *Machine) Document() *peer.ReplaceDocument { return m.document }
