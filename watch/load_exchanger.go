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
	// minExchangeInterval is the time between two exchanges in a small fleet. It
	// is about the time that the prefill of a prompt takes.
	minExchangeInterval = 80 * time.Millisecond
	// exchangeIntervalPerEntry lengthens the interval with the number of entry
	// instances, which bounds the request rate at the control instance that
	// aggregates the load of a large fleet.
	exchangeIntervalPerEntry = 4 * time.Millisecond
	exchangeTimeout          = 300 * time.Millisecond
	// exchangeBackoff is how long a control instance that did not respond is
	// skipped in favor of the next one.
	exchangeBackoff = 2 * time.Second
)

// A LoadSource supplies the load that a LoadExchanger sends and takes the load
// that it receives.
type LoadSource interface {
	// OwnLoad returns the load that this instance has in flight, by target.
	OwnLoad() []*peer.TargetWork
	// SetOtherLoad takes the load that all other entry instances have in flight, or
	// nil if it is unknown.
	SetOtherLoad([]*peer.TargetWork)
	// Entries returns the number of entry instances.
	Entries() int
}

// A LoadExchanger periodically exchanges an entry instance's load with the other
// entry instances. All of them use the same control instance as long as they can
// reach it.
type LoadExchanger struct {
	incarnation string
	addresses   func() []string
	dialer      Dialer
	source      LoadSource
	// backoffUntil is, by address, when a control instance that did not respond
	// is used again, on clock.Now.
	backoffUntil map[string]time.Duration

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewLoadExchanger returns an exchanger over the control instances' peer
// addresses.
func NewLoadExchanger(incarnation string, addresses func() []string, dialer Dialer, source LoadSource) *LoadExchanger {
	return &LoadExchanger{
		incarnation: incarnation, addresses: addresses, dialer: dialer, source: source, backoffUntil: map[string]time.Duration{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the exchange loop in the background.
func (e *LoadExchanger) Start() { go e.run() }

// Stop ends the exchange loop and waits for it.
func (e *LoadExchanger) Stop() {
	e.stopOnce.Do(func() { close(e.stop) })
	<-e.done
}

func (e *LoadExchanger) run() {
	defer close(e.done)
	for {
		e.exchange()
		select {
		case <-e.stop:
			return
		case <-time.After(exchangeInterval(e.source.Entries())):
		}
	}
}

// exchangeInterval returns the time between two exchanges in a fleet with the
// given number of entry instances.
func exchangeInterval(entries int) time.Duration {
	return max(minExchangeInterval, time.Duration(entries)*exchangeIntervalPerEntry)
}

// exchange sends the load of this instance and takes the load of the others, or
// nil if no control instance responded.
func (e *LoadExchanger) exchange() {
	address := e.chooseAddress(clock.Now())
	if address == "" {
		e.source.SetOtherLoad(nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	response, err := e.dialer.Peer(address).Share(ctx, &peer.ShareRequest{Incarnation: e.incarnation, Work: e.source.OwnLoad()})
	if err != nil {
		// The watch client, which polls the same instance, logs the failure.
		e.backoffUntil[address] = clock.Now() + exchangeBackoff
		e.source.SetOtherLoad(nil)
		return
	}
	e.source.SetOtherLoad(response.Work)
}

// chooseAddress returns the first address, in sorted order, that is not in
// backoff, or an empty string.
func (e *LoadExchanger) chooseAddress(now time.Duration) string {
	addresses := e.addresses()
	slices.Sort(addresses)
	for _, a := range addresses {
		if now > e.backoffUntil[a] {
			return a
		}
	}
	return ""
}
