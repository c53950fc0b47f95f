package dispatch

import (
	"time"

	"dogwoodglade/core/overload"
)

const (
	// riseTime is how long backend servers keep arriving after the first one: when a whole site restarts, the agents
	// choose their homes within 300 ms.
	riseTime = 400 * time.Millisecond
	// arrivalGap is how long after the latest arrival of a rise no further one is expected.
	arrivalGap = 100 * time.Millisecond
	// riseOffset is added to the time since the first one, which alone says nothing about the rate of arrivals.
	riseOffset = 50 * time.Millisecond
	// restartTime is how long after the start of an entry its first backend server counts as the first of many.
	restartTime = time.Second
	// firstArrival is how long after the start of an entry its first backend server arrives when a whole site restarts.
	// If it alone has been restarted, agents keep the home that they have chosen meanwhile for longer.
	firstArrival = 200 * time.Millisecond
)

// noteArrival records that a pool has got a backend server, and the beginning of a rise if it is the first one after a
// restart or an outage. A pool that has been without any for a moment has a part of its backend servers back, not the
// first of many.
func (d *Dispatcher) noteArrival(now time.Time, p *poolState, coresBefore float64) {
	if p.cores <= coresBefore {
		return
	}
	d.noteStart(now)
	p.arrivedAt = now
	if coresBefore == 0 && (now.Sub(d.startedAt) < restartTime || now.Sub(p.servedAt) >= serverGrace) {
		p.risingSince = now
	}
}

// expectedCores returns the cores of a pool at the end of a rise, if backend servers continue to arrive as until now. The
// first ones have just a part of them, and by the wait predicted from that part nearly all callers would be refused.
func (p *poolState) expectedCores(now time.Time) float64 {
	if now.Sub(p.arrivedAt) > arrivalGap {
		return p.cores
	}
	elapsed := now.Sub(p.risingSince) + riseOffset
	return p.cores * max(float64(riseTime)/float64(elapsed), 1)
}

// expectedWait predicts the wait of the queue with expectedCores.
func (p *poolState) expectedWait(now time.Time) time.Duration {
	return overload.DrainTime(p.queued.seconds(), p.expectedCores(now))
}

// untilFirstServer returns how long a pool without backend servers is likely to wait for the first one, or 0 if none is
// expected soon.
func (d *Dispatcher) untilFirstServer(now time.Time, p *poolState) time.Duration {
	if p.served() || d.draining || !d.expectsServer(now, p) {
		return 0
	}
	return max(d.startedAt.Add(firstArrival).Sub(now), 0)
}
