package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/overload"
	"dogwoodglade/core/supervise"
)

// Submit accepts or refuses a job. If the same job is already open, it continues, and its answer is also the answer to
// this submission.
func (d *Dispatcher) Submit(now time.Time, b batch.Job) []Action {
	if old, ok := d.jobs[b.ID]; ok {
		if old.answered {
			// The runs of the answered job are still being stopped, and two runs of a task must not overlap.
			old.resubmission, old.resubmittedAt = &b, now
		}
		return nil
	}
	j := d.newJob(now, b)
	canStart := d.hasCapacity(now, b)
	if !d.accept(now, j, canStart) {
		return d.takeActions()
	}
	d.jobs[j.ID] = j
	d.pool(j.Pool).queued += j.waitingWork
	if canStart {
		d.placeJob(now, j)
	}
	d.enqueue(j)
	d.place(now)
	return d.takeActions()
}

// accept decides about an arriving job. It creates the tasks of an accepted job, and answers one that is not accepted.
func (d *Dispatcher) accept(now time.Time, j *job, canStart bool) bool {
	if d.GivenUp(now, j.Job) {
		d.addTasks(now, j)
		d.answer(now, j, d.crashOutcome(now, j, d.findGivenUp(now, j)))
		return false
	}
	if reason, ok := d.admit(now, j, canStart); !ok {
		d.answer(now, j, d.notRunOutcome(now, j, reason))
		return false
	}
	d.addTasks(now, j)
	return true
}

// newJob returns a job without its tasks. They are added when it is accepted: a caller may ask for thousands with a short
// request, and refusals must cost little.
func (d *Dispatcher) newJob(now time.Time, b batch.Job) *job {
	d.sequence++
	b.Priority = min(max(b.Priority, 0), batch.MaxPriority)
	r := d.route(b.Route)
	b.Returning = r.returns(now, b)
	j := &job{
		Job: b, submittedAt: now, sequence: d.sequence, large: isLarge(b), late: b.Returning, last: b.Returning,
	}
	suspect := d.hasSuspect(now, b)
	for i, st := range b.Steps {
		s := &step{Step: st, unfinished: st.Count, pendingDependencies: len(st.After)}
		d.pool(b.Pool).observeDemand(st)
		j.unfinished += st.Count
		work := coreTime(st.Count) * predictWork(r, s)
		j.size += work
		if len(st.After) == 0 && !suspect {
			j.waitingWork += work
		}
		j.steps = append(j.steps, s)
		for _, dependency := range st.After {
			j.steps[dependency].dependents = append(j.steps[dependency].dependents, i)
		}
	}
	runTime := d.criticalPath(b)
	target := time.Duration(b.Stretch*float64(runTime)) + b.Target
	j.targetStart = now.Add(target - runTime - overheadAllowance)
	if j.targetStart.Before(now) {
		j.targetStart = now
	}
	j.turn = j.targetStart
	j.startDeadline = now.Add(lateFactor*target - runTime)
	if b.Timeout > 0 {
		j.startDeadline = earlier(j.startDeadline, now.Add(b.Timeout-runTime))
	}
	return j
}

// addTasks creates the tasks of a job. Those of the steps without dependencies wait for placement.
func (d *Dispatcher) addTasks(now time.Time, j *job) {
	suspect := d.hasSuspect(now, j.Job)
	j.waitingWork = 0
	for i, s := range j.steps {
		s.tasks = make([]*task, s.Count)
		for k := range s.tasks {
			s.tasks[k] = &task{id: batch.TaskID{Job: j.ID, Step: i, Index: k}, suspect: suspect, large: j.large}
		}
		if s.pendingDependencies == 0 {
			j.unblock(d.route(j.Route), s)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// criticalPath predicts the run time of the longest chain of dependent steps.
func (d *Dispatcher) criticalPath(j batch.Job) time.Duration {
	longest, _ := d.paths(j, -1, 0)
	return longest
}

// paths predicts the run time of the longest chain of dependent steps, and that of the longest one after a step whose run
// time is given. No step is meant by -1.
func (d *Dispatcher) paths(j batch.Job, step int, runTime time.Duration) (longest, after time.Duration) {
	r := d.route(j.Route)
	ends := make([]time.Duration, len(j.Steps))
	fromStep := make([]time.Duration, len(j.Steps)) // of the chains after the step up to the end of each; -1 if there is none
	for i, s := range j.Steps {
		own := r.predictRunTime(s.Estimate)
		fromStep[i] = -1
		if i == step {
			own, fromStep[i] = runTime, 0
		}
		var start time.Duration
		for _, dependency := range s.After {
			start = max(start, ends[dependency])
			if fromStep[dependency] >= 0 {
				fromStep[i] = max(fromStep[i], fromStep[dependency]+own)
			}
		}
		ends[i] = start + own
		longest, after = max(longest, ends[i]), max(after, fromStep[i])
	}
	return longest, after
}

// unblock makes the tasks of a step ready for placement.
func (j *job) unblock(r *routeState, s *step) {
	for _, t := range s.tasks {
		j.addWaiting(r, s, t)
	}
}

func (j *job) addWaiting(r *routeState, s *step, t *task) {
	t.state = waiting
	t.waitingWork = 0
	if !t.suspect {
		t.waitingWork = predictWork(r, s)
	}
	j.waiting = append(j.waiting, t)
	j.waitingWork += t.waitingWork
}

// coreTime is processor time in thousandths of a core times microseconds. It is an integer, so that exactly what was
// added when a task began to wait is subtracted when it starts, and an empty queue sums to 0.
type coreTime int64

func (c coreTime) seconds() float64 { return float64(c) / 1000 / float64(time.Second/time.Microsecond) }

// predictWork predicts the processor time of a task.
func predictWork(r *routeState, s *step) coreTime {
	return coreTime(r.predictRunTime(s.Estimate).Microseconds()) * coreTime(s.Demand.Processor)
}

// admit decides whether a job is accepted. A job that would wait too long is refused on arrival, so that its caller
// learns of it at once and most accepted jobs are in time.
func (d *Dispatcher) admit(now time.Time, j *job, canStart bool) (reason batch.Reason, ok bool) {
	if d.draining {
		// Another entry is likely to take the job over; see Stranded.
		return batch.Draining, d.expectsServer(now, d.pool(j.Pool))
	}
	if reason, ok := d.checkFits(j); !ok {
		if reason == batch.NoServer && d.expectsServer(now, d.pool(j.Pool)) {
			return "", true
		}
		return reason, false
	}
	return d.decide(now, j, canStart)
}

// hasCapacity reports whether all tasks of the steps without dependencies fit on the backend servers now. Waiting
// tasks are not counted: they are too large for the free capacity, or would have started.
func (d *Dispatcher) hasCapacity(now time.Time, j batch.Job) bool {
	for _, st := range j.Steps {
		if len(st.After) == 0 && !d.stepHasCapacity(now, j, st) {
			return false
		}
	}
	return true
}

// stepHasCapacity reports whether all tasks of a step fit on backend servers on which the job is in time. A backend server
// that is due for a probe has capacity for one task. Without this, an entry whose backend servers are all degraded would
// forward every job and never learn that they have recovered.
func (d *Dispatcher) stepHasCapacity(now time.Time, j batch.Job, st batch.Step) bool {
	remaining, large := st.Count, isLarge(j)
	for _, s := range d.sortedServers {
		if !s.usable() || s.info.Pool != j.Pool || (st.Label != "" && !slices.Contains(s.info.Labels, st.Label)) ||
			(s.needsSlack() && !d.inTimeOn(s, j, st) && d.hasFastServer(j.Pool, st, nil)) {
			continue
		}
		fitting := min(s.free().FitCount(st.Demand), s.places.free(large))
		if s.degraded() {
			if now.Before(s.nextProbe) || len(s.runs) > 0 {
				continue
			}
			fitting = min(fitting, 1)
		}
		remaining -= fitting
		if remaining <= 0 {
			return true
		}
	}
	return false
}

// checkFits reports whether each task of the job fits on some empty backend server, and otherwise the reason. A job is too
// large only if it also is for the backend servers of evacuated data centres.
func (d *Dispatcher) checkFits(j *job) (batch.Reason, bool) {
	hasServer := false
	for _, st := range j.steps {
		fit := false
		for _, s := range d.sortedServers {
			if !s.usable() || s.info.Pool != j.Pool {
				continue
			}
			hasServer = true
			if st.Demand.Fits(s.capacity) && (st.Label == "" || slices.Contains(s.info.Labels, st.Label)) {
				fit = true
				break
			}
		}
		if !fit {
			if !hasServer || d.fitsEvacuated(j, st.Step) {
				return batch.NoServer, false
			}
			return batch.TooLarge, false
		}
	}
	return "", true
}

func (d *Dispatcher) notRunOutcome(now time.Time, j *job, reason batch.Reason) batch.Outcome {
	p := d.pool(j.Pool)
	wait, busy := p.expectedWait(now), min(overload.DrainTime(j.waitingWork.seconds(), p.expectedCores(now)), time.Second)
	if !p.served() {
		wait, busy = unservedRetryAfter, unservedRetrySpread
	}
	j.reserved = busy
	return batch.NotRun{Reason: reason, RetryAfter: p.retries.Reserve(now, wait, busy)}
}

// ReleaseRetry gives back what a refusal has reserved for the retry of its caller. The job goes on at another entry, so that
// its caller is not told of the refusal.
func (d *Dispatcher) ReleaseRetry(a Answer) { d.pool(a.pool).retries.Release(a.reserved) }

// refuse ends a waiting job with the outcome NotRun.
func (d *Dispatcher) refuse(now time.Time, j *job, reason batch.Reason) {
	d.finish(now, j, d.notRunOutcome(now, j, reason))
}

func (d *Dispatcher) startTask(now time.Time, j *job, st *step, t *task, s *server) {
	t.state, t.server, t.stopping = placed, s, false
	s.lastStart = now
	t.percent, t.progressAge, t.startedAt = 0, 0, now
	t.release()
	t.attempt++
	j.lastServer = s
	if j.firstStart.IsZero() {
		j.firstStart = now
	}
	j.activeRuns++
	j.waitingWork -= t.waitingWork
	d.pool(j.Pool).queued -= t.waitingWork
	t.waitingWork = 0
	s.used = s.used.Plus(st.Demand)
	id := supervise.RunID{Task: t.id, Attempt: t.attempt}
	s.runs[id] = t
	s.places.take(t.large, 1)
	if st.MaxPerServer > 0 {
		if st.runsOn == nil {
			st.runsOn = map[*server]int{}
		}
		st.runsOn[s]++
	}
	if t.suspect {
		s.suspects++
		j.activeSuspects++
	}
	if s.degraded() {
		s.nextProbe = now.Add(max(probeInterval, s.probeDelay))
	}
	d.addStart(s, supervise.Start{RunID: id, Demand: st.Demand, Spec: j.Spec})
}

// runEnded processes the end of a run.
func (d *Dispatcher) runEnded(now time.Time, s *server, e supervise.RunEnd) {
	t, ok := s.runs[e.RunID]
	if !ok {
		return
	}
	delete(s.runs, e.RunID)
	j := d.jobs[t.id.Job]
	s.places.take(t.large, -1)
	if t.suspect {
		s.suspects--
		j.activeSuspects--
	}
	st := j.steps[t.id.Step]
	s.used = s.used.Minus(st.Demand)
	if st.MaxPerServer > 0 {
		st.runsOn[s]--
	}
	j.activeRuns--
	t.server = nil
	j.mayHaveRun = j.mayHaveRun || e.End != supervise.Refused
	if j.answered {
		d.forgetIfStopped(now, j)
		return
	}
	switch e.End {
	case supervise.Done:
		d.recordSuccess(now, s)
		d.observeRunTime(s, j, st, e.RunTime)
		d.taskDone(now, j, st, t)
		return
	case supervise.Failed:
		t.release() // it avoids backend servers now, or is a suspect
		d.recordFailure(now, s, t)
		t.failures++
		t.failedOn = append(t.failedOn, s)
		if t.failures >= j.Attempts {
			j.decidingAgent = s.agent
			d.finish(now, j, batch.Failed{Task: t.id, Attempts: t.failures})
			return
		}
	case supervise.Crashed:
		t.release()
		t.failedOn = append(t.failedOn, s)
		if d.crashes.recent(now, t.id).total() >= maxCrashes {
			j.decidingAgent = s.agent
			d.finish(now, j, d.crashOutcome(now, j, t))
			return
		}
	case supervise.Refused:
		s.backoffUntil = now.Add(refusalBackoff)
		if j.activeRuns == 0 && !j.mayHaveRun {
			j.firstStart = time.Time{}       // none of its tasks has run
			heap.Init(&d.pool(j.Pool).queue) // the position of the job in the queue has changed
		}
	}
	j.addWaiting(d.route(j.Route), st, t)
	d.pool(j.Pool).queued += t.waitingWork
	d.enqueue(j)
}

func (d *Dispatcher) taskDone(now time.Time, j *job, st *step, t *task) {
	t.state = done
	t.release()
	st.unfinished--
	j.unfinished--
	if j.unfinished == 0 {
		d.finish(now, j, batch.Completed{})
		return
	}
	if st.unfinished > 0 {
		return
	}
	r := d.route(j.Route)
	for _, next := range st.dependents {
		s := j.steps[next]
		s.pendingDependencies--
		if s.pendingDependencies == 0 {
			before := j.waitingWork
			j.unblock(r, s)
			d.pool(j.Pool).queued += j.waitingWork - before
		}
	}
	d.enqueue(j)
}

// Cancel ends a job that the caller cancelled or abandoned, and stops its runs.
func (d *Dispatcher) Cancel(now time.Time, id batch.JobID) []Action {
	if j, ok := d.jobs[id]; ok {
		j.resubmission = nil
		if !j.answered {
			d.finish(now, j, batch.Cancelled{})
			d.place(now)
		}
	}
	return d.takeActions()
}

// finish answers a job and stops its remaining runs.
func (d *Dispatcher) finish(now time.Time, j *job, o batch.Outcome) {
	d.answer(now, j, o)
	d.pool(j.Pool).queued -= j.waitingWork
	j.waitingWork, j.waiting = 0, nil
	j.release()
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.server != nil && t.state == placed {
				d.addStop(t.server, supervise.RunID{Task: t.id, Attempt: t.attempt})
			}
		}
	}
	d.forgetIfStopped(now, j)
}

func (d *Dispatcher) answer(now time.Time, j *job, o batch.Outcome) {
	j.answered = true
	a := Answer{
		Job: j.ID, Route: j.Route, Outcome: o, Elapsed: now.Sub(j.submittedAt),
		PredictedWait: d.PredictedWait(j.Pool), Agent: j.decidingAgent,
		Cause: j.refusal.cause, Priority: j.Priority, InFavourOf: j.refusal.inFavourOf,
		pool: j.Pool, reserved: j.reserved,
	}
	a.Waited = a.Elapsed
	if j.started() {
		a.Waited = j.firstStart.Sub(j.submittedAt)
	}
	d.actions = append(d.actions, a)
}

// forgetIfStopped removes an answered job once none of its runs remains, and admits the same job if it was submitted
// again meanwhile.
func (d *Dispatcher) forgetIfStopped(now time.Time, j *job) {
	if j.activeRuns > 0 || d.jobs[j.ID] != j {
		return
	}
	delete(d.jobs, j.ID)
	if j.resubmission == nil {
		return
	}
	b := *j.resubmission
	if b.Timeout > 0 {
		b = b.WithTimeout(b.Timeout - now.Sub(j.resubmittedAt))
	}
	next := d.newJob(now, b)
	if j.resubmission.Timeout > 0 && b.Timeout <= 0 {
		d.answer(now, next, d.notRunOutcome(now, next, batch.DeadlinePassed))
		return
	}
	if !d.accept(now, next, d.hasCapacity(now, next.Job)) {
		return
	}
	d.jobs[next.ID] = next
	d.pool(next.Pool).queued += next.waitingWork
	d.enqueue(next)
}

// Tick counts the runs of lost agents as ended once they cannot exist any more, and ends jobs that have waited too
// long.
func (d *Dispatcher) Tick(now time.Time) []Action {
	d.noteStart(now)
	d.readmit(now)
	for _, p := range d.sortedPools {
		if p.served() {
			p.servedAt = now
		}
		d.endUnserved(now, p)
		d.endTooLarge(now, p)
		d.endHopeless(now, p)
	}
	for _, s := range d.sortedServers {
		if len(s.runs) > 0 && !s.lostRunsEndBy.IsZero() && now.After(s.lostRunsEndBy) {
			d.endLostRuns(now, s)
		}
	}
	d.expireJobs(now)
	d.place(now)
	d.moveLeaving(now)
	return d.takeActions()
}

// endUnserved ends the waiting jobs of a pool that has no backend server and will not get one soon, so that their callers
// can submit them elsewhere. A draining entry does not get one again; Stranded returns its jobs that have not started.
func (d *Dispatcher) endUnserved(now time.Time, p *poolState) {
	if p.served() {
		return
	}
	expected := d.expectsServer(now, p)
	for _, j := range slices.Clone(p.queue.jobs) {
		switch {
		case j.answered || j.activeRuns > 0:
		case !j.started():
			if !expected {
				d.refuse(now, j, batch.NoServer)
			}
		case d.draining && !d.hasServerFor(j):
			d.finish(now, j, batch.Unknown{Reason: batch.Draining})
		case !d.draining && !expected && !d.waitsForReturn(now, p, j):
			d.finish(now, j, batch.Unknown{Reason: batch.NoServer})
		}
	}
}

// waitsForReturn reports whether a started job waits although its pool has no usable backend server: that of an evacuated
// data centre is connected, and the evacuation may be taken back, or an agent of another data centre may choose this home,
// before the caller's time-out ends the job. Without a time-out, it waits as long as such agents need.
func (d *Dispatcher) waitsForReturn(now time.Time, p *poolState, j *job) bool {
	return d.hasEvacuatedServer(p) && (j.Timeout > 0 || now.Sub(d.evacuationsChangedAt) < evacuationGrace)
}

// hasServerFor reports whether tasks of a job may be started on any backend server.
func (d *Dispatcher) hasServerFor(j *job) bool {
	return slices.ContainsFunc(d.sortedServers, func(s *server) bool { return d.usableFor(s, j) && s.info.Pool == j.Pool })
}

// Stranded returns the jobs without a started task that another entry can start sooner: those of pools without a usable
// backend server at this entry, those too large for the backend servers, and all if the dispatcher is draining.
func (d *Dispatcher) Stranded() []batch.JobID {
	var stranded []batch.JobID
	for _, p := range d.sortedPools {
		for _, j := range p.queue.jobs {
			elsewhere := !p.served() || d.draining || !j.tooLargeSince.IsZero()
			if elsewhere && !j.answered && !j.started() {
				stranded = append(stranded, j.ID)
			}
		}
	}
	return stranded
}

// Withdraw removes a job without an answer, so that another entry can run it. It reports false if a task of the job may
// have been started.
func (d *Dispatcher) Withdraw(id batch.JobID) bool {
	j, ok := d.jobs[id]
	if !ok || j.answered || j.started() || j.activeRuns > 0 || j.mayHaveRun {
		return false
	}
	j.answered = true
	d.pool(j.Pool).queued -= j.waitingWork
	j.waitingWork, j.waiting = 0, nil
	j.release()
	delete(d.jobs, id)
	return true
}

// maxReturningWait limits how long a returning caller waits for its first start. It was admitted to a queue that was
// shorter than that, and what is left of its time is better spent on another attempt.
const maxReturningWait = 200 * time.Millisecond

// endHopeless refuses the waiting jobs of returning callers that would probably expire, because jobs that can be in time
// keep arriving. Their callers need not wait for that.
func (d *Dispatcher) endHopeless(now time.Time, p *poolState) {
	wait := p.expectedWait(now)
	for _, j := range slices.Clone(p.queue.jobs) {
		if !j.Returning || j.answered || j.started() {
			continue
		}
		expires := p.served() && overload.ExpiresLate(wait, j.startDeadline.Sub(now))
		if expires || now.Sub(j.submittedAt) >= maxReturningWait {
			j.refusal = refusalCause{cause: overload.AlreadyLate}
			d.refuse(now, j, batch.Overloaded)
		}
	}
}

// expireJobs ends the jobs whose answer would come too late for the caller.
func (d *Dispatcher) expireJobs(now time.Time) {
	var expired []*job
	for _, p := range d.sortedPools {
		for _, j := range p.queue.jobs {
			if !j.answered && !j.started() && now.After(j.startDeadline) {
				expired = append(expired, j)
			}
		}
	}
	for _, j := range d.jobs {
		if !j.answered && j.started() && j.timedOut(now) {
			expired = append(expired, j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, j := range expired {
		if j.started() {
			d.finish(now, j, batch.Unknown{Reason: batch.DeadlinePassed})
		} else {
			d.refuse(now, j, batch.DeadlinePassed)
		}
	}
}
