package trace

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"dogwoodglade/core/event"
	"dogwoodglade/core/invariant"
)

// Outcome is the expected verdict on a promise.
type Outcome string

// Outcomes of a promise.
const (
	Kept   Outcome = "Kept"
	Broken Outcome = "Broken"
)

// Expectation states the outcomes of a trace. A promise that is not named is expected to be kept; a count
// that is not named is not checked. A named count of 0 expects none.
type Expectation struct {
	Promises map[invariant.Promise]Outcome `yaml:"Promises"`
	Answers  map[string]int                `yaml:"Answers"` // answers of owners, by state
	Events   map[string]int                `yaml:"Events"`  // by name of the event
}

// ExpectationError reports a key or value of an expectation that cannot be checked.
type ExpectationError struct {
	Key  string
	Want string
}

// Error implements error.
func (e *ExpectationError) Error() string {
	return fmt.Sprintf("read expectation: %s: want %s", e.Key, e.Want)
}

// ReadExpectation reads the YAML form of an expectation. Unknown keys are errors.
func ReadExpectation(data []byte) (Expectation, error) {
	var x Expectation
	if err := yaml.UnmarshalWithOptions(data, &x, yaml.Strict()); err != nil {
		return x, errors.Wrap(err, "read expectation")
	}
	return x, x.Validate()
}

// Validate reports all names and values that cannot be checked, joined into one error.
func (x Expectation) Validate() error {
	var errs []error
	check := func(ok bool, key, want string) {
		if !ok {
			errs = append(errs, errors.WithStack(&ExpectationError{Key: key, Want: want}))
		}
	}
	for _, p := range slices.Sorted(maps.Keys(x.Promises)) {
		check(slices.Contains(promises(), p), "Promises."+string(p), "P1 to P8")
		check(x.Promises[p] == Kept || x.Promises[p] == Broken, "Promises."+string(p), "Kept or Broken")
	}
	for _, state := range slices.Sorted(maps.Keys(x.Answers)) {
		known := []string{"Complete", "Failed", "NotRun", "OutcomeUnknown"}
		check(slices.Contains(known, state), "Answers."+state, "Complete, Failed, NotRun or OutcomeUnknown")
	}
	names := eventNames()
	for _, name := range slices.Sorted(maps.Keys(x.Events)) {
		check(names[name], "Events."+name, "the name of an event")
	}
	return errors.Join(errs...)
}

func promises() []invariant.Promise {
	var names []invariant.Promise
	for _, v := range invariant.Check(nil) {
		names = append(names, v.Promise)
	}
	return names
}

func eventNames() map[string]bool {
	names := map[string]bool{}
	for _, n := range event.Numbers() {
		names[n.String()] = true
	}
	return names
}

// Difference is one stated outcome that a trace does not have.
type Difference struct {
	Key        string
	Want, Got  string
	Violations []invariant.Violation // of a promise that was expected to be kept
}

// String formats the difference without the violations.
func (d Difference) String() string { return fmt.Sprintf("%s: got %s, want %s", d.Key, d.Got, d.Want) }

// Replay judges the events and returns what differs from the expectation.
func (x Expectation) Replay(events []event.Event) []Difference {
	var differences []Difference
	for _, v := range invariant.Check(events) {
		want, got := x.Promises[v.Promise], Kept
		if want == "" {
			want = Kept
		}
		if !v.Kept() {
			got = Broken
		}
		if want != got {
			differences = append(differences, Difference{
				Key: string(v.Promise), Want: string(want), Got: string(got), Violations: v.Violations,
			})
		}
	}
	differences = append(differences, compare("Answers.", x.Answers, invariant.Answers(events))...)
	counts := map[string]int{}
	for _, e := range events {
		counts[e.Number.String()]++
	}
	return append(differences, compare("Events.", x.Events, counts)...)
}

func compare(prefix string, want, got map[string]int) []Difference {
	var differences []Difference
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if want[name] != got[name] {
			differences = append(differences, Difference{
				Key: prefix + name, Want: fmt.Sprint(want[name]), Got: fmt.Sprint(got[name]),
			})
		}
	}
	return differences
}
