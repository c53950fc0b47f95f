// Package supervise decides what the agent beside a backend server does with the runs of tasks on it: which
// are started, which lease they hold, which are stopped, and when a run is known to have ended.
//
// An entry places runs on the backend server through a session with the agent. A run lives only while its
// session is kept alive by the entry, and the lease that the backend server holds is renewed only while every
// run on it has a living session. So a run ends within a bounded time after the entry, the agent or the
// connection between them is lost, and the entry may place the task elsewhere after that time.
//
// An order whose answer is lost may be carried out later. The agent then raises its fencing token, which the
// backend server learns with the next order that it answers; it refuses the lost order from then on.
//
// The package opens no connection and reads no clock. It is called by batchagent, which performs its actions.
// If the backend server does not answer, its runs count as ended when the lease has run out.
package supervise

import (
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

// Intervals of the leases. An entry that loses an agent relies on their sum; see LostAfter and LapsedAfter.
const (
	// ServerLease is how long the backend server keeps its runs without being renewed. It is below the limit
	// of one second that the backend server itself applies, and covers three lost renewals.
	ServerLease = 600 * time.Millisecond
	// SessionLease is how long an agent keeps the runs of an entry that it does not hear.
	SessionLease = 500 * time.Millisecond
	// HoldWait is how long the backend server may hold back its answer to a renewal for news.
	HoldWait = 120 * time.Millisecond
	// StopTime is the longest time that the backend server needs to stop a run.
	StopTime = 50 * time.Millisecond
	// stopRetry is the interval at which an unanswered or ineffective stop is repeated.
	stopRetry = 100 * time.Millisecond
	// clockSlack covers the time between a reading of a clock and its use.
	clockSlack = 50 * time.Millisecond
	// progressInterval is how often an entry learns the progress of its runs, and minProgressAge how long a run
	// has gone on before its progress says anything. Most runs end before.
	progressInterval = 140 * time.Millisecond
	minProgressAge   = 80 * time.Millisecond
	// numberMemory is how long the run numbers of ended tasks are remembered. Callers submit a job again
	// after about a second.
	numberMemory = 15 * time.Second
	// numberStep is added to a run number that the backend server calls outdated although the agent has
	// no memory of a higher one. It ran under an earlier agent.
	numberStep = 8
	maxRestart = 6 // outdated run numbers in a row before a start is given up
)

// The clock of a backend server may be this much slower or faster than the agent's.
const clockError = 0.02

// leaseLimit is the longest lease that a backend server grants. One that restarted without the agent's knowledge
// began its clock anew, so that a lease which the agent grants ends late on it and is cut to this limit.
const leaseLimit = time.Second

// LapsedAfter is how long the runs of an agent may go on after its process has ended.
const LapsedAfter = leaseLimit + leaseLimit*3/100 + StopTime + clockSlack

// LostAfter is how long the runs of an agent may go on after its last message, if the agent cannot be
// reached.
const LostAfter = SessionLease + LapsedAfter

// Server is what a backend server says of itself.
type Server struct {
	ID       string
	Pool     string
	Address  string
	Born     int64  // start of this run of the backend server; a later run has a higher one
	Sequence uint64 // rises with each announcement of a run
	Leaving  bool
	Capacity resource.Amount
	Labels   []string
	Clock    time.Duration // its steady clock
}

// Same reports whether two announcements say the same but for their time.
func (s Server) Same(other Server) bool {
	return s.ID == other.ID && s.Pool == other.Pool && s.Address == other.Address && s.Born == other.Born &&
		s.Leaving == other.Leaving && s.Capacity == other.Capacity && slices.Equal(s.Labels, other.Labels)
}

// RunID identifies a run of a task within the session of the entry that ordered it.
type RunID struct {
	Task    batch.TaskID
	Attempt int
}

// Start is an entry's order to run a task.
type Start struct {
	RunID
	Demand resource.Amount
	Spec   string
}

// End is how a run ended.
type End string

// Ends of runs.
const (
	Done    End = "Done"
	Failed  End = "Failed"  // by its own fault or the backend server's
	Stopped End = "Stopped" // by an order
	Lost    End = "Lost"    // its lease ran out, or the backend server ended
	Refused End = "Refused" // it never started
)

// Ended reports the end of a run to its entry.
type Ended struct {
	RunID
	End     End
	RunTime time.Duration // from the accepted start; 0 if it never started
	Reason  string        // of Refused
}

// Progress is how far a run has got.
type Progress struct {
	RunID
	Percent int
	Age     time.Duration // since the accepted start
}

// Report is what an entry learns from an agent.
type Report struct {
	Clock    time.Duration // the agent's clock
	Offered  bool          // the entry may place runs
	Server   Server
	Others   resource.Amount // in use by runs of other sessions
	Ended    []Ended
	Progress []Progress
}

// Action is what the agent has to do: CallStart, CallStop, CallHold or SendReport.
type Action interface{ action() }

// CallStart starts a run on the backend server.
type CallStart struct {
	Server string // ID of the run of the backend server
	Task   batch.TaskID
	Number int
	Spec   string
	Until  time.Duration // end of the lease, on the backend server's clock
	Token  uint64

	entry string
	run   *run
}

// CallStop stops a run on the backend server.
type CallStop struct {
	Server string
	Task   batch.TaskID
	Number int
	Token  uint64
}

// CallHold asks for the runs of the backend server at once.
type CallHold struct{ Hold Hold }

// SendReport sends an entry its report.
type SendReport struct{ Entry string }

func (CallStart) action()  {}
func (CallStop) action()   {}
func (CallHold) action()   {}
func (SendReport) action() {}

// Hold is a call that lists the runs of the backend server and renews their lease.
type Hold struct {
	Server string
	Token  uint64
	Seen   uint64        // the latest end that was taken note of
	Renew  bool          // whether the lease is renewed
	Until  time.Duration // end of the lease, on the backend server's clock
	Wait   time.Duration // how long the answer may be held back for news

	at time.Time
}

// Holding is the answer to a Hold.
type Holding struct {
	Born    int64
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run on the backend server.
type RunningTask struct {
	Task    batch.TaskID
	Number  int
	Percent int
}

// EndedTask is the end of a run on the backend server.
type EndedTask struct {
	Sequence uint64
	Task     batch.TaskID
	Number   int
	End      End
}

// StartResult is the answer to a CallStart.
type StartResult int

// Answers to a CallStart.
const (
	Accepted     StartResult = iota
	Fenced                   // a higher token was seen
	Outdated                 // a run with this or a higher number was stopped or ended there
	Late                     // the lease had ended
	NoRoom                   // the capacity is in use
	Unhealthy                // the backend server does not start tasks now
	OtherServer              // another run of the backend server answered
	Unanswered               // no answer; it may be carried out later
	Unacceptable             // the order was malformed
)

var resultNames = [...]string{
	"Accepted", "Fenced", "Outdated", "Late", "NoRoom", "Unhealthy", "OtherServer", "Unanswered", "Unacceptable",
}

// String returns the name of the result for logs.
func (r StartResult) String() string { return resultNames[r] }

type runState int

const (
	starting runState = iota // the call is in progress
	unclear                  // the call was not answered
	running
)

// run is a run that may exist on the backend server.
type run struct {
	Start
	entry     string
	number    int
	state     runState
	token     uint64 // of the latest start call
	startedAt time.Time
	percent   int
	restarts  int

	reborn      bool // the backend server restarted since the order
	stopping    bool
	stopAt      time.Time // of the latest stop call
	sessionLost bool
}

// session is a connection of an entry.
type session struct {
	entry string
	until time.Time
	kept  bool // the entry has answered a report; until then it may be out of reach, and orders are refused
	ended []Ended

	progress time.Time // when progress was last reported
}

// foreign is a run on the backend server that no session ordered.
type foreign struct {
	number int
	stopAt time.Time
}

type numberOf struct {
	number int
	at     time.Time
}

// Supervisor decides for one agent. It is not safe for concurrent use.
type Supervisor struct {
	server    Server
	known     bool // a backend server announced itself
	gone      bool // it left, or did not answer until its lease ran out
	silent    int  // unanswered holds in a row
	checked   bool // its runs were listed since this agent first saw it
	restored  bool // it is known from an earlier agent only, and did not answer yet
	renewed   bool // it restarted, and did not say yet what it has now
	fences    int  // fenced calls in a row
	leftID    string
	leftBorn  int64
	token     uint64
	seen      uint64
	clock     time.Duration
	clockAt   time.Time
	heldUntil time.Time // when every lease on the backend server has run out, on the agent's clock

	home     string
	sessions map[string]*session
	runs     map[batch.TaskID]*run
	foreign  map[batch.TaskID]foreign
	numbers  map[batch.TaskID]numberOf
	draining bool

	actions []Action
}

// New returns a supervisor that knows no backend server.
func New() *Supervisor {
	return &Supervisor{
		sessions: map[string]*session{},
		runs:     map[batch.TaskID]*run{},
		foreign:  map[batch.TaskID]foreign{},
		numbers:  map[batch.TaskID]numberOf{},
	}
}

// take returns the actions decided since the last call.
func (s *Supervisor) take() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *Supervisor) report(entry string) {
	for _, a := range s.actions {
		if r, ok := a.(SendReport); ok && r.Entry == entry {
			return
		}
	}
	s.actions = append(s.actions, SendReport{Entry: entry})
}

// Running returns the number of runs that may exist.
func (s *Supervisor) Running() int { return len(s.runs) }

// Home returns the entry that is offered the backend server, or "".
func (s *Supervisor) Home() string { return s.home }

// Server returns what the backend server last said of itself, and whether it is there.
func (s *Supervisor) Server() (Server, bool) { return s.server, s.known && !s.gone }

// sorted returns the runs in a fixed order, so that the same events lead to the same actions.
func (s *Supervisor) sorted() []*run {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return a.Task.Compare(b.Task) })
}

// entries returns the entries with a session in a fixed order.
func (s *Supervisor) entries() []string { return slices.Sorted(maps.Keys(s.sessions)) }

// inUse returns what runs may use, of all sessions but the given one.
func (s *Supervisor) inUse(except string) resource.Amount {
	var sum resource.Amount
	for _, r := range s.runs {
		if r.entry != except {
			sum = sum.Plus(r.Demand)
		}
	}
	return sum
}

// orphaned reports whether a run remains whose session ended, or that no session ordered. No lease is
// granted or renewed while there is one, because a lease holds for all runs of the backend server.
func (s *Supervisor) orphaned() bool {
	if len(s.foreign) > 0 {
		return true
	}
	for _, r := range s.runs {
		if r.sessionLost {
			return true
		}
	}
	return false
}

func (s *Supervisor) offered(entry string) bool {
	return entry == s.home && s.known && !s.gone && s.checked && !s.renewed && !s.server.Leaving && !s.draining &&
		s.silent < 2 && !s.orphaned()
}

// Report returns what the entry has to know, and forgets the ends that it reports.
func (s *Supervisor) Report(now time.Time, entry string) Report {
	r := Report{Clock: sinceEpoch(now), Offered: s.offered(entry), Server: s.server, Others: s.inUse(entry)}
	c, ok := s.sessions[entry]
	if !ok {
		return r
	}
	r.Ended, c.ended = c.ended, nil
	if now.Sub(c.progress) < progressInterval {
		return r
	}
	c.progress = now
	for _, x := range s.sorted() {
		if x.entry == entry && x.state == running && !x.stopping && now.Sub(x.startedAt) > minProgressAge {
			r.Progress = append(r.Progress, Progress{RunID: x.RunID, Percent: x.percent, Age: now.Sub(x.startedAt)})
		}
	}
	return r
}

// sinceEpoch expresses a time of the agent's clock for messages.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Time returns the time of the agent's clock that a message expresses.
func Time(d time.Duration) time.Time { return time.Unix(0, int64(d)) }
