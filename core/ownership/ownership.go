// Package ownership decides, at one entry, which entry owns which key shard.
//
// It owns this entry's view of all owners, the takeover of free shards with pre-vote, fencing and recovery,
// the planned handover, and stepping down. The entry process calls it; it takes the time and an event and
// returns actions (see Action), whose results the caller reports as events. All shards that become free
// together are taken over together: one AskVotes, one compare-and-set write, one registry read and one Fence
// message per agent.
//
// If a peer entry fails, its shards become free and the live entry that is first by rendezvous hashing takes
// them. If the store fails, a takeover activates with incomplete recovery and the missing steps are repeated.
// If an agent fails, recovery stays incomplete until the agent answers, its records are read from the object
// store, its registry row disappears, or the retention window has elapsed.
//
// The last rule assumes that no superseded owner still reaches, for a whole retention window, an agent that
// this entry cannot fence. An entry that removes registry rows must only remove rows of agents that no entry
// has heard from for the retention window.
//
// Recovery is safe because of this order: the new epoch is written to the Shards row, then the registry is
// read, then every registered agent is fenced. An agent registers first and then reads the Shards row, so an
// agent that is missing from the registry read knows the new epoch.
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

// Timings of ownership.
const (
	PingInterval     = 250 * time.Millisecond
	TickInterval     = 100 * time.Millisecond
	SilenceLimit     = time.Second            // after which an owner counts as failed
	SettleTime       = time.Second            // longest wait for first pings of peers
	VoteTimeout      = 300 * time.Millisecond // for the caller to collect votes
	RequestTimeout   = time.Second            // after which an unanswered request counts as failed
	ActivationWait   = 500 * time.Millisecond // for complete recovery before an incomplete activation
	FenceInterval    = 500 * time.Millisecond
	HandoverInterval = 500 * time.Millisecond
	StoreInterval    = time.Second     // between repetitions of failed store requests
	RefreshInterval  = 5 * time.Second // between reads of the Shards row without a takeover
	BackoffMin       = 100 * time.Millisecond
	BackoffJitter    = 400 * time.Millisecond
	PauseLimit       = 500 * time.Millisecond // gap between ticks that shows that this process was paused
	RetentionWindow  = executor.RetentionWindow
)

// claim is what this entry knows about the owner of a shard: the highest epoch seen.
type claim struct {
	epoch  shard.Epoch
	from   shard.Epoch
	entry  string // empty if only the epoch is known
	heard  time.Time
	pinged bool // confirmed by a ping of the owner, so that from is known
	active bool
}

// entryID names a process, so that a restarted entry is not taken for its predecessor.
type entryID struct{ name, incarnation string }

type peer struct {
	incarnation string
	started     int64
	sequence    uint64
	draining    bool
	lost        bool
	heard       time.Time
}

// tenure is a shard that this entry serves.
type tenure struct {
	epoch    shard.Epoch
	from     shard.Epoch // of the entry that handed it over
	giver    entryID
	sequence uint64 // of the last Handover message
	open     []task.JobID
	complete bool
}

// Ownership is one entry's view of the owners of all shards. It is not safe for concurrent use.
type Ownership struct {
	self        string
	incarnation string
	expected    []string
	random      *rand.Rand
	record      func(event.Event)

	started  time.Time
	lastTick time.Time
	settled  bool
	draining bool
	sequence uint64

	peers  map[string]*peer
	agents map[string]string // incarnation by name of each connected agent
	known  [shard.Count]claim
	stale  map[shard.ID]bool // claimed by a peer under an epoch lower than the known one
	owned  map[shard.ID]*tenure

	bid        *bid
	nextBid    time.Time
	recoveries []*recovery
	departures map[shard.ID]*departure
	reading    map[agentID]time.Time // last read of the records object of a drained agent
	store      storeState
}

// New returns the ownership of an entry that owns nothing. The incarnation is unique to the process. Expected
// names the peers from the settings; once all of them have pinged, the entry bids for free shards without
// waiting for SettleTime. The caller calls Tick at once and then every TickInterval, and sends Ping to all
// peers every PingInterval.
func New(self, incarnation string, expected []string, random *rand.Rand, record func(event.Event)) *Ownership {
	return &Ownership{
		self:        self,
		incarnation: incarnation,
		expected:    slices.DeleteFunc(slices.Clone(expected), func(name string) bool { return name == self }),
		random:      random,
		record:      record,
		peers:       map[string]*peer{},
		agents:      map[string]string{},
		owned:       map[shard.ID]*tenure{},
		stale:       map[shard.ID]bool{},
		departures:  map[shard.ID]*departure{},
		reading:     map[agentID]time.Time{},
	}
}

// Owner returns the entry that serves the shard. It reports false while no live owner is known; the caller
// may then wait for SilenceLimit or refuse the submission.
func (o *Ownership) Owner(id shard.ID) (entry string, epoch shard.Epoch, ok bool) {
	if t, owned := o.owned[id]; owned {
		return o.self, t.epoch, true
	}
	c := o.known[id]
	if !c.active || c.entry == o.self || !o.fresh(c) {
		return "", c.epoch, false
	}
	return c.entry, c.epoch, true
}

// MayUse reports whether this entry may start tasks of a shard that it owns or hands over on the agent: on
// any agent if recovery is complete, otherwise only on agents that it has fenced.
func (o *Ownership) MayUse(id shard.ID, agent, incarnation string) bool {
	a := agentID{agent, incarnation}
	t, owned := o.owned[id]
	if d := o.departures[id]; d != nil && !owned {
		return d.complete || d.fenced[a]
	}
	if !owned || t.complete {
		return owned
	}
	r, s := o.recovering(id)
	return r != nil && s.epoch == t.epoch && r.fenced[a]
}

// Drained reports whether the entry owns no shard and has finished all handovers.
func (o *Ownership) Drained() bool {
	return o.draining && len(o.owned) == 0 && len(o.departures) == 0 && len(o.recoveries) == 0
}

// Tick advances time: it finds free shards, repeats requests without an answer and completes recoveries
// whose retention window has elapsed.
func (o *Ownership) Tick(now time.Time) []Action {
	if o.started.IsZero() {
		o.started = now
	}
	o.resume(now)
	o.settle(now)
	o.missPeers(now)
	return o.advance(now, o.startBid(now))
}

// advance takes every step that the current state allows. Each event method ends with it.
func (o *Ownership) advance(now time.Time, actions []Action) []Action {
	actions = o.advanceHandovers(now, actions)
	actions = o.advanceStore(now, actions)
	actions = o.advanceFences(now, actions)
	return o.advanceRecoveries(now, actions)
}

// resume allows for a pause of this process, during which it could not hear its peers.
func (o *Ownership) resume(now time.Time) {
	gap := now.Sub(o.lastTick)
	if !o.lastTick.IsZero() && gap > PauseLimit {
		// A peer may have been heard between the end of the pause and this tick.
		extend := func(heard *time.Time) {
			*heard = heard.Add(min(gap, now.Sub(*heard)))
		}
		for _, p := range o.peers {
			extend(&p.heard)
		}
		for id := range o.known {
			extend(&o.known[id].heard)
		}
	}
	o.lastTick = now
}

// settle ends the wait for peers that start at the same time.
func (o *Ownership) settle(now time.Time) {
	if o.settled || o.started.IsZero() {
		return
	}
	met := len(o.expected) > 0
	for _, name := range o.expected {
		met = met && o.peers[name] != nil
	}
	o.settled = met || now.Sub(o.started) >= SettleTime
}

// fresh reports whether the claim was confirmed within SilenceLimit before the last tick.
func (o *Ownership) fresh(c claim) bool { return o.lastTick.Sub(c.heard) < SilenceLimit }

func (o *Ownership) live(name string, now time.Time) bool {
	p := o.peers[name]
	return p != nil && now.Sub(p.heard) < SilenceLimit
}

// runs reports whether the very process is live.
func (o *Ownership) runs(e entryID, now time.Time) bool {
	return o.live(e.name, now) && o.peers[e.name].incarnation == e.incarnation
}

// heirs returns the live entries that take shards, this one included unless it drains.
func (o *Ownership) heirs(now time.Time) []string {
	var names []string
	for name, p := range o.peers {
		if o.live(name, now) && !p.draining {
			names = append(names, name)
		}
	}
	if !o.draining {
		names = append(names, o.self)
	}
	return names
}

// Rendezvous returns the entry that is first for the key by rendezvous hashing, or "" if there is none.
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
	// FNV alone hardly mixes the last bytes into the high bits, which decide the order (finalizer of
	// SplitMix64).
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (o *Ownership) note(number event.Number, e event.Event) {
	e.Number = number
	e.Task = -1
	o.record(e)
}

// shardKey is the rendezvous key of a shard.
func shardKey(id shard.ID) string { return "shard/" + strconv.Itoa(int(id)) }

func sortedShards[V any](m map[shard.ID]V) []shard.ID { return sortedKeys(m) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
