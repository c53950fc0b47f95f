package dispatch

import (
	"slices"
	"time"
)

// endTooLarge refuses the waiting jobs of a pool whose backend servers have become too small for them, no longer have
// their label, or are evacuated while the others are too small. They wait for serverGrace, because the agent of a suitable
// one may only be reconnecting.
func (d *Dispatcher) endTooLarge(now time.Time, p *poolState) {
	if !p.served() || d.draining {
		return
	}
	for _, j := range slices.Clone(p.queue.jobs) {
		if j.answered || j.started() || j.activeRuns > 0 {
			continue
		}
		switch reason, fits := d.checkFits(j); {
		case fits:
			j.tooLargeSince = time.Time{}
		case j.tooLargeSince.IsZero():
			j.tooLargeSince = now
		case now.Sub(j.tooLargeSince) >= serverGrace:
			d.refuse(now, j, reason)
		}
	}
}
