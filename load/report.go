package load

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/io/caller"
)

// Bounds of the recorded times, in microseconds, and their significant figures.
const (
	longestRecorded = int64(20 * time.Minute / time.Microsecond)
	figures         = 3
)

// Report is what the callers of one run saw.
type Report struct {
	Steady                Window  // jobs that arrived outside the burst
	Burst                 *Window // jobs that arrived in it
	Resubmissions         map[string]int
	Wrong                 Wrong
	LatestMilliseconds    float64 // longest delay of a submission behind the plan
	Seconds               float64 // until the last answer
	ProcessorSeconds      float64 // of the whole process
	ProcessorMilliseconds float64 // of the whole process, for each task of a complete job
}

// Window is what the callers of the jobs of a span of time saw. A job that is cancelled as planned counts
// among the answers, but in no other figure.
type Window struct {
	Seconds      float64
	Jobs         int
	Tasks        int
	RunSeconds   float64        // run times of all tasks; divided by Seconds, the slots that they need
	Cancelled    int            // jobs that are cancelled as planned
	Answers      map[string]int // by state and reason
	Response     Percentiles    // of complete jobs, beyond the job's own longest task
	Refusal      Percentiles    // of jobs that were not run
	InTime       int            // complete, right and within the deadline
	InTimeTasks  int
	InTimeRate   float64 // jobs/s
	InTimeShare  float64 // of the jobs that are not cancelled
	completeTask int
	response     *hdrhistogram.Histogram
	refusal      *hdrhistogram.Histogram
}

// Percentiles are times in milliseconds.
type Percentiles struct {
	Count          int64
	P50, P99, P999 float64
}

func newWindow(length time.Duration) Window {
	return Window{
		Seconds: length.Seconds(), Answers: map[string]int{},
		response: hdrhistogram.New(1, longestRecorded, figures),
		refusal:  hdrhistogram.New(1, longestRecorded, figures),
	}
}

func newReport(s Settings, jobs []Job) *Report {
	r := &Report{Resubmissions: map[string]int{}}
	burst := max(min(s.Duration-s.BurstAt, s.BurstFor), 0)
	if s.Burst <= 1 {
		burst = 0
	}
	r.Steady = newWindow(s.Duration - burst)
	if burst > 0 {
		w := newWindow(burst)
		r.Burst = &w
	}
	for _, j := range jobs {
		w := r.window(j)
		w.Jobs++
		w.Tasks += len(j.Runs)
		for _, run := range j.Runs {
			w.RunSeconds += run.Seconds()
		}
		if j.Cancel > 0 {
			w.Cancelled++
		}
	}
	return r
}

func (r *Report) window(j Job) *Window {
	if j.Burst && r.Burst != nil {
		return r.Burst
	}
	return &r.Steady
}

// answered counts the answer of a submission.
func (r *Report) answered(j Job, a job.Answer, took time.Duration) {
	wrong := check(j, a)
	r.Wrong.add(wrong)
	w := r.window(j)
	w.Answers[name(a)]++
	if a.State == job.Complete {
		w.completeTask += len(j.Runs)
	}
	if j.Cancel > 0 {
		return
	}
	switch a.State {
	case job.Complete:
		record(w.response, took-j.Longest())
		if wrong == (Wrong{}) && took <= j.Submission.Deadline {
			w.InTime++
			w.InTimeTasks += len(j.Runs)
		}
	case job.NotRun:
		record(w.refusal, took)
	}
}

// resubmitted counts the answer of a resubmission.
func (r *Report) resubmitted(j Job, first, second job.Answer) {
	r.Resubmissions[name(second)]++
	wrong := check(j, second)
	if wrong == (Wrong{}) {
		wrong = compare(first, second)
	}
	r.Wrong.add(wrong)
}

func (r *Report) finish(took, processor time.Duration) {
	r.Seconds, r.ProcessorSeconds = took.Seconds(), processor.Seconds()
	tasks := 0
	for _, w := range r.windows() {
		w.finish()
		tasks += w.completeTask
	}
	if tasks > 0 {
		r.ProcessorMilliseconds = milliseconds(processor) / float64(tasks)
	}
}

func (r *Report) windows() []*Window {
	if r.Burst == nil {
		return []*Window{&r.Steady}
	}
	return []*Window{&r.Steady, r.Burst}
}

func (w *Window) finish() {
	w.Response, w.Refusal = percentiles(w.response), percentiles(w.refusal)
	if w.Seconds > 0 {
		w.InTimeRate = float64(w.InTime) / w.Seconds
	}
	if n := w.Jobs - w.Cancelled; n > 0 {
		w.InTimeShare = float64(w.InTime) / float64(n)
	}
}

// Unanswered returns how many submissions and resubmissions were sent and got no answer.
func (r *Report) Unanswered() int {
	return count(r.Resubmissions, noAnswer) + r.submissions(noAnswer)
}

// Unsent returns how many jobs were not submitted.
func (r *Report) Unsent() int { return r.submissions(unsent) }

// Answered returns how many submissions got an answer.
func (r *Report) Answered() int {
	jobs := 0
	for _, w := range r.windows() {
		jobs += w.Jobs
	}
	return jobs - r.submissions(noAnswer) - r.Unsent()
}

func (r *Report) submissions(state job.State) int {
	n := 0
	for _, w := range r.windows() {
		n += count(w.Answers, state)
	}
	return n
}

func count(answers map[string]int, state job.State) int {
	n := 0
	for name, times := range answers {
		if stateOf(name) == string(state) {
			n += times
		}
	}
	return n
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A result that arrives before its run time has passed cannot be; the rounding of the timer can.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), longestRecorded))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reasonOf names the failure of a submission without an answer.
func reasonOf(err error) job.Reason {
	var refused *caller.RequestError
	switch {
	case errors.As(err, &refused):
		return job.Reason("Request" + refused.Type)
	case errors.Is(err, context.DeadlineExceeded):
		return "Timeout"
	case errors.Is(err, context.Canceled):
		return "Stopped"
	}
	return "ConnectionFailed"
}
