// Package silence tells the silence of others from one's own. An instance whose
// machine was suspended, or that was cut off, has heard nobody for a while; that
// says nothing about who is still there until they have had time to be heard.
//
// It owns that distinction alone, not what was heard of whom. An Ear has no lock:
// its owner guards it.
//
// # Usage
//
//	ear := silence.New(5 * time.Second)
//	ear.Hear(clock.Now())
//	if ear.Sure(clock.Now()) && now-heard > 5*time.Second { ... }
package silence

import "time"

// An Ear represents when this instance heard anybody.
type ContactTracker struct {
	span time.Duration
	// last is when anybody was heard, resumed when somebody was after nobody had
	// been for the span.
	last, resumed time.Duration
}

// New returns an ear that has heard nobody. Somebody who is there is heard within
// the span.
func New(span time.Duration) *ContactTracker { return &ContactTracker{span: span} }

// Hear notes that somebody was heard, at the time on clock.Now.
func (e *ContactTracker) Record(now time.Duration) {
	if now-e.last > e.span {
		e.resumed = now
	}
	e.last = now
}

// Sure reports whether those who have been silent for the span are gone: others
// were heard all the while.
func (e *ContactTracker) Conclusive(now time.Duration) bool {
	return now-e.last < e.span && now-e.resumed >= e.span
}
