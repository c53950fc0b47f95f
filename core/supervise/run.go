package supervise

import (
	"time"

	"dogwoodglade/core/batch"
)

// StartRuns starts runs for an entry, or reports them as refused.
func (s *Supervisor) StartRuns(now time.Time, entry string, starts []Start) []Action {
	s.noteTime(now)
	c, ok := s.sessions[entry]
	if !ok {
		return nil
	}
	free, orphans := s.server.Capacity.Minus(s.inUse("")), s.hasOrphans(now)
	for _, x := range starts {
		until := c.expiresAt
		if x.Until > 0 && ClockTime(x.Until).Before(until) {
			until = ClockTime(x.Until)
		}
		refusal := ""
		switch _, exists := s.runs[x.Task]; {
		case !c.alive(now):
			refusal = "SessionLost"
		case now.After(until):
			refusal = "Expired"
		case !s.known || s.left || !s.runsListed || !s.capacityKnown(now) || s.server.Leaving || s.draining:
			refusal = "NoServer"
		case s.evacuated:
			refusal = refusalEvacuated
		case orphans:
			refusal = "Orphans"
		case s.leaseUntil.After(until.Add(stopWindow)):
			refusal = "Expiring" // the lease of the other runs would outlast its limit
		case exists:
			refusal = "Running"
		case !x.Demand.Fits(free):
			refusal = NoRoom.String()
		}
		if refusal != "" {
			c.ended = append(c.ended, RunEnd{RunID: x.RunID, End: Refused, Reason: refusal})
			s.addReport(entry)
			continue
		}
		free = free.Minus(x.Demand)
		r := &run{Start: x, entry: entry, number: s.runNumbers[x.Task].number + 1, until: until}
		s.runs[x.Task] = r
		s.startRun(now, r, s.grantLease(now))
	}
	return s.takeActions()
}

func (s *Supervisor) startRun(now time.Time, r *run, lease time.Duration) {
	r.state, r.token, r.cutAt = starting, s.token, time.Time{}
	s.actions = append(s.actions, CallStart{
		Server: s.server.ID, Task: r.Task, Number: r.number, Spec: r.Spec,
		Until: lease, Token: s.token, Entry: r.entry,
		createdAt: now, incarnation: s.server.Incarnation, run: r,
	})
}

// SendStart returns a call with the lease that it grants if it is sent now. It returns false if the call may not be sent,
// because the run is no longer wanted or may no longer start.
func (s *Supervisor) SendStart(now time.Time, c CallStart) (CallStart, bool) {
	s.noteTime(now)
	if !s.isPending(c) || !s.isFor(c.Server, c.incarnation) || !s.mayRestart(now, c.run) {
		return c, false
	}
	c.Until = s.grantLease(now)
	return c, true
}

// isPending reports whether a call is the latest one that starts its run, and has no result.
func (s *Supervisor) isPending(c CallStart) bool {
	r := c.run
	return s.runs[r.Task] == r && r.number == c.Number && r.token == c.Token && r.state == starting
}

// StartAnswered processes the result of a CallStart. The clock is the reading in the response, or zero if it had none.
func (s *Supervisor) StartAnswered(now time.Time, c CallStart, result StartResult, clock time.Duration) []Action {
	s.noteTime(now)
	if clock > 0 && s.isFor(c.Server, c.incarnation) {
		s.observeAnswer(now, c.createdAt, clock)
	}
	if !s.isPending(c) {
		return nil
	}
	r := c.run
	switch result {
	case Accepted:
		s.runStarted(now, r)
	case Unanswered:
		r.state = unconfirmed
		if r.restarts == 0 && c.Age(now) <= maxCutDelay {
			r.cutAt = now
		}
		if r.token == s.token {
			s.raiseToken(now)
		}
		s.actions = append(s.actions, CallHold{Hold: s.newHold(now, 0)})
	case Fenced, Late, Unsent:
		s.restart(now, r, result, r.number)
	case Outdated:
		s.restart(now, r, result, r.number+runNumberStep)
	case NotListening:
		s.endProcess(now)
		s.endRun(now, r, Refused, result.String())
	default:
		s.endRun(now, r, Refused, result.String())
	}
	return s.takeActions()
}

// mayRestart reports whether a call that starts a run may be made, or made again. If the agent's process was frozen, it may
// get here before Tick has ended the expired session of the request, so the session is checked again. A backend server that
// does not respond gets no starts, as each would extend the time after which its runs count as ended.
func (s *Supervisor) mayRestart(now time.Time, r *run) bool {
	c, ok := s.sessions[r.entry]
	return !r.stopping && !s.draining && !s.evacuated && !s.hasOrphans(now) && ok && c.alive(now) && s.capacityKnown(now) &&
		!s.left && !s.processEnded && !s.silent()
}

// restart repeats a start that was not carried out for a reason that the agent can correct.
func (s *Supervisor) restart(now time.Time, r *run, result StartResult, number int) {
	r.restarts++
	if r.restarts > maxRestarts || !s.mayRestart(now, r) {
		s.endRun(now, r, Refused, result.String())
		return
	}
	if !s.inUse("").Fits(s.server.Capacity) {
		s.endRun(now, r, Refused, NoRoom.String())
		return
	}
	if result == Fenced && r.token == s.token {
		s.raiseToken(now)
	}
	r.number = number
	if result == Unsent {
		s.startRun(now, r, 0) // SendStart grants the lease
		return
	}
	s.startRun(now, r, s.grantLease(now))
}

func (s *Supervisor) runStarted(now time.Time, r *run) {
	r.state, r.startedAt = running, now
}

// StopRuns stops runs of an entry.
func (s *Supervisor) StopRuns(now time.Time, entry string, ids []RunID) []Action {
	for _, id := range ids {
		if r, ok := s.runs[id.Task]; ok && r.entry == entry && r.Attempt == id.Attempt {
			s.stopRun(now, r)
		}
	}
	return s.takeActions()
}

func (s *Supervisor) stopRun(now time.Time, r *run) {
	if r.stopping {
		return
	}
	r.stopping, r.stoppedAt = true, now
	s.callStop(now, r)
}

func (s *Supervisor) callStop(now time.Time, r *run) {
	r.stopSentAt, r.stopAnswered = now, false
	s.actions = append(s.actions, s.newStop(r.Task, r.number))
}

func (s *Supervisor) newStop(task batch.TaskID, number int) CallStop {
	return CallStop{
		Server: s.server.ID, Task: task, Number: number, Token: s.token, incarnation: s.server.Incarnation,
	}
}

// repeatStops repeats the stops of runs that have not been reported as ended. A stop that got a response normally takes
// effect within StopTime, so a repeat is needed only if the stop was for an earlier run number.
func (s *Supervisor) repeatStops(now time.Time) {
	for _, r := range s.sortedRuns() {
		interval := unansweredStopRetry
		if r.stopAnswered {
			interval = stopRetry
		}
		if r.stopping && now.Sub(r.stopSentAt) >= interval {
			s.callStop(now, r)
		}
	}
}

// StopAnswered processes the response to a CallStop. A stop that got no response is repeated.
func (s *Supervisor) StopAnswered(now time.Time, c CallStop, answered bool, clock time.Duration) []Action {
	if clock > 0 && s.isFor(c.Server, c.incarnation) {
		s.observeClock(now, clock)
	}
	if r, ok := s.runs[c.Task]; ok && answered && r.number == c.Number {
		r.stopAnswered = true
	}
	if !answered && c.Server == s.server.ID && c.Token == s.token {
		s.raiseToken(now)
	}
	return s.takeActions()
}

// endRun removes a run and reports its end to its entry.
func (s *Supervisor) endRun(now time.Time, r *run, end End, reason string) {
	wasOrphaned := s.hasOrphans(now)
	delete(s.runs, r.Task)
	s.runNumbers[r.Task] = endedRunNumber{number: r.number, endedAt: now}
	e := RunEnd{RunID: r.RunID, End: end, Reason: reason}
	if end == Crashed {
		e = s.crashEnd(r)
	}
	if r.state == running {
		e.RunTime = now.Sub(r.startedAt)
	}
	if c, ok := s.sessions[r.entry]; ok && !r.sessionEnded {
		c.ended = append(c.ended, e)
		s.addReport(r.entry)
	}
	if wasOrphaned && !s.hasOrphans(now) {
		s.reportAll()
	}
}
