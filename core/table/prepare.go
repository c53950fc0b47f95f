package table

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ConflictError reports an edit of a table that was changed by another edit.
type ConflictError struct {
	Table    Name
	Row      string
	Expected uint64 // version that the edit was based on
	Current  uint64 // version of the table
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("edit %s %q: expected version %d, but the current version is %d; read the row again and "+
		"repeat the edit", e.Table, e.Row, e.Expected, e.Current)
}

// PoolInUseError reports the removal of a pool that routes still use.
type PoolInUseError struct {
	Pool   string
	Routes []string
}

// Error implements error.
func (e *PoolInUseError) Error() string {
	return fmt.Sprintf("delete pool %q: it is used by the routes %s; change or delete them first", e.Pool,
		strings.Join(e.Routes, ", "))
}

// RowNotFoundError reports a row that does not exist.
type RowNotFoundError struct {
	Table Name
	Row   string
}

// Error implements error.
func (e *RowNotFoundError) Error() string {
	return fmt.Sprintf("%s: there is no row %q", e.Table, e.Row)
}

// EditIDReusedError reports an edit ID that belongs to another edit.
type EditIDReusedError struct{ ID string }

// Error implements error.
func (e *EditIDReusedError) Error() string {
	return fmt.Sprintf("edit ID %q belongs to another edit; send this edit with a new ID", e.ID)
}

// UncertainError reports an edit whose answer was lost and which can no longer be found among the recent
// edits, so that it is unknown whether it was accepted.
type UncertainError struct {
	ID   string
	Base uint64 // version of the table that the edit was based on
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("edit %q: the platform's answer was lost; read the row to see whether the edit was accepted, "+
		"or send it again with the same ID and expected version %d", e.ID, e.Base)
}

// FullError reports a table that would be over LimitBytes.
type FullError struct {
	Table Name
	Bytes int // after the edit
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s: the table would take %d bytes, over the limit of %d; delete rows first", e.Table, e.Bytes,
		LimitBytes)
}

// Draft is an edit that is not accepted yet.
type Draft struct {
	Edit     Edit
	Expected uint64 // version of the table that the operator requires; 0 for any
	Prepared bool   // whether the edit was prepared before
	Base     uint64 // version of the table when the edit was first prepared
	Sent     bool   // a transaction with this edit was sent and its answer was lost
}

// Decision is what Prepare decides: Commit or Accepted.
type Decision interface{ isDecision() }

// Commit asks for a transaction that writes the row and the head and checks the versions of both heads.
type Commit struct {
	Edit Edit
	Head Head // of the edit's table, after the edit
}

// Accepted says that the edit was accepted before.
type Accepted struct{ Edit Edit }

func (Commit) isDecision()   {}
func (Accepted) isDecision() {}

// Prepare decides what to do with a draft, given both heads and a snapshot of the same versions. An edit
// that was accepted before is recognised by its ID. An edit that expects no version is still refused if
// its row was edited after it was first prepared.
func Prepare(s Snapshot, heads Heads, d Draft) (Decision, error) {
	e := d.Edit
	if err := e.Validate(); err != nil {
		return nil, err
	}
	if own, ok := heads.Find(e.ID); ok {
		if !own.SameAs(e) {
			return nil, errors.WithStack(&EditIDReusedError{ID: e.ID})
		}
		return Accepted{own}, nil
	}
	head := heads.Of(e.Table)
	if err := d.checkVersion(head); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := s.allows(e); err != nil {
		return nil, errors.WithStack(err)
	}
	after, err := head.With(e)
	if err != nil {
		return nil, err
	}
	e.Version = after.Version
	return Commit{Edit: e, Head: after}, nil
}

func (d Draft) checkVersion(head Head) error {
	conflict := &ConflictError{Table: d.Edit.Table, Row: d.Edit.Row, Expected: d.Base, Current: head.Version}
	var edits []Edit
	known := true
	if d.Prepared {
		edits, known = head.Since(d.Base)
	}
	switch {
	case d.Sent && !known:
		return &UncertainError{ID: d.Edit.ID, Base: d.Base}
	case d.Expected > 0 && d.Expected != head.Version:
		conflict.Expected = d.Expected
		return conflict
	case !known, slices.ContainsFunc(edits, func(e Edit) bool { return e.Row == d.Edit.Row }):
		return conflict
	}
	return nil
}

// allows reports whether the edit keeps the join of routes to pools and the size of the table within its
// limit.
func (s Snapshot) allows(e Edit) error {
	_, exists := s.Pools[e.Row]
	if e.Table == Routes {
		_, exists = s.Routes[e.Row]
	}
	size := s.sizeAfter(e)
	switch {
	case e.Deletes() && !exists:
		return &RowNotFoundError{Table: e.Table, Row: e.Row}
	case !e.Deletes() && size > LimitBytes:
		return &FullError{Table: e.Table, Bytes: size}
	case e.Route != nil:
		if _, ok := s.Pools[e.Route.Pool]; !ok {
			return &MissingPoolError{Route: e.Row, Pool: e.Route.Pool}
		}
	case e.Table == Pools && e.Deletes():
		if users := s.users(e.Row); len(users) > 0 {
			return &PoolInUseError{Pool: e.Row, Routes: users}
		}
	}
	return nil
}

// users returns the sorted names of the routes that use a pool.
func (s Snapshot) users(poolName string) []string {
	var names []string
	for name, r := range s.Routes {
		if r.Pool == poolName {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
