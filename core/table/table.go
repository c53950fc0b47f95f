// Package table holds the two tables that operators edit, routes and pools, as one versioned snapshot.
//
// Entries use it to merge newer versions, to look up rows and to validate operators' edits. A process that can reach
// neither the platform nor a peer keeps the snapshot it has.
package table

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// Versions are the versions of the two tables. Each accepted edit increments the version of its table.
type Versions struct {
	Routes uint64
	Pools  uint64
}

// Snapshot is a consistent state of both tables. It is immutable: the With methods return changed copies, and the
// maps of a snapshot are never changed.
type Snapshot struct {
	Versions Versions
	Routes   map[string]route.Route
	Pools    map[string]pool.Pool
}

// NewSnapshot returns a snapshot of the given rows at the given versions.
func NewSnapshot(versions Versions, routes []route.Route, pools []pool.Pool) Snapshot {
	s := Snapshot{Versions: versions, Routes: map[string]route.Route{}, Pools: map[string]pool.Pool{}}
	for _, r := range routes {
		s.Routes[r.Name] = r
	}
	for _, p := range pools {
		s.Pools[p.Name] = p
	}
	return s
}

// WithRoute returns a copy with the route added or replaced and the version of the routes incremented.
func (s Snapshot) WithRoute(r route.Route) Snapshot {
	s.Routes = cloneMap(s.Routes)
	s.Routes[r.Name] = r
	s.Versions.Routes++
	return s
}

// WithoutRoute returns a copy without the route and with the version of the routes incremented.
func (s Snapshot) WithoutRoute(name string) Snapshot {
	s.Routes = cloneMap(s.Routes)
	delete(s.Routes, name)
	s.Versions.Routes++
	return s
}

// WithPool returns a copy with the pool added or replaced and the version of the pools incremented.
func (s Snapshot) WithPool(p pool.Pool) Snapshot {
	s.Pools = cloneMap(s.Pools)
	s.Pools[p.Name] = p
	s.Versions.Pools++
	return s
}

// WithoutPool returns a copy without the pool and with the version of the pools incremented.
func (s Snapshot) WithoutPool(name string) Snapshot {
	s.Pools = cloneMap(s.Pools)
	delete(s.Pools, name)
	s.Versions.Pools++
	return s
}

// cloneMap returns a copy that is never nil.
func cloneMap[V any](m map[string]V) map[string]V {
	copied := maps.Clone(m)
	if copied == nil {
		copied = map[string]V{}
	}
	return copied
}

// MissingPoolError reports a route whose pool does not exist.
type MissingPoolError struct {
	Route string
	Pool  string
}

// Error implements error.
func (e *MissingPoolError) Error() string {
	return fmt.Sprintf("validate route %q: pool %q does not exist", e.Route, e.Pool)
}

// Validate validates all rows and checks that the pool of every route exists. It joins all errors into one.
func (s Snapshot) Validate() error {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		if err := s.Pools[name].Validate(); err != nil {
			errs = append(errs, err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		if err := r.Validate(); err != nil {
			errs = append(errs, err)
		}
		if _, ok := s.Pools[r.Pool]; !ok {
			errs = append(errs, &MissingPoolError{Route: r.Name, Pool: r.Pool})
		}
	}
	return errors.Join(errs...)
}
