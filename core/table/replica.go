package table

import (
	"cmp"
	"maps"
	"slices"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// minLogEdits is the minimum number of latest edits of each table that a replica keeps to answer pulls of its peers.
// The log is truncated to this number when it reaches twice as many.
const minLogEdits = 1024

// Notification tells a peer which versions a process has, and which it had before its latest update. A peer that
// is at the previous versions lacks only the latest update; any other peer that is behind also missed an earlier
// notification.
type Notification struct {
	Versions Versions
	Previous Versions
}

// Pull is a request to a peer for newer versions of the tables.
type Pull struct {
	Peer  string
	Since Versions
	Gap   bool // an earlier notification was missed, so the response may have to contain all rows
}

// PullResponse is the response to a pull: the edits since the requested versions, or all rows.
type PullResponse struct {
	Versions Versions
	Edits    []Edit        `json:",omitempty"`
	All      bool          `json:",omitempty"`
	Routes   []route.Route `json:",omitempty"`
	Pools    []pool.Pool   `json:",omitempty"`
}

// Replica is the copy of both tables in one process. It merges newer versions and chooses the peer to pull from. It
// is not safe for concurrent use.
type Replica struct {
	current       Snapshot
	previous      Versions
	editLog       map[Name][]Edit // latest edits, without gaps up to the current version
	notifications map[string]Notification
}

// NewReplica returns a replica at version 0 of both tables.
func NewReplica() *Replica {
	return &Replica{
		current:       NewSnapshot(Versions{}, nil, nil),
		editLog:       map[Name][]Edit{},
		notifications: map[string]Notification{},
	}
}

// Snapshot returns the current snapshot.
func (r *Replica) Snapshot() Snapshot { return r.current }

// Notification returns the notification to send to peers.
func (r *Replica) Notification() Notification {
	return Notification{Versions: r.current.Versions, Previous: r.previous}
}

// Merge replaces each table of which the candidate has a higher version, and returns the names of these tables.
func (r *Replica) Merge(candidate Snapshot) []Name {
	before := r.current.Versions
	merged, changed := Merge(r.current, candidate)
	r.current = merged
	for _, n := range changed {
		r.editLog[n] = nil
	}
	if len(changed) > 0 {
		r.previous = before
	}
	return changed
}

// Apply applies edits and returns the names of the tables that changed. If an edit is missing, it changes nothing
// and returns a VersionGapError.
func (r *Replica) Apply(edits []Edit) ([]Name, error) {
	before := r.current.Versions
	after, err := r.current.Apply(edits...)
	if err != nil {
		return nil, err
	}
	for _, e := range edits {
		if e.Version > before.Of(e.Table) {
			r.editLog[e.Table] = appendBounded(r.editLog[e.Table], e)
		}
	}
	r.current = after
	changed := after.Versions.TablesNewerThan(before)
	if len(changed) > 0 {
		r.previous = before
	}
	return changed, nil
}

func appendBounded(log []Edit, e Edit) []Edit {
	log = append(log, e)
	if len(log) >= 2*minLogEdits {
		log = slices.Clone(log[len(log)-minLogEdits:])
	}
	return log
}

// ApplyHeads applies the recent edits of the heads. It reports a gap if edits are missing, so that all rows must be
// read.
func (r *Replica) ApplyHeads(h Heads) (changed []Name, gap bool) {
	edits, ok := h.Since(r.current.Versions)
	if !ok {
		return nil, true
	}
	changed, err := r.Apply(edits)
	return changed, err != nil
}

// PullResponse returns what a peer at the given versions lacks: nothing if it is not behind, and all rows if the log no
// longer has all edits or if they would not fit into a message.
func (r *Replica) PullResponse(peer Versions) PullResponse {
	response := PullResponse{Versions: r.current.Versions}
	for _, n := range r.current.Versions.TablesNewerThan(peer) {
		edits, ok := editsSince(r.editLog[n], r.current.Versions.Of(n), peer.Of(n))
		response.Edits = append(response.Edits, edits...)
		if !ok || editsSize(response.Edits) > MaxTableBytes {
			return PullResponse{
				Versions: r.current.Versions,
				All:      true,
				Routes:   sortedRows(r.current.Routes),
				Pools:    sortedRows(r.current.Pools),
			}
		}
	}
	return response
}

func sortedRows[V any](rows map[string]V) []V {
	sorted := make([]V, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[name])
	}
	return sorted
}

// ApplyPull applies the response to a pull and returns the names of the tables that changed.
func (r *Replica) ApplyPull(p PullResponse) ([]Name, error) {
	if p.All {
		return r.Merge(NewSnapshot(p.Versions, p.Routes, p.Pools)), nil
	}
	return r.Apply(p.Edits)
}

// RecordNotification stores the latest notification of a peer, for ChoosePull.
func (r *Replica) RecordNotification(peer string, n Notification) { r.notifications[peer] = n }

// ForgetPeer deletes the notification of a peer that disconnected, did not answer a pull or had nothing new. Its next
// notification makes it a candidate for pulls again.
func (r *Replica) ForgetPeer(peer string) { delete(r.notifications, peer) }

// ChoosePull returns a pull from the peer with the highest versions, if any peer is ahead. Edits are accepted one
// at a time, so of any two processes one is at least as new in both tables, and the sum of their versions orders
// them.
func (r *Replica) ChoosePull() (Pull, bool) {
	best := ""
	for _, peer := range slices.Sorted(maps.Keys(r.notifications)) {
		v := r.notifications[peer].Versions
		if len(v.TablesNewerThan(r.current.Versions)) > 0 &&
			(best == "" || compareVersions(v, r.notifications[best].Versions) > 0) {
			best = peer
		}
	}
	if best == "" {
		return Pull{}, false
	}
	previous := r.notifications[best].Previous
	gap := len(previous.TablesNewerThan(r.current.Versions)) > 0
	return Pull{Peer: best, Since: r.current.Versions, Gap: gap}, true
}

// compareVersions orders versions that were in effect at different times; see ChoosePull.
func compareVersions(a, b Versions) int {
	return cmp.Compare(a.Routes+a.Pools, b.Routes+b.Pools)
}
