// Package batchagent is the agent process for batch jobs beside the backend server of a host.
//
// It connects the decisions of core/supervise to the backend server and to the entries (io/inner), and keeps
// a session with the entry that core/home chooses. If that entry is lost, its runs are stopped and the next
// entry in the order takes over. If the store is lost, the agent goes on with the entries that it knows.
package batchagent

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"dogwoodglade/core/event"
	"dogwoodglade/core/home"
	"dogwoodglade/core/supervise"
	"dogwoodglade/io/inner"
)

const (
	tickInterval = 50 * time.Millisecond
	// reportInterval leaves three reports within the time after which an entry takes an agent as lost.
	reportInterval = 150 * time.Millisecond
	// startTimeout and stopTimeout bound the calls to the backend server. It is on the same host and answers
	// in less than a millisecond. A host whose processor quota is used up stands still for up to 100 ms, but a start
	// that is taken as lost too early costs only a look whether it is there, and a short task that waits is late.
	startTimeout = 60 * time.Millisecond
	stopTimeout  = 100 * time.Millisecond
	// holdMargin is allowed to the answer of a renewal beyond the time that it may be held back. Ends of runs are not
	// learned before the next one.
	holdMargin = 80 * time.Millisecond
	// holdPause keeps repeated calls apart when the answer is not held back.
	holdPause = 20 * time.Millisecond
	// maxHoldShift bounds how often the pause doubles while the backend server is silent. Each call may open a
	// connection, which has a price.
	maxHoldShift = 4
	noServer     = 50 * time.Millisecond // between looks for a backend server
	stopPoll     = 20 * time.Millisecond
	// stopReserve is left at the end of a planned stop to stop what still runs.
	stopReserve = 400 * time.Millisecond
)

// Server is the conversation with the backend server.
type Server interface {
	// Start starts a run. The clock is the backend server's, or 0 if it was not read.
	Start(ctx context.Context, c supervise.CallStart) (result supervise.StartResult, clock time.Duration)
	// Stop stops a run. It reports whether the order was answered.
	Stop(ctx context.Context, c supervise.CallStop) (answered bool, clock time.Duration)
	// Hold lists the runs and renews their lease. It reports a FencedError if a higher token was seen.
	Hold(ctx context.Context, h supervise.Hold) (supervise.HoldResponse, error)
}

// FencedError reports that the backend server has seen a higher token.
type FencedError struct{ Clock time.Duration }

// Error implements error.
func (e *FencedError) Error() string { return "the backend server has seen a higher token" }

// MisdirectedError reports that another run of the backend server answered.
type MisdirectedError struct{}

// Error implements error.
func (e *MisdirectedError) Error() string { return "another run of the backend server answered" }

// Directory is what agents share through the platform's store.
type Directory interface {
	// Entries returns the entries of the region.
	Entries(ctx context.Context) ([]home.Entry, error)
	// SaveServer keeps what an agent knows of its backend server, for an agent that starts after it.
	SaveServer(ctx context.Context, agent string, s supervise.Server) error
	// Server returns what was saved; its ID is empty if nothing was.
	Server(ctx context.Context, agent string) (supervise.Server, error)
}

// Options are what an agent needs to start.
type Options struct {
	Name       string
	Region     string
	DataCentre string
	Seeds      []string // inner addresses of entries, used until the store answers
	Directory  Directory
	Server     Server
	Logger     zerolog.Logger
	Metrics    metrics.Registry
	Dial       inner.DialFunc
	Now        func() time.Time // a clock that also counts the time in which the host is suspended
}

// Agent is a running agent.
type Agent struct {
	options  Options
	local    inner.Local
	measures measures
	changed  chan struct{} // has an element when the choice of the home should be looked at
	calls    sync.WaitGroup

	mu         sync.Mutex // guards what follows
	supervisor *supervise.Supervisor
	peers      map[string]*inner.Peer // by name of the entry
	known      map[string]home.Entry  // by name
	avoid      map[string]time.Time   // entries that are not tried before the time
	saved      supervise.Server
	stopping   bool
}

// New starts an agent. Stop ends it in an orderly way; the clean-up ends it at once.
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
			Metrics: options.Metrics,
		},
		measures:   newMeasures(options.Metrics),
		changed:    make(chan struct{}, 1),
		supervisor: supervise.New(),
		peers:      map[string]*inner.Peer{},
		known:      map[string]home.Entry{},
		avoid:      map[string]time.Time{},
	}
	for _, seed := range options.Seeds {
		a.known[seed] = home.Entry{Name: seed, Address: seed}
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.every(ctx, tickInterval, a.tick) })
	running.Go(func() { a.every(ctx, reportInterval, a.reportAll) })
	running.Go(func() { a.holdRuns(ctx) })
	running.Go(func() { a.keepHome(ctx) })
	running.Go(func() { a.restore(ctx) })
	a.log(event.ProcessStarted).Str("Incarnation", incarnation).Send()
	return a, func() {
		stop()
		a.mu.Lock()
		a.stopping = true
		for _, p := range a.peers {
			go p.Close()
		}
		left := a.supervisor.Running()
		a.mu.Unlock()
		// No call begins any more, so the wait below does not miss one.
		running.Wait()
		a.calls.Wait()
		a.log(event.ProcessStopped).Int("Running", left).Send()
	}
}

func (a *Agent) log(n event.Number) *zerolog.Event {
	return a.options.Logger.Info().Int("Number", int(n)).Str("Event", n.String())
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

// decide runs a decision and performs its actions.
func (a *Agent) decide(decision func(now time.Time) []supervise.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(decision(a.options.Now()))
}

func (a *Agent) perform(actions []supervise.Action) {
	for _, action := range actions {
		if a.stopping {
			return // the clean-up waits for the calls that are in progress and ends all connections
		}
		switch action := action.(type) {
		case supervise.CallStart:
			a.calls.Go(func() { a.start(action) })
		case supervise.CallStop:
			a.calls.Go(func() { a.stop(action) })
		case supervise.CallHold:
			a.calls.Go(func() { a.hold(context.Background(), action.Hold) })
		case supervise.SendReport:
			a.report(action.Entry)
		}
	}
}

func (a *Agent) start(c supervise.CallStart) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	result, clock := a.options.Server.Start(ctx, c)
	a.measures.started(result)
	if result != supervise.Accepted {
		a.log(event.TaskRefused).Str("Job", string(c.Task.Job)).Int("Step", c.Task.Step).Int("Task", c.Task.Index).
			Int("Run", c.Number).Uint64("Token", c.Token).Str("State", result.String()).Send()
	}
	a.decide(func(now time.Time) []supervise.Action { return a.supervisor.StartAnswered(now, c, result, clock) })
}

func (a *Agent) stop(c supervise.CallStop) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	answered, clock := a.options.Server.Stop(ctx, c)
	a.measures.stopped.Inc(1)
	a.log(event.TaskStopped).Str("Job", string(c.Task.Job)).Int("Step", c.Task.Step).Int("Task", c.Task.Index).
		Int("Run", c.Number).Uint64("Token", c.Token).Bool("Answered", answered).Send()
	a.decide(func(now time.Time) []supervise.Action { return a.supervisor.StopAnswered(now, c, answered, clock) })
}

// holdRuns keeps the lease of the backend server renewed and learns of the ends of runs.
func (a *Agent) holdRuns(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		h, ok := a.supervisor.NextHold(a.options.Now())
		a.mu.Unlock()
		switch {
		case !ok:
			sleep(ctx, noServer)
		case !a.hold(ctx, h):
			a.mu.Lock()
			pause := holdPause << min(a.supervisor.UnansweredHolds(), maxHoldShift)
			a.mu.Unlock()
			sleep(ctx, pause)
		case h.Wait == 0:
			sleep(ctx, holdPause)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// hold performs a call that lists the runs. It reports whether it was answered.
func (a *Agent) hold(ctx context.Context, h supervise.Hold) bool {
	ctx, cancel := context.WithTimeout(ctx, h.Wait+holdMargin)
	defer cancel()
	answer, err := a.options.Server.Hold(ctx, h)
	var fenced *FencedError
	var misdirected *MisdirectedError
	a.decide(func(now time.Time) []supervise.Action {
		switch {
		case err == nil:
			return a.supervisor.HoldAnswered(now, h, answer)
		case errors.As(err, &fenced):
			return a.supervisor.HoldFenced(now, h, fenced.Clock)
		case errors.As(err, &misdirected):
			return a.supervisor.HoldMisdirected(now, h)
		default:
			return a.supervisor.HoldFailed(now, h)
		}
	})
	if err != nil {
		a.measures.holdsFailed.Inc(1)
		a.log(event.BackendSilent).Str("Peer", h.Server).Uint64("Token", h.Token).Err(err).Send()
	}
	return err == nil
}

func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	lost, actions := a.supervisor.Tick(now)
	for _, entry := range lost {
		a.log(event.EntryLost).Str("Peer", entry).Str("State", "SessionLapsed").Send()
		// It does not answer, so another attempt to connect would only take time.
		a.avoid[entry] = now.Add(retryDelay)
		a.closePeer(entry)
	}
	a.perform(actions)
	for entry := range a.peers {
		if entry != a.supervisor.Home() && a.supervisor.RunCount(entry) == 0 && a.supervisor.Home() != "" {
			a.perform(a.supervisor.Disconnect(now, entry))
			a.closePeer(entry)
		}
	}
	a.measures.running.Update(int64(a.supervisor.Running()))
}

func (a *Agent) closePeer(entry string) {
	if p, ok := a.peers[entry]; ok {
		delete(a.peers, entry)
		go p.Close()
		a.wake()
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
		p.Report(a.supervisor.Report(a.options.Now(), entry))
	}
}

// Announced takes what the backend server says of itself. It returns when a change was saved, or could not be
// saved in time: once it is acknowledged that a backend server leaves, a restarted agent must know it too.
func (a *Agent) Announced(s supervise.Server) {
	if a.announced(s) {
		a.save(s)
	}
}

func (a *Agent) announced(s supervise.Server) (changed bool) {
	a.decide(func(now time.Time) []supervise.Action {
		before, _ := a.supervisor.Server()
		actions := a.supervisor.Announce(now, s)
		after, _ := a.supervisor.Server()
		if before.ID != after.ID || before.Incarnation != after.Incarnation || before.Leaving != after.Leaving {
			number := event.BackendAnnounced
			if after.Leaving {
				number = event.BackendLeaving
			}
			a.log(number).Str("Peer", after.ID).Int64("Born", after.Incarnation).Stringer("Capacity", after.Capacity).
				Int("Running", a.supervisor.Running()).Send()
		}
		changed = !after.Equivalent(a.saved)
		return actions
	})
	return changed
}

// Left takes note that the backend server ended as planned.
func (a *Agent) Left(id string) {
	a.decide(func(time.Time) []supervise.Action {
		a.log(event.BackendLost).Str("Peer", id).Str("State", "Left").Int("Running", a.supervisor.Running()).Send()
		return a.supervisor.Leave(id)
	})
}

// Stop ends the agent in an orderly way: it offers its backend server to no entry and waits for the runs. What
// still runs shortly before the context ends is stopped, so that entries start it elsewhere.
func (a *Agent) Stop(ctx context.Context) {
	a.decide(func(time.Time) []supervise.Action {
		a.log(event.ProcessDraining).Int("Running", a.supervisor.Running()).Send()
		return a.supervisor.Drain()
	})
	end, ok := ctx.Deadline()
	stopped := false
	for ctx.Err() == nil && a.running() > 0 {
		if ok && !stopped && time.Until(end) < stopReserve {
			stopped = true
			a.decide(a.supervisor.StopAll)
		}
		time.Sleep(stopPoll)
	}
	time.Sleep(stopPoll) // for the last report
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.supervisor.Running()
}
