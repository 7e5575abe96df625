// Package clock reads the clock that leases, freshness and the time since last
// contact are measured on: the time since the host booted, which keeps running
// while the host is suspended. Go's monotonic time does not, so a lease measured
// on it would outlive its term after a suspension.
//
// The package also reads the time of day, for values that people and other systems
// interpret as dates: window boundaries, hours in rules and the audit trail. The
// time of day can step, so it must not be used for timeouts or leases.
//
// The package must not import any other package of this module.
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

// Wall returns the time of day without Go's monotonic clock reading. Differences
// between its results are not reliable durations, since the time of day can step.
func Wall() time.Time { return time.Now().Round(0) }

// Now returns the time since the host booted, including the time it was suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that Go supports has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
