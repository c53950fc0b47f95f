package main

import (
	"context"
	"time"

	"dogwoodglade/platform/standin"
)

const (
	// evacuateDataCentre writes the operators' row that evacuates a data centre, and removes it at the end.
	evacuateDataCentre kind = "Evacuate"
	// evacuateTimeout is the bound of an evacuation: nothing starts in a data centre that was evacuated this long ago. If the
	// store is disturbed, maxStretch is added.
	evacuateTimeout = 5 * time.Second
	// evacuateStretch is the factor on the duration of evacuateDataCentre. Most of them then outlast evacuateTimeout.
	evacuateStretch = 3
	// meanEvacuationGap is the mean time between the starts of evacuations.
	meanEvacuationGap = 6 * time.Second
)

// evacuate evacuates a data centre and takes that back. Evacuations of the same data centre may overlap.
func (s *testSite) evacuate(ctx context.Context, d disturbance) {
	s.setEvacuated(d.Target, 1)
	wait(ctx, d.Duration)
	s.setEvacuated(d.Target, -1)
}

func (s *testSite) setEvacuated(dataCentre string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.evacuations[dataCentre]
	s.evacuations[dataCentre] += change
	evacuated := s.evacuations[dataCentre] > 0
	if evacuated == (before > 0) {
		return
	}
	s.checker.RecordEvacuation(dataCentre, false, time.Now())
	s.store.Evacuate(dataCentre, evacuated)
	s.checker.RecordEvacuation(dataCentre, evacuated, time.Now())
}

// dataCentres returns the data centres that have backend servers.
func (s *testSite) dataCentres() []string {
	var names []string
	for i := range min(dataCentres, len(s.agents)) {
		names = append(names, s.dataCentre(i+1))
	}
	return names
}

// RecordDataCentre records the data centre of a backend server.
func (c *checker) RecordDataCentre(backend, dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataCentres[backend] = dataCentre
}

// RecordEvacuation records that a data centre is evacuated from a time on, or is not.
func (c *checker) RecordEvacuation(dataCentre string, evacuated bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedSince, dataCentre)
	if evacuated {
		c.evacuatedSince[dataCentre] = at
	}
}

// checkEvacuation checks that a start is not in an evacuated data centre, unless its agent was disturbed.
func (c *checker) checkEvacuation(r standin.Run) {
	since, evacuated := c.evacuatedSince[c.dataCentres[r.Backend]]
	if !evacuated {
		return
	}
	limit := evacuateTimeout
	if c.disturbances.Disturbed(since, r.At, func(s *span) bool { return s.subject == storeSubject }) {
		limit += maxStretch
	}
	if r.At.Sub(since) <= limit ||
		c.disturbances.Disturbed(r.At, r.At, func(s *span) bool {
			return s.subject == r.Backend || s.subject == storeSubject || s.subject == storeLinkOf(r.Backend)
		}) {
		return
	}
	c.reportViolation("task %v: started on %s %v after its data centre was evacuated", r.Task, r.Backend, r.At.Sub(since))
}
