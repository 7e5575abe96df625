package retry

import (
	"sync"
	"time"
)

const (
	// quarantineFailures is the number of targets that must fail while they run a
	// request before it is quarantined.
	quarantineFailures = 3
	// suspicionTTL is how long a suspicion is kept after the last failure.
	suspicionTTL = 60 * time.Second
	// quarantineRetryAfter is the delay after which the caller of a quarantined
	// request may retry.
	quarantineRetryAfter = time.Second
	// maxSuspicions is the maximum number of this instance's suspicions. All are dropped
	// when it is reached.
	maxSuspicions = 4096
)

// Suspects tracks the requests during which targets failed, as observed by this
// instance and as reported for all instances. A request that crashes targets is
// quarantined instead of being retried on ever more of them.
type Suspects struct {
	mutex    sync.Mutex
	own      map[uint64]suspicion
	reported map[uint64]int
}

type suspicion struct {
	failures int
	at       time.Duration
}

// A Suspicion holds how many targets failed during a request, and how long ago the
// last one did. Fingerprint identifies the request across retries by its caller.
type Suspicion struct {
	Fingerprint uint64
	Failures    int
	Age         time.Duration
}

// NewSuspects returns an empty set of suspects.
func NewSuspects() *Suspects {
	return &Suspects{own: map[uint64]suspicion{}, reported: map[uint64]int{}}
}

// RecordFailure counts a target that failed during the request.
func (s *Suspects) RecordFailure(fingerprint uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.own) >= maxSuspicions {
		clear(s.own)
	}
	s.own[fingerprint] = suspicion{failures: s.own[fingerprint].failures + 1, at: now}
}

// Clear removes this instance's suspicion of the request, after a target ran it
// successfully.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.own, fingerprint)
}

// Quarantined reports whether the request is quarantined, and the delay after which
// its caller may retry.
func (s *Suspects) Quarantined(fingerprint uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return quarantineRetryAfter, max(s.own[fingerprint].failures, s.reported[fingerprint]) >= quarantineFailures
}

// OwnSuspicions returns the recent suspicions of this instance, to be reported to the
// other instances.
func (s *Suspects) OwnSuspicions(now time.Duration) []Suspicion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []Suspicion
	for fingerprint, each := range s.own {
		age := now - each.at
		if age > suspicionTTL {
			delete(s.own, fingerprint)
			continue
		}
		list = append(list, Suspicion{Fingerprint: fingerprint, Failures: each.failures, Age: age})
	}
	return list
}

// SetReported replaces the reported suspicions, whose failures are summed over all
// instances.
func (s *Suspects) SetReported(list []Suspicion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reported = make(map[uint64]int, len(list))
	for _, each := range list {
		s.reported[each.Fingerprint] = each.Failures
	}
}
