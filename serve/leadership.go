package serve

import (
	"auburnscale/clock"
	"auburnscale/voter"
)

// A leadership reports to the issuer of permits whether its voter leads.
type leadership struct {
	voter *voter.Voter
	// addresses holds the peer addresses of the voters by id if the settings give them.
	addresses map[uint64]string
}

// Leading implements [permit.Leadership].
func (l leadership) Leading() (term uint64, ok bool) {
	status := l.voter.Status()
	return status.Term(), status.MayAct(clock.Now())
}

// LeaderAddress implements [permit.Leadership].
func (l leadership) LeaderAddress() string {
	status := l.voter.Status()
	if address := l.addresses[status.Leader()]; address != "" {
		return address
	}
	for _, r := range status.Voters().GetReplicas() {
		if r.Id == status.Leader() {
			return r.Address
		}
	}
	return ""
}
