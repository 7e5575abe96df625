package gateway

import (
	"sync"
	"time"
)

const (
	// unreachableTargets is the number of different targets of a failure domain
	// whose connections must time out, with no response from the domain in between,
	// for the domain to be taken for unreachable.
	unreachableTargets = 2
	// unreachableWindow is the time within which these connections must time out.
	unreachableWindow = time.Second
	// minAvoidTime is how long a domain that was found unreachable is first
	// avoided. The time doubles up to maxAvoidTime while the domain stays
	// unreachable. Network partitions last seconds.
	minAvoidTime = 800 * time.Millisecond
	maxAvoidTime = 2 * time.Second
)

// A reachability tracks which other failure domains this instance takes for
// unreachable. A request to a target there would wait for the connect timeout
// before it goes elsewhere.
type reachability struct {
	mutex   sync.Mutex
	domains map[string]*domainState
}

type domainState struct {
	// timedOut holds when the connection to each target last timed out, for those
	// since the domain last responded.
	timedOut map[string]time.Time
	// avoidFor is how long the domain was last set to be avoided; 0 if it is
	// reachable.
	avoidFor time.Duration
}

func newReachability() *reachability { return &reachability{domains: map[string]*domainState{}} }

func (r *reachability) domain(name string) *domainState {
	d := r.domains[name]
	if d == nil {
		d = &domainState{timedOut: map[string]time.Time{}}
		r.domains[name] = d
	}
	return d
}

// connectTimedOut records that a connection to a target of the domain timed out. It
// returns how long the domain is to be avoided; 0 if it is not.
func (r *reachability) connectTimedOut(domain, target string, now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d := r.domain(domain)
	d.timedOut[target] = now
	for id, at := range d.timedOut {
		if now.Sub(at) > unreachableWindow {
			delete(d.timedOut, id)
		}
	}
	switch {
	case d.avoidFor > 0:
		d.avoidFor = min(2*d.avoidFor, maxAvoidTime)
	case len(d.timedOut) >= unreachableTargets:
		d.avoidFor = minAvoidTime
	}
	return d.avoidFor
}

// responded records that a target of the domain responded. It reports whether the
// domain was taken for unreachable.
func (r *reachability) responded(domain string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d := r.domain(domain)
	was := d.avoidFor > 0
	d.avoidFor = 0
	clear(d.timedOut)
	return was
}
