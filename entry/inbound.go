package entry

import (
	"context"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

// inbound handles the messages of peers. Unlike the methods of Entry with the same names, which serve
// callers, its methods answer only for the shards of this entry.
type inbound struct{ *Entry }

// Submit implements inner.JobHandler.
func (h inbound) Submit(ctx context.Context, _ *inner.Peer, s job.Submission) (inner.OwnerReply, error) {
	return h.submitLocal(ctx, s)
}

// Lookup implements inner.JobHandler.
func (h inbound) Lookup(ctx context.Context, _ *inner.Peer, id task.JobID) (inner.OwnerReply, error) {
	return h.lookupLocal(ctx, id)
}

// CancelJob implements inner.JobHandler.
func (h inbound) CancelJob(ctx context.Context, _ *inner.Peer, id task.JobID) (inner.OwnerReply, error) {
	return h.cancelLocal(ctx, id)
}

// IssueTicket implements inner.JobHandler.
func (h inbound) IssueTicket(ctx context.Context, _ *inner.Peer, id task.JobID) (inner.OwnerReply, error) {
	return h.issueTicketLocal(ctx, id)
}
