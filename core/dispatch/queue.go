package dispatch

import (
	"container/heap"
	"time"

	"dogwoodglade/core/batch"
)

// queue orders the jobs with waiting tasks: by their latest start for the target, then the late ones by arrival.
// Work that can be in time is not held up by work that cannot; a job that has begun keeps its place, so that it
// is finished.
type queue struct{ jobs []*job }

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.jobs) }

// Less implements heap.Interface.
func (q *queue) Less(i, k int) bool {
	a, b := q.jobs[i], q.jobs[k]
	if !a.start.Equal(b.start) {
		return a.start.Before(b.start)
	}
	return a.sequence < b.sequence
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

// late marks a latest start that has passed: such a job goes after all others, in the order of arrival.
const late = 24 * time.Hour

// lateOdds is how many times the predicted wait a late job must have left. Under overload, work that goes first
// keeps arriving.
const lateOdds = 3

const (
	// lookAhead is how many jobs are tried for room that the first ones cannot use. Tasks differ in size, and
	// without it a tenth of the processors stands idle under overload.
	lookAhead = 16
	// smallTask is the processor demand, in thousandths of a core, below which room is not looked at.
	smallTask = 250
)

func (d *Dispatcher) enqueue(j *job) {
	if !j.queued && len(j.waiting) > 0 && !j.answered {
		j.queued = true
		heap.Push(&d.pool(j.Pool).queue, j)
	}
}

// place starts waiting tasks of all pools while there is room.
func (d *Dispatcher) place(now time.Time) {
	for _, p := range d.byName {
		d.placePool(now, p)
	}
}

// placePool starts waiting tasks in the order of the pool's queue while there is room.
func (d *Dispatcher) placePool(now time.Time, p *poolState) {
	var passed []*job
	for p.queue.Len() > 0 {
		j := p.queue.jobs[0]
		switch {
		case j.answered || len(j.waiting) == 0:
			heap.Pop(&p.queue)
			j.queued = false
			continue
		case !j.started() && now.After(j.limit):
			heap.Pop(&p.queue)
			j.queued = false
			d.refuse(now, j, batch.DeadlinePassed)
			continue
		case !j.started() && now.After(j.start) && j.start.Before(j.limit):
			// Too late for its target. It goes behind all that is not, in the order of arrival, if there is a
			// chance that its turn comes: work that arrives meanwhile goes first.
			if p.wait()*lateOdds > j.limit.Sub(now) {
				heap.Pop(&p.queue)
				j.queued = false
				d.refuse(now, j, batch.Overloaded)
				continue
			}
			j.start = j.arrived.Add(late)
			heap.Fix(&p.queue, 0)
			continue
		}
		d.placeJob(now, j)
		heap.Pop(&p.queue)
		if len(j.waiting) == 0 {
			j.queued = false
			continue
		}
		// What is free is not enough for its next task, but may be for another job's.
		passed = append(passed, j)
		if len(passed) >= lookAhead || d.full(p.name) {
			break
		}
	}
	for _, j := range passed {
		heap.Push(&p.queue, j)
	}
}

// placeJob starts tasks of a job while one fits.
func (d *Dispatcher) placeJob(now time.Time, j *job) {
	rest := j.waiting[:0]
	for i, t := range j.waiting {
		st := j.steps[t.id.Step]
		s, constrained := d.choose(now, j, st, t)
		if s == nil {
			rest = append(rest, t)
			if !constrained {
				rest = append(rest, j.waiting[i+1:]...)
				break
			}
			continue
		}
		d.startTask(now, j, st, t, s)
	}
	j.waiting = rest
}

// full reports whether no backend server of a pool has room for a small task.
func (d *Dispatcher) full(pool string) bool {
	for _, s := range d.order {
		if s.usable() && s.info.Pool == pool && s.free().Processor >= smallTask {
			return false
		}
	}
	return true
}
