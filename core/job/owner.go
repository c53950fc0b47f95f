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

// RetentionWindow is how long an owner keeps an answer. Within it, callers may resubmit the key.
const RetentionWindow = 10 * time.Minute

// MaxAnswerBytes limits the total size of the result bodies that one shard keeps for resubmissions.
const MaxAnswerBytes = 4 << 20

// Owner holds the jobs of one shard for one epoch. It is not safe for concurrent use.
type Owner struct {
	name        string
	shardID     shard.ID
	epoch       shard.Epoch
	random      *rand.Rand
	recordEvent func(event.Event)
	budgets     *retry.Budgets

	recoveryComplete bool
	draining         bool
	superseded       bool
	startedAt        time.Time
	fencedAgents     map[string]bool // agents whose start records this owner has received

	jobs             map[task.JobID]*trackedJob
	releasedJobs     map[task.JobID]*trackedJob // answered NotRun, kept for their attempt numbers
	openJobs         []*trackedJob              // in order of submission; Tick removes answered ones
	slotRequests     map[string]*slotRequest
	slotRequestCount int
	confirmCount     int                  // number of ConfirmEpoch actions so far
	grants           map[grantID]struct{} // in use

	expiries          []expiry      // oldest first
	answersWithBodies []*trackedJob // oldest first
	retainedBytes     int
	answerBudget      *AnswerBudget // nil has no limit
	recordBudget      *RecordBudget // nil has no limit

	actions []Action
}

// New returns the owner of a shard. If recoveryComplete is set, the records that the caller passes to RecordsRecovered
// must be all start records of the shard.
func New(
	name string, id shard.ID, epoch shard.Epoch, recoveryComplete bool, random *rand.Rand,
	recordEvent func(event.Event),
) *Owner {
	return &Owner{
		name: name, shardID: id, epoch: epoch, recoveryComplete: recoveryComplete, random: random, recordEvent: recordEvent,
		budgets:      retry.NewBudgets(),
		fencedAgents: map[string]bool{},
		jobs:         map[task.JobID]*trackedJob{},
		releasedJobs: map[task.JobID]*trackedJob{},
		slotRequests: map[string]*slotRequest{},
		grants:       map[grantID]struct{}{},
	}
}

// SetRetryBudgets makes the owner use retry budgets that it shares with the other owners of the process.
func (o *Owner) SetRetryBudgets(b *retry.Budgets) { o.budgets = b }

// IssueTicket returns a ticket for a new submission to the shard, or the zero ticket if the owner no longer
// accepts new keys.
func (o *Owner) IssueTicket() shard.Ticket {
	if o.draining || o.superseded {
		return shard.Ticket{}
	}
	return shard.Ticket{Shard: o.shardID, Epoch: o.epoch}
}

func (o *Owner) initStartTime(now time.Time) {
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
}

func (o *Owner) addAction(a Action) { o.actions = append(o.actions, a) }

func (o *Owner) takeActions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) newEvent(n event.Number, j *trackedJob) event.Event {
	return event.Event{
		Number: n, Customer: j.id.Customer, Key: j.id.Key, Task: -1, Epoch: o.epoch.String(), Route: j.route,
	}
}

// Lookup returns the answer to a job. Its state is Pending if the job has no answer yet.
func (o *Owner) Lookup(now time.Time, id task.JobID) Answer {
	o.initStartTime(now)
	j := o.jobs[id]
	switch {
	case j == nil:
		return o.withTicket(Answer{ID: id, State: OutcomeUnknown, Reason: ReasonNotFound})
	case j.answer == nil:
		return o.withTicket(Answer{ID: id, State: Pending})
	}
	return o.withTicket(*j.answer)
}

// Wait adds a waiter to a job. The waiter is answered at once unless the job is in progress.
func (o *Owner) Wait(now time.Time, id task.JobID, waiter string) []Action {
	o.initStartTime(now)
	j := o.jobs[id]
	switch {
	case j == nil:
		o.replyRefused(id, waiter, OutcomeUnknown, ReasonNotFound)
	case j.answer == nil && !j.submitted:
		// The job is known only from start records. Without a resubmission, the bodies of its other tasks are
		// missing.
		o.replyRefused(id, waiter, OutcomeUnknown, ReasonOwnerUnavailable)
	default:
		o.addWaiter(j, waiter)
	}
	return o.takeActions()
}

// Cancel cancels a job. Waiting tasks are dropped and running tasks are stopped. The waiters are answered as
// soon as it is known whether a task started.
func (o *Owner) Cancel(now time.Time, id task.JobID) []Action {
	o.initStartTime(now)
	j := o.jobs[id]
	if j == nil || !j.open() {
		return nil
	}
	o.recordEvent(o.newEvent(event.JobCancelled, j))
	o.failJob(j, failure{reason: ReasonCancelled})
	o.cancelAttempts(j)
	o.tryAnswer(now, j)
	return o.takeActions()
}

// ObserveEpoch handles the epoch of another owner of the shard. If it is higher, tasks may already have run for either
// owner, so all open jobs are answered with OutcomeUnknown. The caller must not report the epoch of the successor in a
// planned handover, during which a draining owner finishes its jobs.
func (o *Owner) ObserveEpoch(now time.Time, epoch shard.Epoch) []Action {
	o.initStartTime(now)
	if o.epoch.Less(epoch) {
		o.stepDown(now)
	}
	return o.takeActions()
}

func (o *Owner) stepDown(now time.Time) {
	if o.superseded {
		return
	}
	o.superseded = true
	o.recordEvent(event.Event{Number: event.OwnerSuperseded, Task: -1, Epoch: o.epoch.String(), Count: int(o.shardID)})
	for _, j := range o.openJobs {
		if j.open() {
			o.withdrawSlotRequests(j)
			o.answerJob(now, j, OutcomeUnknown, failure{reason: ReasonOwnerSuperseded})
		}
	}
}

// Drain makes the owner refuse new keys. It returns the records of finished jobs, and the keys that stay with
// this owner because their jobs are in progress or one of their attempts still runs. Later calls also return the
// records of jobs that have finished since.
func (o *Owner) Drain(now time.Time) (records []task.Record, open []task.JobID) {
	o.initStartTime(now)
	o.draining = true
	for _, j := range o.sortedJobs() {
		if j.open() || j.anyOutstanding() {
			open = append(open, j.id)
			continue
		}
		for i, ts := range j.tasks {
			for _, a := range ts.attempts {
				records = append(records, j.startRecord(i, a))
			}
		}
	}
	return records, open
}

// Drained reports whether a draining owner has finished all its jobs.
func (o *Owner) Drained() bool {
	if !o.draining {
		return false
	}
	for _, j := range o.jobs {
		if j.open() || j.anyOutstanding() {
			return false
		}
	}
	return true
}

// Tick answers jobs whose deadline has passed, starts due retries, and removes jobs that are older than the
// retention window.
func (o *Owner) Tick(now time.Time) []Action {
	o.initStartTime(now)
	if !o.recoveryComplete && now.Sub(o.startedAt) >= RetentionWindow {
		o.completeRecovery(now)
	}
	for _, j := range o.openJobs {
		if !j.open() {
			continue
		}
		if j.confirmation != nil {
			o.expireConfirmation(now, j)
			continue
		}
		if !now.Before(j.deadline) {
			o.expireDeadline(now, j)
			continue
		}
		o.requestDueSlots(now, j)
	}
	o.openJobs = slices.DeleteFunc(o.openJobs, func(j *trackedJob) bool { return !j.open() })
	o.removeExpired(now)
	o.evictForOthers()
	return o.takeActions()
}
