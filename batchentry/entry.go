// Package batchentry implements the entry process for batch jobs, which accepts jobs from callers and dispatches their
// tasks to agents. A caller gets the response when its job ends. Jobs are not persisted.
//
// It connects the state machines of core/dispatch and core/overflow to callers, to the agents that chose this entry as
// their home, and to the other entries (io/inner). If an agent is lost, its tasks are started elsewhere once its runs
// have certainly ended. If another entry is lost, the jobs that were forwarded to it are answered as Unknown, and the
// jobs that it forwarded to this one are cancelled. If the store is unreachable, the entry continues with the
// configuration that it has.
package batchentry

import (
	"context"
	"crypto/rand"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/overflow"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

const (
	// tickInterval is how often time limits are checked.
	tickInterval = 50 * time.Millisecond
	// maxCheckAge is the age of the latest check after which messages are only handled once the checks have been repeated.
	maxCheckAge = 2 * tickInterval
	// keepAliveInterval allows three keep-alive messages within an agent's session lease.
	keepAliveInterval = 150 * time.Millisecond
	// loadInterval is how often this entry sends its load to the other entries.
	loadInterval = 100 * time.Millisecond
	// completeListDelay is how long after its start an entry tells its agents that its list of entries is complete. By
	// then it has connected to the entries that it can reach.
	completeListDelay = 2 * time.Second
	// expiryInterval is how often forwarded jobs are checked for their time-out. Time-outs are in the order of seconds.
	expiryInterval = time.Second
	// connectionTimeout is how long a peer may send nothing before it is treated as lost. A connection can stop
	// delivering data without being reset.
	connectionTimeout = supervise.SessionLease
	// forwardedJobLease limits how long jobs forwarded by another entry continue after the time at which this entry sent
	// the latest clock reading that the other one echoed. Their callers were connected at that time or later. With
	// runLimitSlack and the time until a backend server has stopped the runs, it is less than the 1.3 s after which callers
	// resubmit, however late messages are processed.
	forwardedJobLease = 800 * time.Millisecond
	// runLimitSlack is how long after the end of a job here an agent may still renew the lease beside its runs. It covers
	// pauses of the link to the agent.
	runLimitSlack = 150 * time.Millisecond
	// configurationGrace is how long after its start an entry lets callers wait for its first configuration. It gets one
	// from the store or from another entry within a few milliseconds.
	configurationGrace = 500 * time.Millisecond
	// maxReadyLoadAge is the maximum age of another entry's load for this entry to be ready without backend servers of
	// its own.
	maxReadyLoadAge = time.Second
)

// Edits are the edits of the operators after a state, as the store returned them.
type Edits struct {
	Configuration site.Configuration // the newest one, or version 0 if there is none
	Evacuations   evacuation.State   // after the edits
	Waited        bool               // there was no edit at all for the time of the call
}

// Directory is the data that entries share through the platform's store.
type Directory interface {
	// Configuration returns the newest configuration and the evacuations, whose position is where WaitForChange begins. The
	// evacuations are also valid if the configuration cannot be decoded.
	Configuration(ctx context.Context) (site.Configuration, evacuation.State, error)
	// WaitForChange waits for at most the given time for an edit of the operators after a state. It returns a
	// HistoryLostError if the position of the state is too old. The evacuations are also valid if the configuration cannot
	// be decoded.
	WaitForChange(ctx context.Context, after evacuation.State, wait time.Duration) (Edits, error)
	// Register writes the entry to the directory.
	Register(ctx context.Context, e home.Entry) error
	// Entries returns the registered entries.
	Entries(ctx context.Context) ([]home.Entry, error)
}

// HistoryLostError reports that the store no longer has the changes after a position.
type HistoryLostError struct{}

// Error implements error.
func (*HistoryLostError) Error() string {
	return "the store no longer has the changes after the requested position"
}

// Options configure an entry.
type Options struct {
	Name       string
	Region     string
	DataCentre string
	Address    string   // listen address of the inner protocol
	Weight     float64  // relative share of the agents that this entry serves
	Seeds      []string // inner protocol addresses of other entries, for use before the store is reachable
	Directory  Directory
	Logger     zerolog.Logger
	Metrics    metrics.Registry
	Incoming   *inner.Incoming // memory of the connections to other processes; nil has the default limits
	Dial       inner.DialFunc
	Listen     func(address string) (net.Listener, error)
	Now        func() time.Time // a clock that also advances while the host is suspended
}

// Entry is a running entry.
type Entry struct {
	options     Options
	incarnation string
	clock       *event.Recorder
	metrics     entryMetrics
	connector   *inner.Connector
	ready       chan struct{} // closed when connector is set
	configured  chan struct{} // closed when the first configuration has been applied
	startedAt   time.Time

	mu               sync.Mutex // guards the fields below
	dispatcher       *dispatch.Dispatcher
	peers            *overflow.Peers
	agents           map[string]*agentSession
	entries          map[string]*entrySession // by name
	calls            map[batch.JobID]*call
	withdrawn        map[batch.JobID]map[string]withdrawal // by the entry that the job was forwarded to
	unconfirmed      map[batch.JobID]map[string]uint64     // number of the latest withdrawal, by origin
	config           site.Configuration
	configAsOf       time.Time // the store had no newer configuration at this time; zero if that is not known
	evacuations      evacuation.Knowledge
	loadEvacuations  sentEvacuations // what the latest load told the other entries
	readers          evacuation.Readers
	stopping         bool    // Ready reports false
	closing          bool    // callers should use another entry for their next request
	stopped          bool    // new jobs are refused
	releasingAgents  bool    // agents are told to choose another entry
	entryListVersion int     // version of the list of entries that is sent to agents
	listComplete     bool    // the list has all entries that can be reached
	sentCores        float64 // cores of usable backend servers in the load that was last sent
	sentLoads        overflow.SentLoads
	lastSession      uint64
	lastForward      uint64            // number of the latest forward to another entry
	checkedAt        time.Time         // when the time limits and the callers' connections were last checked
	actions          []dispatch.Action // to be carried out by performActions
	performing       bool              // performActions is in progress
	readsStore       bool              // the latest call about the configuration succeeded
	poll             *poll             // of the configuration, in progress; nil if none
}

type agentSession struct {
	peer            *inner.Peer
	lastReport      time.Time
	agentClock      time.Duration // the agent's clock in its latest report; 0 before the first one
	pool            string        // of its backend server
	sentListVersion int           // version of the list of entries that was last sent
	evacuations     sentEvacuations
	readStore       bool // it is asked to read the evacuations from the store
}

// entrySession is the state that this entry keeps about another one. It ends when the other entry is treated as lost.
// Both sides number their sessions, so that neither continues jobs that the other has abandoned, even if only one of
// them detected the loss.
type entrySession struct {
	home.Entry
	incarnation string
	// connections are the open connections, dialled by either side, with the session number in the peer's latest load.
	connections map[*inner.Peer]uint64
	current     *inner.Peer // the connection that this entry sends on until it closes
	lastLoad    time.Time
	draining    bool // it releases its agents
	pulling     bool // a newer configuration is being read from the peer
	readsStore  bool // its latest call to the store succeeded
	loadSentAt  time.Time

	session     uint64        // this entry's session number
	peerSession uint64        // the peer's highest session number so far
	peerClock   time.Duration // the peer's latest clock reading
	// lastEcho is the latest clock reading of this entry that the peer echoed. Before the first one, it is the beginning of
	// the session here; the peer may have used the session for longer.
	lastEcho time.Time
	echoed   bool
}

// New starts an entry. Stop drains it; the returned function stops it immediately.
func New(options Options) (*Entry, func(), error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	e := &Entry{
		options:          options,
		incarnation:      rand.Text(),
		clock:            event.NewRecorder(options.Name, 1, time.Now),
		metrics:          newEntryMetrics(options.Metrics),
		ready:            make(chan struct{}),
		configured:       make(chan struct{}),
		startedAt:        options.Now(),
		dispatcher:       dispatch.New(),
		peers:            overflow.New(),
		agents:           map[string]*agentSession{},
		entries:          map[string]*entrySession{},
		calls:            map[batch.JobID]*call{},
		withdrawn:        map[batch.JobID]map[string]withdrawal{},
		unconfirmed:      map[batch.JobID]map[string]uint64{},
		entryListVersion: 1,
	}
	listener, err := options.Listen(options.Address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "start entry %s", options.Name)
	}
	if options.Address == "" {
		e.options.Address = listener.Addr().String()
	}
	local := inner.Local{
		Identity: inner.Identity{
			Role: inner.RoleEntry, Name: options.Name, Incarnation: e.incarnation,
			Region: options.Region, DataCentre: options.DataCentre, Address: e.options.Address,
		},
		Clock:   e.clock,
		Metrics: options.Metrics, Incoming: options.Incoming,
	}
	closeServer := inner.Serve(listener, local, e)
	var closeConnector func()
	e.connector, closeConnector = inner.NewConnector(inner.WithConnectTimeout(options.Dial), local, e)
	close(e.ready)
	for _, seed := range options.Seeds {
		e.connector.AddDiscovered(seed)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { e.run(ctx) })
	running.Go(func() { e.watchConfiguration(ctx) })
	running.Go(func() { e.register(ctx) })
	e.log(event.ProcessStarted).Str("Incarnation", e.incarnation).Str("Address", e.options.Address).Send()
	return e, func() {
		stop()
		closeConnector()
		closeServer()
		running.Wait()
		e.log(event.ProcessStopped).Int("Open", e.openCallCount()).Send()
	}, nil
}

// Address returns the address of the inner protocol.
func (e *Entry) Address() string { return e.options.Address }

func (e *Entry) openCallCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// run performs the periodic work.
func (e *Entry) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastKeepAlive, lastExpiry time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		now := e.options.Now()
		e.check(now)
		e.performActions(e.dispatcher.Tick(now))
		if !e.listComplete && now.Sub(e.startedAt) > completeListDelay {
			e.listComplete = true
			e.entryListVersion++
		}
		if now.Sub(lastKeepAlive) >= keepAliveInterval-tickInterval/2 {
			lastKeepAlive = now
			e.chooseReaders(now)
			e.sendKeepAlives()
		}
		e.expireWithdrawn(now)
		e.reassignStranded(now)
		if _, sentAt := e.sentLoads.Latest(); now.Sub(sentAt) >= loadInterval-tickInterval/2 || e.coresChanged() {
			e.sendLoad()
		}
		if now.Sub(lastExpiry) >= expiryInterval {
			lastExpiry = now
			e.expireForwarded(now)
		}
		e.interruptPoll(now)
		e.updateMetrics(now)
		e.mu.Unlock()
	}
}

// check cancels the jobs of callers that have left and applies the time limits of sessions.
func (e *Entry) check(now time.Time) {
	e.checkedAt = now
	e.dropDepartedCallers() // first, as the loss of an agent may start tasks elsewhere
	e.closeTimedOut(now)
}

// checkIfLate checks if the periodic work is late. A process that was suspended may handle a message first, and would
// start tasks of jobs that have ended meanwhile.
func (e *Entry) checkIfLate(now time.Time) {
	if now.Sub(e.checkedAt) > maxCheckAge {
		e.check(now)
	}
}

// closeTimedOut ends the sessions of agents and entries that sent nothing within connectionTimeout, and drops forwarded
// jobs whose lease has expired.
func (e *Entry) closeTimedOut(now time.Time) {
	for name, a := range e.agents {
		if now.Sub(a.lastReport) > connectionTimeout {
			e.log(event.AgentLost).Str("Peer", name).Dur("Silent", now.Sub(a.lastReport)).Send()
			e.removeAgent(now, name, a)
		}
	}
	for name, x := range e.entries {
		if now.Sub(x.lastLoad) > connectionTimeout {
			e.log(event.EntryLost).Str("Peer", name).Dur("Silent", now.Sub(x.lastLoad)).Send()
			e.removeEntry(now, name, x)
		} else if now.Sub(x.lastEcho) > forwardedJobLease {
			e.expireForwards(x)
		}
	}
}

// Connected implements inner.Handler.
func (e *Entry) Connected(p *inner.Peer) {
	<-e.ready
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if p.Role == inner.RoleAgent {
		if old, ok := e.agents[p.Name]; ok {
			e.removeAgent(now, p.Name, old)
		}
		e.agents[p.Name] = &agentSession{peer: p, lastReport: now}
		actions := e.dispatcher.Connect(now, p.Name)
		e.dispatcher.SetDataCentre(p.Name, p.DataCentre)
		e.performActions(actions)
		e.log(event.AgentConnected).Str("Peer", p.Name).Str("Incarnation", p.Incarnation).Send()
		return
	}
	x, ok := e.entries[p.Name]
	if ok && x.incarnation != p.Incarnation {
		e.log(event.EntryLost).Str("Peer", p.Name).Str("State", "Restarted").Send()
		e.removeEntry(now, p.Name, x)
		ok = false
	}
	if !ok {
		e.lastSession++
		x = &entrySession{
			incarnation: p.Incarnation, connections: map[*inner.Peer]uint64{}, session: e.lastSession, lastEcho: now,
		}
		e.entries[p.Name] = x
		e.log(event.EntryConnected).Str("Peer", p.Name).Str("Incarnation", p.Incarnation).
			Uint64("Session", x.session).Send()
	}
	x.Entry = home.Entry{
		Name: p.Name, Address: p.Address, Region: p.Region, DataCentre: p.DataCentre, Weight: x.Weight,
	}
	x.connections[p] = 0
	e.entryListVersion++
	e.connector.AddDiscovered(p.Address)
	if x.current == nil {
		x.current, x.lastLoad = p, now
		p.Load(e.firstLoad(x))
	} else {
		p.Load(e.unusedLoad(x))
	}
	if crashes := e.dispatcher.Crashes(now); len(crashes) > 0 {
		p.Crashes(crashes)
	}
}

// Disconnected implements inner.Handler.
func (e *Entry) Disconnected(p *inner.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if a, ok := e.agents[p.Name]; ok && a.peer == p {
		e.log(event.AgentLost).Str("Peer", p.Name).Dur("Silent", now.Sub(a.lastReport)).Str("State", "Closed").Send()
		e.removeAgent(now, p.Name, a)
		return
	}
	x, ok := e.entrySessionOf(p)
	if !ok {
		return
	}
	delete(x.connections, p)
	inUse := x.current == p
	lost := inUse && !e.switchConnection(x)
	e.log(event.ConnectionLost).Str("Peer", p.Name).Bool("InUse", inUse).Int("Left", len(x.connections)).
		Uint64("Session", x.session).Send()
	if lost {
		e.log(event.EntryLost).Str("Peer", p.Name).Dur("Silent", now.Sub(x.lastLoad)).Str("State", "Closed").Send()
		e.removeEntry(now, p.Name, x)
	}
}

// removeAgent ends the session of an agent. Its runs may continue until the session lease of the agent and the lease of
// its backend server have expired.
func (e *Entry) removeAgent(now time.Time, name string, a *agentSession) {
	delete(e.agents, name)
	go a.peer.Close()
	e.performActions(e.dispatcher.Disconnect(now, name, a.lastReport.Add(supervise.MaxRunAfterAgentLoss)))
}

// sendKeepAlives extends the sessions of the agents. Runs continue with them, so the jobs of callers that have left are
// cancelled first.
func (e *Entry) sendKeepAlives() {
	e.dropDepartedCallers()
	for _, a := range e.agents {
		e.sendKeepAlive(a)
	}
}

// sendKeepAlive extends the session of an agent. The expiry is relative to the agent's clock in its latest report, so
// that a delayed message does not extend the session.
func (e *Entry) sendKeepAlive(a *agentSession) {
	k := inner.KeepAlive{Draining: e.releasingAgents}
	if slices.Contains(e.config.RefusingPools, a.pool) {
		k.RefusingPool = a.pool
	}
	if a.agentClock > 0 {
		k.Until = a.agentClock + supervise.SessionLease
		for _, id := range e.dispatcher.JobsOn(a.peer.Name) {
			if until, limited := e.jobLimit(a, id); limited {
				if k.Jobs == nil {
					k.Jobs = map[batch.JobID]time.Duration{}
				}
				k.Jobs[id] = until
			}
		}
	}
	if a.sentListVersion != e.entryListVersion {
		a.sentListVersion, k.Entries, k.Complete = e.entryListVersion, e.entryList(), e.listComplete
	}
	e.addEvacuations(e.options.Now(), a, &k)
	a.peer.KeepAlive(k)
}

// jobLimit returns when the runs of a job may no longer continue on the backend server of an agent, on the agent's clock.
// It reports false if they may continue for as long as the session.
func (e *Entry) jobLimit(a *agentSession, id batch.JobID) (until time.Duration, limited bool) {
	c, ok := e.calls[id]
	if !ok || len(c.waiters) > 0 {
		return 0, false
	}
	var end time.Time
	for origin := range c.origins {
		if x, connected := e.entries[origin]; connected {
			end = latest(end, x.jobsEndAt())
		}
	}
	left := end.Add(runLimitSlack).Sub(a.lastReport)
	return a.agentClock + left, left < supervise.SessionLease
}

// jobsEndAt returns when the jobs that another entry forwarded are cancelled here, unless it is heard from before.
func (x *entrySession) jobsEndAt() time.Time {
	return earliest(x.lastLoad.Add(connectionTimeout), x.lastEcho.Add(forwardedJobLease))
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// entryList returns the entries that agents may choose as their home.
func (e *Entry) entryList() []home.Entry {
	var list []home.Entry
	if !e.releasingAgents {
		list = append(list, home.Entry{
			Name: e.options.Name, Address: e.options.Address, Region: e.options.Region,
			DataCentre: e.options.DataCentre, Weight: e.options.Weight,
		})
	}
	for _, x := range e.entries {
		if x.Address != "" && !x.draining {
			list = append(list, x.Entry)
		}
	}
	return list
}

// Report implements inner.BatchEntryHandler.
func (e *Entry) Report(p *inner.Peer, r supervise.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checkIfLate(e.options.Now())
	a, ok := e.agents[p.Name]
	if !ok || a.peer != p {
		return
	}
	now := e.options.Now()
	first := a.agentClock == 0
	a.lastReport, a.agentClock, a.pool = now, r.Clock, r.Server.Pool
	if first {
		e.dropDepartedCallers()
		// The agent accepts starts once its session has been confirmed.
		e.sendKeepAlive(a)
	}
	for _, x := range r.Ended {
		e.logRunEnd(p.Name, x)
	}
	e.performActions(e.dispatcher.HandleReport(now, p.Name, r))
	e.sendChangedLoad(now)
}
