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

// Intervals and timeouts of the requests to owners.
const (
	ownerCheckInterval = 100 * time.Millisecond
	rerouteDelay       = 20 * time.Millisecond // between two attempts to reach the owner of a key
	ownerTimeout       = 5 * time.Second       // for a shard to get an owner
	answerGrace        = 2 * time.Second       // after the deadline, for the owner's own answer to arrive
	requestTimeout     = 5 * time.Second       // of a look-up, a cancellation or a request for a ticket
)

// ownerRequest is a request to the owner of a key, which may be this entry or a peer.
type ownerRequest struct {
	id      task.JobID
	local   func(ctx context.Context) (inner.OwnerReply, error) // if this entry is the owner
	request func() inner.JobRequest                             // if a peer is the owner
}

// Submit implements caller.Dispatcher. If the owner of the key is lost or replaced, the submission is sent to
// the new owner, which treats it as a resubmission.
func (e *Entry) Submit(ctx context.Context, s job.Submission) job.Answer {
	e.submissions.Add(1)
	defer e.submissions.Add(-1)
	limit := e.deadlineOf(s)
	deadline := time.Now().Add(limit)
	ctx, cancel := e.withTimeout(ctx, limit+answerGrace)
	defer cancel()
	withRemainingTime := func() job.Submission {
		s := s
		s.Deadline = max(time.Until(deadline), time.Millisecond)
		return s
	}
	a := e.sendToOwner(ctx, ownerRequest{
		id:      s.ID,
		local:   func(ctx context.Context) (inner.OwnerReply, error) { return e.submitLocal(ctx, withRemainingTime()) },
		request: func() inner.JobRequest { return inner.SubmitRequest{Submission: withRemainingTime()} },
	})
	e.record(event.Event{
		Number: event.AnswerDelivered, Customer: s.ID.Customer, Key: s.ID.Key, Task: -1,
		Route: s.Route, State: string(a.State), Count: len(a.Results),
	})
	return a
}

// withTimeout returns a context that ends after the timeout or when the entry stops.
func (e *Entry) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	stopAfterFunc := context.AfterFunc(e.background.ctx, cancel)
	return ctx, func() {
		stopAfterFunc()
		cancel()
	}
}

// deadlineOf returns the time within which the submission must be answered.
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

// TaskLimits implements caller.Dispatcher.
func (e *Entry) TaskLimits(name string) (tasks, bytes int, ok bool) {
	r, ok := e.tables.Current().Routes[name]
	return r.MaxTasks, r.MaxBody, ok
}

// Lookup implements caller.Dispatcher.
func (e *Entry) Lookup(ctx context.Context, id task.JobID) job.Answer {
	return e.request(ctx, id, e.lookupLocal, inner.LookupRequest{ID: id})
}

// Cancel implements caller.Dispatcher.
func (e *Entry) Cancel(ctx context.Context, id task.JobID) job.Answer {
	return e.request(ctx, id, e.cancelLocal, inner.CancelJobRequest{ID: id})
}

// IssueTicket implements caller.Dispatcher.
func (e *Entry) IssueTicket(ctx context.Context, id task.JobID) job.Answer {
	return e.request(ctx, id, e.issueTicketLocal, inner.IssueTicketRequest{ID: id})
}

// request sends a look-up, a cancellation or a request for a ticket to the owner of a key.
func (e *Entry) request(
	ctx context.Context, id task.JobID,
	local func(ctx context.Context, id task.JobID) (inner.OwnerReply, error), r inner.JobRequest,
) job.Answer {
	ctx, cancel := e.withTimeout(ctx, requestTimeout)
	defer cancel()
	return e.sendToOwner(ctx, ownerRequest{
		id:      id,
		local:   func(ctx context.Context) (inner.OwnerReply, error) { return local(ctx, id) },
		request: func() inner.JobRequest { return r },
	})
}

// sendToOwner sends a request to the owner of its key until it is answered or the context ends.
func (e *Entry) sendToOwner(ctx context.Context, r ownerRequest) job.Answer {
	ownerDeadline := time.Now().Add(ownerTimeout)
	last := job.Answer{ID: r.id, State: job.NotRun, Reason: job.ReasonOwnerUnavailable, RetryAfter: time.Second}
	maybeAccepted := false // an owner may have accepted the request without giving its final answer
	for {
		reply, sent, err := e.trySendToOwner(ctx, r)
		var busy *inner.BusyError
		if errors.As(err, &busy) {
			return busyAnswer(r.id)
		}
		maybeAccepted = maybeAccepted || err != nil && sent
		switch {
		case err == nil && !reply.NotOwner && !isNoLongerOwner(reply.Answer):
			return dropUnsafeTicket(reply.Answer, maybeAccepted)
		case err == nil && !reply.NotOwner:
			last = reply.Answer
			// A superseded owner gives this answer for its open jobs, whose tasks may have started.
			maybeAccepted = maybeAccepted || last.Reason == job.ReasonOwnerSuperseded
		case err != nil && sent && last.State == job.NotRun:
			// The owner may have accepted the submission.
			last = job.Answer{ID: r.id, State: job.OutcomeUnknown, Reason: job.ReasonOwnerUnavailable}
		}
		if !sent && last.State == job.NotRun && time.Now().After(ownerDeadline) {
			return e.notRunAsUnknown(last)
		}
		select {
		case <-ctx.Done():
			return e.notRunAsUnknown(last)
		case <-time.After(rerouteDelay + rand.N(rerouteDelay)):
		}
	}
}

// busyRetryAfter is when a caller may send a request again that was refused for lack of memory. Requests in progress end
// within fractions of a second as a rule.
const busyRetryAfter = time.Second

// busyAnswer answers a request for which an entry has no memory.
func busyAnswer(id task.JobID) job.Answer {
	return job.Answer{ID: id, State: job.OutcomeUnknown, Reason: job.ReasonBusy, RetryAfter: busyRetryAfter}
}

// dropUnsafeTicket removes an offered ticket if an owner may have accepted an earlier message. That owner may
// still hold the submission or have started its tasks, so the caller must not send it again as a first
// submission.
func dropUnsafeTicket(a job.Answer, maybeAccepted bool) job.Answer {
	if maybeAccepted && a.Reason == job.ReasonTicketRequired {
		a.Reason, a.Ticket = job.ReasonOwnerUnavailable, shard.Ticket{}
	}
	return a
}

// notRunAsUnknown changes NotRun to OutcomeUnknown in the answer to a submission that this entry never sent
// to an owner. Another copy of the submission may have run, so only the owner can report it as not run.
func (e *Entry) notRunAsUnknown(a job.Answer) job.Answer {
	if a.State == job.NotRun {
		a.State = job.OutcomeUnknown
	}
	return a
}

// isNoLongerOwner reports whether the answer says only that the owner no longer serves the shard.
func isNoLongerOwner(a job.Answer) bool {
	return a.State == job.OutcomeUnknown &&
		(a.Reason == job.ReasonOwnerSuperseded || a.Reason == job.ReasonDraining)
}

// trySendToOwner sends the request once. The result sent reports whether the request may have had an effect.
func (e *Entry) trySendToOwner(ctx context.Context, r ownerRequest) (reply inner.OwnerReply, sent bool, err error) {
	e.ownership.mu.Lock()
	owner, _, ok := e.ownership.state.Owner(r.id.Shard())
	e.ownership.mu.Unlock()
	if !ok {
		return inner.OwnerReply{NotOwner: true}, false, nil
	}
	if owner == e.options.Name {
		reply, err = r.local(ctx)
		return reply, !reply.NotOwner, err
	}
	p := e.directory.entry(owner)
	ctx, cancel := e.withOwnerWatch(ctx, r.id.Shard(), owner)
	defer cancel()
	if p != nil {
		reply, err = p.Send(ctx, r.request())
		return reply, err != nil || !reply.NotOwner, err
	}
	return e.relayThroughAgent(ctx, owner, r)
}

// withOwnerWatch returns a context that is cancelled when the shard gets another owner, because an owner that
// was replaced may never answer.
func (e *Entry) withOwnerWatch(ctx context.Context, id shard.ID, owner string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(ownerCheckInterval)
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

// relayThroughAgent sends the request through an agent while this entry is not connected to the owner. Agents
// are connected to all entries.
func (e *Entry) relayThroughAgent(
	ctx context.Context, owner string, r ownerRequest,
) (reply inner.OwnerReply, sent bool, err error) {
	agents := e.directory.connectedAgents()
	if len(agents) == 0 {
		return inner.OwnerReply{}, false, errors.WithStack(&inner.UnreachableError{Peer: owner, Method: "Relay"})
	}
	reply, err = agents[rand.IntN(len(agents))].Relay(ctx, owner, r.request())
	return reply, err != nil || !reply.NotOwner, err
}

// forwardToPreviousOwner sends a job request to the previous owner of the key's shard, where the job is
// still open.
func (e *Entry) forwardToPreviousOwner(
	ctx context.Context, to string, r inner.JobRequest,
) (inner.OwnerReply, error) {
	p := e.directory.entry(to)
	if p == nil {
		return inner.OwnerReply{NotOwner: true}, nil
	}
	reply, err := p.Send(ctx, r)
	var busy *inner.BusyError
	if errors.As(err, &busy) {
		return inner.OwnerReply{}, err
	}
	if err != nil && ctx.Err() == nil {
		// The previous owner is gone; a takeover will recover the key.
		return inner.OwnerReply{NotOwner: true}, nil
	}
	return reply, err
}

// submitLocal submits to the owner in this entry and waits for the answer.
func (e *Entry) submitLocal(ctx context.Context, s job.Submission) (inner.OwnerReply, error) {
	waiter, answer := e.waiters.add()
	defer e.waiters.remove(waiter)
	id := s.ID.Shard()
	snapshot := e.tables.Current()
	to := ""
	owned := e.withOwner(id, func(now time.Time, o *job.Owner) []job.Action {
		if to = e.owners[id].previousOwner(s.ID); to != "" {
			return nil
		}
		return o.Submit(now, s, waiter, snapshot)
	})
	switch {
	case !owned:
		return inner.OwnerReply{NotOwner: true}, nil
	case to != "":
		return e.forwardToPreviousOwner(ctx, to, inner.SubmitRequest{Submission: s})
	}
	select {
	case a := <-answer:
		if a.Reason == job.ReasonOwnerSuperseded {
			e.observeCurrentEpoch(id)
		}
		return inner.OwnerReply{Answer: a}, nil
	case <-ctx.Done():
		return inner.OwnerReply{}, errors.Wrap(ctx.Err(), "wait for the answer")
	}
}

// observeCurrentEpoch reads the current epoch of the shard from an agent, because a ticket shows that the
// shard has a newer owner.
func (e *Entry) observeCurrentEpoch(id shard.ID) {
	agents := e.directory.connectedAgents()
	if len(agents) > 0 {
		p := agents[rand.IntN(len(agents))]
		e.background.start(func(ctx context.Context) { e.readEpoch(ctx, p, id) })
	}
}

func (e *Entry) lookupLocal(ctx context.Context, id task.JobID) (inner.OwnerReply, error) {
	return e.answerLocal(
		ctx, inner.LookupRequest{ID: id}, id,
		func(now time.Time, o *job.Owner) ([]job.Action, job.Answer) {
			return nil, o.Lookup(now, id)
		},
	)
}

func (e *Entry) cancelLocal(ctx context.Context, id task.JobID) (inner.OwnerReply, error) {
	return e.answerLocal(
		ctx, inner.CancelJobRequest{ID: id}, id,
		func(now time.Time, o *job.Owner) ([]job.Action, job.Answer) {
			actions := o.Cancel(now, id)
			return actions, o.Lookup(now, id)
		},
	)
}

func (e *Entry) issueTicketLocal(ctx context.Context, id task.JobID) (inner.OwnerReply, error) {
	return e.answerLocal(
		ctx, inner.IssueTicketRequest{ID: id}, id,
		func(now time.Time, o *job.Owner) ([]job.Action, job.Answer) {
			a := o.Lookup(now, id)
			a.Ticket, a.Results = o.IssueTicket(), nil
			return nil, a
		},
	)
}

// answerLocal returns the answer of the owner in this entry, or forwards the request to the previous owner if
// the job is still open there.
func (e *Entry) answerLocal(
	ctx context.Context, r inner.JobRequest, id task.JobID,
	call func(now time.Time, o *job.Owner) ([]job.Action, job.Answer),
) (inner.OwnerReply, error) {
	var reply inner.OwnerReply
	to := ""
	owned := e.withOwner(id.Shard(), func(now time.Time, o *job.Owner) []job.Action {
		if to = e.owners[id.Shard()].previousOwner(id); to != "" {
			return nil
		}
		var actions []job.Action
		actions, reply.Answer = call(now, o)
		return actions
	})
	if to != "" {
		return e.forwardToPreviousOwner(ctx, to, r)
	}
	reply.NotOwner = !owned
	return reply, nil
}
