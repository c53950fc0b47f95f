package main

import (
	"os"
	"path/filepath"
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

func (s scenario) newRun(number int) standin.Run {
	return standin.Run{
		Backend: "agent-1", Incarnation: 5, Task: batch.TaskID{Job: s.job.ID}, Number: number,
		Spec: s.job.Spec, At: time.Now(),
	}
}

func (s scenario) runStarted(r standin.Run) { s.RunStarted(r, false) }

func (s scenario) submit() func(standin.Outcome, string, bool) {
	return s.RecordSubmission(s.job, s.workload, "entry-1")
}

// crash starts the task the given number of times on backend servers that it crashes.
func (s scenario) crash(times int) {
	s.workload.Deadly = true
	recordOutcome := s.submit()
	for number := range times {
		s.runStarted(s.newRun(number + 1))
		s.RunEnded(s.newRun(number+1), "crashed")
	}
	recordOutcome(standin.OutcomeUnknown, "", false)
}

// Guards against a checker that misses violations, or reports them for correct behaviour.
func TestChecker(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		run  func(s scenario)
		want string // part of the reported violation; empty if there is none
	}{
		{"correct run", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			time.Sleep(pause)
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, ""},
		{"two runs at once", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			other := s.newRun(1)
			other.Backend = "agent-2"
			s.runStarted(other)
			s.RunEnded(s.newRun(1), "done")
			s.RunEnded(other, "done")
			recordOutcome(standin.Completed, "", false)
		}, "started while run"},
		{"false completion", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "failed")
			recordOutcome(standin.Completed, "", false)
		}, "has no run that ended as done"},
		{"false failure", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "failed")
			recordOutcome(standin.Failed, "", false)
		}, "no task failed 2 times"},
		{"failure after two crashes", func(s scenario) {
			recordOutcome := s.submit()
			for number := range 2 {
				s.runStarted(s.newRun(number + 1))
				s.RunEnded(s.newRun(number+1), "crashed")
			}
			recordOutcome(standin.Failed, "", false)
		}, ""},
		{"failure after one crash", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "crashed")
			recordOutcome(standin.Failed, "", false)
		}, "crashed 2 backend servers"},
		{"deadly task started twice after three crashes", func(s scenario) { s.crash(5) }, ""},
		{"deadly task started three times after three crashes", func(s scenario) { s.crash(6) }, "after it had crashed 5"},
		{"false refusal", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "stopped")
			recordOutcome(standin.NotRun, "", false)
		}, "refused as not run"},
		{"connection lost", func(s scenario) {
			recordOutcome := s.submit()
			time.Sleep(time.Second)
			recordOutcome(standin.NoResponse, "", false)
		}, "connection to entry-1 lost"},
		{"connection lost during a disturbance", func(s scenario) {
			s.disturbances.Begin("entry-1/callers", false)()
			recordOutcome := s.submit()
			time.Sleep(time.Second)
			recordOutcome(standin.NoResponse, "", false)
		}, ""},
		{"connection lost during planned maintenance", func(s scenario) {
			s.disturbances.Begin("entry-1", true)()
			recordOutcome := s.submit()
			time.Sleep(time.Second)
			recordOutcome(standin.NoResponse, "", false)
		}, "connection to entry-1 lost"},
		{"no response", func(s scenario) { s.submit() }, "never answered"},
		{"started after the job had ended", func(s scenario) {
			s.submit()(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
		}, "after its job had ended"},
		{"start delayed by the backend server", func(s scenario) {
			s.submit()(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			r := s.newRun(1)
			r.Delayed = true
			s.runStarted(r)
			s.RunEnded(r, "lapsed")
		}, ""},
		{"still running after the job had ended", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			recordOutcome(standin.OutcomeUnknown, "", false)
			time.Sleep(cancelTimeout + pause)
			s.RunEnded(s.newRun(1), "lapsed")
		}, "still running on"},
		{"still running after the cancellation", func(s scenario) {
			s.RecordCancelRequest(s.job)
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			s.RecordCancellation(s.job.ID)
			time.Sleep(cancelTimeout + pause)
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, "still running on"},
		{"cancelled without a request", func(s scenario) {
			s.submit()(standin.Cancelled, "", false)
		}, "nobody requested that"},
		{"no route", func(s scenario) { s.submit()(standin.NoRoute, "", false) }, "has no route"},
		{"job never submitted", func(s scenario) { s.runStarted(s.newRun(1)) }, "its job was never submitted"},
		{"spec of another job", func(s scenario) {
			recordOutcome := s.submit()
			r := s.newRun(1)
			r.Spec = "other"
			s.runStarted(r)
			s.RunEnded(r, "done")
			recordOutcome(standin.Completed, "", false)
		}, "spec of another job"},
		{"beyond capacity", func(s scenario) {
			recordOutcome := s.submit()
			s.runStarted(s.newRun(1))
			other := s.newRun(1)
			other.Task.Index = 1
			s.runStarted(other)
			s.RunEnded(s.newRun(1), "done")
			s.RunEnded(other, "done")
			recordOutcome(standin.Completed, "", false)
		}, "beyond its capacity"},
		{"started after the leave notice", func(s scenario) {
			recordOutcome := s.submit()
			s.RecordLeaveNotice("agent-1", 5, time.Now())
			time.Sleep(drainTimeout + pause)
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, "after its leave notice was acknowledged"},
		{"started in an evacuated data centre", func(s scenario) {
			recordOutcome := s.submit()
			s.RecordDataCentre("agent-1", "dc-1")
			s.RecordEvacuation("dc-1", true, time.Now())
			time.Sleep(evacuateTimeout + pause)
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, "after its data centre was evacuated"},
		{"started after an evacuation was taken back", func(s scenario) {
			recordOutcome := s.submit()
			s.RecordDataCentre("agent-1", "dc-1")
			s.RecordEvacuation("dc-1", true, time.Now())
			time.Sleep(evacuateTimeout + pause)
			s.RecordEvacuation("dc-1", false, time.Now())
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, ""},
		{"beyond shrunk capacity", func(s scenario) {
			recordOutcome := s.submit()
			s.RecordCapacity("agent-1", resource.Amount{Processor: 500}, time.Now())
			time.Sleep(shrinkTimeout + pause)
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, "beyond its capacity"},
		{"beyond a capacity that has just shrunk", func(s scenario) {
			recordOutcome := s.submit()
			s.RecordCapacity("agent-1", resource.Amount{Processor: 500}, time.Now())
			time.Sleep(shrinkTimeout - pause)
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, ""},
		{"within a capacity that has grown", func(s scenario) {
			recordOutcome := s.submit()
			s.RecordCapacity("agent-1", resource.Amount{Processor: 500}, time.Now())
			time.Sleep(shrinkTimeout + pause)
			s.RecordCapacity("agent-1", resource.Amount{Processor: 1500}, time.Now())
			s.runStarted(s.newRun(1))
			s.RunEnded(s.newRun(1), "done")
			recordOutcome(standin.Completed, "", false)
		}, ""},
		{"older version", func(s scenario) {
			s.RecordVersion("entry-1", 1, 3, []writtenVersion{{3, time.Now()}}, time.Now())
			s.RecordVersion("entry-1", 1, 2, []writtenVersion{{3, time.Now()}}, time.Now())
		}, "went back from version 3 to 2"},
		{"older version after a restart", func(s scenario) {
			s.RecordVersion("entry-1", 1, 3, []writtenVersion{{3, time.Now()}}, time.Now())
			s.RecordVersion("entry-1", 2, 2, []writtenVersion{{3, time.Now()}}, time.Now())
		}, ""},
		{"version not in effect", func(s scenario) {
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			s.RecordVersion("entry-1", 1, 2, []writtenVersion{{3, at}}, time.Now())
		}, "after version 3 was acknowledged"},
		{"version not in effect although newer ones were just acknowledged", func(s scenario) {
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			s.RecordVersion("entry-1", 1, 2, []writtenVersion{{2, at}, {3, at}, {4, time.Now()}}, time.Now())
		}, "after version 3 was acknowledged"},
		{"version in effect before newer ones", func(s scenario) {
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			s.RecordVersion("entry-1", 1, 3, []writtenVersion{{3, at}, {4, time.Now()}}, time.Now())
		}, ""},
		{"version not in effect during a store outage", func(s scenario) {
			s.disturbances.Begin(storeSubject, false)
			at := time.Now()
			time.Sleep(configApplyTimeout + pause)
			s.RecordVersion("entry-1", 1, 2, []writtenVersion{{3, at}}, time.Now())
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := scenario{
					checker:  newChecker(&disturbanceLog{}),
					workload: standin.Workload{RunTime: time.Second, Processor: 1000},
				}
				s.job = batch.Job{ID: "1", Timeout: time.Second, Spec: s.workload.Encode(), Steps: []batch.Step{{Count: 1}}}
				s.RecordCapacity("agent-1", resource.Amount{Processor: 1500}, time.Now())
				c.run(s)
				count, violations := s.Finish()
				text := strings.Join(violations, "\n")
				if c.want == "" && count > 0 || !strings.Contains(text, c.want) {
					t.Errorf("got %d violations: %s", count, text)
				}
			})
		})
	}
}

// Guards against near misses and resubmissions that are not counted, or counted where there are none, and against traces
// that lack a part of the site.
func TestSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChecker(&disturbanceLog{})
		job := batch.Job{ID: "1", Timeout: time.Second, Steps: []batch.Step{{Count: 1}}}
		run := func(backend string, number int) standin.Run {
			return standin.Run{Backend: backend, Task: batch.TaskID{Job: "1"}, Number: number, At: time.Now()}
		}
		c.RecordSubmission(job, standin.Workload{}, "entry-1")(standin.NoResponse, "", true)
		c.RunStarted(run("agent-1", 1), true)
		time.Sleep(time.Second)
		c.RunEnded(run("agent-1", 1), "lapsed")
		c.RunStarted(run("agent-1", 2), true)
		if effects, misses := c.Summary(); effects[effectTwoBackends] > 0 || misses.String() != "none" {
			t.Errorf("on one backend server: %v, %v", effects, misses)
		}
		c.RecordSubmission(job, standin.Workload{}, "entry-2")(standin.NoResponse, "", true)
		time.Sleep(time.Second)
		c.RunStarted(run("agent-2", 1), true)
		time.Sleep(time.Millisecond)
		c.RunEnded(run("agent-1", 2), "stopped")
		effects, misses := c.Summary()
		if want := "-1ms, lapsed 1s, stopped -1ms"; misses.String() != want {
			t.Errorf("got %v, want %s", misses, want)
		}
		directory := t.TempDir()
		line := `{"Process":"entry-1","Job":"1","time":"` + time.Now().UTC().Format(time.RFC3339Nano) + `"}`
		if err := os.WriteFile(filepath.Join(directory, "entry-1.log"), []byte(line), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.SaveTraces(directory); err != nil {
			t.Fatal(err)
		}
		trace, err := os.ReadFile(filepath.Join(directory, "trace-1.txt"))
		if err != nil || strings.Count(string(trace), "\n") != 10 || !strings.Contains(string(trace), line) {
			t.Errorf("got %v, %s", err, trace)
		}
		if effects[effectTwoBackends] != 1 || effects[effectResubmitted] != 1 {
			t.Errorf("got %v", effects)
		}
	})
}
