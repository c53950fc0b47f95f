// Package batchentry is the entry process for batch jobs: jobs that are answered when they end and are not
// kept.
//
// It connects the decisions of core/dispatch and core/overflow to callers, to the agents that chose this
// entry as their home, and to the other entries (io/inner). If an agent is lost, its runs are started
// elsewhere once they must have ended. If another entry is lost, the jobs that it dispatched for callers of
// this one are answered Unknown, and the jobs that it passed on are cancelled. If the store is lost, the
// entry goes on with the configuration that it has.
package batchentry

import (
	"context"
	"crypto/rand"
	"math"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/overflow"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

const (
	// tickInterval is the precision of time limits.
	tickInterval = 50 * time.Millisecond
	// keepInterval leaves three messages within an agent's session lease.
	keepInterval = 150 * time.Millisecond
	// loadInterval is how old the other entries' view of this one's load gets.
	loadInterval = 100 * time.Millisecond
	// expireInterval is how often jobs at other entries are looked at. Their time limits are seconds.
	expireInterval = time.Second
	// silenceLimit is how long a connection may bring nothing before it is taken as lost. Connections can go
	// silent without being reset.
	silenceLimit = supervise.SessionLease
	// originLease is how long the jobs of another entry go on after the last reading of this entry's clock that the
	// other one confirmed. That one takes this entry as lost silenceLimit after the latest message that it got, and its
	// callers submit again 1.3 s later, so everything has ended by then.
	originLease = time.Second
	// dialTimeout bounds a connection attempt: a host without power does not answer it.
	dialTimeout = time.Second
	// readyLoadAge is how old a peer's load may be to count on the peer for callers.
	readyLoadAge = time.Second
)

// Directory is what entries share through the platform's store.
type Directory interface {
	// Configuration returns the newest configuration and a position for Changes.
	Configuration(ctx context.Context) (site.Configuration, uint64, error)
	// Changes waits for a configuration that was written after the position, at most for the given time. It
	// returns version 0 if there was none, and a HistoryLostError if the position is too old.
	Changes(ctx context.Context, after uint64, wait time.Duration) (site.Configuration, uint64, error)
	// Register makes the entry known to others.
	Register(ctx context.Context, e home.Entry) error
	// Entries returns the registered entries.
	Entries(ctx context.Context) ([]home.Entry, error)
}

// HistoryLostError reports that the store no longer has the changes after a position.
type HistoryLostError struct{}

// Error implements error.
func (*HistoryLostError) Error() string { return "the store dropped the changes after the position" }

// Options are what an entry needs to start.
type Options struct {
	Name       string
	Region     string
	DataCentre string
	Address    string   // of the inner protocol
	Weight     float64  // share of the agents that it can serve
	Seeds      []string // inner addresses of other entries, used until the store answers
	Directory  Directory
	Logger     zerolog.Logger
	Metrics    metrics.Registry
	Dial       inner.DialFunc
	Listen     func(address string) (net.Listener, error)
	Now        func() time.Time // a clock that also counts the time in which the host is suspended
}

// Entry is a running entry.
type Entry struct {
	options     Options
	incarnation string
	clock       *event.Recorder
	measures    measures
	connector   *inner.Connector
	ready       chan struct{} // closed when connector is set

	mu         sync.Mutex // guards what follows
	dispatcher *dispatch.Dispatcher
	peers      *overflow.Peers
	agents     map[string]*agentSession
	entries    map[string]*entrySession // by name
	calls      map[batch.JobID]*call
	config     site.Configuration
	stopping   bool // not ready any more
	stopped    bool // no job is taken any more
	handover   bool // agents are asked to choose another entry
	generation int  // of the list of entries that agents get
	sessions   uint64
}

type agentSession struct {
	peer    *inner.Peer
	heard   time.Time
	clock   time.Duration // the agent's, at its latest report; 0 before
	entries int           // generation of the list of entries that was sent
}

// entrySession is what an entry knows of another one since it last took it as lost. Both number their sessions, so
// that neither goes on with jobs that the other has given up, even if only one of them noticed the loss.
type entrySession struct {
	home.Entry
	incarnation string
	peers       map[*inner.Peer]uint64 // by connection, dialled here or there: the other one's session when it last wrote
	current     *inner.Peer            // the connection that this entry writes on until it ends
	heard       time.Time
	pulling     bool

	number    uint64        // of this entry's session
	theirs    uint64        // the highest of the other one's
	clock     time.Duration // the other one's latest
	confirmed time.Time     // the latest reading of this entry's clock that the other one has got
}

// New starts an entry. Stop ends it in an orderly way; the clean-up ends it at once.
func New(options Options) (*Entry, func(), error) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	e := &Entry{
		options:     options,
		incarnation: rand.Text(),
		clock:       event.NewRecorder(options.Name, 1, time.Now),
		measures:    newMeasures(options.Metrics),
		ready:       make(chan struct{}),
		dispatcher:  dispatch.New(),
		peers:       overflow.New(),
		agents:      map[string]*agentSession{},
		entries:     map[string]*entrySession{},
		calls:       map[batch.JobID]*call{},
		generation:  1,
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
		Metrics: options.Metrics,
	}
	closeServer := inner.Serve(listener, local, e)
	var closeConnector func()
	e.connector, closeConnector = inner.NewConnector(withTimeout(options.Dial), local, e)
	close(e.ready)
	for _, seed := range options.Seeds {
		e.connector.Learn(seed)
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
		e.log(event.ProcessStopped).Int("Open", e.open()).Send()
	}, nil
}

// withTimeout bounds connection attempts.
func withTimeout(dial inner.DialFunc) inner.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Address returns the address of the inner protocol.
func (e *Entry) Address() string { return e.options.Address }

func (e *Entry) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// run performs what is due with time.
func (e *Entry) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var kept, loaded, expired time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		now := e.options.Now()
		e.dropSilent(now)
		e.perform(e.dispatcher.Tick(now))
		if now.Sub(kept) >= keepInterval-tickInterval/2 {
			kept = now
			e.keepAgents()
		}
		if now.Sub(loaded) >= loadInterval-tickInterval/2 {
			loaded = now
			e.sendLoad()
		}
		if now.Sub(expired) >= expireInterval {
			expired = now
			e.expire(now)
		}
		e.updateMeasures(now)
		e.mu.Unlock()
	}
}

// dropSilent closes connections that bring nothing.
func (e *Entry) dropSilent(now time.Time) {
	for name, a := range e.agents {
		if now.Sub(a.heard) > silenceLimit {
			e.log(event.AgentLost).Str("Peer", name).Dur("Silent", now.Sub(a.heard)).Send()
			e.loseAgent(now, name, a)
		}
	}
	for name, x := range e.entries {
		if now.Sub(x.heard) > silenceLimit {
			e.log(event.EntryLost).Str("Peer", name).Dur("Silent", now.Sub(x.heard)).Send()
			e.loseEntry(now, name, x)
		} else if now.Sub(x.confirmed) > originLease {
			e.dropOrigins(name, math.MaxUint64)
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
			e.loseAgent(now, p.Name, old)
		}
		e.agents[p.Name] = &agentSession{peer: p, heard: now}
		e.perform(e.dispatcher.Connect(now, p.Name))
		e.log(event.AgentConnected).Str("Peer", p.Name).Str("Incarnation", p.Incarnation).Send()
		return
	}
	x, ok := e.entries[p.Name]
	if ok && x.incarnation != p.Incarnation {
		e.log(event.EntryLost).Str("Peer", p.Name).Str("State", "Restarted").Send()
		e.loseEntry(now, p.Name, x)
		ok = false
	}
	if !ok {
		e.sessions++
		x = &entrySession{
			incarnation: p.Incarnation, peers: map[*inner.Peer]uint64{}, number: e.sessions, confirmed: now,
		}
		e.entries[p.Name] = x
		e.log(event.EntryConnected).Str("Peer", p.Name).Str("Incarnation", p.Incarnation).Uint64("Session", x.number).Send()
	}
	x.Entry = home.Entry{
		Name: p.Name, Address: p.Address, Region: p.Region, DataCentre: p.DataCentre, Weight: x.Weight,
	}
	x.peers[p] = 0
	x.chooseCurrent()
	x.heard = now
	e.generation++
	e.connector.Learn(p.Address)
	p.Load(e.loadFor(x))
}

// Disconnected implements inner.Handler.
func (e *Entry) Disconnected(p *inner.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Now()
	if a, ok := e.agents[p.Name]; ok && a.peer == p {
		e.log(event.AgentLost).Str("Peer", p.Name).Dur("Silent", now.Sub(a.heard)).Str("State", "Closed").Send()
		e.loseAgent(now, p.Name, a)
		return
	}
	x, ok := e.entryOf(p)
	if !ok {
		return
	}
	delete(x.peers, p)
	x.chooseCurrent()
	if len(x.peers) == 0 {
		e.log(event.EntryLost).Str("Peer", p.Name).Dur("Silent", now.Sub(x.heard)).Str("State", "Closed").Send()
		e.loseEntry(now, p.Name, x)
	}
}

// loseAgent ends the session of an agent. Its runs may go on for as long as its lease of the session, and the
// lease of its backend server, last.
func (e *Entry) loseAgent(now time.Time, name string, a *agentSession) {
	delete(e.agents, name)
	go a.peer.Close()
	e.perform(e.dispatcher.Disconnect(now, name, a.heard.Add(supervise.MaxRunAfterAgentLoss)))
}

// keepAgents extends the sessions of the agents. The end of a session counts from the agent's own clock at its
// latest report, so that a message that was held up extends nothing.
func (e *Entry) keepAgents() {
	for _, a := range e.agents {
		k := inner.KeepAlive{Draining: e.handover}
		if a.clock > 0 {
			k.Until = a.clock + supervise.SessionLease
		}
		if a.entries != e.generation {
			a.entries, k.Entries = e.generation, e.entryList()
		}
		a.peer.Keep(k)
	}
}

// entryList returns the entries that agents may choose.
func (e *Entry) entryList() []home.Entry {
	var list []home.Entry
	if !e.handover {
		list = append(list, home.Entry{
			Name: e.options.Name, Address: e.options.Address, Region: e.options.Region,
			DataCentre: e.options.DataCentre, Weight: e.options.Weight,
		})
	}
	for _, x := range e.entries {
		if x.Address != "" {
			list = append(list, x.Entry)
		}
	}
	return list
}

// Report implements inner.BatchEntryHandler.
func (e *Entry) Report(p *inner.Peer, r supervise.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.agents[p.Name]
	if !ok || a.peer != p {
		return
	}
	now := e.options.Now()
	a.heard, a.clock = now, r.Clock
	for _, x := range r.Ended {
		e.logEnd(p.Name, x)
	}
	e.perform(e.dispatcher.Report(now, p.Name, r))
}
