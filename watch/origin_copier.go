package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/origin"
	"auburnscale/peer"
)

const (
	// copyInterval is the time between two copies of origins to another control instance.
	copyInterval = 100 * time.Millisecond
	copyTimeout  = 300 * time.Millisecond
	// copyBackoff is how long a control instance that did not respond is skipped.
	copyBackoff = 2 * time.Second
)

// An OriginCopier gives the origins that entry instances reported to this control instance to
// another one: to the next by address, if possible in another failure domain.
type OriginCopier struct {
	self, domain string
	index        *origin.Index
	controls     Controls
	dialer       Dialer
	// backoffUntil is, by address, when a control instance that did not respond is used again, on
	// clock.Now.
	backoffUntil map[string]time.Duration

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewOriginCopier returns a copier for the control instance with the peer address self in the
// failure domain.
func NewOriginCopier(self, domain string, index *origin.Index, controls Controls, dialer Dialer) *OriginCopier {
	return &OriginCopier{self: self, domain: domain, index: index, controls: controls, dialer: dialer, backoffUntil: map[string]time.Duration{}, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start copies in the background.
func (c *OriginCopier) Start() { go c.run() }

// Stop ends the copier and waits for it.
func (c *OriginCopier) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
	<-c.done
}

func (c *OriginCopier) run() {
	defer close(c.done)
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.copy()
		}
	}
}

// copy sends what was reported since the last copy. What no control instance takes is sent again.
func (c *OriginCopier) copy() {
	groups, position := c.index.Uncopied()
	address := c.next(clock.Now())
	if position == 0 || address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if _, err := c.dialer.Peer(address).CopyOrigins(ctx, &peer.OriginCopies{Origins: groups}); err != nil {
		// The watch client, which polls the same instance, logs the failure.
		c.backoffUntil[address] = clock.Now() + copyBackoff
		return
	}
	c.index.Copied(position)
}

// next returns the address to copy to, or an empty string.
func (c *OriginCopier) next(now time.Duration) string {
	addresses := slices.DeleteFunc(c.controls.Addresses(), func(a string) bool { return a == c.self || now < c.backoffUntil[a] })
	slices.Sort(addresses)
	after, _ := slices.BinarySearch(addresses, c.self)
	addresses = slices.Concat(addresses[after:], addresses[:after])
	domains := c.controls.Domains()
	for _, a := range addresses {
		if domains[a] != c.domain {
			return a
		}
	}
	if len(addresses) > 0 {
		return addresses[0]
	}
	return ""
}
