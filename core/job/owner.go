package job

import (
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/retry"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// RetentionWindow is how long an owner keeps an answer. Callers may resubmit a key within it.
const RetentionWindow = 10 * time.Minute

// MaxAnswerBytes bounds the result bodies kept for resubmissions to one shard.
const MaxAnswerBytes = 4 << 20

// Owner holds the jobs of one shard for one epoch. It is not safe for concurrent use.
type Owner struct {
	self    string
	id      shard.ID
	epoch   shard.Epoch
	random  *rand.Rand
	record  func(event.Event)
	budgets *retry.Budgets

	complete   bool
	draining   bool
	superseded bool
	began      time.Time
	fenced     map[string]bool // agents that gave their records to this owner

	jobs      map[task.JobID]*work
	released  map[task.JobID]*work // answered NotRun, kept for their attempt numbers
	queue     []*work              // open jobs in the order of their submission; answered ones are removed by Tick
	asks      map[string]*standing
	askCount  int
	questions int                  // ConfirmEpoch actions so far
	grants    map[grantID]struct{} // in use

	retained    []expiry // oldest first
	answers     []*work  // that hold result bodies, oldest first
	answerBytes int

	actions []Action
}

// New returns the owner of a shard. Complete says that it knows every start record of the shard, which
// Recovered supplies.
func New(self string, id shard.ID, epoch shard.Epoch, complete bool, random *rand.Rand, record func(event.Event)) *Owner {
	return &Owner{
		self: self, id: id, epoch: epoch, complete: complete, random: random, record: record,
		budgets:  retry.NewBudgets(),
		fenced:   map[string]bool{},
		jobs:     map[task.JobID]*work{},
		released: map[task.JobID]*work{},
		asks:     map[string]*standing{},
		grants:   map[grantID]struct{}{},
	}
}

// ShareBudgets makes the owner take its retry tokens from the budgets of its process.
func (o *Owner) ShareBudgets(b *retry.Budgets) { o.budgets = b }

// IssueTicket returns a ticket for a new submission to the shard. It is absent once the owner accepts no
// new keys.
func (o *Owner) IssueTicket() shard.Ticket {
	if o.draining || o.superseded {
		return shard.Ticket{}
	}
	return shard.Ticket{Shard: o.id, Epoch: o.epoch}
}

func (o *Owner) observe(now time.Time) {
	if o.began.IsZero() {
		o.began = now
	}
}

func (o *Owner) act(a Action) { o.actions = append(o.actions, a) }

func (o *Owner) flush() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) event(n event.Number, w *work) event.Event {
	return event.Event{
		Number: n, Customer: w.id.Customer, Key: w.id.Key, Task: -1, Epoch: o.epoch.String(), Route: w.route,
	}
}

// Lookup returns the answer to a job, or Pending.
func (o *Owner) Lookup(now time.Time, id task.JobID) Answer {
	o.observe(now)
	w := o.jobs[id]
	switch {
	case w == nil:
		return o.complement(Answer{ID: id, State: OutcomeUnknown, Reason: ReasonNotFound})
	case w.answer == nil:
		return o.complement(Answer{ID: id, State: Pending})
	}
	return o.complement(*w.answer)
}

// Wait adds a waiter to a job. It is answered at once unless the owner works on the job.
func (o *Owner) Wait(now time.Time, id task.JobID, waiter string) []Action {
	o.observe(now)
	w := o.jobs[id]
	switch {
	case w == nil:
		o.refuse(id, waiter, OutcomeUnknown, ReasonNotFound)
	case w.answer == nil && !w.submitted:
		// Known from records alone: only a resubmission brings the bodies of missing tasks.
		o.refuse(id, waiter, OutcomeUnknown, ReasonOwnerUnavailable)
	default:
		o.join(w, waiter)
	}
	return o.flush()
}

// Cancel ends a job. Waiting tasks are dropped and running ones are stopped; the waiters are answered as
// soon as it is known whether a task started.
func (o *Owner) Cancel(now time.Time, id task.JobID) []Action {
	o.observe(now)
	w := o.jobs[id]
	if w == nil || !w.open() {
		return nil
	}
	o.record(o.event(event.JobCancelled, w))
	o.fail(w, verdict{reason: ReasonCancelled})
	o.cancelAttempts(w)
	o.settle(now, w)
	return o.flush()
}

// Superseded ends the owner's work because another owner acts under a higher epoch. Its starts may already
// have run, or the new owner's may, so the open jobs are answered as unknown. The caller does not report the
// successor of a planned handover, under which a draining owner finishes its jobs.
func (o *Owner) Superseded(now time.Time, epoch shard.Epoch) []Action {
	o.observe(now)
	if o.epoch.Less(epoch) {
		o.stepDown(now)
	}
	return o.flush()
}

func (o *Owner) stepDown(now time.Time) {
	if o.superseded {
		return
	}
	o.superseded = true
	o.record(event.Event{Number: event.OwnerSuperseded, Task: -1, Epoch: o.epoch.String(), Count: int(o.id)})
	for _, w := range o.queue {
		if w.open() {
			o.withdraw(w)
			o.answer(now, w, OutcomeUnknown, verdict{reason: ReasonOwnerSuperseded})
		}
	}
}

// Drain makes the owner refuse new keys. It returns the records of finished jobs, and the keys that stay
// with this owner because it works on them or one of their attempts still runs. Called again, it returns
// the records of those that finished since, too.
func (o *Owner) Drain(now time.Time) (records []task.Record, open []task.JobID) {
	o.observe(now)
	o.draining = true
	for _, w := range o.sortedJobs() {
		if w.open() || w.outstanding() {
			open = append(open, w.id)
			continue
		}
		for i, p := range w.parts {
			for _, a := range p.attempts {
				records = append(records, w.record(i, a))
			}
		}
	}
	return records, open
}

// Drained reports whether a draining owner has finished its open keys.
func (o *Owner) Drained() bool {
	if !o.draining {
		return false
	}
	for _, w := range o.jobs {
		if w.open() || w.outstanding() {
			return false
		}
	}
	return true
}

// Tick ends jobs at their deadline, starts due retries and drops what the retention window has passed.
func (o *Owner) Tick(now time.Time) []Action {
	o.observe(now)
	if !o.complete && now.Sub(o.began) >= RetentionWindow {
		o.completeRecovery(now)
	}
	for _, w := range o.queue {
		if !w.open() {
			continue
		}
		if w.confirm != nil {
			o.expireConfirmation(now, w)
			continue
		}
		if !now.Before(w.deadline) {
			o.expireDeadline(now, w)
			continue
		}
		o.askDue(now, w)
	}
	o.queue = slices.DeleteFunc(o.queue, func(w *work) bool { return !w.open() })
	o.expireRetained(now)
	return o.flush()
}
