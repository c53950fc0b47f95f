package table

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// Name names one of the two tables.
type Name string

// Names of the tables.
const (
	Routes Name = "Routes"
	Pools  Name = "Pools"
)

// Bounds of the recent edits in a head. A reader that missed more edits reads all rows.
const (
	RecentEdits = 32
	RecentBytes = 256 << 10 // in JSON
)

// Of returns the version of one table.
func (v Versions) Of(n Name) uint64 {
	if n == Routes {
		return v.Routes
	}
	return v.Pools
}

// With returns a copy with another version of one table.
func (v Versions) With(n Name, version uint64) Versions {
	if n == Routes {
		v.Routes = version
	} else {
		v.Pools = version
	}
	return v
}

// Newer returns the tables of which v has a higher version than other.
func (v Versions) Newer(other Versions) []Name {
	var names []Name
	for _, n := range []Name{Routes, Pools} {
		if v.Of(n) > other.Of(n) {
			names = append(names, n)
		}
	}
	return names
}

// Edit sets or deletes one row. It deletes the row if it has neither a route nor a pool.
type Edit struct {
	ID      string // chosen by the operator's client; the same edit sent again has the same ID
	Table   Name
	Row     string
	Version uint64       `json:",omitempty"` // of the table after the edit; 0 until it is accepted
	Route   *route.Route `json:",omitempty"`
	Pool    *pool.Pool   `json:",omitempty"`
}

// SetRoute returns an edit that adds or replaces a route.
func SetRoute(id string, r route.Route) Edit {
	return Edit{ID: id, Table: Routes, Row: r.Name, Route: &r}
}

// SetPool returns an edit that adds or replaces a pool.
func SetPool(id string, p pool.Pool) Edit { return Edit{ID: id, Table: Pools, Row: p.Name, Pool: &p} }

// Delete returns an edit that deletes a row.
func Delete(id string, n Name, row string) Edit { return Edit{ID: id, Table: n, Row: row} }

// Deletes reports whether the edit deletes its row.
func (e Edit) Deletes() bool { return e.Route == nil && e.Pool == nil }

// SameAs reports whether both edits do the same, whatever their versions.
func (e Edit) SameAs(other Edit) bool {
	e.Version = other.Version
	return reflect.DeepEqual(e, other)
}

// EditError reports an edit that is malformed in itself.
type EditError struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *EditError) Error() string { return fmt.Sprintf("validate edit %q: %s", e.ID, e.Reason) }

// Validate reports whether the edit names a table and a row, and carries a valid row of that table or none.
func (e Edit) Validate() error {
	fault := func(reason string) error { return errors.WithStack(&EditError{ID: e.ID, Reason: reason}) }
	switch {
	case !route.ValidName(e.ID):
		return fault("the edit ID must be 1 to 64 letters, digits, dots, dashes or underscores")
	case e.Table != Routes && e.Table != Pools:
		return fault(fmt.Sprintf("there is no table %q", e.Table))
	case e.Route != nil && (e.Table != Routes || e.Row != e.Route.Name),
		e.Pool != nil && (e.Table != Pools || e.Row != e.Pool.Name):
		return fault("the row does not belong to the named table and row")
	case e.Route != nil:
		return e.Route.Validate()
	case e.Pool != nil:
		return e.Pool.Validate()
	}
	return nil
}

// Head is the version of a table with its latest edits, oldest first and without gaps.
type Head struct {
	Version uint64
	Recent  []Edit `json:",omitempty"`
}

// With returns the head after an edit, whose version is set to that of the head. Only the latest edits
// within RecentEdits and RecentBytes remain.
func (h Head) With(e Edit) (Head, error) {
	e.Version = h.Version + 1
	recent := append(slices.Clone(h.Recent), e)
	first, size := len(recent), 0
	for first > 0 && len(recent)-first < RecentEdits {
		data, err := json.Marshal(recent[first-1])
		if err != nil {
			return Head{}, errors.Wrap(err, "encode edit")
		}
		if size += len(data); size > RecentBytes {
			break
		}
		first--
	}
	return Head{Version: e.Version, Recent: recent[first:]}, nil
}

// Since returns the edits after a version. It reports false if some of them are no longer in the head.
func (h Head) Since(version uint64) ([]Edit, bool) { return since(h.Recent, h.Version, version) }

// since returns the edits after a version from a list without gaps that ends at version latest.
func since(edits []Edit, latest, version uint64) ([]Edit, bool) {
	if version >= latest {
		return nil, true
	}
	missing := latest - version
	if missing > uint64(len(edits)) {
		return nil, false
	}
	return edits[uint64(len(edits))-missing:], true
}

// Heads are the heads of both tables, read at one moment.
type Heads struct {
	Routes Head
	Pools  Head
}

// Of returns the head of one table.
func (h Heads) Of(n Name) Head {
	if n == Routes {
		return h.Routes
	}
	return h.Pools
}

// Versions returns the versions of both heads.
func (h Heads) Versions() Versions { return Versions{Routes: h.Routes.Version, Pools: h.Pools.Version} }

// Since returns the edits of both tables after the given versions. It reports false if some of them are no
// longer in the heads.
func (h Heads) Since(v Versions) ([]Edit, bool) {
	routes, ok := h.Routes.Since(v.Routes)
	if !ok {
		return nil, false
	}
	pools, ok := h.Pools.Since(v.Pools)
	if !ok {
		return nil, false
	}
	return slices.Concat(routes, pools), true
}

// Find returns the recent edit with the given ID.
func (h Heads) Find(id string) (Edit, bool) {
	for _, head := range []Head{h.Routes, h.Pools} {
		if i := slices.IndexFunc(head.Recent, func(e Edit) bool { return e.ID == id }); i >= 0 {
			return head.Recent[i], true
		}
	}
	return Edit{}, false
}
