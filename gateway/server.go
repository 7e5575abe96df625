// Package gateway is the reverse proxy between callers and targets. For each request
// it finds the route and the workspace, chooses targets, forwards the request and
// returns the target's response unchanged.
//
// The package owns the listeners for callers, the rules on retries, and the
// forwarding of responses and streams. A request that may have run is not retried
// unless its route allows it, and is never reported as not run. The package must not
// know header names and formats, which a [Codec] translates.
//
// # Usage
//
//	server := gateway.New(config, deps)
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
	"golang.org/x/time/rate"

	"auburnscale/account"
	"auburnscale/admit"
	"auburnscale/catalog"
	"auburnscale/connlimit"
	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/origin"
	"auburnscale/quarantine"
	"auburnscale/retry"
	"auburnscale/tcp"
)

// Config holds the addresses and time limits of the gateway.
type Config struct {
	// RequestAddress and ReadinessAddress are the addresses to listen on for
	// callers' requests and for the load balancer's readiness probes.
	RequestAddress   string
	ReadinessAddress string
	// StopNotice is how long a stopping instance still accepts requests, so that the
	// load balancer can notice that it is not ready. StopTimeout is the time from the
	// call of Stop to the end of the process.
	StopNotice  time.Duration
	StopTimeout time.Duration
}

// An InstanceState gives the instance's state on which the handling of requests
// depends.
type InstanceState interface {
	// Configuration returns the current configuration, or nil before the first.
	Configuration() *catalog.Snapshot
	// Ready reports whether the instance may take new connections.
	Ready() bool
	// KeysFresh reports whether the instance is up to date on withdrawn keys.
	KeysFresh() bool
}

// A RunCounter counts, by workspace, the requests that targets started to run.
type RunCounter interface {
	Count(workspace string)
}

// Dependencies are the components that the gateway uses.
type Dependencies struct {
	State    InstanceState
	Codec    Codec
	Dialer   *exchange.Dialer
	Fleets   *Fleets
	Budget   *retry.BudgetShare
	Suspects *retry.Suspects
	// Waiting bounds the waits for targets by observed times. It may be nil.
	Waiting *retry.Waiting
	// Gate decides in a shortage which requests are sent. It may be nil.
	Gate   *admit.Gate
	Blocks *quarantine.Blocks
	Runs   RunCounter
	// Quotas may be nil, and no workspace's quota is then enforced.
	Quotas QuotaKeeper
	// Origins records what begins streams, and OriginFinder finds what began those that
	// callers take up.
	Origins      *origin.Journal
	OriginFinder OriginFinder
	// Starts asks targets for their starts. It may be nil if all services are plain ones.
	Starts StartAsker
	// Account holds the memory for callers. Connections and ReadinessConnections bound the connections of the two
	// listeners. Each may be nil, which means no limit.
	Account              *account.Account
	Connections          *connlimit.Limiter
	ReadinessConnections *connlimit.Limiter

	Metrics tally.Scope
	Logger  *event.Logger
}

// A Server accepts and handles callers' requests.
type Server struct {
	config Config
	deps   Dependencies

	requestServer   *http.Server
	readinessServer *http.Server
	listeners       [2]net.Listener
	// requestListener accepts the connections that listeners[0] records.
	requestListener net.Listener
	started         time.Time
	stopping        atomic.Bool
	openRequests    atomic.Int64
	idle            idleConnections
	// objectives caches the shortest latency objective of each service.
	objectives atomic.Pointer[serviceObjectives]
	// noticeOver is true once the load balancer has had its time to send new requests elsewhere.
	noticeOver atomic.Bool
	// stopped is cancelled at answerBy, in Unix nanoseconds, at which a stopping instance answers the requests that
	// are still open.
	stopped  context.Context
	endOpen  context.CancelFunc
	answerBy atomic.Int64
	// quotaLog bounds the lines about requests that are beyond a quota.
	quotaLog rate.Sometimes
}

const (
	// readHeaderTimeout bounds the time that a client takes to send a header. It is
	// far above what a configuration allows, and only keeps dead clients from holding
	// file descriptors.
	readHeaderTimeout = 30 * time.Second
	// idleTimeout bounds how long a keep-alive connection may be idle. Clients reuse
	// their connections within the configured time, which is shorter.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request header, also before the first configuration.
	maxHeaderBytes = 64 << 10
	// exitReserve is the part of StopTimeout that is left for the process to exit.
	exitReserve = 700 * time.Millisecond
	// answerReserve is the part of StopTimeout before that in which requests that are still open get a failure.
	answerReserve = 200 * time.Millisecond
	// maxAcceptWait bounds the wait for the acceptance of connections that callers have opened.
	maxAcceptWait = 500 * time.Millisecond
	// openPollInterval is how often a stopping instance looks whether a request is open.
	openPollInterval = 10 * time.Millisecond
)

// New returns a Server that does not listen yet.
func New(config Config, deps Dependencies) *Server {
	s := &Server{config: config, deps: deps, started: time.Now(), idle: idleConnections{conns: map[net.Conn]bool{}}, quotaLog: rate.Sometimes{First: quotaLogFirst, Interval: quotaLogInterval}}
	s.stopped, s.endOpen = context.WithCancel(context.Background())
	s.requestServer = &http.Server{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withHeaderRecorder, ConnState: s.idle.stateChanged, ErrorLog: deps.Logger.Standard(),
		DisableGeneralOptionsHandler: true,
	}
	s.readinessServer = &http.Server{Handler: http.HandlerFunc(s.handleReady), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: deps.Logger.Standard(), DisableGeneralOptionsHandler: true}
	return s
}

// Listen opens the listeners for requests and for readiness probes.
func (s *Server) Listen() error {
	for i, address := range []string{s.config.RequestAddress, s.config.ReadinessAddress} {
		listener, err := tcp.Listen(address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		s.listeners[i] = listener
	}
	s.requestListener = s.listeners[0]
	s.listeners[0] = recordingListener{s.deps.Connections.Listener(s.requestListener)}
	s.listeners[1] = s.deps.ReadinessConnections.Apply(s.readinessServer, s.listeners[1])
	return nil
}

// Address returns the address that the server listens on for requests.
func (s *Server) Address() string { return s.listeners[0].Addr().String() }

// Abort closes the listeners and every connection at once.
func (s *Server) Abort() {
	s.stopping.Store(true)
	_ = s.requestServer.Close()
	_ = s.readinessServer.Close()
}

// Serve handles requests until Stop or Abort is called.
func (s *Server) Serve() error { return s.requestServer.Serve(s.listeners[0]) }

// ServeReadiness handles readiness probes until Stop or Abort is called.
func (s *Server) ServeReadiness() error { return s.readinessServer.Serve(s.listeners[1]) }

// Stopping reports whether Stop or Abort has been called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// Stop shuts the server down. It reports at once that the instance is not ready, closes each connection after its
// last request has been answered, and accepts connections for StopNotice. After that it closes idle connections, and
// takes requests on the others if they can be answered in time; refuseIfStopping turns the rest away. Shortly
// before StopTimeout the requests that are still open get a failure, except streams that have begun. Stop returns
// when no request is open, or then, with the number of requests that were still open.
func (s *Server) Stop() int64 {
	began := time.Now()
	end := began.Add(s.config.StopTimeout - exitReserve)
	s.answerBy.Store(end.Add(-answerReserve).UnixNano())
	s.stopping.Store(true)
	time.Sleep(s.config.StopNotice)
	s.noticeOver.Store(true)
	s.closeListener()
	s.idle.closeAll()
	answering := time.AfterFunc(time.Until(end.Add(-answerReserve)), s.endOpen)
	defer answering.Stop()
	s.awaitOpenRequests(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	_ = s.requestServer.Shutdown(ctx)
	left := s.openRequests.Load()
	_ = s.requestServer.Close()
	_ = s.readinessServer.Close()
	return left
}

// closeListener closes the listener for requests once all connections that callers have opened are accepted, or after
// maxAcceptWait. Closing it resets the others, also if their requests have arrived.
func (s *Server) closeListener() {
	for until := time.Now().Add(maxAcceptWait); tcp.Unaccepted(s.requestListener) > 0 && time.Now().Before(until); {
		time.Sleep(openPollInterval)
	}
	_ = s.listeners[0].Close()
}

// awaitOpenRequests waits until no request is open or arriving, or until the time. Between two requests that a
// caller sent together none is open for a moment.
func (s *Server) awaitOpenRequests(until time.Time) {
	for idle := 0; idle < 2 && time.Now().Before(until); {
		idle++
		if s.openRequests.Load() > 0 || s.idle.requestArrived() {
			idle = 0
		}
		time.Sleep(openPollInterval)
	}
}

// handleReady responds to a readiness probe: 200 if the instance is ready, else 503.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.deps.State.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handle handles one request. A request that gets no response loses its connection, which net/http does only for
// handlers that panic with http.ErrAbortHandler: for others it sends an empty 200.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	recorder, _ := r.Context().Value(recorderKey{}).(*headerRecorder)
	connection := recorder.limited()
	if !connection.Begin() {
		panic(http.ErrAbortHandler)
	}
	defer connection.End()
	response := &responseWriter{ResponseWriter: w, server: s, connection: recorder}
	s.respond(response, r, recorder)
	if !response.begun {
		panic(http.ErrAbortHandler)
	}
}

// respond runs the request and sends the response.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, recorder *headerRecorder) {
	header, recorded := recorder.nextHeader()
	if failure := checkFraming(r, header, recorded); failure != nil {
		w.Header().Set("Connection", "close")
		failure.write(w, "")
		return
	}
	c, failure := s.prepare(w, r, recorder)
	defer c.hold.Close()
	if failure != nil {
		s.logRefusal(c, failure)
		failure.write(w, c.info.ID)
		return
	}
	c.serve()
}

// A responseWriter announces, in a response of a stopping instance, that its connection is closed, unless another
// request has arrived on it, which would get no response.
type responseWriter struct {
	http.ResponseWriter
	server     *Server
	connection *headerRecorder
	// begun is true once the status of the response has been set.
	begun bool
}

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	w.begun = true
	if w.server.stopping.Load() && !w.connection.requestArrived() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of the connection, for [http.ResponseController].
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// checkFraming returns the refusal of a request whose body may be taken for another request by those who forward or
// run it, or nil.
func checkFraming(r *http.Request, header requestHeader, recorded bool) *failure {
	switch {
	case header.framings > 1:
		return refuse(http.StatusBadRequest, "bad_request", "the request has more than one Content-Length or Transfer-Encoding header")
	case !recorded || !header.belongsTo(r.Method, r.RequestURI):
		return refuse(http.StatusBadRequest, "bad_request", "it is not certain where the request begins on its connection")
	}
	return nil
}
