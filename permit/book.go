package permit

import (
	"math"
	"sync"
	"time"

	"auburnscale/peer"
)

const (
	// maxLimits bounds the limits that are known at a time.
	maxLimits = 2048
	// limitTTL is how long a limit is remembered that no response renews: the target gets no
	// requests, or has ended.
	limitTTL = 10 * time.Minute
	// endedTTL is how long it is remembered that a limit has ended, so that an older
	// observation does not restore it.
	endedTTL = time.Minute
)

// A Book holds what is known of the rate limits of targets. The most recent
// observation wins. It is safe for concurrent use.
type Book struct {
	now func() time.Duration

	mutex    sync.Mutex
	limits   map[key]*limit
	revision uint64
}

// A limit is what is known of the limit of one start of a target.
type limit struct {
	perSecond float64
	ended     bool
	// at is when a response named the limit; of one that has ended, when the request was
	// sent whose response named none.
	at time.Duration
	// revision is the revision of the book at the last change of perSecond or ended.
	revision uint64
}

// NewBook returns an empty book on the clock.
func NewBook(now func() time.Duration) *Book { return &Book{now: now, limits: map[key]*limit{}} }

// Merge records a limit observed by another instance and reports whether it changes the known
// limit. If the known limit is more recent and differs, Merge returns it. Invalid limits are
// ignored.
func (b *Book) Merge(news *peer.TargetLimit) (changed bool, correction *peer.TargetLimit) {
	if news == nil || news.Target == "" || math.IsNaN(news.PerSecond) || math.IsInf(news.PerSecond, 0) || news.PerSecond < 0 {
		return false, nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now, k := b.now(), key{news.Target, news.Incarnation}
	age := min(max(0, news.AgeMs), limitTTL.Milliseconds())
	changed = b.record(k, news.PerSecond, news.Ended, now-time.Duration(age)*time.Millisecond)
	if known := b.limits[k]; known != nil && (known.ended != news.Ended || known.perSecond != news.PerSecond) {
		correction = known.message(k, now)
	}
	return changed, correction
}

// record records an observation and reports whether it changes the known limit.
// b.mutex must be held.
func (b *Book) record(k key, perSecond float64, ended bool, at time.Duration) bool {
	if ended {
		perSecond = 0
	}
	known := b.limits[k]
	if known != nil && at <= known.at {
		return false
	}
	changed := known == nil || known.ended != ended || known.perSecond != perSecond
	if known == nil {
		b.makeRoom()
		known = &limit{}
		b.limits[k] = known
	}
	known.perSecond, known.ended, known.at = perSecond, ended, at
	if changed {
		b.revision++
		known.revision = b.revision
	}
	return changed
}

// makeRoom removes outdated limits, and the oldest one if there are too many. b.mutex must be
// held.
func (b *Book) makeRoom() {
	if len(b.limits) < maxLimits {
		return
	}
	now := b.now()
	var oldest key
	for k, l := range b.limits {
		if l.outdated(now) {
			delete(b.limits, k)
			continue
		}
		if o := b.limits[oldest]; o == nil || l.at < o.at {
			oldest = k
		}
	}
	if len(b.limits) >= maxLimits {
		delete(b.limits, oldest)
	}
}

func (l *limit) outdated(now time.Duration) bool {
	return now-l.at > limitTTL || l.ended && now-l.at > endedTTL
}

func (l *limit) message(k key, now time.Duration) *peer.TargetLimit {
	return &peer.TargetLimit{Target: k.target, Incarnation: k.incarnation, PerSecond: l.perSecond, Ended: l.ended, AgeMs: (now - l.at).Milliseconds()}
}

// Since returns the limits that changed after the revision, with their present age, and the
// present revision.
func (b *Book) Since(revision uint64) ([]*peer.TargetLimit, uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	var list []*peer.TargetLimit
	for k, l := range b.limits {
		if l.revision > revision && !l.outdated(now) {
			list = append(list, l.message(k, now))
		}
	}
	return list, b.revision
}

// limitOf returns what is known of the limit of the start of a target, or nil if it has none.
func (b *Book) limitOf(k key) *peer.TargetLimit {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	l, now := b.limits[k], b.now()
	if l == nil || l.ended || l.outdated(now) {
		return nil
	}
	return l.message(k, now)
}

// message returns what is known of the start of a target, ended or not, or nil.
func (b *Book) message(k key) *peer.TargetLimit {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if l, now := b.limits[k], b.now(); l != nil && !l.outdated(now) {
		return l.message(k, now)
	}
	return nil
}

// Limited returns the number of starts of targets that have a limit.
func (b *Book) Limited() (n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for _, l := range b.limits {
		if !l.ended && !l.outdated(now) {
			n++
		}
	}
	return n
}
