package dispatch

import "time"

// delayWindow is how long a difference between two clocks counts, at most twice as long. Clocks that differ in speed by
// 0.1% drift apart by 10 ms meanwhile, half of leaveSlack.
const delayWindow = 5 * time.Second

// leastDelay is the least difference seen lately between a clock reading in a message and the time of its arrival.
type leastDelay struct {
	begin             time.Time // of the present window; zero before the first message
	present, previous time.Duration
}

// With returns the least difference after a message.
func (l leastDelay) With(now time.Time, delay time.Duration) leastDelay {
	switch {
	case l.begin.IsZero() || now.Sub(l.begin) >= 2*delayWindow:
		return leastDelay{begin: now, present: delay, previous: delay}
	case now.Sub(l.begin) >= delayWindow:
		return leastDelay{begin: now, present: delay, previous: l.present}
	}
	l.present = min(l.present, delay)
	return l
}

// Least returns the least difference.
func (l leastDelay) Least() time.Duration { return min(l.present, l.previous) }
