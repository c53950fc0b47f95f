package job_test

import (
	"slices"
	"time"

	"dogwoodglade/core/job"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

func (sim *simulation) nextEvent() int {
	sim.lastEvent++
	return sim.lastEvent
}

// submitTo submits to an owner. It records the event number of the first submission of the key that the owner
// accepts, that is, does not answer immediately.
func (sim *simulation) submitTo(o *owner, s job.Submission, wt *waiter) {
	if a, ok := o.notRunAnswers[s.ID]; ok && sim.defect == repeatNotRun {
		sim.currentConfirmation = sim.nextEvent()
		sim.deliverReply(job.Reply{Waiter: wt.name, Answer: a})
		sim.currentConfirmation = 0
		return
	}
	sim.performOwnerActions(o, o.Submit(sim.now, s, wt.name, sim.tables))
	if wt.answers == 0 && o.firstSubmission[s.ID] == 0 {
		o.firstSubmission[s.ID] = sim.nextEvent()
	}
}

// confirm asks a live agent to confirm the owner's epoch. The confirmation gets its event number when the agent
// handles the request.
func (sim *simulation) confirm(o *owner, c job.ConfirmEpoch) {
	live := slices.DeleteFunc(slices.Clone(sim.agents), func(a *agent) bool { return a.dead })
	reply := func(from string, refusal task.Refusal) {
		at := sim.nextEvent()
		sim.sendMessage(from, o.name, "confirmed", func() {
			sim.currentConfirmation = at
			if sim.defect == acceptLateConfirmation {
				c.RequestID = o.lastRequestID
			}
			sim.performOwnerActions(o, o.ConfirmationReceived(sim.now, c, refusal))
			sim.currentConfirmation = 0
		})
	}
	o.lastRequestID = c.RequestID
	switch {
	case sim.defect == skipConfirmation:
		reply("net", task.Accepted)
	case len(live) == 0:
		reply("net", task.RefusedAgentUnreachable)
	default:
		a := live[sim.randomInt(len(live))]
		sim.sendMessage(o.name, a.name, "confirm", func() {
			refusal := a.Confirm(shard.Fence{Shard: c.Shard, Epoch: c.Epoch})
			if sim.defect == confirmStaleEpoch && refusal == task.RefusedEpochSuperseded {
				refusal = task.Accepted
			}
			reply(a.name, refusal)
		})
	}
}

// checkStart checks that the attempt starts only once, that its task does not start more often than allowed, and
// that it does not belong to a submission that was answered NotRun.
func (sim *simulation) checkStart(s task.Start) {
	id := startID{s.Attempt, s.Epoch}
	sim.check(!sim.started[id], "attempt %v started twice", s.Attempt)
	sim.started[id] = true
	sim.startCounts[s.Attempt.Task]++
	limit := 1
	if sim.jobOptions[s.Attempt.Task.Job].idempotent {
		limit = maxAttempts
	}
	count := sim.startCounts[s.Attempt.Task]
	sim.check(count <= limit, "task %v started %d times", s.Attempt, count)
	sim.check(sim.submissionOf[id] >= sim.notRunConfirmations[s.Attempt.Task.Job],
		"%v started for a submission that was reported as not run", s.Attempt)
	sim.logf("start %v", s.Attempt)
}

// checkNotRun checks that nothing was started for a submission that an owner accepted before the confirmation.
// It keeps the event number of the confirmation to check later starts.
func (sim *simulation) checkNotRun(o *owner, a job.Answer) {
	sim.check(sim.currentConfirmation > o.firstSubmission[a.ID],
		"%v was reported as not run with a confirmation that preceded its submission", a.ID)
	for id, at := range sim.submissionOf {
		if id.attempt.Task.Job == a.ID && sim.started[id] {
			sim.check(at > sim.currentConfirmation, "%v was reported as not run after it started", id.attempt)
		}
	}
	sim.notRunConfirmations[a.ID] = max(sim.notRunConfirmations[a.ID], sim.currentConfirmation)
	delete(o.firstSubmission, a.ID)
	o.notRunAnswers[a.ID] = a
}

// checkRetryAfterNotRun checks that a key which the latest owner answered NotRun can be submitted again and
// completes.
func (sim *simulation) checkRetryAfterNotRun() {
	o := sim.owners[len(sim.owners)-1]
	if o.dead || len(o.missingRecords) > 0 {
		return
	}
	for _, id := range keys {
		if _, ok := o.notRunAnswers[id]; !ok || o.firstSubmission[id] != 0 {
			continue
		}
		sim.addAgent()
		a := sim.agents[len(sim.agents)-1]
		sim.deliverAll()
		sim.slotRequests = nil // a slot request that arrived after its withdrawal is still here
		wt := sim.submit(o, id, job.Submission{Route: "r"}, jobOptions{})
		sim.deliverAll()
		for i := 0; i < 10 && len(sim.slotRequests) > 0; i++ {
			sim.grant(0, a)
			sim.deliverAll()
			if len(a.running) > 0 {
				sim.endTask(a, a.running[0], 200)
			}
			sim.deliverAll()
			sim.advance(time.Second / 10)
		}
		sim.check(wt.state == job.Complete, "the retry of %v after NotRun was answered %q", id, wt.state)
	}
}
