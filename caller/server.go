package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"auburnscale/admit"
	"auburnscale/engine"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/member"
	"auburnscale/peer"
	"auburnscale/plainservice"
	"auburnscale/quarantine"
	"auburnscale/retry"
	"auburnscale/target"
	"auburnscale/usage"
)

// A ViewProvider returns the instance's view of the configuration and reports whether
// it is fresh and whether the instance has one at all.
type ViewProvider interface {
	View() *member.View
	Fresh() bool
	Ready() bool
}

// A Proposer commits commands to the control group.
type Proposer interface {
	Propose(ctx context.Context, command *peer.Command) (*peer.Result, error)
	// AwaitInEffect waits until no instance serves requests with a key by a state older
	// than the revision. It returns false if ctx ends first.
	AwaitInEffect(ctx context.Context, revision uint64) bool
}

// A Recorder records the usage of a request. It must be called before the last byte of
// the response is sent. It returns once a second instance has a copy of the record, or
// once the attempts to place one have failed.
type Recorder interface {
	Record(use usage.RequestUsage)
}

// Config holds the identity of the instance and the limits of the server.
type Config struct {
	Instance          string
	FailureDomain     string
	MaxBodyBytes      int
	MaxHeaderBytes    int
	MaxConnections    int
	ReadTimeout       time.Duration
	MaxRequestTimeout time.Duration
	TLS               *tls.Config
	// IdleTimeout is how long a keep-alive connection may wait for its next
	// request. A planned stop waits until idle connections reach it.
	IdleTimeout time.Duration
}

// Dependencies are the components that the server uses.
type Dependencies struct {
	Views          ViewProvider
	Registry       *target.Registry
	Engines        *engine.Client
	Services       *plainservice.Client
	Tokens         admit.SharedBuckets
	Proposer       Proposer
	Recorder       Recorder
	Budget         *retry.Budget
	Blocks         *quarantine.Blocks
	Metrics        tally.Scope
	MetricsHandler fasthttp.RequestHandler
	Logger         *event.Logger
}

const (
	chatPath       = "/v1/chat/completions"
	textPath       = "/v1/completions"
	modelsPath     = "/v1/models"
	servicesPrefix = "/s/"
	announcePath   = "/targets/announce"
	healthPath     = "/healthz"
	readyPath      = "/readyz"
	metricsPath    = "/metrics"
)

// A Server is the HTTP server for callers.
type Server struct {
	config     Config
	deps       Dependencies
	http       *fasthttp.Server
	claims     *claimer
	rateLimits *admit.Limits

	listener     net.Listener
	connections  *trackedListener
	stopping     atomic.Bool
	openRequests atomic.Int64
	// noticeOver is true once new requests have had their time to reach other instances. At answerBy, in Unix
	// nanoseconds, a stopping instance cancels context, the parent of the contexts of all requests.
	noticeOver   atomic.Bool
	answerBy     atomic.Int64
	context      context.Context
	endOpen      context.CancelFunc
	lastIDNumber atomic.Uint64
	idPrefix     string
}

// New returns a server. Listen opens its listener.
func New(config Config, deps Dependencies) *Server {
	s := &Server{config: config, deps: deps, idPrefix: fmt.Sprintf("%s-%08x-", config.Instance, rand.Uint32())}
	s.context, s.endOpen = context.WithCancel(context.Background())
	s.claims = newClaimer(deps.Proposer)
	s.rateLimits = admit.NewLimits(deps.Tokens)
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "auburnscale", ReadBufferSize: config.MaxHeaderBytes,
		MaxRequestBodySize: config.MaxBodyBytes, Concurrency: config.MaxConnections,
		ReadTimeout: config.ReadTimeout, IdleTimeout: config.IdleTimeout, WriteTimeout: config.MaxRequestTimeout + writeSlack,
		ErrorHandler: s.handleBadRequest, Logger: deps.Logger, NoDefaultServerHeader: true, NoDefaultDate: true,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
	return s
}

// Listen opens the listener at the TCP address, with TLS if the configuration has it.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.connections = &trackedListener{Listener: listener, conns: map[net.Conn]bool{}}
	s.listener = s.connections
	if s.config.TLS != nil {
		s.listener = tls.NewListener(s.connections, s.config.TLS)
	}
	return nil
}

// Serve accepts connections and handles requests until the listener is closed.
func (s *Server) Serve() error {
	s.claims.start()
	return s.http.Serve(s.listener)
}

// Stopping reports whether Stop or Abort has been called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// Stop shuts the server down gracefully. During the notice period it reports not
// ready but still accepts connections, and closes each one after its response. Then
// it stops accepting, refuses requests whose deadline ends after the drain timeout, and
// waits until every connection is closed. Shortly before the drain timeout the requests
// that are still open fail. Stop returns the number of requests that are still in progress
// at the drain timeout.
func (s *Server) Stop(noticePeriod, drainTimeout time.Duration) int64 {
	deadline := time.Now().Add(noticePeriod + drainTimeout)
	answerBy := deadline.Add(-min(answerReserve, drainTimeout/2))
	s.answerBy.Store(answerBy.UnixNano())
	s.stopping.Store(true)
	time.Sleep(noticePeriod)
	s.noticeOver.Store(true)
	s.listener.Close()
	answering := time.AfterFunc(time.Until(answerBy), s.endOpen)
	defer answering.Stop()
	for s.connections.open() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
	remaining := s.openRequests.Load()
	s.claims.stopAndWait()
	return remaining
}

// answerReserve is the part of the drain timeout that is left for the failures of requests
// that are still open, and for storing the outcomes of their claims.
const answerReserve = 3 * time.Second

// refuseIfStopping returns the failure of a request that the instance may not be able to
// finish because it stops, or nil. Another instance can take it at once.
func (s *Server) refuseIfStopping(deadline time.Time) *Failure {
	if !s.noticeOver.Load() || !deadline.After(time.Unix(0, s.answerBy.Load())) {
		return nil
	}
	return reject(fasthttp.StatusServiceUnavailable, CodeNotReady, "the instance is about to end, maybe before the request would").withRetryAfter(time.Second)
}

// writeSlack is the time after the request's deadline that a slow caller gets to read
// the response before its connection is closed.
const writeSlack = 10 * time.Second

const stopPollInterval = 20 * time.Millisecond

func (s *Server) newRequestID() string { return s.idPrefix + fmt.Sprint(s.lastIDNumber.Add(1)) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.openRequests.Add(1)
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	id := s.newRequestID()
	ctx.Response.Header.Set(exchange.RequestIDHeader, id)
	streaming, failure := s.dispatch(ctx, id)
	if failure != nil {
		s.deps.Metrics.Tagged(map[string]string{"code": string(failure.code)}).Counter("failures").Inc(1)
		failure.write(ctx, id)
	}
	if !streaming {
		s.openRequests.Add(-1)
	}
}

// dispatch routes the request by its path. It returns true if the response is
// streamed after the handler has returned.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, id string) (bool, *Failure) {
	path := string(ctx.Path())
	switch path {
	case healthPath:
		ctx.SetBodyString("ok\n")
		return false, nil
	case readyPath:
		return false, s.ready(ctx)
	case metricsPath:
		s.deps.MetricsHandler(ctx)
		return false, nil
	case announcePath:
		return false, s.announce(ctx)
	case modelsPath:
		return false, s.models(ctx)
	case chatPath, textPath:
		return s.complete(ctx, id, path)
	}
	if strings.HasPrefix(path, servicesPrefix) {
		return false, s.call(ctx, id, path)
	}
	return false, reject(fasthttp.StatusNotFound, CodeNoSuchPath, fmt.Sprintf("no such path: %s", path))
}

// ready handles a readiness probe. The instance is ready once it has a configuration
// and has probed every target, until it stops.
func (s *Server) ready(ctx *fasthttp.RequestCtx) *Failure {
	if s.stopping.Load() {
		return reject(fasthttp.StatusServiceUnavailable, CodeNotReady, "the instance is stopping")
	}
	if !s.deps.Views.Ready() {
		return reject(fasthttp.StatusServiceUnavailable, CodeNotReady, "the instance has not received a configuration from a control leader yet")
	}
	if !s.deps.Registry.InitialProbesDone() {
		return reject(fasthttp.StatusServiceUnavailable, CodeNotReady, "not every target has been probed yet")
	}
	ctx.SetBodyString("ready\n")
	return nil
}

// handleBadRequest responds to a request that fasthttp could not parse.
func (s *Server) handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	failure := reject(fasthttp.StatusBadRequest, CodeBadRequest, "the request cannot be parsed: "+err.Error())
	var bufferTooSmall *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		message := fmt.Sprintf("the request body exceeds the limit of %d bytes", s.config.MaxBodyBytes)
		failure = reject(fasthttp.StatusRequestEntityTooLarge, CodeTooLarge, message)
	case errors.As(err, &bufferTooSmall):
		message := fmt.Sprintf("the request header exceeds the limit of %d bytes", s.config.MaxHeaderBytes)
		failure = reject(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeTooLarge, message)
	case errors.As(err, &timeout) && timeout.Timeout():
		message := fmt.Sprintf("the request did not arrive within %v", s.config.ReadTimeout)
		failure = reject(fasthttp.StatusRequestTimeout, CodeBadRequest, message)
	}
	failure.write(ctx, "")
}

// A trackedListener tracks the open connections, so that a planned stop can wait until
// the last one is closed.
type trackedListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[net.Conn]bool
}

// Accept returns the next connection, which is tracked until it is closed.
func (l *trackedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[connection] = true
	return &trackedConn{Conn: connection, listener: l}, nil
}

func (l *trackedListener) open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

func (l *trackedListener) closeAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.conns {
		connection.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// Abort closes the listener and every connection immediately.
func (s *Server) Abort() {
	s.stopping.Store(true)
	s.listener.Close()
	s.connections.closeAll()
	s.claims.stopAndWait()
}
