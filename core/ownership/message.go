package ownership

import (
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
)

// Ping tells a peer that an entry is alive and which shards it claims. Entries send it every 250 ms (PingInterval).
// Ownership.Ping sets every field but Tables, which the caller sets.
type Ping struct {
	From        string
	Incarnation string
	Started     int64  // start of the process, in nanoseconds since 1970; orders incarnations of one name
	Sequence    uint64 // increases with each ping of the incarnation
	Draining    bool
	Shards      []Claim
	Superseded  []shard.Fence // the highest known epochs of shards that peers claimed under lower ones
	Tables      table.Versions
}

// Claim is the sender's claim to one shard in a ping.
type Claim struct {
	Shard  shard.ID
	Epoch  shard.Epoch
	From   shard.Epoch // epoch of the owner that handed the shard over; zero after a takeover
	Active bool        // false while the takeover has been written but the shard is not yet served
}

// Vote is one agent's vote about one owner in a pre-vote.
type Vote struct {
	Agent   string
	Owner   string
	Silence time.Duration // since the agent last heard from the owner
}

// AgentRow is an agent's row in the registry. An agent process writes its row first, then reads the Shards row, and
// only then accepts starts. A drained agent sets Left and Records after it has written its start records as one
// object.
type AgentRow struct {
	Agent       string
	Incarnation string
	Left        bool
	Records     string // name of the object with the start records
}

// ShardOwner is the owner of one shard in the Shards row.
type ShardOwner struct {
	Epoch shard.Epoch
	Entry string
}

// ShardsRow is the single row that holds the owners and epochs of all shards. The platform increments Version by
// one with each accepted write.
type ShardsRow struct {
	Version uint64
	Shards  [shard.Count]ShardOwner
}

// Epochs returns the epochs of all shards, for an agent that has just registered.
func (r ShardsRow) Epochs() []shard.Epoch {
	epochs := make([]shard.Epoch, shard.Count)
	for id := range r.Shards {
		epochs[id] = r.Shards[id].Epoch
	}
	return epochs
}

// FenceReply is an agent's reply to a Fence message. Epochs holds the agent's epoch of each fenced shard
// after the fence: the epoch of the fence, or a higher one if the agent refused the fence. Records holds all
// start records of these shards.
type FenceReply struct {
	Agent       string
	Incarnation string
	Epochs      []shard.Fence
	Records     []task.Record
}

// Handover hands a shard over to its next owner. The first message carries all records of the shard. Later messages
// carry the records added since the last answered message, and every message the keys that are still open.
type Handover struct {
	From        string
	Incarnation string
	Shard       shard.ID
	Epoch       shard.Epoch // under which the sender owned the shard
	Sequence    uint64
	Trusted     string // incarnation that may skip fencing; empty if the sender does not know every start
	Records     []task.Record
	OpenKeys    []task.JobID // keys that the sender is still finishing
}

// HandoverReply answers a Handover. A refusal with a zero epoch means that the receiver is draining and takes no
// shards; a refusal with an epoch means that this epoch superseded the sender's.
type HandoverReply struct {
	Shard    shard.ID
	Sequence uint64
	Accepted bool
	Epoch    shard.Epoch // of the receiver
}
