// Package timer reads the clock whose time the packages with decision logic get as input.
//
// # Usage
//
//	now := timer.Now()
//
// The clock includes the time during which the host was suspended, which Go's monotonic clock does not. A lease
// therefore never seems valid after a suspension that exceeded its duration.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time since the host was booted, including suspensions. If the kernel lacks this clock, it returns the
// time since the process was started.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Kernels without this clock do not suspend processes undetectably, so that Go's monotonic clock suffices.
		return time.Since(processStart)
	}
	return time.Duration(spec.Nano())
}
