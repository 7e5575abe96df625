package replica

import (
	"auburnscale/control"
	"auburnscale/peer"
)

// Local returns what this voter holds, and whether it leads under its lease. The
// lease is looked at after the reading, so that what was read was current then.
func (k *Manager) LocalDocument() *peer.CurrentResponse {
	answer := &peer.CurrentResponse{}
	before := k.voter.MayAct()
	k.voter.Read(func(m *control.Machine) { answer.Document = m.Document() })
	answer.Current = before && k.voter.MayAct()
	return answer
}
