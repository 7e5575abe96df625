// Package contact distinguishes the failure of other instances from an
// interruption of this one. An instance that was suspended or partitioned has had
// no contact with any other for a while. Missing contact then does not show that
// another instance failed; it does so only after the others have had time to make
// contact again.
//
// It owns this distinction only, not the times of contact with each instance. A
// Tracker is not safe for concurrent use; its owner must lock it.
//
// # Usage
//
//	contacts := contact.New(5 * time.Second)
//	contacts.Record(clock.Now())
//	if contacts.Conclusive(clock.Now()) && now-lastContact > 5*time.Second { ... }
package contact

import "time"

// A Tracker tracks when this instance was in contact with any other.
type Tracker struct {
	span time.Duration
	// latest is the time of the latest contact. resumed is the time of the latest
	// contact that followed a span without any.
	latest, resumed time.Duration
}

// New returns a tracker without contacts. span is the time within which every live
// instance makes contact.
func New(span time.Duration) *Tracker { return &Tracker{span: span} }

// Record records a contact with any instance at the time on clock.Now.
func (t *Tracker) Record(now time.Duration) {
	if now-t.latest > t.span {
		t.resumed = now
	}
	t.latest = now
}

// Conclusive reports whether missing contact for the span shows that an instance
// failed, which is the case if others were in contact throughout the span.
func (t *Tracker) Conclusive(now time.Duration) bool {
	return now-t.latest < t.span && now-t.resumed >= t.span
}
