package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

const (
	// leaveSlack is how long before its backend server leaves a run has to end, so that its end is still listed.
	leaveSlack = 20 * time.Millisecond
	// moveTime is the time from the decision to move a run until its task starts elsewhere: the stop and the messages.
	moveTime = supervise.StopTime + overheadAllowance
)

// RunsMoved reports that runs are stopped because their backend server leaves before they can end.
type RunsMoved struct {
	Agent    string
	LeavesIn time.Duration
	Moved    int // runs that are stopped, to start them elsewhere
	Kept     int // other runs there: they end in time, or cannot be served elsewhere
}

func (RunsMoved) action() {}

// observeLeaving records when the backend server leaves. The time counts from the agent's clock in the report, so that a
// report that was delayed extends nothing.
func (s *server) observeLeaving(now time.Time, r supervise.Report) {
	delay := now.Sub(supervise.ClockTime(r.Clock))
	if !s.delayKnown || delay < s.leastDelay {
		s.delayKnown, s.leastDelay = true, delay
	}
	switch {
	case !r.Server.Leaving:
		s.leavesAt = time.Time{}
	case r.LeavesIn > 0:
		s.leavesAt = supervise.ClockTime(r.Clock + r.LeavesIn).Add(s.leastDelay)
	}
}

// leavesSoon reports whether the backend server has runs and has announced how long they may continue at least.
func (s *server) leavesSoon(now time.Time) bool {
	return s.connected && len(s.runs) > 0 && now.Before(s.leavesAt)
}

// moveLeaving stops the runs on leaving backend servers that cannot end there, if they can be started elsewhere at once and
// their jobs can still be served. The others are left: when capacity becomes free, they are considered again.
func (d *Dispatcher) moveLeaving(now time.Time) {
	var moving []movable
	var room map[*server]resource.Amount
	for _, s := range d.sortedServers {
		if !s.leavesSoon(now) {
			continue
		}
		if room == nil {
			room = d.roomSoon(now)
		}
		moving = append(moving, d.movableRuns(now, s, room)...)
	}
	// The job that has to start first comes first.
	slices.SortFunc(moving, func(a, b movable) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), a.id.Task.Compare(b.id.Task))
	})
	moved := map[*server]int{}
	for _, m := range moving {
		s := m.task.server
		if reserve(room, m) {
			d.moveRun(s, m.job, m.task, m.id)
			moved[s]++
		}
	}
	for _, s := range d.sortedServers {
		if n := moved[s]; n > 0 {
			d.actions = append(d.actions, RunsMoved{
				Agent: s.agent, LeavesIn: s.leavesAt.Sub(now), Moved: n, Kept: len(s.runs) - n,
			})
		}
	}
}

// movable is a run that cannot end before its backend server leaves.
type movable struct {
	id          supervise.RunID
	job         *job
	step        *step
	task        *task
	latestStart time.Time // of a new run that can still serve the job
}

// movableRuns returns the runs on a leaving backend server that cannot end there and whose jobs can still be served. It
// reserves room for those that are being moved already.
func (d *Dispatcher) movableRuns(now time.Time, s *server, room map[*server]resource.Amount) []movable {
	var found []movable
	for _, id := range slices.SortedFunc(maps.Keys(s.runs), compareRuns) {
		t, j := s.runs[id], d.jobs[id.Task.Job]
		if j.answered || t.state != placed {
			continue
		}
		m := movable{id: id, job: j, step: j.steps[id.Task.Step], task: t}
		if t.stopping {
			reserve(room, m)
			continue
		}
		runTime := d.leastRunTime(s, t)
		m.latestStart = j.usefulUntil(runTime).Add(-runTime)
		endsInTime := !t.startedAt.Add(runTime + leaveSlack).After(s.leavesAt)
		if !endsInTime && !now.Add(moveTime).After(m.latestStart) && len(t.movedFrom) < maxRestarts {
			found = append(found, m)
		}
	}
	return found
}

func compareRuns(a, b supervise.RunID) int {
	return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// leastRunTime predicts the run time of a task in its present run, by the most favourable reading of its progress, which
// is in whole per cent. A run near the limit is thus left there until its progress is clear, as stopping it wastes work.
// Without progress, the estimate decides.
func (d *Dispatcher) leastRunTime(s *server, t *task) time.Duration {
	if t.percent > 0 {
		return time.Duration(float64(t.progressAge) * 100 / float64(t.percent+1))
	}
	j := d.jobs[t.id.Job]
	return time.Duration(float64(d.route(j.Route).predictRunTime(j.steps[t.id.Step].Estimate)) * s.slowdown())
}

// usefulUntil returns until when the answer of a job whose longest task takes the given time is of use to its caller.
func (j *job) usefulUntil(runTime time.Duration) time.Time {
	target := time.Duration(j.Stretch*float64(runTime)) + j.Target
	until := j.submittedAt.Add(lateFactor * target)
	if j.Timeout > 0 {
		until = earlier(until, j.submittedAt.Add(j.Timeout))
	}
	return until
}

// roomSoon returns the capacity of each usable backend server that is free when a run that is stopped now has ended. The
// tasks of moved runs come first in the queue.
func (d *Dispatcher) roomSoon(now time.Time) map[*server]resource.Amount {
	room := map[*server]resource.Amount{}
	for _, s := range d.sortedServers {
		if !s.usable() || s.degraded() {
			continue
		}
		free := s.free()
		for id, t := range s.runs {
			if t.stopping || !t.startedAt.Add(d.leastRunTime(s, t)).After(now.Add(moveTime)) {
				free = free.Plus(d.jobs[id.Task.Job].steps[id.Task.Step].Demand)
			}
		}
		room[s] = free
	}
	return room
}

// reserve takes the room for a task from one of the backend servers that it may run on. It reports false if none has room.
func reserve(room map[*server]resource.Amount, m movable) bool {
	var best *server
	for s, free := range room {
		if s.info.Pool != m.job.Pool || !m.step.Demand.Fits(free) || slices.Contains(m.task.failedOn, s) ||
			(m.step.Label != "" && !slices.Contains(s.info.Labels, m.step.Label)) {
			continue
		}
		if best == nil || s.agent < best.agent {
			best = s
		}
	}
	if best == nil {
		return false
	}
	room[best] = room[best].Minus(m.step.Demand)
	return true
}
