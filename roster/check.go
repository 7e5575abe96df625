package roster

import (
	"errors"
	"fmt"

	"auburnscale/peer"
)

var errFull = errors.New("there is no room for another target")

// Check returns an error if a heartbeat or deregistration cannot come from the target that it names:
// its id or one of its figures is not valid, or it contradicts what its incarnation stated before.
func (r *Roster) Check(row *peer.TargetRow) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.checkUpdate(row)
}

// checkUpdate is Check with r.mutex held.
func (r *Roster) checkUpdate(row *peer.TargetRow) error {
	if err := r.checkRow(row); err != nil {
		return err
	}
	known := r.entries[row.Id]
	if known != nil && known.row.BornMs > 0 && row.BornMs == 0 && row.State != peer.TargetRow_GONE {
		return fmt.Errorf("target %q states no start, but its incarnation of %d does", row.Id, known.row.BornMs)
	}
	if known == nil && r.full() {
		return errFull
	}
	return nil
}

// checkRow returns an error if the row is not valid, or if it moves a known incarnation to another service,
// address or failure domain.
func (r *Roster) checkRow(row *peer.TargetRow) error {
	if err := checkFields(row); err != nil {
		return err
	}
	known := r.entries[row.Id]
	if known == nil || !sameIncarnation(known.row, row) || row.Address == "" || known.row.Address == "" {
		return nil
	}
	if row.Service != known.row.Service || row.Address != known.row.Address || row.Domain != known.row.Domain {
		return fmt.Errorf("target %q is %s at %s in %s since its start, and cannot be %s at %s in %s", row.Id,
			known.row.Service, known.row.Address, known.row.Domain, row.Service, row.Address, row.Domain)
	}
	return nil
}

// checkFields returns an error for the first field that is not valid.
func checkFields(row *peer.TargetRow) error {
	if err := peer.CheckName(row.Id); err != nil {
		return fmt.Errorf("id %w", err)
	}
	for _, field := range []struct{ name, text string }{{"service", row.Service}, {"address", row.Address}, {"domain", row.Domain}, {"software_version", row.SoftwareVersion}} {
		if field.text == "" {
			continue
		}
		if err := peer.CheckName(field.text); err != nil {
			return fmt.Errorf("target %q: %s %w", row.Id, field.name, err)
		}
	}
	for _, field := range []struct {
		name  string
		value int64
	}{
		{"slots", int64(row.Slots)}, {"born_ms", row.BornMs}, {"cold_ms", int64(row.ColdMs)}, {"ended_ms", row.EndedMs},
		{"age_ms", row.AgeMs}, {"away_ms", row.AwayMs}, {"draining_ms", row.DrainingMs},
	} {
		if field.value < 0 || field.value > peer.MaxMilliseconds {
			return fmt.Errorf("target %q: %s %d is out of range", row.Id, field.name, field.value)
		}
	}
	if _, named := peer.TargetRow_State_name[int32(row.State)]; !named || row.State == peer.TargetRow_STATE_UNSPECIFIED {
		return fmt.Errorf("target %q: state %d is not known", row.Id, row.State)
	}
	if _, named := peer.TargetRow_Stage_name[int32(row.Stage)]; !named {
		return fmt.Errorf("target %q: stage %d is not known", row.Id, row.Stage)
	}
	return nil
}

// full reports whether there is no room for another row, after it has tried to make some.
func (r *Roster) full() bool {
	if len(r.entries) < maxRows {
		return false
	}
	var oldest string
	for id, e := range r.entries {
		if e.row.State == peer.TargetRow_GONE && (oldest == "" || e.lastContact < r.entries[oldest].lastContact) {
			oldest = id
		}
	}
	if oldest == "" {
		return true
	}
	delete(r.entries, oldest)
	return false
}
