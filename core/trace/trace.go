// Package trace reads and writes recorded timelines and checks them against expected results.
//
// A trace is a text file with one event per line, as JSON, as printed by "dogwoodglade timeline --format json".
// The trace command and tests use this package. It keeps no state. Errors in a trace are reported with their line
// number.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
)

// MaxLine is the maximum length of a line of a trace, in bytes.
const MaxLine = 1 << 20

// LineError reports a line of a trace that is not an event.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("read trace: line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// MissingFieldError reports an event without a required field.
type MissingFieldError struct{ Field string }

// Error implements error.
func (e *MissingFieldError) Error() string { return "event has no " + e.Field }

// Write writes events as a trace.
func Write(w io.Writer, events []event.Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return errors.Wrap(buffered.Flush(), "write trace")
}

// Read reads a trace. Empty lines are skipped; unknown fields are errors. Task may be omitted and is then -1.
func Read(r io.Reader) ([]event.Event, error) {
	var events []event.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxLine)
	line := 0
	for lines.Scan() {
		line++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		e, err := decode(lines.Bytes())
		if err != nil {
			return nil, errors.WithStack(&LineError{Line: line, Err: err})
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.WithStack(&LineError{Line: line + 1, Err: err})
	}
	return events, nil
}

// decode decodes one line of a trace and checks that the required fields are set.
func decode(line []byte) (event.Event, error) {
	e := event.Event{Task: -1}
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, err
	}
	if decoder.More() {
		return e, errors.New("line has more than one JSON value")
	}
	switch {
	case e.Number == 0:
		return e, &MissingFieldError{Field: "Number"}
	case e.Process == "":
		return e, &MissingFieldError{Field: "Process"}
	case e.Stamp.Wall == 0:
		return e, &MissingFieldError{Field: "Stamp"}
	}
	return e, nil
}
