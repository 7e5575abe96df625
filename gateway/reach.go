package gateway

import (
	"sync"
	"time"
)

const (
	// silentTargets is how many targets of a failure domain must not answer a
	// connection, one after the other, for the domain to be taken for cut off.
	silentTargets = 2
	// silentSpan is the time within which they must do so.
	silentSpan = time.Second
	// firstDark is how long a domain that was taken for cut off is left alone,
	// and longestDark what it grows to while it stays so. Cuts last seconds.
	firstDark   = 800 * time.Millisecond
	longestDark = 2 * time.Second
)

// A reach represents which other failure domains this instance takes for cut
// off. Connections to targets there would each wait for the time limit before
// the request goes elsewhere.
type reach struct {
	mutex   sync.Mutex
	domains map[string]*domainReach
}

type domainReach struct {
	// silent are the targets that did not answer since any did, by when.
	silent map[string]time.Time
	// dark is how long the domain was left alone last; 0 if it is reached.
	dark time.Duration
}

func newReach() *reach { return &reach{domains: map[string]*domainReach{}} }

func (r *reach) domain(name string) *domainReach {
	d := r.domains[name]
	if d == nil {
		d = &domainReach{silent: map[string]time.Time{}}
		r.domains[name] = d
	}
	return d
}

// unanswered notes that a target of the domain did not answer a connection. It
// returns how long the domain should be left alone, 0 if it should not.
func (r *reach) unanswered(domain, target string, now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d := r.domain(domain)
	d.silent[target] = now
	for id, at := range d.silent {
		if now.Sub(at) > silentSpan {
			delete(d.silent, id)
		}
	}
	switch {
	case d.dark > 0:
		d.dark = min(2*d.dark, longestDark)
	case len(d.silent) >= silentTargets:
		d.dark = firstDark
	}
	return d.dark
}

// answered notes that a target of the domain did answer. It returns true if the
// domain was taken for cut off.
func (r *reach) answered(domain string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d := r.domain(domain)
	was := d.dark > 0
	d.dark = 0
	clear(d.silent)
	return was
}
