package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"auburnscale/peer"
)

// settledRetentionMs is how long the state keeps settled counters. A counter that
// is older than this is ignored when a window closes.
const settledRetentionMs = 24 * 60 * 60 * 1000

// TotalSource is the source of counters that hold the whole count of the window that is closed. Such a window
// gets no later counters, so that there is nothing to settle against; kept for a day they would not fit into
// the message that brings a snapshot to another replica, nor into the memory of an instance.
const TotalSource = "fleet"

// UsageIntentKind is the kind of the intents that report a usage window, and
// UsageTarget is their target, the usage interface of the platform.
const (
	UsageIntentKind = "usage_report"
	UsageTarget     = "platform/usage"
)

// closeWindow computes and stores the usage figures of a window. The counters are
// cumulative, so each contributes the growth since it was last settled. Counters
// of earlier windows that grew after those windows closed are included in this
// window.
func (m *Machine) closeWindow(e *peer.Entry, c *peer.CloseWindow) *peer.Result {
	if c.Window <= m.lastClosedWindow {
		return &peer.Result{Code: peer.Result_REPLAY, Detail: fmt.Sprintf("window %d is closed", c.Window)}
	}
	figures := map[string]*peer.Counter{}
	for _, counter := range c.Counters {
		if counter.Window <= c.Window && counter.Window > c.Window-settledRetentionMs {
			m.settleCounter(figures, counter, c.Window)
		}
	}
	window := &peer.Window{Window: c.Window}
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		window.Figures = append(window.Figures, figures[name])
	}
	m.windows[c.Window] = window
	m.lastClosedWindow = c.Window
	m.pruneSettledCounters()
	m.pruneWindows()
	m.appendTrail(e, "close_window", strconv.FormatInt(c.Window, 10), fmt.Sprintf("%d workspaces", len(window.Figures)))
	return &peer.Result{}
}

// settleCounter adds the unsettled growth of the counter to its workspace's
// figures. The request count tells whether the counter has grown.
func (m *Machine) settleCounter(figures map[string]*peer.Counter, counter *peer.Counter, window int64) {
	key := counterKey{counter.Source, counter.Window, counter.Workspace}
	settled := m.settledCounters[key]
	if settled != nil && counter.Requests <= settled.Requests {
		return
	}
	figure := figures[counter.Workspace]
	if figure == nil {
		figure = &peer.Counter{Window: window, Workspace: counter.Workspace}
		figures[counter.Workspace] = figure
	}
	figure.PromptTokens += counter.PromptTokens - settled.GetPromptTokens()
	figure.OutputTokens += counter.OutputTokens - settled.GetOutputTokens()
	figure.Requests += counter.Requests - settled.GetRequests()
	figure.Cost += counter.Cost - settled.GetCost()
	if counter.Source != TotalSource {
		m.settledCounters[key] = counter
	}
}

func (m *Machine) pruneWindows() {
	for len(m.windows) > maxWindows {
		oldest := slices.Min(slices.Collect(maps.Keys(m.windows)))
		if !m.windows[oldest].Acknowledged {
			return
		}
		delete(m.windows, oldest)
	}
}

func (m *Machine) pruneSettledCounters() {
	for key := range m.settledCounters {
		if key.window <= m.lastClosedWindow-settledRetentionMs {
			delete(m.settledCounters, key)
		}
	}
}

// acknowledgeWindow marks the window that the closed usage intent reported as
// acknowledged. Intents of other kinds are ignored.
func (m *Machine) acknowledgeWindow(intent *peer.Intent) {
	if intent.Kind != UsageIntentKind {
		return
	}
	for _, w := range m.windows {
		if intent.Id == WindowIntentID(w.Window) {
			w.Acknowledged = true
		}
	}
}

// WindowIntentID returns the id of the intent that reports the window, which is
// given by its start in Unix milliseconds.
func WindowIntentID(window int64) string { return "usage-" + strconv.FormatInt(window, 10) }

// UnreportedWindow returns the oldest closed window whose report the platform has
// not acknowledged, or nil.
func (m *Machine) UnreportedWindow() *peer.Window {
	for _, number := range slices.Sorted(maps.Keys(m.windows)) {
		if !m.windows[number].Acknowledged {
			return m.windows[number]
		}
	}
	return nil
}

// LastClosedWindow returns the start of the last closed window in Unix
// milliseconds, or 0 if none has been closed.
func (m *Machine) LastClosedWindow() int64 { return m.lastClosedWindow }

// IsSettled reports whether closed windows include all requests of the counter.
func (m *Machine) IsSettled(c *peer.Counter) bool {
	settled := m.settledCounters[counterKey{c.Source, c.Window, c.Workspace}]
	return settled != nil && settled.Requests >= c.Requests
}

func compareCounter(a, b counterKey) int {
	return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.source, b.source), cmp.Compare(a.workspace, b.workspace))
}
