package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/overload"
)

// queue is a heap of the jobs with waiting tasks, ordered by the latest start that meets the target. Jobs that can
// no longer meet it follow by priority and in order of arrival, so that they do not delay those that can; the most urgent
// ones get a later turn instead. A job that has started keeps its position, so that it completes.
type queue struct{ jobs []*job }

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.jobs) }

// Less implements heap.Interface.
func (q *queue) Less(i, k int) bool {
	return compareStartOrder(q.jobs[i], q.jobs[k]) < 0
}

// compareStartOrder orders jobs by when they start. Late jobs of urgent routes come before those of others.
func compareStartOrder(a, b *job) int {
	if a.last != b.last {
		if a.last {
			return 1
		}
		return -1
	}
	if a.last {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
	}
	return cmp.Or(a.turn.Compare(b.turn), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.sequence, b.sequence))
}

// lateTurn is the turn of a late job of the most urgent priority, as a part of the time from its target start to its
// latest start. Behind all others it would expire in a lasting overload, long after its caller could try elsewhere.
const lateTurn = 0.75

// becomeLate moves a job that can no longer meet its target.
func (p *poolState) becomeLate(j *job) {
	j.late = true
	j.last = !p.policy.IsMostUrgent(j.Priority)
	j.turn = j.targetStart.Add(time.Duration(lateTurn * float64(j.startDeadline.Sub(j.targetStart))))
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, k int) { q.jobs[i], q.jobs[k] = q.jobs[k], q.jobs[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.jobs = append(q.jobs, x.(*job)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := q.jobs[len(q.jobs)-1]
	q.jobs[len(q.jobs)-1] = nil
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

const (
	// lookAhead is the number of jobs that are tried when the first ones do not fit into the free capacity. Tasks
	// differ in size; if only the first job were tried, a tenth of the processors would be idle under overload.
	lookAhead = 16
	// minFreeProcessor is the free processor capacity, in thousandths of a core, below which a backend server counts
	// as full.
	minFreeProcessor = 250
)

func (d *Dispatcher) enqueue(j *job) {
	if !j.queued && len(j.waiting) > 0 && !j.answered {
		j.queued = true
		heap.Push(&d.pool(j.Pool).queue, j)
	}
}

// place starts waiting tasks of all pools while there is capacity.
func (d *Dispatcher) place(now time.Time) {
	for _, p := range d.sortedPools {
		d.placePool(now, p)
	}
}

// placePool starts waiting tasks in queue order while there is capacity.
func (d *Dispatcher) placePool(now time.Time, p *poolState) {
	d.placeReserved(now, p)
	var skipped []*job
	tried := 0
	for p.queue.Len() > 0 {
		j := p.queue.jobs[0]
		switch {
		case j.answered || len(j.waiting) == 0:
			heap.Pop(&p.queue)
			j.queued = false
			continue
		case j.started() && j.timedOut(now):
			heap.Pop(&p.queue)
			j.queued = false
			d.finish(now, j, batch.Unknown{Reason: batch.DeadlinePassed})
			continue
		case !j.started() && now.After(j.startDeadline):
			heap.Pop(&p.queue)
			j.queued = false
			d.refuse(now, j, batch.DeadlinePassed)
			continue
		case !j.late && !j.started() && now.After(j.targetStart) && j.targetStart.Before(j.startDeadline):
			// The job can no longer meet its target. It moves back, unless it would probably expire there: jobs that
			// arrive later and can meet their targets are placed first. How long it waits is not known while the pool
			// has no backend server.
			if p.served() && overload.ExpiresLate(p.expectedWait(now), j.startDeadline.Sub(now)) {
				heap.Pop(&p.queue)
				j.queued = false
				d.refuse(now, j, batch.Overloaded)
				continue
			}
			p.becomeLate(j)
			heap.Fix(&p.queue, 0)
			continue
		}
		lacksPlace := d.placeJob(now, j)
		heap.Pop(&p.queue)
		if len(j.waiting) == 0 {
			j.queued = false
			continue
		}
		// The free capacity is too small for the next task of this job, but another job may have a smaller one.
		skipped = append(skipped, j)
		// Large jobs that wait for a place do not count as tried, so that others behind them start.
		if (!j.large || !lacksPlace) && !j.onlySuspectsWait() {
			tried++
		}
		if tried >= lookAhead || d.isFull(p.name) {
			break
		}
	}
	for _, j := range skipped {
		heap.Push(&p.queue, j)
	}
}

// placeReserved starts the waiting tasks for which backend servers hold room. The queue may be left before it reaches
// their jobs, as that room counts as used for all others.
func (d *Dispatcher) placeReserved(now time.Time, p *poolState) {
	var reserved []*task
	for _, s := range d.sortedServers {
		for t := range s.reservedFor {
			if j := d.jobs[t.id.Job]; t.state == waiting && j.Pool == p.name && j.mayStart(now) {
				reserved = append(reserved, t)
			}
		}
	}
	slices.SortFunc(reserved, func(a, b *task) int {
		return cmp.Or(compareStartOrder(d.jobs[a.id.Job], d.jobs[b.id.Job]), a.id.Compare(b.id))
	})
	for _, t := range reserved {
		j := d.jobs[t.id.Job]
		st := j.steps[t.id.Step]
		if s, _ := d.chooseServer(now, j, st, t); s != nil {
			d.startTask(now, j, st, t, s)
			j.waiting = slices.DeleteFunc(j.waiting, func(x *task) bool { return x == t })
		}
	}
}

// mayStart reports whether a task of the job may still be started.
func (j *job) mayStart(now time.Time) bool {
	if j.started() {
		return !j.answered && !j.timedOut(now)
	}
	return !j.answered && !now.After(j.startDeadline)
}

// placeJob starts the waiting tasks of a job that fit. It reports whether others would fit on a backend server that has
// no place for them.
func (d *Dispatcher) placeJob(now time.Time, j *job) (lacksPlace bool) {
	rest := j.waiting[:0]
	full := map[*step]bool{} // no backend server was found for a task without constraints of its own
	for i, t := range j.waiting {
		st := j.steps[t.id.Step]
		if full[st] && !t.constrained() {
			rest = append(rest, t)
			continue
		}
		s, skipped := d.chooseServer(now, j, st, t)
		if s == nil {
			rest = append(rest, t)
			full[st] = full[st] || !t.constrained()
			lacksPlace = lacksPlace || skipped.lacksPlace
			if !skipped.constrained {
				rest = append(rest, j.waiting[i+1:]...)
				break
			}
			continue
		}
		if t.reservedOn != nil {
			clear(full) // the room may have been on another backend server
		}
		d.startTask(now, j, st, t, s)
	}
	j.waiting = rest
	return lacksPlace
}

// constrained reports whether a task may use other backend servers than the other tasks of its step.
func (t *task) constrained() bool {
	return t.suspect || len(t.failedOn) > 0 || len(t.movedFrom) > 0 || t.reservedOn != nil
}

// isFull reports whether no backend server of a pool has capacity for a small task.
func (d *Dispatcher) isFull(pool string) bool {
	for _, s := range d.sortedServers {
		if s.connected && !s.evacuated && (s.offered || s.released) && s.info.Pool == pool &&
			s.free().Processor >= minFreeProcessor && s.places.free(false) > 0 {
			return false
		}
	}
	return true
}
