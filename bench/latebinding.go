package bench

import "dogwoodglade/core/allocator"

// probesPerTask is the number of reservations per task in batch sampling (Sparrow, SOSP 2013).
const probesPerTask = 2

// reservation waits at a backend server for a slot, and then fetches a task from the owner.
type reservation struct {
	job       *job
	server    *server
	fetched   bool
	cancelled bool
}

// lateBinding is batch sampling with late binding. When the last task of a job is placed, the owner cancels
// the remaining reservations.
type lateBinding struct {
	w       *world
	queues  [][]*reservation
	waiting map[*job][]*work
	probes  map[*job][]*reservation
}

func newLateBinding(w *world) policy {
	return &lateBinding{
		w: w, queues: make([][]*reservation, len(w.servers)),
		waiting: map[*job][]*work{}, probes: map[*job][]*reservation{},
	}
}

func (l *lateBinding) place(j *job, tasks []*work) {
	if j.never {
		l.w.refuse(j)
		return
	}
	l.waiting[j] = append(l.waiting[j], tasks...)
	all := l.w.candidates(tasks[0])
	order := l.w.random.Perm(len(all))
	for i := range probesPerTask * len(tasks) {
		r := &reservation{job: j, server: all[order[i%len(all)]]}
		l.probes[j] = append(l.probes[j], r)
		l.w.send(func() {
			l.queues[r.server.index] = append(l.queues[r.server.index], r)
			l.next(r.server)
		})
	}
}

// next fetches a task for each free slot. The slot is held until the reply.
func (l *lateBinding) next(s *server) {
	for s.free > 0 && len(l.queues[s.index]) > 0 {
		r := l.queues[s.index][0]
		l.queues[s.index] = l.queues[s.index][1:]
		if r.cancelled {
			continue
		}
		s.free--
		r.fetched = true
		l.w.send(func() { l.fetch(r) })
	}
}

// fetch answers a reservation at the owner with a waiting task, if there is one.
func (l *lateBinding) fetch(r *reservation) {
	tasks := l.waiting[r.job]
	if len(tasks) == 0 {
		l.w.waste(2) // the fetch and its empty reply
		l.w.send(func() {
			r.server.free++
			l.next(r.server)
		})
		return
	}
	l.waiting[r.job] = tasks[1:]
	l.w.start(r.server, tasks[0])
	if len(tasks) == 1 {
		l.abandon(r.job)
	}
}

func (l *lateBinding) arrived(s *server, t *work) {
	s.free++ // it was held for this task
	if t.dropped {
		l.next(s)
		return
	}
	l.w.run(s, t)
}

func (l *lateBinding) released(s *server, _ *work, _ allocator.Outcome) { l.next(s) }

// abandon cancels the reservations of a job that has no waiting task.
func (l *lateBinding) abandon(j *job) {
	for _, r := range l.probes[j] {
		if r.fetched {
			continue
		}
		l.w.waste(2) // the reservation and its cancellation
		l.w.send(func() { r.cancelled = true })
	}
	delete(l.waiting, j)
	delete(l.probes, j)
}
