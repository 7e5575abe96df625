package serve

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"auburnscale/account"
	"auburnscale/clock"
	"auburnscale/connlimit"
	"auburnscale/event"
	"auburnscale/settings"
)

// The parts of fleet.descriptors that the listeners of an instance may use. The rest is for connections to targets
// and to other instances, listeners and files: an entry instance opens at most one connection for each request.
const (
	requestShare   = 0.4
	peerShare      = 0.4
	operatorShare  = 0.25
	readinessShare = 0.05
	metricsShare   = 0.05
	// minConnections is what each listener may have on a machine with few descriptors.
	minConnections = 8
)

const (
	// sweepInterval is how often clients without progress are looked for. It is short against fleet.stall.
	sweepInterval = 250 * time.Millisecond
	// callBytesFactor is the memory that a call of an operator or target takes for each byte of its body: the body,
	// the smaller buffer before its last growth, and the decoded form. Messages of other instances are decoded from
	// a compact form in place of the smaller buffer; with the default memory the largest one fits.
	callBytesFactor    = 3
	messageBytesFactor = 2
	// callRetryAfter is when a call that was refused for lack of memory may come again: clients without progress lose
	// theirs by then.
	callRetryAfter = 2 * time.Second
	// evictionLines of evictions and of refusals are logged at first, and one per evictionInterval after that.
	evictionLines    = 5
	evictionInterval = time.Second
)

// A guard holds the limits on what clients may take from an instance: memory, descriptors and time without progress.
type guard struct {
	account  *account.Account
	settings settings.Fleet
	metrics  tally.Scope
	logger   *event.Logger
	// limiters holds the limiter of each listener by its name.
	limiters map[string]*connlimit.Limiter
	reported map[string]int64

	evictions, refusals, fullness rate.Sometimes
	stopped                       chan struct{}
}

func newGuard(s settings.Settings, metrics tally.Scope, logger *event.Logger) *guard {
	lines := func() rate.Sometimes { return rate.Sometimes{First: evictionLines, Interval: evictionInterval} }
	g := &guard{
		settings: s.Fleet, metrics: metrics, logger: logger, limiters: map[string]*connlimit.Limiter{}, reported: map[string]int64{},
		evictions: lines(), refusals: lines(), fullness: lines(), stopped: make(chan struct{}),
	}
	config := account.ForMemory(s.Fleet.Memory, s.Fleet.Stall.AsDuration())
	g.account = account.New(config, clock.Now, g)
	metrics.Gauge("memory_budget_bytes").Update(float64(config.Budget))
	return g
}

// limiter returns a new limiter for the listener with the name, which may use the share of the descriptors.
func (g *guard) limiter(name string, share float64) *connlimit.Limiter {
	l := connlimit.New(max(minConnections, int(share*float64(g.settings.Descriptors))), g.settings.Stall.AsDuration(), g.account, clock.Now)
	g.limiters[name] = l
	return l
}

// start begins to look for clients without progress. The limiters must exist by then.
func (g *guard) start() { go g.run() }

func (g *guard) run() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stopped:
			return
		case <-ticker.C:
			g.account.Sweep()
			g.report()
		}
	}
}

// stop ends the search.
func (g *guard) stop() { close(g.stopped) }

// report updates the gauges, and logs that a listener has as many connections as it may have.
func (g *guard) report() {
	for _, kind := range account.Kinds() {
		g.tagged("kind", kind.String()).Gauge("memory_held_bytes").Update(float64(g.account.Used(kind)))
	}
	for name, l := range g.limiters {
		scope := g.tagged("listener", name)
		scope.Gauge("connections_open").Update(float64(l.Open()))
		closed, paused := l.Closed()
		newlyClosed, newlyPaused := g.since("closed "+name, closed), g.since("paused "+name, paused)
		scope.Counter("connections_closed_for_others").Inc(newlyClosed)
		scope.Counter("accept_pauses").Inc(newlyPaused)
		if newlyClosed+newlyPaused > 0 {
			g.fullness.Do(func() {
				g.logger.Log(event.ConnectionsFull, zap.String("listener", name), zap.Int("open", l.Open()), zap.Int64("closed", newlyClosed), zap.Int64("pauses", newlyPaused))
			})
		}
	}
}

// since returns by how much the count grew since the last call with the name.
func (g *guard) since(name string, count int64) int64 {
	grown := count - g.reported[name]
	g.reported[name] = count
	return grown
}

func (g *guard) tagged(name, value string) tally.Scope {
	return g.metrics.Tagged(map[string]string{name: value})
}

// Evicted implements [account.Observer].
func (g *guard) Evicted(kind account.Kind, bytes int64, idle time.Duration) {
	g.tagged("kind", kind.String()).Counter("memory_evictions").Inc(1)
	g.evictions.Do(func() {
		g.logger.Log(event.ClientEvicted, zap.Stringer("kind", kind), zap.Int64("bytes", bytes), zap.Int64("idle_ms", idle.Milliseconds()))
	})
}

// Refused implements [account.Observer].
func (g *guard) Refused(kind account.Kind, bytes int64) {
	g.tagged("kind", kind.String()).Counter("memory_refusals").Inc(1)
	g.refusals.Do(func() {
		g.logger.Log(event.MemoryRefused, zap.Stringer("kind", kind), zap.Int64("bytes", bytes))
	})
}

// bodies returns a handler whose requests' bodies are reserved from the account as they are read, factor bytes for
// each. A request whose body
// is not read for lack of memory or of progress is refused with 503 or 408; the handler below has not run it, since each
// reads the whole body first.
func (g *guard) bodies(next http.Handler, factor int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		connection := http.NewResponseController(w)
		hold := g.account.Open(account.Body, func() { _ = connection.SetReadDeadline(time.Now()) })
		defer hold.Close()
		limited := connlimit.FromContext(r.Context())
		limited.Await(hold)
		body := account.NewReader(r.Body, hold, factor)
		r.Body = body
		next.ServeHTTP(&refusingWriter{ResponseWriter: w, body: body, connection: limited}, r)
	})
}

// A refusingWriter replaces the status of the response to a call whose body could not be read.
type refusingWriter struct {
	http.ResponseWriter
	body       *account.Reader
	connection *connlimit.Conn
}

// WriteHeader sends the header of the response.
func (w *refusingWriter) WriteHeader(status int) {
	failed := w.body.Failed()
	if failed != nil {
		w.connection.StopReading()
	}
	switch {
	case errors.Is(failed, account.ErrEvicted):
		status = http.StatusRequestTimeout
		w.Header().Set("Connection", "close")
	case failed != nil:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(int(callRetryAfter.Seconds())))
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for [http.ResponseController].
func (w *refusingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
