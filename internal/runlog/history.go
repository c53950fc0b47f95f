package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/supervise"
)

const (
	maxLineBytes = 1 << 20
	// An entry that receives a forwarded job or a response may log it before the sender does.
	maxLogDelay = 100 * time.Millisecond
)

// line is a log line of an entry or agent.
type line struct {
	Process, Job, Peer, State string
	Number                    event.Number
	Step, Task, Attempt       int
	Run                       *int      // only of agents
	Lapsed                    float64   // ms
	Time                      time.Time `json:"time"`
}

// taskKey identifies a task of a batch job.
type taskKey struct {
	job        string
	step, task int
}

func (l line) key() taskKey { return taskKey{l.Job, l.Step, l.Task} }

// run is a run of a task, as its agent logged it.
type run struct {
	task         taskKey
	agent, entry string
	number       int
	sent         time.Time // by the entry; zero if not logged
	started      time.Time
	ended        time.Time // or the expiry of its lease, if the end was listed later; zero if not logged
	end          string
}

// history is what the logs contain about jobs and runs, ordered by time.
type history struct {
	jobs    map[string][]line    // lines of entries
	runs    map[taskKey][]*run   // by start
	losses  map[taskKey][]line   // ends other than success that entries learned of
	refused map[taskKey][]line   // starts that agents did not get accepted, perhaps only for want of a response
	servers map[string][]line    // by agent: lines about its backend server
	starts  map[string]time.Time // latest start of a process
	last    time.Time
	lines   int
	skipped int // not log lines
}

// readHistory reads the log lines of all processes. Text before the JSON object of a line is ignored.
func readHistory(r io.Reader) (history, error) {
	h := history{
		jobs: map[string][]line{}, runs: map[taskKey][]*run{}, losses: map[taskKey][]line{}, refused: map[taskKey][]line{},
		servers: map[string][]line{}, starts: map[string]time.Time{},
	}
	var lines []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		var l line
		if start < 0 || json.Unmarshal(s.Bytes()[start:], &l) != nil || l.Number == 0 {
			h.skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return history{}, errors.WithStack(err)
	}
	h.lines = len(lines)
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		h.add(l)
	}
	for _, runs := range h.runs {
		slices.SortStableFunc(runs, func(a, b *run) int { return a.started.Compare(b.started) })
	}
	return h, nil
}

func (h *history) add(l line) {
	h.last = l.Time
	switch l.Number {
	case event.JobAnswered, event.JobRefused, event.JobResubmitted, event.JobCancelled, event.JobForwarded, event.TaskSent:
		h.jobs[l.Job] = append(h.jobs[l.Job], l)
	case event.TaskStarted:
		h.startRun(l)
	case event.TaskRefused, event.TaskEnded, event.TaskLost:
		switch {
		case l.Run == nil:
			h.losses[l.key()] = append(h.losses[l.key()], l)
		case l.Number == event.TaskRefused:
			h.refused[l.key()] = append(h.refused[l.key()], l)
		default:
			h.endRun(l)
		}
	case event.ProcessStarted:
		h.starts[l.Process] = l.Time
	case event.BackendAnnounced, event.BackendSilent:
		h.servers[l.Process] = append(h.servers[l.Process], l)
	}
}

func (h *history) startRun(l line) {
	if l.Run == nil {
		return
	}
	r := h.findRun(l)
	if r == nil {
		r = &run{task: l.key(), agent: l.Process, number: *l.Run, started: l.Time}
		h.runs[l.key()] = append(h.runs[l.key()], r)
	}
	r.entry = l.Peer
	for _, sent := range h.jobs[l.Job] {
		if sent.Number == event.TaskSent && sent.Process == l.Peer && sent.Peer == l.Process && sent.Step == l.Step {
			r.sent = sent.Time
		}
	}
}

// endRun records the end of a run. An agent logs an end again with each list that contains it, so the first line counts,
// and may do so before it logs the start.
func (h *history) endRun(l line) {
	r := h.findRun(l)
	if r == nil {
		r = &run{task: l.key(), agent: l.Process, number: *l.Run, started: l.Time}
		for _, x := range h.refused[l.key()] {
			if x.Process == l.Process && *x.Run == *l.Run && x.Time.Before(r.started) {
				r.started, r.entry = x.Time, x.Peer
			}
		}
		h.runs[l.key()] = append(h.runs[l.key()], r)
	}
	if !r.ended.IsZero() {
		return
	}
	r.ended, r.end = l.Time, l.State
	expired := l.Time.Add(-time.Duration(l.Lapsed * float64(time.Millisecond)))
	if l.Lapsed > 0 && expired.After(r.started) && r.started.After(h.starts[l.Process]) {
		r.ended = expired
	}
}

// findRun returns the latest run with the agent and number of a line. The numbers begin anew after a loss of power.
func (h *history) findRun(l line) *run {
	for _, r := range slices.Backward(h.runs[l.key()]) {
		if r.agent != l.Process || r.number != *l.Run {
			continue
		}
		if l.Number == event.TaskStarted && (r.ended.IsZero() || l.Time.Sub(r.ended) > maxLogDelay) {
			return nil
		}
		return r
	}
	return nil
}

// openUntil returns the time until which a run may have gone on.
func (h *history) openUntil(r *run, lease time.Duration) time.Time {
	if !r.ended.IsZero() {
		return r.ended
	}
	until := h.last
	for _, l := range h.losses[r.task] {
		// The agent may have been killed before it wrote its own line. It computes other ends, such as Lost, itself.
		isListed := l.State == string(supervise.Stopped) || l.State == string(supervise.Failed)
		if isListed && l.Peer == r.agent && !l.Time.Before(r.started) && l.Time.Before(until) {
			until = l.Time
		}
	}
	for _, l := range h.servers[r.agent] {
		if l.Time.Before(r.started) {
			continue
		}
		end := l.Time
		if l.Number == event.BackendSilent {
			end = end.Add(lease)
		}
		if end.Before(until) {
			until = end
		}
	}
	return until
}

// submission is the receipt of a job from a caller by an entry.
type submission struct {
	entry string
	at    time.Time
}

// submissions returns the submissions of a job. A job that another entry has forwarded is not a submission.
func submissions(lines []line) []submission {
	var found []submission
	isOpen, isTarget := map[string]bool{}, map[string]bool{}
	for i, l := range lines {
		arrives := l.Number == event.JobForwarded || l.Number == event.TaskSent && l.Attempt == 1 ||
			l.Number == event.JobRefused && l.endsSubmission()
		isNew := arrives && !isOpen[l.Process] && !isTarget[l.Process] && !forwardedSoon(lines[i:], l.Process)
		if l.Number == event.JobResubmitted || isNew {
			found = append(found, submission{l.Process, l.Time})
			isOpen[l.Process] = true
		}
		if l.Number == event.JobForwarded {
			isTarget[l.Peer] = true
		}
		if l.endsSubmission() || l.Number == event.JobCancelled {
			isOpen[l.Process], isTarget[l.Process] = false, false
		}
	}
	return found
}

// forwardedSoon reports whether another entry logs within the log delay that it has forwarded the job to an entry.
func forwardedSoon(lines []line, to string) bool {
	return slices.ContainsFunc(lines, func(l line) bool {
		return l.Number == event.JobForwarded && l.Peer == to && l.Time.Sub(lines[0].Time) <= maxLogDelay
	})
}

// endsSubmission reports whether an entry has answered the caller, or the entry that forwarded the job.
func (l line) endsSubmission() bool {
	return l.Number == event.JobAnswered ||
		l.Number == event.JobRefused && (l.Peer == "" || strings.HasPrefix(l.State, "NotRun:"))
}

func compareKeys(a, b taskKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
}
