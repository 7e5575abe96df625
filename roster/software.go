package roster

import (
	"time"

	"auburnscale/origin"
	"auburnscale/peer"
)

const (
	// softwareRetention is how long software that does not serve any more is remembered.
	softwareRetention = 10 * time.Minute
	// maxSoftware bounds what is remembered. Beyond it the history covers less.
	maxSoftware = 4096
)

// SoftwareOf returns what the target of the row runs.
func SoftwareOf(row *peer.TargetRow) string {
	return origin.Software(row.SoftwareVersion, row.Id, row.BornMs)
}

// SoftwareSeen returns the software that targets of the service run, or ran within
// softwareRetention, and the time that this covers, at most since the roster was created.
func (r *Roster) SoftwareSeen(service string) ([]origin.Seen, time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	ages := map[origin.Origin]time.Duration{}
	for o, at := range r.served {
		if o.Service == service && now-at <= softwareRetention {
			ages[o] = now - at
		}
	}
	for _, e := range r.entries {
		if e.row.Service != service || e.row.State == peer.TargetRow_GONE {
			continue
		}
		age := time.Duration(0)
		if e.row.Silent {
			age = now - e.lastContact
		}
		o := origin.Origin{Service: service, Software: SoftwareOf(e.row)}
		if known, found := ages[o]; !found || age < known {
			ages[o] = age
		}
	}
	var list []origin.Seen
	for o, age := range ages {
		list = append(list, origin.Seen{Origin: o, Age: age})
	}
	return list, now - r.softwareSince
}

// noteServed records that the target of the row served until the given time, on the clock of
// now. r.mutex must be held.
func (r *Roster) noteServed(row *peer.TargetRow, at time.Duration) {
	if row.Service == "" {
		return
	}
	o := origin.Origin{Service: row.Service, Software: SoftwareOf(row)}
	if known, found := r.served[o]; !found || at > known {
		r.served[o] = at
	}
	if len(r.served) > maxSoftware {
		r.forgetSoftware(r.now())
	}
	for len(r.served) > maxSoftware {
		r.forgetOldestSoftware()
	}
}

// forgetOldestSoftware removes the software that served least recently. r.mutex must be held.
func (r *Roster) forgetOldestSoftware() {
	var oldest origin.Origin
	for o, at := range r.served {
		if oldest == (origin.Origin{}) || at < r.served[oldest] {
			oldest = o
		}
	}
	r.softwareSince = max(r.softwareSince, r.served[oldest])
	delete(r.served, oldest)
}

// forgetSoftware removes software that last served longer than softwareRetention ago. r.mutex must
// be held.
func (r *Roster) forgetSoftware(now time.Duration) {
	for o, at := range r.served {
		if now-at > softwareRetention {
			delete(r.served, o)
		}
	}
}

// DrainingFor returns the time since the incarnation of the target began to drain, as far as this
// instance knows, and whether it drains.
func (r *Roster) DrainingFor(id string, bornMs int64) (time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entries[id]
	if e == nil || e.row.BornMs != bornMs || e.row.State != peer.TargetRow_DRAINING {
		return 0, false
	}
	return r.now() - e.drainingSince, true
}
