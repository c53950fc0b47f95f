package store

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRequest bounds the body of a request: a transaction in JSON with base64 values.
const maxRequest = 2 * MaxTransaction

type getRequest struct{ Keys []string }

type listRequest struct{ Prefix string }

type rowsAnswer struct{ Rows []Row }

type commitAnswer struct{ Version uint64 }

type namesAnswer struct{ Names []string }

type faultsBody struct {
	Down              bool
	DelayMilliseconds int64
	LostAnswers       float64
}

type errorKind string

const (
	kindUnavailable    errorKind = "Unavailable"
	kindOutcomeUnknown errorKind = "OutcomeUnknown"
	kindConflict       errorKind = "Conflict"
	kindRateLimited    errorKind = "RateLimited"
	kindNotFound       errorKind = "NotFound"
	kindTooLarge       errorKind = "TooLarge"
	kindRequest        errorKind = "Request"
)

type errorAnswer struct {
	Type                   errorKind
	Message                string  `json:",omitempty"`
	Operation              string  `json:",omitempty"`
	Name                   string  `json:",omitempty"`
	Current                []Check `json:",omitempty"`
	RetryAfterMicroseconds int64   `json:",omitempty"`
	Size                   int     `json:",omitempty"`
	Limit                  int     `json:",omitempty"`
}

func encodeError(err error) (int, errorAnswer) {
	var (
		unavailable *UnavailableError
		conflict    *ConflictError
		rateLimited *RateLimitedError
		notFound    *NotFoundError
		tooLarge    *TooLargeError
		request     *RequestError
	)
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, errorAnswer{Type: kindConflict, Current: conflict.Current}
	case errors.As(err, &rateLimited):
		return http.StatusTooManyRequests, errorAnswer{
			Type: kindRateLimited, Operation: rateLimited.Operation,
			RetryAfterMicroseconds: rateLimited.RetryAfter.Microseconds(),
		}
	case errors.As(err, &notFound):
		return http.StatusNotFound, errorAnswer{Type: kindNotFound, Name: notFound.Name}
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, errorAnswer{
			Type: kindTooLarge, Operation: tooLarge.Operation, Size: tooLarge.Size, Limit: tooLarge.Limit,
		}
	case errors.As(err, &request):
		return http.StatusBadRequest, errorAnswer{
			Type: kindRequest, Operation: request.Operation, Message: request.Reason,
		}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, errorAnswer{Type: kindUnavailable, Operation: unavailable.Operation}
	}
	return http.StatusInternalServerError, errorAnswer{Type: kindOutcomeUnknown, Message: err.Error()}
}

// decodeError returns the typed error of an answer, or nil if the answer is not one of ours.
func decodeError(operation string, a errorAnswer) error {
	switch a.Type {
	case kindUnavailable:
		return &UnavailableError{Operation: operation}
	case kindOutcomeUnknown:
		return &OutcomeUnknownError{Operation: operation, Cause: errors.New(a.Message)}
	case kindConflict:
		return &ConflictError{Current: a.Current}
	case kindRateLimited:
		return &RateLimitedError{
			Operation: operation, RetryAfter: time.Duration(a.RetryAfterMicroseconds) * time.Microsecond,
		}
	case kindNotFound:
		return &NotFoundError{Name: a.Name}
	case kindTooLarge:
		return &TooLargeError{Operation: operation, Size: a.Size, Limit: a.Limit}
	case kindRequest:
		return &RequestError{Operation: operation, Reason: a.Message}
	}
	return nil
}

// readBounded reads a body of at most limit bytes.
func readBounded(operation string, body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, operation)
	}
	if len(data) > limit {
		return nil, errors.WithStack(&TooLargeError{Operation: operation, Size: len(data), Limit: limit})
	}
	return data, nil
}

func decodeRequest(operation string, body io.Reader, request any) error {
	data, err := readBounded(operation, body, maxRequest)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, request); err != nil {
		return errors.WithStack(&RequestError{Operation: operation, Reason: err.Error()})
	}
	return nil
}
