package batchagent

import (
	"context"
	"time"

	"dogwoodglade/core/event"
)

const (
	// saveTimeout limits how long an announcement waits for the store. The backend server waits up to a second for
	// the acknowledgement.
	saveTimeout = 300 * time.Millisecond
	// restoreAttempts and restoreTimeout limit the reads of the state that a previous agent process saved. The next
	// announcement arrives within two seconds and has the same data.
	restoreAttempts = 3
	restoreTimeout  = 400 * time.Millisecond
)

// save writes the state of the backend server to the store if it has changed. Saves do not overlap, so that the store has
// the newest state after the last one.
func (a *Agent) save() {
	a.saving <- struct{}{}
	defer func() { <-a.saving }()
	a.mu.Lock()
	s, known := a.supervisor.Server()
	unchanged := a.hasSaved && s.Equivalent(a.saved)
	a.mu.Unlock()
	if !known || unchanged {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	err := a.options.Directory.SaveServer(ctx, a.options.Name, s)
	if err != nil {
		// The save is retried with the next announcement.
		a.log(event.PlatformFailed).Str("State", "SaveServer").Err(err).Send()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.saved, a.hasSaved = s, true
}

// restore loads the state of the backend server that a previous agent process saved.
func (a *Agent) restore(ctx context.Context) {
	for range restoreAttempts {
		readCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
		s, err := a.options.Directory.Server(readCtx, a.options.Name)
		cancel()
		if err != nil {
			a.log(event.PlatformFailed).Str("State", "RestoreServer").Err(err).Send()
			sleep(ctx, minHoldPause)
			continue
		}
		a.mu.Lock()
		a.performActions(a.supervisor.Restore(a.options.Now(), s))
		a.signalServerKnown()
		a.mu.Unlock()
		if s.ID != "" {
			a.log(event.BackendAnnounced).Str("Peer", s.ID).Int64("Born", s.Incarnation).Str("State", "Restored").Send()
		}
		return
	}
}
