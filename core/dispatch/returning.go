package dispatch

import (
	"time"

	"dogwoodglade/core/batch"
)

// firstCallerAge is how long after a job of a first caller, who waits for the whole time-out of the route, a shorter
// wait means that a caller returns. Where all callers of a route wait for less, it means nothing.
const firstCallerAge = 10 * time.Second

// returns reports whether the caller of an arriving job has submitted it before. The time-out of a route may be raised by
// a new version of the configuration, which callers learn later.
func (r *routeState) returns(now time.Time, b batch.Job) bool {
	if !b.Returning {
		r.firstCallerAt, r.firstCallerVersion = now, b.Version
		return false
	}
	return b.Version == r.firstCallerVersion && now.Sub(r.firstCallerAt) <= firstCallerAge
}
