package retry

import (
	"sync"
	"time"
)

const (
	// maxCrashes is the number of targets that may break off while they run a
	// request before it is refused.
	maxCrashes = 3
	// suspectLife is how long a suspicion is kept.
	suspectLife = 60 * time.Second
	// quarantineWait is when the caller of a refused request may come back.
	quarantineWait = time.Second
	// maxSuspects bounds the suspicions kept.
	maxSuspects = 4096
)

// Suspects represents the requests under which targets broke off, as this
// instance saw it and as others told it.
type Suspects struct {
	mutex sync.Mutex
	own   map[uint64]suspicion
	told  map[uint64]int
}

type suspicion struct {
	crashes int
	at      time.Duration
}

// A Suspicion represents how often targets broke off under a request.
type Suspicion struct {
	Fingerprint uint64
	Crashes     int
	Age         time.Duration
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{own: map[uint64]suspicion{}, told: map[uint64]int{}}
}

// Note counts a target that broke off under the request.
func (s *Suspects) Note(fingerprint uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.own) >= maxSuspects {
		clear(s.own)
	}
	s.own[fingerprint] = suspicion{crashes: s.own[fingerprint].crashes + 1, at: now}
}

// Clear forgets the request after a target ran it well.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.own, fingerprint)
}

// Refused reports whether the request is refused, and when its caller may come
// back.
func (s *Suspects) Refused(fingerprint uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return quarantineWait, max(s.own[fingerprint].crashes, s.told[fingerprint]) >= maxCrashes
}

// Own returns what this instance saw lately, for others.
func (s *Suspects) Own(now time.Duration) []Suspicion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []Suspicion
	for fingerprint, each := range s.own {
		age := now - each.at
		if age > suspectLife {
			delete(s.own, fingerprint)
			continue
		}
		list = append(list, Suspicion{Fingerprint: fingerprint, Crashes: each.crashes, Age: age})
	}
	return list
}

// Tell replaces what others saw, summed over all instances.
func (s *Suspects) Tell(list []Suspicion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.told = make(map[uint64]int, len(list))
	for _, each := range list {
		s.told[each.Fingerprint] = each.Crashes
	}
}
