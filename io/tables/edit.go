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

// Backoff between the attempts of an edit. It is jittered, because other entries may edit at the same time.
const (
	minEditBackoff = 10 * time.Millisecond
	maxEditBackoff = 500 * time.Millisecond
	editJitter     = 0.5
)

// Edit applies an operator's edit in one transaction and returns it with its version. When Edit returns, the edit is
// in effect in this process. If expected is not 0, the table must have that version.
//
// If other operators edit other rows at the same time, an edit without an expected version is retried until the
// context ends. If the response to the transaction was lost, Edit looks the edit up among the recent edits. If it
// cannot do so before the context ends, it returns a table.OutcomeUnknownError. The caller may then send the same edit
// again with the same ID and the error's version as the expected version; without an expected version, the edit would
// be applied a second time if it is no longer among the recent edits.
func (t *Tables) Edit(ctx context.Context, e table.Edit, expected uint64) (table.Edit, error) {
	accepted, err := t.edit(ctx, table.PendingEdit{Edit: e, ExpectedVersion: expected})
	record := event.Event{
		Number: event.EditAccepted, Task: -1, Key: e.ID, State: string(e.Table), Version: accepted.Version,
	}
	if err != nil {
		record.Number = event.EditRefused
		record.State += " " + ErrorType(err)
	}
	if e.Table == table.Routes {
		record.Route = e.Row
	}
	t.config.Record(record)
	return accepted, err
}

func (t *Tables) edit(ctx context.Context, pending table.PendingEdit) (table.Edit, error) {
	for wait := minEditBackoff; ; wait = min(2*wait, maxEditBackoff) {
		accepted, err := t.tryEdit(ctx, &pending)
		if err == nil || !retryable(err, pending.OutcomeUnknown) {
			return accepted, err
		}
		var limited *store.RateLimitedError
		if errors.As(err, &limited) {
			wait = max(wait, limited.RetryAfter)
		}
		if !sleep(ctx, t.withJitter(wait, editJitter)) {
			return table.Edit{}, t.contextEndedError(pending, err)
		}
	}
}

// contextEndedError returns the error for an edit whose context ended between two attempts.
func (t *Tables) contextEndedError(pending table.PendingEdit, last error) error {
	var conflict *store.ConflictError
	switch {
	case pending.OutcomeUnknown:
		return errors.WithSecondaryError(
			&table.OutcomeUnknownError{ID: pending.Edit.ID, BaseVersion: pending.BaseVersion}, last)
	case errors.As(last, &conflict):
		return errors.WithStack(&table.ConflictError{
			Table: pending.Edit.Table, Row: pending.Edit.Row, Expected: pending.BaseVersion,
			Current: t.Current().Versions.Of(pending.Edit.Table),
		})
	}
	return last
}

// tryEdit reads the tables and tries once to commit the edit. It records in pending what the next attempt needs.
func (t *Tables) tryEdit(ctx context.Context, pending *table.PendingEdit) (table.Edit, error) {
	s, err := t.read(ctx)
	if err != nil {
		return table.Edit{}, err
	}
	if s.snapshot.Versions != s.heads.Versions() {
		return table.Edit{}, errors.WithStack(&store.ConflictError{Current: s.checks})
	}
	decision, err := table.Prepare(s.snapshot, s.heads, *pending)
	if err != nil {
		return table.Edit{}, err
	}
	if !pending.HasBase {
		pending.HasBase, pending.BaseVersion = true, s.heads.Of(pending.Edit.Table).Version
	}
	switch decision := decision.(type) {
	case table.AlreadyAccepted:
		return decision.Edit, nil
	case table.Commit:
		return t.commit(ctx, s, decision, pending)
	}
	return table.Edit{}, errors.AssertionFailedf("unknown decision %T", decision)
}

func (t *Tables) commit(
	ctx context.Context, s platformState, c table.Commit, pending *table.PendingEdit,
) (table.Edit, error) {
	transaction, err := s.transaction(c)
	if err != nil {
		return table.Edit{}, err
	}
	if _, err := t.config.Platform.Commit(ctx, transaction); err != nil {
		var unknown *store.OutcomeUnknownError
		pending.OutcomeUnknown = pending.OutcomeUnknown || errors.As(err, &unknown)
		return table.Edit{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// No edit can be missing, because the replica has at least the versions that the transaction was based on.
	changed, err := t.replica.Apply([]table.Edit{c.Edit})
	if err != nil {
		return table.Edit{}, err
	}
	t.publish(changed, "")
	return c.Edit, nil
}

// retryable reports whether to make another attempt after one failed with err. If the outcome of an earlier
// transaction is unknown, this includes failures of the platform, because the outcome still has to be read.
func retryable(err error, outcomeUnknown bool) bool {
	var (
		conflict    *store.ConflictError
		unknown     *store.OutcomeUnknownError
		limited     *store.RateLimitedError
		unavailable *store.UnavailableError
	)
	return errors.As(err, &conflict) || errors.As(err, &unknown) || errors.As(err, &limited) ||
		outcomeUnknown && errors.As(err, &unavailable)
}

// ErrorType returns the error type, as reported to operators and in events, of an error returned by Edit.
func ErrorType(err error) string {
	var (
		conflict    *table.ConflictError
		missingPool *table.MissingPoolError
		inUse       *table.PoolInUseError
		notFound    *table.RowNotFoundError
		reused      *table.EditIDReusedError
		full        *table.SizeLimitError
		column      *route.ColumnError
		edit        *table.EditError
		stale       *StaleStoreError
		unknown     *table.OutcomeUnknownError
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
	case errors.As(err, &unknown):
		return "OutcomeUnknown"
	}
	return platformErrorType(err)
}

// platformErrorType returns the error type, as recorded in events, of a failed operation of the platform, or "" if err
// is nil.
func platformErrorType(err error) string {
	var (
		unknown     *store.OutcomeUnknownError
		limited     *store.RateLimitedError
		tooLarge    *store.TooLargeError
		decode      *DecodeError
		stale       *StaleStoreError
		unavailable *store.UnavailableError
	)
	switch {
	case err == nil:
		return ""
	case errors.As(err, &unknown):
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
