package authority

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
)

// BegunSource gives the begun requests that all instances counted.
type RequestCounts interface {
	// Begun returns a window's counts by workspace, and whether every living
	// instance was heard since the moment on clock.Now.
	StartedRequests(window int64, since time.Duration) (map[string]int64, bool)
	// OldestWindow returns the first window with a counter, or 0.
	OldestWindow() int64
	// Forget drops the counters before the window.
	DropWindowsBefore(before int64)
	// TrueTime returns the estimate of true time since 1970.
	MedianTime() time.Duration
}

// MeterConfig holds the timing of usage windows.
type MeterConfig struct {
	Window time.Duration
	// Late is the time after a window's end by which its report is due.
	ReportDue time.Duration
	// Lease is the time between the outward acts of two holders.
	Lease time.Duration
	// Encode returns the platform's form of a window's report.
	Encode func(window *peer.Window, lengthMs int64) ([]byte, error)
	// Kind names the actions' sender; empty if no usage is reported.
	Kind string
	// Planner says which other actions are wanted.
	Planner Planner
}

const (
	meterInterval = 200 * time.Millisecond
	// windowGrace is how long counters of a window are waited for in any case:
	// instances send theirs every second.
	windowGrace = 2500 * time.Millisecond
	// reportSlack is left of the due time for the report itself.
	reportSlack = 3 * time.Second
)

// A Meter represents the leader's duty to report how many requests of each
// workspace began in each window. A window's figures are committed before they
// are sent, so that a successor sends the same ones.
type Meter struct {
	config    MeterConfig
	authority *Executor
	source    RequestCounts
	logger    *event.Logger
	// since is when this process began to hold the lease without a break; 0 if
	// it does not hold it.
	since time.Duration
	// first is true if nobody had acted outward before this process did.
	first    bool
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewMeter returns the meter of a voter. It rests while the voter may not act.
func NewMeter(config MeterConfig, a *Executor, source RequestCounts, logger *event.Logger) *Meter {
	return &Meter{config: config, authority: a, source: source, logger: logger, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start runs the loop.
func (m *Meter) Start() { go m.run() }

// Stop ends the loop and waits for it.
func (m *Meter) Stop() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.done
}

func (m *Meter) run() {
	defer close(m.done)
	defer m.authority.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.cancelOnStop(cancel)
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.pass(ctx)
		}
	}
}

func (m *Meter) cancelOnStop(cancel context.CancelFunc) {
	<-m.stop
	cancel()
}

// pass takes the next steps. A process that has just come to hold the lease
// waits out the former holder's before it acts outward.
func (m *Meter) pass(ctx context.Context) {
	if !m.authority.voter.MayAct() {
		m.since = 0
		return
	}
	if m.since == 0 {
		m.since = clock.Now()
		m.first = !m.acted()
	}
	if clock.Now()-m.since < m.config.Lease && !m.first {
		return
	}
	m.authority.RetryOpenAsync(ctx)
	if m.config.Kind != "" {
		for m.closeNext(ctx) {
		}
		m.report(ctx)
	}
	for _, action := range m.config.Planner.Wanted() {
		m.authority.ExecuteAsync(ctx, action)
	}
}

// acted reports whether anyone has acted outward before. Every act is committed
// before it is taken, so that an empty list means that there is no former holder
// to wait for.
func (m *Meter) acted() bool {
	acted := false
	m.authority.voter.Read(func(c *control.Machine) { acted = len(c.Intents()) > 0 })
	return acted
}

// closeNext commits the figures of the next window if they are complete, or
// waited for long enough.
func (m *Meter) closeNext(ctx context.Context) bool {
	length := m.config.Window.Milliseconds()
	var last int64
	m.authority.voter.Read(func(c *control.Machine) { last = c.LastClosedWindow() })
	window := last + length
	if last == 0 {
		window = m.source.OldestWindow()
	}
	if window == 0 {
		return false
	}
	passed := m.source.MedianTime() - time.Duration(window+length)*time.Millisecond
	counts, complete := m.source.StartedRequests(window, clock.Now()-passed)
	if passed < windowGrace || !complete && passed < m.config.ReportDue-reportSlack {
		return false
	}
	command := &peer.CloseWindow{Window: window}
	for workspace, n := range counts {
		command.Counters = append(command.Counters, &peer.Counter{Source: "fleet", Window: window, Workspace: workspace, Requests: n})
	}
	result, err := m.authority.propose(ctx, &peer.Command{
		Actor: m.authority.voter.Incarnation(), Body: &peer.Command_CloseWindow{CloseWindow: command},
	})
	if err != nil || result.Code != peer.Result_OK {
		return false
	}
	m.source.DropWindowsBefore(window)
	m.logger.Log(event.WindowClosed, zap.Int64("window", window), zap.Int("counters", len(counts)), zap.Bool("complete", complete))
	return true
}

// report sends the oldest windows that the platform has not acknowledged.
func (m *Meter) report(ctx context.Context) {
	for ctx.Err() == nil {
		var window *peer.Window
		m.authority.voter.Read(func(c *control.Machine) { window = c.UnreportedWindow() })
		if window == nil {
			return
		}
		id := control.WindowIntentID(window.Window)
		payload, err := m.config.Encode(window, m.config.Window.Milliseconds())
		if err != nil {
			m.logger.Log(event.ActionRefused, zap.String("intent", id), zap.Error(err))
			return
		}
		// The former holder's lease has been waited out, so that none of its
		// calls is on its way any more.
		action := Action{ID: id, Target: control.UsageTarget, Kind: m.config.Kind, Payload: payload, Fenced: true}
		if err := m.authority.Execute(ctx, action); err != nil {
			return
		}
	}
}
