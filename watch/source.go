package watch

import (
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
)

// sourceWait is how long the instance that documents come from may take with one
// that another instance has told of, before documents are asked of that one. It
// is a part of the time in which a configuration must be in force.
const sourceWait = 250 * time.Millisecond

// A source represents which control instance documents come from. All of them
// are watched, but a document that each of them sent would fill the link of a
// small instance.
type source struct {
	loop *loop
	// wait is sourceWait but in tests.
	wait time.Duration
	// since is when the loop became the source, on clock.Now.
	since time.Duration
	// told is the newest version that was told of, at toldAt.
	told   uint64
	toldAt time.Duration
	// got is the newest version that came. The instance may still be decoding it.
	got uint64
}

// due reports whether another loop should become the source.
func (s *source) due(held uint64, now time.Duration) bool {
	if s.loop == nil {
		return true
	}
	return s.told > held && now-s.toldAt >= s.wait && now-s.since >= s.wait
}

// role returns whether the loop's question spares the document, and the version
// that it asks from. held is the version that this instance has.
func (c *Client) role(l *loop, held uint64) (spare bool, version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held = max(held, c.source.got)
	if now := clock.Now(); c.source.due(held, now) {
		c.source.loop, c.source.since = l, now
		c.logger.Log(event.DocumentSource, zap.String("address", l.address), zap.Uint64("held", held), zap.Uint64("told", c.source.told))
	}
	if c.source.loop == l {
		return false, held
	}
	return true, max(held, c.source.told)
}

// tell notes that a control instance has the version.
func (c *Client) tell(version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version > c.source.told {
		c.source.told, c.source.toldAt = version, clock.Now()
	}
}

// take notes that the version came.
func (c *Client) take(version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.source.got = max(c.source.got, version)
}

// resign makes room for another source after a failure.
func (c *Client) resign(l *loop) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.source.loop == l {
		c.source.loop = nil
	}
}
