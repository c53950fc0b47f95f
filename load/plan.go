// Package load submits seeded load to entries over HTTP and reports what callers see.
//
// The load command calls it. It owns the plan of the jobs, the check of their answers and the counts. A
// submission whose entry fails is counted as one without an answer; the rest of the plan goes on.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/route"
	"dogwoodglade/core/task"
)

// Bounds of a run.
const (
	LimitDuration = 10 * time.Minute
	LimitJobs     = 200_000
	// LimitOpen bounds the submissions without an answer at once. Each holds a connection and two sockets
	// of this process if the site runs in it too.
	LimitOpen = 4_000
)

// customers is the number of customers among which the jobs are divided.
const customers = 2

// Range is a range of run times.
type Range struct{ Min, Max time.Duration }

// Settings describe a load. Times are relative to the start of the run.
type Settings struct {
	Seed      uint64
	Rate      float64 // jobs/s outside the burst
	Duration  time.Duration
	MinTasks  int // of a job
	MaxTasks  int
	Run       Range // of ordinary tasks, log-uniform
	Long      Range // of long tasks, log-uniform
	LongShare float64
	Burst     float64 // multiple of Rate during the burst; 1 is no burst
	BurstAt   time.Duration
	BurstFor  time.Duration
	Resubmit  float64 // share of the jobs that are submitted again at another entry while they run
	Cancel    float64 // share of the jobs that are cancelled while they run
	Deadline  time.Duration
	Route     string
	KeyPrefix string
}

// SettingError reports an invalid setting.
type SettingError struct{ Name, Want string }

// Error implements error.
func (e *SettingError) Error() string { return fmt.Sprintf("plan load: %s must be %s", e.Name, e.Want) }

// Validate reports the first invalid setting.
func (s Settings) Validate() error {
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	span := func(r Range) bool { return r.Min >= time.Millisecond && r.Max >= r.Min && r.Max <= time.Minute }
	checks := []struct {
		ok         bool
		name, want string
	}{
		{s.Rate > 0 && s.Rate <= LimitJobs, "rate", "above 0 jobs/s"},
		{s.Duration > 0 && s.Duration <= LimitDuration, "duration", "at most " + LimitDuration.String()},
		{
			s.MinTasks >= 1 && s.MaxTasks >= s.MinTasks && s.MaxTasks <= route.LimitMaxTasks,
			"tasks", fmt.Sprintf("a range within 1 to %d", route.LimitMaxTasks),
		},
		{span(s.Run), "run time", "a range within 1ms to 1m"},
		{span(s.Long), "long run time", "a range within 1ms to 1m"},
		{share(s.LongShare), "long share", "0 to 1"},
		{s.Burst >= 1 && s.Burst <= 100, "burst", "1x to 100x"},
		{s.BurstAt >= 0 && s.BurstFor >= 0, "burst time", "0 or more"},
		{share(s.Resubmit) && share(s.Cancel), "share of resubmissions and of cancellations", "0 to 1"},
		{s.Deadline > 0 && s.Deadline <= route.LimitDeadline, "deadline", "at most " + route.LimitDeadline.String()},
		{
			s.Rate*(s.Duration.Seconds()+(s.Burst-1)*s.BurstFor.Seconds()) <= LimitJobs,
			"number of jobs", fmt.Sprintf("at most %d", LimitJobs),
		},
	}
	for _, c := range checks {
		if !c.ok {
			return errors.WithStack(&SettingError{Name: c.name, Want: c.want})
		}
	}
	return nil
}

// inBurst reports whether a time is within the burst.
func (s Settings) inBurst(at time.Duration) bool {
	return s.Burst > 1 && at >= s.BurstAt && at < s.BurstAt+s.BurstFor
}

// Job is a planned submission.
type Job struct {
	Submission job.Submission
	At         time.Duration
	Runs       []time.Duration // of the tasks
	Burst      bool            // arrives within the burst
	Resubmit   time.Duration   // after the submission; 0 if not
	Cancel     time.Duration   // after the submission; 0 if not
}

// Longest returns the run time of the longest task.
func (j Job) Longest() time.Duration {
	longest := time.Duration(0)
	for _, run := range j.Runs {
		longest = max(longest, run)
	}
	return longest
}

// Plan returns the jobs in the order of their arrival, which is a Poisson process. The same settings give
// the same plan.
func Plan(s Settings) []Job {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var jobs []Job
	at := time.Duration(0)
	for len(jobs) < LimitJobs {
		at = s.next(random, at)
		if at >= s.Duration {
			break
		}
		jobs = append(jobs, s.plan(random, len(jobs), at))
	}
	return jobs
}

// next draws the arrival after a time. A gap drawn before a change of the rate ends there and is drawn again,
// which a Poisson process allows.
func (s Settings) next(random *rand.Rand, at time.Duration) time.Duration {
	for {
		rate, until := s.Rate, s.Duration
		switch {
		case s.inBurst(at):
			rate, until = s.Rate*s.Burst, s.BurstAt+s.BurstFor
		case s.Burst > 1 && at < s.BurstAt:
			until = s.BurstAt
		}
		next := at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
		if next < until || until >= s.Duration {
			return next
		}
		at = until
	}
}

func (s Settings) plan(random *rand.Rand, number int, at time.Duration) Job {
	j := Job{At: at, Burst: s.inBurst(at), Submission: job.Submission{
		ID: task.JobID{
			Customer: fmt.Sprintf("load-%d", 1+random.IntN(customers)),
			Key:      fmt.Sprintf("%s-%d", s.KeyPrefix, number),
		},
		Route: s.Route, Deadline: s.Deadline,
	}}
	for i := range s.MinTasks + random.IntN(s.MaxTasks-s.MinTasks+1) {
		span := s.Run
		if random.Float64() < s.LongShare {
			span = s.Long
		}
		run := span.draw(random)
		j.Runs = append(j.Runs, run)
		j.Submission.Bodies = append(j.Submission.Bodies,
			fmt.Appendf(nil, `{"Text":%q,"RunMilliseconds":%d}`, j.text(i), run.Milliseconds()))
	}
	// Within the longest task's run time, the job is certain to be open.
	within := time.Duration((0.1 + 0.8*random.Float64()) * float64(j.Longest()))
	switch x := random.Float64(); {
	case x < s.Resubmit:
		j.Resubmit = within
	case x < s.Resubmit+s.Cancel:
		j.Cancel = within
	}
	return j
}

// text is the text of a task, which its result must repeat.
func (j Job) text(index int) string { return fmt.Sprintf("%s#%d", j.Submission.ID, index) }

// draw returns a time whose logarithm is uniform, in whole milliseconds.
func (r Range) draw(random *rand.Rand) time.Duration {
	factor := math.Pow(float64(r.Max)/float64(r.Min), random.Float64())
	return time.Duration(float64(r.Min) * factor).Truncate(time.Millisecond)
}
