package invariant

import "dogwoodglade/core/event"

// process is the record of one process name. A restarted process begins with ProcessStarted.
type process struct {
	line   *timeLine
	events []event.Event
}

func (p *process) lateStarts() []Violation {
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
				violations = append(violations, violation("a start on a backend server that left", left, e))
			}
		}
	}
	return violations
}

func (p *process) interrupted() []Violation {
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
				violations = append(violations, violation("a planned stop interrupted requests", draining, e))
			}
			for _, started := range p.events {
				if running[key{jobID{started.Customer, started.Key}, attemptID{started.Task, started.Attempt}}] == started {
					violations = append(violations, violation("a planned stop interrupted a task", started, draining, e))
				}
			}
		}
	}
	return violations
}

func (p *process) tables() []Violation {
	var violations []Violation
	adopted := map[string]event.Event{} // by table
	for _, e := range p.events {
		switch e.Number {
		case event.ProcessStarted:
			clear(adopted)
		case event.TablesAdopted:
			if earlier, ok := adopted[e.State]; ok && e.Version < earlier.Version {
				violations = append(violations, violation("a table went back to a lower version", earlier, e))
			}
			adopted[e.State] = e
		}
	}
	for _, edit := range p.line.edits {
		if late, events := p.missed(edit); late {
			violations = append(violations, violation("an edit was not in force in time", events...))
		}
	}
	return violations
}

// missed reports whether the process, alive and with the table from before the edit until AdoptLimit after
// it, did not adopt the edit in that time. The events are the edit and its later adoption, if any.
func (p *process) missed(edit event.Event) (late bool, events []event.Event) {
	var version uint64
	knows := false
	due := edit.Stamp.Time().Add(AdoptLimit)
	for _, e := range p.events {
		after := e.Stamp.Time().After(due)
		switch {
		case e.Number == event.TablesAdopted && e.State == edit.State:
			if after && version < edit.Version && knows && e.Version >= edit.Version {
				return true, []event.Event{edit, e}
			}
			if !after {
				version = max(version, e.Version)
				knows = knows || e.Stamp.Compare(edit.Stamp) < 0
			}
		case !after && (e.Number == event.ProcessStarted || e.Number == event.ProcessStopped):
			version, knows = 0, false
		}
	}
	last := p.events[len(p.events)-1].Stamp.Time()
	return knows && version < edit.Version && last.After(due), []event.Event{edit}
}
