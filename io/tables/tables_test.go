package tables

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
)

const (
	maxPropagationTime = 4 * time.Second
	pingInterval       = 250 * time.Millisecond
)

// cluster is several entries with one platform. The entries ping each other if linked.
type cluster struct {
	t         *testing.T
	store     *store.Memory
	service   store.Table // the store, or a wrapper of it
	random    *rand.Rand
	linked    bool
	entries   []*Tables
	recorders []*event.Recorder
	mu        sync.Mutex
	pulls     int
}

func newCluster(t *testing.T, seed uint64, linked bool) *cluster {
	random := rand.New(rand.NewPCG(seed, 0))
	store := store.NewMemory(store.DefaultLimits, random)
	t.Cleanup(func() { time.Sleep(10 * time.Second) }) // for delayed operations of the store to end
	return &cluster{t: t, store: store, service: store, random: random, linked: linked}
}

// startEntry adds an entry, which stops when the test ends.
func (s *cluster) startEntry() *Tables {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.entries)
	recorder := event.NewRecorder(fmt.Sprintf("entry-%d", i), 1000, time.Now)
	entry, stop := New(Config{
		Platform: s.service,
		Pull:     s.pull,
		Record:   func(e event.Event) { recorder.Record(e) },
		Random:   rand.New(rand.NewPCG(s.random.Uint64(), uint64(i))),
	})
	s.entries = append(s.entries, entry)
	s.recorders = append(s.recorders, recorder)
	ctx, cancel := context.WithCancel(s.t.Context())
	go func() {
		for sleep(ctx, pingInterval) {
			s.ping(i, entry)
		}
	}()
	s.t.Cleanup(func() { cancel(); stop() })
	return entry
}

func (s *cluster) ping(from int, entry *Tables) {
	if !s.linked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.entries {
		if i != from {
			other.HandleNotification(fmt.Sprint(from), entry.Notification())
		}
	}
}

func (s *cluster) pull(_ context.Context, peer string, since table.Versions) (table.PullResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls++
	var i int
	if _, err := fmt.Sscan(peer, &i); err != nil {
		return table.PullResponse{}, err
	}
	return s.entries[i].PullTables(since), nil
}

func (s *cluster) startEntries(n int) {
	for range n {
		s.startEntry()
	}
	time.Sleep(2 * time.Second)
}

func (s *cluster) setFaults(f store.Faults) {
	s.t.Helper()
	if err := s.store.SetFaults(f); err != nil {
		s.t.Fatal(err)
	}
}

func (s *cluster) edit(entry *Tables, e table.Edit) table.Edit {
	s.t.Helper()
	accepted, err := entry.Edit(s.t.Context(), e, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	return accepted
}

// waitForVersion waits until all entries have the given version of the pools and returns how long this took.
func (s *cluster) waitForVersion(version uint64) time.Duration {
	s.t.Helper()
	start := time.Now()
	for _, entry := range s.entries {
		for entry.Current().Versions.Pools < version {
			if time.Since(start) > maxPropagationTime {
				s.t.Fatalf("version %d is not in effect after %v: %v", version, maxPropagationTime, entry.Current().Versions)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func (s *cluster) countEvents(entry int, number event.Number) int {
	n := 0
	for _, e := range s.recorders[entry].Events() {
		if e.Number == number {
			n++
		}
	}
	return n
}

// Guards against an accepted edit that does not reach other entries because the store fails right after it, or that
// is lost when the store recovers.
func TestEditReachesAllEntriesDespiteOutage(t *testing.T) {
	var longest time.Duration
	defer func() { t.Logf("longest time until an edit was in force: %v", longest) }()
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newCluster(t, seed, true)
			s.startEntries(5)
			accepted := s.edit(s.entries[0], table.SetPool("e1", pool.New("p1")))
			s.setFaults(store.Faults{Down: true})
			longest = max(longest, s.waitForVersion(accepted.Version))
			time.Sleep(30 * time.Second)
			s.setFaults(store.Faults{})
			time.Sleep(5 * time.Second)
			for i, entry := range s.entries {
				if _, ok := entry.Current().Pools["p1"]; !ok {
					t.Errorf("seed %d: entry %d lost the edit", seed, i)
				}
				if s.countEvents(i, event.PlatformFailed) != 1 || s.countEvents(i, event.PlatformRestored) != 1 {
					t.Errorf("seed %d: entry %d recorded %v", seed, i, s.recorders[i].Events())
				}
			}
		})
	}
}

// Guards against entries that learn of an edit only from peers, and against a backoff so long that an edit accepted
// right after an outage takes effect too late.
func TestEditReachesAllEntriesByPollingAlone(t *testing.T) {
	var longest time.Duration
	defer func() { t.Logf("longest time until an edit was in force: %v", longest) }()
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newCluster(t, seed, false)
			s.startEntries(5)
			longest = max(longest, s.waitForVersion(s.edit(s.entries[0], table.SetPool("e1", pool.New("p1"))).Version))
			s.setFaults(store.Faults{Down: true})
			time.Sleep(time.Minute)
			s.setFaults(store.Faults{})
			longest = max(longest, s.waitForVersion(s.edit(s.entries[1], table.SetPool("e2", pool.New("p2"))).Version))
			for i := range 3 * table.MaxRecentEdits { // more than a head keeps, so that all rows are read
				s.edit(s.entries[2], table.SetPool(fmt.Sprint("n", i), pool.New("p3").WithSlots(i)))
			}
			s.waitForVersion(uint64(2 + 3*table.MaxRecentEdits))
			if got := s.entries[4].Current().Pools["p3"].Slots; got != 3*table.MaxRecentEdits-1 {
				t.Errorf("seed %d: the last edit is not in effect, slots are %d", seed, got)
			}
		})
	}
}

// Guards against an entry that cannot start while the store is down or slow.
func TestStartDuringOutage(t *testing.T) {
	for name, faults := range map[string]store.Faults{
		"down": {Down: true}, "slow": {Delay: 8 * time.Second}, "answers lost": {LostAnswers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 1, true)
				s.startEntries(2)
				s.edit(s.entries[0], table.SetPool("e1", pool.New("p1")))
				version := s.edit(s.entries[0], table.SetPool("e2", pool.New("p2"))).Version
				s.setFaults(faults)
				late := s.startEntry()
				if late.Ready() {
					t.Fatal("the entry is ready before it has the tables")
				}
				s.waitForVersion(version)
				if len(late.Current().Pools) != 2 || !late.Ready() {
					t.Fatalf("got %v", late.Current())
				}
			})
		})
	}
}

// Guards against an entry without peers that never gets the tables because the store is slower than the timeout of a
// poll.
func TestSlowStoreIsEventuallyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, false)
		editor := s.startEntry()
		for i := range 2 * table.MaxRecentEdits {
			s.edit(editor, table.SetPool(fmt.Sprint("n", i), pool.New("p")))
		}
		s.setFaults(store.Faults{Delay: 3 * time.Second})
		late := s.startEntry()
		time.Sleep(10 * time.Second) // enough for a poll to time out and for two reads of 3 s
		if !late.Ready() || late.Current().Versions != editor.Current().Versions {
			t.Fatalf("got %v", late.Current())
		}
		s.edit(editor, table.SetPool("last", pool.New("q")))
		time.Sleep(10 * time.Second)
		if late.Current().Versions != editor.Current().Versions || s.countEvents(1, event.PlatformFailed) != 1 {
			t.Fatalf("got %v, %v", late.Current(), s.recorders[1].Events())
		}
	})
}

// countingTable counts reads of the heads by interval.
type countingTable struct {
	store.Table
	mu    sync.Mutex
	reads map[time.Time]int
}

const countInterval = 100 * time.Millisecond

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	c.mu.Lock()
	c.reads[time.Now().Truncate(countInterval)]++
	c.mu.Unlock()
	return c.Table.Get(ctx, keys...)
}

// Guards against entries that all poll at the same time when the store recovers, or that poll faster while it is down.
func TestPollsSpreadDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 50
		s := newCluster(t, 1, false)
		counting := &countingTable{Table: s.store, reads: map[time.Time]int{}}
		s.service = counting
		s.startEntries(entries)
		s.setFaults(store.Faults{Down: true})
		time.Sleep(10 * time.Second)
		from := time.Now()
		time.Sleep(10 * time.Second)
		s.setFaults(store.Faults{})
		time.Sleep(10 * time.Second)
		total, peak := 0, 0
		counting.mu.Lock()
		defer counting.mu.Unlock()
		for at, n := range counting.reads {
			if at.Before(from) {
				continue
			}
			peak = max(peak, n)
			if at.Before(from.Add(10 * time.Second)) {
				total += n
			}
		}
		if peak > entries/3 || total > 10*entries {
			t.Fatalf("%d entries read %d times in 10 s of outage and %d times in %v", entries, total, peak, countInterval)
		}
		t.Logf("%d entries: %d reads in 10 s of outage, at most %d in %v", entries, total, peak, countInterval)
	})
}

// Guards against edits accepted by a store that lost newer versions: they would never take effect.
func TestEditIsRefusedIfStoreIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, true)
		s.startEntries(1)
		s.edit(s.entries[0], table.SetPool("e1", pool.New("p1")))
		s.edit(s.entries[0], table.SetPool("e2", pool.New("p2")))
		s.service = store.NewMemory(store.Limits{}, s.random)
		other := s.startEntry()
		s.waitForVersion(2)
		_, err := other.Edit(t.Context(), table.SetRoute("e3", route.New("r1", "p1")), 0)
		var stale *StaleStoreError
		if !errors.As(err, &stale) || stale.LocalVersion != 2 || stale.StoreVersion != 0 {
			t.Fatalf("got %v", err)
		}
	})
}
