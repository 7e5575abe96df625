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

// RequestCounts gives the counts of started requests that all instances report. A
// window is given by its start in Unix milliseconds.
type RequestCounts interface {
	// StartedRequests returns a window's counts by workspace, and whether every live
	// instance has reported since the time on clock.Now.
	StartedRequests(window int64, since time.Duration) (map[string]int64, bool)
	// OldestWindow returns the first window with a counter, or 0 if there is none.
	OldestWindow() int64
	// DropWindowsBefore drops the counters before the window.
	DropWindowsBefore(before int64)
	// MedianTime returns the estimate of true time since 1970.
	MedianTime() time.Duration
}

// MeterConfig configures a Meter.
type MeterConfig struct {
	Window time.Duration
	// ReportDue is the time after the end of a window by which its report is due.
	ReportDue time.Duration
	// Lease is the time that a new lease holder waits before its first external
	// action, so that the lease of the previous holder has ended.
	Lease time.Duration
	// Encode returns the report of a window in the platform's format.
	Encode func(window *peer.Window, lengthMs int64) ([]byte, error)
	// Kind is the action kind of usage reports. It is empty if no usage is reported.
	Kind string
	// Planner returns the other external actions that are needed.
	Planner Planner
}

const (
	taskPollInterval = 200 * time.Millisecond
	// minWindowGrace is the minimum wait after the end of a window before it is
	// closed. Instances send their counters every second.
	minWindowGrace = 2500 * time.Millisecond
	// reportMargin is the part of MeterConfig.ReportDue that is reserved for sending
	// the report.
	reportMargin = 3 * time.Second
)

// A Meter reports, while this process leads, how many requests of each workspace
// started in each window. The figures of a window are committed before they are sent,
// so that a successor sends the same ones. It also retries open intents and executes
// the planner's actions.
type Meter struct {
	config   MeterConfig
	executor *Executor
	counts   RequestCounts
	logger   *event.Logger
	// leaseSince is the time on clock.Now since which this process has held the lease
	// without interruption, or 0 if it does not hold it.
	leaseSince time.Duration
	// noPriorHolder is true if no process had performed an external action before
	// this one got the lease.
	noPriorHolder bool
	// overdue is the last window that was logged as overdue.
	overdue  int64
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewMeter returns the meter of a voter. It does nothing while the voter may not
// perform external actions.
func NewMeter(config MeterConfig, executor *Executor, counts RequestCounts, logger *event.Logger) *Meter {
	return &Meter{config: config, executor: executor, counts: counts, logger: logger, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start starts the meter's loop.
func (m *Meter) Start() { go m.run() }

// Stop stops the loop and waits for it and for all actions in flight to end.
func (m *Meter) Stop() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.done
}

func (m *Meter) run() {
	defer close(m.done)
	defer m.executor.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.cancelOnStop(cancel)
	ticker := time.NewTicker(taskPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.runOnce(ctx)
		}
	}
}

func (m *Meter) cancelOnStop(cancel context.CancelFunc) {
	<-m.stop
	cancel()
}

// runOnce runs all tasks once. A process that has just acquired the lease waits until
// the lease of the previous holder has ended before it performs external actions.
func (m *Meter) runOnce(ctx context.Context) {
	if !m.executor.voter.MayAct() {
		m.leaseSince = 0
		return
	}
	if m.leaseSince == 0 {
		m.leaseSince = clock.Now()
		m.noPriorHolder = !m.hasPriorActions()
	}
	waits := clock.Now()-m.leaseSince < m.config.Lease && !m.noPriorHolder
	m.logOverdue(waits)
	if waits {
		return
	}
	m.executor.RetryOpenAsync(ctx)
	if m.config.Kind != "" {
		for m.closeNextWindow(ctx) {
		}
		m.reportUsage(ctx)
	}
	for _, action := range m.config.Planner.Wanted() {
		m.executor.ExecuteAsync(ctx, action)
	}
}

// logOverdue logs, once for each, the oldest window whose report is not acknowledged by the time that it is due. waits is
// true if this process waits for the end of the previous holder's lease.
func (m *Meter) logOverdue(waits bool) {
	if m.config.Kind == "" {
		return
	}
	var last int64
	var closed *peer.Window
	m.executor.voter.Read(func(c *control.Machine) { last, closed = c.LastClosedWindow(), c.UnreportedWindow() })
	length := m.config.Window.Milliseconds()
	window := last + length
	if closed != nil {
		window = closed.Window
	}
	late := m.counts.MedianTime() - time.Duration(window+length)*time.Millisecond - m.config.ReportDue
	if last == 0 || late < 0 || window <= m.overdue {
		return
	}
	m.overdue = window
	_, complete := m.counts.StartedRequests(window, clock.Now()-m.config.ReportDue-late)
	m.logger.Log(event.UsageOverdue, zap.Int64("window", window), zap.Int64("late_ms", late.Milliseconds()), zap.Bool("closed", closed != nil), zap.Bool("complete", complete),
		zap.Bool("waits_for_lease", waits), zap.Int64("lease_ms", (clock.Now()-m.leaseSince).Milliseconds()))
}

// hasPriorActions reports whether any process has performed an external action. Every
// action is committed before it is sent, so an empty list means that there is no
// previous lease holder to wait for.
func (m *Meter) hasPriorActions() bool {
	hasActions := false
	m.executor.voter.Read(func(c *control.Machine) { hasActions = len(c.Intents()) > 0 })
	return hasActions
}

// closeNextWindow commits the figures of the next window if they are complete or its
// report is nearly due. It reports whether it closed a window.
func (m *Meter) closeNextWindow(ctx context.Context) bool {
	length := m.config.Window.Milliseconds()
	var last int64
	m.executor.voter.Read(func(c *control.Machine) { last = c.LastClosedWindow() })
	window := last + length
	if last == 0 {
		window = m.counts.OldestWindow()
	}
	if window == 0 {
		return false
	}
	sinceEnd := m.counts.MedianTime() - time.Duration(window+length)*time.Millisecond
	counts, complete := m.counts.StartedRequests(window, clock.Now()-sinceEnd)
	if sinceEnd < minWindowGrace || !complete && sinceEnd < m.config.ReportDue-reportMargin {
		return false
	}
	command := &peer.CloseWindow{Window: window}
	for workspace, n := range counts {
		command.Counters = append(command.Counters, &peer.Counter{Source: control.TotalSource, Window: window, Workspace: workspace, Requests: n})
	}
	result, err := m.executor.propose(ctx, &peer.Command{
		Actor: m.executor.voter.Incarnation(), Body: &peer.Command_CloseWindow{CloseWindow: command},
	})
	if err != nil || result.Code != peer.Result_OK {
		return false
	}
	m.counts.DropWindowsBefore(window)
	m.logger.Log(event.WindowClosed, zap.Int64("window", window), zap.Int("counters", len(counts)), zap.Bool("complete", complete))
	return true
}

// reportUsage sends the reports of all windows that the platform has not acknowledged,
// oldest first, until one fails.
func (m *Meter) reportUsage(ctx context.Context) {
	for ctx.Err() == nil {
		var window *peer.Window
		m.executor.voter.Read(func(c *control.Machine) { window = c.UnreportedWindow() })
		if window == nil {
			return
		}
		id := control.WindowIntentID(window.Window)
		payload, err := m.config.Encode(window, m.config.Window.Milliseconds())
		if err != nil {
			m.logger.Log(event.ActionRefused, zap.String("intent", id), zap.Error(err))
			return
		}
		// The lease of the previous holder has ended, so none of its requests is
		// still in flight.
		action := Action{ID: id, Target: control.UsageTarget, Kind: m.config.Kind, Payload: payload, Fenced: true}
		if err := m.executor.Execute(ctx, action); err != nil {
			return
		}
	}
}
