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

// work is a job in the owner's memory.
type work struct {
	id         task.JobID
	route      string
	digest     string
	idempotent bool
	recovered  bool // some attempts were started by an earlier owner
	base       int  // attempt numbers up to it were used for an earlier submission of the key
	parts      []part

	// Known once a submission reached this owner.
	submitted  bool
	pool       string
	limit      int // starts allowed for each task
	retryShare float64
	bodies     [][]byte
	accepted   time.Time
	deadline   time.Time

	asks    []*standing
	waiters []string
	served  []string // waiters that have their answer

	verdict *verdict      // set once the job can no longer complete
	confirm *confirmation // set while an agent is asked to confirm the owner's epoch
	answer  *Answer       // set once the job is answered
	expires time.Time
}

// verdict says why a job cannot complete.
type verdict struct {
	reason     Reason
	retryAfter time.Duration
}

// phase says what a task without a result waits for.
type phase int

const (
	held    phase = iota // a submission, the end of recovery, or nothing more
	delayed              // its due time
	asked                // a grant
	active               // the outcome of an attempt
)

// part is one task of a job.
type part struct {
	phase    phase
	due      time.Time
	attempts []attempt // without those proven not run
	number   int       // of the latest attempt
	requeues int       // starts proven not run
	avoid    []string  // backend servers
	foreign  bool      // an agent has an attempt on record that this owner does not know
	done     bool
	result   task.Result
}

// attemptState is the state of an attempt as the owner knows it.
type attemptState int

const (
	sent attemptState = iota // the reply to the start is outstanding: it may run
	running
	succeeded
	failed
	lost
	evicted // succeeded, but the result was dropped
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

func (p *part) outstanding() bool {
	return slices.ContainsFunc(p.attempts, attempt.outstanding)
}

func (p *part) find(number int, agent string) int {
	return slices.IndexFunc(p.attempts, func(a attempt) bool { return a.number == number && a.agent == agent })
}

// unknown reports whether the effect of the task is unknown: it may have run, and no outcome says how.
func (p *part) unknown() bool {
	if p.done {
		return false
	}
	return p.foreign || slices.ContainsFunc(p.attempts, func(a attempt) bool {
		return a.outstanding() || a.state == lost
	})
}

func (w *work) anyAttempt(match func(attempt) bool) bool {
	return slices.ContainsFunc(w.parts, func(p part) bool { return slices.ContainsFunc(p.attempts, match) })
}

func (w *work) outstanding() bool { return w.anyAttempt(attempt.outstanding) }

// started reports whether a task is known to have started.
func (w *work) started() bool {
	return slices.ContainsFunc(w.parts, func(p part) bool { return p.foreign }) ||
		w.anyAttempt(func(a attempt) bool { return a.state != sent })
}

func (w *work) allDone() bool {
	return !slices.ContainsFunc(w.parts, func(p part) bool { return !p.done })
}

// open reports whether the owner still works on an answer.
func (w *work) open() bool { return w.submitted && w.answer == nil }

func (w *work) attemptID(index, number int) task.AttemptID {
	return task.AttemptID{Task: task.ID{Job: w.id, Index: index}, Number: number}
}

// record returns the start record of an attempt whose reply is not outstanding.
func (w *work) record(index int, a attempt) task.Record {
	r := task.Record{
		Attempt: w.attemptID(index, a.number), TaskCount: len(w.parts), Route: w.route, Digest: w.digest,
		Idempotent: w.idempotent, Epoch: a.epoch, Agent: a.agent, State: task.Ended,
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
		r.Result = w.parts[index].result
	}
	return r
}

// digest identifies the bodies of a submission.
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

// adopt takes a submission into a job. It returns the reason why the submission can never run, if any.
func (w *work) adopt(now time.Time, s Submission, t table.Snapshot) Reason {
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
	if !w.recovered {
		w.idempotent = r.Idempotent
		if s.Idempotent != nil {
			w.idempotent = *s.Idempotent
		}
	}
	w.limit = 1
	if w.idempotent {
		w.limit = max(r.Attempts, 1)
	}
	w.pool = r.Pool
	if p.RetryBudget != nil {
		w.retryShare = *p.RetryBudget
	}
	deadline := s.Deadline
	if deadline == 0 {
		deadline = r.Deadline
	}
	w.submitted, w.bodies = true, s.Bodies
	w.accepted, w.deadline = now, now.Add(min(deadline, r.Deadline))
	return ReasonNone
}
