package load

import (
	"context"
	"sync"
	"syscall"
	"time"

	"dogwoodglade/core/job"
)

// answerGracePeriod is the time after its deadline for which a submission still waits for its answer.
const answerGracePeriod = 10 * time.Second

// stateUnsent is the state of jobs that were not submitted, because MaxOpen submissions were open or the run was
// stopped.
const stateUnsent job.State = "Unsent"

// stateNoAnswer is the state of submissions whose answer was not received.
const stateNoAnswer job.State = "NoAnswer"

// runner is the state of one run.
type runner struct {
	target          Target
	started         time.Time
	openSubmissions chan struct{}

	mu     sync.Mutex
	report *Report
}

// Run submits each job at its planned time, whether or not earlier jobs were answered (an open-loop load), and
// returns when all submissions have ended. If the context is cancelled, the remaining jobs are not submitted.
func Run(ctx context.Context, s Settings, jobs []Job, target Target) *Report {
	r := &runner{
		target: target, started: time.Now(), openSubmissions: make(chan struct{}, MaxOpen),
		report: newReport(s, jobs),
	}
	processor := processorTime()
	var running sync.WaitGroup
	for i, j := range jobs {
		select {
		case <-time.After(j.Arrival - time.Since(r.started)):
		case <-ctx.Done():
		}
		if !r.acquire(ctx) {
			r.recordAnswer(j, job.Answer{ID: j.Submission.ID, State: stateUnsent}, 0)
			continue
		}
		r.recordLag(time.Since(r.started) - j.Arrival)
		running.Go(func() {
			defer func() { <-r.openSubmissions }()
			r.runJob(ctx, i, j)
		})
	}
	running.Wait()
	r.report.finish(time.Since(r.started), processorTime()-processor)
	return r.report
}

func (r *runner) acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case r.openSubmissions <- struct{}{}:
		return true
	default:
		return false
	}
}

// runJob submits a job, and resubmits or cancels it while it is open if that is planned.
func (r *runner) runJob(ctx context.Context, index int, j Job) {
	ctx, cancel := context.WithTimeout(ctx, j.Submission.Deadline+answerGracePeriod)
	defer cancel()
	done := make(chan struct{})
	resubmission := make(chan job.Answer, 1)
	var background sync.WaitGroup
	background.Go(func() {
		defer close(resubmission)
		if j.ResubmitAfter+j.CancelAfter == 0 {
			return
		}
		select {
		case <-time.After(j.ResubmitAfter + j.CancelAfter):
			r.resubmitOrCancel(ctx, index, j, resubmission)
		case <-done:
		}
	})
	a, err := r.target.submit(ctx, index, j)
	// Measured from the planned time, so that the delay of a late submission is included.
	elapsed := time.Since(r.started) - j.Arrival
	close(done)
	if err != nil {
		a = job.Answer{ID: j.Submission.ID, State: stateNoAnswer, Reason: reasonOf(err)}
	}
	r.recordAnswer(j, a, elapsed)
	background.Wait()
	if resubmitted, ok := <-resubmission; ok {
		r.recordResubmission(j, a, resubmitted)
	}
}

func (r *runner) resubmitOrCancel(ctx context.Context, index int, j Job, resubmission chan<- job.Answer) {
	if j.CancelAfter > 0 {
		r.target.cancel(ctx, index, j)
		return
	}
	target, ok := r.target.(resubmitter)
	if !ok {
		return
	}
	a, err := target.resubmit(ctx, index, j)
	if err != nil {
		a = job.Answer{ID: j.Submission.ID, State: stateNoAnswer, Reason: reasonOf(err)}
	}
	resubmission <- a
}

func (r *runner) recordLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.MaxLagMilliseconds = max(r.report.MaxLagMilliseconds, milliseconds(lag))
}

func (r *runner) recordAnswer(j Job, a job.Answer, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.countAnswer(j, a, elapsed)
}

func (r *runner) recordResubmission(j Job, first, resubmitted job.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.countResubmission(j, first, resubmitted)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
