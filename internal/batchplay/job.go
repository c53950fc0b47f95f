package batchplay

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/overflow"
	"dogwoodglade/core/resource"
)

// Kind describes jobs of one kind in a load.
type Kind struct {
	Name        string
	Rate        float64 // jobs a second
	MeanTasks   float64 // mean number of tasks
	MeanRunTime float64 // mean run time of a task in seconds
	Cores       float64
	Value       float64 // value to the caller of an average job that is in time, in a unit common to all kinds
	Attempts    int
	Priority    int
	Pool        string // "pool" if empty
}

const (
	jobStretch = 1.6
	jobTarget  = 60 * time.Millisecond
	// Some tasks, the stragglers, take several times as long as the others.
	stragglerShare  = 0.03
	stragglerFactor = 7
	// lateValue is the share of the value of a job whose answer is late.
	lateValue = 0.2
)

// Job is a submitted job and what its caller got.
type Job struct {
	Kind        Kind
	SubmittedAt time.Duration // since the start
	LongestTask float64       // seconds
	Answered    bool
	InTime      bool
	Took        time.Duration // from the submission to the answer

	job          batch.Job
	runTimes     []float64 // of its tasks, in seconds
	value        float64
	earned       float64
	entry        *entry // the one that received it from its caller
	dispatchedBy *entry
	refusals     overflow.Refusals
}

// Results counts the outcomes that the callers of one kind of job got, and the value of their jobs.
type Results struct {
	Submitted, InTime, Late, Refused, Failed, TooLate int
	RefusalTimes                                      []time.Duration
	offered, earned                                   float64
}

// logNormal draws a log-normally distributed value with mean 1.
func (sim *Simulation) logNormal(sigma float64) float64 {
	return math.Exp(sigma*sim.random.NormFloat64() - sigma*sigma/2)
}

func (sim *Simulation) drawJob(k Kind) *Job {
	width := max(1, int(math.Round(k.MeanTasks*sim.logNormal(0.4))))
	base := k.MeanRunTime / (1 + stragglerShare*(stragglerFactor-1)) * sim.logNormal(0.4)
	j := &Job{Kind: k, SubmittedAt: sim.now.Sub(sim.startedAt)}
	demand := resource.Amount{Processor: int(k.Cores * 1000 * sim.logNormal(0.2)), Memory: 64}
	total := 0.0
	for range width {
		d := base * sim.logNormal(0.15)
		if sim.random.Float64() < stragglerShare {
			d *= stragglerFactor
		}
		j.runTimes = append(j.runTimes, d)
		j.LongestTask = max(j.LongestTask, d)
		total += d
	}
	j.value = k.Value * min(0.3+0.7*total/(k.MeanTasks*k.MeanRunTime), 4)
	estimate := time.Duration(base * sim.logNormal(0.4) * float64(time.Second))
	j.job = batch.Job{
		ID: batch.JobID(fmt.Sprintf("%016x", sim.sequence)), Route: k.Name, Pool: cmp.Or(k.Pool, "pool"),
		Attempts: k.Attempts, Priority: k.Priority, Stretch: jobStretch, Target: jobTarget,
		Steps: []batch.Step{{Count: width, Demand: demand, Estimate: estimate}},
	}
	return j
}

// record counts the outcome of a job when its caller gets it.
func (sim *Simulation) record(j *Job, o batch.Outcome) {
	r := sim.Results[j.Kind.Name]
	j.Answered, j.Took = true, sim.now.Sub(sim.startedAt)-j.SubmittedAt
	target := time.Duration(jobStretch*j.LongestTask*float64(time.Second)) + jobTarget
	switch o.(type) {
	case batch.Completed:
		switch {
		case j.Took <= target:
			r.InTime++
			j.InTime = true
			j.earned = j.value
		case j.Took <= 3*target:
			r.Late++
			j.earned = j.value * lateValue
		default:
			r.TooLate++
		}
		r.earned += j.earned
	case batch.NotRun:
		r.Refused++
		r.RefusalTimes = append(r.RefusalTimes, j.Took)
	default:
		r.Failed++
	}
}

// TimeToAnswer returns the time from the submission of a job to its answer, or to now if it has none.
func (sim *Simulation) TimeToAnswer(j *Job) time.Duration {
	if !j.Answered {
		return sim.now.Sub(sim.startedAt) - j.SubmittedAt
	}
	return j.Took
}

// Work returns the work of a job in seconds of run time, summed over its tasks.
func (j *Job) Work() float64 {
	total := 0.0
	for _, d := range j.runTimes {
		total += d
	}
	return total
}
