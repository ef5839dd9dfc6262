// Package boottime reads the clock that also runs while the host is suspended. The monotonic clock of package time stands still
// then, and the time of day may be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // without the clock, a suspension is not noticed
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
