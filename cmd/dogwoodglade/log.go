package main

import (
	"github.com/rs/zerolog"

	"dogwoodglade/core/event"
)

// Events with numbers from firstJobEvent to lastSlotEvent concern a single job, task or slot.
const (
	firstJobEvent event.Number = 1000
	lastSlotEvent event.Number = 3003
)

// warningEvents are the events that operators should look into. They are logged at level warn.
var warningEvents = map[event.Number]bool{
	event.BackendEjected: true, event.BackendLost: true, event.AgentLost: true, event.EntryLost: true,
	event.TakeoverIncomplete: true, event.OwnerSuperseded: true, event.PlatformFailed: true,
}

// eventLevel returns the log level of an event. Events of single jobs, tasks and slots are logged at level debug.
func eventLevel(n event.Number) zerolog.Level {
	switch {
	case warningEvents[n]:
		return zerolog.WarnLevel
	case n >= firstJobEvent && n <= lastSlotEvent:
		return zerolog.DebugLevel
	}
	return zerolog.InfoLevel
}

// newEventLogger returns a function that logs each event as one line, with the name of the event as message.
func newEventLogger(logger zerolog.Logger) func(event.Event) {
	return func(e event.Event) {
		line := logger.WithLevel(eventLevel(e.Number))
		if logger.GetLevel() > eventLevel(e.Number) {
			return
		}
		line = line.Int("Number", int(e.Number))
		for _, field := range []struct{ name, value string }{
			{"Customer", e.Customer},
			{"Key", e.Key},
			{"Epoch", e.Epoch},
			{"Peer", e.Peer},
			{"Route", e.Route},
			{"State", e.State},
		} {
			if field.value != "" {
				line = line.Str(field.name, field.value)
			}
		}
		if e.Task >= 0 {
			line = line.Int("Task", e.Task)
		}
		if e.Attempt > 0 {
			line = line.Int("Attempt", e.Attempt)
		}
		if e.Version > 0 {
			line = line.Uint64("Version", e.Version)
		}
		if e.Count > 0 {
			line = line.Int("Count", e.Count)
		}
		line.Msg(e.Number.String())
	}
}
