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

// Outcome is the expected or actual result of checking a guarantee.
type Outcome string

// Outcomes of a guarantee.
const (
	Kept   Outcome = "Kept"
	Broken Outcome = "Broken"
)

// Expectation lists the expected results of a trace. A guarantee that is not listed is expected to hold; a count
// that is not listed is not checked. A count listed as 0 expects no such answer or event.
type Expectation struct {
	Guarantees map[invariant.Guarantee]Outcome `yaml:"Promises"`
	Answers    map[string]int                  `yaml:"Answers"` // answered jobs, by state of the answer
	Events     map[string]int                  `yaml:"Events"`  // events, by name
}

// ExpectationError reports an unknown name or value in an expectation.
type ExpectationError struct {
	Key  string
	Want string
}

// Error implements error.
func (e *ExpectationError) Error() string {
	return fmt.Sprintf("read expectation: %s: want %s", e.Key, e.Want)
}

// ReadExpectation parses and validates an expectation in YAML. Unknown keys are errors.
func ReadExpectation(data []byte) (Expectation, error) {
	var x Expectation
	if err := yaml.UnmarshalWithOptions(data, &x, yaml.Strict()); err != nil {
		return x, errors.Wrap(err, "read expectation")
	}
	return x, x.Validate()
}

// Validate returns all unknown names and values, joined into one error.
func (x Expectation) Validate() error {
	var errs []error
	check := func(ok bool, key, want string) {
		if !ok {
			errs = append(errs, errors.WithStack(&ExpectationError{Key: key, Want: want}))
		}
	}
	for _, p := range slices.Sorted(maps.Keys(x.Guarantees)) {
		check(slices.Contains(guarantees(), p), "Promises."+string(p), "P1 to P8")
		check(x.Guarantees[p] == Kept || x.Guarantees[p] == Broken, "Promises."+string(p), "Kept or Broken")
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

// guarantees returns all guarantees that invariant.Check checks.
func guarantees() []invariant.Guarantee {
	var names []invariant.Guarantee
	for _, v := range invariant.Check(nil) {
		names = append(names, v.Guarantee)
	}
	return names
}

// eventNames returns the set of names of all kinds of events.
func eventNames() map[string]bool {
	names := map[string]bool{}
	for _, n := range event.Numbers() {
		names[n.String()] = true
	}
	return names
}

// Difference is an expected result that differs from the actual one.
type Difference struct {
	Key        string
	Want, Got  string
	Violations []invariant.Violation // of a guarantee that was expected to hold but was violated
}

// String formats the difference, without the violations, as one line.
func (d Difference) String() string { return fmt.Sprintf("%s: got %s, want %s", d.Key, d.Got, d.Want) }

// Diff checks the events and returns the differences from the expectation.
func (x Expectation) Diff(events []event.Event) []Difference {
	var differences []Difference
	for _, v := range invariant.Check(events) {
		want, got := x.Guarantees[v.Guarantee], Kept
		if want == "" {
			want = Kept
		}
		if !v.Holds() {
			got = Broken
		}
		if want != got {
			differences = append(differences, Difference{
				Key: string(v.Guarantee), Want: string(want), Got: string(got), Violations: v.Violations,
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

// compare returns the differences of the listed counts. The prefix is put before their keys.
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
