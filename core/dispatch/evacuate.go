package dispatch

import (
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/evacuation"
)

// readmissionPeriod is the time over which the backend servers of a data centre are used again after its evacuation was
// taken back. They may be cold, so that the first tasks tell their speed before all of them get work.
const readmissionPeriod = 2 * time.Second

// evacuationGrace is how long the started jobs of an evacuated pool wait for an agent of another data centre if they have
// no time-out. Agents change their home within 8 s of an evacuation (home.MoveDelay, and 1.5 s between two checks).
const evacuationGrace = 10 * time.Second

// SetDataCentre records the data centre of the backend server of a connected agent.
func (d *Dispatcher) SetDataCentre(agent, dataCentre string) {
	if s, ok := d.servers[agent]; ok {
		s.dataCentre = dataCentre
		s.evacuated, s.readmitAt = d.evacuations.Has(dataCentre), time.Time{}
	}
}

// SetEvacuations stops starts on the backend servers of the evacuated data centres. Their runs continue. The backend
// servers of a data centre that is no longer evacuated are used again one after the other.
func (d *Dispatcher) SetEvacuations(now time.Time, state evacuation.State) []Action {
	d.evacuations, d.evacuationsChangedAt = state, now
	var returning []*server
	for _, s := range d.sortedServers {
		switch evacuated := state.Has(s.dataCentre); {
		case evacuated:
			s.evacuated, s.readmitAt = true, time.Time{}
			s.releaseAll()
		case s.evacuated && s.readmitAt.IsZero():
			returning = append(returning, s)
		}
	}
	for i, s := range returning {
		s.readmitAt = now.Add(readmissionPeriod * time.Duration(i) / time.Duration(len(returning)))
	}
	d.readmit(now)
	d.updatePoolCapacity()
	d.place(now)
	return d.takeActions()
}

// readmit makes the backend servers usable whose turn has come after an evacuation was taken back.
func (d *Dispatcher) readmit(now time.Time) {
	for _, s := range d.sortedServers {
		if s.evacuated && !s.readmitAt.IsZero() && !now.Before(s.readmitAt) {
			s.evacuated = false
			d.updatePoolCapacity()
		}
	}
}

// evacuatedPool reports whether a pool has backend servers here, all of them in evacuated data centres, so that it is not
// worth waiting for one. Agents of other data centres may only be connecting: for serverGrace after the start of the entry,
// and after a session with one of them has begun or ended.
func (d *Dispatcher) evacuatedPool(now time.Time, p *poolState) bool {
	return now.Sub(d.startedAt) >= serverGrace && d.hasEvacuatedServer(p) && !d.awaitsServer(now, p)
}

// hasEvacuatedServer reports whether a backend server of a pool is connected whose data centre is evacuated.
func (d *Dispatcher) hasEvacuatedServer(p *poolState) bool {
	return slices.ContainsFunc(d.sortedServers, func(s *server) bool {
		return s.connected && s.info.Pool == p.name && d.evacuations.Has(s.dataCentre)
	})
}

// awaitsServer reports whether an agent whose data centre is not evacuated offers a backend server of a pool, or may do so
// soon. Its pool is not known before its first report.
func (d *Dispatcher) awaitsServer(now time.Time, p *poolState) bool {
	return slices.ContainsFunc(d.sortedServers, func(s *server) bool {
		if d.evacuations.Has(s.dataCentre) || (s.info.Pool != p.name && s.info.Pool != "") {
			return false
		}
		return (s.connected && s.info.Pool != "") || now.Sub(s.sessionChangedAt) < serverGrace
	})
}

// fitsEvacuated reports whether the tasks of a step fit on an empty backend server that is only evacuated.
func (d *Dispatcher) fitsEvacuated(j *job, st batch.Step) bool {
	return slices.ContainsFunc(d.sortedServers, func(s *server) bool {
		return s.connected && s.evacuated && s.info.Pool == j.Pool && st.Demand.Fits(s.capacity) &&
			(st.Label == "" || slices.Contains(s.info.Labels, st.Label))
	})
}
