package table

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// logEdits is the number of edits of each table that a replica keeps for its peers.
const logEdits = 1024

// Notification tells a peer which versions a process has, and which it had before its latest adoption. A
// peer at the previous versions misses only what the process adopted last; any other peer that is behind
// missed a notification.
type Notification struct {
	Versions Versions
	Previous Versions
}

// Pull says what to pull from whom.
type Pull struct {
	Peer  string
	Since Versions
	Gap   bool // a notification was missed, so the answer may have to contain all rows
}

// Answer is a peer's answer to a pull: the edits since the requested versions, or all rows.
type Answer struct {
	Versions Versions
	Edits    []Edit        `json:",omitempty"`
	All      bool          `json:",omitempty"`
	Routes   []route.Route `json:",omitempty"`
	Pools    []pool.Pool   `json:",omitempty"`
}

// Replica is the copy of both tables in one process. It decides what to adopt and what to pull. It is not
// safe for concurrent use.
type Replica struct {
	current  Snapshot
	previous Versions
	log      map[Name][]Edit // latest edits, without gaps up to the current version
	notices  map[string]Notification
}

// NewReplica returns a replica at version 0 of both tables.
func NewReplica() *Replica {
	return &Replica{
		current: New(Versions{}, nil, nil),
		log:     map[Name][]Edit{},
		notices: map[string]Notification{},
	}
}

// Snapshot returns the current snapshot.
func (r *Replica) Snapshot() Snapshot { return r.current }

// Notification returns what to tell peers.
func (r *Replica) Notification() Notification {
	return Notification{Versions: r.current.Versions, Previous: r.previous}
}

// Adopt takes over each table of which the candidate has a higher version, and returns their names.
func (r *Replica) Adopt(candidate Snapshot) []Name {
	before := r.current.Versions
	adopted, changed := Adopt(r.current, candidate)
	r.current = adopted
	for _, n := range changed {
		r.log[n] = nil
	}
	if len(changed) > 0 {
		r.previous = before
	}
	return changed
}

// Apply takes over edits and returns the names of the tables that changed. It reports GapError, and
// changes nothing, if an edit is missing.
func (r *Replica) Apply(edits []Edit) ([]Name, error) {
	before := r.current.Versions
	after, err := r.current.Apply(edits...)
	if err != nil {
		return nil, err
	}
	for _, e := range edits {
		if e.Version > before.Of(e.Table) {
			r.log[e.Table] = appendBounded(r.log[e.Table], e)
		}
	}
	r.current = after
	changed := after.Versions.Newer(before)
	if len(changed) > 0 {
		r.previous = before
	}
	return changed, nil
}

func appendBounded(log []Edit, e Edit) []Edit {
	log = append(log, e)
	if len(log) >= 2*logEdits {
		log = slices.Clone(log[len(log)-logEdits:])
	}
	return log
}

// Polled takes over the recent edits of the heads. It reports a gap if all rows must be read.
func (r *Replica) Polled(h Heads) (changed []Name, gap bool) {
	edits, ok := h.Since(r.current.Versions)
	if !ok {
		return nil, true
	}
	changed, err := r.Apply(edits)
	return changed, err != nil
}

// Answer returns what a peer at the given versions misses. It is empty if the peer is not behind, and has
// all rows if the edits are no longer known or would not fit into a message.
func (r *Replica) Answer(peer Versions) Answer {
	answer := Answer{Versions: r.current.Versions}
	for _, n := range r.current.Versions.Newer(peer) {
		edits, ok := since(r.log[n], r.current.Versions.Of(n), peer.Of(n))
		answer.Edits = append(answer.Edits, edits...)
		if !ok || editsSize(answer.Edits) > LimitBytes {
			return Answer{
				Versions: r.current.Versions,
				All:      true,
				Routes:   sortedRows(r.current.Routes),
				Pools:    sortedRows(r.current.Pools),
			}
		}
	}
	return answer
}

func sortedRows[V any](rows map[string]V) []V {
	sorted := make([]V, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[name])
	}
	return sorted
}

// Pulled takes over a peer's answer and returns the names of the tables that changed.
func (r *Replica) Pulled(a Answer) ([]Name, error) {
	if a.All {
		return r.Adopt(New(a.Versions, a.Routes, a.Pools)), nil
	}
	return r.Apply(a.Edits)
}

// Notified remembers what a peer has.
func (r *Replica) Notified(peer string, n Notification) { r.notices[peer] = n }

// Forget drops what is known of a peer that was lost or that did not answer a pull. Its next notification
// makes it a candidate again.
func (r *Replica) Forget(peer string) { delete(r.notices, peer) }

// ChoosePull returns the pull from the peer with the highest versions, if any peer is ahead. Edits are
// accepted one at a time, so the versions of two processes at different moments never cross.
func (r *Replica) ChoosePull() (Pull, bool) {
	best := ""
	for _, peer := range slices.Sorted(maps.Keys(r.notices)) {
		v := r.notices[peer].Versions
		if len(v.Newer(r.current.Versions)) > 0 && (best == "" || compare(v, r.notices[best].Versions) > 0) {
			best = peer
		}
	}
	if best == "" {
		return Pull{}, false
	}
	previous := r.notices[best].Previous
	gap := len(previous.Newer(r.current.Versions)) > 0
	return Pull{Peer: best, Since: r.current.Versions, Gap: gap}, true
}

func compare(a, b Versions) int {
	return cmp.Compare(a.Routes+a.Pools, b.Routes+b.Pools)
}
