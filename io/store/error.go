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
	return formatError(e.Operation, "platform unavailable", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a write whose response was lost. The write may have taken effect, or may still do so.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return formatError(e.Operation, "response lost, the write may have taken effect", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ConflictError reports a transaction that wrote nothing because a check failed. Current holds the current versions of
// all checked rows.
type ConflictError struct {
	Current []Check
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("commit: checked row has changed; current versions are %v", e.Current)
}

// RateLimitedError reports an operation that was rejected because of the platform's rate limits. It had no effect.
type RateLimitedError struct {
	Operation  string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s: platform rate limit exceeded; retry after %v", e.Operation, e.RetryAfter)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("get object %q: not found", e.Name) }

// TooLargeError reports a key, value, transaction, object or response over its size limit.
type TooLargeError struct {
	Operation string
	Size      int // bytes; 0 if unknown, Limit+1 for a body that was not read to its end
	Limit     int // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: size of %d bytes exceeds the limit of %d bytes", e.Operation, e.Size, e.Limit)
}

// RequestError reports an invalid request.
type RequestError struct {
	Operation string
	Reason    string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Operation + ": " + e.Reason }

func formatError(operation, what string, cause error) string {
	if cause == nil {
		return operation + ": " + what
	}
	return fmt.Sprintf("%s: %s: %v", operation, what, cause)
}
