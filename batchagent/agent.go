// Package batchagent implements the agent process for batch jobs. It runs next to the backend server on each host, and
// starts and stops runs there for the entries.
//
// It connects the state machine of core/supervise to the backend server and to the entries (io/inner), and maintains a
// session with its home, which is the entry that core/home chooses. If that entry is lost, its runs are stopped and the
// next entry in the order of preference becomes the home. If the store is unreachable, the agent continues with the
// entries that it knows.
package batchagent

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

const (
	tickInterval = 50 * time.Millisecond
	// reportInterval allows three reports within the time after which an entry treats an agent as lost.
	reportInterval = 150 * time.Millisecond
	// startTimeout and stopTimeout limit the calls to the backend server. It is on the same host and responds in less
	// than a millisecond, but a process whose CPU quota is exhausted is suspended for up to 100 ms. The time-out of a
	// start is shorter than that, because after a time-out the agent only has to check whether the run was started,
	// whereas a longer wait would make a short task late.
	startTimeout = 60 * time.Millisecond
	stopTimeout  = 100 * time.Millisecond
	// maxCalls is the number of starts and stops that are under way at once. Others wait here, where their time-outs have
	// not begun, and hold calls never wait for them.
	maxCalls = 6
	// holdMargin is added to the long-poll time of a hold call to get its time-out. It is short because the agent does
	// not learn which runs have ended while a call is unanswered.
	holdMargin = 80 * time.Millisecond
	// spareHoldPeriod is how long a second hold call is used after one got no response, and both wait for
	// lossyHoldWait at most.
	spareHoldPeriod = 5 * time.Second
	lossyHoldWait   = 30 * time.Millisecond
	// minHoldPause is the minimum pause between hold calls that failed or did not long-poll.
	minHoldPause = 20 * time.Millisecond
	// maxHoldBackoffShift limits how many times the pause is doubled while the backend server does not respond. The
	// backoff is needed because each call may open a connection, which is expensive.
	maxHoldBackoffShift  = 4
	noServerPollInterval = 50 * time.Millisecond // between checks for an announced backend server
	drainPollInterval    = 20 * time.Millisecond
	// previousHomeLinger is how long a previous home may start tasks here after its last run, or after it was left. The
	// connection is closed previousHomeClose after it was told that this has ended, so that no start is under way.
	previousHomeLinger = 300 * time.Millisecond
	previousHomeClose  = 2 * reportInterval
	// stopReserve is the time reserved at the end of a planned stop for stopping the remaining runs.
	stopReserve = 400 * time.Millisecond
)

// Server is the client of the backend server.
type Server interface {
	// Start starts a run. It returns the backend server's clock, or 0 if the response did not have it.
	Start(ctx context.Context, c supervise.CallStart) (result supervise.StartResult, clock time.Duration)
	// Stop stops a run. It reports whether the backend server confirmed the call.
	Stop(ctx context.Context, c supervise.CallStop) (answered bool, clock time.Duration)
	// Hold lists the runs and renews their lease. It returns a FencedError if the backend server has seen a higher
	// fencing token, and a NotListeningError if nothing listens at its address.
	Hold(ctx context.Context, h supervise.Hold) (supervise.HoldResponse, error)
}

// FencedError reports that the backend server has seen a higher fencing token.
type FencedError struct{ Clock time.Duration }

// Error implements error.
func (e *FencedError) Error() string { return "the backend server has seen a higher fencing token" }

// MisdirectedError reports that the call reached another instance of the backend server, for example after a restart.
type MisdirectedError struct{}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return "the call reached another instance of the backend server"
}

// Directory is the data that agents share through the platform's store.
type Directory interface {
	// Entries returns the entries of the region.
	Entries(ctx context.Context) ([]home.Entry, error)
	// SaveServer saves the state of an agent's backend server, so that the agent can load it after a restart.
	SaveServer(ctx context.Context, agent string, s supervise.Server) error
	// Server returns the saved state. Its ID is empty if none was saved.
	Server(ctx context.Context, agent string) (supervise.Server, error)
	// Evacuations returns the data centres that operators have evacuated.
	Evacuations(ctx context.Context) (evacuation.State, error)
}

// NotListeningError reports that the connection was refused because nothing listens at the address of the backend server.
type NotListeningError struct{ Cause error }

// Error implements error.
func (e *NotListeningError) Error() string {
	return "the backend server does not listen: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotListeningError) Unwrap() error { return e.Cause }

// Options configure an agent.
type Options struct {
	Name       string
	Region     string
	DataCentre string
	Seeds      []string // inner protocol addresses of entries, for use before the store is reachable
	Directory  Directory
	Server     Server
	Logger     zerolog.Logger
	Metrics    metrics.Registry
	Incoming   *inner.Incoming // memory of the connections to other processes; nil has the default limits
	Dial       inner.DialFunc
	Now        func() time.Time // a clock that also advances while the host is suspended
	// MaxCapacityAge is how long after an announcement of the backend server runs may be started within the announced
	// capacity. 0 means without limit.
	MaxCapacityAge time.Duration
}

// Agent is a running agent.
type Agent struct {
	options         Options
	local           inner.Local
	metrics         agentMetrics
	homeCheckNeeded chan struct{} // buffered signal to reconsider the choice of the home
	serverKnown     chan struct{} // buffered signal that a backend server was announced or restored
	saving          chan struct{} // holds an element during a save
	underWay        chan struct{} // holds an element for each start and stop that is under way
	calls           sync.WaitGroup

	mu                   sync.Mutex // guards the fields below
	supervisor           *supervise.Supervisor
	waitingStops         map[stopKey]bool       // stops that wait until they may be sent
	pendingList          *supervise.Hold        // to be sent after the list that is under way
	listUnderWay         bool                   // whether a hold call beside the regular ones is under way
	peers                map[string]*inner.Peer // by name of the entry
	known                map[string]knownEntry  // by name
	avoidUntil           map[string]time.Time   // entries that are not tried before the time
	failedDials          map[string]int         // connection attempts since the last success, by entry
	draining             map[string]string      // incarnations of the entries that have told this agent to choose another home, by name
	preferred            preference
	nextHome             string               // the entry that becomes the home once the evacuations are known; may be empty
	spareHoldUntil       time.Time            // until then a second hold call waits for the ends of runs
	usedAt               map[string]time.Time // when each connected entry last had runs here, or connected
	saved                supervise.Server     // the state that this process last saved
	hasSaved             bool
	stopping             bool
	evacuations          evacuation.Knowledge
	evacuationsChangedAt time.Time
	sessions             map[string]*entrySession
	asksReaders          map[string]bool // whether each entry asks for reads of the evacuations, by name
	readFailed           bool            // the latest read of the evacuations failed
	readFailedAt         time.Time
}

// entrySession is what the agent remembers about the present connection to an entry.
type entrySession struct {
	wasHome bool
	toldAge bool // the entry has told how old its knowledge of the evacuations is
}

// New starts an agent. Stop drains it; the returned function stops it immediately.
func New(options Options) (*Agent, func()) {
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	incarnation := rand.Text()
	a := &Agent{
		options: options,
		local: inner.Local{
			Identity: inner.Identity{
				Role: inner.RoleAgent, Name: options.Name, Incarnation: incarnation,
				Region: options.Region, DataCentre: options.DataCentre,
			},
			Clock:   event.NewRecorder(options.Name, 1, time.Now),
			Metrics: options.Metrics, Incoming: options.Incoming,
		},
		metrics:         newAgentMetrics(options.Metrics),
		homeCheckNeeded: make(chan struct{}, 1),
		serverKnown:     make(chan struct{}, 1),
		saving:          make(chan struct{}, 1),
		underWay:        make(chan struct{}, maxCalls),
		supervisor:      supervise.New(options.MaxCapacityAge),
		waitingStops:    map[stopKey]bool{},
		peers:           map[string]*inner.Peer{},
		known:           map[string]knownEntry{},
		avoidUntil:      map[string]time.Time{},
		failedDials:     map[string]int{},
		draining:        map[string]string{},
		usedAt:          map[string]time.Time{},
		asksReaders:     map[string]bool{},
		sessions:        map[string]*entrySession{},
	}
	for _, seed := range options.Seeds {
		a.known[seed] = knownEntry{Entry: home.Entry{Name: seed, Address: seed}}
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.runEvery(ctx, tickInterval, a.tick) })
	running.Go(func() { a.runEvery(ctx, reportInterval, a.reportAll) })
	running.Go(func() { a.holdLoop(ctx, func() bool { return true }) })
	running.Go(func() { a.holdLoop(ctx, a.losesHolds) })
	running.Go(func() { a.maintainHome(ctx) })
	running.Go(func() { a.restore(ctx) })
	running.Go(func() { a.watchEvacuations(ctx) })
	a.log(event.ProcessStarted).Str("Incarnation", incarnation).Send()
	return a, func() {
		stop()
		a.mu.Lock()
		a.stopping = true
		for _, p := range a.peers {
			go p.Close()
		}
		stillRunning := a.supervisor.TotalRunCount()
		a.mu.Unlock()
		// No new call can start after stopping is set, so the wait below covers all calls.
		running.Wait()
		a.calls.Wait()
		a.log(event.ProcessStopped).Int("Running", stillRunning).Send()
	}
}

func (a *Agent) log(n event.Number) *zerolog.Event {
	return a.options.Logger.Info().Int("Number", int(n)).Str("Event", n.String())
}

func (a *Agent) runEvery(ctx context.Context, interval time.Duration, do func()) {
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

// withSupervisor calls a method of the supervisor under the lock and performs the actions that it returns.
func (a *Agent) withSupervisor(method func(now time.Time) []supervise.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.performActions(method(a.options.Now()))
}

func (a *Agent) performActions(actions []supervise.Action) {
	for _, action := range actions {
		if a.stopping {
			return // the stop function of New waits for the calls in progress and closes all connections
		}
		switch action := action.(type) {
		case supervise.CallStart:
			a.calls.Go(func() { a.start(action) })
		case supervise.CallStop:
			// The supervisor repeats a stop until it takes effect, also while an earlier one for the run still waits.
			if k := (stopKey{action.Task, action.Number}); !a.waitingStops[k] {
				a.waitingStops[k] = true
				a.calls.Go(func() { a.stop(action) })
			}
		case supervise.CallHold:
			a.listRuns(action.Hold)
		case supervise.SendReport:
			a.report(action.Entry)
		}
	}
}

// losesHolds reports whether a hold call got no response lately. A second call then waits beside the first one, so that
// the end of a run is not noticed late because one response is lost.
func (a *Agent) losesHolds() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.options.Now().Before(a.spareHoldUntil)
}

func (a *Agent) signalServerKnown() {
	select {
	case a.serverKnown <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	lost, actions := a.supervisor.Tick(now)
	for _, entry := range lost {
		a.log(event.EntryLost).Str("Peer", entry).Str("State", "SessionLapsed").Send()
		// The entry does not respond, so an immediate reconnect would only time out.
		a.avoidUntil[entry] = now.Add(retryDelay)
		a.closePeer(entry)
	}
	a.performActions(actions)
	// Connections to previous homes are closed once these have no runs left here, and some time to start the remaining
	// tasks of their jobs.
	for entry := range a.peers {
		if a.supervisor.RunCount(entry) > 0 {
			a.usedAt[entry] = now
		}
		if home := a.supervisor.Home(); home != "" && entry != home && entry != a.nextHome && now.Sub(a.usedAt[entry]) > previousHomeLinger+previousHomeClose {
			a.performActions(a.supervisor.Disconnect(now, entry))
			a.closePeer(entry)
		}
	}
	a.metrics.running.Update(int64(a.supervisor.TotalRunCount()))
}

func (a *Agent) closePeer(entry string) {
	if p, ok := a.peers[entry]; ok {
		delete(a.peers, entry)
		delete(a.usedAt, entry)
		delete(a.sessions, entry)
		go p.Close()
		a.triggerHomeCheck()
	}
}

func (a *Agent) reportAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for entry := range a.peers {
		a.report(entry)
	}
}

func (a *Agent) report(entry string) {
	if p, ok := a.peers[entry]; ok {
		now := a.options.Now()
		r := a.supervisor.Report(now, entry)
		// An entry that is about to become the home may not start tasks before awaitEvacuations has returned.
		r.Released = r.Released && a.sessions[entry].wasHome && now.Sub(a.usedAt[entry]) <= previousHomeLinger
		p.Report(r)
	}
}

// HandleAnnouncement handles an announcement of the backend server. If the announcement changes the state, it returns
// after the state has been saved or the save has failed. The save precedes the acknowledgement to the backend server,
// because a restarted agent must know that the backend server is leaving if this has been acknowledged. The first
// announcement is always saved: the store then refuses a save of an earlier process that it carries out late.
func (a *Agent) HandleAnnouncement(s supervise.Server) {
	a.applyAnnouncement(s)
	// An announcement that is ignored or put aside must not be saved in place of the current state.
	a.save()
}

func (a *Agent) applyAnnouncement(s supervise.Server) {
	a.withSupervisor(func(now time.Time) []supervise.Action {
		before, _ := a.supervisor.Server()
		actions := a.supervisor.Announce(now, s)
		after, _ := a.supervisor.Server()
		if before.ID != after.ID || before.Incarnation != after.Incarnation || before.Leaving != after.Leaving {
			number := event.BackendAnnounced
			if after.Leaving {
				number = event.BackendLeaving
			}
			a.log(number).Str("Peer", after.ID).Int64("Born", after.Incarnation).Stringer("Capacity", after.Capacity).
				Int("Running", a.supervisor.TotalRunCount()).Send()
		}
		a.signalServerKnown()
		return actions
	})
}

// HandleLeaveNotice handles the notice that the backend server has shut down as planned.
func (a *Agent) HandleLeaveNotice(id string) {
	a.withSupervisor(func(time.Time) []supervise.Action {
		a.log(event.BackendLost).Str("Peer", id).Str("State", "Left").
			Int("Running", a.supervisor.TotalRunCount()).Send()
		return a.supervisor.Leave(id)
	})
}

// Stop drains the agent: no entry may start runs on its backend server any more, and the current runs are awaited. Runs
// that are still in progress shortly before the context ends are stopped, so that entries start their tasks elsewhere.
func (a *Agent) Stop(ctx context.Context) {
	a.withSupervisor(func(time.Time) []supervise.Action {
		a.log(event.ProcessDraining).Int("Running", a.supervisor.TotalRunCount()).Send()
		return a.supervisor.Drain()
	})
	end, ok := ctx.Deadline()
	stopped := false
	for ctx.Err() == nil && a.running() > 0 {
		if ok && !stopped && time.Until(end) < stopReserve {
			stopped = true
			a.withSupervisor(a.supervisor.StopAll)
		}
		time.Sleep(drainPollInterval)
	}
	time.Sleep(drainPollInterval) // so that the last report is sent
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.TotalRunCount()
}
