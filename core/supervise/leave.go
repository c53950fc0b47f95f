package supervise

import "time"

// leaveTimeout is the time in which the process of a backend server ends after its leave notice. It waits up to a second
// for the acknowledgement.
const leaveTimeout = 2 * time.Second

// Leave handles a planned exit of the backend server. The notice names only the ID, so a late one of an earlier process
// cannot be told from one of the present process; see returnFromLeave.
func (s *Supervisor) Leave(id string) []Action {
	if !s.known || s.server.ID != id {
		return nil
	}
	s.leftID, s.leftIncarnation = id, s.server.Incarnation
	s.left = true
	s.returning, s.returningSince = nil, time.Time{}
	s.reportAll()
	return s.takeActions()
}

// leaves reports whether the backend server has left or has announced that it will.
func (s *Supervisor) leaves() bool { return s.left || s.server.Leaving }

// leavesIn returns how much longer a leaving backend server certainly runs, or 0 if that is not known. It counts from the
// clock reading in the announcement, so that an announcement that was delayed extends nothing.
func (s *Supervisor) leavesIn(now time.Time) time.Duration {
	if s.left || !s.server.Leaving || s.server.LeavesAt == 0 || s.awaitingAnnouncement || s.restored {
		return 0
	}
	return max(s.server.LeavesAt-s.serverClock(now), 0)
}

// noteReturn records an announcement of the process that has left. It may have been delayed, so the process is not used
// before it has also responded.
func (s *Supervisor) noteReturn(now time.Time, server Server) {
	if !s.left || !s.isFor(server.ID, server.Incarnation) || !s.plausible(now, server) ||
		(s.returning != nil && server.Sequence < s.returning.Sequence) {
		return
	}
	if s.returningSince.IsZero() {
		s.returningSince = now
	}
	s.returning = &server
}

// mayReturn reports whether the process that has left is to be called because it may live.
func (s *Supervisor) mayReturn(now time.Time) bool {
	return s.returning != nil && now.Sub(s.returningSince) >= leaveTimeout
}

// returnFromLeave uses the backend server again if it has responded to a call made when its process would have ended. No
// lease was renewed meanwhile, so its earlier runs have ended, and its present ones are listed before it is offered.
func (s *Supervisor) returnFromLeave(now time.Time, h Hold) {
	if !s.left || !s.mayReturn(h.createdAt) {
		return
	}
	server := *s.returning
	s.left, s.leftID, s.leftIncarnation = false, "", 0
	s.returning, s.returningSince = nil, time.Time{}
	s.runsListed = false
	s.raiseToken(now)
	s.listToken = s.token
	s.applyAnnouncement(now, server)
	s.reportAll()
}

// endReturn stops the calls to the process that has left, until it announces itself again.
func (s *Supervisor) endReturn() { s.returning = nil }
