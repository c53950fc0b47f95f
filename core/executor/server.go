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

// Announcement is the announcement of a backend server, repeated as its heartbeat.
type Announcement struct {
	ID         string
	Pool       string
	Address    string
	DataCentre string // set by the agent
	Slots      int
	// Connections is the most requests that the backend server takes at once; 0 takes the default.
	Connections int
	// Incarnation identifies one run of the backend server. A later run has a greater one: incarnations
	// order by length, then by text, which orders decimal numbers and time stamps.
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

// server is a backend server of this agent.
type server struct {
	Announcement
	lastHeard time.Time
	left      bool
	silent    bool
	running   map[*start]struct{}
}

func (s *server) capacity() int { return min(s.Slots, s.Connections) }

func (s *server) leaving(now time.Time) bool {
	return s.left || s.silent || now.Sub(s.lastHeard) >= Silence
}

// Announce takes an announcement or a heartbeat of a backend server. A new incarnation loses the tasks that
// ran on the one before.
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
		old.Announcement, old.lastHeard, old.silent = a, now, false
		return nil, nil
	}
	var actions []Action
	if ok {
		for _, s := range sortedStarts(old.running) {
			actions = append(actions, e.lose(now, s)...)
		}
	}
	e.servers[a.ID] = &server{Announcement: a, lastHeard: now, running: map[*start]struct{}{}}
	e.record(event.Event{Number: event.BackendAnnounced, Task: -1, Peer: a.ID, State: a.Incarnation, Count: a.Slots})
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

// Leave stops new work for a run of a backend server, and announces that at once. A
// heartbeat that arrives late does not undo it.
func (e *Executor) Leave(_ time.Time, backendServer, incarnation string) []Action {
	s, ok := e.servers[backendServer]
	if !ok || s.left || s.Incarnation != incarnation {
		return nil
	}
	s.left = true
	e.record(event.Event{Number: event.BackendLeaving, Task: -1, Peer: backendServer, Count: len(s.running)})
	return []Action{SendHeartbeat{}}
}

// Heartbeat returns the backend servers with their grants in use, by ID.
func (e *Executor) Heartbeat(now time.Time) []allocator.BackendServer {
	list := make([]allocator.BackendServer, 0, len(e.servers))
	for _, id := range slices.Sorted(maps.Keys(e.servers)) {
		s := e.servers[id]
		b := allocator.BackendServer{
			ID: id, Agent: e.agent, Incarnation: s.Incarnation, Pool: s.Pool, DataCentre: s.DataCentre,
			Slots: s.capacity(), Leaving: e.draining || !e.registered || s.leaving(now),
		}
		for r := range s.running {
			b.Grants = append(b.Grants, r.grant)
		}
		slices.Sort(b.Grants)
		list = append(list, b)
	}
	return list
}

// expireServers reports whether a backend server became silent. A silent one is forgotten after the
// retention window, unless its tasks still run.
func (e *Executor) expireServers(now time.Time) bool {
	changed := false
	for id, s := range e.servers {
		silence := now.Sub(s.lastHeard)
		if silence >= Silence && !s.silent {
			s.silent = true
			// A backend server that said goodbye is silent as planned.
			if !s.left {
				changed = true
				e.record(event.Event{Number: event.BackendLost, Task: -1, Peer: id, Count: len(s.running)})
			}
		}
		if silence >= RetentionWindow && len(s.running) == 0 {
			delete(e.servers, id)
		}
	}
	return changed
}

func sortedStarts(set map[*start]struct{}) []*start {
	return slices.SortedFunc(maps.Keys(set), func(a, b *start) int {
		return compareRecords(a.Record, b.Record)
	})
}
