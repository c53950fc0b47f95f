package batchentry_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
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
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
)

// fakeStore is the store that all processes share.
type fakeStore struct {
	mu           sync.Mutex
	config       site.Configuration
	state        evacuation.State // its position rises with each change
	history      uint64           // changes up to this position were dropped
	entries      []home.Entry
	servers      map[string]supervise.Server
	down         bool
	unresponsive bool // calls about the configuration get no response
	// foreignDelay is how long after the wait responses with rows of other keys arrive; zero if there are none.
	foreignDelay time.Duration
	delay        time.Duration // of the responses about the configuration
	changed      chan struct{}
	silenced     chan struct{} // closed when the calls in progress lose their responses
	polls        int           // calls of WaitForChange
	calls        atomic.Int64  // of any kind, other than reads of the evacuations by agents
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		config: site.Configuration{Version: 1}, servers: map[string]supervise.Server{}, changed: make(chan struct{}),
		silenced: make(chan struct{}), state: evacuation.NewState(1, nil),
	}
}

// silence loses the responses to the calls in progress.
func (d *fakeStore) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

func (d *fakeStore) setUnresponsive(unresponsive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = unresponsive
}

type storeDownError struct{}

func (storeDownError) Error() string { return "the store is down" }

func (d *fakeStore) check() error {
	if d.down {
		return storeDownError{}
	}
	return nil
}

func (d *fakeStore) Configuration(ctx context.Context) (site.Configuration, evacuation.State, error) {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unresponsive {
		d.mu.Unlock()
		<-ctx.Done()
		d.mu.Lock()
		return site.Configuration{}, evacuation.State{}, ctx.Err()
	}
	return d.read(evacuation.State{})
}

func (d *fakeStore) WaitForChange(
	ctx context.Context, after evacuation.State, wait time.Duration,
) (batchentry.Edits, error) {
	d.calls.Add(1)
	d.mu.Lock()
	d.polls++
	defer time.Sleep(d.delay)
	changed, silenced := d.changed, d.silenced
	if d.unresponsive {
		d.mu.Unlock()
		<-ctx.Done()
		return batchentry.Edits{}, ctx.Err()
	}
	if d.foreignDelay > 0 {
		delay := wait + d.foreignDelay
		d.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		return batchentry.Edits{Evacuations: after}, ctx.Err()
	}
	if d.state.Position() > after.Position() || d.down {
		defer d.mu.Unlock()
		return d.edits(after)
	}
	d.mu.Unlock()
	timeout := time.After(wait)
	select {
	case <-changed:
	case <-timeout:
	case <-silenced:
		<-ctx.Done()
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		return batchentry.Edits{}, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.edits(after)
}

func (d *fakeStore) edits(after evacuation.State) (batchentry.Edits, error) {
	c, state, err := d.read(after)
	return batchentry.Edits{Configuration: c, Evacuations: state, Waited: state.Position() == after.Position()}, err
}

// read returns what was changed after a state.
func (d *fakeStore) read(after evacuation.State) (site.Configuration, evacuation.State, error) {
	switch {
	case d.down:
		return site.Configuration{}, evacuation.State{}, d.check()
	case after.Position() > 0 && after.Position() < d.history:
		return site.Configuration{}, evacuation.State{}, &batchentry.HistoryLostError{}
	case after.Position() == d.state.Position():
		return site.Configuration{}, d.state, nil
	}
	return d.config, d.state, nil
}

func (d *fakeStore) set(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Version = version
	d.change(d.state)
}

// change sets the evacuations and wakes those that wait for a change.
func (d *fakeStore) change(state evacuation.State) {
	d.state = state.WithPosition(d.state.Position() + 1)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeStore) Register(_ context.Context, e home.Entry) error {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return d.check()
}

func (d *fakeStore) Entries(context.Context) ([]home.Entry, error) {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.entries), d.check()
}

func (d *fakeStore) SaveServer(_ context.Context, agent string, s supervise.Server) error {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers[agent] = s
	return d.check()
}

func (d *fakeStore) Server(_ context.Context, agent string) (supervise.Server, error) {
	d.calls.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[agent], d.check()
}

// backend is a fake backend server that runs each task for the duration in its spec.
type backend struct {
	mu        sync.Mutex
	name      string
	started   time.Time
	leaseEnd  time.Duration
	running   map[batch.TaskID]*taskRun
	ended     []supervise.TaskEnd
	starts    []batch.TaskID
	lastStart time.Time
	failTasks bool
	deadly    batch.JobID // a task of this job crashes it
	restarts  int64
	down      bool
	announce  func()
	loseHolds int // one in so many Hold calls gets no response; none if 0
	loseStops atomic.Bool
	holds     int
	endSignal chan struct{}
	overlaps  *overlapRecorder
}

type taskRun struct {
	number   int
	timer    *time.Timer
	started  time.Time
	duration time.Duration
}

func (r *taskRun) percent() int { return int(100 * time.Since(r.started) / r.duration) }

// overlapRecorder records tasks that have two runs at the same time.
type overlapRecorder struct {
	mu      sync.Mutex
	running map[batch.TaskID]string
	found   []string
}

func (l *overlapRecorder) begin(task batch.TaskID, on string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.running[task]; ok {
		l.found = append(l.found, fmt.Sprintf("%v on %s and %s", task, other, on))
	}
	l.running[task] = on
}

func (l *overlapRecorder) end(task batch.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, task)
}

func (b *backend) clock() time.Duration { return time.Since(b.started) }

func (b *backend) end(task batch.TaskID, how supervise.End) {
	r, ok := b.running[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(b.running, task)
	b.overlaps.end(task)
	b.ended = append(b.ended, supervise.TaskEnd{
		Sequence: uint64(len(b.ended) + 1), Task: task, Number: r.number, End: how,
	})
	select {
	case b.endSignal <- struct{}{}:
	default:
	}
}

// expireLease ends all runs if the lease has expired. It is called at the start of each call and when a run's timer
// fires.
func (b *backend) expireLease() {
	if b.clock() <= b.leaseEnd {
		return
	}
	for task := range b.running {
		b.end(task, supervise.Lost)
	}
}

func (b *backend) Start(_ context.Context, c supervise.CallStart) (supervise.StartResult, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLease()
	switch {
	case b.down:
		return supervise.NotListening, 0
	case b.deadly == c.Task.Job:
		b.starts = append(b.starts, c.Task)
		b.crash()
		return supervise.Unanswered, 0
	}
	d, err := time.ParseDuration(c.Spec)
	if err != nil {
		return supervise.Unacceptable, b.clock()
	}
	how := supervise.Done
	if b.failTasks {
		how = supervise.Failed
	}
	b.leaseEnd = max(b.leaseEnd, c.Until)
	b.starts, b.lastStart = append(b.starts, c.Task), time.Now()
	b.overlaps.begin(c.Task, b.name)
	b.running[c.Task] = &taskRun{number: c.Number, started: time.Now(), duration: d, timer: time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.expireLease()
		b.end(c.Task, how)
	})}
	return supervise.Accepted, b.clock()
}

func (b *backend) Stop(ctx context.Context, c supervise.CallStop) (bool, time.Duration) {
	b.mu.Lock()
	if b.loseStops.Load() {
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		defer b.mu.Unlock()
		return false, 0
	}
	defer b.mu.Unlock()
	b.end(c.Task, supervise.Stopped)
	return true, b.clock()
}

func (b *backend) Hold(ctx context.Context, h supervise.Hold) (supervise.HoldResponse, error) {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return supervise.HoldResponse{}, &batchagent.NotListeningError{Cause: net.ErrClosed}
	}
	b.holds++
	lost := b.loseHolds > 0 && b.holds%b.loseHolds == 0
	b.mu.Unlock()
	if lost {
		<-ctx.Done()
		return supervise.HoldResponse{}, ctx.Err()
	}
	if h.Wait > 0 {
		select {
		case <-b.endSignal:
		case <-time.After(h.Wait):
		case <-ctx.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLease()
	if h.Renew {
		b.leaseEnd = max(b.leaseEnd, h.Until)
	}
	response := supervise.HoldResponse{Incarnation: 1 + b.restarts, Clock: b.clock(), Ended: b.ended[min(int(h.Seen), len(b.ended)):]}
	for task, r := range b.running {
		response.Running = append(response.Running, supervise.RunningTask{Task: task, Number: r.number, Percent: r.percent()})
	}
	return response, nil
}

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
	// dataCentres are those of the agents and entries, by name, and turnedAway the processes that the store does not
	// answer.
	dataCentres     map[string]string
	turnedAway      map[string]*atomic.Bool
	evacuationReads atomic.Int64
	region          string // of all processes; if empty, each entry has a region of its own, with some of the agents
}

func newSite(t *testing.T, region string, entries, agents int) *testSite {
	s := &testSite{
		region: region, metrics: map[string]metrics.Registry{}, logs: &logRecorder{},
		t: t, network: memnet.New(), store: newFakeStore(), overlaps: &overlapRecorder{running: map[batch.TaskID]string{}},
		dataCentres: map[string]string{}, turnedAway: map[string]*atomic.Bool{},
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

// Guards against jobs that fail or are slow when no fault occurs.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	runSite(t, 2, 4, func(s *testSite) {
		for i := range 20 {
			name := fmt.Sprintf("entry-%d", i%2+1)
			start := time.Now()
			o := s.entries[name].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 8, 50*time.Millisecond))
			if _, ok := o.(batch.Completed); !ok {
				s.t.Fatalf("job %d at %s: got %s", i, name, batch.OutcomeName(o))
			}
			if elapsed := time.Since(start); elapsed > 100*time.Millisecond {
				s.t.Errorf("job %d took %v", i, elapsed)
			}
		}
	})
}

// Guards against jobs that are queued at one entry while another has free backend servers.
func TestJobsForwardedToEntryWithCapacity(t *testing.T) {
	runSite(t, 2, 4, func(s *testSite) {
		var waiting sync.WaitGroup
		start := time.Now()
		for i := range 4 {
			waiting.Go(func() {
				o := s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 10, 400*time.Millisecond))
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("job %d: got %s", i, batch.OutcomeName(o))
				}
			})
			time.Sleep(150 * time.Millisecond) // until the loads have been reported
		}
		waiting.Wait()
		if elapsed := time.Since(start); elapsed > 1200*time.Millisecond {
			s.t.Errorf("four jobs that fill four backend servers took %v", elapsed)
		}
	})
}

// Guards against jobs that are refused although an entry has free capacity. The reported loads are a fraction of a
// second old, so an entry may have become full since its last report.
func TestJobRefusedByPeerForwardedToAnother(t *testing.T) {
	for seed := range 8 {
		runSite(t, 3, 6, func(s *testSite) {
			var waiting sync.WaitGroup
			submit := func(entry string, j batch.Job) {
				waiting.Go(func() {
					if _, ok := s.entries[entry].Submit(s.t.Context(), j).(batch.Completed); !ok {
						s.t.Errorf("seed %d: job %s was not run", seed, j.ID)
					}
				})
				synctest.Wait()
			}
			submit("entry-1", newJob("first", 30, time.Second)) // exceeds every entry's capacity, so some tasks are queued
			submit("entry-2", newJob("second", 20, time.Second))
			submit("entry-2", newJob(fmt.Sprint("third-", seed), 10, 200*time.Millisecond))
			submit("entry-2", newJob(fmt.Sprint("fourth-", seed), 10, 200*time.Millisecond))
			waiting.Wait()
		})
	}
}

// Guards against two runs of a task at the same time when an entry is lost and the caller resubmits the job to another
// entry.
func TestResubmissionAfterEntryLoss(t *testing.T) {
	for _, loss := range []string{"stopped", "unresponsive"} {
		t.Run(loss, func(t *testing.T) {
			runSite(t, 2, 2, func(s *testSite) {
				ctx, cancel := context.WithCancel(s.t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.entries["entry-1"].Submit(ctx, newJob("job-1", 8, 5*time.Second))
				}()
				time.Sleep(200 * time.Millisecond)
				lost := time.Now()
				if loss == "unresponsive" {
					for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
						s.network.SetStalled("entry-1", other, true)
					}
				} else {
					s.stops["entry-1"]()
					delete(s.stops, "entry-1")
				}
				time.Sleep(1300 * time.Millisecond)
				o := s.entries["entry-2"].Submit(s.t.Context(), newJob("job-1", 8, 100*time.Millisecond))
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("got %s, %v after the loss", batch.OutcomeName(o), time.Since(lost))
				}
				cancel()
				<-done
				for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
					s.network.SetStalled("entry-1", other, false)
				}
			})
		})
	}
}

// Guards against runs that continue after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		ctx, cancel := context.WithTimeout(s.t.Context(), 300*time.Millisecond)
		defer cancel()
		s.entries["entry-1"].Submit(ctx, newJob("job-1", 8, time.Minute))
		time.Sleep(100 * time.Millisecond)
		b := s.backends["agent-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.starts) != 8 || len(b.running) > 0 {
			s.t.Errorf("%d tasks started, %d still run", len(b.starts), len(b.running))
		}
	})
}

// Guards against jobs that hang when the agent that runs them is lost. Their tasks must be started elsewhere.
func TestAgentLost(t *testing.T) {
	runSite(t, 1, 2, func(s *testSite) {
		outcome := make(chan batch.Outcome, 1)
		go func() {
			outcome <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job-1", 12, 500*time.Millisecond))
		}()
		time.Sleep(100 * time.Millisecond)
		s.network.SetStalled("agent-1", "entry-1", true)
		start := time.Now()
		o := <-outcome
		if _, ok := o.(batch.Completed); !ok || time.Since(start) > 4*time.Second {
			s.t.Errorf("got %s after %v", batch.OutcomeName(o), time.Since(start))
		}
		s.network.SetStalled("agent-1", "entry-1", false)
	})
}

// Guards against a planned stop that leaves callers without a response, and against an entry that accepts jobs which it
// cannot finish.
func TestPlannedStop(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		e := s.entries["entry-1"]
		outcomes := make(chan batch.Outcome, 2)
		go func() { outcomes <- e.Submit(s.t.Context(), newJob("short", 4, 3*time.Second)) }()
		go func() { outcomes <- e.Submit(s.t.Context(), newJob("long", 4, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		defer cancel()
		if !e.Ready() {
			s.t.Error("a running entry is not ready")
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			e.Stop(ctx)
		}()
		time.Sleep(100 * time.Millisecond)
		if e.Ready() {
			s.t.Error("a stopping entry is ready")
		}
		o := e.Submit(s.t.Context(), newJob("meanwhile", 4, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("before the load balancer has removed the entry: got %s", batch.OutcomeName(o))
		}
		time.Sleep(2500 * time.Millisecond)
		o = e.Submit(s.t.Context(), newJob("late", 4, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("on an open connection: got %s", batch.OutcomeName(o))
		}
		<-stopped
		if _, ok := (<-outcomes).(batch.Completed); !ok {
			s.t.Error("the short job was not finished")
		}
		if _, ok := (<-outcomes).(batch.Unknown); !ok {
			s.t.Error("the long job was not answered as Unknown")
		}
		if o, ok := e.Submit(s.t.Context(), newJob("after", 1, time.Millisecond)).(batch.NotRun); !ok || o.RetryAfter <= 0 {
			s.t.Error("a stopped entry did not refuse a job with a Retry-After")
		}
	})
}

// Guards against configurations that reach some entries late or not at all, or that are replaced by an older one.
func TestConfigurationReachesAllEntries(t *testing.T) {
	runSite(t, 3, 0, func(s *testSite) {
		s.store.set(5)
		time.Sleep(300 * time.Millisecond)
		for name, e := range s.entries {
			if v := e.Configuration().Version; v != 5 {
				s.t.Errorf("%s has version %d", name, v)
			}
		}
		s.store.mu.Lock()
		s.store.down = true
		s.store.mu.Unlock()
		s.startEntry("entry-4")
		for _, peer := range []string{"entry-1"} {
			if p, err := s.network.Host(peer).Dial(s.t.Context(), "tcp", "entry-4:1"); err == nil {
				_ = p.Close()
			}
		}
		time.Sleep(time.Second)
		if s.entries["entry-4"].Ready() {
			s.t.Error("an entry without a configuration is ready")
		}
		s.store.mu.Lock()
		s.store.down = false
		s.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		if v := s.entries["entry-4"].Configuration().Version; v != 5 {
			s.t.Errorf("after the outage entry-4 has version %d", v)
		}
	})
}

// Guards against callers who are refused for seconds after an outage of the store during which all entries were
// restarted. No entry has a configuration then, and each waits for a response that will not arrive, or for its next
// retry.
func TestConfigurationReadPromptlyAfterOutage(t *testing.T) {
	runSite(t, 0, 0, func(s *testSite) {
		s.store.unresponsive = true
		s.startEntry("entry-1")
		for range 10 {
			time.Sleep(1370 * time.Millisecond)
			s.store.mu.Lock()
			s.store.unresponsive = false
			s.store.mu.Unlock()
			time.Sleep(750 * time.Millisecond)
			if s.entries["entry-1"].Configuration().Version == 0 {
				s.t.Fatal("the entry has no configuration 750 ms after the outage")
			}
			s.stops["entry-1"]()
			s.store.mu.Lock()
			s.store.unresponsive = true
			s.store.mu.Unlock()
			s.startEntry("entry-1")
		}
	})
}

// Guards against a restarted agent that is unusable until the next announcement of its backend server, and against runs
// of the previous agent process that continue.
func TestAgentRestarts(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		ctx, cancel := context.WithCancel(s.t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.entries["entry-1"].Submit(ctx, newJob("job-1", 4, time.Minute))
		}()
		time.Sleep(100 * time.Millisecond)
		s.stops["agent-1"]()
		cancel()
		<-done
		b := s.backends["agent-1"]
		_, stop := batchagent.New(batchagent.Options{
			Name: "agent-1", DataCentre: "dc-entry-1", Directory: s.store, Server: b, Logger: zerolog.Nop(),
			Dial: s.network.Host("agent-1").Dial, Now: time.Now,
		})
		s.stops["agent-1"] = stop
		time.Sleep(500 * time.Millisecond)
		o := s.entries["entry-1"].Submit(s.t.Context(), newJob("job-2", 10, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("got %s", batch.OutcomeName(o))
		}
	})
}

// Guards against a planned stop that leaves callers without a response because its deadline is shorter than the time
// that the load balancer needs to remove the entry.
func TestShortPlannedStop(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		e := s.entries["entry-1"]
		outcome := make(chan batch.Outcome, 1)
		go func() { outcome <- e.Submit(s.t.Context(), newJob("long", 4, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
		defer cancel()
		e.Stop(ctx)
		time.Sleep(time.Millisecond)
		select {
		case o := <-outcome:
			if _, ok := o.(batch.Unknown); !ok {
				s.t.Errorf("got %s", batch.OutcomeName(o))
			}
		default:
			s.t.Error("the job has no outcome although the entry has stopped")
			e.CancelJob("long")
		}
	})
}

// Guards against agents that keep retrying an unresponsive entry before they choose another one.
func TestAgentsLeaveUnresponsiveEntry(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
			s.network.SetStalled("entry-1", other, true)
		}
		time.Sleep(900 * time.Millisecond)
		start := time.Now()
		o := s.entries["entry-2"].Submit(s.t.Context(), newJob("job-1", 20, 200*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok || time.Since(start) > 300*time.Millisecond {
			s.t.Errorf("got %s after %v; both backend servers should be at entry-2", batch.OutcomeName(o), time.Since(start))
		}
		for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
			s.network.SetStalled("entry-1", other, false)
		}
	})
}

// Guards against two entries that forward the same job to each other and then both wait for its outcome. This happens
// when the caller submits it to both at once, and each has less free capacity than the other last reported.
func TestSameJobSubmittedToTwoEntries(t *testing.T) {
	runSite(t, 2, 2, func(s *testSite) {
		filler := make(chan batch.Outcome, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			go func() {
				filler <- s.entries[name].Submit(s.t.Context(), newJob("filler-"+name, 9, 600*time.Millisecond))
			}()
		}
		time.Sleep(30 * time.Millisecond) // the entries have not received each other's load yet
		outcomes := make(chan batch.Outcome, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			go func() { outcomes <- s.entries[name].Submit(s.t.Context(), newJob("same", 4, 100*time.Millisecond)) }()
		}
		for range 2 {
			select {
			case o := <-outcomes:
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("got %s", batch.OutcomeName(o))
				}
			case <-time.After(5 * time.Second):
				s.t.Error("no outcome within 5 s")
			}
		}
		<-filler
		<-filler
	})
}

// Guards against jobs that are late because an agent does not notice the end of a run while a hold call gets no response.
func TestLostHoldResponses(t *testing.T) {
	runSite(t, 1, 1, func(s *testSite) {
		b := s.backends["agent-1"]
		b.mu.Lock()
		b.loseHolds = 16
		b.mu.Unlock()
		late := 0
		for i := range 100 {
			start := time.Now()
			o := s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 4, 50*time.Millisecond))
			if _, ok := o.(batch.Completed); !ok {
				s.t.Fatalf("job %d: got %s", i, batch.OutcomeName(o))
			}
			if time.Since(start) > 100*time.Millisecond {
				late++
			}
		}
		// The first loss shows that responses are lost. About every third job meets another one.
		if late > 2 {
			s.t.Errorf("%d of 100 jobs of 50 ms took more than 100 ms", late)
		}
	})
}

// registry returns new metrics for a process that is being started.
func (s *testSite) registry(process string) metrics.Registry {
	s.metrics[process] = metrics.NewRegistry()
	return s.metrics[process]
}
