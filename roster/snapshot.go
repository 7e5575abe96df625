package roster

import "auburnscale/peer"

// A Snapshot is an index of the rows at one revision. It is immutable.
type Snapshot struct {
	revision uint64
	byID     map[string]*peer.TargetRow
	// byService holds the rows in state READY that have an address.
	byService map[string][]*peer.TargetRow
	// draining holds the rows in state DRAINING that have an address.
	draining map[string][]*peer.TargetRow
}

func newSnapshot(revision uint64, rows []*peer.TargetRow) *Snapshot {
	s := &Snapshot{revision: revision, byID: map[string]*peer.TargetRow{}, byService: map[string][]*peer.TargetRow{}, draining: map[string][]*peer.TargetRow{}}
	for _, row := range rows {
		s.byID[row.Id] = row
		if row.State == peer.TargetRow_READY && row.Address != "" {
			s.byService[row.Service] = append(s.byService[row.Service], row)
		}
		if row.State == peer.TargetRow_DRAINING && row.Address != "" {
			s.draining[row.Service] = append(s.draining[row.Service], row)
		}
	}
	return s
}

// Revision returns a number that grows with every change.
func (s *Snapshot) Revision() uint64 { return s.revision }

// ReadyTargets returns the targets of the service that are in state READY,
// sorted by id.
func (s *Snapshot) ReadyTargets(service string) []*peer.TargetRow { return s.byService[service] }

// DrainingTargets returns the targets of the service that are in state DRAINING, sorted by id.
func (s *Snapshot) DrainingTargets(service string) []*peer.TargetRow { return s.draining[service] }

// AllTargets returns all targets of the service, in any state and in no particular
// order.
func (s *Snapshot) AllTargets(service string) []*peer.TargetRow {
	var rows []*peer.TargetRow
	for _, row := range s.byID {
		if row.Service == service {
			rows = append(rows, row)
		}
	}
	return rows
}

// Target returns the row with the id, in any state, or nil.
func (s *Snapshot) Target(id string) *peer.TargetRow { return s.byID[id] }
