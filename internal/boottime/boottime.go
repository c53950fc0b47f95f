// Package boottime reads a clock that also advances while the host is suspended. The monotonic clock of the Go runtime
// does not, so a lease measured with it would seem to be still valid after the host resumes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, expressed as a time since 1970. Compare it only with other times of this
// package on the same host. If the clock cannot be read, it returns the wall-clock time.
func Now() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
