package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"auburnscale/bind"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/link"
	"auburnscale/peer"
	"auburnscale/settings"
)

const (
	// heapShare is the part of the memory limit that the Go heap may take before
	// the collector works harder; the rest is for stacks and buffers.
	heapFraction = 0.6
	// collectorPercent keeps the heap small: memory at its peak is paid for.
	gcPercent = 50
	megabyte  = 1 << 20
)

// limitMemory hands the settings' memory limit to the runtime.
func limitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(heapFraction * float64(megabytes) * megabyte))
	debug.SetGCPercent(gcPercent)
}

// outgoing holds the sides of an instance that open connections.
type outboundClients struct {
	dialer *exchange.Dialer
	client *link.Client
}

func newOutboundClients(s settings.Settings) (outboundClients, error) {
	local, err := netip.ParseAddr(s.Fleet.Address)
	if err != nil {
		return outboundClients{}, fmt.Errorf("fleet.address: %w", err)
	}
	key, err := readPeerKey(s)
	if err != nil {
		return outboundClients{}, err
	}
	return outboundClients{dialer: exchange.NewDialer(local), client: link.NewClient(local, key, nil)}, nil
}

// fleetKey returns the key between instances, or "" if settings name none.
func readPeerKey(s settings.Settings) (string, error) {
	if s.Peer.KeyFile == "" {
		return "", nil
	}
	return readKeyFile(s.Peer.KeyFile)
}

// peerAddress returns the peer address of the instance that operators reach at
// the address: ports are the same on all instances.
func peerAddress(address string, port uint16) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		// Settings are checked before.
		return ""
	}
	return netip.AddrPortFrom(parsed.Addr(), port).String()
}

func seedAddresses(f settings.Fleet) []string {
	var list []string
	for _, seed := range f.Seeds {
		list = append(list, peerAddress(seed, f.PeerPort))
	}
	return list
}

func ownPeerAddress(f settings.Fleet) string {
	return f.Address + ":" + strconv.Itoa(int(f.PeerPort))
}

// peerListenAddress is where a control instance listens for other instances.
func peerListenAddress(f settings.Fleet) string {
	if f.PeerListen != "" {
		return f.PeerListen
	}
	return ownPeerAddress(f)
}

// A Reloader represents a process whose settings can change while it runs.
type Reloader interface {
	Run(ctx context.Context) error
	Reload(s settings.Settings)
}

// NewFleet builds the process that the settings describe: the control role if
// they give an address for operators, the entry role otherwise.
func NewFleetInstance(s settings.Settings, logger *event.Logger) (Reloader, error) {
	limitMemory(s.Fleet.Memory)
	if s.Peer.KeyFile == "" {
		logger.Log(event.NoInnerKey)
	}
	if s.Fleet.Operators != "" {
		return NewControl(s, logger)
	}
	return NewEntry(s, logger)
}

// serveMetrics serves the metrics address. Without one it returns nil.
func serveMetrics(address string, handler http.Handler, logger *event.Logger) (*metricsServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := bind.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	m := &metricsServer{http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, listener: listener, logger: logger}
	go m.run()
	return m, nil
}

const readHeaderTimeout = 5 * time.Second

// Watch, Enrol and Current are answered in deployments that find themselves.
func (s *peerServer) Watch(context.Context, *peer.WatchRequest) (*peer.WatchResponse, error) {
	return nil, errNotInFleet
}

// Share refuses the exchange.
func (s *peerServer) Share(context.Context, *peer.ShareRequest) (*peer.ShareResponse, error) {
	return nil, errNotInFleet
}

// Enrol refuses the application.
func (s *peerServer) Enrol(context.Context, *peer.EnrolRequest) (*peer.EnrolResponse, error) {
	return nil, errNotInFleet
}

// Current refuses the question.
func (s *peerServer) Current(context.Context, *peer.CurrentRequest) (*peer.CurrentResponse, error) {
	return nil, errNotInFleet
}

var (
	errNotInFleet     = twirp.NewError(twirp.FailedPrecondition, "this instance belongs to no fleet that finds itself")
	errMissingReplica = twirp.NewError(twirp.InvalidArgument, "the application names no replica")
)

// A metricsServer represents the listening side for metrics.
type metricsServer struct {
	http     *http.Server
	listener net.Listener
	logger   *event.Logger
}

// close ends the listener. It may be called on nil.
func (m *metricsServer) close() {
	if m != nil {
		_ = m.http.Close()
	}
}

func (m *metricsServer) run() {
	if err := m.http.Serve(m.listener); !errors.Is(err, http.ErrServerClosed) {
		m.logger.Log(event.ListenerFailed, zap.Error(err))
	}
}
