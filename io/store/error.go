package store

import (
	"fmt"
	"time"
)

// UnavailableError reports that the platform did not perform the operation. A write had no effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return describe(e.Operation, "the platform is unavailable", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a write whose answer was lost. It may have taken effect, or may do so later.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return describe(e.Operation, "the answer was lost and the write may have taken effect", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ConflictError reports a transaction that wrote nothing because a check failed. Current has the versions
// of all checked rows.
type ConflictError struct {
	Current []Check
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("commit: a checked row has another version; current versions are %v", e.Current)
}

// RateLimitedError reports an operation that was refused because of the platform's limits. It had no
// effect.
type RateLimitedError struct {
	Operation  string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s: over the platform's rate limit; retry after %v", e.Operation, e.RetryAfter)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("get object %q: not found", e.Name) }

// TooLargeError reports a key, value, transaction, object or answer over its bound.
type TooLargeError struct {
	Operation string
	Size      int // bytes; 0 if only known to be over the limit
	Limit     int // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d bytes are over the limit of %d bytes", e.Operation, e.Size, e.Limit)
}

// RequestError reports a request that the platform cannot interpret.
type RequestError struct {
	Operation string
	Reason    string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Operation + ": " + e.Reason }

func describe(operation, what string, cause error) string {
	if cause == nil {
		return operation + ": " + what
	}
	return fmt.Sprintf("%s: %s: %v", operation, what, cause)
}
