package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
)

// StaleStoreError reports that the platform's copy of a table is older than that of this process. An edit accepted
// there would never take effect, because processes ignore versions that they already have.
type StaleStoreError struct {
	Table        table.Name
	LocalVersion uint64
	StoreVersion uint64
}

// Error implements error.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("read %s: the platform has version %d, but version %d is in effect; restore the platform's "+
		"rows under %s to the newer version", e.Table, e.StoreVersion, e.LocalVersion, store.TablesPrefix)
}

// DecodeError reports a row in the platform that this package cannot decode.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode row %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// platformState is a consistent read of the tables in the platform.
type platformState struct {
	heads    table.Heads
	checks   []store.Check  // versions of the rows that hold the heads
	snapshot table.Snapshot // of the platform's rows, or of the replica, which may be newer than the heads
}

// read updates the replica from the platform. It reads only the heads if their recent edits include all that the
// replica lacks, and all rows otherwise.
func (t *Tables) read(ctx context.Context) (platformState, error) {
	before := t.Current().Versions
	rows, err := t.config.Platform.Get(ctx, store.RoutesHeadKey, store.PoolsHeadKey)
	if err != nil {
		return platformState{}, err
	}
	var s platformState
	if err := s.decodeHeads(rows); err != nil {
		return platformState{}, err
	}
	if older := before.TablesNewerThan(s.heads.Versions()); len(older) > 0 {
		n := older[0]
		return platformState{}, errors.WithStack(&StaleStoreError{
			Table: n, LocalVersion: before.Of(n), StoreVersion: s.heads.Versions().Of(n),
		})
	}
	if t.applyHeads(&s) {
		return s, nil
	}
	return t.readAll(ctx)
}

// applyHeads applies the recent edits of the heads to the replica. It returns false if the replica also lacks older
// edits.
func (t *Tables) applyHeads(s *platformState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, gap := t.replica.ApplyHeads(s.heads)
	if gap {
		return false
	}
	t.publish(changed, "")
	s.snapshot = t.replica.Snapshot()
	return true
}

// readAll reads all rows and updates the replica.
func (t *Tables) readAll(ctx context.Context) (platformState, error) {
	rows, err := t.config.Platform.List(ctx, store.TablesPrefix)
	if err != nil {
		return platformState{}, err
	}
	s, err := decodeAll(rows)
	if err != nil {
		return platformState{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(t.replica.Merge(s.snapshot), "")
	return s, nil
}

// decodeHeads decodes the rows that hold the heads. A table without edits has no such row.
func (s *platformState) decodeHeads(rows []store.Row) error {
	for _, row := range rows {
		head := &s.heads.Routes
		if row.Key == store.PoolsHeadKey {
			head = &s.heads.Pools
		}
		if row.Version > 0 {
			if err := decodeRow(row, head); err != nil {
				return err
			}
		}
		s.checks = append(s.checks, store.Check{Key: row.Key, Version: row.Version})
	}
	return nil
}

func decodeAll(rows []store.Row) (platformState, error) {
	heads := map[string]store.Row{}
	var routes []route.Route
	var pools []pool.Pool
	for _, row := range rows {
		var err error
		switch {
		case row.Key == store.RoutesHeadKey, row.Key == store.PoolsHeadKey:
			heads[row.Key] = row
		case strings.HasPrefix(row.Key, store.RoutePrefix):
			var r route.Route
			err = decodeRow(row, &r)
			routes = append(routes, r)
		case strings.HasPrefix(row.Key, store.PoolPrefix):
			var p pool.Pool
			err = decodeRow(row, &p)
			pools = append(pools, p)
		}
		if err != nil {
			return platformState{}, err
		}
	}
	var s platformState
	for _, key := range []string{store.RoutesHeadKey, store.PoolsHeadKey} {
		row := heads[key]
		row.Key = key
		if err := s.decodeHeads([]store.Row{row}); err != nil {
			return platformState{}, err
		}
	}
	s.snapshot = table.NewSnapshot(s.heads.Versions(), routes, pools)
	return s, nil
}

func decodeRow(row store.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return errors.WithStack(&DecodeError{Key: row.Key, Cause: err})
	}
	return nil
}

// transaction returns a transaction that writes the row and the head of an edit and requires that neither head has
// changed since it was read.
func (s platformState) transaction(c table.Commit) (store.Transaction, error) {
	headKey, rowKey := store.RoutesHeadKey, store.RoutePrefix+c.Edit.Row
	var row any = c.Edit.Route
	if c.Edit.Table == table.Pools {
		headKey, rowKey = store.PoolsHeadKey, store.PoolPrefix+c.Edit.Row
		row = c.Edit.Pool
	}
	head, err := json.Marshal(c.Head)
	if err != nil {
		return store.Transaction{}, errors.Wrap(err, "encode head")
	}
	write := store.Write{Key: rowKey, Delete: true}
	if !c.Edit.Deletes() {
		data, err := json.Marshal(row)
		if err != nil {
			return store.Transaction{}, errors.Wrap(err, "encode row")
		}
		write = store.Write{Key: rowKey, Value: data}
	}
	return store.Transaction{
		Checks: s.checks,
		Writes: []store.Write{{Key: headKey, Value: head}, write},
	}, nil
}
