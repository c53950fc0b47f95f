package inner

import (
	"context"
	"encoding/json"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

const (
	methodSubmit      = "Submit"
	methodLookup      = "Lookup"
	methodCancelJob   = "CancelJob"
	methodIssueTicket = "IssueTicket"
)

// OwnerReply is the reply to a job request. If NotOwner is set, the receiver does not own the key and the request had
// no effect; otherwise Answer is the answer of the owner.
type OwnerReply struct {
	NotOwner bool
	Answer   job.Answer
}

type submitParams struct{ Submission job.Submission }

type jobParams struct{ ID task.JobID }

// Submit sends a submission to the owner of its key and waits for the reply.
func (p *Peer) Submit(ctx context.Context, s job.Submission) (OwnerReply, error) {
	var reply OwnerReply
	err := p.call(ctx, methodSubmit, submitParams{Submission: s}, &reply)
	return reply, err
}

// Lookup asks the owner of a key for the state of its job.
func (p *Peer) Lookup(ctx context.Context, id task.JobID) (OwnerReply, error) {
	return p.callOwner(ctx, methodLookup, id)
}

// CancelJob asks the owner of a key to cancel its job.
func (p *Peer) CancelJob(ctx context.Context, id task.JobID) (OwnerReply, error) {
	return p.callOwner(ctx, methodCancelJob, id)
}

// IssueTicket asks the owner of a key for a ticket. The ticket is in the answer.
func (p *Peer) IssueTicket(ctx context.Context, id task.JobID) (OwnerReply, error) {
	return p.callOwner(ctx, methodIssueTicket, id)
}

func (p *Peer) callOwner(ctx context.Context, name string, id task.JobID) (OwnerReply, error) {
	var reply OwnerReply
	err := p.call(ctx, name, jobParams{ID: id}, &reply)
	return reply, err
}

// jobRequestMethod returns a method that handles a job request.
func jobRequestMethod(handle func(ctx context.Context, p *Peer, message json.RawMessage) (any, error)) method {
	m := callMethod(handle)
	m.isJobRequest = true
	return m
}

func jobMethods(h JobHandler) methods {
	type jobHandlerFunc func(ctx context.Context, p *Peer, id task.JobID) (OwnerReply, error)
	jobMethod := func(handle jobHandlerFunc) method {
		return jobRequestMethod(func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
			var params jobParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			return handle(ctx, p, params.ID)
		})
	}
	submit := jobRequestMethod(func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
		var params submitParams
		if err := p.decodeSubmission(ctx, message, &params); err != nil {
			return nil, err
		}
		return h.Submit(ctx, p, params.Submission)
	})
	submit.isSubmission = true
	return methods{
		methodSubmit:      submit,
		methodLookup:      jobMethod(h.Lookup),
		methodCancelJob:   jobMethod(h.CancelJob),
		methodIssueTicket: jobMethod(h.IssueTicket),
	}
}
