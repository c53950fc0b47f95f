package table

import "fmt"

// GapError reports edits that do not follow on the version they were applied to.
type GapError struct {
	Table Name
	Have  uint64 // version of the snapshot
	Got   uint64 // version of the edit
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("apply edits to %s: have version %d, got version %d next", e.Table, e.Have, e.Got)
}

// Adopt returns the current snapshot with each table replaced by the candidate's if the candidate has a
// higher version of it. It returns the tables that changed. Versions never go back, whatever a peer or a
// restored store offers.
func Adopt(current, candidate Snapshot) (Snapshot, []Name) {
	changed := candidate.Versions.Newer(current.Versions)
	for _, n := range changed {
		current.Versions = current.Versions.With(n, candidate.Versions.Of(n))
		if n == Routes {
			current.Routes = candidate.Routes
		} else {
			current.Pools = candidate.Pools
		}
	}
	return current, changed
}

// Apply returns the snapshot after the given edits. Edits that it already contains are skipped. It reports
// GapError if an edit is missing.
func (s Snapshot) Apply(edits ...Edit) (Snapshot, error) {
	before := s.Versions
	for _, e := range edits {
		have := s.Versions.Of(e.Table)
		if e.Version <= have {
			continue
		}
		if e.Version != have+1 {
			return s, &GapError{Table: e.Table, Have: have, Got: e.Version}
		}
		if have == before.Of(e.Table) {
			s = s.writable(e.Table)
		}
		s.set(e)
		s.Versions = s.Versions.With(e.Table, e.Version)
	}
	return s, nil
}

// writable returns a copy whose map of one table is not shared.
func (s Snapshot) writable(n Name) Snapshot {
	if n == Routes {
		s.Routes = clone(s.Routes)
	} else {
		s.Pools = clone(s.Pools)
	}
	return s
}

// set changes the maps of a writable snapshot.
func (s Snapshot) set(e Edit) {
	switch {
	case e.Route != nil:
		s.Routes[e.Row] = *e.Route
	case e.Pool != nil:
		s.Pools[e.Row] = *e.Pool
	case e.Table == Routes:
		delete(s.Routes, e.Row)
	default:
		delete(s.Pools, e.Row)
	}
}
