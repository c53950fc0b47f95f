package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/platform/standin"
)

// Limits of the guarantees. The values are those of the users' deployments.
const (
	// cancelTimeout corresponds to cancel_ms. When nobody has waited for a job for this long, none of its tasks start or
	// run any more.
	cancelTimeout = 3 * time.Second
	// drainTimeout corresponds to drain_ms. Nothing starts on a backend server this long after the acknowledgement of its
	// leave notice.
	drainTimeout = 2 * time.Second
	// configApplyTimeout corresponds to config_apply_ms, the time in which a new configuration takes effect. If the store
	// is disturbed, maxStretch is added, which corresponds to max_stretch_ms.
	configApplyTimeout = 2 * time.Second
	maxStretch         = 5 * time.Second
	// lossSlack corresponds to loss_slack_ms. Requests that arrive within this time before a process ends may be cut off.
	lossSlack = 200 * time.Millisecond
	// recoveryTimeout corresponds to recovery_s, the time in which callers are served again after the last disturbance.
	recoveryTimeout = 12 * time.Second
	// stopTimeout corresponds to grace_s, the time in which a process ends after SIGTERM.
	stopTimeout = 6 * time.Second
	// shrinkTimeout corresponds to contact_ms and one announcement interval. Nothing starts beyond a capacity that has
	// shrunk this long ago.
	shrinkTimeout = 4500 * time.Millisecond
	// maxAttempts is the number of failed runs after which a task is not retried, on the routes of the site.
	maxAttempts = 2
	// A task that crashes the backend servers that start it is started less than startsAfterCrashes times after
	// maxTaskCrashes have crashed under it. Its job may fail after failingCrashes.
	maxTaskCrashes     = 3
	startsAfterCrashes = 3
	failingCrashes     = 2
	// maxReported is the number of violations that are described. Further ones are only counted.
	maxReported = 20
)

// checker checks the guarantees against the observations of callers and backend servers.
type checker struct {
	disturbances *disturbanceLog

	mu             sync.Mutex // guards what follows
	jobs           map[batch.JobID]*jobRecord
	activeRuns     map[batch.TaskID]standin.Run
	usedResources  map[string]resource.Amount  // by instance of a backend server
	capacities     map[string][]capacityRecord // by backend server, in order
	leavingSince   map[string]time.Time        // by instance of a backend server
	dataCentres    map[string]string           // by backend server
	evacuatedSince map[string]time.Time        // by data centre
	shownVersions  map[string]shownVersion     // by entry
	violations     []string
	violationCount int
	eventCounts    map[string]int
	effects        map[string]int
	traced         map[batch.JobID]bool // jobs of which SaveTraces writes a trace
}

// jobRecord is what the checker knows about a job.
type jobRecord struct {
	batch.Job
	workload        standin.Workload
	submissions     []*submission
	cancelRequested bool      // its caller is about to cancel it or has done so
	cancelledAt     time.Time // when the cancellation was acknowledged
	runs            []*runRecord
}

// submission is one submission of a job. A job that is resent has several.
type submission struct {
	entry      string
	sentAt     time.Time
	answeredAt time.Time // zero while the caller waits
	gaveUp     bool      // the caller disconnected on purpose
	outcome    standin.Outcome
	detail     string
}

type runRecord struct {
	standin.Run
	endedAt time.Time // zero while it is active
	outcome string
}

// capacityRecord is a capacity of a backend server and when it began.
type capacityRecord struct {
	capacity resource.Amount
	since    time.Time
}

// writtenVersion is a version of the configuration and when the store acknowledged it.
type writtenVersion struct {
	version uint64
	at      time.Time
}

// shownVersion is the newest version of the configuration that was seen at an incarnation of an entry.
type shownVersion struct {
	incarnation int
	version     uint64
}

func newChecker(disturbances *disturbanceLog) *checker {
	return &checker{
		disturbances: disturbances, jobs: map[batch.JobID]*jobRecord{},
		activeRuns: map[batch.TaskID]standin.Run{}, usedResources: map[string]resource.Amount{},
		capacities: map[string][]capacityRecord{}, leavingSince: map[string]time.Time{},
		dataCentres: map[string]string{}, evacuatedSince: map[string]time.Time{},
		shownVersions: map[string]shownVersion{}, eventCounts: map[string]int{}, effects: newEffects(),
		traced: map[batch.JobID]bool{},
	}
}

// ReportViolation records the violation of a guarantee.
func (c *checker) ReportViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation(format, values...)
}

func (c *checker) reportViolation(format string, values ...any) {
	c.violationCount++
	if len(c.violations) < maxReported {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
	}
}

// RecordSubmission records the submission of a job, and returns the function that records its outcome.
func (c *checker) RecordSubmission(
	j batch.Job, w standin.Workload, entry string,
) (recordOutcome func(outcome standin.Outcome, detail string, gaveUp bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.jobRecord(j)
	record.workload = w
	if record.resubmittedBesideRun() {
		c.effects[effectResubmitted]++
	}
	sub := &submission{entry: entry, sentAt: time.Now()}
	record.submissions = append(record.submissions, sub)
	return func(outcome standin.Outcome, detail string, gaveUp bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		sub.answeredAt, sub.outcome, sub.detail, sub.gaveUp = time.Now(), outcome, detail, gaveUp
		c.eventCounts[outcome.String()]++
		before := c.violationCount
		c.checkOutcome(record, sub)
		c.traced[record.ID] = c.traced[record.ID] || c.violationCount > before
	}
}

// RecordCancelRequest records that a caller is about to cancel its job.
func (c *checker) RecordCancelRequest(j batch.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobRecord(j).cancelRequested = true
}

func (c *checker) jobRecord(j batch.Job) *jobRecord {
	record, ok := c.jobs[j.ID]
	if !ok {
		record = &jobRecord{Job: j}
		c.jobs[j.ID] = record
	}
	return record
}

// RecordCancellation records an acknowledged cancellation.
func (c *checker) RecordCancellation(id batch.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil && record.cancelledAt.IsZero() {
		record.cancelledAt = time.Now()
	}
}

// checkOutcome checks that the outcome of a submission agrees with the observed runs and disturbances.
func (c *checker) checkOutcome(record *jobRecord, sub *submission) {
	switch sub.outcome {
	case standin.Completed:
		for _, missing := range record.unfinishedTasks() {
			c.reportViolation("job %s: reported as completed by %s, but task %v has no run that ended as done",
				record.ID, sub.entry, missing)
		}
	case standin.Failed:
		if !record.failedPermanently() {
			c.reportViolation("job %s: reported as failed by %s, but no task failed %d times or crashed %d backend servers",
				record.ID, sub.entry, maxAttempts, failingCrashes)
		}
	case standin.NoResponse:
		if !sub.gaveUp && !c.disturbances.Disturbed(sub.sentAt, sub.answeredAt, func(s *span) bool { return !s.planned }) &&
			sub.answeredAt.Sub(sub.sentAt) > lossSlack {
			c.reportViolation("job %s: connection to %s lost after %v with only planned disturbances: %s",
				record.ID, sub.entry, sub.answeredAt.Sub(sub.sentAt), sub.detail)
		}
	case standin.NoRoute:
		c.reportViolation("job %s: %s has no route for it: %s", record.ID, sub.entry, sub.detail)
	case standin.Unexpected:
		c.reportViolation("job %s: unexpected response from %s: %s", record.ID, sub.entry, sub.detail)
	case standin.Cancelled:
		if !record.cancelRequested {
			c.reportViolation("job %s: %s reports it as cancelled, but nobody requested that", record.ID, sub.entry)
		}
	case standin.NotRun, standin.OutcomeUnknown:
	}
}

// unfinishedTasks returns the tasks that have no run that ended as done.
func (record *jobRecord) unfinishedTasks() []batch.TaskID {
	done := map[batch.TaskID]bool{}
	for _, r := range record.runs {
		done[r.Task] = done[r.Task] || r.outcome == "done"
	}
	var missing []batch.TaskID
	for i, s := range record.Steps {
		for k := range s.Count {
			if id := (batch.TaskID{Job: record.ID, Step: i, Index: k}); !done[id] {
				missing = append(missing, id)
			}
		}
	}
	return missing
}

// failedPermanently reports whether any task has failed maxAttempts times, or failingCrashes backend servers have crashed
// under it.
func (record *jobRecord) failedPermanently() bool {
	failures := map[batch.TaskID]int{}
	for _, r := range record.runs {
		if r.outcome == "failed" {
			failures[r.Task]++
		}
		if failures[r.Task] >= maxAttempts || record.crashes(r.Task) >= failingCrashes {
			return true
		}
	}
	return false
}

// crashes returns the number of backend servers that have crashed under a task.
func (record *jobRecord) crashes(t batch.TaskID) int {
	n := 0
	for _, r := range record.runs {
		if r.Task == t && r.outcome == "crashed" {
			n++
		}
	}
	return n
}

// awaitedUntil returns the time since which no caller waits for the job. It reports false while a caller waits.
func (record *jobRecord) awaitedUntil() (time.Time, bool) {
	if !record.cancelledAt.IsZero() {
		return record.cancelledAt, true
	}
	var until time.Time
	for _, sub := range record.submissions {
		end := sub.answeredAt
		if end.IsZero() {
			return time.Time{}, false
		}
		if sub.outcome == standin.NoResponse {
			// On a blackholed connection the entry cannot detect that its caller has disconnected.
			end = later(end, sub.sentAt.Add(record.Timeout))
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

// RecordCapacity records the capacity of a backend server from the given time on.
func (c *checker) RecordCapacity(backend string, capacity resource.Amount, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacities[backend] = append(c.capacities[backend], capacityRecord{capacity, at})
}

// fitsCapacity reports whether an amount in use fits into a capacity that a backend server had within shrinkTimeout
// before the given time.
func (c *checker) fitsCapacity(used resource.Amount, backend string, at time.Time) bool {
	until := at // when the next capacity replaced the one that is looked at
	for _, x := range slices.Backward(c.capacities[backend]) {
		if at.Sub(until) > shrinkTimeout {
			return false
		}
		if used.Fits(x.capacity) {
			return true
		}
		until = x.since
	}
	return false
}

// RunStarted records the start of a run. enforcesCapacity tells whether the backend server rejects runs that exceed its
// capacity, so that the checker need not check it.
func (c *checker) RunStarted(r standin.Run, enforcesCapacity bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventCounts["Runs"]++
	if other, ok := c.activeRuns[r.Task]; ok {
		c.traced[r.Task.Job] = true
		c.reportViolation("task %v: run %d on %s started while run %d on %s was active",
			r.Task, r.Number, r.Backend, other.Number, other.Backend)
	}
	c.activeRuns[r.Task] = r
	record, ok := c.jobs[r.Task.Job]
	if !ok {
		c.reportViolation("task %v: started on %s, but its job was never submitted", r.Task, r.Backend)
		return
	}
	if record.workload.Deadly && !r.Delayed && record.crashes(r.Task) >= maxTaskCrashes+startsAfterCrashes-1 {
		c.reportViolation("task %v: started on %s after it had crashed %d backend servers",
			r.Task, r.Backend, record.crashes(r.Task))
	}
	record.runs = append(record.runs, &runRecord{Run: r})
	if r.Spec != record.Spec {
		c.reportViolation("task %v: started on %s with the spec of another job", r.Task, r.Backend)
	}
	used := resource.Amount{Processor: record.workload.Processor}
	c.usedResources[instanceOf(r)] = c.usedResources[instanceOf(r)].Plus(used)
	if r.Delayed {
		return // the time limits do not apply to a start request that the stand-in delayed
	}
	if !enforcesCapacity && !c.fitsCapacity(c.usedResources[instanceOf(r)], r.Backend, r.At) {
		c.reportViolation("task %v: started on %s beyond its capacity, with %v in use",
			r.Task, r.Backend, c.usedResources[instanceOf(r)])
	}
	if since, ok := c.leavingSince[instanceOf(r)]; ok && r.At.Sub(since) > drainTimeout {
		c.reportViolation("task %v: started on %s %v after its leave notice was acknowledged",
			r.Task, r.Backend, r.At.Sub(since))
	}
	c.checkEvacuation(r)
	if until, ended := record.awaitedUntil(); ended && r.At.Sub(until) > cancelTimeout {
		c.reportViolation("task %v: started on %s %v after its job had ended", r.Task, r.Backend, r.At.Sub(until))
	}
}

// RunEnded records the end of a run.
func (c *checker) RunEnded(r standin.Run, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if active, ok := c.activeRuns[r.Task]; ok && active.Number == r.Number && active.Backend == r.Backend {
		delete(c.activeRuns, r.Task)
	}
	c.eventCounts["Ended as "+outcome]++
	record, ok := c.jobs[r.Task.Job]
	if !ok {
		return
	}
	freed := resource.Amount{Processor: record.workload.Processor}
	c.usedResources[instanceOf(r)] = c.usedResources[instanceOf(r)].Minus(freed)
	for _, run := range record.runs {
		if run.Task == r.Task && run.Number == r.Number && run.Backend == r.Backend &&
			run.Incarnation == r.Incarnation && run.endedAt.IsZero() {
			run.endedAt, run.outcome = r.At, outcome
		}
	}
}

// RecordLeaveNotice records that the leave notice of a backend server was acknowledged.
func (c *checker) RecordLeaveNotice(backend string, incarnation int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[instanceKey(backend, incarnation)] = at
}

// RecordVersion checks the newest version of the configuration that an entry showed in response to a request that was
// sent at the time sent, or 0 if it is older than all that the routes identify. acknowledged are the latest versions that
// the store had acknowledged before that, in order.
func (c *checker) RecordVersion(entry string, incarnation int, shown uint64, acknowledged []writtenVersion, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if shown > 0 {
		previous := c.shownVersions[entry]
		if previous.incarnation == incarnation && shown < previous.version {
			c.reportViolation("%s went back from version %d to %d", entry, previous.version, shown)
		}
		c.shownVersions[entry] = shownVersion{incarnation: incarnation, version: shown}
	}
	if c.disturbances.Disturbed(sent, sent, func(s *span) bool {
		return s.subject == entry || s.subject == storeSubject || s.subject == storeLinkOf(entry)
	}) {
		return
	}
	for _, w := range acknowledged {
		limit := configApplyTimeout
		if c.disturbances.Disturbed(w.at, sent, func(s *span) bool { return s.subject == storeSubject }) {
			limit += maxStretch
		}
		if shown < w.version && sent.Sub(w.at) > limit {
			c.reportViolation("%s shows version %d %v after version %d was acknowledged", entry, shown, sent.Sub(w.at), w.version)
			return
		}
	}
}

// CountServed returns how many jobs were first submitted between from and to, and how many of them completed. Jobs with
// tasks that always fail, and jobs that their callers cancelled or abandoned, do not count.
func (c *checker) CountServed(from, to time.Time) (submitted, completed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range c.jobs {
		first := record.submissions[0]
		if first.sentAt.Before(from) || first.sentAt.After(to) || record.workload.FailingShare > 0 || record.workload.Deadly ||
			first.gaveUp || record.cancelRequested {
			continue
		}
		submitted++
		for _, sub := range record.submissions {
			if sub.outcome == standin.Completed {
				completed++
				break
			}
		}
	}
	return submitted, completed
}

// Finish makes the checks that are only possible at the end of a run, and returns the violations.
func (c *checker) Finish() (count int, violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, record := range c.jobs {
		until, ended := record.awaitedUntil()
		if !ended {
			c.reportViolation("job %s: never answered", record.ID)
			continue
		}
		refused := true
		for _, sub := range record.submissions {
			refused = refused && sub.outcome == standin.NotRun
		}
		if refused && len(record.runs) > 0 {
			c.reportViolation("job %s: refused as not run, but task %v started on %s",
				record.ID, record.runs[0].Task, record.runs[0].Backend)
		}
		for _, r := range record.runs {
			end := r.endedAt
			if end.IsZero() {
				end = now
			}
			if r.Delayed {
				until = later(until, r.At)
			}
			if end.Sub(until) > cancelTimeout {
				c.reportViolation("task %v: still running on %s %v after its job had ended", r.Task, r.Backend, end.Sub(until))
			}
		}
	}
	return c.violationCount, c.violations
}
