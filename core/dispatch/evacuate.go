package dispatch

import (
	"time"

	"dogwoodglade/core/evacuation"
)

// readmissionPeriod is the time over which the backend servers of a data centre are used again after its evacuation was
// taken back. They may be cold, so that the first tasks tell their speed before all of them get work.
const readmissionPeriod = 2 * time.Second

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
	d.evacuations = state
	var returning []*server
	for _, s := range d.sortedServers {
		switch evacuated := state.Has(s.dataCentre); {
		case evacuated:
			s.evacuated, s.readmitAt = true, time.Time{}
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
// worth waiting for one.
func (d *Dispatcher) evacuatedPool(p *poolState) bool {
	found := false
	for _, s := range d.sortedServers {
		if s.info.Pool != p.name || !s.connected {
			continue
		}
		if !d.evacuations.Has(s.dataCentre) {
			return false
		}
		found = true
	}
	return found
}
