package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"auburnscale/peer"
)

// settledHorizonMs is how long the state remembers which counters it has
// settled. Older counters are not taken any more.
const settledRetentionMs = 24 * 60 * 60 * 1000

// UsageIntent is the kind of the intent that reports a usage window; its target
// is the platform's usage interface.
const (
	UsageIntentKind = "usage_report"
	UsageTarget     = "platform/usage"
)

// closeWindow commits the figures of a window. The counters are cumulative, so
// a figure is what a counter shows beyond what earlier closes have settled.
// Counters of earlier windows that grew after their close are carried into
// this one.
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

func (m *Machine) settleCounter(figures map[string]*peer.Counter, counter *peer.Counter, window int64) {
	key := counterKey{counter.Source, counter.Window, counter.Workspace}
	before := m.settledCounters[key]
	if before != nil && counter.Requests <= before.Requests {
		return
	}
	figure := figures[counter.Workspace]
	if figure == nil {
		figure = &peer.Counter{Window: window, Workspace: counter.Workspace}
		figures[counter.Workspace] = figure
	}
	figure.PromptTokens += counter.PromptTokens - before.GetPromptTokens()
	figure.OutputTokens += counter.OutputTokens - before.GetOutputTokens()
	figure.Requests += counter.Requests - before.GetRequests()
	figure.Cost += counter.Cost - before.GetCost()
	m.settledCounters[key] = counter
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

// acknowledgeWindow marks the window that a finished usage intent reported.
func (m *Machine) acknowledgeWindow(known *peer.Intent) {
	if known.Kind != UsageIntentKind {
		return
	}
	for _, w := range m.windows {
		if known.Id == WindowIntentID(w.Window) {
			w.Acknowledged = true
		}
	}
}

// WindowIntentID returns the id of the intent that reports the window.
func WindowIntentID(window int64) string { return "usage-" + strconv.FormatInt(window, 10) }

// UnreportedWindow returns the oldest closed window whose report has not been
// acknowledged, or nil.
func (m *Machine) UnreportedWindow() *peer.Window {
	for _, number := range slices.Sorted(maps.Keys(m.windows)) {
		if !m.windows[number].Acknowledged {
			return m.windows[number]
		}
	}
	return nil
}

// SettledWindow returns the last closed window.
func (m *Machine) LastClosedWindow() int64 { return m.lastClosedWindow }

// IsSettled reports whether the committed figures include all of the counter.
func (m *Machine) IsSettled(c *peer.Counter) bool {
	before := m.settledCounters[counterKey{c.Source, c.Window, c.Workspace}]
	return before != nil && before.Requests >= c.Requests
}

func compareCounter(a, b counterKey) int {
	return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.source, b.source), cmp.Compare(a.workspace, b.workspace))
}
