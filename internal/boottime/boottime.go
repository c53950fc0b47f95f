// Package boottime reads a clock that also counts the time in which the host was suspended. The runtime's
// monotonic clock does not, so a lease measured with it would seem to last after the host woke up.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, as a time since 1970. It is only to be compared with other
// times of this package on the same host. If the clock cannot be read, it is the time of day.
func Now() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
