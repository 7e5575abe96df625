package control

import (
	"fmt"

	"auburnscale/peer"
)

// replaceDocument puts the document in force if its version is higher than every
// version before it. A lower or equal version is accepted without effect: its
// sender may retry a change that a newer version has superseded, and a retry must
// succeed like the first attempt.
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

// Document returns the configuration document in force, or nil if none has been
// committed. The caller must not modify it.
func (m *Machine) Document() *peer.ReplaceDocument { return m.document }
