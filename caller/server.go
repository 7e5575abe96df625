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
	"auburnscale/retry"
	"auburnscale/service"
	"auburnscale/target"
	"auburnscale/usage"
)

// Views gives what the instance decides by, and whether that is fresh.
type Views interface {
	View() *member.View
	Fresh() bool
	Ready() bool
}

// Proposer commits commands to the control group.
type Proposer interface {
	Propose(ctx context.Context, command *peer.Command) (*peer.Result, error)
	AwaitInEffect(ctx context.Context, revision uint64) bool
}

// Recorder counts what a request used, before its last byte goes out.
type Recorder interface {
	Record(use usage.RequestUsage)
}

// Config holds the bounds of the caller side.
type Config struct {
	Instance      string
	FailureDomain string
	BodyBytes     int
	HeaderBytes   int
	Connections   int
	ReadTimeout   time.Duration
	Deadline      time.Duration
	TLS           *tls.Config
	// IdleTimeout is how long a kept-alive connection may wait for its next
	// request. A planned stop lets idle connections run into it.
	IdleTimeout time.Duration
}

// Parts are what the server works with.
type Parts struct {
	Views    Views
	Book     *target.Registry
	Engines  *engine.Client
	Services *service.Client
	Proposer Proposer
	Recorder Recorder
	Budget   *retry.Budget
	Metrics  tally.Scope
	Scrape   fasthttp.RequestHandler
	Logger   *event.Logger
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

// A Server represents the listening side towards callers.
type Server struct {
	config Config
	parts  Parts
	http   *fasthttp.Server
	claims *claimer
	limits *admit.Limits

	listener net.Listener
	counted  *countedListener
	stopping atomic.Bool
	open     atomic.Int64
	sequence atomic.Uint64
	prefix   string
}

// New returns a server that does not listen yet.
func New(config Config, parts Parts) *Server {
	s := &Server{config: config, parts: parts, prefix: fmt.Sprintf("%s-%08x-", config.Instance, rand.Uint32())}
	s.claims = newClaimer(parts.Proposer)
	s.limits = admit.NewLimits()
	s.http = &fasthttp.Server{
		Handler: s.handle, Name: "auburnscale", ReadBufferSize: config.HeaderBytes,
		MaxRequestBodySize: config.BodyBytes, Concurrency: config.Connections,
		ReadTimeout: config.ReadTimeout, IdleTimeout: config.IdleTimeout, WriteTimeout: config.Deadline + writeSlack,
		ErrorHandler: s.handleBadRequest, Logger: parts.Logger, NoDefaultServerHeader: true, NoDefaultDate: true,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
	return s
}

// Listen opens the listener.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.counted = &countedListener{Listener: listener, conns: map[net.Conn]bool{}}
	s.listener = s.counted
	if s.config.TLS != nil {
		s.listener = tls.NewListener(s.counted, s.config.TLS)
	}
	return nil
}

// Serve answers until the listener is closed.
func (s *Server) Serve() error {
	s.claims.start()
	return s.http.Serve(s.listener)
}

// Stopping reports whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Open returns the number of requests that are being answered.
func (s *Server) Open() int64 { return s.open.Load() }

// Stop ends the server without cutting a request: for the notice it says that it
// is not ready but goes on accepting, and closes each connection behind its
// answer; then it stops accepting and waits until every connection is closed.
// After the limit it returns what is still open.
func (s *Server) Stop(notice, limit time.Duration) int64 {
	s.stopping.Store(true)
	time.Sleep(notice)
	s.listener.Close()
	deadline := time.Now().Add(limit)
	for s.counted.open() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	left := s.open.Load()
	s.claims.stopAndWait()
	return left
}

// writeSlack is what a slow reader gets beyond the deadline before its
// connection is closed.
const writeSlack = 10 * time.Second

const stopPoll = 20 * time.Millisecond

func (s *Server) newID() string { return s.prefix + fmt.Sprint(s.sequence.Add(1)) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.open.Add(1)
	if s.stopping.Load() {
		ctx.SetConnectionClose()
	}
	id := s.newID()
	ctx.Response.Header.Set(exchange.RequestIDHeader, id)
	streaming, failure := s.dispatch(ctx, id)
	if failure != nil {
		s.parts.Metrics.Tagged(map[string]string{"code": string(failure.code)}).Counter("failures").Inc(1)
		failure.write(ctx, id)
	}
	if !streaming {
		s.open.Add(-1)
	}
}

// dispatch answers one request. It returns true if the answer is streamed on
// after the handler has returned.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, id string) (bool, *Failure) {
	path := string(ctx.Path())
	switch path {
	case healthPath:
		ctx.SetBodyString("ok\n")
		return false, nil
	case readyPath:
		return false, s.ready(ctx)
	case metricsPath:
		s.parts.Scrape(ctx)
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
	return false, refuse(fasthttp.StatusNotFound, CodeNoRoute, fmt.Sprintf("there is nothing at %s", path))
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) *Failure {
	if s.stopping.Load() {
		return refuse(fasthttp.StatusServiceUnavailable, CodeNotReady, "the instance is stopping")
	}
	if !s.parts.Views.Ready() {
		return refuse(fasthttp.StatusServiceUnavailable, CodeNotReady, "no control leader has given this instance its configuration yet")
	}
	if !s.parts.Book.InitialProbesDone() {
		return refuse(fasthttp.StatusServiceUnavailable, CodeNotReady, "not every target has been asked yet")
	}
	ctx.SetBodyString("ready\n")
	return nil
}

// handleBadRequest answers what fasthttp could not read as a request.
func (s *Server) handleBadRequest(ctx *fasthttp.RequestCtx, err error) {
	failure := refuse(fasthttp.StatusBadRequest, CodeBadRequest, "the request cannot be read: "+err.Error())
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		message := fmt.Sprintf("the body is over the limit of %d bytes", s.config.BodyBytes)
		failure = refuse(fasthttp.StatusRequestEntityTooLarge, CodeTooLarge, message)
	case errors.As(err, &small):
		message := fmt.Sprintf("the header is over the limit of %d bytes", s.config.HeaderBytes)
		failure = refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeTooLarge, message)
	case errors.As(err, &timeout) && timeout.Timeout():
		message := fmt.Sprintf("the request did not arrive within %v", s.config.ReadTimeout)
		failure = refuse(fasthttp.StatusRequestTimeout, CodeBadRequest, message)
	}
	failure.write(ctx, "")
}

// countedListener knows the open connections, so that a planned stop can wait for
// the last.
type countedListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[net.Conn]bool
}

// Accept returns the next connection, counted until it is closed.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[connection] = true
	return &countedConn{Conn: connection, listener: l}, nil
}

func (l *countedListener) open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

func (l *countedListener) closeAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.conns {
		connection.Close()
	}
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

// Close closes the connection and takes it from the count.
func (c *countedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// Abort closes the listener and every connection at once.
func (s *Server) Abort() {
	s.stopping.Store(true)
	s.listener.Close()
	s.counted.closeAll()
	s.claims.stopAndWait()
}
