package table

import "fmt"

// VersionGapError reports that an edit's version is not one above the version of the snapshot it was applied to,
// so at least one edit in between is missing.
type VersionGapError struct {
	Table   Name
	Current uint64 // version of the snapshot
	Next    uint64 // version of the edit
}

// Error implements error.
func (e *VersionGapError) Error() string {
	return fmt.Sprintf("apply edits to %s: the snapshot has version %d, but the next edit has version %d", e.Table,
		e.Current, e.Next)
}

// Merge returns the current snapshot with each table replaced by the candidate's if the candidate has a
// higher version of it, and the names of the replaced tables. Because each table is compared on its own, a
// version never decreases, even if a peer or a store restored from a backup offers an older one.
func Merge(current, candidate Snapshot) (Snapshot, []Name) {
	changed := candidate.Versions.TablesNewerThan(current.Versions)
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

// Apply returns the snapshot after the given edits, skipping those that it already contains. It returns a
// VersionGapError if an edit is missing.
func (s Snapshot) Apply(edits ...Edit) (Snapshot, error) {
	before := s.Versions
	for _, e := range edits {
		have := s.Versions.Of(e.Table)
		if e.Version <= have {
			continue
		}
		if e.Version != have+1 {
			return s, &VersionGapError{Table: e.Table, Current: have, Next: e.Version}
		}
		if have == before.Of(e.Table) {
			s = s.cloneTable(e.Table)
		}
		s.applyInPlace(e)
		s.Versions = s.Versions.With(e.Table, e.Version)
	}
	return s, nil
}

// cloneTable returns a copy of the snapshot with its own map for the named table, so that this map may be changed.
func (s Snapshot) cloneTable(n Name) Snapshot {
	if n == Routes {
		s.Routes = cloneMap(s.Routes)
	} else {
		s.Pools = cloneMap(s.Pools)
	}
	return s
}

// applyInPlace applies the edit to the snapshot's own map, which cloneTable must have copied.
func (s Snapshot) applyInPlace(e Edit) {
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
