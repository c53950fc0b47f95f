package batchentry

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/io/inner"
)

// evacuationsInterval is how often the evacuations are sent although they have not changed. How fresh they are is sent
// with every message.
const evacuationsInterval = time.Second

// sentEvacuations is what a receiver was last sent about the evacuations.
type sentEvacuations struct {
	state evacuation.State
	at    time.Time // zero if nothing was sent
}

// next returns the evacuations to send now: nil if nothing is known, or if the receiver has them.
func (s *sentEvacuations) next(now time.Time, state evacuation.State) *inner.Evacuations {
	if s.state.SameEvacuations(state) && !s.at.IsZero() && now.Sub(s.at) < evacuationsInterval {
		return nil
	}
	s.state, s.at = state, now
	return inner.EvacuationsOf(state)
}

// learnEvacuations processes what the store or another process tells about the evacuations. The state was complete in
// the store at confirmedAt or later; zero means that this is not known.
func (e *Entry) learnEvacuations(now time.Time, s evacuation.State, confirmedAt time.Time, source string) {
	next, changes := e.evacuations.With(now, s, confirmedAt, source)
	e.evacuations = next
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		e.logEvacuation(now, c)
	}
	// Agents refuse starts until they know that the evacuation was taken back.
	e.sendKeepAlives()
	e.performActions(e.dispatcher.SetEvacuations(now, next.State()))
	e.reassignStranded(now)
	e.sendLoad()
}

func (e *Entry) logEvacuation(now time.Time, c evacuation.Change) {
	number := event.DataCentreEvacuated
	if c.TakenBack {
		number = event.EvacuationTakenBack
	}
	line := e.log(number).Str("DataCentre", c.DataCentre).Uint64("Version", c.Version).Str("Peer", c.Source)
	if c.TakenBack {
		line = line.Dur("Taken", now.Sub(c.Since))
	}
	line.Send()
}

// Evacuations implements inner.BatchEntryHandler.
func (e *Entry) Evacuations(p *inner.Peer, s evacuation.State, readAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.agents[p.Name]
	if !ok || a.peer != p {
		return
	}
	now := e.options.Now()
	var confirmedAt time.Time
	if asked := time.Unix(0, int64(readAfter)); readAfter > 0 && !asked.After(now) {
		confirmedAt = asked
		e.readers.Succeeded(p.Name)
	}
	e.learnEvacuations(now, s, confirmedAt, p.Name)
}

// chooseReaders asks some of the agents to read the evacuations from the store if neither this entry nor another one that
// it is connected to has done so lately.
func (e *Entry) chooseReaders(now time.Time) {
	age, known := e.evacuations.Age(now)
	if !known {
		age = math.MaxInt64 // an evacuation may have been ordered long before this entry started
	}
	dataCentres := make(map[string]string, len(e.agents))
	for name, a := range e.agents {
		dataCentres[name] = a.peer.DataCentre
	}
	for _, name := range e.readers.Next(now, age, dataCentres) {
		e.agents[name].readStore = true
		e.metrics.evacuations.asked.Inc(1)
	}
}

// learnFromLoad processes what the load of another entry tells about the evacuations. The load was sent after this entry's
// clock reading that it echoes, so that the message may have been delayed.
func (e *Entry) learnFromLoad(now time.Time, p *inner.Peer, l inner.EntryLoad) {
	var confirmedAt time.Time
	if l.StoreAge > 0 && l.Echo > 0 {
		confirmedAt = time.Unix(0, int64(l.Echo)).Add(-l.StoreAge)
	}
	e.learnEvacuations(now, l.Evacuations.State(), confirmedAt, p.Name)
}

// addEvacuations adds the evacuations to a message that extends the session of an agent.
func (e *Entry) addEvacuations(now time.Time, a *agentSession, k *inner.KeepAlive) {
	k.Evacuations, k.AsksReaders = a.evacuations.next(now, e.evacuations.State()), true
	if a.readStore {
		a.readStore, k.ReadStore = false, time.Duration(now.UnixNano())
	}
	if age, known := e.evacuations.Age(now); known && a.agentClock > 0 {
		k.StoreSeen = a.agentClock - age
	}
}

// storeAge returns how old the knowledge about the store is for messages; 0 if that is not known.
func (e *Entry) storeAge(now time.Time) time.Duration {
	age, known := e.evacuations.Age(now)
	if !known {
		return 0
	}
	return max(age, time.Nanosecond)
}

// evacuationMetrics are the gauges about evacuations.
type evacuationMetrics struct {
	known metrics.Gauge   // evacuated data centres
	age   metrics.Gauge   // of the knowledge about the store, in milliseconds; -1 if there is none
	asked metrics.Counter // reads of the store that agents were asked for
}

func newEvacuationMetrics(r metrics.Registry) evacuationMetrics {
	return evacuationMetrics{
		known: metrics.GetOrRegisterGauge("Evacuation.Known", r),
		age:   metrics.GetOrRegisterGauge("Evacuation.AgeMilliseconds", r),
		asked: metrics.GetOrRegisterCounter("Evacuation.ReadsAsked", r),
	}
}

func (m evacuationMetrics) update(now time.Time, k evacuation.Knowledge) {
	m.known.Update(int64(len(k.State().DataCentres())))
	if age, known := k.Age(now); known {
		m.age.Update(age.Milliseconds())
	} else {
		m.age.Update(-1)
	}
}
