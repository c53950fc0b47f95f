package job

import (
	"time"

	"dogwoodglade/core/task"
)

// ConfirmTimeout is how long an agent may take to confirm the owner's epoch.
const ConfirmTimeout = time.Second

// MaxConfirmAttempts is the maximum number of requests to confirm the owner's epoch for one answer.
const MaxConfirmAttempts = 3

// confirmation is the state of the epoch confirmation of a job that is about to be answered NotRun.
type confirmation struct {
	firstID   int // of the first request
	latestID  int
	attempts  int
	timeoutAt time.Time
}

// startConfirmation sends a request to confirm the owner's epoch. A job of which no task started may be answered
// NotRun only after one agent has confirmed that the owner's epoch is current. This proves that, up to the
// confirmation, no other owner accepted a submission of the key that it could start:
//
//   - An earlier owner: if this owner accepted the key after complete recovery, every agent refuses the starts
//     of the earlier owner, and starts accepted before that have records. Otherwise this owner accepted the key
//     with a ticket of its own epoch, which an earlier owner refuses.
//   - A successor after a takeover: if its recovery is complete, it has fenced every registered agent, so the
//     agent would have refused this owner's epoch. Until then it accepts only keys with tickets of its own
//     epoch, which this owner refuses, and all submissions of a key carry the same ticket.
//   - A successor after a planned handover does not fence agents, but it forwards the keys that are open at this
//     owner, and a key is open until it is answered. If this owner fails, the successor fences the agents first.
//   - An agent that registered after a takeover has read the successor's epoch. A drained agent, whose records
//     the successor reads instead of fencing it, does not confirm.
//
// If recovery counts as complete because the retention window has elapsed, or because the row of an agent that
// no entry had contact with for that long was removed, some agents were not fenced. The proof then relies on the
// assumption of core/ownership that no superseded owner can still reach such an agent. The guarantee that a task does
// not start twice relies on it too.
//
// After the answer, the owner forgets the key, so a later submission runs like a new one.
func (o *Owner) startConfirmation(now time.Time, j *trackedJob) {
	o.confirmCount++
	if j.confirmation == nil {
		j.confirmation = &confirmation{firstID: o.confirmCount}
	}
	j.confirmation.attempts++
	j.confirmation.latestID = o.confirmCount
	j.confirmation.timeoutAt = now.Add(ConfirmTimeout)
	o.addAction(ConfirmEpoch{Shard: o.shardID, Epoch: o.epoch, Job: j.id, RequestID: o.confirmCount})
}

// ConfirmationReceived handles the reply to ConfirmEpoch. The caller passes RefusedAgentUnreachable if it could
// not send the request. A reply to a request for an earlier submission of the key, or from an earlier owner in
// this process, is ignored, because a successor may have accepted the key since.
func (o *Owner) ConfirmationReceived(now time.Time, c ConfirmEpoch, refusal task.Refusal) []Action {
	o.initStartTime(now)
	j := o.jobs[c.Job]
	if j == nil || !j.open() || j.confirmation == nil || c.Epoch != o.epoch || c.RequestID < j.confirmation.firstID {
		return nil
	}
	switch {
	case refusal == task.Accepted && !j.started():
		o.answerJob(now, j, NotRun, *j.failure)
	case refusal == task.Accepted:
		o.answerJob(now, j, OutcomeUnknown, failure{reason: ReasonBackendServerLost})
	case refusal == task.RefusedEpochSuperseded && !o.draining:
		o.stepDown(now)
	case c.RequestID == j.confirmation.latestID:
		o.retryConfirmation(now, j)
	}
	return o.takeActions()
}

func (o *Owner) retryConfirmation(now time.Time, j *trackedJob) {
	if j.confirmation.attempts < MaxConfirmAttempts {
		o.startConfirmation(now, j)
		return
	}
	o.answerJob(now, j, OutcomeUnknown, failure{reason: ReasonOwnerUnavailable})
}

func (o *Owner) expireConfirmation(now time.Time, j *trackedJob) {
	if !now.Before(j.confirmation.timeoutAt) {
		o.retryConfirmation(now, j)
	}
}

// releaseKey removes a job that was answered NotRun. Its attempt numbers are not reused within the retention
// window, so that a late refusal or cancellation does not apply to an attempt of a later submission.
func (o *Owner) releaseKey(now time.Time, j *trackedJob) {
	o.forget(j)
	if j.lastAttemptNumber() > 0 {
		o.keepReleased(j)
		o.scheduleExpiry(now, j)
	}
}

// lastAttemptNumber returns the highest attempt number used for the key.
func (j *trackedJob) lastAttemptNumber() int {
	n := j.lastEarlierNumber
	for i := range j.tasks {
		n = max(n, j.tasks[i].lastNumber)
	}
	return n
}

// continueAttemptNumbers numbers the attempts of the job after those of an earlier submission of the key.
func (j *trackedJob) continueAttemptNumbers(earlier *trackedJob) {
	j.lastEarlierNumber = earlier.lastAttemptNumber()
	for i := range j.tasks {
		j.tasks[i].lastNumber = j.lastEarlierNumber
	}
}
