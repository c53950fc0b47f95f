// Package evacuation holds what a process knows about the data centres that operators have evacuated: no task is started
// on the backend servers of an evacuated one until the evacuation is taken back.
//
// Operators write one row for each evacuated data centre to the store. Entries follow these rows, and pass them on to
// each other and to the agents. A process never returns to an earlier state, whatever order messages arrive in, because
// each state carries the position in the store up to which it is complete.
//
// The package opens no connections and reads no clock. It is used by batchentry, batchagent and core/dispatch.
package evacuation

import (
	"maps"
	"slices"
)

// State is the set of evacuated data centres, complete as of a position in the store. It is immutable.
type State struct {
	position uint64
	versions map[string]uint64 // of the operators' rows, by data centre
}

// NewState returns the state at a position: the versions of the operators' rows, by data centre.
func NewState(position uint64, versions map[string]uint64) State {
	return State{position: position, versions: maps.Clone(versions)}
}

// Position returns the position up to which the state is complete; 0 if nothing is known.
func (s State) Position() uint64 { return s.position }

// Versions returns the versions of the operators' rows, by data centre.
func (s State) Versions() map[string]uint64 { return maps.Clone(s.versions) }

// DataCentres returns the evacuated data centres in order.
func (s State) DataCentres() []string { return slices.Sorted(maps.Keys(s.versions)) }

// Has reports whether a data centre is evacuated.
func (s State) Has(dataCentre string) bool {
	_, ok := s.versions[dataCentre]
	return ok
}

// With returns the state with an evacuated data centre added.
func (s State) With(dataCentre string, version uint64) State {
	versions := make(map[string]uint64, len(s.versions)+1)
	maps.Copy(versions, s.versions)
	versions[dataCentre] = version
	return State{position: s.position, versions: versions}
}

// Without returns the state with the evacuation of a data centre taken back.
func (s State) Without(dataCentre string) State {
	versions := maps.Clone(s.versions)
	delete(versions, dataCentre)
	return State{position: s.position, versions: versions}
}

// WithPosition returns the state as complete up to a position, if that is higher.
func (s State) WithPosition(position uint64) State {
	return State{position: max(s.position, position), versions: s.versions}
}

// Newer returns the candidate and true if it is complete up to a higher position than s, and s and false otherwise.
func (s State) Newer(candidate State) (State, bool) {
	if candidate.position <= s.position {
		return s, false
	}
	return candidate, true
}

// SameEvacuations reports whether two states have the same rows. Their positions may differ, because a position rises
// with each write to the store.
func (s State) SameEvacuations(other State) bool { return maps.Equal(s.versions, other.versions) }
