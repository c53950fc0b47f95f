package supervise

import "time"

const (
	// maxListGap is how long before the end of its process a backend server may have been asked for its runs for the last
	// time if those runs are to count as there at the end. It covers the pause of an agent after a call without a response.
	maxListGap = 100 * time.Millisecond
	// maxCutDelay is the age up to which a start without a response is taken to have been cut off by what it started. The
	// backend server is on the same host; a call that takes longer has been held up on the way, or has timed out.
	maxCutDelay = 10 * time.Millisecond
)

// observeList notes that no end of a run has been missed up to a response that lists them. If the agent was frozen, the
// response may be old.
func (s *Supervisor) observeList(now time.Time, h Hold) {
	until := h.createdAt.Add(h.Wait)
	if now.Before(until) {
		until = now
	}
	if until.After(s.endsListedUntil) {
		s.endsListedUntil = until
	}
}

// observeCutList notes that no run had ended before a call that waited for that was cut off. Only the first such call
// counts: the next one is made after a pause.
func (s *Supervisor) observeCutList(now time.Time, h Hold) {
	if s.isFor(h.Server, h.incarnation) && s.unansweredHolds == 0 && !s.processEnded && now.Sub(h.createdAt) <= h.Wait &&
		h.createdAt.Sub(s.endsListedUntil) <= maxListGap {
		s.endsListedUntil = now
	}
}

// observeProcessEnd marks the runs that may have ended before the process of the backend server did.
func (s *Supervisor) observeProcessEnd(now time.Time) {
	if s.processEnded {
		return
	}
	s.processEndedAt = now
	for _, r := range s.runs {
		r.mayHaveEnded = r.endMissed || now.Sub(s.endsListedUntil) > maxListGap
	}
}

// crashEnd returns the end of a run whose backend server has crashed.
func (s *Supervisor) crashEnd(r *run) RunEnd {
	e := RunEnd{RunID: r.RunID, End: Crashed, Unconfirmed: r.unanswered || (r.state != running && !r.crashed)}
	e.Uncertain = r.mayHaveEnded
	if e.Unconfirmed {
		e.Uncertain = r.cutAt.IsZero() || s.processEndedAt.Sub(r.cutAt) > maxListGap
	}
	return e
}
