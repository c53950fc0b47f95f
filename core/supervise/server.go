package supervise

import (
	"slices"
	"time"

	"dogwoodglade/core/batch"
)

// maxTokenShift bounds the step by which the token is raised when several calls in a row are fenced. Tokens follow a
// clock in milliseconds, so the largest step is about 35 years.
const maxTokenShift = 40

// maxFenceRetries is how often the call after the announcement of a restart is repeated. Each takes up to 80 ms.
const maxFenceRetries = 4

// Announce processes an announcement of the backend server. It ignores announcements of an earlier incarnation and
// those that arrive after a later one.
//
// An announcement may come from another writer. One that names another process than the one that responds is only
// applied once the latter no longer responds in its place.
func (s *Supervisor) Announce(now time.Time, server Server) []Action {
	s.noteTime(now)
	s.noteReturn(now, server)
	same := s.known && server.ID == s.server.ID && server.Incarnation == s.server.Incarnation
	restarted := s.known && !same && server.ID == s.server.ID && !s.isCandidate(server)
	switch {
	case server.ID == s.leftID && server.Incarnation <= s.leftIncarnation,
		server.Incarnation < s.server.Incarnation && !s.misdirected,
		same && !s.plausible(now, server):
		return nil
	case s.known && !same && !s.misdirected && s.mayRunBeside(now, server):
		s.candidate, s.candidateAt = &server, now
	default:
		s.applyAnnouncement(now, server)
	}
	if restarted {
		s.fenceRestarted(now, maxFenceRetries)
	}
	return s.takeActions()
}

// isCandidate reports whether the announced process has been put aside.
func (s *Supervisor) isCandidate(server Server) bool {
	return s.candidate != nil && server.ID == s.candidate.ID && server.Incarnation == s.candidate.Incarnation
}

// fenceRestarted calls a backend server that seems to have restarted under its ID without waiting for the next regular
// call, which a pause precedes. Until its first call, the new process carries out any late request. It gets no renewal,
// because it would take the end of the lease for a time on its new clock.
func (s *Supervisor) fenceRestarted(now time.Time, retries int) {
	s.actions = append(s.actions, CallHold{Hold: Hold{
		Server: s.server.ID, Token: s.token, createdAt: now, incarnation: s.server.Incarnation, retries: retries,
	}})
}

// mayRunBeside reports whether the known process may still have runs although another one has been announced.
func (s *Supervisor) mayRunBeside(now time.Time, successor Server) bool {
	if s.left {
		return successor.ID != s.server.ID && s.leased(now)
	}
	return s.responded || s.leased(now)
}

// leased reports whether a lease may still apply to a run.
func (s *Supervisor) leased(now time.Time) bool {
	return len(s.runs)+len(s.unknownRuns) > 0 && !now.After(s.leasesEndBy)
}

// plausible reports whether an announcement of the known incarnation can be a later one of the same process.
func (s *Supervisor) plausible(now time.Time, server Server) bool {
	if server.Sequence < s.server.Sequence {
		return false
	}
	if !s.responded || s.awaitingAnnouncement {
		return true
	}
	return server.Pool == s.server.Pool && server.Clock <= s.serverClock(now)+maxClockLead &&
		(s.server.Sequence == 0 || server.Sequence-s.server.Sequence <= maxSequenceLead)
}

// applyCandidate applies the announcement that was put aside, if there is one.
func (s *Supervisor) applyCandidate(now time.Time) {
	if c := s.candidate; c != nil {
		s.candidate = nil
		s.applyAnnouncement(now, *c)
	}
}

func (s *Supervisor) applyAnnouncement(now time.Time, server Server) {
	switch {
	case !s.known || server.ID != s.server.ID:
		s.replaceServer(now, server)
	case server.Incarnation != s.server.Incarnation:
		s.serverRestarted(now, server.Incarnation, server.Clock)
	}
	changed := !s.capacityKnown(now) || s.server.Leaving != server.Leaving || s.server.Capacity != server.Capacity ||
		!slices.Equal(s.server.Labels, server.Labels)
	s.server, s.restored, s.awaitingAnnouncement = server, false, false
	s.observeClock(now, server.Clock)
	// The announcement may have been delayed.
	s.capacityAt = now.Add(-max(s.serverClock(now)-server.Clock, 0))
	if changed {
		s.reportAll()
	}
}

// Restore sets the backend server to the one that an earlier agent on the host had recorded, so that a restarted agent
// need not wait for the next announcement. The backend server is offered to an entry once it has responded as the same
// incarnation.
func (s *Supervisor) Restore(now time.Time, server Server) []Action {
	if s.known || server.ID == "" {
		return nil
	}
	s.replaceServer(now, server)
	s.restored = true
	return s.takeActions()
}

// dropRestored removes a restored backend server after another one has responded in its place.
func (s *Supervisor) dropRestored() {
	s.server, s.known, s.restored = Server{}, false, false
	s.reportAll()
}

// serverRestarted handles a restart of the backend server under the same ID. Earlier runs have ended with their
// process, but requests that were sent before the agent knew of the restart may have reached the new process. They
// are fenced, and the next Hold response shows which runs exist there.
func (s *Supervisor) serverRestarted(now time.Time, incarnation int64, clock time.Duration) {
	s.observeProcessEnd(now)
	for _, r := range s.runs {
		r.unanswered = r.state != running
		r.mayHaveEnded = r.mayHaveEnded || r.startedAt.After(s.endsListedUntil) // the later process may have answered its start
		r.state, r.token, r.serverRestarted, r.crashed = unconfirmed, s.token, true, !s.leaves()
	}
	s.server.Incarnation, s.server.Sequence = incarnation, 0
	s.responded, s.misdirected, s.announcedAt = false, false, now
	s.left, s.processEnded, s.runsListed, s.awaitingAnnouncement = false, false, false, true
	s.unansweredHolds, s.lastEndSequence, s.listClock = 0, 0, 0
	s.clock, s.clockAt, s.activeAt = clock, now, now
	s.raiseToken(now)
	s.listToken = s.token
	s.reportAll()
}

// replaceServer replaces the earlier backend server. Its runs have ended with its process.
func (s *Supervisor) replaceServer(now time.Time, server Server) {
	s.observeProcessEnd(now)
	end := Crashed
	if s.leaves() {
		end = Lost
	}
	for _, r := range s.sortedRuns() {
		s.endRun(now, r, end, "")
	}
	s.unknownRuns = map[batch.TaskID]unknownRun{}
	s.runNumbers = map[batch.TaskID]endedRunNumber{}
	s.server = server
	s.responded, s.misdirected, s.announcedAt, s.capacityAt, s.candidate = false, false, now, now, nil
	s.known, s.left, s.processEnded, s.runsListed = true, false, false, false
	s.unansweredHolds, s.lastEndSequence, s.listClock = 0, 0, 0
	s.clock, s.clockAt, s.activeAt = server.Clock, now, now
	s.leasesEndBy, s.leaseUntil = now, now
	// The token need not be stored: an earlier agent on the host used none above its clock.
	s.token = hostToken(now)
	s.listToken = s.token
	s.reportAll()
}

// endProcess records that the process of the backend server has ended. Its runs end with it, but a lease may still apply
// to them at a process that only stopped listening, so they are reported when the lease has expired.
func (s *Supervisor) endProcess(now time.Time) {
	s.observeProcessEnd(now)
	if !s.processEnded {
		s.processEnded = true
		s.reportAll()
	}
}

func (s *Supervisor) reportAll() {
	for _, entry := range s.sortedEntries() {
		s.addReport(entry)
	}
}

// isFor reports whether a call was made to the present process of the backend server, as far as was known. A response
// to a call made before a restart may contain a reading of the earlier clock, which is far ahead.
func (s *Supervisor) isFor(id string, incarnation int64) bool {
	return id == s.server.ID && incarnation == s.server.Incarnation
}

// observeClock updates the estimate of the backend server's clock with a reading. The clock has advanced since the
// reading was taken, so the estimate is never ahead of the clock by more than its error from clock drift.
func (s *Supervisor) observeClock(now time.Time, reading time.Duration) {
	s.noteTime(now)
	if reading > s.serverClock(now) {
		s.clock, s.clockAt = reading, now
	}
	if s.awaitingAnnouncement {
		return
	}
	// An announcement that was delayed or restored is older than its arrival.
	if at := now.Add(s.server.Clock - reading); at.Before(s.capacityAt) {
		s.capacityAt = at
	}
}

// observeAnswer updates the estimate with the reading in the response to a call. It also corrects an estimate that is
// ahead: the clock cannot have advanced by more than the time since the call was made.
func (s *Supervisor) observeAnswer(now, calledAt time.Time, reading time.Duration) {
	s.noteTime(now)
	if latest := reading + withDrift(now.Sub(calledAt)); s.serverClock(now) > latest {
		s.clock, s.clockAt = reading, now
	}
	s.observeClock(now, reading)
}

// noteTime records that the supervisor is at work. Whatever reads the ends of leases calls it first: the event after a
// suspension need not be Tick. The clock of the backend server stops while the host is suspended, and the agent's does
// not, so only maxStep of a longer pause counts for the estimate, and leases last longer by the rest. After a pause of the
// agent alone, the estimate is too low until the next response.
func (s *Supervisor) noteTime(now time.Time) {
	if pause := s.pause(now); pause > 0 {
		s.pausedAt = now
		s.clockAt = s.clockAt.Add(pause)
		if s.leasesEndBy.After(s.activeAt) {
			s.leasesEndBy = s.leasesEndBy.Add(pause)
		}
		if s.leaseUntil.After(s.activeAt) {
			s.leaseUntil = s.leaseUntil.Add(pause)
		}
	}
	s.activeAt = now
}

// pause returns by how much the time since the supervisor was last at work exceeds maxStep.
func (s *Supervisor) pause(now time.Time) time.Duration { return max(now.Sub(s.activeAt)-maxStep, 0) }

// serverClock estimates the backend server's clock from below.
func (s *Supervisor) serverClock(now time.Time) time.Duration {
	elapsed := now.Sub(s.clockAt) - s.pause(now)
	return s.clock + elapsed - time.Duration(float64(elapsed)*maxClockDrift)
}

// withDrift returns by how much the clock of a backend server advances at most in a time on the agent's clock.
func withDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*maxClockDrift) }

// grantLease returns the end of a lease granted now, on the backend server's clock. A run outlives its limit by at most
// stopWindow, even if no stop reaches the backend server.
func (s *Supervisor) grantLease(now time.Time) time.Duration {
	lease := ServerLease
	for _, r := range s.runs {
		lease = min(lease, r.until.Add(stopWindow).Sub(now))
	}
	lease = max(lease, 0)
	s.extendLeases(now)
	if until := now.Add(lease); until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
	return s.serverClock(now) + lease
}

// extendLeases records the time after which a lease granted until now has certainly expired, on the agent's clock.
func (s *Supervisor) extendLeases(now time.Time) {
	s.noteTime(now)
	if until := now.Add(MaxRunAfterAgentExit); until.After(s.leasesEndBy) {
		s.leasesEndBy = until
	}
}

// raiseToken fences the requests that got no response: they may still be carried out, but not once the backend server
// has seen the higher token.
func (s *Supervisor) raiseToken(now time.Time) { s.token = max(s.token+1, hostToken(now)) }

// hostToken returns the token that follows from the clock of the host. That clock keeps rising when the agent is replaced,
// and when the backend server restarts under its ID, which begins its own clock anew.
func hostToken(now time.Time) uint64 { return uint64(now.UnixMilli()) }

// NextHold returns the next call that renews the lease, or false if there is no backend server. After it has left, the
// call only shows whether its successor responds. The wait is how long the response may be delayed, at most HoldWait.
func (s *Supervisor) NextHold(now time.Time, wait time.Duration) (Hold, bool) {
	s.noteTime(now)
	if !s.known || (s.left && s.candidate == nil && !s.mayReturn(now)) {
		return Hold{}, false
	}
	return s.newHold(now, min(wait, HoldWait)), true
}

func (s *Supervisor) newHold(now time.Time, wait time.Duration) Hold {
	h := Hold{
		Server: s.server.ID, Token: s.token, Seen: s.lastEndSequence, Wait: wait, createdAt: now,
		leasesEndBy: s.leasesEndBy, incarnation: s.server.Incarnation,
	}
	// A backend server that does not respond gets no further renewals. One of them may still be carried out, so its runs
	// could not be counted as ended as long as renewals are sent.
	if s.runsListed && len(s.runs) > 0 && !s.left && !s.hasOrphans(now) && !s.silent() {
		h.Renew, h.Until = true, s.grantLease(now)
	}
	// After a pause the estimate of the clock may be ahead by maxStep. The response corrects it by the time that it takes.
	if !s.runsListed || s.left || s.hasOrphans(now) || s.pausedAt.After(s.answeredAt) {
		h.Wait = 0
	}
	return h
}

// HoldAnswered processes the response to a call from NextHold or CallHold.
func (s *Supervisor) HoldAnswered(now time.Time, h Hold, response HoldResponse) []Action {
	s.noteTime(now)
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	if response.Incarnation < s.server.Incarnation {
		// If the call was made after the announcement, the announced incarnation does not exist.
		s.misdirected = s.misdirected || (!s.responded && h.createdAt.After(s.announcedAt))
		return nil
	}
	if s.restored && response.Incarnation != s.server.Incarnation {
		s.dropRestored()
		return s.takeActions()
	}
	s.restored = false
	if response.Incarnation > s.server.Incarnation {
		s.serverRestarted(now, response.Incarnation, response.Clock)
		if c := s.candidate; c != nil && c.ID == s.server.ID && c.Incarnation == s.server.Incarnation {
			s.applyCandidate(now)
		}
		return s.takeActions()
	}
	s.returnFromLeave(now, h)
	s.responded, s.misdirected = true, false
	if h.createdAt.After(s.answeredAt) {
		s.answeredAt = h.createdAt
	}
	if h.createdAt.After(s.candidateAt) && !s.left {
		s.candidate = nil
	}
	s.observeList(now, h)
	wasSilent := s.silent() || s.processEnded
	s.processEnded = false
	s.unansweredHolds, s.fencedHolds = 0, 0
	s.observeAnswer(now, h.createdAt, response.Clock)
	for _, e := range response.Ended {
		s.taskEnded(now, e)
	}
	listed := s.runsListed
	if response.Clock >= s.listClock { // responses may overtake each other
		s.listClock = response.Clock
		s.reconcile(now, h, response.Running)
		listed = listed || h.Token >= s.listToken
	}
	if wasSilent || listed != s.runsListed {
		s.runsListed = listed
		s.reportAll()
	}
	return s.takeActions()
}

func (s *Supervisor) taskEnded(now time.Time, e TaskEnd) {
	if e.Sequence <= s.lastEndSequence {
		return
	}
	s.lastEndSequence = e.Sequence
	if r, ok := s.runs[e.Task]; ok && r.number == e.Number {
		s.endRun(now, r, e.End, "")
	}
	delete(s.unknownRuns, e.Task)
}

// reconcile compares the runs listed by the backend server with those that sessions requested.
func (s *Supervisor) reconcile(now time.Time, h Hold, list []RunningTask) {
	unknown := map[batch.TaskID]unknownRun{}
	present := map[batch.TaskID]bool{}
	for _, l := range list {
		r, ok := s.runs[l.Task]
		if ok && r.number == l.Number {
			present[l.Task] = true
			r.percent, r.listedAt = l.Percent, now
			continue
		}
		if known, ok := s.runNumbers[l.Task]; ok && known.number >= l.Number && known.endedAt.After(h.createdAt) {
			continue // it may have ended after the list was made
		}
		u, listedBefore := s.unknownRuns[l.Task]
		u.number = l.Number
		if !listedBefore {
			s.extendLeases(now) // by an earlier agent, or by a start that was carried out late
		}
		if now.Sub(u.stopSentAt) >= stopRetry {
			u.stopSentAt = now
			stop := s.newStop(l.Task, l.Number)
			stop.Unrequested = true
			s.actions = append(s.actions, stop)
		}
		unknown[l.Task] = u
	}
	wasOrphaned := s.hasOrphans(now)
	s.unknownRuns = unknown
	for _, r := range s.sortedRuns() {
		if r.state == running && !present[r.Task] && h.createdAt.After(r.startedAt) {
			r.endMissed = true // acknowledged by another agent process on the host
		}
		// Only a list made under a higher token than that of the unanswered start is conclusive.
		if r.state != unconfirmed || h.Token <= r.token {
			continue
		}
		switch {
		case present[r.Task]:
			s.runStarted(now, r)
		case r.crashed:
			s.endRun(now, r, Crashed, "")
		case r.serverRestarted:
			s.endRun(now, r, Lost, "")
		default:
			s.restart(now, r, Unanswered, r.number)
		}
	}
	if wasOrphaned && !s.hasOrphans(now) {
		s.reportAll()
	}
}

// HoldFailed handles a call from NextHold or CallHold that got no response.
func (s *Supervisor) HoldFailed(now time.Time, h Hold) []Action {
	s.noteTime(now)
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	s.endReturn()
	s.observeCutList(now, h)
	s.unansweredHolds++
	if h.Token == s.token {
		s.raiseToken(now)
	}
	if s.unansweredHolds == maxUnansweredHolds {
		s.reportAll()
	}
	if h.retries > 0 && !s.answeredAt.After(h.createdAt) {
		s.fenceRestarted(now, h.retries-1)
	}
	return s.takeActions()
}

// HoldMisdirected handles a call to which another process responded in place of the backend server. The announcement of
// that process follows.
func (s *Supervisor) HoldMisdirected(now time.Time, h Hold) []Action {
	s.noteTime(now)
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	if s.restored {
		s.dropRestored()
		return s.takeActions()
	}
	if s.responded && h.createdAt.Before(s.answeredAt) {
		return nil // a later call has been answered
	}
	s.misdirected = true
	s.endProcess(now)
	if s.candidate != nil {
		s.applyCandidate(now)
		return s.takeActions()
	}
	return s.HoldFailed(now, h)
}

// HoldRefused handles a call whose connection was refused because nothing listens at the address of the backend server.
func (s *Supervisor) HoldRefused(now time.Time, h Hold) []Action {
	s.noteTime(now)
	if !s.known || h.Server != s.server.ID {
		return nil
	}
	s.endProcess(now)
	h.retries = 0
	return s.HoldFailed(now, h)
}

// silent reports whether the backend server has not responded for some time.
func (s *Supervisor) silent() bool { return s.unansweredHolds >= maxUnansweredHolds }

// UnansweredHolds returns the number of consecutive Hold calls that got no response.
func (s *Supervisor) UnansweredHolds() int { return s.unansweredHolds }

// HoldFenced handles a call that was refused because the backend server has seen a higher token. The response
// contains a reading of its clock.
func (s *Supervisor) HoldFenced(now time.Time, h Hold, clock time.Duration) []Action {
	if !s.known || !s.isFor(h.Server, h.incarnation) {
		return nil
	}
	s.observeAnswer(now, h.createdAt, clock)
	if h.Token == s.token {
		// The response does not include the higher token. Agents of earlier versions took it from the clock of the backend
		// server; after a restart of the server it may be far ahead of that too.
		s.token = max(s.token, hostToken(now), uint64(clock.Milliseconds())) + 1<<min(s.fencedHolds, maxTokenShift)
		s.fencedHolds++
	}
	return s.takeActions()
}
