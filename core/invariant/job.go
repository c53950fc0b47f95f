package invariant

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodglade/core/event"
	corejob "dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

// States of events, as the packages that record them write them.
const (
	complete       = string(corejob.Complete)
	failed         = string(corejob.Failed)
	notRun         = string(corejob.NotRun)
	succeeded      = "Succeeded" // allocator.Succeeded, of TaskEnded
	ended          = string(task.Ended)
	alreadyStarted = string(task.RefusedAlreadyStarted)
)

var submitted = is(event.JobAccepted, event.JobResubmitted)

// job is the record of one job.
type job struct {
	line   *timeLine
	events []event.Event
}

// starts returns the starts of each task.
func (j *job) starts() map[int][]event.Event {
	starts := map[int][]event.Event{}
	for _, e := range j.events {
		if e.Number == event.TaskStarted {
			starts[e.Task] = append(starts[e.Task], e)
		}
	}
	return starts
}

// tasks returns the number of tasks of the job, or 0 if the record does not tell.
func (j *job) tasks() int {
	count := 0
	for _, e := range j.events {
		if is(event.JobAccepted, event.JobRecovered)(e) {
			count = max(count, e.Count)
		}
	}
	return count
}

func (j *job) startsTwice() []Violation {
	limit := 0
	for _, e := range j.events {
		if e.Number == event.JobAccepted {
			limit = max(limit, e.Limit)
		}
	}
	var violations []Violation
	starts := j.starts()
	for _, index := range slices.Sorted(maps.Keys(starts)) {
		first := map[int]event.Event{}
		for _, e := range starts[index] {
			if earlier, ok := first[e.Attempt]; ok {
				violations = append(violations, violation("the same attempt started twice", earlier, e))
				continue
			}
			first[e.Attempt] = e
		}
		if limit > 0 && len(starts[index]) > limit {
			violations = append(violations, violation("a task started more often than allowed", starts[index]...))
		}
	}
	return violations
}

func (j *job) partial() []Violation {
	tasks := j.tasks()
	var violations []Violation
	done := map[int]bool{}
	for i, e := range j.events {
		switch {
		case e.Number == event.TaskEnded && e.State == succeeded,
			e.Number == event.OutcomeReceived && e.State == ended:
			done[e.Task] = true
		case e.Number == event.JobAnswered && e.State == complete && tasks > 0 && countBelow(done, tasks) < tasks:
			violations = append(violations, violation("a complete answer without an end for each task", e))
		case e.Number == event.AnswerDelivered && e.State == complete && tasks > 0 && e.Count != tasks:
			violations = append(violations, violation("a delivered answer without a result for each task", e))
		case e.Number == event.JobAccepted && j.unanswered(i):
			violations = append(violations, violation("an accepted job without an answer", e))
		}
	}
	return violations
}

func countBelow(done map[int]bool, tasks int) int {
	count := 0
	for index := range done {
		if index >= 0 && index < tasks {
			count++
		}
	}
	return count
}

// unanswered reports whether the process that accepted the job outlived AnswerLimit without an answer.
func (j *job) unanswered(accepted int) bool {
	e := j.events[accepted]
	if slices.ContainsFunc(j.events[accepted:], is(event.JobAnswered)) {
		return false
	}
	return j.line.last[e.Process].Stamp.Time().Sub(e.Stamp.Time()) > AnswerLimit
}

func (j *job) wrongAnswer() []Violation {
	var violations []Violation
	final, refused := event.Event{}, event.Event{}
	answered := false
	for _, e := range j.events {
		switch {
		case submitted(e):
			refused = event.Event{}
		case e.Number == event.JobAnswered && e.State == notRun:
			refused = e
		case e.Number == event.JobAnswered && (e.State == complete || e.State == failed):
			answered = answered || e.State == complete
			if final.State != "" && final.State != e.State {
				violations = append(violations, violation("two different answers to one job", final, e))
			}
			if refused.State != "" {
				violations = append(violations, violation("an answer after NotRun without a submission", refused, e))
			}
			final = e
		case e.Number == event.AnswerDelivered && e.State == complete && !answered:
			violations = append(violations, violation("a delivered answer that no owner gave", e))
		}
	}
	return violations
}

func (j *job) falseNotRun() []Violation {
	reports := event.AnswerDelivered
	if slices.ContainsFunc(j.events, func(e event.Event) bool {
		return e.Number == event.JobAnswered && e.State == notRun
	}) {
		reports = event.JobAnswered
	}
	var violations []Violation
	var starts []event.Event
	reported := event.Event{}
	for _, e := range j.events {
		switch {
		case submitted(e):
			reported = event.Event{}
		case e.Number == event.TaskStarted:
			starts = append(starts, e)
			if reported.State != "" {
				violations = append(violations, violation("a start after NotRun without a submission", reported, e))
			}
		case e.Number == reports && e.State == notRun:
			reported = e
			if len(starts) > 0 {
				violations = append(violations, violation("NotRun after a start", append(slices.Clone(starts), e)...))
			}
		}
	}
	return append(violations, j.refusedStarts()...)
}

// refusedStarts finds attempts that start after their refusal was reported.
func (j *job) refusedStarts() []Violation {
	type key struct {
		attemptID
		epoch string
	}
	var violations []Violation
	refused := map[key]event.Event{}
	for _, e := range j.events {
		k := key{attemptID{e.Task, e.Attempt}, e.Epoch}
		switch refusal, ok := refused[k]; {
		case e.Number == event.TaskRefused && e.State != alreadyStarted:
			refused[k] = e
		case e.Number == event.TaskStarted && ok:
			violations = append(violations, violation("a start of a refused attempt", refusal, e))
		}
	}
	return violations
}

func (j *job) repeated() []Violation {
	marked := func(e event.Event) bool { return e.State == event.NonIdempotent }
	whole := slices.ContainsFunc(j.events, func(e event.Event) bool {
		return e.Number == event.JobAccepted && marked(e)
	})
	var violations []Violation
	starts := j.starts()
	for _, index := range slices.SortedFunc(maps.Keys(starts), cmp.Compare) {
		if s := starts[index]; len(s) > 1 && (whole || slices.ContainsFunc(s, marked)) {
			violations = append(violations, violation("a non-idempotent task started again", s...))
		}
	}
	return violations
}
