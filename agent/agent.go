// Package agent implements the agent process, which runs on a host with backend servers.
//
// It connects the state machine of core/executor to the entries (io/inner), the backend servers (io/backend)
// and the platform (io/store). If an entry fails, its tasks continue and their records are kept for the new
// owner. If the platform fails, a registered agent continues and a new one waits until it can register.
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

// Intervals and timeouts of an agent.
const (
	heartbeatInterval     = 500 * time.Millisecond
	tickInterval          = 100 * time.Millisecond
	platformTimeout       = 2 * time.Second
	registerRetryInterval = time.Second
	drainPollInterval     = 20 * time.Millisecond
	cancelTimeout         = time.Second
	rowCheckInterval      = 2 * time.Minute
	maxDisconnectedTime   = time.Minute // without a connection to an entry, after which the agent registers again
	minDrainTime          = time.Second // so that starts sent before the entries learned of the drain are answered
)

// Options configures an agent.
type Options struct {
	Name           string
	Region         string
	DataCentre     string
	Rack           string
	Entries        []string // inner protocol addresses
	BackendAddress string   // where backend servers announce themselves
	DrainTimeout   time.Duration
	Platform       store.Service
	Recorder       *event.Recorder
	Metrics        metrics.Registry
	Incoming       *inner.Incoming // memory of the connections to entries; nil has the default limits
	RecordBytes    int64           // of start records; 0 has no limit
	Dial           inner.DialFunc  // opens connections to entries
	DialBackend    inner.DialFunc  // opens connections to backend servers; nil uses the network
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

	actions      outbox.Outbox[executor.Action]
	tasks        sync.WaitGroup
	connector    *inner.Connector
	connectorSet chan struct{} // closed when connector is set
	reregister   chan struct{} // signals that the agent was disconnected for longer than maxDisconnectedTime
	// When the agent started or lost its last connection; zero while connected; guarded by mu.
	disconnectedSince time.Time
}

// request is a task in progress on a backend server.
type request struct {
	address string
	cancel  context.CancelFunc // closes the connection, so that the outcome is unknown
}

// New starts an agent. The returned function drains and stops it. The drain waits for running tasks, at most
// for the drain timeout.
func New(options Options) (*Agent, func(), error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	a := &Agent{
		options:           options,
		incarnation:       rand.Text(),
		executor:          executor.New(options.Name, func(e event.Event) { options.Recorder.Record(e) }),
		peers:             map[string]*inner.Peer{},
		requests:          map[task.AttemptID]request{},
		connectorSet:      make(chan struct{}),
		reregister:        make(chan struct{}, 1),
		disconnectedSince: time.Now(),
	}
	a.executor.SetMaxRecords(int(options.RecordBytes / executor.RecordBytes))
	listener, err := options.Listen(options.BackendAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "start agent %s", options.Name)
	}
	a.address = listener.Addr().String()
	var closeClient func()
	a.client, closeClient = backend.NewClient(executor.DefaultConnections, options.DialBackend)
	report := func(number event.Number, listener string, count int) {
		options.Recorder.Record(event.Event{Number: number, Task: -1, State: listener, Count: count})
	}
	closeServer := backend.Serve(listener, a, report, options.Metrics)
	ctx, stop := context.WithCancel(context.Background())
	closeConnector := a.connect()
	var running sync.WaitGroup
	running.Go(func() { a.keepRegistered(ctx) })
	running.Go(func() { a.every(ctx, heartbeatInterval, a.heartbeat) })
	running.Go(func() { a.every(ctx, tickInterval, a.tick) })
	options.Recorder.Record(event.Event{Number: event.ProcessStarted, Task: -1, State: a.incarnation})
	cleanUp := func() {
		interrupted := a.drain()
		stop()
		running.Wait()
		if a.aborted.Load() {
			// As after a failure of the host, the entries do not receive the outcomes of cancelled requests.
			closeConnector()
		}
		a.cancelRequests()
		a.tasks.Wait()
		closeConnector()
		closeServer()
		closeClient()
		options.Recorder.Record(event.Event{Number: event.ProcessStopped, Task: -1, Count: interrupted})
	}
	return a, cleanUp, nil
}

// Address returns the address on which backend servers announce themselves.
func (a *Agent) Address() string { return a.address }

// NotReadyReasons returns the reasons why the agent cannot run tasks, or nothing if it can.
func (a *Agent) NotReadyReasons() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reasons []string
	if len(a.peers) == 0 {
		reasons = append(reasons, "no entry is connected")
	}
	if len(a.executor.Heartbeat(time.Now())) == 0 {
		reasons = append(reasons, "no backend server has announced itself")
	}
	return reasons
}

// Abort makes the function that stops the agent skip the drain, as if the host had failed.
func (a *Agent) Abort() { a.aborted.Store(true) }

func (a *Agent) connect() (cleanUp func()) {
	local := inner.Local{
		Identity: inner.Identity{
			Role: inner.RoleAgent, Name: a.options.Name, Incarnation: a.incarnation,
			Region: a.options.Region, DataCentre: a.options.DataCentre, Rack: a.options.Rack,
		},
		Clock:   a.options.Recorder,
		Metrics: a.options.Metrics, Incoming: a.options.Incoming,
	}
	connector, cleanUp := inner.NewConnector(a.options.Dial, local, a)
	a.connector = connector
	close(a.connectorSet)
	for _, address := range a.options.Entries {
		connector.AddPermanent(address)
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
	a.withExecutor(func(now time.Time) []executor.Action { return a.executor.Tick(now) })
}

// withExecutor runs call with the lock held, then performs the returned actions in order.
func (a *Agent) withExecutor(call func(now time.Time) []executor.Action) {
	a.mu.Lock()
	a.actions.Push(call(time.Now())...)
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
		// If the owner is gone, the new owner learns the outcome from the start records.
		if p := a.peer(action.Owner); p != nil {
			p.Outcome(action.Record)
		}
	case executor.SendRelease:
		// If the allocator is gone, the new allocator learns of the free slot from the heartbeat.
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

// run sends a task to its backend server and passes the result to the executor.
func (a *Agent) run(r executor.Run) {
	ctx, cancel := context.WithCancel(context.Background())
	attempt := r.Start.Attempt
	a.mu.Lock()
	a.requests[attempt] = request{address: r.Address, cancel: cancel}
	a.mu.Unlock()
	a.tasks.Go(func() {
		result, err := a.client.Run(ctx, r.Address, r.Start)
		cancel()
		a.withExecutor(func(now time.Time) []executor.Action {
			delete(a.requests, attempt)
			return a.requestEnded(now, attempt, result, err)
		})
	})
}

func (a *Agent) requestEnded(now time.Time, attempt task.AttemptID, result task.Result, err error) []executor.Action {
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

// drain refuses new starts, waits for running tasks and stores the start records in the object store. It
// returns the number of tasks that were still running at the drain timeout; if there are any, it stores no
// records.
func (a *Agent) drain() (interrupted int) {
	if a.aborted.Load() {
		return 0
	}
	a.withExecutor(func(now time.Time) []executor.Action { return a.executor.Drain(now) })
	start := time.Now()
	for time.Since(start) < a.options.DrainTimeout && (!a.drained() || time.Since(start) < minDrainTime) {
		time.Sleep(drainPollInterval)
	}
	a.mu.Lock()
	interrupted = len(a.requests)
	records := a.executor.Records()
	a.mu.Unlock()
	if interrupted == 0 {
		a.storeRecords(records)
	}
	return interrupted
}

// drained reports whether no task is running and all messages to the entries have been sent.
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

// cancelRequests cancels the requests of the tasks that are still running when the agent exits.
func (a *Agent) cancelRequests() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.requests {
		r.cancel()
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
		// If the backend server does not answer, the task runs to its end.
		_ = a.client.Cancel(ctx, r.address, attempt)
	})
}
