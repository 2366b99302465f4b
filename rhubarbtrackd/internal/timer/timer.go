// Package timer reads the clock that deciding packages are fed with.
//
// # Usage
//
//	now := timer.Now()
//
// The clock counts time during which the host was suspended, which Go's monotonic clock does not. A lease that is
// measured with it has certainly expired when it says so.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

var fallback = time.Now()

// Now returns the time since the host was started.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Kernels without this clock do not suspend processes unnoticed either.
		return time.Since(fallback)
	}
	return time.Duration(spec.Nano())
}
