package batchentry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodglade/core/watch"
	"dogwoodglade/io/inner"
)

// configurationBound is the strictest time in which operators expect a configuration to be in force.
const configurationBound = 2 * time.Second

// Guards against an entry that waits for the polls of others, which the store does not answer, while it could read the
// store itself.
func TestConfigurationWhileWatchersGetNoAnswer(t *testing.T) {
	for _, entries := range []int{3, 6, 11} {
		for n := range entries {
			for _, phase := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
				t.Run(fmt.Sprint("first ", n, " of ", entries, ", ", phase), func(t *testing.T) {
					runSiteInOneRegion(t, entries, 0, func(s *testSite) { s.checkChangeReaches(s.watcherOrder()[:n], phase) })
				})
			}
		}
	}
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			entries := 2 + r.IntN(10)
			runSiteInOneRegion(t, entries, 0, func(s *testSite) {
				names := s.watcherOrder()
				r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
				s.checkChangeReaches(names[:r.IntN(entries)], time.Duration(r.IntN(2000))*time.Millisecond)
			})
		})
	}
}

// checkChangeReaches checks that a change reaches all entries in time although the store does not answer some of them, and
// the responses to all polls in progress were lost some seconds before. The phase is relative to the polls of the watchers.
func (s *testSite) checkChangeReaches(unanswered []string, phase time.Duration) {
	s.t.Helper()
	s.store.set(2)
	time.Sleep(10 * time.Millisecond)
	s.store.silence()
	time.Sleep(contactTime + phase)
	for _, name := range unanswered {
		s.unanswered[name].Store(true)
	}
	time.Sleep(50 * time.Millisecond)
	s.store.set(3)
	time.Sleep(configurationBound)
	s.checkVersion(3)
}

// watcherOrder returns the names of the entries in the order in which they become watchers.
func (s *testSite) watcherOrder() []string {
	var order []string
	for len(order) < len(s.entries) {
		var next []string
		for name := range s.entries {
			var others []watch.Entry
			for other := range s.entries {
				if other != name && !slices.Contains(order, other) {
					others = append(others, watch.Entry{Name: other, ReadsStore: true})
				}
			}
			if !slices.Contains(order, name) && watch.For(name, others).Watcher {
				next = append(next, name)
			}
		}
		slices.Sort(next)
		order = append(order, next...)
	}
	return order
}

// Guards against an entry that does not read the store although others, which report a newer configuration, do not
// provide it.
func TestConfigurationThatPeersDoNotProvide(t *testing.T) {
	runSite(t, 1, 0, func(s *testSite) {
		var peers []*fakeWatcher
		for _, name := range namesBefore("entry-1") {
			o := newFakePeerEntry()
			p := o.dialAs(s, name, "entry-1", "first")
			defer p.Close()
			peers = append(peers, &fakeWatcher{fakePeerEntry: o, connection: p})
		}
		report := func(version uint64, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				for _, w := range peers {
					w.report(version)
				}
			}
		}
		report(1, time.Second)
		s.store.set(2)
		time.Sleep(10 * time.Millisecond)
		s.store.silence()
		report(2, contactTime)
		s.store.set(3)
		report(3, configurationBound)
		s.checkVersion(3)
	})
}

// fakeWatcher is another entry that says that it reads the store. It provides no configuration.
type fakeWatcher struct {
	*fakePeerEntry
	connection *inner.Peer
	echo       time.Duration
}

func (w *fakeWatcher) report(version uint64) {
	for len(w.loads) > 0 {
		w.echo = (<-w.loads).Clock
	}
	w.connection.Load(inner.EntryLoad{
		Session: 1, Version: version, ReadsStore: true, ConfigurationAge: time.Millisecond,
		Clock: time.Duration(time.Now().UnixNano()), Echo: w.echo,
	})
}

// namesBefore returns the names of two entries that become watchers before the given one.
func namesBefore(entry string) []string {
	for i := 0; ; i++ {
		names := []string{fmt.Sprint("peer-", i), fmt.Sprint("peer-", i+1)}
		if !watch.For(entry, []watch.Entry{{Name: names[0], ReadsStore: true}, {Name: names[1], ReadsStore: true}}).Watcher {
			return names
		}
	}
}
