package allocator

import (
	"maps"
	"time"
)

// Stats holds the current state of an allocator and its counters since it started.
type Stats struct {
	QueuedTasks    int
	QueuedRequests int
	BackendServers int // present and not leaving
	Ejected        int // number of BackendServers that are ejected or probing
	Slots          int // in use or free, on backend servers that may get grants
	FreeSlots      int
	Grants         int // in use, on any backend server
	LongGrants     int // of long work, on servers whose slots count in Slots
	Overloaded     bool
	Delay          time.Duration // time needed to serve the current queue

	Granted  uint64
	Released uint64
	Returned uint64
	Refused  map[Reason]uint64 // number of tasks by reason
}

// Stats returns a snapshot of the state and the counters.
func (a *Allocator) Stats() Stats {
	return Stats{
		QueuedTasks:    a.queuedTasks,
		QueuedRequests: a.queuedRequests,
		BackendServers: a.members,
		Ejected:        a.ejectedCount(),
		Slots:          a.capacity,
		FreeSlots:      a.free,
		Grants:         len(a.grants),
		LongGrants:     a.longInUse,
		Overloaded:     a.overload.active,
		Delay:          a.delay(),
		Granted:        a.granted,
		Released:       a.released,
		Returned:       a.returned,
		Refused:        maps.Clone(a.refused),
	}
}
