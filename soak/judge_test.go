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

// day is what one test of the judge plays.
type day struct {
	*judge
	job  batch.Job
	work standin.Work
}

func (d day) run(number int) standin.Run {
	return standin.Run{
		Backend: "agent-1", Born: 5, Task: batch.TaskID{Job: d.job.ID}, Number: number, Spec: d.job.Spec, At: time.Now(),
	}
}

func (d day) began(r standin.Run) { d.Began(r, false, resource.Amount{Processor: 1500}) }

func (d day) submit() func(standin.Answer, string, bool) {
	return d.Submitted(d.job, d.work, "entry-1")
}

// Guards against a soak that cannot fail: each broken promise has to be found, and a sound day has to pass.
func TestJudge(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		play func(d day)
		want string // in what is reported; empty if all promises are kept
	}{
		{"sound", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			time.Sleep(pause)
			d.Ended(d.run(1), "done")
			answered(standin.Completed, "", false)
		}, ""},
		{"two runs at once", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			other := d.run(1)
			other.Backend = "agent-2"
			d.began(other)
			d.Ended(d.run(1), "done")
			d.Ended(other, "done")
			answered(standin.Completed, "", false)
		}, "began while run"},
		{"false completion", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			d.Ended(d.run(1), "failed")
			answered(standin.Completed, "", false)
		}, "never ended as done"},
		{"false failure", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			d.Ended(d.run(1), "failed")
			answered(standin.Failed, "", false)
		}, "no task failed 2 times"},
		{"false refusal", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			d.Ended(d.run(1), "stopped")
			answered(standin.NotRun, "", false)
		}, "refused as not run"},
		{"cut off", func(d day) {
			answered := d.submit()
			time.Sleep(time.Second)
			answered(standin.Broken, "", false)
		}, "cut off by entry-1"},
		{"cut off while disturbed", func(d day) {
			d.calm.Begin("entry-1/callers", false)()
			answered := d.submit()
			time.Sleep(time.Second)
			answered(standin.Broken, "", false)
		}, ""},
		{"cut off beside planned work", func(d day) {
			d.calm.Begin("entry-1", true)()
			answered := d.submit()
			time.Sleep(time.Second)
			answered(standin.Broken, "", false)
		}, "cut off by entry-1"},
		{"no answer", func(d day) { d.submit() }, "never answered"},
		{"started after all", func(d day) {
			d.submit()(standin.Unknown, "", false)
			time.Sleep(cancelTime + pause)
			d.began(d.run(1))
			d.Ended(d.run(1), "done")
		}, "after its job was over"},
		{"started late by the backend server", func(d day) {
			d.submit()(standin.Unknown, "", false)
			time.Sleep(cancelTime + pause)
			r := d.run(1)
			r.Late = true
			d.began(r)
			d.Ended(r, "lapsed")
		}, ""},
		{"runs on", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			answered(standin.Unknown, "", false)
			time.Sleep(cancelTime + pause)
			d.Ended(d.run(1), "lapsed")
		}, "it ran on"},
		{"runs on after its cancellation", func(d day) {
			d.Cancelling(d.job)
			answered := d.submit()
			d.began(d.run(1))
			d.Cancelled(d.job.ID)
			time.Sleep(cancelTime + pause)
			d.Ended(d.run(1), "done")
			answered(standin.Completed, "", false)
		}, "it ran on"},
		{"cancelled by nobody", func(d day) { d.submit()(standin.Gone, "", false) }, "nobody asked for that"},
		{"no route", func(d day) { d.submit()(standin.NoRoute, "", false) }, "has no route"},
		{"unknown job", func(d day) { d.began(d.run(1)) }, "nobody submitted"},
		{"another text", func(d day) {
			answered := d.submit()
			r := d.run(1)
			r.Spec = "other"
			d.began(r)
			d.Ended(r, "done")
			answered(standin.Completed, "", false)
		}, "text of another job"},
		{"beyond capacity", func(d day) {
			answered := d.submit()
			d.began(d.run(1))
			other := d.run(1)
			other.Task.Index = 1
			d.began(other)
			d.Ended(d.run(1), "done")
			d.Ended(other, "done")
			answered(standin.Completed, "", false)
		}, "beyond its capacity"},
		{"leaving", func(d day) {
			answered := d.submit()
			d.Leaving("agent-1", 5, time.Now())
			time.Sleep(drainTime + pause)
			d.began(d.run(1))
			d.Ended(d.run(1), "done")
			answered(standin.Completed, "", false)
		}, "after it said that it leaves"},
		{"went back", func(d day) {
			d.Showed("entry-1", 1, 3, 3, time.Now(), time.Now())
			d.Showed("entry-1", 1, 2, 3, time.Now(), time.Now())
		}, "went back from version 3 to 2"},
		{"restarted with an older version", func(d day) {
			d.Showed("entry-1", 1, 3, 3, time.Now(), time.Now())
			d.Showed("entry-1", 2, 2, 3, time.Now(), time.Now())
		}, ""},
		{"not in force", func(d day) {
			at := time.Now()
			time.Sleep(applyTime + pause)
			d.Showed("entry-1", 1, 2, 3, at, time.Now())
		}, "after version 3 was acknowledged"},
		{"not in force while the store is down", func(d day) {
			d.calm.Begin(storeSubject, false)
			at := time.Now()
			time.Sleep(applyTime + pause)
			d.Showed("entry-1", 1, 2, 3, at, time.Now())
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := day{judge: newJudge(&calm{}), work: standin.Work{RunTime: time.Second, Processor: 1000}}
				d.job = batch.Job{ID: "1", Timeout: time.Second, Spec: d.work.Spec(), Steps: []batch.Step{{Count: 1}}}
				c.play(d)
				count, broken := d.Close()
				text := strings.Join(broken, "\n")
				if c.want == "" && count > 0 || !strings.Contains(text, c.want) {
					t.Errorf("got %d broken promises: %s", count, text)
				}
			})
		})
	}
}
