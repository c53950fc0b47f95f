package dispatch

import "dogwoodglade/core/batch"

const (
	// maxRuns is the number of runs of this entry on a backend server at a time, whatever they demand: about as many as an
	// agent starts within the time-out of a call. Tasks that demand next to nothing would fit thousands of times, and the
	// agent would lose its session while it starts them.
	maxRuns = 256
	// maxLargeJobRuns is the part of maxRuns for tasks of large jobs, so that others start beside them.
	maxLargeJobRuns = 192
	// largeJob is the number of tasks above which a job is large.
	largeJob = 160
)

// places is how many places of a backend server are in use, by runs or held for moved tasks.
type places struct{ all, large int }

// free returns how many more tasks of a job the backend server may be sent, whatever they demand.
func (p places) free(large bool) int {
	free := maxRuns - p.all
	if large {
		free = min(free, maxLargeJobRuns-p.large)
	}
	return max(free, 0)
}

func (p *places) take(large bool, n int) {
	p.all += n
	if large {
		p.large += n
	}
}

// hasPlaceFor reports whether the backend server may be sent a task.
func (s *server) hasPlaceFor(t *task) bool {
	used := s.places
	if t.reservedOn == s {
		used.take(t.large, -1)
	}
	return used.free(t.large) > 0
}

func isLarge(j batch.Job) bool { return j.TaskCount() > largeJob }
