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
	"auburnscale/platform"
)

// Counters gives the usage counters that instances have reported.
type Counters interface {
	// Counters returns the counters of all windows up to the given one, which is
	// given by its start in Unix milliseconds.
	Counters(window int64) []*peer.Counter
	// DropSettled removes the counters that closed windows include in full.
	DropSettled()
	// AllContactedSince reports whether all live instances have reported since the time
	// on clock.Now.
	AllContactedSince(at time.Duration) bool
}

// A Planner returns the external actions that are needed now.
type Planner interface {
	Wanted() []Action
}

// taskInterval is the time between two runs of the leader tasks.
const taskInterval = 500 * time.Millisecond

// LeaderTasksConfig configures the usage windows.
type LeaderTasksConfig struct {
	Window time.Duration
	// Grace is the time after the end of a window before it is closed.
	Grace time.Duration
	// PlatformFenced is true if the platform rejects requests with an older epoch.
	PlatformFenced bool
	// Reports is true if usage windows are closed and reported. It is false if there
	// is no platform to report to.
	Reports bool
}

// LeaderTasks runs the periodic tasks of the leader: it retries open intents, closes
// and reports usage windows, and executes the planner's actions.
type LeaderTasks struct {
	config   LeaderTasksConfig
	executor *Executor
	counters Counters
	planner  Planner
	logger   *event.Logger
	// leaseSince is the time on clock.Now since which this voter has held the lease,
	// or 0 if it does not hold it.
	leaseSince time.Duration
	stop       chan struct{}
	done       chan struct{}
	stopOnce   sync.Once
}

// NewLeaderTasks returns the leader tasks of a voter. They do nothing while the voter
// does not hold the lease.
func NewLeaderTasks(config LeaderTasksConfig, executor *Executor, counters Counters, planner Planner, logger *event.Logger) *LeaderTasks {
	return &LeaderTasks{
		config: config, executor: executor, counters: counters, planner: planner, logger: logger,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start starts the task loop.
func (t *LeaderTasks) Start() { go t.run() }

// Stop stops the task loop and waits for it to end.
func (t *LeaderTasks) Stop() {
	t.stopOnce.Do(func() { close(t.stop) })
	<-t.done
}

func (t *LeaderTasks) run() {
	defer close(t.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go t.cancelOnStop(cancel)
	ticker := time.NewTicker(taskInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
			t.runOnce(ctx, clockReading{clock.Wall(), clock.Now()})
		}
	}
}

func (t *LeaderTasks) cancelOnStop(cancel context.CancelFunc) {
	<-t.stop
	cancel()
}

// A clockReading is one point in time on both clocks: the wall clock, which
// determines the window boundaries, and clock.Now, which measures waits.
type clockReading struct {
	wall time.Time
	now  time.Duration
}

func (t *LeaderTasks) runOnce(ctx context.Context, at clockReading) {
	if !t.executor.voter.MayAct() {
		t.leaseSince = 0
		return
	}
	if t.leaseSince == 0 {
		t.leaseSince = at.now
	}
	t.executor.RetryOpen(ctx)
	if t.config.Reports {
		t.closeWindow(ctx, at)
		t.reportUsage(ctx)
	}
	for _, action := range t.planner.Wanted() {
		_ = t.executor.Execute(ctx, action)
	}
}

// closeWindow commits the figures of the last window that ended, once its grace
// period is over and every live instance has sent its counters after the end of the
// window. A new leader first waits for one grace period, so that the instances can
// find it.
func (t *LeaderTasks) closeWindow(ctx context.Context, at clockReading) {
	window := at.wall.Add(-t.config.Grace).Truncate(t.config.Window).Add(-t.config.Window)
	end := window.Add(t.config.Window)
	endOnClock := at.now - at.wall.Sub(end)
	if at.now-t.leaseSince < t.config.Grace || !t.counters.AllContactedSince(endOnClock) {
		return
	}
	var last int64
	t.executor.voter.Read(func(m *control.Machine) { last = m.LastClosedWindow() })
	if window.UnixMilli() <= last {
		return
	}
	counters := t.counters.Counters(window.UnixMilli())
	_, err := t.executor.propose(ctx, &peer.Command{Actor: t.executor.voter.Incarnation(), Body: &peer.Command_CloseWindow{
		CloseWindow: &peer.CloseWindow{Window: window.UnixMilli(), Counters: counters},
	}})
	if err != nil {
		return
	}
	t.counters.DropSettled()
	t.logger.Log(event.WindowClosed, zap.Int64("window", window.UnixMilli()), zap.Int("counters", len(counters)))
}

// reportUsage sends the report of the oldest closed window that the platform has not
// acknowledged.
func (t *LeaderTasks) reportUsage(ctx context.Context) {
	var window *peer.Window
	t.executor.voter.Read(func(m *control.Machine) { window = m.UnreportedWindow() })
	if window == nil {
		return
	}
	id := control.WindowIntentID(window.Window)
	payload, err := platform.Encode(usageReport(id, window))
	if err != nil {
		t.logger.Log(event.ActionRefused, zap.String("intent", id), zap.Error(err))
		return
	}
	_ = t.executor.Execute(ctx, Action{
		ID: id, Target: control.UsageTarget, Kind: control.UsageIntentKind, Payload: payload, Fenced: t.config.PlatformFenced,
	})
}

func usageReport(id string, window *peer.Window) platform.UsageReport {
	report := platform.UsageReport{ID: id, Window: window.Window, Figures: []platform.UsageLine{}}
	for _, f := range window.Figures {
		report.Figures = append(report.Figures, platform.UsageLine{
			Workspace: f.Workspace, PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens, Requests: f.Requests, Cost: f.Cost,
		})
	}
	return report
}
