package batchagent_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

var errDown = errors.New("down")

// directory is a store without entries that fails one save.
type directory struct {
	saved supervise.Server
	fail  bool
}

func (d *directory) Entries(context.Context) ([]home.Entry, error) { return nil, nil }

func (d *directory) SaveServer(_ context.Context, _ string, s supervise.Server) error {
	if d.fail {
		d.fail = false
		return errDown
	}
	d.saved = s
	return nil
}

func (d *directory) Server(context.Context, string) (supervise.Server, error) { return d.saved, nil }

// silentServer is a backend server that does not respond.
type silentServer struct{}

func (silentServer) Start(context.Context, supervise.CallStart) (supervise.StartResult, time.Duration) {
	return supervise.Unanswered, 0
}

func (silentServer) Stop(context.Context, supervise.CallStop) (bool, time.Duration) { return false, 0 }

func (silentServer) Hold(context.Context, supervise.Hold) (supervise.HoldResponse, error) {
	return supervise.HoldResponse{}, errDown
}

// Guards against an overtaken announcement that is saved in place of the newer one, whose save failed.
func TestOvertakenAnnouncementIsNotSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &directory{}
		a, stop := batchagent.New(batchagent.Options{
			Name: "agent-1", Directory: d, Server: silentServer{}, Logger: zerolog.Nop(), Now: time.Now,
		})
		defer stop()
		synctest.Wait()
		announce := func(sequence uint64, processor int) {
			a.HandleAnnouncement(supervise.Server{
				ID: "i-1", Pool: "p", Incarnation: 1, Sequence: sequence, Capacity: resource.Amount{Processor: processor},
				Clock: time.Minute,
			})
		}
		announce(1, 4000)
		d.fail = true
		announce(3, 1000)
		announce(2, 2000)
		if got := d.saved.Capacity.Processor; got != 1000 {
			t.Errorf("%d thousandths of a core were saved, want 1000", got)
		}
	})
}
