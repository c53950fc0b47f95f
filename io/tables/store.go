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

// StaleStoreError reports a platform whose tables are older than those already in force. An edit accepted
// there could never come into force.
type StaleStoreError struct {
	Table table.Name
	Have  uint64
	Store uint64
}

// Error implements error.
func (e *StaleStoreError) Error() string {
	return fmt.Sprintf("read %s: the platform has version %d, but version %d is in force; restore the platform's "+
		"rows under %s to the newer version", e.Table, e.Store, e.Have, store.TablesPrefix)
}

// DecodeError reports a row of the platform that is not what this package writes.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode row %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// stored is the state of the tables in the platform at one moment.
type stored struct {
	heads  table.Heads
	checks []store.Check  // versions of the rows of the heads
	state  table.Snapshot // rows at the versions of the heads; the tables of the process may be newer
}

// read reads the heads, and all rows if edits are missing, and takes over what is new.
func (t *Tables) read(ctx context.Context) (stored, error) {
	before := t.Current().Versions
	rows, err := t.config.Platform.Get(ctx, store.RoutesHeadKey, store.PoolsHeadKey)
	if err != nil {
		return stored{}, err
	}
	var s stored
	if err := s.decodeHeads(rows); err != nil {
		return stored{}, err
	}
	if older := before.Newer(s.heads.Versions()); len(older) > 0 {
		n := older[0]
		return stored{}, errors.WithStack(&StaleStoreError{
			Table: n, Have: before.Of(n), Store: s.heads.Versions().Of(n),
		})
	}
	if t.polledHeads(&s) {
		return s, nil
	}
	return t.readAll(ctx)
}

// polledHeads takes over the recent edits of the heads. It reports false if there is a gap.
func (t *Tables) polledHeads(s *stored) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, gap := t.replica.Polled(s.heads)
	if gap {
		return false
	}
	t.publish(changed, "")
	s.state = t.replica.Snapshot()
	return true
}

func (t *Tables) readAll(ctx context.Context) (stored, error) {
	rows, err := t.config.Platform.List(ctx, store.TablesPrefix)
	if err != nil {
		return stored{}, err
	}
	s, err := decodeAll(rows)
	if err != nil {
		return stored{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(t.replica.Adopt(s.state), "")
	return s, nil
}

// decodeHeads decodes the rows of the heads. An absent row is a table without edits.
func (s *stored) decodeHeads(rows []store.Row) error {
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

func decodeAll(rows []store.Row) (stored, error) {
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
			return stored{}, err
		}
	}
	var s stored
	for _, key := range []string{store.RoutesHeadKey, store.PoolsHeadKey} {
		row := heads[key]
		row.Key = key
		if err := s.decodeHeads([]store.Row{row}); err != nil {
			return stored{}, err
		}
	}
	s.state = table.New(s.heads.Versions(), routes, pools)
	return s, nil
}

func decodeRow(row store.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return errors.WithStack(&DecodeError{Key: row.Key, Cause: err})
	}
	return nil
}

// transaction returns the transaction that writes the row and the head of an edit and requires that
// neither head has changed.
func (s stored) transaction(c table.Commit) (store.Transaction, error) {
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
