package batchentry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"dogwoodglade/batchagent"
	"dogwoodglade/batchentry"
	"dogwoodglade/core/batch"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
)

// directory is the store that all processes share.
type directory struct {
	mu      sync.Mutex
	config  site.Configuration
	entries []home.Entry
	servers map[string]supervise.Server
	down    bool
	silent  bool // reads of the configuration are not answered
	changed chan struct{}
}

func newDirectory() *directory {
	return &directory{
		config: site.Configuration{Version: 1}, servers: map[string]supervise.Server{}, changed: make(chan struct{}),
	}
}

type downError struct{}

func (downError) Error() string { return "the store is down" }

func (d *directory) check() error {
	if d.down {
		return downError{}
	}
	return nil
}

func (d *directory) Configuration(ctx context.Context) (site.Configuration, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent {
		d.mu.Unlock()
		<-ctx.Done()
		d.mu.Lock()
		return site.Configuration{}, 0, ctx.Err()
	}
	return d.config, d.config.Version, d.check()
}

func (d *directory) Changes(ctx context.Context, after uint64, wait time.Duration) (site.Configuration, uint64, error) {
	d.mu.Lock()
	changed := d.changed
	if d.config.Version > after || d.down {
		defer d.mu.Unlock()
		return d.config, d.config.Version, d.check()
	}
	d.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config, d.config.Version, d.check()
}

func (d *directory) set(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Version = version
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) Register(_ context.Context, e home.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return d.check()
}

func (d *directory) Entries(context.Context) ([]home.Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.entries), d.check()
}

func (d *directory) SaveServer(_ context.Context, agent string, s supervise.Server) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers[agent] = s
	return d.check()
}

func (d *directory) Server(_ context.Context, agent string) (supervise.Server, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[agent], d.check()
}

// backend is a backend server that runs each task for as long as its spec says.
type backend struct {
	mu      sync.Mutex
	name    string
	started time.Time
	until   time.Duration
	running map[batch.TaskID]*taskRun
	ended   []supervise.TaskEnd
	starts  []batch.TaskID
	fails   bool
	news    chan struct{}
	shared  *log
}

type taskRun struct {
	number  int
	timer   *time.Timer
	started time.Time
	length  time.Duration
}

func (r *taskRun) percent() int { return int(100 * time.Since(r.started) / r.length) }

// log finds tasks that run twice at the same time.
type log struct {
	mu       sync.Mutex
	running  map[batch.TaskID]string
	overlaps []string
}

func (l *log) begin(task batch.TaskID, on string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.running[task]; ok {
		l.overlaps = append(l.overlaps, fmt.Sprintf("%v on %s and %s", task, other, on))
	}
	l.running[task] = on
}

func (l *log) end(task batch.TaskID) {
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
	b.shared.end(task)
	b.ended = append(b.ended, supervise.TaskEnd{
		Sequence: uint64(len(b.ended) + 1), Task: task, Number: r.number, End: how,
	})
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// lapse ends what runs without a lease. It is called before each order and by a timer of the test.
func (b *backend) lapse() {
	if b.clock() <= b.until {
		return
	}
	for task := range b.running {
		b.end(task, supervise.Lost)
	}
}

func (b *backend) Start(_ context.Context, c supervise.CallStart) (supervise.StartResult, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapse()
	d, err := time.ParseDuration(c.Spec)
	if err != nil {
		return supervise.Unacceptable, b.clock()
	}
	how := supervise.Done
	if b.fails {
		how = supervise.Failed
	}
	b.until = max(b.until, c.Until)
	b.starts = append(b.starts, c.Task)
	b.shared.begin(c.Task, b.name)
	b.running[c.Task] = &taskRun{number: c.Number, started: time.Now(), length: d, timer: time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.lapse()
		b.end(c.Task, how)
	})}
	return supervise.Accepted, b.clock()
}

func (b *backend) Stop(_ context.Context, c supervise.CallStop) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(c.Task, supervise.Stopped)
	return true, b.clock()
}

func (b *backend) Hold(ctx context.Context, h supervise.Hold) (supervise.HoldResponse, error) {
	select {
	case <-b.news:
	case <-time.After(h.Wait):
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapse()
	if h.Renew {
		b.until = max(b.until, h.Until)
	}
	answer := supervise.HoldResponse{Incarnation: 1, Clock: b.clock(), Ended: b.ended[min(int(h.Seen), len(b.ended)):]}
	for task, r := range b.running {
		answer.Running = append(answer.Running, supervise.RunningTask{Task: task, Number: r.number, Percent: r.percent()})
	}
	return answer, nil
}

// testSite is entries and agents on a network in memory, on a paused clock.
type testSite struct {
	t        *testing.T
	network  *memnet.Network
	store    *directory
	log      *log
	entries  map[string]*batchentry.Entry
	backends map[string]*backend
	stops    map[string]func()
}

func newSite(t *testing.T, entries, agents int) *testSite {
	s := &testSite{
		t: t, network: memnet.New(), store: newDirectory(), log: &log{running: map[batch.TaskID]string{}},
		entries: map[string]*batchentry.Entry{}, backends: map[string]*backend{}, stops: map[string]func(){},
	}
	for i := range entries {
		s.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for i := range agents {
		name := fmt.Sprintf("agent-%d", i+1)
		s.backends[name] = &backend{
			name: name, started: time.Now().Add(-time.Hour), running: map[batch.TaskID]*taskRun{},
			news: make(chan struct{}, 1), shared: s.log,
		}
		s.startAgent(name)
	}
	time.Sleep(3 * time.Second)
	return s
}

func (s *testSite) startEntry(name string) {
	s.t.Helper()
	host := s.network.Host(name)
	e, stop, err := batchentry.New(batchentry.Options{
		Name: name, Region: "of-" + name, Address: name + ":1", Weight: 1, Directory: s.store,
		Logger: zerolog.Nop(), Dial: host.Dial, Listen: host.Listen, Now: time.Now,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.entries[name], s.stops[name] = e, stop
}

func (s *testSite) startAgent(name string) {
	b := s.backends[name]
	// Each agent is in the region of an entry, in turn.
	region := fmt.Sprintf("of-entry-%d", (len(s.stops)-len(s.entries))%max(len(s.entries), 1)+1)
	a, stop := batchagent.New(batchagent.Options{
		Name: name, Region: region, Directory: s.store, Server: b, Logger: zerolog.Nop(),
		Dial: s.network.Host(name).Dial, Now: time.Now,
	})
	s.stops[name] = stop
	a.Announced(supervise.Server{
		ID: name, Pool: "pool", Incarnation: 1, Sequence: 1, Capacity: resource.Amount{Processor: 10000}, Clock: b.clock(),
	})
}

func (s *testSite) close() {
	for _, stop := range s.stops {
		stop()
	}
	for _, b := range s.backends {
		b.mu.Lock()
		b.until = 0
		b.lapse()
		b.mu.Unlock()
	}
	for _, overlap := range s.log.overlaps {
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

func run(t *testing.T, entries, agents int, test func(s *testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, entries, agents)
		test(s)
		s.close()
		time.Sleep(time.Minute) // handshakes time out
	})
}

// Guards against a path that loses jobs on a calm day.
func TestCalmDay(t *testing.T) {
	run(t, 2, 4, func(s *testSite) {
		for i := range 20 {
			name := fmt.Sprintf("entry-%d", i%2+1)
			begun := time.Now()
			o := s.entries[name].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 8, 50*time.Millisecond))
			if _, ok := o.(batch.Completed); !ok {
				s.t.Fatalf("job %d at %s: got %s", i, name, batch.OutcomeName(o))
			}
			if taken := time.Since(begun); taken > 100*time.Millisecond {
				s.t.Errorf("job %d took %v", i, taken)
			}
		}
	})
}

// Guards against callers who wait at one entry while another has free backend servers.
func TestJobsGoWhereRoomIs(t *testing.T) {
	run(t, 2, 4, func(s *testSite) {
		var waiting sync.WaitGroup
		begun := time.Now()
		for i := range 4 {
			waiting.Go(func() {
				o := s.entries["entry-1"].Submit(s.t.Context(), newJob(fmt.Sprint("job-", i), 10, 400*time.Millisecond))
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("job %d: got %s", i, batch.OutcomeName(o))
				}
			})
			time.Sleep(150 * time.Millisecond) // for the reports of the load
		}
		waiting.Wait()
		if taken := time.Since(begun); taken > 1200*time.Millisecond {
			s.t.Errorf("four jobs that fill four backend servers took %v", taken)
		}
	})
}

// Guards against callers who are refused although an entry has room: the reports of the load are a fraction of a
// second old, and a peer that seemed to have room may have filled since.
func TestJobRefusedByPeerGoesToAnother(t *testing.T) {
	for seed := range 8 {
		run(t, 3, 6, func(s *testSite) {
			var waiting sync.WaitGroup
			submit := func(entry string, j batch.Job) {
				waiting.Go(func() {
					if _, ok := s.entries[entry].Submit(s.t.Context(), j).(batch.Completed); !ok {
						s.t.Errorf("seed %d: job %s was not run", seed, j.ID)
					}
				})
				synctest.Wait()
			}
			submit("entry-1", newJob("first", 30, time.Second)) // fits nowhere; its rest waits
			submit("entry-2", newJob("second", 20, time.Second))
			submit("entry-2", newJob(fmt.Sprint("third-", seed), 10, 200*time.Millisecond))
			submit("entry-2", newJob(fmt.Sprint("fourth-", seed), 10, 200*time.Millisecond))
			waiting.Wait()
		})
	}
}

// Guards against a second run of a task while the first goes on, when its caller submits the job again at another
// entry because the first one is lost.
func TestResubmissionAfterLossOfEntry(t *testing.T) {
	for _, loss := range []string{"stopped", "silent"} {
		t.Run(loss, func(t *testing.T) {
			run(t, 2, 2, func(s *testSite) {
				ctx, cancel := context.WithCancel(s.t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.entries["entry-1"].Submit(ctx, newJob("job-1", 8, 5*time.Second))
				}()
				time.Sleep(200 * time.Millisecond)
				lost := time.Now()
				if loss == "silent" {
					for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
						s.network.Stall("entry-1", other, true)
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
					s.network.Stall("entry-1", other, false)
				}
			})
		})
	}
}

// Guards against a run that goes on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	run(t, 1, 1, func(s *testSite) {
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

// Guards against jobs that hang when the agent that runs them is lost: they are run elsewhere.
func TestAgentLost(t *testing.T) {
	run(t, 1, 2, func(s *testSite) {
		answered := make(chan batch.Outcome, 1)
		go func() {
			answered <- s.entries["entry-1"].Submit(s.t.Context(), newJob("job-1", 12, 500*time.Millisecond))
		}()
		time.Sleep(100 * time.Millisecond)
		s.network.Stall("agent-1", "entry-1", true)
		begun := time.Now()
		o := <-answered
		if _, ok := o.(batch.Completed); !ok || time.Since(begun) > 4*time.Second {
			s.t.Errorf("got %s after %v", batch.OutcomeName(o), time.Since(begun))
		}
		s.network.Stall("agent-1", "entry-1", false)
	})
}

// Guards against a planned stop that leaves callers without an answer, and against an entry that takes jobs which
// it cannot finish.
func TestPlannedStop(t *testing.T) {
	run(t, 2, 2, func(s *testSite) {
		e := s.entries["entry-1"]
		answers := make(chan batch.Outcome, 2)
		go func() { answers <- e.Submit(s.t.Context(), newJob("short", 4, 3*time.Second)) }()
		go func() { answers <- e.Submit(s.t.Context(), newJob("long", 4, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		defer cancel()
		if !e.Ready() {
			s.t.Error("a working entry is not ready")
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
			s.t.Errorf("while the load balancer has not noticed: got %s", batch.OutcomeName(o))
		}
		time.Sleep(2500 * time.Millisecond)
		o = e.Submit(s.t.Context(), newJob("late", 4, 50*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok {
			s.t.Errorf("on an open connection: got %s", batch.OutcomeName(o))
		}
		<-stopped
		if _, ok := (<-answers).(batch.Completed); !ok {
			s.t.Error("the short job was not finished")
		}
		if _, ok := (<-answers).(batch.Unknown); !ok {
			s.t.Error("the long job was not answered")
		}
		if o, ok := e.Submit(s.t.Context(), newJob("after", 1, time.Millisecond)).(batch.NotRun); !ok || o.RetryAfter <= 0 {
			s.t.Error("a stopped entry took a job")
		}
	})
}

// Guards against configurations that reach some entries late or not at all, or that go back.
func TestConfigurationReachesAll(t *testing.T) {
	run(t, 3, 0, func(s *testSite) {
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

// Guards against callers who are refused for seconds after an outage, when all entries were restarted during it: none
// has a configuration, and each waits for an answer that will not come, or for its next try.
func TestConfigurationIsReadSoonAfterOutage(t *testing.T) {
	run(t, 0, 0, func(s *testSite) {
		s.store.silent = true
		s.startEntry("entry-1")
		for range 10 {
			time.Sleep(1370 * time.Millisecond)
			s.store.mu.Lock()
			s.store.silent = false
			s.store.mu.Unlock()
			time.Sleep(750 * time.Millisecond)
			if s.entries["entry-1"].Configuration().Version == 0 {
				s.t.Fatal("the entry has no configuration 750 ms after the outage")
			}
			s.stops["entry-1"]()
			s.store.mu.Lock()
			s.store.silent = true
			s.store.mu.Unlock()
			s.startEntry("entry-1")
		}
	})
}

// Guards against an agent that needs the next announcement of its backend server after a restart, and against
// runs of its earlier life that go on.
func TestAgentRestarts(t *testing.T) {
	run(t, 1, 1, func(s *testSite) {
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

// Guards against a planned stop that cuts its callers off because less time is given than the load balancer needs to
// notice it.
func TestShortPlannedStop(t *testing.T) {
	run(t, 1, 1, func(s *testSite) {
		e := s.entries["entry-1"]
		answer := make(chan batch.Outcome, 1)
		go func() { answer <- e.Submit(s.t.Context(), newJob("long", 4, time.Minute)) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(s.t.Context(), 2*time.Second)
		defer cancel()
		e.Stop(ctx)
		time.Sleep(time.Millisecond)
		select {
		case o := <-answer:
			if _, ok := o.(batch.Unknown); !ok {
				s.t.Errorf("got %s", batch.OutcomeName(o))
			}
		default:
			s.t.Error("the job has no answer when the entry has stopped")
			e.CancelJob("long")
		}
	})
}

// Guards against agents that go on trying an entry which does not answer before they choose another one.
func TestAgentsLeaveSilentEntry(t *testing.T) {
	run(t, 2, 2, func(s *testSite) {
		for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
			s.network.Stall("entry-1", other, true)
		}
		time.Sleep(900 * time.Millisecond)
		begun := time.Now()
		o := s.entries["entry-2"].Submit(s.t.Context(), newJob("job-1", 20, 200*time.Millisecond))
		if _, ok := o.(batch.Completed); !ok || time.Since(begun) > 300*time.Millisecond {
			s.t.Errorf("got %s after %v; both backend servers should be at entry-2", batch.OutcomeName(o), time.Since(begun))
		}
		for _, other := range []string{"entry-2", "agent-1", "agent-2"} {
			s.network.Stall("entry-1", other, false)
		}
	})
}

// Guards against two entries that pass the same job to each other and both wait: its caller submitted it at both at
// once, and each had less room than it knew of the other.
func TestSameJobAtTwoEntries(t *testing.T) {
	run(t, 2, 2, func(s *testSite) {
		filler := make(chan batch.Outcome, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			go func() {
				filler <- s.entries[name].Submit(s.t.Context(), newJob("filler-"+name, 9, 600*time.Millisecond))
			}()
		}
		time.Sleep(30 * time.Millisecond) // the entries do not know of each other's load yet
		answers := make(chan batch.Outcome, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			go func() { answers <- s.entries[name].Submit(s.t.Context(), newJob("same", 4, 100*time.Millisecond)) }()
		}
		for range 2 {
			select {
			case o := <-answers:
				if _, ok := o.(batch.Completed); !ok {
					s.t.Errorf("got %s", batch.OutcomeName(o))
				}
			case <-time.After(5 * time.Second):
				s.t.Error("no answer")
			}
		}
		<-filler
		<-filler
	})
}
