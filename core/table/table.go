// Package table owns the two operator tables, routes and pools, as one versioned snapshot.
//
// Entries call it to adopt newer versions and to look rows up; operators' edits are validated here. A
// process that cannot reach the platform or a peer keeps the snapshot it has.
package table

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// Versions are the versions of the two tables. Each grows by one with every accepted edit.
type Versions struct {
	Routes uint64
	Pools  uint64
}

// Snapshot is a consistent state of both tables. It is a value: With methods return changed copies, and
// the maps of a snapshot are never changed.
type Snapshot struct {
	Versions Versions
	Routes   map[string]route.Route
	Pools    map[string]pool.Pool
}

// New returns a snapshot of the given rows at the given versions.
func New(versions Versions, routes []route.Route, pools []pool.Pool) Snapshot {
	s := Snapshot{Versions: versions, Routes: map[string]route.Route{}, Pools: map[string]pool.Pool{}}
	for _, r := range routes {
		s.Routes[r.Name] = r
	}
	for _, p := range pools {
		s.Pools[p.Name] = p
	}
	return s
}

// WithRoute returns a copy with the route added or replaced and the version of the routes raised.
func (s Snapshot) WithRoute(r route.Route) Snapshot {
	s.Routes = clone(s.Routes)
	s.Routes[r.Name] = r
	s.Versions.Routes++
	return s
}

// WithoutRoute returns a copy without the route and with the version of the routes raised.
func (s Snapshot) WithoutRoute(name string) Snapshot {
	s.Routes = clone(s.Routes)
	delete(s.Routes, name)
	s.Versions.Routes++
	return s
}

// WithPool returns a copy with the pool added or replaced and the version of the pools raised.
func (s Snapshot) WithPool(p pool.Pool) Snapshot {
	s.Pools = clone(s.Pools)
	s.Pools[p.Name] = p
	s.Versions.Pools++
	return s
}

// WithoutPool returns a copy without the pool and with the version of the pools raised.
func (s Snapshot) WithoutPool(name string) Snapshot {
	s.Pools = clone(s.Pools)
	delete(s.Pools, name)
	s.Versions.Pools++
	return s
}

func clone[V any](m map[string]V) map[string]V {
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

// Validate validates all rows and the join of routes to pools. It reports all faults in one error.
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
