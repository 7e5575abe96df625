package permit

import "time"

const (
	// silentAfter is the time without a message after which an entry instance may be cut off, if it
	// was granted tokens in the window: such an instance sends one each keepAlive.
	silentAfter = 2 * time.Second
	// idleSilentAfter is that time for other instances, which are heard from by their long polls
	// alone. Those are held for up to 2.4 s.
	idleSilentAfter = 5 * time.Second
	// silentFor is how long after its last message an instance is taken to use its local share.
	silentFor = 30 * time.Second
	// pollTimeout is the time after which an instance that stopped polling without notice is no
	// longer among the contacts. One that vanishes earlier has ended as planned.
	pollTimeout = 4500 * time.Millisecond
)

// A requester is an entry instance that uses local shares.
type requester struct {
	// askedAt is when it last asked for tokens, polledAt when it last polled; 0 if it never did.
	askedAt, polledAt time.Duration
}

func (r *requester) heardAt() time.Duration { return max(r.askedAt, r.polledAt) }

// count returns the number of instances that may use shares: the live ones, or those heard from
// within silentFor if that is more. t.mutex must be held.
func (t *Tokens) count() int { return max(t.instances(), len(t.requesters)) }

// heard records a request of the instance. Its shares end. t.mutex must be held.
func (t *Tokens) heard(incarnation string, now time.Duration) {
	if incarnation == "" {
		return
	}
	r := t.requesters[incarnation]
	if r == nil {
		r = &requester{}
		t.requesters[incarnation] = r
	}
	r.askedAt = now
	t.endSilence(incarnation, now)
}

// endSilence ends the local shares of the instance. t.mutex must be held.
func (t *Tokens) endSilence(incarnation string, now time.Duration) {
	for _, b := range t.buckets {
		if _, silent := b.silent[incarnation]; silent {
			b.refill(b.limit, now)
			delete(b.silent, incarnation)
		}
	}
}

// observe merges the contacts and marks the instances that may be cut off. t.mutex must be held.
func (t *Tokens) observe(contacts map[string]time.Duration, now time.Duration) {
	for incarnation, at := range contacts {
		r := t.requesters[incarnation]
		if r == nil {
			r = &requester{}
			t.requesters[incarnation] = r
		}
		r.polledAt = max(r.polledAt, at)
	}
	for incarnation, r := range t.requesters {
		_, live := contacts[incarnation]
		ended := !live && r.polledAt > 0 && now-r.polledAt < pollTimeout && contacts != nil
		if ended || now-r.heardAt() > silentFor {
			t.forget(incarnation, now)
		}
	}
	for _, b := range t.buckets {
		t.markSilent(b, now)
	}
}

// forget removes an instance that has ended. t.mutex must be held.
func (t *Tokens) forget(incarnation string, now time.Duration) {
	t.endSilence(incarnation, now)
	delete(t.requesters, incarnation)
	for _, b := range t.buckets {
		delete(b.grantedTo, incarnation)
	}
}

// markSilent lowers the refill of the bucket by the shares of the instances that have fallen
// silent, and ends those of idle ones that are heard from again. t.mutex must be held.
func (t *Tokens) markSilent(b *tokenBucket, now time.Duration) {
	instances := t.count()
	for incarnation, r := range t.requesters {
		_, known := b.silent[incarnation]
		silent, since := b.isSilent(incarnation, r, now)
		switch {
		case silent && !known:
			b.beginSilence(incarnation, instances, since, now)
		case known && !silent:
			b.refill(b.limit, now)
			delete(b.silent, incarnation)
		}
	}
}

// isSilent reports whether the instance may be cut off, and when it was last heard from. An
// instance that has been granted tokens counts by its requests alone: it may use its share if it
// gets no answers to them.
func (b *tokenBucket) isSilent(incarnation string, r *requester, now time.Duration) (bool, time.Duration) {
	if s := b.grantedTo[incarnation]; s != nil && r.askedAt > 0 && s.sum(now) > 0 {
		return now-r.askedAt > silentAfter, r.askedAt
	}
	_, known := b.silent[incarnation]
	if known && r.polledAt <= r.askedAt {
		return true, r.askedAt
	}
	return now-r.heardAt() > idleSilentAfter, r.heardAt()
}

// beginSilence lowers the refill by the share of the instance, and takes what it may have used of
// that and of the level of the bucket since it was last heard from. Where callers ask for less than the rate, as no recent refusal
// shows, that takes no more than the bucket holds: requests within the quota are not refused for it.
func (b *tokenBucket) beginSilence(incarnation string, instances int, since, now time.Duration) {
	granted := 0.0
	if s := b.grantedTo[incarnation]; s != nil {
		// The window contains the time of the silence, in which nothing was granted.
		granted = s.sum(now) / max(0.25, 1-(now-since).Seconds()/quotaWindow.Seconds())
	}
	b.refill(b.limit, now)
	scale := b.shareScale(instances, now)
	part := share(granted, scale, instances)
	perSecond := part * b.limit.PerSecond
	used := perSecond*(now-since).Seconds() + part*max(0, b.tokens)
	if !b.refused || now-b.refusedAt > quotaWindow {
		used = min(used, max(0, b.tokens))
	}
	b.tokens -= used
	b.silent[incarnation] = perSecond
}
