package watch

import (
	"context"
	"sync"
	"time"

	"auburnscale/peer"
)

// meshInterval is the time between two exchanges of summed load between two control
// instances.
const meshInterval = 100 * time.Millisecond

// A LoadMesh exchanges the summed load of the entry instances that report to this control
// instance, and the prompt blocks that targets hold, with the other control instances, in a fleet in which entry instances report by
// failure domain. Of two control instances, the one with the lower address asks. In a smaller fleet the control
// instance to which the entry instances report tells the others the demand of services.
type LoadMesh struct {
	self       string
	aggregator *LoadAggregator
	addresses  func() []string
	entries    func() int
	dialer     Dialer
	// positions is, by address, how far the exchanges with a control instance have come.
	positions map[string]*meshPosition
	// skipped is the number of exchanges that were left out in a row.
	skipped int

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewLoadMesh returns the mesh of a control instance with the peer address self. The
// functions return the peer addresses of the other control instances and the number of
// entry instances.
func NewLoadMesh(self string, aggregator *LoadAggregator, addresses func() []string, entries func() int, dialer Dialer) *LoadMesh {
	return &LoadMesh{
		self: self, aggregator: aggregator, addresses: addresses, entries: entries, dialer: dialer, positions: map[string]*meshPosition{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the exchange loop in the background.
func (m *LoadMesh) Start() { go m.run() }

// Stop ends the exchange loop and waits for it.
func (m *LoadMesh) Stop() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.done
}

func (m *LoadMesh) run() {
	defer close(m.done)
	ticker := time.NewTicker(meshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.exchange()
		}
	}
}

// A meshPosition is how far the exchange of held blocks and of limits with a control instance
// has come: the own positions after what it received, and its incarnation and positions after
// what it sent.
type meshPosition struct {
	sent, limitsSent uint64
	server           string
	seen, limitsSeen uint64
}

// demandExchanges is the number of intervals between two exchanges in a small fleet, whose control
// leader gets the demand of services from the control instance that has it.
const demandExchanges = 4

// due reports whether it is time to exchange: always in a large fleet. In a small one, all entry
// instances report to the same control instance; that one exchanges with each other one, seldom, and only
// if there is demand of a service whose targets state their speed.
func (m *LoadMesh) due() bool {
	if reportsByDomain(m.entries()) {
		return true
	}
	m.skipped++
	if m.skipped < demandExchanges || !m.aggregator.demandNeeded() {
		return false
	}
	m.skipped = 0
	return true
}

// exchange exchanges load and held blocks with the other control instances, all at once.
func (m *LoadMesh) exchange() {
	if !m.due() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range m.addresses() {
		if address == m.self || address < m.self && reportsByDomain(m.entries()) {
			continue
		}
		if m.positions[address] == nil {
			m.positions[address] = &meshPosition{}
		}
		group.Add(1)
		a := &meshExchange{mesh: m, address: address, position: m.positions[address], group: &group}
		go a.run(ctx)
	}
	group.Wait()
}

// A meshExchange is one exchange with one control instance.
type meshExchange struct {
	mesh     *LoadMesh
	address  string
	position *meshPosition
	group    *sync.WaitGroup
}

func (e *meshExchange) run(ctx context.Context) {
	defer e.group.Done()
	request := &peer.ShareRequest{Incarnation: e.mesh.self, Control: true, Server: e.position.server, Seen: e.position.seen, LimitsSeen: e.position.limitsSeen}
	next, nextLimits := uint64(0), uint64(0)
	request.Limits, nextLimits = e.mesh.aggregator.LimitsSince(e.position.limitsSent)
	request.Work, request.Held, next = e.mesh.aggregator.Local(e.position.sent)
	request.Demand = e.mesh.aggregator.localDemand()
	response, err := e.mesh.dialer.Peer(e.address).Share(ctx, request)
	if err != nil {
		// The watch client, which polls the same instance, logs the failure. The load
		// reported last stops counting after loadReportTTL.
		return
	}
	if response.Server != e.position.server {
		// A control instance that has started lacks what was sent to the one before.
		next, nextLimits = 0, 0
	}
	*e.position = meshPosition{sent: next, limitsSent: nextLimits, server: response.Server, seen: response.Seen, limitsSeen: response.LimitsSeen}
	e.mesh.aggregator.SetControl(e.address, response)
}
