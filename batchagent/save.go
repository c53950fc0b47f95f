package batchagent

import (
	"context"
	"time"

	"dogwoodglade/core/event"
	"dogwoodglade/core/supervise"
)

const (
	// saveTimeout bounds the time for which an announcement waits for the store. The backend server takes an
	// acknowledgement within a second.
	saveTimeout = 300 * time.Millisecond
	// restoreTries and restoreTimeout bound the reads of what an earlier agent saved. The next announcement
	// comes within two seconds and brings the same.
	restoreTries   = 3
	restoreTimeout = 400 * time.Millisecond
)

// save keeps what is known of the backend server in the store.
func (a *Agent) save(s supervise.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	err := a.options.Directory.SaveServer(ctx, a.options.Name, s)
	if err != nil {
		// It is tried again with the next announcement.
		a.log(event.PlatformFailed).Str("State", "SaveServer").Err(err).Send()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.saved = s
}

// restore takes over what an earlier agent saved.
func (a *Agent) restore(ctx context.Context) {
	for range restoreTries {
		readCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
		s, err := a.options.Directory.Server(readCtx, a.options.Name)
		cancel()
		if err != nil {
			a.log(event.PlatformFailed).Str("State", "RestoreServer").Err(err).Send()
			sleep(ctx, holdPause)
			continue
		}
		a.mu.Lock()
		a.saved = s
		a.perform(a.supervisor.Restore(a.options.Now(), s))
		a.mu.Unlock()
		if s.ID != "" {
			a.log(event.BackendAnnounced).Str("Peer", s.ID).Int64("Born", s.Incarnation).Str("State", "Restored").Send()
		}
		return
	}
}
