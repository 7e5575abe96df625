package retry

import (
	"sync"
	"time"
)

const (
	// maxCrashes is the number of targets that may break off while they run a
	// request before it is refused.
	quarantineFailures = 3
	// suspectLife is how long a suspicion is kept.
	suspicionTTL = 60 * time.Second
	// quarantineWait is when the caller of a refused request may come back.
	quarantineRetryAfter = time.Second
	// maxSuspects bounds the suspicions kept.
	maxSuspicions = 4096
)

// Suspects represents the requests under which targets broke off, as this
// instance saw it and as others told it.
type Suspects struct {
	mutex    sync.Mutex
	own      map[uint64]suspicion
	reported map[uint64]int
}

type suspicion struct {
	failures int
	at       time.Duration
}

// A Suspicion represents how often targets broke off under a request.
type Suspicion struct {
	Fingerprint uint64
	Failures    int
	Age         time.Duration
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{own: map[uint64]suspicion{}, reported: map[uint64]int{}}
}

// Note counts a target that broke off under the request.
func (s *Suspects) RecordFailure(fingerprint uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.own) >= maxSuspicions {
		clear(s.own)
	}
	s.own[fingerprint] = suspicion{failures: s.own[fingerprint].failures + 1, at: now}
}

// Clear forgets the request after a target ran it well.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.own, fingerprint)
}

// Refused reports whether the request is refused, and when its caller may come
// back.
func (s *Suspects) Quarantined(fingerprint uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return quarantineRetryAfter, max(s.own[fingerprint].failures, s.reported[fingerprint]) >= quarantineFailures
}

// Own returns what this instance saw lately, for others.
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

// Tell replaces what others saw, summed over all instances.
func (s *Suspects) SetReported(list []Suspicion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reported = make(map[uint64]int, len(list))
	for _, each := range list {
		s.reported[each.Fingerprint] = each.Failures
	}
}
