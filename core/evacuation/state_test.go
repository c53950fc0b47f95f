package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/evacuation"
)

// Guards against a process that returns to an earlier state, and against processes that end up with different ones,
// whatever order messages arrive in and however often. The store's states are a history; each process receives some of
// them, directly or as another one knew them.
func TestKnowledgeConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		names := []string{"dc-1", "dc-2", "dc-3"}
		state := evacuation.NewState(1, nil)
		history := []evacuation.State{state}
		for range rapid.IntRange(1, 12).Draw(r, "edits") {
			name := rapid.SampledFrom(names).Draw(r, "data centre")
			if state.Has(name) {
				state = state.Without(name)
			} else {
				state = state.With(name, state.Position()+1)
			}
			state = state.WithPosition(state.Position() + uint64(rapid.IntRange(1, 3).Draw(r, "step")))
			history = append(history, state)
		}
		processes := make([]evacuation.Knowledge, 3)
		now := time.Unix(0, 0)
		receive := func(i int, s evacuation.State, source string) {
			now = now.Add(time.Second)
			before := processes[i]
			after, changes := before.With(now, s, time.Time{}, source)
			if after.State().Position() < before.State().Position() {
				r.Fatalf("process %d returned from position %d to %d", i, before.State().Position(), after.State().Position())
			}
			known := map[string]bool{}
			for _, x := range before.Evacuations() {
				known[x.DataCentre] = true
			}
			for _, c := range changes {
				if known[c.DataCentre] != c.TakenBack || c.Source != source {
					r.Fatalf("change %+v of %v", c, before.Evacuations())
				}
				known[c.DataCentre] = !c.TakenBack
			}
			for _, name := range names {
				if known[name] != after.State().Has(name) {
					r.Fatalf("the changes %v do not lead from %v to %v", changes, before.Evacuations(), after.Evacuations())
				}
			}
			processes[i] = after
		}
		for range rapid.IntRange(0, 30).Draw(r, "messages") {
			to := rapid.IntRange(0, len(processes)-1).Draw(r, "to")
			if from := rapid.IntRange(0, len(processes)).Draw(r, "from"); from < len(processes) {
				receive(to, processes[from].State(), fmt.Sprint("process-", from))
			} else {
				receive(to, rapid.SampledFrom(history).Draw(r, "read"), "store")
			}
		}
		receive(0, state, "store")
		for i := range processes {
			receive(i, processes[0].State(), "process-0")
			if got := processes[i].State(); !got.SameEvacuations(state) || got.Position() != state.Position() {
				r.Fatalf("process %d ended with %v, want %v", i, got.DataCentres(), state.DataCentres())
			}
		}
	})
}

// Guards against knowledge that counts as old although an older state was received later: the newer one was complete
// then too.
func TestAge(t *testing.T) {
	begin := time.Unix(100, 0)
	k, _ := evacuation.Knowledge{}.With(begin, evacuation.NewState(7, nil), begin, "store")
	k, _ = k.With(begin.Add(3*time.Second), evacuation.NewState(6, nil), begin.Add(2*time.Second), "entry-2")
	k, _ = k.With(begin.Add(3*time.Second), evacuation.NewState(7, nil), begin.Add(time.Second), "entry-3")
	if age, known := k.Age(begin.Add(3 * time.Second)); !known || age != time.Second {
		t.Errorf("got %v, %t", age, known)
	}
	if _, known := (evacuation.Knowledge{}).Age(begin); known {
		t.Error("a process that knows nothing has an age")
	}
}
