// Package entry implements the entry process.
//
// It connects the state machines of core to callers (io/caller), to agents and other entries (io/inner) and
// to the platform (io/store). Each entry accepts submissions from callers, owns some key shards and allocates
// the slots of some pools. If another entry fails, its shards and pools move to the remaining entries. If the
// platform fails, jobs continue to run but the tables cannot be edited.
package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/retry"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/io/caller"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/store"
	"dogwoodglade/io/tables"
)

// Intervals and timeouts of an entry.
const (
	stateTickInterval     = 50 * time.Millisecond // between ticks of the owners and allocators
	pingInterval          = 250 * time.Millisecond
	platformTimeout       = 2 * time.Second
	drainPollInterval     = 20 * time.Millisecond
	agentHeartbeatTimeout = 2 * time.Second // after which an agent's connection is closed
	agentReconnectTimeout = 2 * time.Second // after the loss of an agent's connection, until its tasks count as lost
)

// Memory for what is kept for resubmissions, without a setting.
const (
	defaultAnswerBytes = 256 << 20
	defaultRecordBytes = 256 << 20
)

// Options configures an entry.
type Options struct {
	Name          string
	Region        string
	DataCentre    string
	Rack          string
	InnerAddress  string
	CallerAddress string
	Peers         []string // inner protocol addresses of other entries
	DrainTimeout  time.Duration
	Platform      store.Service
	Recorder      *event.Recorder
	Metrics       metrics.Registry
	Callers       caller.Limits
	Incoming      *inner.Incoming // memory of the connections to other processes; nil has the default limits
	AnswerBytes   int64           // of results that are kept for resubmissions; 0: 256 MiB
	RecordBytes   int64           // of jobs that are kept for resubmissions, without results; 0: 256 MiB
	Dial          inner.DialFunc
	Listen        func(address string) (net.Listener, error)
}

// Entry is a running entry.
type Entry struct {
	options       Options
	incarnation   string
	innerAddress  string
	callerAddress string
	tables        *tables.Tables
	budgets       *retry.Budgets
	answers       *job.AnswerBudget
	records       *job.RecordBudget
	connector     *inner.Connector

	owners     [shard.Count]ownedShard
	allocators allocators
	directory  directory
	ownership  ownershipState
	waiters    waiters

	draining          atomic.Bool
	aborted           atomic.Bool
	closing           atomic.Bool            // set after the drain; connections that end afterwards do not count as lost
	submissions       atomic.Int64           // from callers, in progress
	disconnectedSince map[agentRun]time.Time // when cleanRegistry first found that no entry is connected to the agent
	background        background
}

// New starts an entry. The returned function drains and stops it. The drain hands over the shards to other
// entries and waits for open jobs, at most for the drain timeout.
func New(options Options) (*Entry, func(), error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	e := &Entry{options: options, incarnation: rand.Text(), budgets: retry.NewBudgets()}
	e.answers = job.NewAnswerBudget(cmp.Or(options.AnswerBytes, defaultAnswerBytes))
	e.records = job.NewRecordBudget(cmp.Or(options.RecordBytes, defaultRecordBytes))
	innerListener, err := options.Listen(options.InnerAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "start entry %s", options.Name)
	}
	callerListener, err := options.Listen(options.CallerAddress)
	if err != nil {
		_ = innerListener.Close()
		return nil, nil, errors.Wrapf(err, "start entry %s", options.Name)
	}
	e.innerAddress, e.callerAddress = innerListener.Addr().String(), callerListener.Addr().String()
	e.background.init()
	e.directory.init()
	e.waiters.init()
	e.allocators.init()
	e.ownership.init(e)

	stopTables := e.startTables()
	stopConnections := e.connect(innerListener)
	stopServer := e.serve(callerListener)
	e.background.every(stateTickInterval, e.tickOwnersAndAllocators)
	e.background.every(pingInterval, e.tickPeers)
	e.background.every(ownership.TickInterval, e.tickOwnership)
	e.background.every(registryCleanUpInterval, e.cleanRegistry)
	e.background.every(metricsInterval, e.updateMetrics)
	options.Recorder.Record(event.Event{Number: event.ProcessStarted, Task: -1, State: e.incarnation})
	cleanUp := func() {
		interrupted := e.drain()
		e.closing.Store(true)
		if e.aborted.Load() {
			// As after a failure of the host, agents and other entries receive no more messages.
			stopConnections()
		}
		stopServer()
		e.background.stop()
		stopConnections()
		stopTables()
		options.Recorder.Record(event.Event{Number: event.ProcessStopped, Task: -1, Count: interrupted})
	}
	return e, cleanUp, nil
}

// InnerAddress returns the address on which the entry serves agents and other entries.
func (e *Entry) InnerAddress() string { return e.innerAddress }

// CallerAddress returns the address on which the entry serves callers.
func (e *Entry) CallerAddress() string { return e.callerAddress }

// Tables returns the entry's copy of the tables.
func (e *Entry) Tables() *tables.Tables { return e.tables }

// Ready implements caller.Dispatcher.
func (e *Entry) Ready() bool { return len(e.NotReadyReasons()) == 0 }

// NotReadyReasons returns the reasons why the entry should not receive work, or nothing if it can.
func (e *Entry) NotReadyReasons() []string {
	var reasons []string
	if e.draining.Load() {
		reasons = append(reasons, "the entry is stopping")
	}
	if !e.tables.Ready() {
		reasons = append(reasons, "the tables have not been loaded yet")
	}
	return reasons
}

// Abort makes the function that stops the entry skip the drain, as if the host had failed.
func (e *Entry) Abort() { e.aborted.Store(true) }

func (e *Entry) startTables() (cleanUp func()) {
	var cleanUpTables func()
	e.tables, cleanUpTables = tables.New(tables.Config{
		Platform: e.options.Platform,
		Pull: func(ctx context.Context, peer string, since table.Versions) (table.PullResponse, error) {
			p := e.directory.entry(peer)
			if p == nil {
				return table.PullResponse{}, errors.WithStack(&inner.UnreachableError{Peer: peer, Method: "PullTables"})
			}
			return p.PullTables(ctx, since)
		},
		OnUpdate: func(table.Snapshot) { e.allocators.tablesChanged.Store(true) },
		Record:   e.record,
		Random:   newRandom(),
	})
	return cleanUpTables
}

// connect accepts connections from agents and other entries, and connects to the configured peers.
func (e *Entry) connect(listener net.Listener) (cleanUp func()) {
	local := inner.Local{
		Identity: inner.Identity{
			Role: inner.RoleEntry, Name: e.options.Name, Incarnation: e.incarnation,
			Region: e.options.Region, DataCentre: e.options.DataCentre, Rack: e.options.Rack,
			Address: e.innerAddress,
		},
		Clock:   e.options.Recorder,
		Metrics: e.options.Metrics, Incoming: e.options.Incoming,
	}
	connector, closeConnector := inner.NewConnector(e.options.Dial, local, dialled{inbound{e}})
	e.connector = connector
	closeServer := inner.Serve(listener, local, inbound{e})
	for _, address := range e.options.Peers {
		connector.AddPermanent(address)
	}
	return func() {
		closeConnector()
		closeServer()
	}
}

// serve serves callers until cleanUp is called.
func (e *Entry) serve(listener net.Listener) (cleanUp func()) {
	report := func(number event.Number, listener string, count int) {
		e.record(event.Event{Number: number, Task: -1, State: listener, Count: count})
	}
	server, closeServer := caller.Serve(listener, e, e.options.Callers, report, e.options.Metrics)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		closeServer()
	}
}

func (e *Entry) record(ev event.Event) { e.options.Recorder.Record(ev) }

func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}
