package executor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
)

// Announcement announces a backend server. The backend server repeats it as its heartbeat.
type Announcement struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string // set by the agent
	Slots      int
	// Connections limits the concurrent requests to the backend server; 0 means DefaultConnections.
	Connections int
	// Incarnation identifies one run of the backend server. A later run has a greater incarnation. Incarnations
	// are compared by length, then as strings, so decimal numbers and timestamps sort correctly.
	Incarnation string
}

// AnnouncementError reports an announcement with an invalid field.
type AnnouncementError struct {
	BackendServer string
	Field         string
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announce backend server %q: invalid %s", e.BackendServer, e.Field)
}

// StaleIncarnationError reports an announcement of an earlier run of a backend server.
type StaleIncarnationError struct {
	BackendServer string
	Incarnation   string
	Current       string
}

// Error implements error.
func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("announce backend server %q: incarnation %q is older than %q",
		e.BackendServer, e.Incarnation, e.Current)
}

// backendServer is a backend server that announced itself to this agent.
type backendServer struct {
	Announcement
	lastHeartbeat time.Time
	left          bool
	timedOut      bool
	running       map[*startRecord]struct{}
}

func (s *backendServer) capacity() int { return min(s.Slots, s.Connections) }

// isLeaving reports whether the backend server must get no new tasks, because it has left or its heartbeats have
// stopped.
func (s *backendServer) isLeaving(now time.Time) bool {
	return s.left || s.timedOut || now.Sub(s.lastHeartbeat) >= HeartbeatTimeout
}

// Announce handles an announcement or a heartbeat of a backend server. If the incarnation is new, the tasks that
// ran on the previous one are lost.
func (e *Executor) Announce(now time.Time, a Announcement) ([]Action, error) {
	if a.Connections == 0 {
		a.Connections = DefaultConnections
	}
	if err := a.validate(); err != nil {
		return nil, err
	}
	old, ok := e.servers[a.ID]
	if ok && compareIncarnations(a.Incarnation, old.Incarnation) < 0 {
		return nil, errors.WithStack(&StaleIncarnationError{
			BackendServer: a.ID, Incarnation: a.Incarnation, Current: old.Incarnation,
		})
	}
	if ok && a.Incarnation == old.Incarnation {
		old.Announcement, old.lastHeartbeat, old.timedOut = a, now, false
		return nil, nil
	}
	var actions []Action
	if ok {
		for _, r := range sortedStarts(old.running) {
			actions = append(actions, e.markLost(now, r)...)
		}
	}
	e.servers[a.ID] = &backendServer{Announcement: a, lastHeartbeat: now, running: map[*startRecord]struct{}{}}
	e.recordEvent(event.Event{Number: event.BackendAnnounced, Task: -1, Peer: a.ID, State: a.Incarnation, Count: a.Slots})
	return append(actions, SendHeartbeat{}), nil
}

func (a Announcement) validate() error {
	for _, field := range []struct {
		name string
		ok   bool
	}{
		{"ID", a.ID != ""},
		{"Pool", a.Pool != ""},
		{"Address", a.Address != ""},
		{"Incarnation", a.Incarnation != ""},
		{"Slots", a.Slots > 0},
		{"Connections", a.Connections > 0},
	} {
		if !field.ok {
			return errors.WithStack(&AnnouncementError{BackendServer: a.ID, Field: field.name})
		}
	}
	return nil
}

func compareIncarnations(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// Leave stops new tasks for an incarnation of a backend server, and sends a heartbeat that says so. A late
// heartbeat from the backend server does not undo it.
func (e *Executor) Leave(_ time.Time, backendServer, incarnation string) []Action {
	s, ok := e.servers[backendServer]
	if !ok || s.left || s.Incarnation != incarnation {
		return nil
	}
	s.left = true
	e.recordEvent(event.Event{Number: event.BackendLeaving, Task: -1, Peer: backendServer, Count: len(s.running)})
	return []Action{SendHeartbeat{}}
}

// Heartbeat returns the backend servers with their grants in use, sorted by ID.
func (e *Executor) Heartbeat(now time.Time) []allocator.BackendServer {
	list := make([]allocator.BackendServer, 0, len(e.servers))
	for _, id := range slices.Sorted(maps.Keys(e.servers)) {
		s := e.servers[id]
		b := allocator.BackendServer{
			ID: id, Agent: e.agent, Incarnation: s.Incarnation, Pool: s.Pool, DataCentre: s.DataCentre,
			Slots: s.capacity(), Leaving: e.draining || !e.registered || s.isLeaving(now),
		}
		for r := range s.running {
			b.Grants = append(b.Grants, r.grant)
		}
		slices.Sort(b.Grants)
		list = append(list, b)
	}
	return list
}

// expireServers marks backend servers whose heartbeats have stopped, and reports whether one was marked that had
// not left. After the retention window it removes them, unless their tasks still run.
func (e *Executor) expireServers(now time.Time) bool {
	changed := false
	for id, s := range e.servers {
		sinceHeartbeat := now.Sub(s.lastHeartbeat)
		if sinceHeartbeat >= HeartbeatTimeout && !s.timedOut {
			s.timedOut = true
			// A backend server that has left is expected to stop its heartbeats.
			if !s.left {
				changed = true
				e.recordEvent(event.Event{Number: event.BackendLost, Task: -1, Peer: id, Count: len(s.running)})
			}
		}
		if sinceHeartbeat >= RetentionWindow && len(s.running) == 0 {
			delete(e.servers, id)
		}
	}
	return changed
}

func sortedStarts(set map[*startRecord]struct{}) []*startRecord {
	return slices.SortedFunc(maps.Keys(set), func(a, b *startRecord) int {
		return compareRecords(a.Record, b.Record)
	})
}
