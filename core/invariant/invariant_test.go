package invariant_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"dogwoodglade/core/event"
	"dogwoodglade/core/invariant"
)

// parse reads lines such as "2.5s agent-1 TaskStarted Key=k Attempt=1". Events with a Key have the customer
// "c"; those without a Task have task -1, but task 0 if they have an Attempt.
func parse(t *testing.T, text string) []event.Event {
	t.Helper()
	numbers := map[string]event.Number{}
	for n := event.Number(1000); n < 7000; n++ {
		numbers[n.String()] = n
	}
	var events []event.Event
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		at, err := time.ParseDuration(words[0])
		number, ok := numbers[words[2]]
		if err != nil || !ok {
			t.Fatalf("parse %q: %v", line, err)
		}
		e := event.Event{Stamp: event.Stamp{Wall: int64(at)}, Process: words[1], Number: number, Task: -1}
		if strings.Contains(line, "Attempt=") {
			e.Task = 0
		}
		for _, word := range words[3:] {
			name, value, _ := strings.Cut(word, "=")
			field := reflect.ValueOf(&e).Elem().FieldByName(name)
			if field.Kind() == reflect.String {
				field.SetString(value)
			} else if err := json.Unmarshal([]byte(value), field.Addr().Interface()); err != nil {
				t.Fatalf("parse %q: %v", line, err)
			}
		}
		if e.Key != "" {
			e.Customer = "c"
		}
		events = append(events, e)
	}
	return events
}

// Guards against a check that accepts a timeline which violates a guarantee, or rejects one which does not.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/verdicts", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, verdict := range invariant.Check(parse(t, d.Input)) {
			for _, v := range verdict.Violations {
				fmt.Fprintf(&out, "%s: %s:", verdict.Guarantee, v.Reason)
				for _, e := range v.Events {
					fmt.Fprintf(&out, " %v@%v", e.Number, time.Duration(e.Stamp.Wall))
				}
				out.WriteByte('\n')
			}
		}
		if out.Len() == 0 {
			return "no violations\n"
		}
		return out.String()
	})
}

// Guards against a job that is answered again after a handover and counted twice.
func TestAnswersCountsEachJobOnce(t *testing.T) {
	complete := event.Event{Number: event.JobAnswered, Customer: "a", Key: "k", Task: -1, State: "Complete"}
	other := complete
	other.Key = "l"
	got := invariant.Answers([]event.Event{complete, other, complete})
	if len(got) != 1 || got["Complete"] != 2 {
		t.Fatalf("got %v", got)
	}
}
