package supervise

import (
	"slices"
	"time"

	"dogwoodglade/core/batch"
)

// maxFenceShift bounds the steps by which the token is raised when calls are fenced in a row: to about 17
// minutes of the clock that tokens follow.
const maxFenceShift = 20

// Announce takes what the backend server says of itself. Announcements of an earlier run of it, or that were
// overtaken by a later one, are ignored.
func (s *Supervisor) Announce(now time.Time, server Server) []Action {
	if server.Born < s.server.Born || (server.Born == s.server.Born && server.Sequence < s.server.Sequence && s.known) ||
		(server.ID == s.leftID && server.Born <= s.leftBorn) {
		return nil
	}
	switch {
	case !s.known || server.ID != s.server.ID:
		s.replaced(now, server)
	case server.Born != s.server.Born:
		s.reborn(now, server.Born, server.Clock)
	}
	changed := s.renewed || s.server.Leaving != server.Leaving || s.server.Capacity != server.Capacity ||
		!slices.Equal(s.server.Labels, server.Labels)
	s.server, s.restored, s.renewed = server, false, false
	s.readClock(now, server.Clock)
	if changed {
		s.reportAll()
	}
	return s.take()
}

// Restore takes what an earlier agent on the host knew of the backend server, so that a restarted agent need
// not wait for the next announcement. The backend server is offered once it has answered as the same run.
func (s *Supervisor) Restore(now time.Time, server Server) []Action {
	if s.known || server.ID == "" {
		return nil
	}
	server.Sequence = 0
	s.replaced(now, server)
	s.restored = true
	return s.take()
}

// unrestore forgets a backend server that turned out to be another one.
func (s *Supervisor) unrestore() {
	s.server, s.known, s.restored = Server{}, false, false
	s.reportAll()
}

// reborn takes note that the backend server restarted under its ID. What ran before has ended with its process,
// but orders that were sent before the agent knew of the restart may have reached the new run. They are fenced,
// and the next list tells which runs are there.
func (s *Supervisor) reborn(now time.Time, born int64, clock time.Duration) {
	for _, r := range s.runs {
		r.state, r.token, r.reborn = unclear, s.token, true
	}
	s.server.Born, s.server.Sequence = born, 0
	s.gone, s.checked, s.renewed = false, false, true
	s.silent, s.seen = 0, 0
	s.clock, s.clockAt = clock, now
	s.raiseToken(now)
	s.reportAll()
}

// replaced forgets the earlier backend server. What ran there has ended with its process.
func (s *Supervisor) replaced(now time.Time, server Server) {
	for _, r := range s.sorted() {
		s.end(now, r, Lost, "")
	}
	s.foreign = map[batch.TaskID]foreign{}
	s.numbers = map[batch.TaskID]numberOf{}
	s.server = server
	s.known, s.gone, s.checked = true, false, false
	s.silent, s.seen = 0, 0
	s.clock, s.clockAt = server.Clock, now
	s.heldUntil = now
	// The backend server's own clock rises over the lives of agents and needs no store. An agent that starts
	// later reads a higher clock than any token that an earlier agent used.
	s.token = uint64(server.Clock.Milliseconds()) + 1
	s.reportAll()
}

// Leave takes note that the backend server ended as planned.
func (s *Supervisor) Leave(id string) []Action {
	if !s.known || s.server.ID != id {
		return nil
	}
	s.leftID, s.leftBorn = id, s.server.Born
	s.gone = true
	s.reportAll()
	return s.take()
}

func (s *Supervisor) reportAll() {
	for _, entry := range s.entries() {
		s.report(entry)
	}
}

// readClock takes a reading of the backend server's clock. The reading is at least as old as its arrival, so
// the estimate is never ahead of the clock by more than its error.
func (s *Supervisor) readClock(now time.Time, reading time.Duration) {
	if reading > s.serverClock(now) {
		s.clock, s.clockAt = reading, now
	}
}

// serverClock estimates the backend server's clock from below.
func (s *Supervisor) serverClock(now time.Time) time.Duration {
	elapsed := now.Sub(s.clockAt)
	return s.clock + elapsed - time.Duration(float64(elapsed)*clockError)
}

// lease returns the end of a lease that is granted now.
func (s *Supervisor) lease(now time.Time) time.Duration {
	until := now.Add(LapsedAfter)
	if until.After(s.heldUntil) {
		s.heldUntil = until
	}
	return s.serverClock(now) + ServerLease
}

// raiseToken fences the orders that were not answered: they may still be carried out, but not after the
// backend server has seen the higher token.
func (s *Supervisor) raiseToken(now time.Time) {
	s.token = max(s.token+1, uint64(s.serverClock(now).Milliseconds()))
}

// NextHold returns the next call that renews the lease. It reports false if there is no backend server.
func (s *Supervisor) NextHold(now time.Time) (Hold, bool) {
	if !s.known || s.gone {
		return Hold{}, false
	}
	return s.hold(now, HoldWait), true
}

func (s *Supervisor) hold(now time.Time, wait time.Duration) Hold {
	h := Hold{Server: s.server.ID, Token: s.token, Seen: s.seen, Wait: wait, at: now}
	if s.checked && len(s.runs) > 0 && !s.orphaned() {
		h.Renew, h.Until = true, s.lease(now)
	}
	if !s.checked || s.orphaned() {
		h.Wait = 0
	}
	return h
}

// Held takes the answer to a call of NextHold or CallHold.
func (s *Supervisor) Held(now time.Time, h Hold, answer Holding) []Action {
	if !s.known || h.Server != s.server.ID || answer.Born < s.server.Born {
		return nil
	}
	if s.restored && answer.Born != s.server.Born {
		s.unrestore()
		return s.take()
	}
	s.restored = false
	if answer.Born > s.server.Born {
		s.reborn(now, answer.Born, answer.Clock)
		return s.take()
	}
	wasSilent := s.silent
	s.silent, s.fences = 0, 0
	s.readClock(now, answer.Clock)
	for _, e := range answer.Ended {
		s.taskEnded(now, e)
	}
	s.listed(now, h, answer.Running)
	if !s.checked || wasSilent >= 2 {
		s.checked = true
		s.reportAll()
	}
	return s.take()
}

func (s *Supervisor) taskEnded(now time.Time, e EndedTask) {
	if e.Sequence <= s.seen {
		return
	}
	s.seen = e.Sequence
	if r, ok := s.runs[e.Task]; ok && r.number == e.Number {
		s.end(now, r, e.End, "")
	}
	delete(s.foreign, e.Task)
}

// listed compares the runs of the backend server with those that were ordered.
func (s *Supervisor) listed(now time.Time, h Hold, list []RunningTask) {
	found := map[batch.TaskID]foreign{}
	present := map[batch.TaskID]bool{}
	for _, l := range list {
		r, ok := s.runs[l.Task]
		if ok && r.number == l.Number {
			present[l.Task] = true
			r.percent = l.Percent
			continue
		}
		if known, ok := s.numbers[l.Task]; ok && known.number >= l.Number && known.at.After(h.at) {
			continue // it ended after the list was made
		}
		f := s.foreign[l.Task]
		f.number = l.Number
		if now.Sub(f.stopAt) >= stopRetry {
			f.stopAt = now
			s.actions = append(s.actions, CallStop{Server: s.server.ID, Task: l.Task, Number: l.Number, Token: s.token})
		}
		found[l.Task] = f
	}
	wasOrphaned := s.orphaned()
	s.foreign = found
	for _, r := range s.sorted() {
		// The list was made after the token of the lost order was fenced.
		if r.state != unclear || h.Token <= r.token {
			continue
		}
		switch {
		case present[r.Task]:
			s.started(now, r)
		case r.reborn:
			s.end(now, r, Lost, "")
		default:
			s.restart(now, r, Unanswered, r.number)
		}
	}
	if wasOrphaned && !s.orphaned() {
		s.reportAll()
	}
}

// HoldFailed takes note that a call of NextHold or CallHold was not answered.
func (s *Supervisor) HoldFailed(now time.Time, h Hold) []Action {
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	s.silent++
	if h.Token == s.token {
		s.raiseToken(now)
	}
	if s.silent == 2 {
		s.reportAll()
	}
	return s.take()
}

// HoldMisdirected takes note that another run of the backend server answered. Its announcement follows.
func (s *Supervisor) HoldMisdirected(now time.Time, h Hold) []Action {
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	if s.restored {
		s.unrestore()
		return s.take()
	}
	return s.HoldFailed(now, h)
}

// Silence returns how many calls in a row the backend server did not answer.
func (s *Supervisor) Silence() int { return s.silent }

// HoldFenced takes note that the backend server has seen a higher token, and its clock.
func (s *Supervisor) HoldFenced(now time.Time, h Hold, clock time.Duration) []Action {
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	s.readClock(now, clock)
	if h.Token == s.token {
		// The token that was seen is not told. It is from an earlier agent, or from before a restart that began
		// the backend server's clock anew, so it may be far ahead.
		s.raiseToken(now)
		s.token += 1 << min(s.fences, maxFenceShift)
		s.fences++
	}
	return s.take()
}
