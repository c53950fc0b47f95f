// Package trace reads and writes recorded time lines and checks them against stated outcomes.
//
// A trace is a text file with one event a line, as JSON: what "dogwoodglade timeline --format json" prints.
// The trace command and tests call this package. It keeps no state, and a file that cannot be read is
// reported with its line.
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

// MaxLine is the longest line of a trace, in bytes.
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

// MissingFieldError reports an event without a field that every event has.
type MissingFieldError struct{ Field string }

// Error implements error.
func (e *MissingFieldError) Error() string { return "the event lacks its " + e.Field }

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

// Read reads a trace. Empty lines are skipped; unknown fields are errors. Events without a task may leave
// Task out.
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

func decode(line []byte) (event.Event, error) {
	e := event.Event{Task: -1}
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return e, err
	}
	if decoder.More() {
		return e, errors.New("more than one value")
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
