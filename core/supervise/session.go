package supervise

import (
	"time"

	"dogwoodglade/core/batch"
)

// alive reports whether orders of the session may be carried out.
func (c *session) alive(now time.Time) bool { return c.kept && !now.After(c.until) }

// Connect opens the session of an entry. Runs of an earlier session of it are stopped.
func (s *Supervisor) Connect(now time.Time, entry string) []Action {
	s.endSession(now, entry)
	s.sessions[entry] = &session{entry: entry, until: now.Add(SessionLease)}
	s.report(entry)
	return s.take()
}

// Disconnect ends the session of an entry and stops its runs.
func (s *Supervisor) Disconnect(now time.Time, entry string) []Action {
	s.endSession(now, entry)
	return s.take()
}

func (s *Supervisor) endSession(now time.Time, entry string) {
	if _, ok := s.sessions[entry]; !ok {
		return
	}
	delete(s.sessions, entry)
	if s.home == entry {
		s.home = ""
	}
	for _, r := range s.sorted() {
		if r.entry == entry {
			r.sessionLost = true
			s.stop(now, r)
		}
	}
}

// Keep extends the session of an entry until a time of the agent's clock. A message that was delayed carries
// an early time, so it extends nothing.
func (s *Supervisor) Keep(entry string, until time.Time) {
	c, ok := s.sessions[entry]
	if !ok || until.Equal(Time(0)) {
		return
	}
	if !c.kept || until.After(c.until) {
		c.kept, c.until = true, until
	}
}

// SetHome offers the backend server to one entry, or to none if the name is empty. Runs of other sessions
// go on.
func (s *Supervisor) SetHome(entry string) []Action {
	if s.home == entry {
		return nil
	}
	previous := s.home
	s.home = entry
	for _, name := range []string{previous, entry} {
		if _, ok := s.sessions[name]; ok {
			s.report(name)
		}
	}
	return s.take()
}

// Drain offers the backend server to no entry from now on. Its runs go on.
func (s *Supervisor) Drain() []Action {
	s.draining = true
	s.reportAll()
	return s.take()
}

// StopAll stops every run, for an agent that must exit.
func (s *Supervisor) StopAll(now time.Time) []Action {
	for _, r := range s.sorted() {
		s.stop(now, r)
	}
	return s.take()
}

// Tick ends sessions that were not kept and repeats stops. It returns the entries whose sessions ended.
func (s *Supervisor) Tick(now time.Time) (lost []string, actions []Action) {
	for _, entry := range s.entries() {
		if now.After(s.sessions[entry].until) {
			lost = append(lost, entry)
			s.endSession(now, entry)
		}
	}
	s.repeatStops(now)
	s.lapse(now)
	for task, n := range s.numbers {
		if now.Sub(n.at) > numberMemory {
			delete(s.numbers, task)
		}
	}
	return lost, s.take()
}

// lapse ends all runs once the lease of a backend server that does not answer has run out.
func (s *Supervisor) lapse(now time.Time) {
	if (s.silent == 0 && !s.gone) || !now.After(s.heldUntil) {
		return
	}
	for _, r := range s.sorted() {
		s.end(now, r, Lost, "")
	}
	s.foreign = map[batch.TaskID]foreign{}
}

// RunsOf returns the number of runs of an entry's session.
func (s *Supervisor) RunsOf(entry string) int {
	n := 0
	for _, r := range s.runs {
		if r.entry == entry {
			n++
		}
	}
	return n
}
