package batchentry_test

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/batchentry"
	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
)

// logRecorder keeps the log lines of all processes.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer for one line.
func (r *logRecorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, string(line))
	return len(line), nil
}

func (r *logRecorder) logger(process string) zerolog.Logger {
	return zerolog.New(r).With().Timestamp().Str("Process", process).Logger()
}

// about returns the lines that contain the text.
func (r *logRecorder) about(text string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, line := range r.lines {
		if strings.Contains(line, text) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// testEntry is an entry whose callers leave when their contexts end.
type testEntry struct{ *batchentry.Entry }

func (e testEntry) Submit(ctx context.Context, j batch.Job) batch.Outcome {
	return e.Entry.Submit(ctx, j, func() bool { return ctx.Err() == nil })
}

// testSite is a set of entries and agents on an in-memory network with a fake clock (testing/synctest).
type testSite struct {
	t        *testing.T
	network  *memnet.Network
	store    *fakeStore
	overlaps *overlapRecorder
	entries  map[string]testEntry
	backends map[string]*backend
	stops    map[string]func()
	metrics  map[string]metrics.Registry // of the entries
	logs     *logRecorder
	// suspended is how long the entries have been suspended. Their timers did not advance meanwhile.
	suspended atomic.Int64
	// dataCentres are those of the agents and entries, by name, turnedAway the processes whose calls the store refuses, and
	// unanswered those whose calls of WaitForChange get no response.
	dataCentres     map[string]string
	turnedAway      map[string]*atomic.Bool
	unanswered      map[string]*atomic.Bool
	evacuationReads atomic.Int64
	region          string // of all processes; if empty, each entry has a region of its own, with some of the agents
}

func newSite(t *testing.T, region string, entries, agents int) *testSite {
	s := &testSite{
		region: region, metrics: map[string]metrics.Registry{}, logs: &logRecorder{},
		t: t, network: memnet.New(), store: newFakeStore(), overlaps: &overlapRecorder{running: map[batch.TaskID]string{}},
		dataCentres: map[string]string{}, turnedAway: map[string]*atomic.Bool{}, unanswered: map[string]*atomic.Bool{},
		entries: map[string]testEntry{}, backends: map[string]*backend{}, stops: map[string]func(){},
	}
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for i := range agents {
		s.addAgent(fmt.Sprintf("agent-%d", i+1))
	}
	time.Sleep(3 * time.Second)
	return s
}

// addAgent adds a backend server and its agent.
func (s *testSite) addAgent(name string) {
	s.backends[name] = &backend{
		name: name, started: time.Now().Add(-time.Hour), running: map[batch.TaskID]*taskRun{},
		endSignal: make(chan struct{}, 1), overlaps: s.overlaps,
	}
	s.startAgent(name)
}

func (s *testSite) startEntry(name string) {
	s.t.Helper()
	host := s.network.Host(name)
	s.registry(name)
	e, stop, err := batchentry.New(batchentry.Options{
		Name: name, Region: cmp.Or(s.region, "of-"+name), DataCentre: s.dataCentres[name],
		Address: name + ":1", Weight: 1, Directory: s.storeFor(name),
		Logger: s.logs.logger(name), Metrics: s.metrics[name], Dial: host.Dial, Listen: host.Listen,
		Now: func() time.Time { return time.Now().Add(time.Duration(s.suspended.Load())) },
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.entries[name], s.stops[name] = testEntry{e}, stop
}

func (s *testSite) startAgent(name string) {
	b := s.backends[name]
	// Agents are assigned to the regions of the entries in turn.
	region := fmt.Sprintf("of-entry-%d", (len(s.stops)-len(s.entries))%max(len(s.entries), 1)+1)
	a, stop := batchagent.New(batchagent.Options{
		Name: name, Region: cmp.Or(s.region, region), DataCentre: s.dataCentres[name], Directory: s.storeFor(name), Server: b,
		Logger: s.logs.logger(name), Metrics: s.registry(name),
		Dial: s.network.Host(name).Dial, Now: time.Now,
	})
	s.stops[name] = stop
	b.announce = func() {
		a.HandleAnnouncement(supervise.Server{
			ID: name, Pool: "pool", Incarnation: 1 + b.restarts, Sequence: 1, Capacity: resource.Amount{Processor: 10000},
			Clock: b.clock(),
		})
	}
	b.announce()
}

// agentCounts returns the number of agents of each running entry that has any.
func (s *testSite) agentCounts() map[string]int64 {
	counts := map[string]int64{}
	for name := range s.entries {
		if n := metrics.GetOrRegisterGauge("Batch.Agents", s.metrics[name]).Value(); n > 0 {
			counts[name] = n
		}
	}
	return counts
}

// killEntry stops an entry without a planned stop.
func (s *testSite) killEntry(name string) {
	s.stops[name]()
	delete(s.stops, name)
	delete(s.entries, name)
}

func (s *testSite) close() {
	for _, stop := range s.stops {
		stop()
	}
	for _, b := range s.backends {
		b.mu.Lock()
		b.leaseEnd = 0
		b.expireLease()
		b.mu.Unlock()
	}
	for _, overlap := range s.overlaps.found {
		s.t.Error("two runs at the same time: ", overlap)
	}
}

func newJob(id string, tasks int, d time.Duration) batch.Job {
	return batch.Job{
		ID: batch.JobID(id), Route: "route", Pool: "pool", Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
		Timeout: 20 * time.Second, Spec: d.String(),
		Steps: []batch.Step{{Count: tasks, Demand: resource.Amount{Processor: 1000}, Estimate: min(d, time.Second)}},
	}
}

func runSite(t *testing.T, entries, agents int, test func(s *testSite)) {
	t.Helper()
	runSiteIn(t, "", entries, agents, test)
}

// runSiteInOneRegion runs a site whose agents all choose the same entry as their home.
func runSiteInOneRegion(t *testing.T, entries, agents int, test func(s *testSite)) {
	t.Helper()
	runSiteIn(t, "region", entries, agents, test)
}

func runSiteIn(t *testing.T, region string, entries, agents int, test func(s *testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, region, entries, agents)
		test(s)
		s.close()
		time.Sleep(time.Minute) // let pending handshakes time out
	})
}

// registry returns new metrics for a process that is being started.
func (s *testSite) registry(process string) metrics.Registry {
	s.metrics[process] = metrics.NewRegistry()
	return s.metrics[process]
}
