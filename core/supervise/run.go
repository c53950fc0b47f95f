package supervise

import "time"

// Order starts runs of tasks for an entry.
func (s *Supervisor) Order(now time.Time, entry string, starts []Start) []Action {
	c, ok := s.sessions[entry]
	if !ok {
		return nil
	}
	free := s.server.Capacity.Minus(s.inUse(""))
	for _, x := range starts {
		refusal := ""
		switch _, exists := s.runs[x.Task]; {
		case !c.alive(now):
			refusal = "SessionLost"
		case !s.known || s.gone || !s.checked || s.server.Leaving || s.draining:
			refusal = "NoServer"
		case s.orphaned():
			refusal = "Orphans"
		case exists:
			refusal = "Running"
		case !x.Demand.Fits(free):
			refusal = NoRoom.String()
		}
		if refusal != "" {
			c.ended = append(c.ended, Ended{RunID: x.RunID, End: Refused, Reason: refusal})
			s.report(entry)
			continue
		}
		free = free.Minus(x.Demand)
		r := &run{Start: x, entry: entry, number: s.numbers[x.Task].number + 1}
		s.runs[x.Task] = r
		s.start(now, r)
	}
	return s.take()
}

func (s *Supervisor) start(now time.Time, r *run) {
	r.state, r.token = starting, s.token
	s.actions = append(s.actions, CallStart{
		Server: s.server.ID, Task: r.Task, Number: r.number, Spec: r.Spec,
		Until: s.lease(now), Token: s.token, entry: r.entry, run: r,
	})
}

// StartAnswered takes the answer to a CallStart. The clock is zero if it was not read.
func (s *Supervisor) StartAnswered(now time.Time, c CallStart, result StartResult, clock time.Duration) []Action {
	if clock > 0 && c.Server == s.server.ID {
		s.readClock(now, clock)
	}
	r := c.run
	if s.runs[r.Task] != r || r.number != c.Number || r.token != c.Token || r.state != starting {
		return nil
	}
	switch result {
	case Accepted:
		s.started(now, r)
	case Unanswered:
		r.state = unclear
		if r.token == s.token {
			s.raiseToken(now)
		}
		s.actions = append(s.actions, CallHold{Hold: s.hold(now, 0)})
	case Fenced, Late:
		s.restart(now, r, result, r.number)
	case Outdated:
		s.restart(now, r, result, r.number+numberStep)
	default:
		s.end(now, r, Refused, result.String())
	}
	return s.take()
}

// restart repeats a start that was refused for a reason that the agent can mend. An agent that was frozen may get here
// before it has ended the session of the order.
func (s *Supervisor) restart(now time.Time, r *run, result StartResult, number int) {
	r.restarts++
	c, ok := s.sessions[r.entry]
	if r.stopping || r.restarts > maxRestart || s.orphaned() || !ok || !c.alive(now) {
		s.end(now, r, Refused, result.String())
		return
	}
	if result == Fenced && r.token == s.token {
		s.raiseToken(now)
	}
	r.number = number
	s.start(now, r)
}

func (s *Supervisor) started(now time.Time, r *run) {
	r.state, r.startedAt = running, now
}

// Stop stops runs of an entry.
func (s *Supervisor) Stop(now time.Time, entry string, ids []RunID) []Action {
	for _, id := range ids {
		if r, ok := s.runs[id.Task]; ok && r.entry == entry && r.Attempt == id.Attempt {
			s.stop(now, r)
		}
	}
	return s.take()
}

func (s *Supervisor) stop(now time.Time, r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	s.callStop(now, r)
}

func (s *Supervisor) callStop(now time.Time, r *run) {
	r.stopAt = now
	s.actions = append(s.actions, CallStop{Server: s.server.ID, Task: r.Task, Number: r.number, Token: s.token})
}

// repeatStops repeats the stops of runs whose end is not listed. An answered stop normally shows within
// StopTime, so it is repeated only if the answer was to an earlier start of the run.
func (s *Supervisor) repeatStops(now time.Time) {
	for _, r := range s.sorted() {
		if r.stopping && now.Sub(r.stopAt) >= stopRetry {
			s.callStop(now, r)
		}
	}
}

// StopAnswered takes the answer to a CallStop. A stop that was not answered is repeated.
func (s *Supervisor) StopAnswered(now time.Time, c CallStop, answered bool, clock time.Duration) []Action {
	if clock > 0 && c.Server == s.server.ID {
		s.readClock(now, clock)
	}
	if !answered && c.Server == s.server.ID && c.Token == s.token {
		s.raiseToken(now)
	}
	return s.take()
}

// end forgets a run and reports it to its entry.
func (s *Supervisor) end(now time.Time, r *run, how End, reason string) {
	wasOrphaned := r.sessionLost
	delete(s.runs, r.Task)
	s.numbers[r.Task] = numberOf{number: r.number, at: now}
	e := Ended{RunID: r.RunID, End: how, Reason: reason}
	if r.state == running {
		e.RunTime = now.Sub(r.startedAt)
	}
	if c, ok := s.sessions[r.entry]; ok && !r.sessionLost {
		c.ended = append(c.ended, e)
		s.report(r.entry)
	}
	if wasOrphaned && !s.orphaned() {
		s.reportAll()
	}
}
