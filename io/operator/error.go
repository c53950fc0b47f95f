package operator

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/table"
	"dogwoodglade/internal/strict"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/tables"
)

// Error types. Edits can also fail with the other types that tables.ErrorType returns.
const (
	Invalid        = "Invalid"
	NotFound       = "NotFound"
	Conflict       = "Conflict"
	TooLarge       = "TooLarge"
	Unavailable    = "Unavailable"
	OutcomeUnknown = "OutcomeUnknown"
	Unreachable    = "Unreachable" // the client received no valid response
)

// Error is the body of an error response, and the error that Client returns.
type Error struct {
	Status  int `json:"-"`
	Type    string
	Message string // says what is wrong and what to do
	// Version is the current version of the table after a conflict. If the outcome is unknown, it is the version to
	// expect when the edit is sent again.
	Version uint64 `json:",omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Type + ": " + e.Message }

func badRequestError(format string, values ...any) error {
	return errors.WithStack(&Error{Status: http.StatusBadRequest, Type: Invalid, Message: fmt.Sprintf(format, values...)})
}

var statuses = map[string]int{
	Invalid:        http.StatusUnprocessableEntity,
	"MissingPool":  http.StatusUnprocessableEntity,
	"TableFull":    http.StatusUnprocessableEntity,
	NotFound:       http.StatusNotFound,
	Conflict:       http.StatusConflict,
	"PoolInUse":    http.StatusConflict,
	"EditIDReused": http.StatusConflict,
	TooLarge:       http.StatusRequestEntityTooLarge,
	"RateLimited":  http.StatusServiceUnavailable,
	"StaleStore":   http.StatusServiceUnavailable,
	Unavailable:    http.StatusServiceUnavailable,
	OutcomeUnknown: http.StatusGatewayTimeout,
}

func encodeError(err error) *Error {
	var (
		apiErr         *Error
		validationErr  *strict.ValidationError
		tooLarge       *httpserver.TooLargeError
		busy           *httpserver.BusyError
		slow           *httpserver.SlowError
		conflict       *table.ConflictError
		outcomeUnknown *table.OutcomeUnknownError
	)
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &validationErr):
		return &Error{Status: statuses[Invalid], Type: Invalid, Message: validationErr.Error()}
	case errors.As(err, &tooLarge):
		return &Error{Status: statuses[TooLarge], Type: TooLarge, Message: fmt.Sprintf("the row is over %d bytes; "+
			"send a smaller one", tooLarge.Limit)}
	case errors.As(err, &busy):
		return &Error{Status: statuses[Unavailable], Type: Unavailable, Message: "no edit was made, because the process " +
			"has too many unfinished requests; repeat the edit later"}
	case errors.As(err, &slow):
		return &Error{Status: http.StatusRequestTimeout, Type: Invalid, Message: fmt.Sprintf("no edit was made, because "+
			"the row did not arrive within %v", slow.Timeout)}
	}
	e := &Error{Type: tables.ErrorType(err), Message: err.Error(), Status: http.StatusInternalServerError}
	if status, ok := statuses[e.Type]; ok {
		e.Status = status
	}
	if e.Type == Unavailable {
		e.Message = "no edit was made, because the platform is unavailable; repeat the edit later: " + e.Message
	}
	if errors.As(err, &conflict) {
		e.Version = conflict.Current
	}
	if errors.As(err, &outcomeUnknown) {
		e.Version = outcomeUnknown.BaseVersion
	}
	return e
}
