package job

import (
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/task"
)

// RecordsRecovered adds the start records of an agent that was fenced for this owner or, if agent is empty, the records
// passed on in a planned handover. Until its recovery is complete, an owner starts tasks only on agents that were
// fenced for it.
func (o *Owner) RecordsRecovered(now time.Time, agent string, records []task.Record) []Action {
	o.initStartTime(now)
	if agent != "" {
		o.fencedAgents[agent] = true
	}
	for _, r := range records {
		o.applyRecord(now, r)
	}
	return o.takeActions()
}

// addRecoveredJob adds a job that is known only from a start record. Its other tasks wait for a resubmission.
func (o *Owner) addRecoveredJob(now time.Time, r task.Record) *trackedJob {
	if r.TaskCount <= 0 || o.superseded {
		return nil
	}
	j := &trackedJob{
		id: r.Attempt.Task.Job, route: r.Route, digest: r.Digest, idempotent: r.Idempotent,
		recovered: true, tasks: make([]taskState, r.TaskCount),
	}
	o.keep(j)
	o.scheduleExpiry(now, j)
	ev := o.newEvent(event.JobRecovered, j)
	ev.Count = r.TaskCount
	o.recordEvent(ev)
	return j
}

// RecoveryComplete tells the owner that it has the records of every registered agent, so a key without a record
// was never started.
func (o *Owner) RecoveryComplete(now time.Time) []Action {
	o.initStartTime(now)
	o.completeRecovery(now)
	return o.takeActions()
}

func (o *Owner) completeRecovery(now time.Time) {
	if o.recoveryComplete {
		return
	}
	o.recoveryComplete = true
	for _, j := range o.openJobs {
		if !j.open() {
			continue
		}
		for i := range j.tasks {
			o.scheduleTask(now, j, i)
		}
		o.tryAnswer(now, j)
		o.requestDueSlots(now, j)
	}
}
