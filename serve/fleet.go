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
	"syscall"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/peer"
	"auburnscale/settings"
	"auburnscale/tcp"
	"auburnscale/transport"
)

const (
	// heapFraction is the fraction of the memory limit that is set as the Go
	// runtime's soft limit, above which garbage collection runs more often. The
	// rest is left for stacks and buffers.
	heapFraction = 0.6
	// gcPercent is the GOGC value. It keeps the heap small, since peak memory use
	// determines the cost.
	gcPercent = 50
	megabyte  = 1 << 20
)

// limitMemory applies the memory limit of the settings to the Go runtime.
func limitMemory(megabytes int) {
	debug.SetMemoryLimit(int64(heapFraction * float64(megabytes) * megabyte))
	debug.SetGCPercent(gcPercent)
}

// outboundClients holds the clients through which an instance opens connections.
type outboundClients struct {
	dialer *exchange.Dialer
	client *transport.Client
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
	return outboundClients{dialer: exchange.NewDialer(local), client: transport.NewClient(local, key, nil)}, nil
}

// readPeerKey returns the key that instances authenticate to each other with, or
// "" if the settings name no key file.
func readPeerKey(s settings.Settings) (string, error) {
	if s.Peer.KeyFile == "" {
		return "", nil
	}
	return readKeyFile(s.Peer.KeyFile)
}

// peerAddress returns the peer address of the instance whose operator address is
// given. The peer port is the same on all instances.
func peerAddress(address string, port uint16) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		// Not reached: the settings have been validated.
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

// peerListenAddress returns the address on which a control instance listens for
// other instances.
func peerListenAddress(f settings.Fleet) string {
	if f.PeerListenAddress != "" {
		return f.PeerListenAddress
	}
	return ownPeerAddress(f)
}

// A Reloader is an instance whose settings can change while it runs.
type Reloader interface {
	// Run serves until ctx is done or a component fails.
	Run(ctx context.Context) error
	// Reload applies the settings that may change at run time.
	Reload(s settings.Settings)
}

// StartFleetInstance is like [NewFleetInstance], but waits while the disk of the data folder is full: the identity of a new
// control instance must be stored first, and its log opened. It returns the last error if the context ends first.
func StartFleetInstance(ctx context.Context, s settings.Settings, logger *event.Logger) (Reloader, error) {
	for logged := false; ; logged = true {
		instance, err := NewFleetInstance(s, logger)
		if !errors.Is(err, syscall.ENOSPC) && !errors.Is(err, syscall.EDQUOT) {
			return instance, err
		}
		if !logged {
			logger.Log(event.StorageFailed, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(diskRetryInterval):
		}
	}
}

// NewFleetInstance builds an instance of a fleet with seed discovery: a control
// instance if the settings give an address for operators, an entry instance
// otherwise.
func NewFleetInstance(s settings.Settings, logger *event.Logger) (Reloader, error) {
	limitMemory(s.Fleet.Memory)
	if s.Peer.KeyFile == "" {
		logger.Log(event.NoPeerKey)
	}
	if s.Fleet.OperatorAddress != "" {
		return NewControl(s, logger)
	}
	return NewEntry(s, logger)
}

// serveMetrics starts a server for metrics on the address. It returns nil if the
// address is empty.
func serveMetrics(address string, handler http.Handler, g *guard, logger *event.Logger) (*metricsServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	m := &metricsServer{http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true}, logger: logger}
	m.listener = g.limiter("metrics", metricsShare).Apply(m.http, listener)
	go m.run()
	return m, nil
}

const readHeaderTimeout = 5 * time.Second

// Watch, Share, FindOrigin, CopyOrigins, KeepTargets, Enrol and Current are implemented by [controlPeerServer]. They
// fail on instances without seed discovery.

// Watch returns errNotInFleet.
func (s *peerServer) Watch(context.Context, *peer.WatchRequest) (*peer.WatchResponse, error) {
	return nil, errNotInFleet
}

// Share returns errNotInFleet.
func (s *peerServer) Share(context.Context, *peer.ShareRequest) (*peer.ShareResponse, error) {
	return nil, errNotInFleet
}

// FindOrigin returns errNotInFleet.
func (s *peerServer) FindOrigin(context.Context, *peer.OriginQuestion) (*peer.OriginAnswer, error) {
	return nil, errNotInFleet
}

// CopyOrigins returns errNotInFleet.
func (s *peerServer) CopyOrigins(context.Context, *peer.OriginCopies) (*peer.CopyOriginsResponse, error) {
	return nil, errNotInFleet
}

// KeepTargets returns errNotInFleet.
func (s *peerServer) KeepTargets(context.Context, *peer.TargetRows) (*peer.KeepTargetsResponse, error) {
	return nil, errNotInFleet
}

// Enrol returns errNotInFleet.
func (s *peerServer) Enrol(context.Context, *peer.EnrolRequest) (*peer.EnrolResponse, error) {
	return nil, errNotInFleet
}

// Current returns errNotInFleet.
func (s *peerServer) Current(context.Context, *peer.CurrentRequest) (*peer.CurrentResponse, error) {
	return nil, errNotInFleet
}

var (
	errNotInFleet     = twirp.NewError(twirp.FailedPrecondition, "this instance does not belong to a fleet with seed discovery")
	errMissingReplica = twirp.NewError(twirp.InvalidArgument, "the join request lacks the replica's id or address")
)

// A metricsServer serves metrics over HTTP.
type metricsServer struct {
	http     *http.Server
	listener net.Listener
	logger   *event.Logger
}

// close closes the server. It does nothing if m is nil.
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
