package main

import (
	"fmt"
	"sync"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/platform/standin"
)

// Bounds of the promises. They are those of the users' deployments.
const (
	// cancelTime is cancel_ms: after it nothing starts, and nothing runs, for a job that nobody waits for.
	cancelTime = 3 * time.Second
	// drainTime is drain_ms: after it nothing starts on a backend server that leaves.
	drainTime = 2 * time.Second
	// applyTime is config_apply_ms, and stretchTime max_stretch_ms, which the store's trouble adds.
	applyTime   = 2 * time.Second
	stretchTime = 5 * time.Second
	// lossSlack is loss_slack_ms: requests that arrive so late before the end of a process may be cut off.
	lossSlack = 200 * time.Millisecond
	// recoverTime is recovery_s.
	recoverTime = 12 * time.Second
	// stopTime is grace_s: a process that is asked to stop has ended after it.
	stopTime = 6 * time.Second
	// maxAttempts is the number of runs of a task that may fail on the routes of the site.
	maxAttempts = 2
	// reported is the number of broken promises that are described.
	reported = 20
)

// judge checks the promises by what callers and backend servers see.
type judge struct {
	calm *calm

	mu      sync.Mutex // guards what follows
	jobs    map[batch.JobID]*job
	live    map[batch.TaskID]standin.Run
	used    map[string]resource.Amount // by backend servers that do not guard their capacity
	leaving map[string]time.Time       // by backend server
	marks   map[string]mark            // by entry
	broken  []string
	count   int
	counts  map[string]int
}

type job struct {
	batch.Job
	work       standin.Work
	attempts   []*attempt
	cancelling bool      // its caller cancels it
	cancelled  time.Time // when the cancellation was acknowledged
	runs       []*run
}

// attempt is a submission of a job.
type attempt struct {
	entry  string
	sent   time.Time
	ended  time.Time // zero while it is open
	gaveUp bool
	answer standin.Answer
	detail string
}

type run struct {
	standin.Run
	ended time.Time // zero while it goes on
	how   string
}

// mark is the newest version that an incarnation of an entry has shown.
type mark struct {
	incarnation int
	version     uint64
}

func newJudge(c *calm) *judge {
	return &judge{
		calm: c, jobs: map[batch.JobID]*job{}, live: map[batch.TaskID]standin.Run{}, used: map[string]resource.Amount{},
		leaving: map[string]time.Time{}, marks: map[string]mark{}, counts: map[string]int{},
	}
}

// Broke takes note of a broken promise.
func (j *judge) Broke(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broke(format, values...)
}

func (j *judge) broke(format string, values ...any) {
	j.count++
	if len(j.broken) < reported {
		j.broken = append(j.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
	}
}

// Submitted takes note of an attempt, and returns the function that takes its answer.
func (j *judge) Submitted(b batch.Job, w standin.Work, entry string) (answered func(a standin.Answer, detail string, gaveUp bool)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x := j.job(b)
	x.work = w
	t := &attempt{entry: entry, sent: time.Now()}
	x.attempts = append(x.attempts, t)
	return func(a standin.Answer, detail string, gaveUp bool) {
		j.mu.Lock()
		defer j.mu.Unlock()
		t.ended, t.answer, t.detail, t.gaveUp = time.Now(), a, detail, gaveUp
		j.counts[a.String()]++
		j.judgeAnswer(x, t)
	}
}

// Cancelling takes note that a caller is about to cancel its job.
func (j *judge) Cancelling(b batch.Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job(b).cancelling = true
}

func (j *judge) job(b batch.Job) *job {
	x, ok := j.jobs[b.ID]
	if !ok {
		x = &job{Job: b}
		j.jobs[b.ID] = x
	}
	return x
}

// Cancelled takes note of an acknowledged cancellation.
func (j *judge) Cancelled(id batch.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x := j.jobs[id]; x != nil && x.cancelled.IsZero() {
		x.cancelled = time.Now()
	}
}

// judgeAnswer checks that an answer is whole and true.
func (j *judge) judgeAnswer(x *job, t *attempt) {
	switch t.answer {
	case standin.Completed:
		for _, missing := range x.notDone() {
			j.broke("job %s: answered as completed by %s, but %v never ended as done", x.ID, t.entry, missing)
		}
	case standin.Failed:
		if !x.failed() {
			j.broke("job %s: answered as failed by %s, but no task failed %d times", x.ID, t.entry, maxAttempts)
		}
	case standin.Broken:
		if !t.gaveUp && !j.calm.Disturbed(t.sent, t.ended, func(s *span) bool { return !s.planned }) &&
			t.ended.Sub(t.sent) > lossSlack {
			j.broke("job %s: cut off by %s after %v beside planned work only: %s", x.ID, t.entry, t.ended.Sub(t.sent), t.detail)
		}
	case standin.NoRoute:
		j.broke("job %s: %s has no route for it: %s", x.ID, t.entry, t.detail)
	case standin.Unexpected:
		j.broke("job %s: %s answered %s", x.ID, t.entry, t.detail)
	case standin.Gone:
		if !x.cancelling {
			j.broke("job %s: %s says that it was cancelled, but nobody asked for that", x.ID, t.entry)
		}
	case standin.NotRun, standin.Unknown:
	}
}

// notDone returns the tasks without a run that ended as done.
func (x *job) notDone() []batch.TaskID {
	done := map[batch.TaskID]bool{}
	for _, r := range x.runs {
		done[r.Task] = done[r.Task] || r.how == "done"
	}
	var missing []batch.TaskID
	for i, s := range x.Steps {
		for k := range s.Count {
			if id := (batch.TaskID{Job: x.ID, Step: i, Index: k}); !done[id] {
				missing = append(missing, id)
			}
		}
	}
	return missing
}

// failed reports whether a task failed as often as its route allows.
func (x *job) failed() bool {
	failures := map[batch.TaskID]int{}
	for _, r := range x.runs {
		if r.how == "failed" {
			failures[r.Task]++
		}
		if failures[r.Task] >= maxAttempts {
			return true
		}
	}
	return false
}

// wantedUntil returns the time after which nobody waits for the job. It reports false while somebody does.
func (x *job) wantedUntil() (time.Time, bool) {
	if !x.cancelled.IsZero() {
		return x.cancelled, true
	}
	var until time.Time
	for _, t := range x.attempts {
		end := t.ended
		if end.IsZero() {
			return time.Time{}, false
		}
		if t.answer == standin.Broken {
			// Behind a connection that went silent the entry cannot see that its caller has gone.
			end = later(end, t.sent.Add(x.Timeout))
		}
		until = later(until, end)
	}
	return until, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func backendOf(r standin.Run) string { return backendKey(r.Backend, r.Born) }

func backendKey(backend string, born int64) string { return fmt.Sprintf("%s/%d", backend, born) }

// Began takes note of the start of a run. Guarded says whether the backend server checks its capacity itself.
func (j *judge) Began(r standin.Run, guarded bool, capacity resource.Amount) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["Runs"]++
	if other, ok := j.live[r.Task]; ok {
		j.broke("task %v: run %d on %s began while run %d on %s goes on", r.Task, r.Number, r.Backend, other.Number, other.Backend)
	}
	j.live[r.Task] = r
	x, ok := j.jobs[r.Task.Job]
	if !ok {
		j.broke("task %v: begun on %s, but nobody submitted its job", r.Task, r.Backend)
		return
	}
	x.runs = append(x.runs, &run{Run: r})
	if r.Spec != x.Spec {
		j.broke("task %v: begun on %s with the text of another job", r.Task, r.Backend)
	}
	j.used[backendOf(r)] = j.used[backendOf(r)].Plus(resource.Amount{Processor: x.work.Processor})
	if r.Late {
		return // the time bounds do not hold for an order that was held up
	}
	if !guarded && !j.used[backendOf(r)].Fits(capacity) {
		j.broke("task %v: begun on %s beyond its capacity", r.Task, r.Backend)
	}
	if since, ok := j.leaving[backendOf(r)]; ok && r.At.Sub(since) > drainTime {
		j.broke("task %v: begun on %s %v after it said that it leaves", r.Task, r.Backend, r.At.Sub(since))
	}
	if until, over := x.wantedUntil(); over && r.At.Sub(until) > cancelTime {
		j.broke("task %v: begun on %s %v after its job was over", r.Task, r.Backend, r.At.Sub(until))
	}
}

// Ended takes note of the end of a run.
func (j *judge) Ended(r standin.Run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if live, ok := j.live[r.Task]; ok && live.Number == r.Number && live.Backend == r.Backend {
		delete(j.live, r.Task)
	}
	j.counts["Ended as "+how]++
	x, ok := j.jobs[r.Task.Job]
	if !ok {
		return
	}
	j.used[backendOf(r)] = j.used[backendOf(r)].Minus(resource.Amount{Processor: x.work.Processor})
	for _, own := range x.runs {
		if own.Task == r.Task && own.Number == r.Number && own.Backend == r.Backend && own.Born == r.Born && own.ended.IsZero() {
			own.ended, own.how = r.At, how
		}
	}
}

// Leaving takes note that a backend server's notice was acknowledged.
func (j *judge) Leaving(backend string, born int64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[backendKey(backend, born)] = at
}

// Showed takes note of the newest version that an entry shows, and of the version that was acknowledged at a time.
func (j *judge) Showed(entry string, incarnation int, shown, current uint64, at, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m := j.marks[entry]
	if m.incarnation == incarnation && shown < m.version {
		j.broke("%s went back from version %d to %d", entry, m.version, shown)
	}
	j.marks[entry] = mark{incarnation: incarnation, version: shown}
	bound := applyTime
	if j.calm.Disturbed(at, sent, func(s *span) bool { return s.subject == storeSubject }) {
		bound += stretchTime
	}
	inTouch := !j.calm.Disturbed(sent, sent, func(s *span) bool {
		return s.subject == entry || s.subject == storeSubject || s.subject == storeLinkOf(entry)
	})
	if shown < current && inTouch && sent.Sub(at) > bound {
		j.broke("%s shows version %d %v after version %d was acknowledged", entry, shown, sent.Sub(at), current)
	}
}

// Served returns how many jobs were submitted for the first time in a span, and how many of them completed. Jobs that
// fail always or that their callers gave up do not count.
func (j *judge) Served(from, to time.Time) (asked, completed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, x := range j.jobs {
		first := x.attempts[0]
		if first.sent.Before(from) || first.sent.After(to) || x.work.Failing > 0 || first.gaveUp || x.cancelling {
			continue
		}
		asked++
		for _, t := range x.attempts {
			if t.answer == standin.Completed {
				completed++
				break
			}
		}
	}
	return asked, completed
}

// Close checks what can only be said at the end, and returns the broken promises.
func (j *judge) Close() (count int, broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, x := range j.jobs {
		until, over := x.wantedUntil()
		if !over {
			j.broke("job %s: it was never answered", x.ID)
			continue
		}
		refused := true
		for _, t := range x.attempts {
			refused = refused && t.answer == standin.NotRun
		}
		if refused && len(x.runs) > 0 {
			j.broke("job %s: refused as not run, but %v began on %s", x.ID, x.runs[0].Task, x.runs[0].Backend)
		}
		for _, r := range x.runs {
			end := r.ended
			if end.IsZero() {
				end = now
			}
			if r.Late {
				until = later(until, r.At)
			}
			if end.Sub(until) > cancelTime {
				j.broke("task %v: it ran on %s until %v after its job was over", r.Task, r.Backend, end.Sub(until))
			}
		}
	}
	return j.count, j.broken
}
