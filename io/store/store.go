// Package store accesses the platform's transactional table service and object store.
//
// It contains the interfaces of both services, their errors, the HTTP client, and an in-memory implementation with its
// HTTP server for development and tests. It is used by entries, agents and the tables of routes and pools. If the
// platform fails, every call returns a typed error within its context's deadline. A write whose response did not arrive
// is reported as OutcomeUnknownError, because it may have taken effect.
package store

import "context"

// Size limits of the services, in bytes.
const (
	MaxValue       = 1 << 20  // one row
	MaxTransaction = 4 << 20  // total of all values that one transaction writes
	MaxObject      = 64 << 20 // one object
	MaxResponse    = 96 << 20 // body of a response: an object, or rows with values in base64
	MaxKey         = 512      // key of a row or name of an object
)

// Row is a row of the table service. Its version increases with each write and is never reused, even if the row is
// deleted and written again. An absent row has version 0.
type Row struct {
	Key     string
	Version uint64
	Value   []byte `json:",omitempty"`
}

// Check requires that a row has the given version, or that it is absent if the version is 0.
type Check struct {
	Key     string
	Version uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte `json:",omitempty"`
	Delete bool   `json:",omitempty"`
}

// Transaction performs all writes if all checks pass, and none otherwise.
type Transaction struct {
	Checks []Check
	Writes []Write
}

// Table is the transactional table service.
type Table interface {
	// Get returns the rows with the given keys, in the order of the keys, from one consistent snapshot.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns the rows whose keys have the prefix, ordered by key, from one consistent snapshot.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the transaction and returns the version of the rows that it wrote. It returns a ConflictError if a
	// check failed.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject returns no error if the object is absent.
	DeleteObject(ctx context.Context, name string) error
	ListObjects(ctx context.Context, prefix string) ([]string, error)
}

// Service combines both services of the platform.
type Service interface {
	Table
	Objects
}
