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
	// cancelTimeout is cancel_ms: after it nothing starts, and nothing runs, for a job that nobody waits for.
	cancelTimeout = 3 * time.Second
	// drainTimeout is drain_ms: after it nothing starts on a backend server that leaves.
	drainTimeout = 2 * time.Second
	// configApplyTimeout is config_apply_ms, and stretchTime max_stretch_ms, which the store's trouble adds.
	configApplyTimeout = 2 * time.Second
	maxStretch         = 5 * time.Second
	// lossSlack is loss_slack_ms: requests that arrive so late before the end of a process may be cut off.
	lossSlack = 200 * time.Millisecond
	// recoveryTimeout is recovery_s.
	recoveryTimeout = 12 * time.Second
	// stopTimeout is grace_s: a process that is asked to stop has ended after it.
	stopTimeout = 6 * time.Second
	// maxAttempts is the number of runs of a task that may fail on the routes of the site.
	maxAttempts = 2
	// maxReported is the number of broken promises that are described.
	maxReported = 20
)

// checker checks the promises by what callers and backend servers see.
type checker struct {
	disturbances *disturbanceLog

	mu             sync.Mutex // guards what follows
	jobs           map[batch.JobID]*jobRecord
	activeRuns     map[batch.TaskID]standin.Run
	usedResources  map[string]resource.Amount // by backend servers that do not guard their capacity
	leavingSince   map[string]time.Time       // by backend server
	shownVersions  map[string]shownVersion    // by entry
	violations     []string
	violationCount int
	eventCounts    map[string]int
}

type jobRecord struct {
	batch.Job
	workload        standin.Workload
	submissions     []*submission
	cancelRequested bool      // its caller cancels it
	cancelledAt     time.Time // when the cancellation was acknowledged
	runs            []*runRecord
}

// submission is a submission of a job.
type submission struct {
	entry      string
	sentAt     time.Time
	answeredAt time.Time // zero while it is open
	gaveUp     bool
	outcome    standin.Outcome
	detail     string
}

type runRecord struct {
	standin.Run
	endedAt time.Time // zero while it goes on
	outcome string
}

// shownVersion is the newest version that an incarnation of an entry has shown.
type shownVersion struct {
	incarnation int
	version     uint64
}

func newChecker(c *disturbanceLog) *checker {
	return &checker{
		disturbances: c, jobs: map[batch.JobID]*jobRecord{}, activeRuns: map[batch.TaskID]standin.Run{}, usedResources: map[string]resource.Amount{},
		leavingSince: map[string]time.Time{}, shownVersions: map[string]shownVersion{}, eventCounts: map[string]int{},
	}
}

// ReportViolation takes note of a broken promise.
func (j *checker) ReportViolation(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reportViolation(format, values...)
}

func (j *checker) reportViolation(format string, values ...any) {
	j.violationCount++
	if len(j.violations) < maxReported {
		j.violations = append(j.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
	}
}

// RecordSubmission takes note of an attempt, and returns the function that takes its answer.
func (j *checker) RecordSubmission(b batch.Job, w standin.Workload, entry string) (recordOutcome func(a standin.Outcome, detail string, gaveUp bool)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x := j.jobRecord(b)
	x.workload = w
	t := &submission{entry: entry, sentAt: time.Now()}
	x.submissions = append(x.submissions, t)
	return func(a standin.Outcome, detail string, gaveUp bool) {
		j.mu.Lock()
		defer j.mu.Unlock()
		t.answeredAt, t.outcome, t.detail, t.gaveUp = time.Now(), a, detail, gaveUp
		j.eventCounts[a.String()]++
		j.checkOutcome(x, t)
	}
}

// RecordCancelRequest takes note that a caller is about to cancel its job.
func (j *checker) RecordCancelRequest(b batch.Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobRecord(b).cancelRequested = true
}

func (j *checker) jobRecord(b batch.Job) *jobRecord {
	x, ok := j.jobs[b.ID]
	if !ok {
		x = &jobRecord{Job: b}
		j.jobs[b.ID] = x
	}
	return x
}

// RecordCancellation takes note of an acknowledged cancellation.
func (j *checker) RecordCancellation(id batch.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x := j.jobs[id]; x != nil && x.cancelledAt.IsZero() {
		x.cancelledAt = time.Now()
	}
}

// checkOutcome checks that an answer is whole and true.
func (j *checker) checkOutcome(x *jobRecord, t *submission) {
	switch t.outcome {
	case standin.Completed:
		for _, missing := range x.unfinishedTasks() {
			j.reportViolation("job %s: answered as completed by %s, but %v never ended as done", x.ID, t.entry, missing)
		}
	case standin.Failed:
		if !x.failedForGood() {
			j.reportViolation("job %s: answered as failed by %s, but no task failed %d times", x.ID, t.entry, maxAttempts)
		}
	case standin.NoResponse:
		if !t.gaveUp && !j.disturbances.Disturbed(t.sentAt, t.answeredAt, func(s *span) bool { return !s.planned }) &&
			t.answeredAt.Sub(t.sentAt) > lossSlack {
			j.reportViolation("job %s: cut off by %s after %v beside planned work only: %s", x.ID, t.entry, t.answeredAt.Sub(t.sentAt), t.detail)
		}
	case standin.NoRoute:
		j.reportViolation("job %s: %s has no route for it: %s", x.ID, t.entry, t.detail)
	case standin.Unexpected:
		j.reportViolation("job %s: %s answered %s", x.ID, t.entry, t.detail)
	case standin.Cancelled:
		if !x.cancelRequested {
			j.reportViolation("job %s: %s says that it was cancelled, but nobody asked for that", x.ID, t.entry)
		}
	case standin.NotRun, standin.OutcomeUnknown:
	}
}

// unfinishedTasks returns the tasks without a run that ended as done.
func (x *jobRecord) unfinishedTasks() []batch.TaskID {
	done := map[batch.TaskID]bool{}
	for _, r := range x.runs {
		done[r.Task] = done[r.Task] || r.outcome == "done"
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

// failedForGood reports whether a task failedForGood as often as its route allows.
func (x *jobRecord) failedForGood() bool {
	failures := map[batch.TaskID]int{}
	for _, r := range x.runs {
		if r.outcome == "failed" {
			failures[r.Task]++
		}
		if failures[r.Task] >= maxAttempts {
			return true
		}
	}
	return false
}

// awaitedUntil returns the time after which nobody waits for the job. It reports false while somebody does.
func (x *jobRecord) awaitedUntil() (time.Time, bool) {
	if !x.cancelledAt.IsZero() {
		return x.cancelledAt, true
	}
	var until time.Time
	for _, t := range x.submissions {
		end := t.answeredAt
		if end.IsZero() {
			return time.Time{}, false
		}
		if t.outcome == standin.NoResponse {
			// Behind a connection that went silent the entry cannot see that its caller has gone.
			end = later(end, t.sentAt.Add(x.Timeout))
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

func instanceOf(r standin.Run) string { return instanceKey(r.Backend, r.Incarnation) }

func instanceKey(backend string, incarnation int64) string {
	return fmt.Sprintf("%s/%d", backend, incarnation)
}

// RunStarted takes note of the start of a run. Guarded says whether the backend server checks its capacity itself.
func (j *checker) RunStarted(r standin.Run, enforcesCapacity bool, capacity resource.Amount) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.eventCounts["Runs"]++
	if other, ok := j.activeRuns[r.Task]; ok {
		j.reportViolation("task %v: run %d on %s began while run %d on %s goes on", r.Task, r.Number, r.Backend, other.Number, other.Backend)
	}
	j.activeRuns[r.Task] = r
	x, ok := j.jobs[r.Task.Job]
	if !ok {
		j.reportViolation("task %v: begun on %s, but nobody submitted its job", r.Task, r.Backend)
		return
	}
	x.runs = append(x.runs, &runRecord{Run: r})
	if r.Spec != x.Spec {
		j.reportViolation("task %v: begun on %s with the text of another job", r.Task, r.Backend)
	}
	j.usedResources[instanceOf(r)] = j.usedResources[instanceOf(r)].Plus(resource.Amount{Processor: x.workload.Processor})
	if r.Delayed {
		return // the time bounds do not hold for an order that was held up
	}
	if !enforcesCapacity && !j.usedResources[instanceOf(r)].Fits(capacity) {
		j.reportViolation("task %v: begun on %s beyond its capacity", r.Task, r.Backend)
	}
	if since, ok := j.leavingSince[instanceOf(r)]; ok && r.At.Sub(since) > drainTimeout {
		j.reportViolation("task %v: begun on %s %v after it said that it leaves", r.Task, r.Backend, r.At.Sub(since))
	}
	if until, over := x.awaitedUntil(); over && r.At.Sub(until) > cancelTimeout {
		j.reportViolation("task %v: begun on %s %v after its job was over", r.Task, r.Backend, r.At.Sub(until))
	}
}

// RunEnded takes note of the end of a run.
func (j *checker) RunEnded(r standin.Run, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if live, ok := j.activeRuns[r.Task]; ok && live.Number == r.Number && live.Backend == r.Backend {
		delete(j.activeRuns, r.Task)
	}
	j.eventCounts["Ended as "+outcome]++
	x, ok := j.jobs[r.Task.Job]
	if !ok {
		return
	}
	j.usedResources[instanceOf(r)] = j.usedResources[instanceOf(r)].Minus(resource.Amount{Processor: x.workload.Processor})
	for _, record := range x.runs {
		if record.Task == r.Task && record.Number == r.Number && record.Backend == r.Backend && record.Incarnation == r.Incarnation && record.endedAt.IsZero() {
			record.endedAt, record.outcome = r.At, outcome
		}
	}
}

// RecordLeaveNotice takes note that a backend server's notice was acknowledged.
func (j *checker) RecordLeaveNotice(backend string, incarnation int64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leavingSince[instanceKey(backend, incarnation)] = at
}

// RecordVersion takes note of the newest version that an entry shows, and of the version that was acknowledged at a time.
func (j *checker) RecordVersion(entry string, incarnation int, shown, current uint64, ackedAt, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m := j.shownVersions[entry]
	if m.incarnation == incarnation && shown < m.version {
		j.reportViolation("%s went back from version %d to %d", entry, m.version, shown)
	}
	j.shownVersions[entry] = shownVersion{incarnation: incarnation, version: shown}
	bound := configApplyTimeout
	if j.disturbances.Disturbed(ackedAt, sent, func(s *span) bool { return s.subject == storeSubject }) {
		bound += maxStretch
	}
	undisturbed := !j.disturbances.Disturbed(sent, sent, func(s *span) bool {
		return s.subject == entry || s.subject == storeSubject || s.subject == storeLinkOf(entry)
	})
	if shown < current && undisturbed && sent.Sub(ackedAt) > bound {
		j.reportViolation("%s shows version %d %v after version %d was acknowledged", entry, shown, sent.Sub(ackedAt), current)
	}
}

// CountServed returns how many jobs were submitted for the first time in a span, and how many of them completed. Jobs that
// fail always or that their callers gave up do not count.
func (j *checker) CountServed(from, to time.Time) (submitted, completed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, x := range j.jobs {
		first := x.submissions[0]
		if first.sentAt.Before(from) || first.sentAt.After(to) || x.workload.FailingShare > 0 || first.gaveUp || x.cancelRequested {
			continue
		}
		submitted++
		for _, t := range x.submissions {
			if t.outcome == standin.Completed {
				completed++
				break
			}
		}
	}
	return submitted, completed
}

// Finish checks what can only be said at the end, and returns the broken promises.
func (j *checker) Finish() (count int, violations []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, x := range j.jobs {
		until, over := x.awaitedUntil()
		if !over {
			j.reportViolation("job %s: it was never answered", x.ID)
			continue
		}
		refused := true
		for _, t := range x.submissions {
			refused = refused && t.outcome == standin.NotRun
		}
		if refused && len(x.runs) > 0 {
			j.reportViolation("job %s: refused as not run, but %v began on %s", x.ID, x.runs[0].Task, x.runs[0].Backend)
		}
		for _, r := range x.runs {
			end := r.endedAt
			if end.IsZero() {
				end = now
			}
			if r.Delayed {
				until = later(until, r.At)
			}
			if end.Sub(until) > cancelTimeout {
				j.reportViolation("task %v: it ran on %s until %v after its job was over", r.Task, r.Backend, end.Sub(until))
			}
		}
	}
	return j.violationCount, j.violations
}
