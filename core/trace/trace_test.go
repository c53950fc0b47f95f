package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dogwoodglade/core/event"
	"dogwoodglade/core/invariant"
	"dogwoodglade/core/trace"
)

// duplicateStart returns events in which the same attempt starts on two agents, which violates P1.
func duplicateStart() []event.Event {
	e := func(second int64, process string, n event.Number, state string, attempt int) event.Event {
		return event.Event{
			Stamp: event.Stamp{Wall: second * 1e9}, Process: process, Number: n, Customer: "c", Key: "k",
			State: state, Attempt: attempt,
		}
	}
	return []event.Event{
		e(1, "agent-1", event.TaskStarted, "", 1),
		e(2, "agent-2", event.TaskStarted, "", 1),
		e(3, "entry-1", event.JobAnswered, "Failed", 0),
	}
}

// Guards against an event that changes when it is written and read, which can change the verdicts on the trace.
func TestWriteReadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOf(rapid.Custom(func(t *rapid.T) event.Event {
			return event.Event{
				Stamp:   event.Stamp{Wall: rapid.Int64Min(1).Draw(t, "wall"), Logical: rapid.Uint32().Draw(t, "logical")},
				Process: "p", Number: rapid.SampledFrom(event.Numbers()).Draw(t, "number"),
				Key: rapid.String().Draw(t, "key"), Task: rapid.IntRange(-1, 3).Draw(t, "task"),
				Version: rapid.Uint64().Draw(t, "version"), Limit: rapid.IntRange(0, 3).Draw(t, "limit"),
			}
		})).Draw(t, "events")
		var text bytes.Buffer
		if err := trace.Write(&text, events); err != nil {
			t.Fatal(err)
		}
		got, err := trace.Read(&text)
		if err != nil || len(got) != len(events) {
			t.Fatalf("read %d of %d events: %v", len(got), len(events), err)
		}
		for i := range got {
			if got[i] != events[i] {
				t.Fatalf("got %+v, want %+v", got[i], events[i])
			}
		}
	})
}

// Guards against a trace that is truncated or misspelt but read without an error, which would pass all checks.
func TestReadReportsMalformedLines(t *testing.T) {
	good := `{"Stamp":{"Wall":1},"Process":"p","Number":1001}` + "\n\n"
	for _, bad := range []string{`{"Stamp":`, `{"Nmber":1}`, `{"Process":"p","Number":1001}`, good[:48] + good} {
		var line *trace.LineError
		if _, err := trace.Read(strings.NewReader(good + bad)); !errors.As(err, &line) || line.Line != 3 {
			t.Errorf("read %q: got %v", bad, err)
		}
	}
}

// Guards against a check that misses a difference from the expectation and so accepts a faulty site.
func TestExpectationDiff(t *testing.T) {
	for text, want := range map[string]string{
		"Promises: {P1: Broken}\nAnswers: {Failed: 1, Complete: 0}\nEvents: {TaskStarted: 2}": "",
		"":                                   "P1: got Broken, want Kept",
		"Promises: {P1: Broken, P2: Broken}": "P2: got Kept, want Broken",
		"Promises: {P1: Broken}\nAnswers: {Failed: 0}":            "Answers.Failed: got 1, want 0",
		"Promises: {P1: Broken}\nEvents: {TaskEnded: 1}":          "Events.TaskEnded: got 0, want 1",
		"Promises: {P9: Kept, P1: Fine}\nAnswers: {Completed: 1}": "error",
		"Promise: {P1: Kept}":                                     "error",
	} {
		x, err := trace.ReadExpectation([]byte(text))
		if (err != nil) != (want == "error") {
			t.Errorf("%q: %v", text, err)
		}
		var got []string
		if err == nil {
			for _, d := range x.Diff(duplicateStart()) {
				got = append(got, d.String())
				if d.Key == string(invariant.P1) && len(d.Violations) != 1 {
					t.Errorf("%q: violations %v", text, d.Violations)
				}
			}
			if strings.Join(got, "\n") != want {
				t.Errorf("%q: got %q, want %q", text, got, want)
			}
		}
	}
}
