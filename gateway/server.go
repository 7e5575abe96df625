// Package gateway serves routed requests: it finds the route and the workspace,
// chooses targets, passes the request on and the answer back as the target made
// it.
//
// It owns the listening side towards callers, the rules on what may be sent
// again, and the relay of answers. A request that may have run is never sent
// again unless its route allows it, and never refused as not run. It must not
// know the names on the wire, which a Codec translates.
//
// # Usage
//
//	server := gateway.New(config, parts)
//	err := server.Listen()
//	go server.Serve()
//	open := server.Stop()
package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"auburnscale/bind"
	"auburnscale/catalog"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/retry"
)

// Config holds the bounds of the gateway.
type Config struct {
	// Requests and Readiness are the listening addresses.
	RequestAddress  string
	ReadinessAddress string
	// Notice is how long a stopping instance goes on accepting, so that the
	// balancer has noticed; Grace is from the request to stop to the end.
	StopNotice time.Duration
	StopTimeout  time.Duration
}

// Sources gives what requests are decided by.
type InstanceState interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *catalog.Snapshot
	// Ready reports whether the instance may take new connections.
	Ready() bool
	// KeysFresh reports whether keys that were withdrawn since would be known.
	KeysFresh() bool
}

// Begun counts requests that targets began to run.
type RunCounter interface {
	Count(workspace string)
}

// Parts are what the gateway works with.
type Dependencies struct {
	State  InstanceState
	Codec    Codec
	Dialer   *exchange.Dialer
	Fleets   *Fleets
	Budget   *retry.Share
	Suspects *retry.Suspects
	Runs    RunCounter
	Metrics  tally.Scope
	Logger   *event.Logger
}

// A Server represents the listening side towards callers.
type Server struct {
	config Config
	parts  Dependencies

	requests  *http.Server
	readiness *http.Server
	listeners [2]net.Listener
	started   time.Time
	stopping  atomic.Bool
	open      atomic.Int64
}

const (
	// headerWait bounds the time a client takes to send a header. It is far
	// above what a configuration allows, and only keeps dead clients from
	// holding descriptors.
	headerWait = 30 * time.Second
	// idleWait is how long a kept connection may be idle. Clients reuse theirs
	// within the configured time, which is shorter.
	idleWait = 2 * time.Minute
	// maxHeaderBytes bounds a header before any configuration is known.
	maxHeaderBytes = 64 << 10
	// graceSlack is left of the grace for the process to end in.
	graceSlack = 700 * time.Millisecond
)

// New returns a gateway that does not listen yet.
func New(config Config, parts Dependencies) *Server {
	s := &Server{config: config, parts: parts, started: time.Now()}
	s.requests = &http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withGuard, ErrorLog: parts.Logger.Standard(),
	}
	s.readiness = &http.Server{Handler: http.HandlerFunc(s.handleReady), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, ErrorLog: parts.Logger.Standard()}
	return s
}

// Listen opens the listeners.
func (s *Server) Listen() error {
	for i, address := range []string{s.config.RequestAddress, s.config.ReadinessAddress} {
		listener, err := bind.Listen(address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		s.listeners[i] = listener
	}
	s.listeners[0] = guardedListener{s.listeners[0]}
	return nil
}

// Address returns where requests are listened for.
func (s *Server) Address() string { return s.listeners[0].Addr().String() }

// Abort closes the listeners and every connection at once.
func (s *Server) Abort() {
	s.stopping.Store(true)
	_ = s.requests.Close()
	_ = s.readiness.Close()
}

// Serve answers until Stop.
func (s *Server) Serve() error { return s.requests.Serve(s.listeners[0]) }

// ServeReadiness answers the balancer until Stop.
func (s *Server) ServeReadiness() error { return s.readiness.Serve(s.listeners[1]) }

// Stopping reports whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Open returns the number of requests that are being answered.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// Stop ends the gateway without cutting a request: it says at once that it is
// not ready and ends each connection behind its next answer, goes on accepting
// for the notice, and then takes nothing more. It returns when nothing is open or
// the grace is nearly over, with the number of requests that were still open.
func (s *Server) Stop() int64 {
	began := time.Now()
	s.stopping.Store(true)
	time.Sleep(s.config.StopNotice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.config.StopTimeout-graceSlack))
	defer cancel()
	// Shutdown closes what is idle and waits for the rest. It must not wait for
	// a quiet moment: a request that is taken late has no time to finish in.
	_ = s.requests.Shutdown(ctx)
	left := s.open.Load()
	_ = s.requests.Close()
	_ = s.readiness.Close()
	return left
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.parts.State.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handle answers one request.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	guard := guardOf(r.Context())
	defer guard.reset()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if guard.ambiguous() {
		w.Header().Set("Connection", "close")
		refuse(http.StatusBadRequest, "bad_request", "the request is framed in two ways").write(w, "")
		return
	}
	c, failure := s.prepare(w, r)
	if failure != nil {
		s.logRefusal(c, failure)
		failure.write(w, c.ask.ID)
		return
	}
	c.serve()
}
