package store

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRequest limits the body of a request. It fits a transaction of MaxTransaction bytes in JSON, with values in base64.
const maxRequest = 2 * MaxTransaction

type getRequest struct{ Keys []string }

type listRequest struct{ Prefix string }

type rowsResponse struct{ Rows []Row }

type commitResponse struct{ Version uint64 }

type namesResponse struct{ Names []string }

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

type errorResponse struct {
	Type                   errorKind
	Message                string  `json:",omitempty"`
	Operation              string  `json:",omitempty"`
	Name                   string  `json:",omitempty"`
	Current                []Check `json:",omitempty"`
	RetryAfterMicroseconds int64   `json:",omitempty"`
	Size                   int     `json:",omitempty"`
	Limit                  int     `json:",omitempty"`
}

func encodeError(err error) (int, errorResponse) {
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
		return http.StatusConflict, errorResponse{Type: kindConflict, Current: conflict.Current}
	case errors.As(err, &rateLimited):
		return http.StatusTooManyRequests, errorResponse{
			Type: kindRateLimited, Operation: rateLimited.Operation,
			RetryAfterMicroseconds: rateLimited.RetryAfter.Microseconds(),
		}
	case errors.As(err, &notFound):
		return http.StatusNotFound, errorResponse{Type: kindNotFound, Name: notFound.Name}
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, errorResponse{
			Type: kindTooLarge, Operation: tooLarge.Operation, Size: tooLarge.Size, Limit: tooLarge.Limit,
		}
	case errors.As(err, &request):
		return http.StatusBadRequest, errorResponse{
			Type: kindRequest, Operation: request.Operation, Message: request.Reason,
		}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, errorResponse{Type: kindUnavailable, Operation: unavailable.Operation}
	}
	return http.StatusInternalServerError, errorResponse{Type: kindOutcomeUnknown, Message: err.Error()}
}

// decodeError returns the typed error of an error response, or nil if its type is unknown.
func decodeError(operation string, a errorResponse) error {
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

// readAtMost reads a body and returns a TooLargeError if it exceeds limit bytes.
func readAtMost(operation string, body io.Reader, limit int) ([]byte, error) {
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
	data, err := readAtMost(operation, body, maxRequest)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, request); err != nil {
		return errors.WithStack(&RequestError{Operation: operation, Reason: err.Error()})
	}
	return nil
}
