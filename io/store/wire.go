package store

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRequest limits the body of a request. A transaction of MaxTransaction bytes fits, in JSON with values in base64.
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

type errorType string

const (
	typeUnavailable    errorType = "Unavailable"
	typeOutcomeUnknown errorType = "OutcomeUnknown"
	typeConflict       errorType = "Conflict"
	typeRateLimited    errorType = "RateLimited"
	typeNotFound       errorType = "NotFound"
	typeTooLarge       errorType = "TooLarge"
	typeRequest        errorType = "Request"
)

type errorResponse struct {
	Type                   errorType
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
		return http.StatusConflict, errorResponse{Type: typeConflict, Current: conflict.Current}
	case errors.As(err, &rateLimited):
		return http.StatusTooManyRequests, errorResponse{
			Type: typeRateLimited, Operation: rateLimited.Operation,
			RetryAfterMicroseconds: rateLimited.RetryAfter.Microseconds(),
		}
	case errors.As(err, &notFound):
		return http.StatusNotFound, errorResponse{Type: typeNotFound, Name: notFound.Name}
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, errorResponse{
			Type: typeTooLarge, Operation: tooLarge.Operation, Size: tooLarge.Size, Limit: tooLarge.Limit,
		}
	case errors.As(err, &request):
		return http.StatusBadRequest, errorResponse{
			Type: typeRequest, Operation: request.Operation, Message: request.Reason,
		}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, errorResponse{Type: typeUnavailable, Operation: unavailable.Operation}
	}
	return http.StatusInternalServerError, errorResponse{Type: typeOutcomeUnknown, Message: err.Error()}
}

// decodeError returns the typed error of an error response, or nil if its type is unknown.
func decodeError(operation string, r errorResponse) error {
	switch r.Type {
	case typeUnavailable:
		return &UnavailableError{Operation: operation}
	case typeOutcomeUnknown:
		return &OutcomeUnknownError{Operation: operation, Cause: errors.New(r.Message)}
	case typeConflict:
		return &ConflictError{Current: r.Current}
	case typeRateLimited:
		return &RateLimitedError{
			Operation: operation, RetryAfter: time.Duration(r.RetryAfterMicroseconds) * time.Microsecond,
		}
	case typeNotFound:
		return &NotFoundError{Name: r.Name}
	case typeTooLarge:
		return &TooLargeError{Operation: operation, Size: r.Size, Limit: r.Limit}
	case typeRequest:
		return &RequestError{Operation: operation, Reason: r.Message}
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
