package supervise

import (
	"time"

	"dogwoodglade/core/batch"
)

// alive reports whether requests of the session may be carried out.
func (c *session) alive(now time.Time) bool { return c.confirmed && !now.After(c.expiresAt) }

// Connect opens a session of an entry and stops the runs of its previous session.
func (s *Supervisor) Connect(now time.Time, entry string) []Action {
	s.endSession(now, entry)
	s.sessions[entry] = &session{entry: entry, expiresAt: now.Add(SessionLease)}
	s.addReport(entry)
	return s.takeActions()
}

// Disconnect ends the session of an entry and stops its runs.
func (s *Supervisor) Disconnect(now time.Time, entry string) []Action {
	s.endSession(now, entry)
	return s.takeActions()
}

func (s *Supervisor) endSession(now time.Time, entry string) {
	if _, ok := s.sessions[entry]; !ok {
		return
	}
	delete(s.sessions, entry)
	if s.home == entry {
		s.home = ""
	}
	for _, r := range s.sortedRuns() {
		if r.entry == entry {
			r.sessionEnded = true
			s.stopRun(now, r)
		}
	}
}

// ExtendSession extends the session of an entry until the given time on the agent's clock. A message that was delayed
// carries an earlier time, so it does not extend the session beyond its lease.
func (s *Supervisor) ExtendSession(entry string, until time.Time) {
	c, ok := s.sessions[entry]
	if !ok || until.Equal(ClockTime(0)) {
		return
	}
	if !c.confirmed || until.After(c.expiresAt) {
		c.confirmed, c.expiresAt = true, until
	}
	// A run that is being stopped may not continue for longer than it might when its stop was sent.
	for _, r := range s.runs {
		if r.entry == entry && !r.stopping {
			r.until = c.expiresAt
		}
	}
}

// LimitRuns sets when the runs of jobs may no longer continue, on the agent's clock, although the session of their entry
// does. A limit holds until the session is extended.
func (s *Supervisor) LimitRuns(entry string, until map[batch.JobID]time.Duration) {
	for _, r := range s.runs {
		if limit, ok := until[r.Task.Job]; ok && r.entry == entry && ClockTime(limit).Before(r.until) {
			r.until = ClockTime(limit)
		}
	}
}

// SetHome offers the backend server to one entry, or to none if the name is empty. Runs of other sessions continue.
func (s *Supervisor) SetHome(entry string) []Action {
	if s.home == entry {
		return nil
	}
	previous := s.home
	s.home = entry
	for _, name := range []string{previous, entry} {
		if _, ok := s.sessions[name]; ok {
			s.addReport(name)
		}
	}
	return s.takeActions()
}

// Drain stops offering the backend server to entries. Its runs continue.
func (s *Supervisor) Drain() []Action {
	s.draining = true
	s.reportAll()
	return s.takeActions()
}

// StopAll stops all runs before the agent exits.
func (s *Supervisor) StopAll(now time.Time) []Action {
	for _, r := range s.sortedRuns() {
		s.stopRun(now, r)
	}
	return s.takeActions()
}

// Tick ends expired sessions and repeats stops. It returns the entries whose sessions ended.
func (s *Supervisor) Tick(now time.Time) (ended []string, actions []Action) {
	s.noteTime(now)
	for _, entry := range s.sortedEntries() {
		if now.After(s.sessions[entry].expiresAt) {
			ended = append(ended, entry)
			s.endSession(now, entry)
		}
	}
	for _, r := range s.sortedRuns() {
		if now.After(r.until) {
			s.stopRun(now, r)
		}
	}
	s.repeatStops(now)
	s.expireRuns(now)
	for task, n := range s.runNumbers {
		if now.Sub(n.endedAt) > runNumberRetention {
			delete(s.runNumbers, task)
		}
	}
	return ended, s.takeActions()
}

// expireRuns counts all runs as ended if the backend server does not respond or has left, and its lease has expired.
func (s *Supervisor) expireRuns(now time.Time) {
	if (s.unansweredHolds > 0 || s.left) && now.After(s.leasesEndBy) {
		end := Lost
		if s.processEnded && !s.leaves() {
			end = Crashed
		}
		for _, r := range s.sortedRuns() {
			s.endRun(now, r, end, "")
		}
		s.unknownRuns = map[batch.TaskID]unknownRun{}
	}
	if s.left && !s.leased(now) {
		s.applyCandidate(now)
	}
}

// RunCount returns the number of runs of an entry, including those of its ended sessions.
func (s *Supervisor) RunCount(entry string) int {
	n := 0
	for _, r := range s.runs {
		if r.entry == entry {
			n++
		}
	}
	return n
}
