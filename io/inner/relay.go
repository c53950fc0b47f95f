package inner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

const methodRelay = "Relay"

// JobRequest is a request that an entry received from a client and sends to the owner of the job's key.
type JobRequest interface{ isJobRequest() }

// SubmitRequest submits a job.
type SubmitRequest struct{ Submission job.Submission }

// LookupRequest requests the state of a job.
type LookupRequest struct{ ID task.JobID }

// CancelJobRequest cancels a job.
type CancelJobRequest struct{ ID task.JobID }

// IssueTicketRequest requests a ticket.
type IssueTicketRequest struct{ ID task.JobID }

func (SubmitRequest) isJobRequest()      {}
func (LookupRequest) isJobRequest()      {}
func (CancelJobRequest) isJobRequest()   {}
func (IssueTicketRequest) isJobRequest() {}

// RelayHandler handles job requests that an agent relays between two entries that cannot reach each other.
type RelayHandler interface {
	// Relay forwards the request to the named entry and returns its reply.
	Relay(ctx context.Context, to string, r JobRequest) (OwnerReply, error)
}

// relayParams encodes a JobRequest; Method is its type.
type relayParams struct {
	To     string
	Method string
	Submit *SubmitRequest `json:",omitempty"`
	ID     task.JobID
}

// Relay asks the agent to forward a job request to the named entry.
func (p *Peer) Relay(ctx context.Context, to string, r JobRequest) (OwnerReply, error) {
	params := relayParams{To: to}
	switch r := r.(type) {
	case SubmitRequest:
		params.Method, params.Submit = methodSubmit, &r
	case LookupRequest:
		params.Method, params.ID = methodLookup, r.ID
	case CancelJobRequest:
		params.Method, params.ID = methodCancelJob, r.ID
	case IssueTicketRequest:
		params.Method, params.ID = methodIssueTicket, r.ID
	}
	var reply OwnerReply
	err := p.call(ctx, methodRelay, params, &reply)
	return reply, err
}

func (r relayParams) jobRequest() (JobRequest, error) {
	switch {
	case r.Method == methodSubmit && r.Submit != nil:
		return *r.Submit, nil
	case r.Method == methodLookup:
		return LookupRequest{ID: r.ID}, nil
	case r.Method == methodCancelJob:
		return CancelJobRequest{ID: r.ID}, nil
	case r.Method == methodIssueTicket:
		return IssueTicketRequest{ID: r.ID}, nil
	}
	return nil, errors.WithStack(&RemoteError{Peer: r.To, Method: methodRelay, Message: "unknown message " + r.Method})
}

// Send sends a job request directly to the peer, which should own the key.
func (p *Peer) Send(ctx context.Context, r JobRequest) (OwnerReply, error) {
	switch r := r.(type) {
	case SubmitRequest:
		return p.Submit(ctx, r.Submission)
	case LookupRequest:
		return p.Lookup(ctx, r.ID)
	case CancelJobRequest:
		return p.CancelJob(ctx, r.ID)
	case IssueTicketRequest:
		return p.IssueTicket(ctx, r.ID)
	}
	return OwnerReply{NotOwner: true}, nil
}

func relayMethods(h RelayHandler) methods {
	relay := jobRequestMethod(func(ctx context.Context, p *Peer, message json.RawMessage) (any, error) {
		var params relayParams
		if err := p.decodeSubmission(ctx, message, &params); err != nil {
			return nil, err
		}
		r, err := params.jobRequest()
		if err != nil {
			return nil, err
		}
		return h.Relay(ctx, params.To, r)
	})
	relay.isSubmission = true // it may be one
	return methods{methodRelay: relay}
}
