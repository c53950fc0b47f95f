package batchentry

import (
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/supervise"
)

// log starts a log line for an event. docs/events.md lists the event numbers.
func (e *Entry) log(n event.Number) *zerolog.Event {
	return e.options.Logger.Info().Int("Number", int(n)).Str("Event", n.String())
}

// logAnswer logs the outcome of a job that was dispatched here, and counts it.
func (e *Entry) logAnswer(a dispatch.Answer) {
	number := event.JobAnswered
	if _, ok := a.Outcome.(batch.NotRun); ok {
		number = event.JobRefused
	}
	line := e.log(number).Str("Job", string(a.Job)).Str("Route", a.Route).Str("State", batch.OutcomeName(a.Outcome)).
		Dur("Waited", a.Waited).Dur("Taken", a.Elapsed).Dur("Queue", a.PredictedWait).Uint64("Version", e.config.Version)
	if a.Agent != "" {
		line = line.Str("Peer", a.Agent)
	}
	if a.Cause != "" {
		line = line.Str("Reason", string(a.Cause)).Int("Priority", a.Priority)
		e.metrics.recordRefusal(a.Cause, a.Priority)
	}
	if a.InFavourOf != "" {
		line = line.Str("InFavourOf", string(a.InFavourOf))
	}
	if o, ok := a.Outcome.(batch.Failed); ok {
		line = line.Int("Step", o.Task.Step).Int("Task", o.Task.Index).Int("Attempt", o.Attempts)
		if o.Crashes > 0 {
			line = line.Str("Reason", string(batch.Crashes)).Int("Count", o.Crashes)
		}
	}
	if givenUp(a.Outcome) {
		e.metrics.givenUp.Inc(1)
	}
	line.Send()
	e.metrics.recordOutcome(a.Outcome, a.Elapsed)
	e.metrics.waited.Update(a.Waited.Microseconds())
}

// givenUp reports whether a job was given up because backend servers crashed under a task.
func givenUp(o batch.Outcome) bool {
	switch o := o.(type) {
	case batch.Failed:
		return o.Crashes > 0
	case batch.NotRun:
		return o.Reason == batch.Crashes
	case batch.Unknown:
		return o.Reason == batch.Crashes
	}
	return false
}

// logUnknownOutcome logs a job that is answered as Unknown. Its tasks may continue to run elsewhere for a short time.
func (e *Entry) logUnknownOutcome(now time.Time, c *call, reason batch.Reason) {
	o := batch.Unknown{Reason: reason}
	e.log(event.JobAnswered).Str("Job", string(c.job.ID)).Str("Route", c.job.Route).
		Str("State", batch.OutcomeName(o)).Str("Peer", c.forwardedTo).Dur("Taken", now.Sub(c.arrived)).Send()
	e.metrics.recordOutcome(o, now.Sub(c.arrived))
}

// logHealthChanged logs that a backend server is degraded and receives only probe tasks, or that it has recovered, with
// the measurements that led to this.
func (e *Entry) logHealthChanged(h dispatch.HealthChanged) {
	number := event.BackendRestored
	if h.Degraded {
		number = event.BackendEjected
	}
	e.log(number).Str("Peer", h.Agent).Float64("Slowness", h.Slowdown).Float64("Failures", h.FailureShare).
		Int("InARow", h.ConsecutiveFailures).Send()
}

// logRunsMoved logs the runs that are stopped because their backend server leaves before they can end.
func (e *Entry) logRunsMoved(m dispatch.RunsMoved) {
	e.log(event.RunsMoved).Str("Peer", m.Agent).Dur("Left", m.LeavesIn).Int("Count", m.Moved).Int("Kept", m.Kept).Send()
	e.metrics.moved.Inc(int64(m.Moved))
}

// logCrash logs the tasks that are blamed for the crash of a backend server.
func (e *Entry) logCrash(c dispatch.CrashesBlamed) {
	for _, x := range c.Blamed {
		e.log(event.TaskBlamed).Str("Job", string(x.Task.Job)).Int("Step", x.Task.Step).Int("Task", x.Task.Index).
			Str("Peer", c.Agent).Int("Count", x.Count).Int("Uncertain", x.Uncertain).Send()
	}
	e.metrics.crashes.Inc(1)
}

// logStarts logs one line for each job whose tasks are sent to an agent.
func (e *Entry) logStarts(action *dispatch.StartRuns) {
	for i, groupStart := 1, 0; i <= len(action.Starts); i++ {
		first := action.Starts[groupStart]
		if i < len(action.Starts) && action.Starts[i].Task.Job == first.Task.Job {
			continue
		}
		e.log(event.TaskSent).Str("Job", string(first.Task.Job)).Int("Step", first.Task.Step).
			Int("Task", first.Task.Index).Int("Attempt", first.Attempt).Int("Count", i-groupStart).
			Str("Peer", action.Agent).Dur("Queue", e.predictedWait(first.Task.Job)).Send()
		groupStart = i
	}
}

// predictedWait returns the predicted wait in an open job's pool, or 0 if the job is not open.
func (e *Entry) predictedWait(id batch.JobID) time.Duration {
	if c, ok := e.calls[id]; ok {
		return e.dispatcher.PredictedWait(c.job.Pool)
	}
	return 0
}

// logForward logs that a job was forwarded to another entry, with the predicted wait at this entry and the age of the
// other one's load, which explain the choice.
func (e *Entry) logForward(c *call) {
	now := e.options.Now()
	e.log(event.JobForwarded).Str("Job", string(c.job.ID)).Str("Route", c.job.Route).Str("Peer", c.forwardedTo).
		Dur("Queue", e.dispatcher.PredictedWait(c.job.Pool)).Dur("PeerAge", now.Sub(e.entries[c.forwardedTo].lastLoad)).
		Uint64("Version", c.job.Version).Send()
	e.metrics.forwarded.Inc(1)
}

// logRunEnd logs a run that did not succeed.
func (e *Entry) logRunEnd(agent string, x supervise.RunEnd) {
	number := event.TaskEnded
	switch x.End {
	case supervise.Done:
		return
	case supervise.Lost, supervise.Crashed:
		number = event.TaskLost
	case supervise.Refused:
		number = event.TaskRefused
	case supervise.Failed, supervise.Stopped:
	}
	e.log(number).Str("Job", string(x.Task.Job)).Int("Step", x.Task.Step).Int("Task", x.Task.Index).
		Int("Attempt", x.Attempt).Str("Peer", agent).Str("State", string(x.End)).Str("Reason", x.Reason).
		Dur("RunTime", x.RunTime).Send()
}

// logRefusedByPeer logs a job that another entry refused and that is reassigned.
func (e *Entry) logRefusedByPeer(c *call, reason batch.Reason) {
	e.log(event.JobRefused).Str("Job", string(c.job.ID)).Str("Peer", c.forwardedTo).Str("State", string(reason)).Send()
}

// LogRejection logs and counts a request that was rejected before a job was created.
func (e *Entry) LogRejection(id, route, reason string) {
	e.log(event.JobRefused).Str("Job", id).Str("Route", route).Str("State", reason).Send()
	e.metrics.rejected.Inc(1)
}

// LogRouteNotFound logs and counts a request that no route of a version of the configuration matches.
func (e *Entry) LogRouteNotFound(host string, version uint64) {
	e.log(event.RouteNotFound).Str("Host", host).Uint64("Version", version).Send()
	e.metrics.rejected.Inc(1)
}
