package main

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/platform/standin"
)

// scenario is the setup of one subtest: a checker with a job that has a single task.
type scenario struct {
	*checker
	job      batch.Job
	workload standin.Workload
}

func (d scenario) newRun(number int) standin.Run {
	return standin.Run{
		Backend: "agent-1", Incarnation: 5, Task: batch.TaskID{Job: d.job.ID}, Number: number, Spec: d.job.Spec, At: time.Now(),
	}
}

func (d scenario) runStarted(r standin.Run) { d.RunStarted(r, false, resource.Amount{Processor: 1500}) }

func (d scenario) submit() func(standin.Outcome, string, bool) {
	return d.RecordSubmission(d.job, d.workload, "entry-1")
}

// Guards against a checker that misses violations, or reports them for correct behaviour.
func TestChecker(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		run  func(d scenario)
		want string // part of the reported violation; empty if there is none
	}{
		{"correct run", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			time.Sleep(pause)
			d.RunEnded(d.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, ""},
		{"two runs at once", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			other := d.newRun(1)
			other.Backend = "agent-2"
			d.runStarted(other)
			d.RunEnded(d.newRun(1), "done")
			d.RunEnded(other, "done")
			recordOutcome(standin.Completed, "", false)
		}, "started while run"},
		{"false completion", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "failed")
			recordOutcome(standin.Completed, "", false)
		}, "has no run that ended as done"},
		{"false failure", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "failed")
			recordOutcome(standin.Failed, "", false)
		}, "no task failed 2 times"},
		{"false refusal", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "stopped")
			recordOutcome(standin.NotRun, "", false)
		}, "refused as not run"},
		{"connection lost", func(d scenario) {
			recordOutcome := d.submit()
			time.Sleep(time.Second)
			recordOutcome(standin.NoResponse, "", false)
		}, "connection to entry-1 lost"},
		{"connection lost during a disturbance", func(d scenario) {
			d.disturbances.Begin("entry-1/callers", false)()
			recordOutcome := d.submit()
			time.Sleep(time.Second)
			recordOutcome(standin.NoResponse, "", false)
		}, ""},
		{"connection lost during planned maintenance", func(d scenario) {
			d.disturbances.Begin("entry-1", true)()
			recordOutcome := d.submit()
			time.Sleep(time.Second)
			recordOutcome(standin.NoResponse, "", false)
		}, "connection to entry-1 lost"},
		{"no response", func(d scenario) { d.submit() }, "never answered"},
		{"started after the job had ended", func(d scenario) {
			d.submit()(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "done")
		}, "after its job had ended"},
		{"start delayed by the backend server", func(d scenario) {
			d.submit()(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			r := d.newRun(1)
			r.Delayed = true
			d.runStarted(r)
			d.RunEnded(r, "lapsed")
		}, ""},
		{"still running after the job had ended", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			recordOutcome(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			d.RunEnded(d.newRun(1), "lapsed")
		}, "still running on"},
		{"still running after the cancellation", func(d scenario) {
			d.RecordCancelRequest(d.job)
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			d.RecordCancellation(d.job.ID)
			time.Sleep(cancelTimeout + pause)
			d.RunEnded(d.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, "still running on"},
		{"cancelled without a request", func(d scenario) { d.submit()(standin.Cancelled, "", false) }, "nobody requested that"},
		{"no route", func(d scenario) { d.submit()(standin.NoRoute, "", false) }, "has no route"},
		{"job never submitted", func(d scenario) { d.runStarted(d.newRun(1)) }, "its job was never submitted"},
		{"spec of another job", func(d scenario) {
			recordOutcome := d.submit()
			r := d.newRun(1)
			r.Spec = "other"
			d.runStarted(r)
			d.RunEnded(r, "done")
			recordOutcome(standin.Completed, "", false)
		}, "spec of another job"},
		{"beyond capacity", func(d scenario) {
			recordOutcome := d.submit()
			d.runStarted(d.newRun(1))
			other := d.newRun(1)
			other.Task.Index = 1
			d.runStarted(other)
			d.RunEnded(d.newRun(1), "done")
			d.RunEnded(other, "done")
			recordOutcome(standin.Completed, "", false)
		}, "beyond its capacity"},
		{"started after the leave notice", func(d scenario) {
			recordOutcome := d.submit()
			d.RecordLeaveNotice("agent-1", 5, time.Now())
			time.Sleep(drainTimeout + pause)
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, "after its leave notice was acknowledged"},
		{"older version", func(d scenario) {
			d.RecordVersion("entry-1", 1, 3, 3, time.Now(), time.Now())
			d.RecordVersion("entry-1", 1, 2, 3, time.Now(), time.Now())
		}, "went back from version 3 to 2"},
		{"older version after a restart", func(d scenario) {
			d.RecordVersion("entry-1", 1, 3, 3, time.Now(), time.Now())
			d.RecordVersion("entry-1", 2, 2, 3, time.Now(), time.Now())
		}, ""},
		{"version not in effect", func(d scenario) {
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			d.RecordVersion("entry-1", 1, 2, 3, at, time.Now())
		}, "after version 3 was acknowledged"},
		{"version not in effect during a store outage", func(d scenario) {
			d.disturbances.Begin(storeSubject, false)
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			d.RecordVersion("entry-1", 1, 2, 3, at, time.Now())
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := scenario{checker: newChecker(&disturbanceLog{}), workload: standin.Workload{RunTime: time.Second, Processor: 1000}}
				d.job = batch.Job{ID: "1", Timeout: time.Second, Spec: d.workload.Encode(), Steps: []batch.Step{{Count: 1}}}
				c.run(d)
				count, violations := d.Finish()
				text := strings.Join(violations, "\n")
				if c.want == "" && count > 0 || !strings.Contains(text, c.want) {
					t.Errorf("got %d violations: %s", count, text)
				}
			})
		})
	}
}
