package watch

import (
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
)

// sourceTimeout is how long the document source may take to deliver a version
// that another control instance has announced, before documents are requested
// from another instance. It is part of the time within which a configuration
// must take effect.
const sourceTimeout = 250 * time.Millisecond

// A documentSource selects the control instance that configuration documents are
// requested from. All control instances are polled, but if each of them sent the
// document, it would saturate the network link of a small instance.
type documentSource struct {
	// loop polls the control instance that is the source, or is nil.
	loop *pollLoop
	// timeout is sourceTimeout except in tests.
	timeout time.Duration
	// since is when the loop became the source, on clock.Now.
	since time.Duration
	// announced is the newest version that another control instance has, and
	// announcedAt is when it became known.
	announced   uint64
	announcedAt time.Duration
	// received is the newest version that arrived. This instance may still be
	// decoding it.
	received uint64
}

// replaceable reports whether another loop should become the source. held is the
// version that this instance has.
func (s *documentSource) replaceable(held uint64, now time.Duration) bool {
	if s.loop == nil {
		return true
	}
	return s.announced > held && now-s.announcedAt >= s.timeout && now-s.since >= s.timeout
}

// timeLeft returns how long the source may still take to deliver the newest announced
// version, or 0 if that is not missing. held is the version that this instance has.
func (s *documentSource) timeLeft(held uint64, now time.Duration) time.Duration {
	if s.announced <= held {
		return 0
	}
	return min(sourceTimeout, max(0, s.timeout-(now-s.announcedAt), s.timeout-(now-s.since)))
}

// documentRequest returns whether the loop's request asks for a response without
// the document, and the version that the request states. held is the version that
// this instance has. It makes the loop the document source if that is due. If it may be due
// soon, wait is the time until then: a request that is held would delay it.
func (c *Client) documentRequest(l *pollLoop, held uint64) (spare bool, version uint64, wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held = max(held, c.source.received)
	now := clock.Now()
	if c.source.replaceable(held, now) {
		c.source.loop, c.source.since = l, now
		c.logger.Log(event.DocumentSource, zap.String("address", l.address), zap.Uint64("held", held), zap.Uint64("told", c.source.announced))
	}
	if c.source.loop == l {
		return false, held, 0
	}
	return true, max(held, c.source.announced), c.source.timeLeft(held, now)
}

// noteAnnounced records that a control instance has the version.
func (c *Client) noteAnnounced(version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version > c.source.announced {
		c.source.announced, c.source.announcedAt = version, clock.Now()
	}
}

// noteReceived records that the document of the version arrived.
func (c *Client) noteReceived(version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.source.received = max(c.source.received, version)
}

// releaseSource lets another loop become the source after a failure of this one.
func (c *Client) releaseSource(l *pollLoop) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.source.loop == l {
		c.source.loop = nil
	}
}
