// Package clock reads the clock that leases, freshness and silence are measured
// on: the time since the machine started, which goes on while the machine is
// suspended. Go's monotonic time does not, so a lease counted on it outlives its
// term in a suspension.
//
// It also reads the time of day, apart, for what people and other systems date:
// window edges, rule hours, the audit trail. The time of day steps, so nothing
// that must end in time goes by it.
//
// It owns these two readings. It must not import any other package of this module.
//
// # Usage
//
//	started := clock.Now()
//	age := clock.Now() - started
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Wall returns the time of day without Go's monotonic reading, so that a
// difference between two of them is never taken for a duration that holds.
func Wall() time.Time { return time.Now().Round(0) }

// Now returns the time since the machine started, including suspensions.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel older than Go supports has no such clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
