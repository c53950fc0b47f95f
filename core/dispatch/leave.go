package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dogwoodglade/core/supervise"
)

const (
	// leaveSlack is how long before its backend server leaves a run has to end, so that its end is still listed.
	leaveSlack = 20 * time.Millisecond
	// moveTime is the time from the decision to move a run until its task starts elsewhere: the stop and the messages.
	moveTime = supervise.StopTime + overheadAllowance
	// progressTime is how long after its start request a run has shown progress if it is going to take less than 20 s:
	// backend servers tell it every 150 ms at least, and an agent reports as often.
	progressTime = 300 * time.Millisecond
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
func (d *Dispatcher) observeLeaving(now time.Time, s *server, r supervise.Report) {
	s.clockDelay = s.clockDelay.With(now, now.Sub(supervise.ClockTime(r.Clock)))
	switch {
	case !r.Server.Leaving:
		d.setLeavesAt(s, time.Time{})
	case r.LeavesIn > 0:
		d.setLeavesAt(s, supervise.ClockTime(r.Clock+r.LeavesIn).Add(s.clockDelay.Least()))
	}
}

// setLeavesAt sets when a backend server leaves; zero if it does not or that is not known.
func (d *Dispatcher) setLeavesAt(s *server, at time.Time) {
	s.leavesAt = at
	if at.IsZero() {
		delete(d.leaving, s)
	} else {
		d.leaving[s] = struct{}{}
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
	for s := range d.leaving {
		if s.leavesSoon(now) {
			moving = append(moving, d.movableRuns(now, s)...)
		}
	}
	if len(moving) == 0 {
		return
	}
	// The job that has to start first comes first.
	slices.SortFunc(moving, func(a, b movable) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), a.id.Task.Compare(b.id.Task))
	})
	rooms := d.roomSoon(now)
	moved := map[*server]int{}
	for _, m := range moving {
		if target := d.chooseRoom(now, rooms, m); target != nil {
			r := rooms[target]
			r.free = r.free.Minus(m.step.Demand)
			r.places.take(m.job.large, 1)
			rooms[target] = r
			target.reserve(m.task, m.step.Demand)
			moved[m.task.server]++
			m.task.stopping = true
			d.addStop(m.task.server, m.id)
			d.bringForward(m.job)
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

// bringForward puts a job with a moved task before the jobs that arrived later, also if it can no longer meet its target:
// its target start is that of its submission.
func (d *Dispatcher) bringForward(j *job) {
	if !j.late {
		return
	}
	j.late, j.last, j.turn = false, false, j.targetStart
	if j.queued {
		heap.Init(&d.pool(j.Pool).queue)
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

// movableRuns returns the runs on a leaving backend server that cannot end there and whose jobs can still be served.
func (d *Dispatcher) movableRuns(now time.Time, s *server) []movable {
	var found []movable
	for id, t := range s.runs {
		j := d.jobs[id.Task.Job]
		if j.answered || t.state != placed || t.stopping || (t.suspect && j.activeSuspects > 1) || d.awaitsCrash(j) {
			continue
		}
		m := movable{id: id, job: j, step: j.steps[id.Task.Step], task: t}
		runTime := d.leastRunTime(s, t)
		m.latestStart = d.latestUsefulStart(j, id.Task.Step, runTime)
		endsInTime := !t.startedAt.Add(runTime + leaveSlack).After(s.leavesAt)
		if !endsInTime && !now.Add(moveTime).After(m.latestStart) && !awaitsProgress(now, t, m.latestStart) {
			found = append(found, m)
		}
	}
	return found
}

// awaitsProgress reports whether a run without progress may show some before it has to be moved. Until then only the
// estimate tells how long it takes.
func awaitsProgress(now time.Time, t *task, latestStart time.Time) bool {
	end := t.startedAt.Add(progressTime)
	return t.percent == 0 && now.Before(end) && !end.Add(moveTime).After(latestStart)
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

// latestUsefulStart returns when a task of a step whose run takes the given time has to start for the answer of the job to
// be of use to its caller. The later steps take their time as well.
func (d *Dispatcher) latestUsefulStart(j *job, step int, runTime time.Duration) time.Time {
	longest, after := d.paths(j.Job, step, runTime)
	target := time.Duration(j.Stretch*float64(longest)) + j.Target
	until := j.submittedAt.Add(lateFactor * target)
	if j.Timeout > 0 {
		until = earlier(until, j.submittedAt.Add(j.Timeout))
	}
	return until.Add(-runTime - after)
}
