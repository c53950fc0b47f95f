package main

import (
	"github.com/rs/zerolog"

	"dogwoodglade/core/event"
)

// Bounds of the numbers of events that occur for each job, task or slot.
const (
	firstJobEvent event.Number = 1000
	lastSlotEvent event.Number = 3003
)

// warnings are the events that an operator should look at.
var warnings = map[event.Number]bool{
	event.BackendEjected: true, event.BackendLost: true, event.AgentLost: true, event.EntryLost: true,
	event.TakeoverIncomplete: true, event.OwnerSuperseded: true, event.PlatformFailed: true,
}

// levelOf returns the level of an event. Events of single jobs, tasks and slots are for debugging.
func levelOf(n event.Number) zerolog.Level {
	switch {
	case warnings[n]:
		return zerolog.WarnLevel
	case n >= firstJobEvent && n <= lastSlotEvent:
		return zerolog.DebugLevel
	}
	return zerolog.InfoLevel
}

// logEvents returns a sink that logs events by their numbers.
func logEvents(logger zerolog.Logger) func(event.Event) {
	return func(e event.Event) {
		line := logger.WithLevel(levelOf(e.Number))
		if logger.GetLevel() > levelOf(e.Number) {
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
