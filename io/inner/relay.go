package inner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

const methodRelay = "Relay"

// Message is a job request that an entry received from a client and sends to the owner of the key.
type Message interface{ isMessage() }

// SubmitMessage submits a job.
type SubmitMessage struct{ Submission job.Submission }

// LookupMessage requests the state of a job.
type LookupMessage struct{ ID task.JobID }

// CancelJobMessage cancels a job.
type CancelJobMessage struct{ ID task.JobID }

// IssueTicketMessage requests a ticket.
type IssueTicketMessage struct{ ID task.JobID }

func (SubmitMessage) isMessage()      {}
func (LookupMessage) isMessage()      {}
func (CancelJobMessage) isMessage()   {}
func (IssueTicketMessage) isMessage() {}

// RelayHandler handles messages that an agent relays between two entries that cannot reach each other.
type RelayHandler interface {
	// Relay forwards the message to the named entry and returns its reply.
	Relay(ctx context.Context, to string, m Message) (OwnerReply, error)
}

// relayParams encodes a Message; Method is its type.
type relayParams struct {
	To     string
	Method string
	Submit *SubmitMessage `json:",omitempty"`
	ID     task.JobID
}

// Relay asks the agent to forward a message to the named entry.
func (p *Peer) Relay(ctx context.Context, to string, m Message) (OwnerReply, error) {
	params := relayParams{To: to}
	switch m := m.(type) {
	case SubmitMessage:
		params.Method, params.Submit = methodSubmit, &m
	case LookupMessage:
		params.Method, params.ID = methodLookup, m.ID
	case CancelJobMessage:
		params.Method, params.ID = methodCancelJob, m.ID
	case IssueTicketMessage:
		params.Method, params.ID = methodIssueTicket, m.ID
	}
	var reply OwnerReply
	err := p.call(ctx, methodRelay, params, &reply)
	return reply, err
}

func (r relayParams) message() (Message, error) {
	switch {
	case r.Method == methodSubmit && r.Submit != nil:
		return *r.Submit, nil
	case r.Method == methodLookup:
		return LookupMessage{ID: r.ID}, nil
	case r.Method == methodCancelJob:
		return CancelJobMessage{ID: r.ID}, nil
	case r.Method == methodIssueTicket:
		return IssueTicketMessage{ID: r.ID}, nil
	}
	return nil, errors.WithStack(&RemoteError{Peer: r.To, Method: methodRelay, Message: "unknown message " + r.Method})
}

// Send sends a job request directly to the peer, which should own the key.
func (p *Peer) Send(ctx context.Context, m Message) (OwnerReply, error) {
	switch m := m.(type) {
	case SubmitMessage:
		return p.Submit(ctx, m.Submission)
	case LookupMessage:
		return p.Lookup(ctx, m.ID)
	case CancelJobMessage:
		return p.CancelJob(ctx, m.ID)
	case IssueTicketMessage:
		return p.IssueTicket(ctx, m.ID)
	}
	return OwnerReply{NotOwner: true}, nil
}

func relayMethods(h RelayHandler) methods {
	return methods{
		methodRelay: callMethod(func(ctx context.Context, _ *Peer, message json.RawMessage) (any, error) {
			var params relayParams
			if err := decodeParams(message, &params); err != nil {
				return nil, err
			}
			m, err := params.message()
			if err != nil {
				return nil, err
			}
			return h.Relay(ctx, params.To, m)
		}),
	}
}
