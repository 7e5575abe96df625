package replica

import (
	"auburnscale/control"
	"auburnscale/peer"
)

// LocalDocument returns the configuration document of this voter. Current is set
// if this voter leads under its lease. The lease is checked again after the read,
// so that the document was current when it was read.
func (m *Manager) LocalDocument() *peer.CurrentResponse {
	response := &peer.CurrentResponse{}
	mayActBefore := m.voter.MayAct()
	m.voter.Read(func(machine *control.Machine) { response.Document = machine.Document() })
	response.Current = mayActBefore && m.voter.MayAct()
	return response
}
