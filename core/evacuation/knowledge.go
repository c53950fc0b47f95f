package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Evacuation is an evacuated data centre as a process knows it.
type Evacuation struct {
	DataCentre string
	Version    uint64    // of the operators' row
	Since      time.Time // when the process learned of it
	Source     string    // the store, or the process that told it
}

// Change is a change of what a process knows: a data centre was evacuated, or its evacuation was taken back.
type Change struct {
	Evacuation
	TakenBack bool
	Source    string // of the change
}

// Knowledge is the newest state that a process has learned, how fresh it is, and where each part came from. It is
// immutable.
type Knowledge struct {
	state       State
	confirmedAt time.Time
	evacuations map[string]Evacuation // by data centre
}

// With returns the knowledge after a state was received from a source. The state was complete in the store at
// confirmedAt or later; zero means that this is not known. An older state changes nothing, but it may show that the
// present one was complete at that time.
func (k Knowledge) With(now time.Time, s State, confirmedAt time.Time, source string) (Knowledge, []Change) {
	if confirmedAt.After(k.confirmedAt) {
		k.confirmedAt = confirmedAt
	}
	next, newer := k.state.Newer(s)
	if !newer {
		return k, nil
	}
	known, changes := map[string]Evacuation{}, []Change(nil)
	for _, name := range next.DataCentres() {
		x, ok := k.evacuations[name]
		if !ok {
			x = Evacuation{DataCentre: name, Since: now, Source: source}
		}
		x.Version = next.versions[name]
		if known[name] = x; !ok {
			changes = append(changes, Change{Evacuation: x, Source: source})
		}
	}
	for _, name := range k.state.DataCentres() {
		if !next.Has(name) {
			changes = append(changes, Change{Evacuation: k.evacuations[name], TakenBack: true, Source: source})
		}
	}
	k.state, k.evacuations = next, known
	return k, changes
}

// State returns the newest state that was received.
func (k Knowledge) State() State { return k.state }

// Evacuations returns the evacuated data centres in order.
func (k Knowledge) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(k.evacuations))
	for _, name := range slices.Sorted(maps.Keys(k.evacuations)) {
		list = append(list, k.evacuations[name])
	}
	return list
}

// Age returns how long ago the state was certainly complete in the store, or false if that is not known.
func (k Knowledge) Age(now time.Time) (age time.Duration, known bool) {
	if k.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(k.confirmedAt), 0), true
}
