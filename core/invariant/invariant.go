// Package invariant checks a recorded timeline against the guarantees P1 to P8 of the design page.
//
// Tests and the trace command call it with the merged events of all processes. If a process could not be reached,
// its events are missing and the verdicts cover the rest. A job is checked only by its events in the timeline, so the
// timeline should begin before its first job.
//
// The rules below name the events and fields that each check uses; all use Process and Stamp. "Job" stands for
// Customer and Key, "attempt" for Job, Task and Attempt. docs/events.md lists the events.
//
//   - P1, no task starts twice: two TaskStarted of one attempt, or more TaskStarted of one task than the
//     highest JobAccepted.Limit of its job (0 is not checked).
//   - P2, complete or failed, never partial: a JobAnswered of State Complete before which some task, from 0 to
//     Count-1 of the job's JobAccepted or JobRecovered, has neither a TaskEnded of State Succeeded nor an
//     OutcomeReceived of State Ended; an AnswerDelivered of State Complete whose Count (of results) differs
//     from that number of tasks; a JobAccepted without a later JobAnswered of the job although its Process
//     records events later than AnswerLimit after it.
//   - P3, each caller gets the whole answer to its own request: JobAnswered of State Complete and of State Failed
//     for one job; JobAnswered of State NotRun and then of State Complete or Failed without a JobAccepted or
//     JobResubmitted between them; an AnswerDelivered of State Complete without an earlier JobAnswered of that
//     State.
//   - P4, "not run" is true: a TaskStarted of the job before a JobAnswered of State NotRun, or after it
//     without a JobAccepted or JobResubmitted in between (AnswerDelivered of State NotRun counts if the job
//     has no such JobAnswered); a TaskStarted of an attempt and Epoch after its TaskRefused, unless the
//     refusal's State is AlreadyStarted.
//   - P5, at most one run of a non-idempotent request: two TaskStarted of one task, if a TaskStarted of the
//     task or a JobAccepted of the job has State NonIdempotent.
//   - P6, no starts on a leaving backend server: a TaskStarted more than LeaveLimit after a BackendLeaving with
//     the same Process and Peer, without a BackendAnnounced of the two in between.
//   - P7, planned stops interrupt nothing: a ProcessStopped with Count above 0 after a ProcessDraining of the
//     Process; a TaskStarted without a TaskEnded or TaskLost of its attempt before such a ProcessStopped.
//   - P8, edits in effect within 4 s, never reverted: a TablesAdopted with a lower Version than an earlier one
//     of its Process and State (the table) since the last ProcessStarted; an EditAccepted whose Version of
//     the table (State) a Process has not adopted AdoptLimit later, if that Process had adopted the table
//     before the edit, did not stop or start in between, and records events after that time.
package invariant

import (
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/route"
)

// Time limits of P6, P8 and P2.
const (
	LeaveLimit  = 3 * time.Second
	AdoptLimit  = 4 * time.Second
	AnswerLimit = route.LimitDeadline + 10*time.Second
)

// Guarantee identifies one of the guarantees P1 to P8, which the design page calls promises.
type Guarantee string

// Guarantees in the order of the design page.
const (
	P1 Guarantee = "P1"
	P2 Guarantee = "P2"
	P3 Guarantee = "P3"
	P4 Guarantee = "P4"
	P5 Guarantee = "P5"
	P6 Guarantee = "P6"
	P7 Guarantee = "P7"
	P8 Guarantee = "P8"
)

// Violation is one violation of a guarantee, with the events that show it in their order.
type Violation struct {
	Reason string
	Events []event.Event
}

// Verdict is the result of checking one guarantee. The guarantee holds if there is no violation.
type Verdict struct {
	Guarantee  Guarantee
	Violations []Violation
}

// Holds reports whether the timeline shows no violation.
func (v Verdict) Holds() bool { return len(v.Violations) == 0 }

// Check checks a timeline and returns one verdict for each guarantee, in the order P1 to P8.
func Check(events []event.Event) []Verdict {
	tl := newTimeline(event.Merge(events))
	checks := []struct {
		guarantee Guarantee
		check     func(*timeline) []Violation
	}{
		{P1, eachJob((*job).duplicateStarts)},
		{P2, eachJob((*job).incompleteAnswers)},
		{P3, eachJob((*job).conflictingAnswers)},
		{P4, eachJob((*job).startsDespiteNotRun)},
		{P5, eachJob((*job).repeatedNonIdempotentStarts)},
		{P6, eachProcess((*process).startsAfterLeaving)},
		{P7, eachProcess((*process).interruptedByPlannedStop)},
		{P8, eachProcess((*process).revertedOrMissedEdits)},
	}
	verdicts := make([]Verdict, 0, len(checks))
	for _, c := range checks {
		verdicts = append(verdicts, Verdict{Guarantee: c.guarantee, Violations: c.check(tl)})
	}
	return verdicts
}

// Answers counts the answered jobs by the State of their answer. A job counts once even if a later owner answers it
// again from its records.
func Answers(events []event.Event) map[string]int {
	type answer struct{ customer, key, state string }
	counts, seen := map[string]int{}, map[answer]bool{}
	for _, e := range events {
		a := answer{e.Customer, e.Key, e.State}
		if e.Number == event.JobAnswered && !seen[a] {
			seen[a] = true
			counts[e.State]++
		}
	}
	return counts
}

type jobID struct{ customer, key string }

type attemptID struct{ task, attempt int }

// timeline holds the events grouped by job and by process. Jobs and processes are in the order of their first events.
type timeline struct {
	jobs       []*job
	processes  []*process
	edits      []event.Event
	lastEvents map[string]event.Event // last event of each process
}

func newTimeline(events []event.Event) *timeline {
	tl := &timeline{lastEvents: map[string]event.Event{}}
	jobs, processes := map[jobID]*job{}, map[string]*process{}
	for _, e := range events {
		tl.lastEvents[e.Process] = e
		p := processes[e.Process]
		if p == nil {
			p = &process{timeline: tl}
			processes[e.Process] = p
			tl.processes = append(tl.processes, p)
		}
		p.events = append(p.events, e)
		if e.Number == event.EditAccepted {
			tl.edits = append(tl.edits, e)
			continue
		}
		if e.Customer == "" || e.Key == "" {
			continue
		}
		id := jobID{e.Customer, e.Key}
		if jobs[id] == nil {
			jobs[id] = &job{timeline: tl}
			tl.jobs = append(tl.jobs, jobs[id])
		}
		jobs[id].events = append(jobs[id].events, e)
	}
	return tl
}

// eachJob returns a check that applies check to every job.
func eachJob(check func(*job) []Violation) func(*timeline) []Violation {
	return func(tl *timeline) []Violation {
		var violations []Violation
		for _, j := range tl.jobs {
			violations = append(violations, check(j)...)
		}
		return violations
	}
}

// eachProcess returns a check that applies check to every process.
func eachProcess(check func(*process) []Violation) func(*timeline) []Violation {
	return func(tl *timeline) []Violation {
		var violations []Violation
		for _, p := range tl.processes {
			violations = append(violations, check(p)...)
		}
		return violations
	}
}

func newViolation(reason string, events ...event.Event) Violation {
	return Violation{Reason: reason, Events: events}
}

func hasNumber(numbers ...event.Number) func(event.Event) bool {
	return func(e event.Event) bool { return slices.Contains(numbers, e.Number) }
}
