package load

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/invariant"
	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/dev"
	"dogwoodglade/internal/memnet"
)

func testSettings() Settings {
	return Settings{
		Seed: 1, Rate: 10, Duration: 20 * time.Second, MinTasks: 1, MaxTasks: 8,
		RunTimes:     Range{Min: 50 * time.Millisecond, Max: time.Second},
		LongRunTimes: Range{Min: 2 * time.Second, Max: 8 * time.Second}, LongShare: 0.02,
		BurstFactor: 4, BurstStart: 5 * time.Second, BurstDuration: 10 * time.Second,
		ResubmitShare: 0.1, CancelShare: 0.1, Deadline: 10 * time.Second, Route: dev.SampleRoute, KeyPrefix: "key",
	}
}

// A plan that differs between runs with the same seed would make results impossible to reproduce. A plan that
// ignores its settings would measure another load than the command line states.
func TestPlanIsDeterminedBySettings(t *testing.T) {
	s := testSettings()
	jobs := Plan(s)
	if !reflect.DeepEqual(jobs, Plan(s)) {
		t.Error("the same seed gives another plan")
	}
	other := s
	other.Seed = 2
	if reflect.DeepEqual(jobs, Plan(other)) {
		t.Error("another seed gives the same plan")
	}
	burst, long, tasks, resubmitted, cancelled := 0, 0, 0, 0, 0
	for i, j := range jobs {
		if i > 0 && j.Arrival < jobs[i-1].Arrival || j.Arrival >= s.Duration || j.InBurst != s.inBurst(j.Arrival) {
			t.Fatalf("job %d arrives at %v, burst %v", i, j.Arrival, j.InBurst)
		}
		if len(j.RunTimes) < s.MinTasks || len(j.RunTimes) > s.MaxTasks || j.ResubmitAfter+j.CancelAfter >= j.Longest() {
			t.Fatalf("job %d: %+v", i, j)
		}
		for _, run := range j.RunTimes {
			tasks++
			switch {
			case run >= s.LongRunTimes.Min && run <= s.LongRunTimes.Max:
				long++
			case run < s.RunTimes.Min || run > s.RunTimes.Max:
				t.Fatalf("job %d: run time %v", i, run)
			}
		}
		count := map[bool]int{true: 1}
		burst += count[j.InBurst]
		resubmitted += count[j.ResubmitAfter > 0]
		cancelled += count[j.CancelAfter > 0]
	}
	within := func(what string, got, want int) {
		if got < want*3/4 || got > want*5/4 {
			t.Errorf("%s: got %d, want about %d", what, got, want)
		}
	}
	within("jobs in the burst", burst, 400)
	within("jobs outside the burst", len(jobs)-burst, 100)
	within("long tasks", long, tasks/50)
	within("resubmissions", resubmitted, 50)
	within("cancellations", cancelled, 50)
}

// correctAnswer returns a complete answer to a job without errors.
func correctAnswer(j Job) job.Answer {
	a := job.Answer{ID: j.Submission.ID, State: job.Complete}
	for i, run := range j.RunTimes {
		body := fmt.Appendf(nil, `{"Text":%q,"RunMilliseconds":%d}`, j.taskText(i), run.Milliseconds())
		a.Results = append(a.Results, task.Result{Status: http.StatusOK, Body: body})
	}
	return a
}

func threeTaskJob() Job {
	return Job{
		Submission: job.Submission{ID: task.JobID{Customer: "atlas", Key: "k"}, Deadline: time.Second},
		RunTimes:   []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond},
	}
}

// Wrong answers that pass the check would hide a violated guarantee.
func TestCheckAnswerFindsErrors(t *testing.T) {
	j := threeTaskJob()
	cases := map[string]struct {
		change func(a *job.Answer)
		want   AnswerErrors
	}{
		"correct": {func(*job.Answer) {}, AnswerErrors{}},
		"missing": {func(a *job.Answer) { a.Results = a.Results[:2] }, AnswerErrors{Answers: 1, Missing: 1}},
		"duplicate": {
			func(a *job.Answer) { a.Results = append(a.Results, a.Results[2]) },
			AnswerErrors{Answers: 1, Mismatched: 1, Duplicate: 1},
		},
		"swapped": {
			func(a *job.Answer) { a.Results[0], a.Results[1] = a.Results[1], a.Results[0] },
			AnswerErrors{Answers: 1, Mismatched: 2},
		},
		"repeated":     {func(a *job.Answer) { a.Results[0] = a.Results[1] }, AnswerErrors{1, 1, 1, 1, 0}},
		"other job":    {func(a *job.Answer) { a.ID.Key = "other" }, AnswerErrors{Answers: 1, Mismatched: 1}},
		"failed task":  {func(a *job.Answer) { a.Results[1].Status = 500 }, AnswerErrors{Answers: 1, Mismatched: 1}},
		"not a result": {func(a *job.Answer) { a.Results[2].Body = []byte("x") }, AnswerErrors{1, 1, 1, 0, 0}},
		"partial":      {func(a *job.Answer) { a.State = job.Failed }, AnswerErrors{Answers: 1, Mismatched: 3}},
		"refused":      {func(a *job.Answer) { a.State, a.Results = job.NotRun, nil }, AnswerErrors{}},
	}
	for name, c := range cases {
		a := correctAnswer(j)
		c.change(&a)
		if got := checkAnswer(j, a); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
	second := correctAnswer(j)
	second.Results[1].Body = []byte(`{"Text":"atlas/k#1","RunMilliseconds":200,"BackendServer":"b"}`)
	got := compareAnswers(correctAnswer(j), second)
	if got.Differing != 1 || compareAnswers(second, second) != (AnswerErrors{}) {
		t.Errorf("second run of a job: got %+v", got)
	}
}

// Guards against miscounts: every figure of the report must follow from the answers.
func TestReportCounts(t *testing.T) {
	s := testSettings()
	steady, cancelled, burst := threeTaskJob(), threeTaskJob(), threeTaskJob()
	cancelled.CancelAfter, burst.InBurst = time.Millisecond, true
	r := newReport(s, []Job{steady, steady, steady, cancelled, burst, burst})
	r.countAnswer(steady, correctAnswer(steady), 350*time.Millisecond)
	r.countAnswer(steady, correctAnswer(steady), 1350*time.Millisecond) // late
	swapped := correctAnswer(steady)
	swapped.Results[0], swapped.Results[1] = swapped.Results[1], swapped.Results[0]
	r.countAnswer(steady, swapped, 350*time.Millisecond)
	r.countAnswer(cancelled, job.Answer{ID: steady.Submission.ID, State: job.Failed, Reason: job.ReasonCancelled}, 0)
	r.countAnswer(burst, job.Answer{ID: burst.Submission.ID, State: job.NotRun, Reason: job.ReasonOverloaded},
		20*time.Millisecond)
	r.countAnswer(burst, job.Answer{ID: burst.Submission.ID, State: stateNoAnswer, Reason: "Timeout"}, time.Second)
	r.finish(30*time.Second, 90*time.Millisecond)
	want := map[string]int{"Complete": 3, "Failed Cancelled": 1}
	w, b := r.Steady, r.Burst
	if !reflect.DeepEqual(w.Answers, want) || w.Jobs != 4 || w.Cancelled != 1 || w.InTime != 1 || w.InTimeTasks != 3 {
		t.Errorf("steady: got %+v", w)
	}
	if w.InTimeRate != 0.1 || w.RunSeconds < 2.39 || w.RunSeconds > 2.41 || w.Response.Count != 3 ||
		w.Response.P50 < 49.9 || w.Response.P50 > 50.1 || w.Response.P99 < 1049 ||
		w.Response.P99 > 1051 || r.ProcessorMilliseconds != 10 {
		t.Errorf("steady: got %+v, %v ms of processor time", w, r.ProcessorMilliseconds)
	}
	if b.Refusal.Count != 1 || b.Refusal.P99 < 19.9 || b.Refusal.P99 > 20.1 || b.InTime != 0 || b.Response.Count != 0 {
		t.Errorf("burst: got %+v", b)
	}
	if r.AnswerErrors.Answers != 1 || r.Unanswered() != 1 || r.Answered() != 5 {
		t.Errorf("got %+v, %d unanswered, %d answered", r.AnswerErrors, r.Unanswered(), r.Answered())
	}
}

// A run on a working site must report neither wrong answers nor violated guarantees, with and without the
// dispatcher.
func TestLoadOfDevSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		site, stop, err := dev.New(dev.Settings{Host: func(p string) dev.Host { return network.Host(p) }})
		if err != nil {
			t.Fatal(err)
		}
		s := testSettings()
		s.Rate, s.Duration = 5, 10*time.Second
		jobs := Plan(s)
		dial := network.Host("caller").Dial
		var servers, entries []string
		for _, b := range site.Servers {
			servers = append(servers, b.Process.Address())
		}
		for _, e := range site.Entries {
			entries = append(entries, e.Process.CallerAddress())
		}
		direct, closeDirect, err := NewDirect(servers, 8, dial)
		if err != nil {
			t.Fatal(err)
		}
		dispatched, closeEntries, err := NewEntries(entries, dial)
		if err != nil {
			t.Fatal(err)
		}
		result := Result{Baseline: Run(t.Context(), s, jobs, direct), Run: Run(t.Context(), s, jobs, dispatched)}
		closeDirect()
		closeEntries()
		stop()
		synctest.Wait()
		result.AddVerdicts(invariant.Check(site.Events()))
		result.CompareToBaseline()
		for _, r := range []*Report{result.Baseline, result.Run} {
			if r.AnswerErrors != (AnswerErrors{}) || r.Answered() != len(jobs) || r.Steady.InTime == 0 || r.Burst.InTime == 0 {
				t.Errorf("got %+v, burst %+v", r, r.Burst)
			}
		}
		failures := result.Failures()
		if len(failures) > 0 || result.Run.Resubmissions["Complete"] == 0 || len(result.Ratio) != 2 {
			t.Errorf("got %v, %+v", failures, result.Run)
		}
	})
}

// The report must count answers to another job as wrong, and the jobs that a stopped run did not submit as
// unsent.
func TestRunReportsWrongAnswersAndUnsentJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		listener, err := network.Host("entry").Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, `{"Customer":"load-1","Key":"x","State":"Complete","Results":[{"Status":200,"Text":"{}"}]}`)
		})}
		go func() { _ = server.Serve(listener) }()
		target, cleanUp, err := NewEntries([]string{listener.Addr().String()}, network.Host("caller").Dial)
		if err != nil {
			t.Fatal(err)
		}
		s := testSettings()
		jobs := Plan(s)[:2]
		jobs[0].Arrival, jobs[1].Arrival = 0, time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := Run(ctx, s, jobs, target)
		cleanUp()
		_ = server.Close()
		synctest.Wait()
		if r.AnswerErrors.Answers < 1 || r.Unsent() != 1 || len((&Result{Run: r}).Failures()) != 1 {
			t.Errorf("got %+v, %d unsent", r.AnswerErrors, r.Unsent())
		}
	})
}

// Load must not be sent to other hosts, where it would be an attack.
func TestCheckLoopbackRejectsOtherHosts(t *testing.T) {
	for address, allowed := range map[string]bool{
		"127.0.0.1:80": true, "[::1]:80": true, "192.0.2.1:80": false, "example.org:80": false, "127.0.0.1": false,
	} {
		if err := checkLoopback([]string{address}); (err == nil) != allowed {
			t.Errorf("%s: got %v", address, err)
		}
	}
}
