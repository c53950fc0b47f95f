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

// Name is the name of a table.
type Name string

// Names of the tables.
const (
	Routes Name = "Routes"
	Pools  Name = "Pools"
)

// Limits of the recent edits in a head. A reader that missed more edits than that reads all rows.
const (
	MaxRecentEdits = 32
	MaxRecentBytes = 256 << 10 // as JSON
)

// Of returns the version of one table.
func (v Versions) Of(n Name) uint64 {
	if n == Routes {
		return v.Routes
	}
	return v.Pools
}

// With returns a copy with the version of one table replaced.
func (v Versions) With(n Name, version uint64) Versions {
	if n == Routes {
		v.Routes = version
	} else {
		v.Pools = version
	}
	return v
}

// TablesNewerThan returns the names of the tables of which v has a higher version than other.
func (v Versions) TablesNewerThan(other Versions) []Name {
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
	ID      string // chosen by the operator's client, which sends the same ID when it retries the edit
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

// SameAs reports whether both edits are equal apart from their versions.
func (e Edit) SameAs(other Edit) bool {
	e.Version = other.Version
	return reflect.DeepEqual(e, other)
}

// EditError reports a malformed edit.
type EditError struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *EditError) Error() string { return fmt.Sprintf("validate edit %q: %s", e.ID, e.Reason) }

// Validate returns an error unless the edit has a valid ID, names an existing table, and carries either no row or
// a valid row that matches the named table and row.
func (e Edit) Validate() error {
	invalid := func(reason string) error { return errors.WithStack(&EditError{ID: e.ID, Reason: reason}) }
	switch {
	case !route.ValidName(e.ID):
		return invalid("the edit ID must be 1 to 64 letters, digits, dots, dashes or underscores")
	case e.Table != Routes && e.Table != Pools:
		return invalid(fmt.Sprintf("unknown table %q", e.Table))
	case e.Route != nil && (e.Table != Routes || e.Row != e.Route.Name),
		e.Pool != nil && (e.Table != Pools || e.Row != e.Pool.Name):
		return invalid("the row's content does not match the named table and row")
	case e.Route != nil:
		return e.Route.Validate()
	case e.Pool != nil:
		return e.Pool.Validate()
	}
	return nil
}

// Head is the version of a table with its latest edits, oldest first and with consecutive versions up to the
// version of the head.
type Head struct {
	Version uint64
	Recent  []Edit `json:",omitempty"`
}

// Append returns the head after an edit, to which it assigns the next version. It keeps only the latest edits that
// fit within MaxRecentEdits and MaxRecentBytes.
func (h Head) Append(e Edit) (Head, error) {
	e.Version = h.Version + 1
	recent := append(slices.Clone(h.Recent), e)
	first, size := len(recent), 0
	for first > 0 && len(recent)-first < MaxRecentEdits {
		data, err := json.Marshal(recent[first-1])
		if err != nil {
			return Head{}, errors.Wrap(err, "encode edit")
		}
		if size += len(data); size > MaxRecentBytes {
			break
		}
		first--
	}
	return Head{Version: e.Version, Recent: recent[first:]}, nil
}

// Since returns the edits after a version. It returns false if the head no longer has all of them.
func (h Head) Since(version uint64) ([]Edit, bool) { return editsSince(h.Recent, h.Version, version) }

// editsSince returns the edits after a version from a list with consecutive versions that ends at version latest.
// It returns false if the list does not reach back far enough.
func editsSince(edits []Edit, latest, version uint64) ([]Edit, bool) {
	if version >= latest {
		return nil, true
	}
	missing := latest - version
	if missing > uint64(len(edits)) {
		return nil, false
	}
	return edits[uint64(len(edits))-missing:], true
}

// Heads are the heads of both tables, read in one consistent read.
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

// Since returns the edits of both tables after the given versions. It returns false if the heads no longer have
// all of them.
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
