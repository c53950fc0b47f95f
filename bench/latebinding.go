package bench

import "dogwoodglade/core/allocator"

// reservationsPerTask is the number of reservations per task in batch sampling (Sparrow, SOSP 2013).
const reservationsPerTask = 2

// reservation waits in the queue of a backend server. When a slot is free, the agent fetches a task of the job
// from its owner.
type reservation struct {
	job       *job
	server    *server
	fetched   bool
	cancelled bool
}

// lateBindingPolicy is a baseline with batch sampling and late binding. When the last waiting task of a job
// has been sent, the owner cancels the remaining reservations.
type lateBindingPolicy struct {
	sim          *simulation
	queues       [][]*reservation
	waiting      map[*job][]*task
	reservations map[*job][]*reservation
}

func newLateBindingPolicy(sim *simulation) policy {
	return &lateBindingPolicy{
		sim: sim, queues: make([][]*reservation, len(sim.servers)),
		waiting: map[*job][]*task{}, reservations: map[*job][]*reservation{},
	}
}

func (l *lateBindingPolicy) place(j *job, tasks []*task) {
	if j.emptyPool {
		l.sim.refuseJob(j)
		return
	}
	l.waiting[j] = append(l.waiting[j], tasks...)
	all := l.sim.candidates(tasks[0])
	order := l.sim.random.Perm(len(all))
	for i := range reservationsPerTask * len(tasks) {
		r := &reservation{job: j, server: all[order[i%len(all)]]}
		l.reservations[j] = append(l.reservations[j], r)
		l.sim.send(func() {
			l.queues[r.server.index] = append(l.queues[r.server.index], r)
			l.fetchNext(r.server)
		})
	}
}

// fetchNext fetches a task for each free slot. The slot is reserved until the reply arrives.
func (l *lateBindingPolicy) fetchNext(s *server) {
	for s.free > 0 && len(l.queues[s.index]) > 0 {
		r := l.queues[s.index][0]
		l.queues[s.index] = l.queues[s.index][1:]
		if r.cancelled {
			continue
		}
		s.free--
		r.fetched = true
		l.sim.send(func() { l.handleFetch(r) })
	}
}

// handleFetch replies to a fetch at the owner with a waiting task of the job, if there is one.
func (l *lateBindingPolicy) handleFetch(r *reservation) {
	tasks := l.waiting[r.job]
	if len(tasks) == 0 {
		l.sim.countWasted(2) // the fetch and its empty reply
		l.sim.send(func() {
			r.server.free++
			l.fetchNext(r.server)
		})
		return
	}
	l.waiting[r.job] = tasks[1:]
	l.sim.startTask(r.server, tasks[0])
	if len(tasks) == 1 {
		l.jobClosed(r.job)
	}
}

func (l *lateBindingPolicy) handleStart(s *server, t *task) {
	s.free++ // the slot was reserved for this task
	if t.cancelled {
		l.fetchNext(s)
		return
	}
	l.sim.runTask(s, t)
}

func (l *lateBindingPolicy) slotFreed(s *server, _ *task, _ allocator.Outcome) { l.fetchNext(s) }

// jobClosed cancels the reservations of a job. It is also called when no task of the job waits any more.
func (l *lateBindingPolicy) jobClosed(j *job) {
	for _, r := range l.reservations[j] {
		if r.fetched {
			continue
		}
		l.sim.countWasted(2) // the reservation and its cancellation
		l.sim.send(func() { r.cancelled = true })
	}
	delete(l.waiting, j)
	delete(l.reservations, j)
}
