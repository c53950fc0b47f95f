package job_test

import (
	"slices"
	"strconv"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

func (sim *simulation) performOwnerActions(o *owner, actions []job.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case job.RequestSlots:
			sim.sendMessage(o.name, "allocator", "slot-request", func() { sim.addSlotRequest(slotRequest{o, a.Request}) })
		case job.WithdrawSlotRequest:
			sim.sendMessage(o.name, "allocator", "withdraw", func() { sim.withdrawSlotRequest(o, a) })
		case job.ReturnGrant:
		case job.SendStart:
			sim.sendStart(o, a)
		case job.CancelTask:
			to := sim.agent(a.Agent)
			sim.sendMessage(o.name, to.name, "cancel", func() { sim.performAgentActions(to, to.Cancel(sim.now, a.Attempt)) })
		case job.ConfirmEpoch:
			sim.confirm(o, a)
		case job.Reply:
			sim.deliverReply(a)
			if sim.defect == duplicateReply {
				sim.deliverReply(a)
			}
		}
	}
}

func (sim *simulation) addSlotRequest(req slotRequest) {
	sim.slotRequests = slices.DeleteFunc(sim.slotRequests, func(other slotRequest) bool {
		return other.owner == req.owner && other.ID == req.ID
	})
	sim.slotRequests = append(sim.slotRequests, req)
}

func (sim *simulation) withdrawSlotRequest(o *owner, a job.WithdrawSlotRequest) {
	for i := range sim.slotRequests {
		if sim.slotRequests[i].owner == o && sim.slotRequests[i].ID == a.RequestID {
			sim.slotRequests[i].Count -= max(a.Count, 1)
			if a.Count == 0 || sim.slotRequests[i].Count <= 0 {
				sim.slotRequests = slices.Delete(sim.slotRequests, i, i+1)
				return
			}
		}
	}
}

// grant grants a slot of the agent for a slot request, whether the slot is free or not.
func (sim *simulation) grant(i int, a *agent) {
	req := sim.slotRequests[i]
	sim.withdrawSlotRequest(req.owner, job.WithdrawSlotRequest{RequestID: req.ID, Count: 1})
	sim.grants++
	g := allocator.Grant{
		ID: strconv.Itoa(sim.grants), RequestID: req.ID, Owner: req.owner.name, Allocator: "allocator", Agent: a.name,
		BackendServer: "b" + a.name, Incarnation: strconv.Itoa(a.incarnation),
	}
	sim.sendMessage("allocator", req.owner.name, "grant", func() {
		sim.performOwnerActions(req.owner, req.owner.SlotGranted(sim.now, g))
	})
}

func (sim *simulation) refuseSlotRequest(i int) {
	req := sim.slotRequests[i]
	sim.slotRequests = slices.Delete(sim.slotRequests, i, i+1)
	r := allocator.Refusal{RequestID: req.ID, Owner: req.owner.name, Count: req.Count, Reason: allocator.Overloaded}
	sim.sendMessage("allocator", req.owner.name, "refuse", func() {
		sim.performOwnerActions(req.owner, req.owner.SlotRequestRefused(sim.now, r))
	})
}

func (sim *simulation) sendStart(o *owner, s job.SendStart) {
	a := sim.agent(s.Agent)
	refuse := func(refusal task.Refusal) {
		sim.performOwnerActions(o, o.StartRefused(sim.now, s.Start.Attempt, refusal))
	}
	if a.dead {
		sim.sendMessage("net", o.name, "unreachable", func() { refuse(task.RefusedAgentUnreachable) })
		return
	}
	sim.submissionOf[startID{s.Start.Attempt, s.Start.Epoch}] = o.firstSubmission[s.Start.Attempt.Task.Job]
	sim.sendMessage(o.name, a.name, "start", func() {
		refusal, actions := a.Start(sim.now, s.Start)
		sim.performAgentActions(a, actions)
		if sim.defect == acceptRepeatedStart && refusal == task.RefusedAlreadyStarted {
			sim.checkStart(s.Start)
		}
		r := task.Record{Attempt: s.Start.Attempt, Epoch: s.Start.Epoch, Agent: a.name, State: task.Running}
		if sim.defect == earlyResult {
			r.State, r.Result = task.Ended, task.Result{Status: 200}
		}
		sim.sendMessage(a.name, o.name, "reply", func() {
			if refusal != task.Accepted {
				refuse(refusal)
				return
			}
			sim.performOwnerActions(o, o.OutcomeReceived(sim.now, r))
		})
	})
	if sim.defect == earlyRefusal {
		sim.sendMessage("net", o.name, "early refusal", func() { refuse(task.RefusedNoFreeSlot) })
	}
}

func (sim *simulation) performAgentActions(a *agent, actions []executor.Action) {
	for _, action := range actions {
		switch x := action.(type) {
		case executor.Run:
			sim.checkStart(x.Start)
			sim.check(!a.left && !a.exited && !a.Drained(), "%v started on a leaving backend server", x.Start.Attempt)
			sim.check(a.noHeartbeatSince.IsZero() || sim.now.Sub(a.noHeartbeatSince) < 3*time.Second+tick,
				"%v started on a backend server without heartbeats", x.Start.Attempt)
			a.running = append(a.running, x.Start)
		case executor.SendOutcome:
			a.running = slices.DeleteFunc(a.running, func(s task.Start) bool { return s.Attempt == x.Record.Attempt })
			sim.sendOutcome(a, x)
		case executor.Stop, executor.SendRelease, executor.SendHeartbeat:
		}
	}
}

func (sim *simulation) sendOutcome(a *agent, x executor.SendOutcome) {
	r := x.Record
	if sim.defect == swappedResults && r.Result.Succeeded() {
		r.Attempt.Task.Index = (r.Attempt.Task.Index + 1) % r.TaskCount
	}
	sim.sendMessage(a.name, x.Owner, "outcome", func() {
		o := sim.owners[slices.IndexFunc(sim.owners, func(o *owner) bool { return o.name == x.Owner })]
		sim.performOwnerActions(o, o.OutcomeReceived(sim.now, r))
	})
}
