package dispatch

import (
	"slices"
	"time"

	"dogwoodglade/core/resource"
)

// room is what a backend server has for further tasks.
type room struct {
	free   resource.Amount
	places places // in use
}

// roomSoon returns the room on each usable backend server that is free, and not held for another task, when a run that
// is stopped now has ended.
func (d *Dispatcher) roomSoon(now time.Time) map[*server]room {
	rooms := map[*server]room{}
	for _, s := range d.sortedServers {
		if !s.usable() || s.degraded() || now.Before(s.backoffUntil) {
			continue
		}
		r := room{free: s.free(), places: s.places}
		for id, t := range s.runs {
			if t.stopping || !t.startedAt.Add(d.leastRunTime(s, t)).After(now.Add(moveTime)) {
				r.free = r.free.Plus(d.jobs[id.Task.Job].steps[id.Task.Step].Demand)
				r.places.take(t.large, -1)
			}
		}
		rooms[s] = r
	}
	return rooms
}

// chooseRoom returns the backend server with room for a moved task that placing it would choose, or nil.
func (d *Dispatcher) chooseRoom(now time.Time, rooms map[*server]room, m movable) *server {
	var best *server
	var bestScore float64
	_, usable := d.countDegraded()
	for _, s := range d.sortedServers {
		r, ok := rooms[s]
		if !ok || s.info.Pool != m.job.Pool || !m.step.Demand.Fits(r.free) ||
			r.places.free(m.job.large) == 0 || !mayRunOn(s, m.step, m.task, usable) ||
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
	s.places.take(t.large, 1)
}

// release gives up the room that is held for a task, if there is any.
func (t *task) release() {
	if s := t.reservedOn; s != nil {
		s.reserved = s.reserved.Minus(s.reservedFor[t])
		delete(s.reservedFor, t)
		s.places.take(t.large, -1)
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
