package store

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Memory is an in-memory implementation of the platform's services for development and tests. It enforces rate and size
// limits and injects faults. It is safe for concurrent use.
type Memory struct {
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	version uint64 // version of the latest transaction
	rows    map[string]Row
	objects map[string][]byte
}

var _ Service = (*Memory)(nil)

// NewMemory returns an empty Memory. The random source decides which responses are lost.
func NewMemory(limits Limits, random *rand.Rand) *Memory {
	return &Memory{
		writeLimiter: newLimiter(limits.WritesPerSecond),
		readLimiter:  newLimiter(limits.ReadsPerSecond),
		random:       random,
		rows:         map[string]Row{},
		objects:      map[string][]byte{},
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	return nil
}

// Faults returns the current faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Get implements Table.
func (m *Memory) Get(ctx context.Context, keys ...string) ([]Row, error) {
	return read(ctx, m, "get rows", len(keys), func() ([]Row, error) {
		rows := make([]Row, len(keys))
		for i, key := range keys {
			rows[i] = m.cloneRow(key)
		}
		return rows, nil
	})
}

// List implements Table.
func (m *Memory) List(ctx context.Context, prefix string) ([]Row, error) {
	cost := 1 + m.countRows(prefix)/rowsPerRead
	return read(ctx, m, "list rows", cost, func() ([]Row, error) {
		var rows []Row
		for _, key := range slices.Sorted(maps.Keys(m.rows)) {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, m.cloneRow(key))
			}
		}
		return rows, nil
	})
}

func (m *Memory) countRows(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for key := range m.rows {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (m *Memory) cloneRow(key string) Row {
	row, ok := m.rows[key]
	if !ok {
		return Row{Key: key}
	}
	row.Value = bytes.Clone(row.Value)
	return row
}

// Commit implements Table.
func (m *Memory) Commit(ctx context.Context, t Transaction) (uint64, error) {
	if err := t.validate(); err != nil {
		return 0, err
	}
	return write(ctx, m, "commit", len(t.Writes), func() (uint64, error) { return m.applyTransaction(t) })
}

func (t Transaction) validate() error {
	if len(t.Writes) == 0 {
		return errors.WithStack(&RequestError{Operation: "commit", Reason: "transaction has no writes"})
	}
	size := 0
	for _, w := range t.Writes {
		if err := validateName("commit", w.Key); err != nil {
			return err
		}
		if len(w.Value) > MaxValue {
			return errors.WithStack(&TooLargeError{Operation: "commit row " + w.Key, Size: len(w.Value), Limit: MaxValue})
		}
		size += len(w.Value)
	}
	if size > MaxTransaction {
		return errors.WithStack(&TooLargeError{Operation: "commit", Size: size, Limit: MaxTransaction})
	}
	return nil
}

func validateName(operation, name string) error {
	switch {
	case name == "":
		return errors.WithStack(&RequestError{Operation: operation, Reason: "key is empty"})
	case len(name) > MaxKey:
		return errors.WithStack(&TooLargeError{Operation: operation + " key", Size: len(name), Limit: MaxKey})
	}
	return nil
}

func (m *Memory) applyTransaction(t Transaction) (uint64, error) {
	conflict := false
	current := make([]Check, len(t.Checks))
	for i, c := range t.Checks {
		current[i] = Check{Key: c.Key, Version: m.rows[c.Key].Version}
		conflict = conflict || current[i] != c
	}
	if conflict {
		return 0, errors.WithStack(&ConflictError{Current: current})
	}
	m.version++
	for _, w := range t.Writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = Row{Key: w.Key, Version: m.version, Value: bytes.Clone(w.Value)}
	}
	return m.version, nil
}

// PutObject implements Objects.
func (m *Memory) PutObject(ctx context.Context, name string, data []byte) error {
	if err := validateName("put object", name); err != nil {
		return err
	}
	if len(data) > MaxObject {
		return errors.WithStack(&TooLargeError{Operation: "put object", Size: len(data), Limit: MaxObject})
	}
	data = bytes.Clone(data)
	_, err := write(ctx, m, "put object", 1, func() (struct{}, error) {
		m.objects[name] = data
		return struct{}{}, nil
	})
	return err
}

// GetObject implements Objects.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, m, "get object", 1, func() ([]byte, error) {
		stored, ok := m.objects[name]
		if !ok {
			return nil, errors.WithStack(&NotFoundError{Name: name})
		}
		return bytes.Clone(stored), nil
	})
}

// DeleteObject implements Objects.
func (m *Memory) DeleteObject(ctx context.Context, name string) error {
	_, err := write(ctx, m, "delete object", 1, func() (struct{}, error) {
		delete(m.objects, name)
		return struct{}{}, nil
	})
	return err
}

// ListObjects implements Objects.
func (m *Memory) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	return read(ctx, m, "list objects", 1, func() ([]string, error) {
		var names []string
		for name := range m.objects {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names, nil
	})
}

func read[T any](ctx context.Context, m *Memory, operation string, cost int, operate func() (T, error)) (T, error) {
	newError := func(cause error) error { return &UnavailableError{Operation: operation, Cause: cause} }
	return perform(ctx, m, operation, m.readLimiter, cost, operate, newError)
}

func write[T any](ctx context.Context, m *Memory, operation string, cost int, operate func() (T, error)) (T, error) {
	newError := func(cause error) error { return &OutcomeUnknownError{Operation: operation, Cause: cause} }
	return perform(ctx, m, operation, m.writeLimiter, cost, operate, newError)
}

type result[T any] struct {
	value T
	err   error
}

// perform runs operate under the lock, subject to rate limits and injected faults. If the context ends during the
// injected delay, operate still runs later and the caller gets the result of newError.
func perform[T any](
	ctx context.Context, m *Memory, operation string, limit *rate.Limiter, cost int,
	operate func() (T, error), newError func(cause error) error,
) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, errors.WithStack(&UnavailableError{Operation: operation, Cause: err})
	}
	faults := m.Faults()
	if faults.Down {
		return zero, errors.WithStack(&UnavailableError{Operation: operation})
	}
	if wait := reserveTokens(limit, cost); wait > 0 {
		return zero, errors.WithStack(&RateLimitedError{Operation: operation, RetryAfter: wait})
	}
	if faults.Delay == 0 {
		return applyOperation(m, faults, operate, newError)
	}
	done := make(chan result[T], 1)
	go func() {
		time.Sleep(faults.Delay)
		value, err := applyOperation(m, faults, operate, newError)
		done <- result[T]{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		return zero, errors.WithStack(newError(ctx.Err()))
	}
}

// reserveTokens takes cost tokens from the limiter and returns 0. If too few are available, it takes none and returns
// the time until there are enough.
func reserveTokens(limit *rate.Limiter, cost int) time.Duration {
	if limit.Limit() == rate.Inf {
		return 0
	}
	now := time.Now()
	reservation := limit.ReserveN(now, min(cost, limit.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// applyOperation runs operate under the lock and injects lost responses.
func applyOperation[T any](
	m *Memory, faults Faults, operate func() (T, error), newError func(cause error) error,
) (T, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, err := operate()
	if faults.LostResponses > 0 && m.random.Float64() < faults.LostResponses {
		var zero T
		return zero, errors.WithStack(newError(errors.New("injected response loss")))
	}
	return value, err
}
