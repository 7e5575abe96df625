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

// Counters is what the duties need of the table of instances.
type Counters interface {
	Counters(window int64) []*peer.Counter
	DropSettled()
	AllContactedSince(at time.Duration) bool
}

// Planner says which actions are wanted now.
type Planner interface {
	Wanted() []Action
}

// dutyInterval is the time between two looks at what is to be done.
const dutyInterval = 500 * time.Millisecond

// DutiesConfig holds the timing of usage windows.
type LeaderTasksConfig struct {
	Window time.Duration
	Grace  time.Duration
	// PlatformFenced is true if the platform refuses an older epoch.
	PlatformFenced bool
	// Reports is false if there is no platform to report to.
	Reports bool
}

// Duties represents the leader's regular work: open intents are resolved, usage
// windows closed and reported, and planned actions taken.
type LeaderTasks struct {
	config    LeaderTasksConfig
	authority *Executor
	counters  Counters
	planner   Planner
	logger    *event.Logger
	// since is when this voter began to hold the lease, on clock.Now; 0 if not.
	since    time.Duration
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// NewDuties returns the duties of a voter. They rest while it holds no lease.
func NewLeaderTasks(config LeaderTasksConfig, a *Executor, counters Counters, planner Planner, logger *event.Logger) *LeaderTasks {
	return &LeaderTasks{
		config: config, authority: a, counters: counters, planner: planner, logger: logger,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the loop.
func (d *LeaderTasks) Start() { go d.run() }

// Stop ends the loop and waits for it.
func (d *LeaderTasks) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
	<-d.done
}

func (d *LeaderTasks) run() {
	defer close(d.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.cancelOnStop(cancel)
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.pass(ctx, moment{clock.Wall(), clock.Now()})
		}
	}
}

func (d *LeaderTasks) cancelOnStop(cancel context.CancelFunc) {
	<-d.stop
	cancel()
}

// A moment represents one moment on both clocks: the time of day, which window
// edges go by, and clock.Now, which waits go by.
type moment struct {
	wall time.Time
	now  time.Duration
}

func (d *LeaderTasks) pass(ctx context.Context, at moment) {
	if !d.authority.voter.MayAct() {
		d.since = 0
		return
	}
	if d.since == 0 {
		d.since = at.now
	}
	d.authority.RetryOpen(ctx)
	if d.config.Reports {
		d.closeWindow(ctx, at)
		d.report(ctx)
	}
	for _, action := range d.planner.Wanted() {
		_ = d.authority.Execute(ctx, action)
	}
}

// closeWindow commits the figures of the last window that ended, once its grace
// is over and every living instance has sent its counters since the window's
// end. A new leader first waits a grace, in which the instances find it.
func (d *LeaderTasks) closeWindow(ctx context.Context, at moment) {
	window := at.wall.Add(-d.config.Grace).Truncate(d.config.Window).Add(-d.config.Window)
	end := window.Add(d.config.Window)
	ended := at.now - at.wall.Sub(end)
	if at.now-d.since < d.config.Grace || !d.counters.AllContactedSince(ended) {
		return
	}
	var last int64
	d.authority.voter.Read(func(m *control.Machine) { last = m.LastClosedWindow() })
	if window.UnixMilli() <= last {
		return
	}
	counters := d.counters.Counters(window.UnixMilli())
	_, err := d.authority.propose(ctx, &peer.Command{Actor: d.authority.voter.Incarnation(), Body: &peer.Command_CloseWindow{
		CloseWindow: &peer.CloseWindow{Window: window.UnixMilli(), Counters: counters},
	}})
	if err != nil {
		return
	}
	d.counters.DropSettled()
	d.logger.Log(event.WindowClosed, zap.Int64("window", window.UnixMilli()), zap.Int("counters", len(counters)))
}

// report sends the oldest window that the platform has not acknowledged.
func (d *LeaderTasks) report(ctx context.Context) {
	var window *peer.Window
	d.authority.voter.Read(func(m *control.Machine) { window = m.UnreportedWindow() })
	if window == nil {
		return
	}
	id := control.WindowIntentID(window.Window)
	payload, err := platform.Encode(usageReport(id, window))
	if err != nil {
		d.logger.Log(event.ActionRefused, zap.String("intent", id), zap.Error(err))
		return
	}
	_ = d.authority.Execute(ctx, Action{
		ID: id, Target: control.UsageTarget, Kind: control.UsageIntentKind, Payload: payload, Fenced: d.config.PlatformFenced,
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
