// Package load is a load generator: it submits reproducible load to entries over HTTP and reports response times,
// outcomes and errors as callers see them.
//
// It is run by the load command. It plans the jobs, checks their answers and collects the statistics. A submission
// that fails is counted as one without an answer, and the run continues.
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

// Limits of a run.
const (
	MaxDuration = 10 * time.Minute
	MaxJobs     = 200_000
	// MaxOpen limits the number of concurrent submissions. Each uses a connection, which takes two sockets
	// of this process if the site also runs in it.
	MaxOpen = 4_000
)

// customerCount is the number of customers to which jobs are assigned at random.
const customerCount = 2

// Range is a range of run times.
type Range struct{ Min, Max time.Duration }

// Settings describe a load. BurstStart is relative to the start of the run.
type Settings struct {
	Seed          uint64
	Rate          float64 // jobs/s outside the burst
	Duration      time.Duration
	MinTasks      int // per job
	MaxTasks      int
	RunTimes      Range   // of ordinary tasks, log-uniform
	LongRunTimes  Range   // of long tasks, log-uniform
	LongShare     float64 // share of long tasks
	BurstFactor   float64 // factor by which Rate is multiplied during the burst; 1 means no burst
	BurstStart    time.Duration
	BurstDuration time.Duration
	ResubmitShare float64 // share of the jobs that are resubmitted to another entry while they run
	CancelShare   float64 // share of the jobs that are cancelled while they run
	Deadline      time.Duration
	Route         string
	KeyPrefix     string
}

// SettingError reports an invalid setting.
type SettingError struct{ Name, Want string }

// Error implements error.
func (e *SettingError) Error() string { return fmt.Sprintf("plan load: %s must be %s", e.Name, e.Want) }

// Validate returns a SettingError for the first invalid setting.
func (s Settings) Validate() error {
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	validRange := func(r Range) bool { return r.Min >= time.Millisecond && r.Max >= r.Min && r.Max <= time.Minute }
	checks := []struct {
		ok         bool
		name, want string
	}{
		{s.Rate > 0 && s.Rate <= MaxJobs, "rate", "above 0 jobs/s"},
		{s.Duration > 0 && s.Duration <= MaxDuration, "duration", "at most " + MaxDuration.String()},
		{
			s.MinTasks >= 1 && s.MaxTasks >= s.MinTasks && s.MaxTasks <= route.LimitMaxTasks,
			"tasks", fmt.Sprintf("a range within 1 to %d", route.LimitMaxTasks),
		},
		{validRange(s.RunTimes), "run time", "a range within 1ms to 1m"},
		{validRange(s.LongRunTimes), "long run time", "a range within 1ms to 1m"},
		{share(s.LongShare), "long share", "0 to 1"},
		{s.BurstFactor >= 1 && s.BurstFactor <= 100, "burst", "1x to 100x"},
		{s.BurstStart >= 0 && s.BurstDuration >= 0, "burst time", "0 or more"},
		{share(s.ResubmitShare) && share(s.CancelShare), "share of resubmissions and of cancellations", "0 to 1"},
		{s.Deadline > 0 && s.Deadline <= route.LimitDeadline, "deadline", "at most " + route.LimitDeadline.String()},
		{
			s.Rate*(s.Duration.Seconds()+(s.BurstFactor-1)*s.BurstDuration.Seconds()) <= MaxJobs,
			"number of jobs", fmt.Sprintf("at most %d", MaxJobs),
		},
	}
	for _, c := range checks {
		if !c.ok {
			return errors.WithStack(&SettingError{Name: c.name, Want: c.want})
		}
	}
	return nil
}

func (s Settings) inBurst(at time.Duration) bool {
	return s.BurstFactor > 1 && at >= s.BurstStart && at < s.BurstStart+s.BurstDuration
}

// Job is a planned submission.
type Job struct {
	Submission    job.Submission
	Arrival       time.Duration   // planned time of submission, relative to the start of the run
	RunTimes      []time.Duration // run time of each task
	InBurst       bool            // submitted during the burst
	ResubmitAfter time.Duration   // from submission to resubmission; 0 if it is not resubmitted
	CancelAfter   time.Duration   // from submission to cancellation; 0 if it is not cancelled
}

// Longest returns the run time of the longest task.
func (j Job) Longest() time.Duration {
	longest := time.Duration(0)
	for _, run := range j.RunTimes {
		longest = max(longest, run)
	}
	return longest
}

// Plan returns the jobs in the order of their arrival. They arrive in a Poisson process. The same settings
// give the same plan.
func Plan(s Settings) []Job {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var jobs []Job
	at := time.Duration(0)
	for len(jobs) < MaxJobs {
		at = s.nextArrival(random, at)
		if at >= s.Duration {
			break
		}
		jobs = append(jobs, s.planJob(random, len(jobs), at))
	}
	return jobs
}

// nextArrival draws the first arrival after a time. If it is beyond the next change of the rate, it is drawn again
// from there with the new rate, which is correct because a Poisson process is memoryless.
func (s Settings) nextArrival(random *rand.Rand, at time.Duration) time.Duration {
	for {
		rate, until := s.Rate, s.Duration
		switch {
		case s.inBurst(at):
			rate, until = s.Rate*s.BurstFactor, s.BurstStart+s.BurstDuration
		case s.BurstFactor > 1 && at < s.BurstStart:
			until = s.BurstStart
		}
		next := at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
		if next < until || until >= s.Duration {
			return next
		}
		at = until
	}
}

func (s Settings) planJob(random *rand.Rand, index int, at time.Duration) Job {
	j := Job{Arrival: at, InBurst: s.inBurst(at), Submission: job.Submission{
		ID: task.JobID{
			Customer: fmt.Sprintf("load-%d", 1+random.IntN(customerCount)),
			Key:      fmt.Sprintf("%s-%d", s.KeyPrefix, index),
		},
		Route: s.Route, Deadline: s.Deadline,
	}}
	for i := range s.MinTasks + random.IntN(s.MaxTasks-s.MinTasks+1) {
		runTimes := s.RunTimes
		if random.Float64() < s.LongShare {
			runTimes = s.LongRunTimes
		}
		run := runTimes.draw(random)
		j.RunTimes = append(j.RunTimes, run)
		j.Submission.Bodies = append(j.Submission.Bodies,
			fmt.Appendf(nil, `{"Text":%q,"RunMilliseconds":%d}`, j.taskText(i), run.Milliseconds()))
	}
	// A job cannot have completed before the run time of its longest task has passed.
	delay := time.Duration((0.1 + 0.8*random.Float64()) * float64(j.Longest()))
	switch x := random.Float64(); {
	case x < s.ResubmitShare:
		j.ResubmitAfter = delay
	case x < s.ResubmitShare+s.CancelShare:
		j.CancelAfter = delay
	}
	return j
}

// taskText returns the text in the body of a task, which the result must repeat.
func (j Job) taskText(index int) string { return fmt.Sprintf("%s#%d", j.Submission.ID, index) }

// draw returns a random time in whole milliseconds from the log-uniform distribution over the range.
func (r Range) draw(random *rand.Rand) time.Duration {
	factor := math.Pow(float64(r.Max)/float64(r.Min), random.Float64())
	return time.Duration(float64(r.Min) * factor).Truncate(time.Millisecond)
}
