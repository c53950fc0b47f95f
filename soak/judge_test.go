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

// scenario is what one test of the judge plays.
type scenario struct {
	*checker
	job  batch.Job
	work standin.Workload
}

func (d scenario) newRun(number int) standin.Run {
	return standin.Run{
		Backend: "agent-1", Incarnation: 5, Task: batch.TaskID{Job: d.job.ID}, Number: number, Spec: d.job.Spec, At: time.Now(),
	}
}

func (d scenario) runStarted(r standin.Run) { d.RunStarted(r, false, resource.Amount{Processor: 1500}) }

func (d scenario) submit() func(standin.Outcome, string, bool) {
	return d.RecordSubmission(d.job, d.work, "entry-1")
}

// Guards against a soak that cannot fail: each broken promise has to be found, and a sound day has to pass.
func TestChecker(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		play func(d scenario)
		want string // in what is reported; empty if all promises are kept
	}{
		{"sound", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			time.Sleep(pause)
			d.RunEnded(d.newRun(1), "done")
			answered(standin.Completed, "", false)
		}, ""},
		{"two runs at once", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			other := d.newRun(1)
			other.Backend = "agent-2"
			d.runStarted(other)
			d.RunEnded(d.newRun(1), "done")
			d.RunEnded(other, "done")
			answered(standin.Completed, "", false)
		}, "began while run"},
		{"false completion", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "failed")
			answered(standin.Completed, "", false)
		}, "never ended as done"},
		{"false failure", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "failed")
			answered(standin.Failed, "", false)
		}, "no task failed 2 times"},
		{"false refusal", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "stopped")
			answered(standin.NotRun, "", false)
		}, "refused as not run"},
		{"cut off", func(d scenario) {
			answered := d.submit()
			time.Sleep(time.Second)
			answered(standin.NoResponse, "", false)
		}, "cut off by entry-1"},
		{"cut off while disturbed", func(d scenario) {
			d.disturbances.Begin("entry-1/callers", false)()
			answered := d.submit()
			time.Sleep(time.Second)
			answered(standin.NoResponse, "", false)
		}, ""},
		{"cut off beside planned work", func(d scenario) {
			d.disturbances.Begin("entry-1", true)()
			answered := d.submit()
			time.Sleep(time.Second)
			answered(standin.NoResponse, "", false)
		}, "cut off by entry-1"},
		{"no answer", func(d scenario) { d.submit() }, "never answered"},
		{"started after all", func(d scenario) {
			d.submit()(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "done")
		}, "after its job was over"},
		{"started late by the backend server", func(d scenario) {
			d.submit()(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			r := d.newRun(1)
			r.Delayed = true
			d.runStarted(r)
			d.RunEnded(r, "lapsed")
		}, ""},
		{"runs on", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			answered(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			d.RunEnded(d.newRun(1), "lapsed")
		}, "it ran on"},
		{"runs on after its cancellation", func(d scenario) {
			d.RecordCancelRequest(d.job)
			answered := d.submit()
			d.runStarted(d.newRun(1))
			d.RecordCancellation(d.job.ID)
			time.Sleep(cancelTimeout + pause)
			d.RunEnded(d.newRun(1), "done")
			answered(standin.Completed, "", false)
		}, "it ran on"},
		{"cancelled by nobody", func(d scenario) { d.submit()(standin.Cancelled, "", false) }, "nobody asked for that"},
		{"no route", func(d scenario) { d.submit()(standin.NoRoute, "", false) }, "has no route"},
		{"unknown job", func(d scenario) { d.runStarted(d.newRun(1)) }, "nobody submitted"},
		{"another text", func(d scenario) {
			answered := d.submit()
			r := d.newRun(1)
			r.Spec = "other"
			d.runStarted(r)
			d.RunEnded(r, "done")
			answered(standin.Completed, "", false)
		}, "text of another job"},
		{"beyond capacity", func(d scenario) {
			answered := d.submit()
			d.runStarted(d.newRun(1))
			other := d.newRun(1)
			other.Task.Index = 1
			d.runStarted(other)
			d.RunEnded(d.newRun(1), "done")
			d.RunEnded(other, "done")
			answered(standin.Completed, "", false)
		}, "beyond its capacity"},
		{"leaving", func(d scenario) {
			answered := d.submit()
			d.RecordLeaveNotice("agent-1", 5, time.Now())
			time.Sleep(drainTimeout + pause)
			d.runStarted(d.newRun(1))
			d.RunEnded(d.newRun(1), "done")
			answered(standin.Completed, "", false)
		}, "after it said that it leaves"},
		{"went back", func(d scenario) {
			d.RecordVersion("entry-1", 1, 3, 3, time.Now(), time.Now())
			d.RecordVersion("entry-1", 1, 2, 3, time.Now(), time.Now())
		}, "went back from version 3 to 2"},
		{"restarted with an older version", func(d scenario) {
			d.RecordVersion("entry-1", 1, 3, 3, time.Now(), time.Now())
			d.RecordVersion("entry-1", 2, 2, 3, time.Now(), time.Now())
		}, ""},
		{"not in force", func(d scenario) {
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			d.RecordVersion("entry-1", 1, 2, 3, at, time.Now())
		}, "after version 3 was acknowledged"},
		{"not in force while the store is down", func(d scenario) {
			d.disturbances.Begin(storeSubject, false)
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			d.RecordVersion("entry-1", 1, 2, 3, at, time.Now())
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := scenario{checker: newChecker(&disturbanceLog{}), work: standin.Workload{RunTime: time.Second, Processor: 1000}}
				d.job = batch.Job{ID: "1", Timeout: time.Second, Spec: d.work.Encode(), Steps: []batch.Step{{Count: 1}}}
				c.play(d)
				count, broken := d.Finish()
				text := strings.Join(broken, "\n")
				if c.want == "" && count > 0 || !strings.Contains(text, c.want) {
					t.Errorf("got %d broken promises: %s", count, text)
				}
			})
		})
	}
}
