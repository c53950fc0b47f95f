package dispatch

import (
	"slices"
	"time"

	"dogwoodglade/core/resource"
)

// roomSoon returns the capacity of each usable backend server that is free, and not held for another task, when a run that
// is stopped now has ended.
func (d *Dispatcher) roomSoon(now time.Time) map[*server]resource.Amount {
	room := map[*server]resource.Amount{}
	for _, s := range d.sortedServers {
		if !s.usable() || s.degraded() || now.Before(s.backoffUntil) {
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

// chooseRoom returns the backend server with room for a moved task that placing it would choose, or nil.
func (d *Dispatcher) chooseRoom(now time.Time, room map[*server]resource.Amount, m movable) *server {
	var best *server
	var bestScore float64
	_, usable := d.countDegraded()
	for _, s := range d.sortedServers {
		free, ok := room[s]
		if !ok || s.info.Pool != m.job.Pool || !m.step.Demand.Fits(free) || !mayRunOn(s, m.step, m.task, usable) ||
			(s.needsSlack() && !d.fastEnough(now.Add(moveTime), m.job, m.step, s) &&
				d.hasFastServer(m.job.Pool, m.step.Step, m.task.failedOn)) {
			continue
		}
		if score := d.score(s, m.step, m.task); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// reserve holds room for a task until it starts or needs no run any more, or until the backend server cannot be used.
func (s *server) reserve(t *task, demand resource.Amount) {
	t.release()
	t.reservedOn, s.reservedFor[t] = s, demand
	s.reserved = s.reserved.Plus(demand)
}

// release gives up the room that is held for a task, if there is any.
func (t *task) release() {
	if s := t.reservedOn; s != nil {
		s.reserved = s.reserved.Minus(s.reservedFor[t])
		delete(s.reservedFor, t)
		t.reservedOn = nil
	}
}

// releaseUnfit gives up the room for tasks that the backend server cannot be used for any more.
func (d *Dispatcher) releaseUnfit(s *server) {
	if !s.usable() || s.degraded() || !s.reserved.Fits(s.capacity) {
		s.releaseAll()
		return
	}
	for t := range s.reservedFor {
		j := d.jobs[t.id.Job]
		st := j.steps[t.id.Step]
		if s.info.Pool != j.Pool || (st.Label != "" && !slices.Contains(s.info.Labels, st.Label)) {
			t.release()
		}
	}
}

// release gives up the room that is held for the tasks of a job.
func (j *job) release() {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			t.release()
		}
	}
}

// releaseAll gives up the room that the backend server holds.
func (s *server) releaseAll() {
	for t := range s.reservedFor {
		t.release()
	}
}
