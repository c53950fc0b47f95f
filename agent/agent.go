// Package agent is the process beside the backend servers of one host.
//
// It connects the decisions of core/executor to the entries (io/inner), the backend servers (io/backend) and
// the platform (io/store). If an entry fails, its tasks go on and their records wait for its successor;
// if the platform fails, a registered agent goes on and a new one waits.
package agent

import (
	"context"
	"crypto/rand"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/outbox"
	"dogwoodglade/core/task"
	"dogwoodglade/io/backend"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/store"
)

// Intervals of an agent.
const (
	heartbeatInterval = 500 * time.Millisecond
	tickInterval      = 100 * time.Millisecond
	platformTimeout   = 2 * time.Second
	registerRetry     = time.Second
	drainPoll         = 20 * time.Millisecond
	cancelTimeout     = time.Second
	rowCheckInterval  = 2 * time.Minute
	aloneLimit        = time.Minute // without a connection, after which the agent registers again
	leaveGrace        = time.Second // for starts that were sent before the entries heard of the drain
)

// Options are what an agent needs to start.
type Options struct {
	Name           string
	Region         string
	DataCentre     string
	Rack           string
	Entries        []string // addresses of the inner protocol
	BackendAddress string   // where backend servers announce themselves
	DrainTimeout   time.Duration
	Platform       store.Service
	Recorder       *event.Recorder
	Metrics        metrics.Registry
	Dial           inner.DialFunc // opens connections to entries
	DialBackend    inner.DialFunc // opens connections to backend servers; nil uses the network
	Listen         func(address string) (net.Listener, error)
}

// Agent is a running agent.
type Agent struct {
	options     Options
	incarnation string
	address     string
	client      *backend.Client

	aborted atomic.Bool

	mu       sync.Mutex // guards executor, peers and requests
	executor *executor.Executor
	peers    map[string]*inner.Peer     // by name of the entry
	requests map[task.AttemptID]request // to backend servers, in progress

	actions   outbox.Outbox[executor.Action]
	tasks     sync.WaitGroup
	connector *inner.Connector
	ready     chan struct{} // closed when connector is set
	rejoined  chan struct{} // has an element when the agent was alone for long
	alone     time.Time     // when the agent started or lost its last connection; zero while there is one; guarded by mu
}

// request is a task that runs on a backend server.
type request struct {
	address string
	abandon context.CancelFunc // closes the connection, so that the outcome is unknown
}

// New starts an agent. The clean-up drains it: running tasks finish, at most until the drain timeout.
func New(options Options) (*Agent, func(), error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	a := &Agent{
		options:     options,
		incarnation: rand.Text(),
		executor:    executor.New(options.Name, func(e event.Event) { options.Recorder.Record(e) }),
		peers:       map[string]*inner.Peer{},
		requests:    map[task.AttemptID]request{},
		ready:       make(chan struct{}),
		rejoined:    make(chan struct{}, 1),
		alone:       time.Now(),
	}
	listener, err := options.Listen(options.BackendAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "start agent %s", options.Name)
	}
	a.address = listener.Addr().String()
	var closeClient func()
	a.client, closeClient = backend.NewClient(executor.DefaultConnections, options.DialBackend)
	closeServer := backend.Serve(listener, a)
	ctx, stop := context.WithCancel(context.Background())
	closeConnector := a.connect()
	var running sync.WaitGroup
	running.Go(func() { a.keepRegistered(ctx) })
	running.Go(func() { a.every(ctx, heartbeatInterval, a.heartbeat) })
	running.Go(func() { a.every(ctx, tickInterval, a.tick) })
	options.Recorder.Record(event.Event{Number: event.ProcessStarted, Task: -1, State: a.incarnation})
	cleanUp := func() {
		cut := a.drain()
		stop()
		running.Wait()
		if a.aborted.Load() {
			closeConnector()
		}
		a.abandonTasks()
		a.tasks.Wait()
		closeConnector()
		closeServer()
		closeClient()
		options.Recorder.Record(event.Event{Number: event.ProcessStopped, Task: -1, Count: cut})
	}
	return a, cleanUp, nil
}

// Address returns the address on which backend servers announce themselves.
func (a *Agent) Address() string { return a.address }

// Unready returns why the agent cannot run tasks.
func (a *Agent) Unready() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reasons []string
	if len(a.peers) == 0 {
		reasons = append(reasons, "no entry is connected")
	}
	if len(a.executor.Heartbeat(time.Now())) == 0 {
		reasons = append(reasons, "no backend server is announced")
	}
	return reasons
}

// Abort makes the clean-up stop the agent at once, as a failure of its host would.
func (a *Agent) Abort() { a.aborted.Store(true) }

func (a *Agent) connect() (cleanUp func()) {
	local := inner.Local{
		Identity: inner.Identity{
			Role: inner.RoleAgent, Name: a.options.Name, Incarnation: a.incarnation,
			Region: a.options.Region, DataCentre: a.options.DataCentre, Rack: a.options.Rack,
		},
		Clock:   a.options.Recorder,
		Metrics: a.options.Metrics,
	}
	connector, cleanUp := inner.NewConnector(a.options.Dial, local, a)
	a.connector = connector
	close(a.ready)
	for _, address := range a.options.Entries {
		connector.Keep(address)
	}
	return cleanUp
}

func (a *Agent) every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (a *Agent) tick() {
	a.decide(func(now time.Time) []executor.Action { return a.executor.Tick(now) })
}

// decide runs a decision under the lock and performs its actions in order outside of it.
func (a *Agent) decide(decision func(now time.Time) []executor.Action) {
	a.mu.Lock()
	a.actions.Push(decision(time.Now())...)
	a.mu.Unlock()
	a.actions.Perform(a.perform)
}

func (a *Agent) perform(action executor.Action) {
	switch action := action.(type) {
	case executor.Run:
		a.run(action)
	case executor.Stop:
		a.stopTask(action.Attempt)
	case executor.SendOutcome:
		// If the owner is gone, its successor learns the outcome from the records.
		if p := a.peer(action.Owner); p != nil {
			p.Outcome(action.Record)
		}
	case executor.SendRelease:
		// If the allocator is gone, its successor learns of the free slot from the heartbeat.
		if p := a.peer(action.Allocator); p != nil {
			p.ReleaseSlot(action.Release)
		}
	case executor.SendHeartbeat:
		a.heartbeat()
	}
}

func (a *Agent) peer(entry string) *inner.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peers[entry]
}

func (a *Agent) heartbeat() {
	a.mu.Lock()
	servers := a.executor.Heartbeat(time.Now())
	peers := slices.Collect(maps.Values(a.peers))
	a.mu.Unlock()
	for _, p := range peers {
		p.Heartbeat(servers)
	}
}

// run sends a task to its backend server and reports the end of the request.
func (a *Agent) run(r executor.Run) {
	ctx, cancel := context.WithCancel(context.Background())
	attempt := r.Start.Attempt
	a.mu.Lock()
	a.requests[attempt] = request{address: r.Address, abandon: cancel}
	a.mu.Unlock()
	a.tasks.Go(func() {
		result, err := a.client.Run(ctx, r.Address, r.Start)
		cancel()
		a.decide(func(now time.Time) []executor.Action {
			delete(a.requests, attempt)
			return a.ended(now, attempt, result, err)
		})
	})
}

func (a *Agent) ended(now time.Time, attempt task.AttemptID, result task.Result, err error) []executor.Action {
	var lost *backend.ConnectionLostError
	switch {
	case err == nil:
		return a.executor.AttemptEnded(now, attempt, result)
	case errors.As(err, &lost):
		return a.executor.AttemptLost(now, attempt)
	default:
		failed := task.Result{Status: backend.StatusFailed, Body: []byte(err.Error())}
		return a.executor.AttemptEnded(now, attempt, failed)
	}
}

// drain refuses new starts, waits for running tasks and leaves the start records in the object store. It
// returns the number of tasks that the drain timeout cut off.
func (a *Agent) drain() (cut int) {
	if a.aborted.Load() {
		return 0
	}
	a.decide(func(now time.Time) []executor.Action { return a.executor.Drain(now) })
	begun := time.Now()
	for time.Since(begun) < a.options.DrainTimeout && (!a.drained() || time.Since(begun) < leaveGrace) {
		time.Sleep(drainPoll)
	}
	a.mu.Lock()
	cut = len(a.requests)
	records := a.executor.Records()
	a.mu.Unlock()
	if cut == 0 {
		a.leave(records)
	}
	return cut
}

// drained reports whether no task runs and everything was sent to the entries.
func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if !p.Flushed() {
			return false
		}
	}
	return a.executor.Drained() && a.actions.Idle()
}

// abandonTasks gives up the tasks that still run when the agent exits.
func (a *Agent) abandonTasks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.requests {
		r.abandon()
	}
}

// stopTask asks the backend server to stop a task. The task keeps its slot until its request has ended.
func (a *Agent) stopTask(attempt task.AttemptID) {
	a.mu.Lock()
	r, ok := a.requests[attempt]
	a.mu.Unlock()
	if !ok {
		return
	}
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// A backend server that does not answer runs the task to its end.
		_ = a.client.Cancel(ctx, r.address, attempt)
	})
}
