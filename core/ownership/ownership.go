// Package ownership implements the protocol by which entries agree on the owner of each key shard.
//
// An entry is a process that accepts submissions, an agent one that starts tasks on backend servers. The owner of a
// shard is the entry that deduplicates the submissions of its keys and sends their tasks to agents. Agents keep a start
// record of each attempt for the retention window; from these records a new owner recovers the shard. To fence an agent
// is to make it refuse the starts of owners with lower epochs. The store is the part of the platform that holds the
// Shards row, the registry of agents and the objects with the start records of drained agents.
//
// The package keeps one entry's view of all owners and covers the takeover of free shards (pre-vote, fencing and
// recovery), the planned handover, and stepping down. It performs no I/O: the entry process passes in the time and
// an event, performs the returned actions (see Action) and reports their results as further events. Shards that
// become free together are taken over together: one RequestVotes, one compare-and-set write, one registry read and
// one Fence message per agent.
//
// If a peer entry fails, its shards become free and the live entry that ranks first by rendezvous hashing takes them
// over. If the store fails, a takeover activates the shards with incomplete recovery, and the missing steps are
// retried. If an agent fails, recovery stays incomplete until the agent answers, its records are read from the
// object store, its registry row disappears, or the retention window has elapsed.
//
// Completing recovery because the retention window has elapsed assumes that no superseded owner still reaches,
// throughout that window, an agent that this entry cannot fence. An entry that removes registry rows must only remove
// rows of agents that no entry has heard from for the retention window.
//
// Recovery is safe because of this order: the new epoch is written to the Shards row, then the registry is
// read, then every registered agent is fenced. An agent registers first and then reads the Shards row, so an
// agent that is missing from the registry read has seen the new epoch.
package ownership

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Intervals and timeouts of the protocol.
const (
	PingInterval          = 250 * time.Millisecond
	TickInterval          = 100 * time.Millisecond
	FailureTimeout        = time.Second            // after which an owner counts as failed
	StartupWait           = time.Second            // longest wait at startup for the first pings of peers
	VoteTimeout           = 300 * time.Millisecond // for the caller to collect votes
	RequestTimeout        = time.Second            // after which an unanswered request counts as failed
	ActivationTimeout     = 500 * time.Millisecond // after which shards are activated although recovery is incomplete
	FenceRetryInterval    = 500 * time.Millisecond
	HandoverRetryInterval = 500 * time.Millisecond
	StoreRetryInterval    = time.Second     // between retries of store requests, and between registry reads of a recovery
	RowRefreshInterval    = 5 * time.Second // between reads of the Shards row while there is nothing to write
	MinBackoff            = 100 * time.Millisecond
	BackoffJitter         = 400 * time.Millisecond
	PauseThreshold        = 500 * time.Millisecond // gap between ticks above which this process counts as paused
	RetentionWindow       = executor.RetentionWindow
)

// claim is what this entry knows about the owner of a shard, as of the highest epoch seen.
type claim struct {
	epoch         shard.Epoch
	previousEpoch shard.Epoch
	entry         string // empty if only the epoch is known
	lastHeard     time.Time
	confirmed     bool // by the owner itself, so that previousEpoch is known
	active        bool
}

// entryID identifies a process of an entry, so that a restarted entry is not mistaken for its previous process.
type entryID struct{ name, incarnation string }

// peer is what this entry knows about another entry from its last ping.
type peer struct {
	incarnation string
	started     int64 // start of the process, as in Ping
	sequence    uint64
	draining    bool
	lost        bool // not heard from for FailureTimeout; EntryLost was recorded
	lastHeard   time.Time
}

// ownedShard is a shard that this entry serves.
type ownedShard struct {
	epoch         shard.Epoch
	previousEpoch shard.Epoch // of the entry that handed it over; zero if none did
	previousOwner entryID
	sequence      uint64 // of the last Handover message
	openKeys      []task.JobID
	complete      bool
}

// Ownership is one entry's view of the owners of all shards. It is not safe for concurrent use.
type Ownership struct {
	self        string
	incarnation string
	expected    []string // peers from the settings
	random      *rand.Rand
	record      func(event.Event)

	started         time.Time // first tick
	lastTick        time.Time
	startupWaitOver bool // pre-votes may start; see updateStartupWait
	draining        bool
	sequence        uint64

	peers       map[string]*peer
	agents      map[string]string // incarnation by name of each connected agent
	claims      [shard.Count]claim
	staleClaims map[shard.ID]bool // claimed by a peer under an epoch lower than the highest known
	owned       map[shard.ID]*ownedShard

	preVote            *preVote
	nextPreVote        time.Time
	recoveries         []*recovery
	handovers          map[shard.ID]*outgoingHandover
	recordsRequestedAt map[agentID]time.Time // last request for the records object of a drained agent
	store              storeState
}

// New returns the ownership of an entry that owns nothing. The incarnation is unique to the process. Expected names
// the peers from the settings; once all of them have pinged, the entry may take over free shards without waiting for
// StartupWait. The caller calls Tick at once and then every TickInterval, and sends Ping to all peers every
// PingInterval.
func New(self, incarnation string, expected []string, random *rand.Rand, record func(event.Event)) *Ownership {
	return &Ownership{
		self:               self,
		incarnation:        incarnation,
		expected:           slices.DeleteFunc(slices.Clone(expected), func(name string) bool { return name == self }),
		random:             random,
		record:             record,
		peers:              map[string]*peer{},
		agents:             map[string]string{},
		owned:              map[shard.ID]*ownedShard{},
		staleClaims:        map[shard.ID]bool{},
		handovers:          map[shard.ID]*outgoingHandover{},
		recordsRequestedAt: map[agentID]time.Time{},
	}
}

// Owner returns the entry that serves the shard and its epoch. It reports false while no live owner is known; the
// caller may then wait for FailureTimeout or refuse the submission.
func (o *Ownership) Owner(id shard.ID) (entry string, epoch shard.Epoch, ok bool) {
	if own, owned := o.owned[id]; owned {
		return o.self, own.epoch, true
	}
	c := o.claims[id]
	if !c.active || c.entry == o.self || !o.isFresh(c) {
		return "", c.epoch, false
	}
	return c.entry, c.epoch, true
}

// CanStartOn reports whether this entry may start tasks on the agent, for a shard that it owns or is handing
// over: on any agent if recovery is complete, otherwise only on agents that it has fenced.
func (o *Ownership) CanStartOn(id shard.ID, agent, incarnation string) bool {
	a := agentID{agent, incarnation}
	own, owned := o.owned[id]
	if out := o.handovers[id]; out != nil && !owned {
		return out.complete || out.fenced[a]
	}
	if !owned || own.complete {
		return owned
	}
	r, s := o.recoveryOf(id)
	return r != nil && s.epoch == own.epoch && r.fenced[a]
}

// Drained reports whether the entry owns no shard and has finished all handovers.
func (o *Ownership) Drained() bool {
	return o.draining && len(o.owned) == 0 && len(o.handovers) == 0 && len(o.recoveries) == 0
}

// Tick does the work that depends on time: it finds free shards, retries unanswered requests and completes
// recoveries whose retention window has elapsed.
func (o *Ownership) Tick(now time.Time) []Action {
	if o.started.IsZero() {
		o.started = now
	}
	o.compensatePause(now)
	o.updateStartupWait(now)
	o.expirePeers(now)
	return o.advance(now, o.startPreVote(now))
}

// advance takes every step that the current state allows. Most event methods end by calling it.
func (o *Ownership) advance(now time.Time, actions []Action) []Action {
	actions = o.advanceHandovers(now, actions)
	actions = o.advanceStore(now, actions)
	actions = o.advanceFences(now, actions)
	return o.advanceRecoveries(now, actions)
}

// compensatePause moves the times at which peers and owners were last heard from forward by the length of a pause of
// this process, during which it could not receive their pings.
func (o *Ownership) compensatePause(now time.Time) {
	gap := now.Sub(o.lastTick)
	if !o.lastTick.IsZero() && gap > PauseThreshold {
		// The new time must not lie in the future: a peer may have pinged between the end of the pause and
		// this tick.
		moveForward := func(heard *time.Time) {
			*heard = heard.Add(min(gap, now.Sub(*heard)))
		}
		for _, p := range o.peers {
			moveForward(&p.lastHeard)
		}
		for id := range o.claims {
			moveForward(&o.claims[id].lastHeard)
		}
	}
	o.lastTick = now
}

// updateStartupWait ends the startup wait once all expected peers have pinged or StartupWait has elapsed. The wait
// keeps entries that start at the same time from taking over shards of each other.
func (o *Ownership) updateStartupWait(now time.Time) {
	if o.startupWaitOver || o.started.IsZero() {
		return
	}
	allHeard := len(o.expected) > 0
	for _, name := range o.expected {
		allHeard = allHeard && o.peers[name] != nil
	}
	o.startupWaitOver = allHeard || now.Sub(o.started) >= StartupWait
}

// isFresh reports whether the claim was heard within FailureTimeout before the last tick.
func (o *Ownership) isFresh(c claim) bool { return o.lastTick.Sub(c.lastHeard) < FailureTimeout }

func (o *Ownership) isLive(name string, now time.Time) bool {
	p := o.peers[name]
	return p != nil && now.Sub(p.lastHeard) < FailureTimeout
}

// isRunning reports whether this process of the entry is live, rather than a later one of the same name.
func (o *Ownership) isRunning(e entryID, now time.Time) bool {
	return o.isLive(e.name, now) && o.peers[e.name].incarnation == e.incarnation
}

// eligibleEntries returns the live entries that may take shards: all that are not draining, this one included.
func (o *Ownership) eligibleEntries(now time.Time) []string {
	var names []string
	for name, p := range o.peers {
		if o.isLive(name, now) && !p.draining {
			names = append(names, name)
		}
	}
	if !o.draining {
		names = append(names, o.self)
	}
	return names
}

// Rendezvous returns the entry that ranks first for the key by rendezvous hashing, or "" if there are no entries.
func Rendezvous(key string, entries []string) string {
	if len(entries) == 0 {
		return ""
	}
	return slices.MaxFunc(entries, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, a), weight(key, b)), cmp.Compare(a, b))
	})
}

func weight(key, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	// FNV alone hardly mixes the last bytes into the high bits, which decide the order. The finalizer of
	// SplitMix64 does.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (o *Ownership) emit(number event.Number, e event.Event) {
	e.Number = number
	e.Task = -1
	o.record(e)
}

// shardKey returns the key of a shard for rendezvous hashing.
func shardKey(id shard.ID) string { return "shard/" + strconv.Itoa(int(id)) }

func sortedShards[V any](m map[shard.ID]V) []shard.ID { return sortedKeys(m) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
