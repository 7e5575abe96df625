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
// instance with the other control instances, in a fleet in which entry instances report by
// failure domain. Of two control instances, the one with the lower address asks.
type LoadMesh struct {
	self       string
	aggregator *LoadAggregator
	addresses  func() []string
	entries    func() int
	dialer     Dialer

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewLoadMesh returns the mesh of a control instance with the peer address self. The
// functions return the peer addresses of the other control instances and the number of
// entry instances.
func NewLoadMesh(self string, aggregator *LoadAggregator, addresses func() []string, entries func() int, dialer Dialer) *LoadMesh {
	return &LoadMesh{
		self: self, aggregator: aggregator, addresses: addresses, entries: entries, dialer: dialer,
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

// exchange asks the other control instances for their load, all at once.
func (m *LoadMesh) exchange() {
	if !reportsByDomain(m.entries()) {
		return
	}
	request := &peer.ShareRequest{Incarnation: m.self, Control: true, Work: m.aggregator.Local()}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range m.addresses() {
		if address > m.self {
			group.Add(1)
			a := &meshExchange{mesh: m, address: address, request: request, group: &group}
			go a.run(ctx)
		}
	}
	group.Wait()
}

// A meshExchange is one exchange with one control instance.
type meshExchange struct {
	mesh    *LoadMesh
	address string
	request *peer.ShareRequest
	group   *sync.WaitGroup
}

func (e *meshExchange) run(ctx context.Context) {
	defer e.group.Done()
	response, err := e.mesh.dialer.Peer(e.address).Share(ctx, e.request)
	if err != nil {
		// The watch client, which polls the same instance, logs the failure. The load
		// reported last stops counting after loadReportTTL.
		return
	}
	e.mesh.aggregator.SetControl(e.address, response.Work)
}
