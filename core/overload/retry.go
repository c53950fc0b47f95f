package overload

import "time"

// NoServerWait is the predicted wait without capacity.
const NoServerWait = time.Hour

// DrainTime returns how long the given cores need for the given work.
func DrainTime(coreSeconds, cores float64) time.Duration {
	if cores <= 0 {
		return NoServerWait
	}
	return time.Duration(min(coreSeconds/cores, NoServerWait.Seconds()) * float64(time.Second))
}

// MaxRetryAfter bounds the time over which retries are spread.
const MaxRetryAfter = 10 * time.Second

// Retries spreads the retries of refused callers over the time that a queue needs to drain.
type Retries struct{ next time.Time }

// Reserve returns the delay after which a refused caller may retry. wait is the predicted wait for the queue, and work is
// how long the caller's job would occupy all backend servers of the pool.
func (r *Retries) Reserve(now time.Time, wait, work time.Duration) time.Duration {
	earliest := now.Add(min(wait, MaxRetryAfter))
	if r.next.Before(earliest) {
		r.next = earliest
	}
	delay := min(r.next.Add(work).Sub(now), MaxRetryAfter)
	r.next = now.Add(delay)
	return delay
}

// Release gives back the time that Reserve reserved for a caller who was not refused in the end.
func (r *Retries) Release(work time.Duration) { r.next = r.next.Add(-work) }
