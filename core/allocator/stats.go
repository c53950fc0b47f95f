package allocator

import (
	"maps"
	"time"
)

// Stats describes the present state of an allocator, and what it did since it started.
type Stats struct {
	QueuedTasks    int
	QueuedAsks     int
	BackendServers int // that are present and not leaving
	Ejected        int // of them, those ejected or on probation
	Slots          int // that may be granted to, used or not
	FreeSlots      int
	Grants         int // in use, on any backend server
	LongGrants     int // of long work, on the servers that count as Slots
	Overloaded     bool
	Delay          time.Duration // until the present queue is served

	Granted  uint64
	Released uint64
	Returned uint64
	Refused  map[Reason]uint64 // tasks
}

// Stats returns the present state.
func (a *Allocator) Stats() Stats {
	return Stats{
		QueuedTasks:    a.queued,
		QueuedAsks:     a.waiting,
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
