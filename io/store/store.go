// Package store is the conversation with the platform's transactional table service and object store.
//
// It owns the interface of both services, the errors they report, the HTTP client, and an in-memory
// stand-in with its HTTP server. Entries, agents and the tables of routes and pools call it. If the
// platform fails, every call returns a typed error within its context's deadline; a write whose answer
// did not arrive is reported as OutcomeUnknownError, because it may have taken effect.
package store

import "context"

// Bounds of the services, in bytes.
const (
	MaxValue       = 1 << 20  // one row
	MaxTransaction = 4 << 20  // all rows that one transaction writes
	MaxObject      = 64 << 20 // one object
	MaxAnswer      = 96 << 20 // body of an answer; an object or a list of rows, base64 encoded
	MaxKey         = 512      // key of a row or name of an object
)

// Row is a row of the table service. The version of a row grows with each write and is never used twice,
// even if the row is deleted and written again. An absent row has version 0.
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

// Transaction writes rows if all checks hold, and nothing otherwise.
type Transaction struct {
	Checks []Check
	Writes []Write
}

// Table is the transactional table service.
type Table interface {
	// Get returns the rows of the keys, in their order, as they were at one moment.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns the rows whose keys have the prefix, ordered by key, as they were at one moment.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the transaction and returns the new version of its writes. It reports
	// ConflictError if a check failed.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject reports no error if the object is absent.
	DeleteObject(ctx context.Context, name string) error
	ListObjects(ctx context.Context, prefix string) ([]string, error)
}

// Service is both services of the platform.
type Service interface {
	Table
	Objects
}
