package invariant

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodglade/core/event"
	corejob "dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

// Values of State that other packages record in events.
const (
	complete       = string(corejob.Complete)
	failed         = string(corejob.Failed)
	notRun         = string(corejob.NotRun)
	succeeded      = "Succeeded" // allocator.Succeeded, in TaskEnded
	ended          = string(task.Ended)
	alreadyStarted = string(task.RefusedAlreadyStarted)
)

var submitted = hasNumber(event.JobAccepted, event.JobResubmitted)

// job holds the events of one job.
type job struct {
	timeline *timeline
	events   []event.Event
}

// starts returns the TaskStarted events of each task.
func (j *job) starts() map[int][]event.Event {
	starts := map[int][]event.Event{}
	for _, e := range j.events {
		if e.Number == event.TaskStarted {
			starts[e.Task] = append(starts[e.Task], e)
		}
	}
	return starts
}

// taskCount returns the number of tasks of the job, or 0 if the timeline does not tell.
func (j *job) taskCount() int {
	count := 0
	for _, e := range j.events {
		if hasNumber(event.JobAccepted, event.JobRecovered)(e) {
			count = max(count, e.Count)
		}
	}
	return count
}

// duplicateStarts checks P1.
func (j *job) duplicateStarts() []Violation {
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
				violations = append(violations, newViolation("the same attempt started twice", earlier, e))
				continue
			}
			first[e.Attempt] = e
		}
		if limit > 0 && len(starts[index]) > limit {
			violations = append(violations, newViolation("a task started more often than its limit", starts[index]...))
		}
	}
	return violations
}

// incompleteAnswers checks P2.
func (j *job) incompleteAnswers() []Violation {
	tasks := j.taskCount()
	var violations []Violation
	done := map[int]bool{}
	for i, e := range j.events {
		switch {
		case e.Number == event.TaskEnded && e.State == succeeded,
			e.Number == event.OutcomeReceived && e.State == ended:
			done[e.Task] = true
		case e.Number == event.JobAnswered && e.State == complete && tasks > 0 && countDone(done, tasks) < tasks:
			violations = append(violations, newViolation("a Complete answer before every task ended", e))
		case e.Number == event.AnswerDelivered && e.State == complete && tasks > 0 && e.Count != tasks:
			violations = append(violations, newViolation("a delivered answer without one result for each task", e))
		case e.Number == event.JobAccepted && j.unanswered(i):
			violations = append(violations, newViolation("an accepted job was not answered", e))
		}
	}
	return violations
}

// countDone returns how many of the tasks 0 to tasks-1 are done.
func countDone(done map[int]bool, tasks int) int {
	count := 0
	for index := range done {
		if index >= 0 && index < tasks {
			count++
		}
	}
	return count
}

// unanswered reports whether no JobAnswered follows the JobAccepted at index accepted, although the process that
// accepted the job still recorded an event more than AnswerLimit after it.
func (j *job) unanswered(accepted int) bool {
	e := j.events[accepted]
	if slices.ContainsFunc(j.events[accepted:], hasNumber(event.JobAnswered)) {
		return false
	}
	return j.timeline.lastEvents[e.Process].Stamp.Time().Sub(e.Stamp.Time()) > AnswerLimit
}

// conflictingAnswers checks P3.
func (j *job) conflictingAnswers() []Violation {
	var violations []Violation
	final, lastNotRun := event.Event{}, event.Event{}
	answered := false
	for _, e := range j.events {
		switch {
		case submitted(e):
			lastNotRun = event.Event{}
		case e.Number == event.JobAnswered && e.State == notRun:
			lastNotRun = e
		case e.Number == event.JobAnswered && (e.State == complete || e.State == failed):
			answered = answered || e.State == complete
			if final.State != "" && final.State != e.State {
				violations = append(violations, newViolation("two different answers to one job", final, e))
			}
			if lastNotRun.State != "" {
				violations = append(violations, newViolation("an answer after NotRun without a new submission", lastNotRun, e))
			}
			final = e
		case e.Number == event.AnswerDelivered && e.State == complete && !answered:
			violations = append(violations, newViolation("a delivered answer without a matching JobAnswered", e))
		}
	}
	return violations
}

// startsDespiteNotRun checks P4.
func (j *job) startsDespiteNotRun() []Violation {
	notRunEvent := event.AnswerDelivered
	if slices.ContainsFunc(j.events, func(e event.Event) bool {
		return e.Number == event.JobAnswered && e.State == notRun
	}) {
		notRunEvent = event.JobAnswered
	}
	var violations []Violation
	var starts []event.Event
	lastNotRun := event.Event{}
	for _, e := range j.events {
		switch {
		case submitted(e):
			lastNotRun = event.Event{}
		case e.Number == event.TaskStarted:
			starts = append(starts, e)
			if lastNotRun.State != "" {
				violations = append(violations, newViolation("a start after NotRun without a new submission", lastNotRun, e))
			}
		case e.Number == notRunEvent && e.State == notRun:
			lastNotRun = e
			if len(starts) > 0 {
				violations = append(violations, newViolation("NotRun after a start", append(slices.Clone(starts), e)...))
			}
		}
	}
	return append(violations, j.startsAfterRefusal()...)
}

// startsAfterRefusal finds attempts that started after they were reported as refused.
func (j *job) startsAfterRefusal() []Violation {
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
			violations = append(violations, newViolation("a start of an attempt reported as refused", refusal, e))
		}
	}
	return violations
}

// repeatedNonIdempotentStarts checks P5.
func (j *job) repeatedNonIdempotentStarts() []Violation {
	nonIdempotent := func(e event.Event) bool { return e.State == event.NonIdempotent }
	jobNonIdempotent := slices.ContainsFunc(j.events, func(e event.Event) bool {
		return e.Number == event.JobAccepted && nonIdempotent(e)
	})
	var violations []Violation
	starts := j.starts()
	for _, index := range slices.SortedFunc(maps.Keys(starts), cmp.Compare) {
		if s := starts[index]; len(s) > 1 && (jobNonIdempotent || slices.ContainsFunc(s, nonIdempotent)) {
			violations = append(violations, newViolation("a non-idempotent task started more than once", s...))
		}
	}
	return violations
}
