package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/supervise"
)

const (
	// maxCrashes is the number of crashes of backend servers under a task after which its job is given up. It fails if the
	// task is known to have run there each time. Otherwise it is refused until crashRetention has passed.
	maxCrashes = 2
	// maxSuspectShare is the largest share of a pool's usable backend servers that run suspects at the same time.
	maxSuspectShare = 0.2
	// crashRetention is how long crashes are remembered. Callers may resubmit a job for as long.
	crashRetention = 10 * time.Minute
	// maxCrashRecords bounds the memory for crashes, in tasks. The oldest records are dropped first.
	maxCrashRecords = 4096
)

// Crash is the number of backend servers that have crashed while a task ran on them.
type Crash struct {
	Task  batch.TaskID
	Count int           // 0 if it is only known that one crashed when the task was about to start
	Age   time.Duration // since the latest crash
	// Uncertain is the number of further ones on which the task may not have run any more, or not yet.
	Uncertain int `json:",omitempty"`
}

// CrashesBlamed reports that a backend server has crashed, and the tasks that are blamed for it. The entry passes the
// counts on to the other entries; see MergeCrashes.
type CrashesBlamed struct {
	Agent  string
	Blamed []Crash
}

func (CrashesBlamed) action() {}

// crashMemory counts crashes by task. It outlives the jobs, so that a job that is submitted again does not begin anew.
type crashMemory map[batch.TaskID]crashRecord

type crashRecord struct {
	count     int
	uncertain int
	latestAt  time.Time
}

// total returns the number of crashes that the task may have caused.
func (r crashRecord) total() int { return r.count + r.uncertain }

// recent returns the crashes under a task within the retention period.
func (m crashMemory) recent(now time.Time, t batch.TaskID) crashRecord {
	if r, ok := m[t]; ok && now.Sub(r.latestAt) < crashRetention {
		return r
	}
	return crashRecord{}
}

// has reports whether a backend server crashed under a task, or when it was about to start, within the retention period.
func (m crashMemory) has(now time.Time, t batch.TaskID) bool {
	r, ok := m[t]
	return ok && now.Sub(r.latestAt) < crashRetention
}

// raise sets the numbers of crashes under a task that are higher than the known ones.
func (m crashMemory) raise(now time.Time, t batch.TaskID, r crashRecord) (raised bool) {
	known := m.recent(now, t)
	if (m.has(now, t) && r.count <= known.count && r.uncertain <= known.uncertain) || now.Sub(r.latestAt) >= crashRetention {
		return false
	}
	r.count, r.uncertain = max(r.count, known.count), max(r.uncertain, known.uncertain)
	m[t] = r
	return true
}

// evict drops the records whose retention period has ended, and the oldest ones beyond maxCrashRecords.
func (m crashMemory) evict(now time.Time) {
	list := m.list(now)
	if len(list) == len(m) && len(m) <= maxCrashRecords {
		return
	}
	clear(m)
	for _, c := range list[:min(len(list), maxCrashRecords)] {
		m[c.Task] = crashRecord{count: c.Count, uncertain: c.Uncertain, latestAt: now.Add(-c.Age)}
	}
}

// list returns the records within the retention period, the latest first.
func (m crashMemory) list(now time.Time) []Crash {
	var list []Crash
	for t, r := range m {
		if age := now.Sub(r.latestAt); age < crashRetention {
			list = append(list, Crash{Task: t, Count: r.count, Uncertain: r.uncertain, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Age, b.Age), a.Task.Compare(b.Task)) })
	return list
}

// Crashes returns the crashes that are remembered, the latest first.
func (d *Dispatcher) Crashes(now time.Time) []Crash { return d.crashes.list(now) }

// MergeCrashes adds the crashes that another entry has recorded. Of two counts for a task, the higher one applies.
func (d *Dispatcher) MergeCrashes(now time.Time, list []Crash) []Action {
	for _, c := range list {
		r := crashRecord{count: c.Count, uncertain: c.Uncertain, latestAt: now.Add(-max(c.Age, 0))}
		if !d.crashes.raise(now, c.Task, r) {
			continue
		}
		j, t := d.openTask(c.Task)
		if t == nil {
			continue
		}
		d.suspectJob(j)
		if d.crashes.recent(now, t.id).total() >= maxCrashes {
			d.finish(now, j, d.crashOutcome(now, j, t))
		}
	}
	d.crashes.evict(now)
	d.place(now)
	return d.takeActions()
}

// openTask returns a task of an unanswered job, or nil.
func (d *Dispatcher) openTask(id batch.TaskID) (*job, *task) {
	j, ok := d.jobs[id.Job]
	if !ok || j.answered || id.Step < 0 || id.Step >= len(j.steps) {
		return nil, nil
	}
	tasks := j.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) || tasks[id.Index].state == done {
		return nil, nil
	}
	return j, tasks[id.Index]
}

// blameCrash counts the crash of a backend server against the tasks that ran there. If some of them are suspects, only
// those are blamed. Of several tasks whose start was not answered, most had not begun, so they become suspects without a
// count. A run that may not have been there is counted apart, because its job must not be reported as failed for that.
// The tasks of answered jobs are blamed as well: their callers may submit them again.
func (d *Dispatcher) blameCrash(now time.Time, s *server, ended []supervise.RunEnd) {
	var tasks, suspects []*task
	unconfirmed, uncertain := map[*task]bool{}, map[*task]bool{}
	for _, e := range ended {
		t, ok := s.runs[e.RunID]
		if !ok || e.End != supervise.Crashed {
			continue
		}
		tasks = append(tasks, t)
		if e.Unconfirmed {
			unconfirmed[t] = true
		}
		if e.Uncertain {
			uncertain[t] = true
		}
		if t.suspect {
			suspects = append(suspects, t)
		}
	}
	if len(tasks) == 0 {
		return
	}
	if len(suspects) > 0 {
		tasks = suspects
	}
	blamed := CrashesBlamed{Agent: s.agent}
	for _, t := range tasks {
		r := d.crashes.recent(now, t.id)
		switch r.latestAt = now; {
		case unconfirmed[t] && len(unconfirmed) > 1:
		case uncertain[t]:
			r.uncertain++
		default:
			r.count++
		}
		d.crashes.raise(now, t.id, r)
		d.suspectJob(d.jobs[t.id.Job])
		blamed.Blamed = append(blamed.Blamed, Crash{Task: t.id, Count: r.count, Uncertain: r.uncertain})
	}
	d.crashes.evict(now)
	d.actions = append(d.actions, blamed)
}

// suspectJob marks the tasks of a job that are not done as suspects: if one task crashes its backend server, the others
// probably do as well.
func (d *Dispatcher) suspectJob(j *job) {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.state != done {
				d.suspect(j, t)
			}
		}
	}
}

// hasSuspect reports whether a backend server has crashed under a task of the job.
func (d *Dispatcher) hasSuspect(now time.Time, b batch.Job) bool {
	return d.anyTask(b, func(t batch.TaskID) bool { return d.crashes.has(now, t) })
}

// anyTask reports whether the condition holds for a task of a job. It does not hold for tasks without known crashes.
func (d *Dispatcher) anyTask(b batch.Job, condition func(batch.TaskID) bool) bool {
	if len(d.crashes) == 0 {
		return false
	}
	for i, st := range b.Steps {
		for k := range st.Count {
			if condition(batch.TaskID{Job: b.ID, Step: i, Index: k}) {
				return true
			}
		}
	}
	return false
}

// awaitsCrash reports whether a task of the job was sent to a backend server that has crashed. Until it is known which
// of its tasks ran there, no other one is started.
func (d *Dispatcher) awaitsCrash(j *job) bool {
	for _, s := range d.sortedServers {
		if !s.processEnded {
			continue
		}
		for id := range s.runs {
			if id.Task.Job == j.ID {
				return true
			}
		}
	}
	return false
}

// suspect marks a task as a suspect. Until it starts again, its work does not count as queued: it waits for other
// suspects, and the tasks behind it do not wait for it.
func (d *Dispatcher) suspect(j *job, t *task) {
	if t.suspect {
		return
	}
	t.suspect = true
	if t.server != nil {
		t.server.suspects++
		j.activeSuspects++
	}
	if !j.answered {
		j.waitingWork -= t.waitingWork
		d.pool(j.Pool).queued -= t.waitingWork
		t.waitingWork = 0
	}
}

// crashOutcome returns the outcome of a job with a task under which too many backend servers have crashed.
func (d *Dispatcher) crashOutcome(now time.Time, j *job, t *task) batch.Outcome {
	r := d.crashes.recent(now, t.id)
	switch {
	case r.count >= maxCrashes:
		return batch.Failed{Task: t.id, Attempts: t.failures, Crashes: r.count}
	case j.started() || j.mayHaveRun:
		return batch.Unknown{Reason: batch.Crashes}
	}
	return batch.NotRun{Reason: batch.Crashes, RetryAfter: r.latestAt.Add(crashRetention).Sub(now)}
}

// findGivenUp returns a task of a job under which too many backend servers have crashed, or nil. Those that are known to
// have run there come first.
func (d *Dispatcher) findGivenUp(now time.Time, j *job) *task {
	if len(d.crashes) == 0 {
		return nil
	}
	var suspect *task
	for _, st := range j.steps {
		for _, t := range st.tasks {
			r := d.crashes.recent(now, t.id)
			if r.count >= maxCrashes {
				return t
			}
			if r.total() >= maxCrashes && suspect == nil {
				suspect = t
			}
		}
	}
	return suspect
}

// GivenUp reports whether a job would fail or be refused at once because of earlier crashes.
func (d *Dispatcher) GivenUp(now time.Time, b batch.Job) bool {
	return d.anyTask(b, func(t batch.TaskID) bool { return d.crashes.recent(now, t).total() >= maxCrashes })
}

// mayStartSuspect reports whether a suspect of a job may be started: one of a job at a time, on a share of the backend
// servers, so that a crash affects few other tasks and it is clear which task to blame.
func (d *Dispatcher) mayStartSuspect(j *job) bool {
	if j.activeSuspects > 0 {
		return false
	}
	usable, occupied := 0, 0
	for _, s := range d.sortedServers {
		if s.info.Pool != j.Pool {
			continue
		}
		if s.usable() {
			usable++
		}
		if s.suspects > 0 {
			occupied++
		}
	}
	return occupied < max(int(maxSuspectShare*float64(usable)), 1)
}

// onlySuspectsWait reports whether all waiting tasks of a job are suspects.
func (j *job) onlySuspectsWait() bool {
	return !slices.ContainsFunc(j.waiting, func(t *task) bool { return !t.suspect })
}
