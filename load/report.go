package load

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/io/caller"
)

// Largest time of the histograms, in microseconds, and their precision.
const (
	maxRecordedTime    = int64(20 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// Report holds the statistics of one run, as seen by callers.
type Report struct {
	Steady                Window         // jobs submitted outside the burst
	Burst                 *Window        // jobs submitted during the burst
	Resubmissions         map[string]int // number of answers to resubmissions, by state and reason
	AnswerErrors          AnswerErrors   `json:"Wrong"`
	MaxLagMilliseconds    float64        `json:"LatestMilliseconds"` // largest delay of a submission behind the plan
	Seconds               float64        // until the last answer
	ProcessorSeconds      float64        // of the whole process
	ProcessorMilliseconds float64        // of the whole process, per task of a complete job
}

// Window holds the statistics of the jobs submitted during the burst or outside it. Jobs with a planned
// cancellation are included in Jobs, Tasks, RunSeconds, Cancelled and Answers only.
type Window struct {
	Seconds        float64
	Jobs           int
	Tasks          int
	RunSeconds     float64        // sum of all run times; divided by Seconds, the mean number of slots needed
	Cancelled      int            // jobs with a planned cancellation
	Answers        map[string]int // number of answers, by state and reason
	Response       Percentiles    // response times of complete jobs, minus the run time of the longest task
	Refusal        Percentiles    // response times of jobs that were not run
	InTime         int            // jobs that completed without errors and within the deadline
	InTimeTasks    int            // tasks of these jobs
	InTimeRate     float64        // jobs/s
	InTimeShare    float64        // share of the jobs without a planned cancellation
	completedTasks int
	response       *hdrhistogram.Histogram
	refusal        *hdrhistogram.Histogram
}

// Percentiles are times in milliseconds.
type Percentiles struct {
	Count          int64
	P50, P99, P999 float64
}

func newWindow(length time.Duration) Window {
	return Window{
		Seconds: length.Seconds(), Answers: map[string]int{},
		response: hdrhistogram.New(1, maxRecordedTime, significantFigures),
		refusal:  hdrhistogram.New(1, maxRecordedTime, significantFigures),
	}
}

func newReport(s Settings, jobs []Job) *Report {
	r := &Report{Resubmissions: map[string]int{}}
	burstDuration := max(min(s.Duration-s.BurstStart, s.BurstDuration), 0)
	if s.BurstFactor <= 1 {
		burstDuration = 0
	}
	r.Steady = newWindow(s.Duration - burstDuration)
	if burstDuration > 0 {
		w := newWindow(burstDuration)
		r.Burst = &w
	}
	for _, j := range jobs {
		w := r.window(j)
		w.Jobs++
		w.Tasks += len(j.RunTimes)
		for _, run := range j.RunTimes {
			w.RunSeconds += run.Seconds()
		}
		if j.CancelAfter > 0 {
			w.Cancelled++
		}
	}
	return r
}

func (r *Report) window(j Job) *Window {
	if j.InBurst && r.Burst != nil {
		return r.Burst
	}
	return &r.Steady
}

// countAnswer counts the answer to a submission.
func (r *Report) countAnswer(j Job, a job.Answer, elapsed time.Duration) {
	answerErrors := checkAnswer(j, a)
	r.AnswerErrors.add(answerErrors)
	w := r.window(j)
	w.Answers[outcomeName(a)]++
	if a.State == job.Complete {
		w.completedTasks += len(j.RunTimes)
	}
	if j.CancelAfter > 0 {
		return
	}
	switch a.State {
	case job.Complete:
		recordTime(w.response, elapsed-j.Longest())
		if answerErrors == (AnswerErrors{}) && elapsed <= j.Submission.Deadline {
			w.InTime++
			w.InTimeTasks += len(j.RunTimes)
		}
	case job.NotRun:
		recordTime(w.refusal, elapsed)
	}
}

// countResubmission counts the answer to a resubmission.
func (r *Report) countResubmission(j Job, first, resubmitted job.Answer) {
	r.Resubmissions[outcomeName(resubmitted)]++
	answerErrors := checkAnswer(j, resubmitted)
	if answerErrors == (AnswerErrors{}) {
		answerErrors = compareAnswers(first, resubmitted)
	}
	r.AnswerErrors.add(answerErrors)
}

func (r *Report) finish(elapsed, processor time.Duration) {
	r.Seconds, r.ProcessorSeconds = elapsed.Seconds(), processor.Seconds()
	tasks := 0
	for _, w := range r.windows() {
		w.finish()
		tasks += w.completedTasks
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

// Unanswered returns the number of submissions and resubmissions that were sent and got no answer.
func (r *Report) Unanswered() int {
	return countState(r.Resubmissions, stateNoAnswer) + r.countByState(stateNoAnswer)
}

// Unsent returns the number of jobs that were not submitted.
func (r *Report) Unsent() int { return r.countByState(stateUnsent) }

// Answered returns the number of submissions that got an answer.
func (r *Report) Answered() int {
	jobs := 0
	for _, w := range r.windows() {
		jobs += w.Jobs
	}
	return jobs - r.countByState(stateNoAnswer) - r.Unsent()
}

func (r *Report) countByState(state job.State) int {
	n := 0
	for _, w := range r.windows() {
		n += countState(w.Answers, state)
	}
	return n
}

func countState(answers map[string]int, state job.State) int {
	n := 0
	for name, times := range answers {
		if stateOf(name) == string(state) {
			n += times
		}
	}
	return n
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// Timer rounding can make the time slightly negative.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxRecordedTime))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reasonOf returns the reason that is reported for a submission that failed with an error.
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
