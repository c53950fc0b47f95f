package ownership

import (
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Action is an instruction of Ownership to its caller. The caller performs the actions of a slice in order, and
// all of them before those of the next event. A request may be answered at any later time; after RequestTimeout
// without an answer it counts as failed, and it is repeated as long as it is needed.
type Action interface{ isAction() }

// RequestVotes asks every connected agent how long ago it last heard from each of the owners. The caller reports
// the votes that arrived within VoteTimeout, however few, in one call of Votes with the same ID.
type RequestVotes struct {
	ID     uint64
	Owners []string
}

// ReadShards reads the Shards row. Success: ShardsRead. Failure: ShardsFailed. A row that does not exist is
// read as the zero row.
type ReadShards struct{}

// WriteShards replaces the Shards row if the stored version is still Row.Version (compare-and-set). Success:
// ShardsWritten with the new row, whose version is higher by one. If the version differs, the caller reads the
// row and calls ShardsRead. If the outcome is unknown or the store is down: ShardsFailed.
type WriteShards struct{ Row ShardsRow }

// ReadRegistry reads all agent rows of the region. Success: RegistryRead with the same ID. Failure:
// RegistryFailed with the same ID. The read must begin after the action was returned.
type ReadRegistry struct{ ID uint64 }

// SendFence sends all fences in one message to an agent. Success: Fenced. A failure need not be reported: the
// message is repeated every FenceRetryInterval while the agent is connected.
type SendFence struct {
	Agent       string
	Incarnation string
	Fences      []shard.Fence
}

// ReadRecords reads the start records that a drained agent left in the object store. Success: RecordsRead.
// Failure, including a missing object: RecordsFailed; the read is repeated.
type ReadRecords struct {
	Agent       string
	Incarnation string
	Object      string
}

// DrainShard asks the caller to accept no new key of the shard (job.Owner.Drain) and to call ShardDrained with
// the shard's records and open keys.
type DrainShard struct {
	Shard shard.ID
	Epoch shard.Epoch
}

// SendHandover sends a Handover to a peer, which passes it to ReceiveHandover. Success: HandoverAnswered with
// the peer's reply. A failure need not be reported: the message is repeated every HandoverRetryInterval, to another
// peer if the first one fails or refuses the shard.
type SendHandover struct {
	To       string
	Handover Handover
}

// Activate makes this entry the owner of the shard: the caller creates the shard's job.Owner. Complete is
// true only if there is nothing to recover; otherwise Recover and CompleteRecovery follow.
//
// OpenKeys are the keys that the previous owner, ForwardTo, is still finishing, as in ForwardOpenKeys. They are part
// of the activation, so that the new owner never accepts a submission of such a key before it knows of them.
type Activate struct {
	Shard     shard.ID
	Epoch     shard.Epoch
	Complete  bool
	ForwardTo string
	OpenKeys  []task.JobID
}

// Recover passes recovered start records to the shard's job.Owner (RecordsRecovered).
type Recover struct {
	Shard   shard.ID
	Records []task.Record
}

// CompleteRecovery tells the shard's job.Owner that every start of the shard within the retention window is known
// (RecoveryComplete).
type CompleteRecovery struct{ Shard shard.ID }

// StepDown ends the ownership of the shard under the given epoch (job.Owner.ObserveEpoch). For a shard that was
// handed over it ends the work on the open keys, because an entry other than the new owner has fenced the agents.
type StepDown struct {
	Shard shard.ID
	Epoch shard.Epoch
}

// ForwardOpenKeys lists the open keys of the shard that its previous owner, To, is still finishing. The caller
// forwards submissions, look-ups and cancellations of these keys to that entry and starts none of them. Each
// ForwardOpenKeys replaces the previous list; StepDown ends the forwarding.
type ForwardOpenKeys struct {
	Shard shard.ID
	To    string
	Keys  []task.JobID
}

// HandedOver reports that the peer To owns the shard under the given epoch. The caller sends further starts of the
// shard's open keys with this epoch, because agents that have seen it refuse the earlier one; the new owner starts
// none of these keys under it. The caller calls HandoverProgress when open keys end.
type HandedOver struct {
	Shard shard.ID
	To    string
	Epoch shard.Epoch
}

// ReleaseShard ends a handover: no key is open, and the new owner has all records or has failed. The caller drops
// the job.Owner.
type ReleaseShard struct{ Shard shard.ID }

func (RequestVotes) isAction()     {}
func (ReadShards) isAction()       {}
func (WriteShards) isAction()      {}
func (ReadRegistry) isAction()     {}
func (SendFence) isAction()        {}
func (ReadRecords) isAction()      {}
func (DrainShard) isAction()       {}
func (SendHandover) isAction()     {}
func (Activate) isAction()         {}
func (Recover) isAction()          {}
func (CompleteRecovery) isAction() {}
func (StepDown) isAction()         {}
func (ForwardOpenKeys) isAction()  {}
func (HandedOver) isAction()       {}
func (ReleaseShard) isAction()     {}
