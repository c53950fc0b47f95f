package job

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

// trackedJob is a job in the owner's memory.
type trackedJob struct {
	id                task.JobID
	route             string
	digest            string
	idempotent        bool
	recovered         bool // some attempts were started by an earlier owner
	lastEarlierNumber int  // highest attempt number of earlier submissions of the key
	tasks             []taskState

	// Set once a submission has reached this owner.
	submitted   bool
	pool        string
	maxAttempts int // for each task
	retryBudget float64
	bodies      [][]byte
	accepted    time.Time
	deadline    time.Time

	slotRequests    []*slotRequest
	waiters         []string
	answeredWaiters []string

	failure      *failure      // set once the job can no longer complete
	confirmation *confirmation // set once an agent is asked to confirm the owner's epoch
	answer       *Answer       // set once the job is answered
	expires      time.Time
}

// failure is the reason why a job cannot complete.
type failure struct {
	reason     Reason
	retryAfter time.Duration
}

// phase is what a task without a result waits for.
type phase int

const (
	idle      phase = iota // a submission, the end of recovery, or nothing
	delayed                // the time dueAt
	requested              // a slot grant
	active                 // the outcome of an attempt
)

// taskState is the state of one task of a job.
type taskState struct {
	phase          phase
	dueAt          time.Time
	attempts       []attempt // except those that certainly did not run
	lastNumber     int       // of the latest attempt
	requeues       int       // granted slots in which the task certainly did not run
	avoid          []string  // backend servers to avoid
	unknownAttempt bool      // an agent has a record of an attempt that this owner does not know
	done           bool
	result         task.Result
}

// attemptState is the state of an attempt as the owner knows it.
type attemptState int

const (
	sent attemptState = iota // no reply to the start yet: the attempt may be running
	running
	succeeded
	failed
	lost
	evicted // succeeded, but the result body was dropped
)

type attempt struct {
	number  int
	epoch   shard.Epoch
	agent   string
	server  string
	grant   grantID
	state   attemptState
	status  int
	runTime time.Duration
}

func (a attempt) outstanding() bool { return a.state == sent || a.state == running }

func (ts *taskState) outstanding() bool {
	return slices.ContainsFunc(ts.attempts, attempt.outstanding)
}

func (ts *taskState) findAttempt(number int, agent string) int {
	return slices.IndexFunc(ts.attempts, func(a attempt) bool { return a.number == number && a.agent == agent })
}

// effectUnknown reports whether the task may have run without a known outcome.
func (ts *taskState) effectUnknown() bool {
	if ts.done {
		return false
	}
	return ts.unknownAttempt || slices.ContainsFunc(ts.attempts, func(a attempt) bool {
		return a.outstanding() || a.state == lost
	})
}

func (j *trackedJob) anyAttempt(match func(attempt) bool) bool {
	return slices.ContainsFunc(j.tasks, func(ts taskState) bool { return slices.ContainsFunc(ts.attempts, match) })
}

func (j *trackedJob) anyOutstanding() bool { return j.anyAttempt(attempt.outstanding) }

// started reports whether a task is known to have started.
func (j *trackedJob) started() bool {
	return slices.ContainsFunc(j.tasks, func(ts taskState) bool { return ts.unknownAttempt }) ||
		j.anyAttempt(func(a attempt) bool { return a.state != sent })
}

func (j *trackedJob) allTasksDone() bool {
	return !slices.ContainsFunc(j.tasks, func(ts taskState) bool { return !ts.done })
}

// open reports whether the job has been submitted to this owner and has no answer yet.
func (j *trackedJob) open() bool { return j.submitted && j.answer == nil }

func (j *trackedJob) attemptID(index, number int) task.AttemptID {
	return task.AttemptID{Task: task.ID{Job: j.id, Index: index}, Number: number}
}

// startRecord returns the start record of an attempt. If the attempt is still in state sent, the caller must set the
// state of the record.
func (j *trackedJob) startRecord(index int, a attempt) task.Record {
	r := task.Record{
		Attempt: j.attemptID(index, a.number), TaskCount: len(j.tasks), Route: j.route, Digest: j.digest,
		Idempotent: j.idempotent, Epoch: a.epoch, Agent: a.agent, State: task.Ended,
		Result: task.Result{Status: a.status}, RunTime: a.runTime,
	}
	switch a.state {
	case running:
		r.State = task.Running
	case lost:
		r.State = task.Lost
	case evicted:
		r.State = task.Evicted
	case succeeded:
		r.Result = j.tasks[index].result
	}
	return r
}

// digest returns a hash that identifies the bodies of a submission.
func digest(bodies [][]byte) string {
	h := sha256.New()
	var length [8]byte
	for _, body := range bodies {
		binary.BigEndian.PutUint64(length[:], uint64(len(body)))
		h.Write(length[:])
		h.Write(body)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// applySubmission sets the fields of a job that come from a submission and from its route and pool. It returns
// the reason why the submission can never run, or ReasonNone.
func (j *trackedJob) applySubmission(now time.Time, s Submission, t table.Snapshot) Reason {
	r, ok := t.Routes[s.Route]
	if !ok {
		return ReasonUnknownRoute
	}
	p, ok := t.Pools[r.Pool]
	if !ok {
		return ReasonUnknownRoute
	}
	if len(s.Bodies) == 0 {
		return ReasonNoTasks
	}
	if len(s.Bodies) > r.MaxTasks {
		return ReasonTooManyTasks
	}
	if slices.ContainsFunc(s.Bodies, func(body []byte) bool { return len(body) > r.MaxBody }) {
		return ReasonBodyTooLarge
	}
	if !j.recovered {
		j.idempotent = r.Idempotent
		if s.Idempotent != nil {
			j.idempotent = *s.Idempotent
		}
	}
	j.maxAttempts = 1
	if j.idempotent {
		j.maxAttempts = max(r.Attempts, 1)
	}
	j.pool = r.Pool
	if p.RetryBudget != nil {
		j.retryBudget = *p.RetryBudget
	}
	deadline := s.Deadline
	if deadline == 0 {
		deadline = r.Deadline
	}
	j.submitted, j.bodies = true, s.Bodies
	j.accepted, j.deadline = now, now.Add(min(deadline, r.Deadline))
	return ReasonNone
}
