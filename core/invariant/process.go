package invariant

import "dogwoodglade/core/event"

// process holds the events of one process name. A restart of the process is marked by ProcessStarted.
type process struct {
	timeline *timeline
	events   []event.Event
}

// startsAfterLeaving checks P6.
func (p *process) startsAfterLeaving() []Violation {
	var violations []Violation
	leaving := map[string]event.Event{} // by backend server
	for _, e := range p.events {
		switch e.Number {
		case event.BackendLeaving:
			if _, ok := leaving[e.Peer]; !ok {
				leaving[e.Peer] = e
			}
		case event.BackendAnnounced:
			delete(leaving, e.Peer)
		case event.TaskStarted:
			if left, ok := leaving[e.Peer]; ok && e.Stamp.Time().Sub(left.Stamp.Time()) > LeaveLimit {
				violations = append(violations, newViolation("a start on a backend server that was leaving", left, e))
			}
		}
	}
	return violations
}

// interruptedByPlannedStop checks P7.
func (p *process) interruptedByPlannedStop() []Violation {
	type key struct {
		jobID
		attemptID
	}
	var violations []Violation
	var draining event.Event
	running := map[key]event.Event{}
	for _, e := range p.events {
		k := key{jobID{e.Customer, e.Key}, attemptID{e.Task, e.Attempt}}
		switch e.Number {
		case event.ProcessStarted:
			draining = event.Event{}
			clear(running)
		case event.ProcessDraining:
			draining = e
		case event.TaskStarted:
			running[k] = e
		case event.TaskEnded, event.TaskLost:
			delete(running, k)
		case event.ProcessStopped:
			if draining.Number == 0 {
				break
			}
			if e.Count > 0 {
				violations = append(violations, newViolation("a planned stop interrupted requests", draining, e))
			}
			for _, started := range p.events {
				if running[key{jobID{started.Customer, started.Key}, attemptID{started.Task, started.Attempt}}] == started {
					violations = append(violations, newViolation("a planned stop interrupted a task", started, draining, e))
				}
			}
		}
	}
	return violations
}

// revertedOrMissedEdits checks P8.
func (p *process) revertedOrMissedEdits() []Violation {
	var violations []Violation
	adopted := map[string]event.Event{} // by table
	for _, e := range p.events {
		switch e.Number {
		case event.ProcessStarted:
			clear(adopted)
		case event.TablesAdopted:
			if earlier, ok := adopted[e.State]; ok && e.Version < earlier.Version {
				violations = append(violations, newViolation("a table reverted to a lower version", earlier, e))
			}
			adopted[e.State] = e
		}
	}
	for _, edit := range p.timeline.edits {
		if late, events := p.missedEdit(edit); late {
			violations = append(violations, newViolation("an edit was not adopted in time", events...))
		}
	}
	return violations
}

// missedEdit reports whether the process did not adopt the edit within AdoptLimit, although it had adopted the table
// before the edit and neither stopped nor started in that time. The events are the edit and its later adoption, if
// there is one.
func (p *process) missedEdit(edit event.Event) (late bool, events []event.Event) {
	var version uint64
	hadTable := false
	due := edit.Stamp.Time().Add(AdoptLimit)
	for _, e := range p.events {
		after := e.Stamp.Time().After(due)
		switch {
		case e.Number == event.TablesAdopted && e.State == edit.State:
			if after && version < edit.Version && hadTable && e.Version >= edit.Version {
				return true, []event.Event{edit, e}
			}
			if !after {
				version = max(version, e.Version)
				hadTable = hadTable || e.Stamp.Compare(edit.Stamp) < 0
			}
		case !after && (e.Number == event.ProcessStarted || e.Number == event.ProcessStopped):
			version, hadTable = 0, false
		}
	}
	last := p.events[len(p.events)-1].Stamp.Time()
	return hadTable && version < edit.Version && last.After(due), []event.Event{edit}
}
