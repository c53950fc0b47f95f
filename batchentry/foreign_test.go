package batchentry_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/batchentry"
	"dogwoodglade/core/home"
	"dogwoodglade/internal/memnet"
)

// Guards against an entry that counts itself among the others, and may forward jobs to itself, because a row of another
// writer has an address at which it reaches itself.
func TestEntryDoesNotConnectToItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := memnet.New().Host("entry-1")
		var dials atomic.Int64
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == ":1" {
				dials.Add(1)
				address = "entry-1:1"
			}
			return host.Dial(ctx, network, address)
		}
		store := newFakeStore()
		store.entries = []home.Entry{{Name: "odd", Address: ":1", Region: "region", Weight: 1}}
		registry := metrics.NewRegistry()
		_, stop, err := batchentry.New(batchentry.Options{
			Name: "entry-1", Region: "region", Address: "entry-1:1", Weight: 1, Directory: store, Logger: zerolog.Nop(),
			Metrics: registry, Dial: dial, Listen: host.Listen, Now: time.Now,
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if n := metrics.GetOrRegisterGauge("Batch.Entries", registry).Value(); n != 0 {
			t.Errorf("the only entry is connected to %d others", n)
		}
		if n := dials.Load(); n > 30 {
			t.Errorf("it dialled itself %d times in 30 s", n)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
