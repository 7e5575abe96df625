package roster

import "auburnscale/peer"

// A Snapshot represents the rows at one revision. It is immutable.
type Snapshot struct {
	revision  uint64
	byID      map[string]*peer.TargetRow
	byService map[string][]*peer.TargetRow
}

func newSnapshot(revision uint64, rows []*peer.TargetRow) *Snapshot {
	s := &Snapshot{revision: revision, byID: map[string]*peer.TargetRow{}, byService: map[string][]*peer.TargetRow{}}
	for _, row := range rows {
		s.byID[row.Id] = row
		if row.State == peer.TargetRow_READY && row.Address != "" {
			s.byService[row.Service] = append(s.byService[row.Service], row)
		}
	}
	return s
}

// Revision returns a number that grows with every change.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Service returns the ready targets of the service, sorted by id.
func (s *Snapshot) ReadyTargets(name string) []*peer.TargetRow { return s.byService[name] }

// Known returns all targets of the service, whatever their state.
func (s *Snapshot) AllTargets(service string) []*peer.TargetRow {
	var rows []*peer.TargetRow
	for _, row := range s.byID {
		if row.Service == service {
			rows = append(rows, row)
		}
	}
	return rows
}

// Target returns the row with the id, whatever its state, or nil.
func (s *Snapshot) Target(id string) *peer.TargetRow { return s.byID[id] }
