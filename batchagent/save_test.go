package batchagent_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

var errDown = errors.New("down")

// directory is a store without entries that fails one save, or takes some time for it.
type directory struct {
	saved supervise.Server
	saves int
	fail  bool
	delay time.Duration // of the next save
}

func (d *directory) Entries(context.Context) ([]home.Entry, error) { return nil, nil }

func (d *directory) SaveServer(_ context.Context, _ string, s supervise.Server) error {
	if d.fail {
		d.fail = false
		return errDown
	}
	delay := d.delay
	d.delay = 0
	time.Sleep(delay)
	d.saved = s
	d.saves++
	return nil
}

func (d *directory) Evacuations(context.Context) (evacuation.State, error) {
	return evacuation.State{}, nil
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

// Guards against the save of an announcement that is still in progress when a newer one has been saved.
func TestSavesDoNotOvertake(t *testing.T) {
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
		d.delay = 200 * time.Millisecond
		var announcing sync.WaitGroup
		announcing.Go(func() { announce(1, 4000) })
		time.Sleep(50 * time.Millisecond)
		announcing.Go(func() { announce(2, 1000) })
		announcing.Wait()
		if got := d.saved.Capacity.Processor; got != 1000 {
			t.Errorf("%d thousandths of a core were saved, want 1000", got)
		}
	})
}

// Guards against a late save of an earlier process that replaces the state that a restarted agent has read: the store
// refuses it only if the new process has saved the state itself.
func TestRestoredStateIsSavedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := supervise.Server{
			ID: "i-1", Pool: "p", Incarnation: 1, Sequence: 7, Capacity: resource.Amount{Processor: 1000}, Clock: time.Minute,
		}
		d := &directory{saved: s}
		a, stop := batchagent.New(batchagent.Options{
			Name: "agent-1", Directory: d, Server: silentServer{}, Logger: zerolog.Nop(), Now: time.Now,
		})
		defer stop()
		synctest.Wait()
		for range 3 {
			s.Sequence++
			a.HandleAnnouncement(s)
		}
		if d.saves != 1 {
			t.Errorf("the state was saved %d times, want 1", d.saves)
		}
	})
}
