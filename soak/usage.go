package soak

import (
	"maps"
	"slices"
	"time"
)

// maxUsageError is the share by which the usage that is reported may differ from the requests
// that targets began to run.
const maxUsageError = 0.05

// checkUsage compares the usage reports with the requests that targets began to run, and checks
// that they arrive in time. Windows around unplanned faults do not count, since instances that
// are killed take their latest counts with them.
func (h *History) checkUsage(b Bounds, report func(string, string, ...any)) {
	reports := map[int64]int64{}
	for _, c := range h.Calls {
		if c.Subject == "usage" {
			reports[c.Window] = c.Counts[workspaceName]
		}
	}
	begun := slices.SortedFunc(maps.Values(h.Begun), time.Time.Compare)
	if len(begun) == 0 {
		return
	}
	first, last := windowOf(begun[0], b.UsageWindow)+1, windowOf(begun[len(begun)-1], b.UsageWindow)
	var missing []int64
	for window := first; window < last; window++ {
		start := time.UnixMilli(window * b.UsageWindow.Milliseconds())
		end := start.Add(b.UsageWindow)
		if !h.faultFree(start.Add(-b.Contact), end.Add(b.Contact)) {
			continue
		}
		count, reported := reports[window]
		due := end.Add(b.UsageDue)
		if !reported && due.Before(begun[len(begun)-1]) && h.faultFree(start, due) {
			missing = append(missing, window)
		}
		least := countBetween(begun, start.Add(b.UsageEdge), end.Add(-b.UsageEdge))
		most := countBetween(begun, start.Add(-b.UsageEdge), end.Add(b.UsageEdge))
		if reported && (float64(count) < (1-maxUsageError)*float64(least) || float64(count) > (1+maxUsageError)*float64(most)) {
			report("usage is reported truly", "window %d was reported as %d requests, %d to %d began", window, count, least, most)
		}
	}
	if len(missing) > 0 {
		report("usage is reported in time", "no report of the windows %v %v after their ends", missing, b.UsageDue)
	}
}

// windowOf returns the number of the usage window that the time is in.
func windowOf(t time.Time, window time.Duration) int64 { return t.UnixMilli() / window.Milliseconds() }
