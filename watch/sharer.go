package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/peer"
)

const (
	// shareInterval is the time between two exchanges of a small fleet. A prompt
	// is read in about as long.
	shareInterval = 80 * time.Millisecond
	// sharePerEntry keeps the load of the control instance that adds up bounded
	// in a large fleet.
	sharePerEntry = 4 * time.Millisecond
	shareTimeout  = 300 * time.Millisecond
	// shareRest is how long a control instance that did not answer is left for
	// the next one.
	shareRest = 2 * time.Second
)

// Work is what a Sharer exchanges.
type LoadSource interface {
	// Own returns what this instance has in flight.
	Own() []*peer.TargetWork
	// Others takes what all others have in flight.
	Others([]*peer.TargetWork)
	// Entries returns the number of entry instances.
	Entries() int
}

// A Sharer represents an entry instance's exchange of work with the others. All
// entry instances exchange through the same control instance as long as they
// reach it.
type LoadExchanger struct {
	incarnation string
	addresses   func() []string
	dialer      Dialer
	work        LoadSource
	resting     map[string]time.Duration

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewSharer returns a sharer over the control instances' peer addresses.
func NewLoadExchanger(incarnation string, addresses func() []string, dialer Dialer, work LoadSource) *LoadExchanger {
	return &LoadExchanger{
		incarnation: incarnation, addresses: addresses, dialer: dialer, work: work, resting: map[string]time.Duration{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the loop.
func (s *LoadExchanger) Start() { go s.run() }

// Stop ends the loop and waits for it.
func (s *LoadExchanger) Stop() {
	s.stopOnce.Do(func() { close(s.stop) })
	<-s.done
}

func (s *LoadExchanger) run() {
	defer close(s.done)
	for {
		s.exchange()
		select {
		case <-s.stop:
			return
		case <-time.After(sharePause(s.work.Entries())):
		}
	}
}

// sharePause returns the time between two exchanges of a fleet with so many entry
// instances.
func sharePause(entries int) time.Duration {
	return max(shareInterval, time.Duration(entries)*sharePerEntry)
}

func (s *LoadExchanger) exchange() {
	address := s.choose(clock.Now())
	if address == "" {
		s.work.Others(nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	answer, err := s.dialer.Peer(address).Share(ctx, &peer.ShareRequest{Incarnation: s.incarnation, Work: s.work.Own()})
	if err != nil {
		// The watch over the same instance logs that it is lost.
		s.resting[address] = clock.Now() + shareRest
		s.work.Others(nil)
		return
	}
	s.work.Others(answer.Work)
}

// choose returns the first address in a fixed order that is not resting.
func (s *LoadExchanger) choose(now time.Duration) string {
	addresses := s.addresses()
	slices.Sort(addresses)
	for _, a := range addresses {
		if now > s.resting[a] {
			return a
		}
	}
	return ""
}
