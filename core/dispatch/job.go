package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/supervise"
)

// Submit takes a job. A job that is open already goes on; the caller waits for its answer.
func (d *Dispatcher) Submit(now time.Time, b batch.Job) []Action {
	if old, ok := d.jobs[b.ID]; ok {
		if old.answered {
			// Its runs are being stopped. Two runs of a task must not overlap.
			old.next = &b
		}
		return nil
	}
	j := d.newJob(now, b)
	room := d.hasRoom(now, b)
	if reason, ok := d.admit(now, j, room); !ok {
		d.answer(now, j, d.notRun(now, j, reason))
		return d.take()
	}
	d.jobs[j.ID] = j
	d.pool(j.Pool).queued += j.work
	if room {
		d.placeJob(now, j)
	}
	d.enqueue(j)
	d.place(now)
	return d.take()
}

func (d *Dispatcher) newJob(now time.Time, b batch.Job) *job {
	d.sequence++
	j := &job{Job: b, arrived: now, sequence: d.sequence}
	r := d.route(b.Route)
	for i, st := range b.Steps {
		s := &step{Step: st, open: st.Count, need: len(st.After)}
		s.tasks = make([]*taskRun, st.Count)
		d.pool(b.Pool).observeDemand(st)
		for k := range s.tasks {
			s.tasks[k] = &taskRun{id: batch.TaskID{Job: b.ID, Step: i, Index: k}}
		}
		j.open += st.Count
		j.steps = append(j.steps, s)
		for _, before := range st.After {
			j.steps[before].then = append(j.steps[before].then, i)
		}
	}
	chain := d.chain(j)
	aim := time.Duration(b.Stretch*float64(chain)) + b.Target
	j.start = now.Add(aim - chain - overheadAllowance)
	if j.start.Before(now) {
		j.start = now
	}
	j.limit = now.Add(lateFactor*aim - chain)
	if b.Patience > 0 {
		j.limit = earlier(j.limit, now.Add(b.Patience-chain))
	}
	for _, s := range j.steps {
		if s.need == 0 {
			j.release(r, s)
		}
	}
	return j
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// chain predicts the run time of the longest chain of steps.
func (d *Dispatcher) chain(j *job) time.Duration {
	r := d.route(j.Route)
	ends := make([]time.Duration, len(j.steps))
	var longest time.Duration
	for i, s := range j.steps {
		var from time.Duration
		for _, before := range s.After {
			from = max(from, ends[before])
		}
		ends[i] = from + r.runTime(s.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// release lets the tasks of a step be placed.
func (j *job) release(r *routeState, s *step) {
	for _, t := range s.tasks {
		j.wait(r, s, t)
	}
}

func (j *job) wait(r *routeState, s *step, t *taskRun) {
	t.state = waiting
	t.work = workOf(r, s)
	j.waiting = append(j.waiting, t)
	j.work += t.work
}

// coreTime is processor time in thousandths of a core times nanoseconds. It is an integer, so that what was added
// when tasks began to wait is what is taken away when they start, and an empty queue is exactly 0.
type coreTime int64

func (c coreTime) seconds() float64 { return float64(c) / 1000 / float64(time.Second) }

// workOf predicts the processor time of a task.
func workOf(r *routeState, s *step) coreTime {
	return coreTime(r.runTime(s.Estimate)) * coreTime(s.Demand.Processor)
}

// admit decides whether a job is taken. A job is refused on arrival if it would have to wait too long, so that
// its caller learns it at once; work that was taken is then mostly in time.
func (d *Dispatcher) admit(now time.Time, j *job, room bool) (reason batch.Reason, ok bool) {
	if d.draining {
		return batch.Draining, false
	}
	if reason, ok := d.fits(j); !ok {
		if reason == batch.NoServer && d.starting(now) {
			return "", true
		}
		return reason, false
	}
	if room {
		return "", true
	}
	wait := d.Wait(j.Pool)
	if now.Add(wait).After(j.limit) {
		return batch.Overloaded, false
	}
	r := d.route(j.Route)
	weight := r.shedWeight(j.Priority, j.work.seconds())
	if share := shedShare(wait) * weight; share > 0 && r.shed(share) {
		return batch.Overloaded, false
	}
	if wait > shedFrom && d.waitFor(j) > time.Duration(slackShare*float64(j.start.Sub(now))) {
		return batch.Overloaded, false
	}
	return "", true
}

// hasRoom reports whether all tasks that may start now fit on the backend servers, beside those that wait. The
// tasks that wait are then too large for the room that is left.
func (d *Dispatcher) hasRoom(now time.Time, j batch.Job) bool {
	for _, st := range j.Steps {
		if len(st.After) == 0 && !d.roomFor(now, j.Pool, st) {
			return false
		}
	}
	return true
}

// roomFor reports whether all tasks of a step fit on the backend servers of a pool. One that is due for a probe has
// room for one task; without that, an entry whose backend servers are all bad would pass on every job, and never learn
// that they have recovered.
func (d *Dispatcher) roomFor(now time.Time, pool string, st batch.Step) bool {
	left := st.Count
	for _, s := range d.order {
		if !s.usable() || s.info.Pool != pool || (st.Label != "" && !slices.Contains(s.info.Labels, st.Label)) {
			continue
		}
		holds := s.free().Holds(st.Demand)
		if s.bad() {
			if now.Before(s.probeAt) || len(s.runs) > 0 {
				continue
			}
			holds = min(holds, 1)
		}
		left -= holds
		if left <= 0 {
			return true
		}
	}
	return false
}

// waitFor predicts how long a job waits behind the work that goes first.
func (d *Dispatcher) waitFor(j *job) time.Duration {
	var ahead coreTime
	p := d.pool(j.Pool)
	for _, other := range p.queue.jobs {
		if !other.answered && !other.start.After(j.start) {
			ahead += other.work
		}
	}
	return waitOf(ahead.seconds(), p.cores)
}

// fits reports whether some backend server could run each task of the job if it were empty.
func (d *Dispatcher) fits(j *job) (batch.Reason, bool) {
	known := false
	for _, st := range j.steps {
		fit := false
		for _, s := range d.order {
			if !s.usable() || s.info.Pool != j.Pool {
				continue
			}
			known = true
			if st.Demand.Fits(s.capacity) && (st.Label == "" || slices.Contains(s.info.Labels, st.Label)) {
				fit = true
				break
			}
		}
		if !fit {
			if !known {
				return batch.NoServer, false
			}
			return batch.TooLarge, false
		}
	}
	return "", true
}

func (d *Dispatcher) notRun(now time.Time, j *job, reason batch.Reason) batch.Outcome {
	p := d.pool(j.Pool)
	busy := min(waitOf(j.work.seconds(), p.cores), time.Second)
	return batch.NotRun{Reason: reason, RetryAfter: p.retry.after(now, min(p.wait(), maxRetryAfter), busy)}
}

// refuse gives up a job that waits.
func (d *Dispatcher) refuse(now time.Time, j *job, reason batch.Reason) {
	d.finish(now, j, d.notRun(now, j, reason))
}

func (d *Dispatcher) startTask(now time.Time, j *job, st *step, t *taskRun, s *server) {
	t.state, t.server, t.stopping = placed, s, false
	t.attempt++
	j.last = s
	if j.first.IsZero() {
		j.first = now
	}
	j.runs++
	j.work -= t.work
	d.pool(j.Pool).queued -= t.work
	t.work = 0
	s.used = s.used.Plus(st.Demand)
	id := supervise.RunID{Task: t.id, Attempt: t.attempt}
	s.runs[id] = t
	if s.bad() {
		s.probeAt = now.Add(max(probeInterval, s.quarantine))
	}
	d.orderStart(s, supervise.Start{RunID: id, Demand: st.Demand, Spec: j.Spec})
}

// ended takes the end of a run into account.
func (d *Dispatcher) ended(now time.Time, s *server, e supervise.Ended) {
	t, ok := s.runs[e.RunID]
	if !ok {
		return
	}
	delete(s.runs, e.RunID)
	j := d.jobs[t.id.Job]
	st := j.steps[t.id.Step]
	s.used = s.used.Minus(st.Demand)
	j.runs--
	t.server = nil
	j.begun = j.begun || e.End != supervise.Refused
	if j.answered {
		d.forget(now, j)
		return
	}
	switch e.End {
	case supervise.Done:
		d.succeeded(now, s)
		d.learn(s, j, st, e.RunTime)
		d.taskDone(now, j, st, t)
		return
	case supervise.Failed:
		d.failed(now, s, t)
		t.failures++
		t.failedOn = append(t.failedOn, s)
		if t.failures >= j.Attempts {
			j.agent = s.agent
			d.finish(now, j, batch.Failed{Task: t.id, Attempts: t.failures})
			return
		}
	case supervise.Refused:
		s.restUntil = now.Add(refusalRest)
		if j.runs == 0 && !j.begun {
			j.first = time.Time{}            // nothing of it has run
			heap.Init(&d.pool(j.Pool).queue) // the order of the job changed
		}
	}
	j.wait(d.route(j.Route), st, t)
	d.pool(j.Pool).queued += t.work
	d.enqueue(j)
}

func (d *Dispatcher) taskDone(now time.Time, j *job, st *step, t *taskRun) {
	t.state = done
	st.open--
	j.open--
	if j.open == 0 {
		d.finish(now, j, batch.Completed{})
		return
	}
	if st.open > 0 {
		return
	}
	r := d.route(j.Route)
	for _, next := range st.then {
		s := j.steps[next]
		s.need--
		if s.need == 0 {
			before := j.work
			j.release(r, s)
			d.pool(j.Pool).queued += j.work - before
		}
	}
	d.enqueue(j)
}

// Cancel gives up a job whose caller cancelled it or went away, and stops its runs.
func (d *Dispatcher) Cancel(now time.Time, id batch.JobID) []Action {
	if j, ok := d.jobs[id]; ok {
		j.next = nil
		if !j.answered {
			d.finish(now, j, batch.Cancelled{})
			d.place(now)
		}
	}
	return d.take()
}

// finish answers a job and stops what still runs of it.
func (d *Dispatcher) finish(now time.Time, j *job, o batch.Outcome) {
	d.answer(now, j, o)
	d.pool(j.Pool).queued -= j.work
	j.work, j.waiting = 0, nil
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.server != nil && t.state == placed {
				d.orderStop(t.server, supervise.RunID{Task: t.id, Attempt: t.attempt})
			}
		}
	}
	d.forget(now, j)
}

func (d *Dispatcher) answer(now time.Time, j *job, o batch.Outcome) {
	j.answered = true
	a := Answer{
		Job: j.ID, Route: j.Route, Outcome: o, Taken: now.Sub(j.arrived),
		Queue: d.Wait(j.Pool), Agent: j.agent,
	}
	a.Waited = a.Taken
	if j.started() {
		a.Waited = j.first.Sub(j.arrived)
	}
	d.actions = append(d.actions, a)
}

// forget drops an answered job when none of its runs remains, and takes its resubmission.
func (d *Dispatcher) forget(now time.Time, j *job) {
	if j.runs > 0 || d.jobs[j.ID] != j {
		return
	}
	delete(d.jobs, j.ID)
	if j.next == nil {
		return
	}
	next := d.newJob(now, *j.next)
	if reason, ok := d.admit(now, next, d.hasRoom(now, next.Job)); !ok {
		d.answer(now, next, d.notRun(now, next, reason))
		return
	}
	d.jobs[next.ID] = next
	d.pool(next.Pool).queued += next.work
	d.enqueue(next)
}

// Tick ends lost runs whose time is over, and gives up jobs that wait too long.
func (d *Dispatcher) Tick(now time.Time) []Action {
	d.starting(now)
	for _, s := range d.order {
		if len(s.runs) > 0 && !s.lostUntil.IsZero() && now.After(s.lostUntil) {
			d.resolve(now, s)
		}
	}
	d.expire(now)
	d.place(now)
	return d.take()
}

// expire gives up the jobs that can no longer be of use to their callers.
func (d *Dispatcher) expire(now time.Time) {
	var expired []*job
	for _, p := range d.byName {
		for _, j := range p.queue.jobs {
			if !j.answered && !j.started() && now.After(j.limit) {
				expired = append(expired, j)
			}
		}
	}
	for _, j := range d.jobs {
		if !j.answered && j.started() && j.Patience > 0 && now.After(j.arrived.Add(j.Patience)) {
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
