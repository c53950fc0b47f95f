package load

import (
	"context"
	"sync"
	"syscall"
	"time"

	"dogwoodglade/core/job"
)

// grace is how long after its deadline a submission waits for its answer.
const grace = 10 * time.Second

// unsent is the state of jobs that were not submitted, because too many had no answer or the run ended.
const unsent job.State = "Unsent"

// noAnswer is the state of submissions whose answer was not received.
const noAnswer job.State = "NoAnswer"

// runner is one run of a plan.
type runner struct {
	target  Target
	started time.Time
	open    chan struct{}

	mu     sync.Mutex
	report *Report
}

// Run submits the planned jobs at their times, whether or not earlier ones were answered, and returns when
// all are answered. The end of the context ends the run early.
func Run(ctx context.Context, s Settings, jobs []Job, target Target) *Report {
	r := &runner{
		target: target, started: time.Now(), open: make(chan struct{}, LimitOpen),
		report: newReport(s, jobs),
	}
	processor := processorTime()
	var running sync.WaitGroup
	for i, j := range jobs {
		select {
		case <-time.After(j.At - time.Since(r.started)):
		case <-ctx.Done():
		}
		if !r.admit(ctx) {
			r.answered(j, job.Answer{ID: j.Submission.ID, State: unsent}, 0)
			continue
		}
		r.submitted(time.Since(r.started) - j.At)
		running.Go(func() {
			defer func() { <-r.open }()
			r.run(ctx, i, j)
		})
	}
	running.Wait()
	r.report.finish(time.Since(r.started), processorTime()-processor)
	return r.report
}

func (r *runner) admit(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case r.open <- struct{}{}:
		return true
	default:
		return false
	}
}

// run submits a job, and while it is open submits it again or cancels it as planned.
func (r *runner) run(ctx context.Context, number int, j Job) {
	ctx, cancel := context.WithTimeout(ctx, j.Submission.Deadline+grace)
	defer cancel()
	done := make(chan struct{})
	again := make(chan job.Answer, 1)
	var beside sync.WaitGroup
	beside.Go(func() {
		defer close(again)
		if j.Resubmit+j.Cancel == 0 {
			return
		}
		select {
		case <-time.After(j.Resubmit + j.Cancel):
			r.disturb(ctx, number, j, again)
		case <-done:
		}
	})
	a, err := r.target.submit(ctx, number, j)
	took := time.Since(r.started) - j.At // from the planned time, so that a late submission is not hidden
	close(done)
	if err != nil {
		a = job.Answer{ID: j.Submission.ID, State: noAnswer, Reason: reasonOf(err)}
	}
	r.answered(j, a, took)
	beside.Wait()
	if second, ok := <-again; ok {
		r.resubmitted(j, a, second)
	}
}

func (r *runner) disturb(ctx context.Context, number int, j Job, again chan<- job.Answer) {
	if j.Cancel > 0 {
		r.target.cancel(ctx, number, j)
		return
	}
	target, ok := r.target.(resubmitter)
	if !ok {
		return
	}
	a, err := target.resubmit(ctx, number, j)
	if err != nil {
		a = job.Answer{ID: j.Submission.ID, State: noAnswer, Reason: reasonOf(err)}
	}
	again <- a
}

func (r *runner) submitted(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.LatestMilliseconds = max(r.report.LatestMilliseconds, milliseconds(late))
}

func (r *runner) answered(j Job, a job.Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.answered(j, a, took)
}

func (r *runner) resubmitted(j Job, first, second job.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.resubmitted(j, first, second)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
