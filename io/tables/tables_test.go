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
	inForceWithin = 4 * time.Second
	pingInterval  = 250 * time.Millisecond
)

// site is several entries with one platform. Entries ping each other while linked.
type site struct {
	t       *testing.T
	store   *store.Memory
	service store.Table // the store, or a wrapper of it
	random  *rand.Rand
	linked  bool
	entries []*Tables
	records []*event.Recorder
	mu      sync.Mutex
	pulls   int
}

func newSite(t *testing.T, seed uint64, linked bool) *site {
	random := rand.New(rand.NewPCG(seed, 0))
	store := store.NewMemory(store.DefaultLimits, random)
	t.Cleanup(func() { time.Sleep(10 * time.Second) }) // for delayed operations of the store to end
	return &site{t: t, store: store, service: store, random: random, linked: linked}
}

// start adds an entry that stops when the test ends.
func (s *site) start() *Tables {
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
	s.records = append(s.records, recorder)
	ctx, cancel := context.WithCancel(s.t.Context())
	go func() {
		for sleep(ctx, pingInterval) {
			s.ping(i, entry)
		}
	}()
	s.t.Cleanup(func() { cancel(); stop() })
	return entry
}

func (s *site) ping(from int, entry *Tables) {
	if !s.linked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.entries {
		if i != from {
			other.Notified(fmt.Sprint(from), entry.Notification())
		}
	}
}

func (s *site) pull(_ context.Context, peer string, since table.Versions) (table.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls++
	var i int
	if _, err := fmt.Sscan(peer, &i); err != nil {
		return table.Answer{}, err
	}
	return s.entries[i].PullTables(since), nil
}

func (s *site) startMany(n int) {
	for range n {
		s.start()
	}
	time.Sleep(2 * time.Second)
}

func (s *site) fault(f store.Faults) {
	s.t.Helper()
	if err := s.store.SetFaults(f); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) edit(entry *Tables, e table.Edit) table.Edit {
	s.t.Helper()
	accepted, err := entry.Edit(s.t.Context(), e, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	return accepted
}

// inForce waits until all entries have the version of the pools and returns how long it took.
func (s *site) inForce(version uint64) time.Duration {
	s.t.Helper()
	start := time.Now()
	for _, entry := range s.entries {
		for entry.Current().Versions.Pools < version {
			if time.Since(start) > inForceWithin {
				s.t.Fatalf("version %d is not in force after %v: %v", version, inForceWithin, entry.Current().Versions)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func (s *site) count(entry int, number event.Number) int {
	n := 0
	for _, e := range s.records[entry].Events() {
		if e.Number == number {
			n++
		}
	}
	return n
}

// Guards against an accepted edit that stays unknown to other entries because the store fails right after
// it, or that is lost when the store returns.
func TestEditIsInForceEverywhereDespiteOutage(t *testing.T) {
	var longest time.Duration
	defer func() { t.Logf("longest time until an edit was in force: %v", longest) }()
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, seed, true)
			s.startMany(5)
			accepted := s.edit(s.entries[0], table.SetPool("e1", pool.New("p1")))
			s.fault(store.Faults{Down: true})
			longest = max(longest, s.inForce(accepted.Version))
			time.Sleep(30 * time.Second)
			s.fault(store.Faults{})
			time.Sleep(5 * time.Second)
			for i, entry := range s.entries {
				if _, ok := entry.Current().Pools["p1"]; !ok {
					t.Errorf("seed %d: entry %d lost the edit", seed, i)
				}
				if s.count(i, event.PlatformFailed) != 1 || s.count(i, event.PlatformRestored) != 1 {
					t.Errorf("seed %d: entry %d recorded %v", seed, i, s.records[i].Events())
				}
			}
		})
	}
}

// Guards against entries that depend on their peers to learn of an edit, and against a backoff that is too
// long for an edit accepted right after an outage.
func TestEditIsInForceByPollingAlone(t *testing.T) {
	var longest time.Duration
	defer func() { t.Logf("longest time until an edit was in force: %v", longest) }()
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, seed, false)
			s.startMany(5)
			longest = max(longest, s.inForce(s.edit(s.entries[0], table.SetPool("e1", pool.New("p1"))).Version))
			s.fault(store.Faults{Down: true})
			time.Sleep(time.Minute)
			s.fault(store.Faults{})
			longest = max(longest, s.inForce(s.edit(s.entries[1], table.SetPool("e2", pool.New("p2"))).Version))
			for i := range 3 * table.RecentEdits { // more than the head keeps: all rows are read
				s.edit(s.entries[2], table.SetPool(fmt.Sprint("n", i), pool.New("p3").WithSlots(i)))
			}
			s.inForce(uint64(2 + 3*table.RecentEdits))
			if got := s.entries[4].Current().Pools["p3"].Slots; got != 3*table.RecentEdits-1 {
				t.Errorf("seed %d: the last edit is not in force, slots are %d", seed, got)
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
				s := newSite(t, 1, true)
				s.startMany(2)
				s.edit(s.entries[0], table.SetPool("e1", pool.New("p1")))
				version := s.edit(s.entries[0], table.SetPool("e2", pool.New("p2"))).Version
				s.fault(faults)
				late := s.start()
				if late.Ready() {
					t.Fatal("the entry is ready before it has the tables")
				}
				s.inForce(version)
				if len(late.Current().Pools) != 2 || !late.Ready() {
					t.Fatalf("got %v", late.Current())
				}
			})
		})
	}
}

// Guards against an entry without peers that never reads the tables from a store that is slower than the
// timeout of its polls.
func TestSlowStoreIsReadInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, false)
		editor := s.start()
		for i := range 2 * table.RecentEdits {
			s.edit(editor, table.SetPool(fmt.Sprint("n", i), pool.New("p")))
		}
		s.fault(store.Faults{Delay: 3 * time.Second})
		late := s.start()
		time.Sleep(10 * time.Second) // a timeout, and two reads of 3 s
		if !late.Ready() || late.Current().Versions != editor.Current().Versions {
			t.Fatalf("got %v", late.Current())
		}
		s.edit(editor, table.SetPool("last", pool.New("q")))
		time.Sleep(10 * time.Second)
		if late.Current().Versions != editor.Current().Versions || s.count(1, event.PlatformFailed) != 1 {
			t.Fatalf("got %v, %v", late.Current(), s.records[1].Events())
		}
	})
}

// countingTable counts reads of the heads by interval.
type countingTable struct {
	store.Table
	mu    sync.Mutex
	reads map[time.Time]int
}

const herdInterval = 100 * time.Millisecond

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	c.mu.Lock()
	c.reads[time.Now().Truncate(herdInterval)]++
	c.mu.Unlock()
	return c.Table.Get(ctx, keys...)
}

// Guards against entries that poll in step when the store returns, or faster while it is down.
func TestPollsSpreadDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 50
		s := newSite(t, 1, false)
		counting := &countingTable{Table: s.store, reads: map[time.Time]int{}}
		s.service = counting
		s.startMany(entries)
		s.fault(store.Faults{Down: true})
		time.Sleep(10 * time.Second)
		from := time.Now()
		time.Sleep(10 * time.Second)
		s.fault(store.Faults{})
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
			t.Fatalf("%d entries read %d times in 10 s of outage and %d times in %v", entries, total, peak, herdInterval)
		}
		t.Logf("%d entries: %d reads in 10 s of outage, at most %d in %v", entries, total, peak, herdInterval)
	})
}

// Guards against edits accepted by a store that lost newer versions: they would never come into force.
func TestStoreBehindTheTablesRefusesEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, true)
		s.startMany(1)
		s.edit(s.entries[0], table.SetPool("e1", pool.New("p1")))
		s.edit(s.entries[0], table.SetPool("e2", pool.New("p2")))
		s.service = store.NewMemory(store.Limits{}, s.random)
		other := s.start()
		s.inForce(2)
		_, err := other.Edit(t.Context(), table.SetRoute("e3", route.New("r1", "p1")), 0)
		var stale *StaleStoreError
		if !errors.As(err, &stale) || stale.Have != 2 || stale.Store != 0 {
			t.Fatalf("got %v", err)
		}
	})
}
