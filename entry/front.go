package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/route"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

// Times of a front.
const (
	ownerCheck   = 100 * time.Millisecond
	rerouteWait  = 20 * time.Millisecond // between two tries to reach the owner of a key
	ownerWait    = 5 * time.Second       // for a shard to get an owner
	answerGrace  = 2 * time.Second       // beyond the deadline, for the owner's own answer to arrive
	requestLimit = 5 * time.Second       // of a look-up, a cancellation or a ticket
)

// ask is a message of a front for the owner of a key, answered by this entry or by a peer.
type ask struct {
	id      task.JobID
	local   func(ctx context.Context) (inner.OwnerReply, error)
	message func() inner.Message // for a peer
}

// Submit implements caller.Dispatcher. If the owner of the key is lost or replaced, the submission is sent
// to its successor, which treats it as a resubmission.
func (e *Entry) Submit(ctx context.Context, s job.Submission) job.Answer {
	e.submissions.Add(1)
	defer e.submissions.Add(-1)
	limit := e.deadlineOf(s)
	until := time.Now().Add(limit)
	ctx, cancel := e.bound(ctx, limit+answerGrace)
	defer cancel()
	remaining := func() job.Submission {
		s := s
		s.Deadline = max(time.Until(until), time.Millisecond)
		return s
	}
	a := e.askOwner(ctx, ask{
		id:      s.ID,
		local:   func(ctx context.Context) (inner.OwnerReply, error) { return e.submitLocal(ctx, remaining()) },
		message: func() inner.Message { return inner.SubmitMessage{Submission: remaining()} },
	})
	e.record(event.Event{
		Number: event.AnswerDelivered, Customer: s.ID.Customer, Key: s.ID.Key, Task: -1,
		Route: s.Route, State: string(a.State), Count: len(a.Results),
	})
	return a
}

// bound returns a context that also ends when the entry stops.
func (e *Entry) bound(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	forget := context.AfterFunc(e.background.ctx, cancel)
	return ctx, func() {
		forget()
		cancel()
	}
}

func (e *Entry) deadlineOf(s job.Submission) time.Duration {
	limit := route.LimitDeadline
	if r, ok := e.tables.Current().Routes[s.Route]; ok {
		limit = r.Deadline
	}
	if s.Deadline > 0 {
		limit = min(limit, s.Deadline)
	}
	return limit
}

// Lookup implements caller.Dispatcher.
func (e *Entry) Lookup(ctx context.Context, id task.JobID) job.Answer {
	return e.request(ctx, id, e.lookupLocal, inner.LookupMessage{ID: id})
}

// Cancel implements caller.Dispatcher.
func (e *Entry) Cancel(ctx context.Context, id task.JobID) job.Answer {
	return e.request(ctx, id, e.cancelLocal, inner.CancelJobMessage{ID: id})
}

// IssueTicket implements caller.Dispatcher.
func (e *Entry) IssueTicket(ctx context.Context, id task.JobID) job.Answer {
	return e.request(ctx, id, e.issueTicketLocal, inner.IssueTicketMessage{ID: id})
}

// request asks the owner of a key about its job.
func (e *Entry) request(
	ctx context.Context, id task.JobID,
	local func(ctx context.Context, id task.JobID) (inner.OwnerReply, error), m inner.Message,
) job.Answer {
	ctx, cancel := e.bound(ctx, requestLimit)
	defer cancel()
	return e.askOwner(ctx, ask{
		id:      id,
		local:   func(ctx context.Context) (inner.OwnerReply, error) { return local(ctx, id) },
		message: func() inner.Message { return m },
	})
}

// askOwner sends a message to the owner of its key until it is answered or the context ends.
func (e *Entry) askOwner(ctx context.Context, a ask) job.Answer {
	noOwnerUntil := time.Now().Add(ownerWait)
	last := job.Answer{ID: a.id, State: job.NotRun, Reason: job.ReasonOwnerUnavailable, RetryAfter: time.Second}
	lost := false // an owner may have taken a message without giving its final answer
	for {
		reply, sent, err := e.tryOwner(ctx, a)
		lost = lost || err != nil && sent
		switch {
		case err == nil && !reply.NotOwner && !moved(reply.Answer):
			return withoutTicket(reply.Answer, lost)
		case err == nil && !reply.NotOwner:
			last = reply.Answer
			// A superseded owner answers its open jobs like this, whose tasks may have started.
			lost = lost || last.Reason == job.ReasonOwnerSuperseded
		case err != nil && sent && last.State == job.NotRun:
			// The owner may have accepted the submission.
			last = job.Answer{ID: a.id, State: job.OutcomeUnknown, Reason: job.ReasonOwnerUnavailable}
		}
		if !sent && last.State == job.NotRun && time.Now().After(noOwnerUntil) {
			return e.unsent(last)
		}
		select {
		case <-ctx.Done():
			return e.unsent(last)
		case <-time.After(rerouteWait + rand.N(rerouteWait)):
		}
	}
}

// withoutTicket drops the offer of a ticket if an owner may have taken an earlier message: it may still hold
// the submission or have started its tasks, so the caller must not send it again as a first one.
func withoutTicket(a job.Answer, lost bool) job.Answer {
	if lost && a.Reason == job.ReasonTicketRequired {
		a.Reason, a.Ticket = job.ReasonOwnerUnavailable, shard.Ticket{}
	}
	return a
}

// unsent answers a submission that this entry never sent to an owner. Another copy of it may have run, so
// only the owner can report it as not run.
func (e *Entry) unsent(a job.Answer) job.Answer {
	if a.State == job.NotRun {
		a.State = job.OutcomeUnknown
	}
	return a
}

// moved reports whether the answer only says that the owner gave the shard up.
func moved(a job.Answer) bool {
	return a.State == job.OutcomeUnknown &&
		(a.Reason == job.ReasonOwnerSuperseded || a.Reason == job.ReasonDraining)
}

// tryOwner sends the message once. Sent reports whether it may have had an effect.
func (e *Entry) tryOwner(ctx context.Context, a ask) (reply inner.OwnerReply, sent bool, err error) {
	e.ownership.mu.Lock()
	owner, _, ok := e.ownership.state.Owner(a.id.Shard())
	e.ownership.mu.Unlock()
	if !ok {
		return inner.OwnerReply{NotOwner: true}, false, nil
	}
	if owner == e.options.Name {
		reply, err = a.local(ctx)
		return reply, !reply.NotOwner, err
	}
	p := e.directory.entry(owner)
	ctx, cancel := e.whileOwner(ctx, a.id.Shard(), owner)
	defer cancel()
	if p != nil {
		reply, err = p.Send(ctx, a.message())
		return reply, err != nil || !reply.NotOwner, err
	}
	return e.relay(ctx, owner, a)
}

// whileOwner returns a context that ends when the shard gets another owner, because the answer of an owner
// that was replaced may never come.
func (e *Entry) whileOwner(ctx context.Context, id shard.ID, owner string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(ownerCheck)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			e.ownership.mu.Lock()
			current, _, ok := e.ownership.state.Owner(id)
			e.ownership.mu.Unlock()
			if ok && current != owner {
				cancel()
				return
			}
		}
	}()
	return ctx, cancel
}

// relay sends the message through an agent while the link to the owner is cut. Agents are connected to all
// entries.
func (e *Entry) relay(ctx context.Context, owner string, a ask) (reply inner.OwnerReply, sent bool, err error) {
	agents := e.directory.connectedAgents()
	if len(agents) == 0 {
		return inner.OwnerReply{}, false, errors.WithStack(&inner.UnreachableError{Peer: owner, Method: "Relay"})
	}
	reply, err = agents[rand.IntN(len(agents))].Relay(ctx, owner, a.message())
	return reply, err != nil || !reply.NotOwner, err
}

// forward sends a message about a key to the former owner that finishes it.
func (e *Entry) forward(
	ctx context.Context, to string, m inner.Message,
) (inner.OwnerReply, error) {
	p := e.directory.entry(to)
	if p == nil {
		return inner.OwnerReply{NotOwner: true}, nil
	}
	reply, err := p.Send(ctx, m)
	if err != nil && ctx.Err() == nil {
		// The former owner is gone; ownership will recover the key.
		return inner.OwnerReply{NotOwner: true}, nil
	}
	return reply, err
}

// submitLocal submits to an owner in this entry and waits for the answer.
func (e *Entry) submitLocal(ctx context.Context, s job.Submission) (inner.OwnerReply, error) {
	waiter, answer := e.waiters.add()
	defer e.waiters.remove(waiter)
	id := s.ID.Shard()
	snapshot := e.tables.Current()
	to := ""
	owned := e.decide(id, func(now time.Time, o *job.Owner) []job.Action {
		if to = e.owners[id].formerOwner(s.ID); to != "" {
			return nil
		}
		return o.Submit(now, s, waiter, snapshot)
	})
	switch {
	case !owned:
		return inner.OwnerReply{NotOwner: true}, nil
	case to != "":
		return e.forward(ctx, to, inner.SubmitMessage{Submission: s})
	}
	select {
	case a := <-answer:
		if a.Reason == job.ReasonOwnerSuperseded {
			e.checkEpoch(id)
		}
		return inner.OwnerReply{Answer: a}, nil
	case <-ctx.Done():
		return inner.OwnerReply{}, errors.Wrap(ctx.Err(), "wait for the answer")
	}
}

// checkEpoch asks an agent whether the shard has a newer owner, because a ticket says so.
func (e *Entry) checkEpoch(id shard.ID) {
	agents := e.directory.connectedAgents()
	if len(agents) > 0 {
		p := agents[rand.IntN(len(agents))]
		e.background.start(func(ctx context.Context) { e.readEpoch(ctx, p, id) })
	}
}

func (e *Entry) lookupLocal(ctx context.Context, id task.JobID) (inner.OwnerReply, error) {
	return e.answerLocal(ctx, inner.LookupMessage{ID: id}, id, func(now time.Time, o *job.Owner) ([]job.Action, job.Answer) {
		return nil, o.Lookup(now, id)
	})
}

func (e *Entry) cancelLocal(ctx context.Context, id task.JobID) (inner.OwnerReply, error) {
	return e.answerLocal(ctx, inner.CancelJobMessage{ID: id}, id, func(now time.Time, o *job.Owner) ([]job.Action, job.Answer) {
		actions := o.Cancel(now, id)
		return actions, o.Lookup(now, id)
	})
}

func (e *Entry) issueTicketLocal(ctx context.Context, id task.JobID) (inner.OwnerReply, error) {
	return e.answerLocal(ctx, inner.IssueTicketMessage{ID: id}, id, func(now time.Time, o *job.Owner) ([]job.Action, job.Answer) {
		a := o.Lookup(now, id)
		a.Ticket = o.IssueTicket()
		return nil, a
	})
}

// answerLocal answers a message from the owner in this entry, or forwards it to a former owner.
func (e *Entry) answerLocal(
	ctx context.Context, m inner.Message, id task.JobID,
	decision func(now time.Time, o *job.Owner) ([]job.Action, job.Answer),
) (inner.OwnerReply, error) {
	var reply inner.OwnerReply
	to := ""
	owned := e.decide(id.Shard(), func(now time.Time, o *job.Owner) []job.Action {
		if to = e.owners[id.Shard()].formerOwner(id); to != "" {
			return nil
		}
		var actions []job.Action
		actions, reply.Answer = decision(now, o)
		return actions
	})
	if to != "" {
		return e.forward(ctx, to, m)
	}
	reply.NotOwner = !owned
	return reply, nil
}
