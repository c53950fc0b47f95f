package table

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ConflictError reports an edit that is based on an outdated version of its table.
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

// PoolInUseError reports an attempt to delete a pool that routes still use.
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

// EditIDReusedError reports an edit with the ID of a different, already accepted edit.
type EditIDReusedError struct{ ID string }

// Error implements error.
func (e *EditIDReusedError) Error() string {
	return fmt.Sprintf("edit ID %q belongs to another edit; send this edit with a new ID", e.ID)
}

// OutcomeUnknownError reports an edit of which it is unknown whether it was accepted: the store's response was lost,
// and the edits after BaseVersion are no longer all among the recent edits, or could not be read.
type OutcomeUnknownError struct {
	ID          string
	BaseVersion uint64 // version of the table that the edit was based on
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("edit %q: the platform's response was lost; read the row to see whether the edit was accepted, "+
		"or send it again with the same ID and expected version %d", e.ID, e.BaseVersion)
}

// SizeLimitError reports an edit that would make a table larger than MaxTableBytes.
type SizeLimitError struct {
	Table Name
	Bytes int // estimated size after the edit
}

// Error implements error.
func (e *SizeLimitError) Error() string {
	return fmt.Sprintf("%s: the table would take %d bytes, over the limit of %d; delete rows first", e.Table, e.Bytes,
		MaxTableBytes)
}

// PendingEdit is an edit that is not known to be accepted, and the state of the attempts to commit it.
type PendingEdit struct {
	Edit            Edit
	ExpectedVersion uint64 // version of the table that the operator requires; 0 for any
	HasBase         bool   // BaseVersion is set, because the edit was prepared before
	BaseVersion     uint64 // version of the table when the edit was first prepared
	OutcomeUnknown  bool   // a transaction with this edit was sent, but the response was lost
}

// Decision is the result of Prepare: a Commit or AlreadyAccepted.
type Decision interface{ isDecision() }

// Commit tells the caller to commit the edit in a transaction that writes the row and the head and requires that
// the versions of both heads are unchanged.
type Commit struct {
	Edit Edit
	Head Head // of the edit's table, after the edit
}

// AlreadyAccepted tells the caller that an earlier attempt of the edit was accepted.
type AlreadyAccepted struct{ Edit Edit }

func (Commit) isDecision()          {}
func (AlreadyAccepted) isDecision() {}

// Prepare validates a pending edit against both heads and a snapshot of the same versions. An edit that was accepted
// before is recognised by its ID. An edit without an expected version is still refused if another edit changed its
// row after it was first prepared, so that it does not overwrite a change that the operator has not seen.
func Prepare(s Snapshot, heads Heads, pending PendingEdit) (Decision, error) {
	e := pending.Edit
	if err := e.Validate(); err != nil {
		return nil, err
	}
	if previous, ok := heads.Find(e.ID); ok {
		if !previous.SameAs(e) {
			return nil, errors.WithStack(&EditIDReusedError{ID: e.ID})
		}
		return AlreadyAccepted{previous}, nil
	}
	head := heads.Of(e.Table)
	if err := pending.checkVersion(head); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := s.checkConstraints(e); err != nil {
		return nil, errors.WithStack(err)
	}
	after, err := head.Append(e)
	if err != nil {
		return nil, err
	}
	e.Version = after.Version
	return Commit{Edit: e, Head: after}, nil
}

// checkVersion returns an error if the pending edit conflicts with an edit in the head, or if that cannot be
// determined.
func (pending PendingEdit) checkVersion(head Head) error {
	conflict := &ConflictError{
		Table: pending.Edit.Table, Row: pending.Edit.Row, Expected: pending.BaseVersion, Current: head.Version,
	}
	var edits []Edit
	known := true
	if pending.HasBase {
		edits, known = head.Since(pending.BaseVersion)
	}
	switch {
	case pending.OutcomeUnknown && !known:
		return &OutcomeUnknownError{ID: pending.Edit.ID, BaseVersion: pending.BaseVersion}
	case pending.ExpectedVersion > 0 && pending.ExpectedVersion != head.Version:
		conflict.Expected = pending.ExpectedVersion
		return conflict
	case !known, slices.ContainsFunc(edits, func(e Edit) bool { return e.Row == pending.Edit.Row }):
		return conflict
	}
	return nil
}

// checkConstraints returns an error if the row to delete does not exist, or if the edit would leave a route without
// its pool or make the table too large.
func (s Snapshot) checkConstraints(e Edit) error {
	_, exists := s.Pools[e.Row]
	if e.Table == Routes {
		_, exists = s.Routes[e.Row]
	}
	size := s.tableSizeAfter(e)
	switch {
	case e.Deletes() && !exists:
		return &RowNotFoundError{Table: e.Table, Row: e.Row}
	case !e.Deletes() && size > MaxTableBytes:
		return &SizeLimitError{Table: e.Table, Bytes: size}
	case e.Route != nil:
		if _, ok := s.Pools[e.Route.Pool]; !ok {
			return &MissingPoolError{Route: e.Row, Pool: e.Route.Pool}
		}
	case e.Table == Pools && e.Deletes():
		if routes := s.routesUsing(e.Row); len(routes) > 0 {
			return &PoolInUseError{Pool: e.Row, Routes: routes}
		}
	}
	return nil
}

// routesUsing returns the sorted names of the routes that use a pool.
func (s Snapshot) routesUsing(poolName string) []string {
	var names []string
	for name, r := range s.Routes {
		if r.Pool == poolName {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
