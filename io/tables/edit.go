package tables

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
)

// Waits between the attempts of an edit. Other entries edit at the same time, so the waits vary.
const (
	editWait      = 10 * time.Millisecond
	editWaitLimit = 500 * time.Millisecond
	editJitter    = 0.5
)

// Edit applies an operator's edit in one transaction and returns it with its version. It is in force in
// this process when Edit returns. If expected is not 0, the table must have that version.
//
// An edit without an expected version is repeated on top of other operators' edits of other rows, until
// the context ends. An edit whose answer was lost is read back; if that fails until the context ends, the
// result is table.UncertainError, and the same edit may be sent again with the same ID and the error's
// version as the expected one. Without it, the edit is made again if it is no longer among the recent edits.
func (t *Tables) Edit(ctx context.Context, e table.Edit, expected uint64) (table.Edit, error) {
	accepted, err := t.edit(ctx, table.Draft{Edit: e, Expected: expected})
	record := event.Event{Number: event.EditAccepted, Task: -1, Key: e.ID, State: string(e.Table), Version: accepted.Version}
	if err != nil {
		record.Number = event.EditRefused
		record.State += " " + Reason(err)
	}
	if e.Table == table.Routes {
		record.Route = e.Row
	}
	t.config.Record(record)
	return accepted, err
}

func (t *Tables) edit(ctx context.Context, d table.Draft) (table.Edit, error) {
	for wait := editWait; ; wait = min(2*wait, editWaitLimit) {
		accepted, err := t.attempt(ctx, &d)
		if err == nil || !repeats(err, d.Sent) {
			return accepted, err
		}
		var limited *store.RateLimitedError
		if errors.As(err, &limited) {
			wait = max(wait, limited.RetryAfter)
		}
		if !sleep(ctx, t.vary(wait, editJitter)) {
			return table.Edit{}, t.gaveUp(d, err)
		}
	}
}

// gaveUp returns the error of an edit whose context ended between two attempts.
func (t *Tables) gaveUp(d table.Draft, last error) error {
	var conflict *store.ConflictError
	switch {
	case d.Sent:
		return errors.WithSecondaryError(&table.UncertainError{ID: d.Edit.ID, Base: d.Base}, last)
	case errors.As(last, &conflict):
		return errors.WithStack(&table.ConflictError{
			Table: d.Edit.Table, Row: d.Edit.Row, Expected: d.Base, Current: t.Current().Versions.Of(d.Edit.Table),
		})
	}
	return last
}

// attempt reads the tables and commits the edit once. It changes the draft to what the next attempt needs.
func (t *Tables) attempt(ctx context.Context, d *table.Draft) (table.Edit, error) {
	s, err := t.read(ctx)
	if err != nil {
		return table.Edit{}, err
	}
	if s.state.Versions != s.heads.Versions() {
		return table.Edit{}, errors.WithStack(&store.ConflictError{Current: s.checks})
	}
	decision, err := table.Prepare(s.state, s.heads, *d)
	if err != nil {
		return table.Edit{}, err
	}
	if !d.Prepared {
		d.Prepared, d.Base = true, s.heads.Of(d.Edit.Table).Version
	}
	switch decision := decision.(type) {
	case table.Accepted:
		return decision.Edit, nil
	case table.Commit:
		return t.commit(ctx, s, decision, d)
	}
	return table.Edit{}, errors.AssertionFailedf("unknown decision %T", decision)
}

func (t *Tables) commit(ctx context.Context, s stored, c table.Commit, d *table.Draft) (table.Edit, error) {
	transaction, err := s.transaction(c)
	if err != nil {
		return table.Edit{}, err
	}
	if _, err := t.config.Platform.Commit(ctx, transaction); err != nil {
		var lost *store.OutcomeUnknownError
		d.Sent = d.Sent || errors.As(err, &lost)
		return table.Edit{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// There is no gap: the replica has at least the versions that the transaction was based on.
	changed, err := t.replica.Apply([]table.Edit{c.Edit})
	if err != nil {
		return table.Edit{}, err
	}
	t.publish(changed, "")
	return c.Edit, nil
}

// repeats reports whether an attempt that failed is followed by another one. If a transaction may have
// taken effect, its outcome must be read back even though the platform fails now.
func repeats(err error, sent bool) bool {
	var (
		conflict    *store.ConflictError
		lost        *store.OutcomeUnknownError
		limited     *store.RateLimitedError
		unavailable *store.UnavailableError
	)
	return errors.As(err, &conflict) || errors.As(err, &lost) || errors.As(err, &limited) ||
		sent && errors.As(err, &unavailable)
}

// Reason returns the name of the kind of an error of Edit.
func Reason(err error) string {
	var (
		conflict    *table.ConflictError
		missingPool *table.MissingPoolError
		inUse       *table.PoolInUseError
		notFound    *table.RowNotFoundError
		reused      *table.EditIDReusedError
		full        *table.FullError
		column      *route.ColumnError
		edit        *table.EditError
		stale       *StaleStoreError
		uncertain   *table.UncertainError
	)
	switch {
	case errors.As(err, &conflict):
		return "Conflict"
	case errors.As(err, &missingPool):
		return "MissingPool"
	case errors.As(err, &inUse):
		return "PoolInUse"
	case errors.As(err, &notFound):
		return "NotFound"
	case errors.As(err, &reused):
		return "EditIDReused"
	case errors.As(err, &full):
		return "TableFull"
	case errors.As(err, &column), errors.As(err, &edit):
		return "Invalid"
	case errors.As(err, &stale):
		return "StaleStore"
	case errors.As(err, &uncertain):
		return "OutcomeUnknown"
	}
	return failureOf(err)
}

// failureOf returns the name of the kind of a platform's failure, or "" if there is none.
func failureOf(err error) string {
	var (
		lost        *store.OutcomeUnknownError
		limited     *store.RateLimitedError
		tooLarge    *store.TooLargeError
		decode      *DecodeError
		stale       *StaleStoreError
		unavailable *store.UnavailableError
	)
	switch {
	case err == nil:
		return ""
	case errors.As(err, &lost):
		return "OutcomeUnknown"
	case errors.As(err, &limited):
		return "RateLimited"
	case errors.As(err, &tooLarge):
		return "TooLarge"
	case errors.As(err, &decode):
		return "Undecodable"
	case errors.As(err, &stale):
		return "StaleStore"
	case errors.As(err, &unavailable):
		return "Unavailable"
	}
	return "Internal"
}
