package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/executor"
)

// Announce implements backend.Agent.
func (a *Agent) Announce(announcement executor.Announcement) error {
	announcement.DataCentre = a.options.DataCentre
	var err error
	a.withExecutor(func(now time.Time) []executor.Action {
		var actions []executor.Action
		actions, err = a.executor.Announce(now, announcement)
		return actions
	})
	return errors.Wrapf(err, "announce to agent %s", a.options.Name)
}

// Leave implements backend.Agent.
func (a *Agent) Leave(id, incarnation string) {
	a.withExecutor(func(now time.Time) []executor.Action {
		return a.executor.Leave(now, id, incarnation)
	})
}
