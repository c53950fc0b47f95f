// Package supervise decides what an agent does with the task runs on its backend server: which runs to start and stop,
// which lease the backend server holds, and when a run is known to have ended.
//
// An entry starts runs on the backend server through a session with the agent. The entry has to keep the session alive,
// and the agent renews the lease of the backend server only while every run on it belongs to a live session. A run
// therefore ends within a bounded time after the entry, the agent or the connection between them is lost, and the entry
// may then start the task elsewhere.
//
// A request without a response may still be carried out later. The agent then raises its fencing token. The backend
// server learns the new token from the next request that it responds to, and refuses the old request from then on.
//
// The runs of a backend server that does not respond count as ended when the lease has expired. They are reported as
// Crashed if its process is known to have ended, and as Lost otherwise.
//
// The package opens no connections and reads no clock. It is called by batchagent, which carries out its actions.
package supervise

import (
	"maps"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
)

// Lease intervals. An entry that loses an agent relies on their sum; see MaxRunAfterAgentLoss and MaxRunAfterAgentExit.
const (
	// ServerLease is how long the backend server keeps its runs without a renewal. It is below the limit of one
	// second that the backend server itself applies, and long enough that three renewals in a row may be lost.
	ServerLease = 600 * time.Millisecond
	// SessionLease is how long an agent keeps the runs of an entry from which it receives nothing.
	SessionLease = 500 * time.Millisecond
	// HoldWait is how long the backend server may delay its response to a renewal until there is something to report.
	HoldWait = 120 * time.Millisecond
	// StopTime is the longest time that the backend server takes to stop a run.
	StopTime = 50 * time.Millisecond
	// stopRetry is the interval at which a stop that had no effect is repeated, and unansweredStopRetry that of a stop
	// that got no response.
	stopRetry           = 100 * time.Millisecond
	unansweredStopRetry = 50 * time.Millisecond
	// maxStopDelay is how long a run may continue after its first stop before the lease is no longer renewed. Callers
	// resubmit a job after 1.3 s, and by then the lease has to have expired.
	maxStopDelay = 400 * time.Millisecond
	// stopWindow is how long the lease continues after a run has reached its limit. It leaves time for several stops, so
	// that the other runs of the backend server keep their lease.
	stopWindow = 250 * time.Millisecond
	// clockSlack covers the delay between reading a clock and using the value.
	clockSlack = 50 * time.Millisecond
	// progressInterval is how often an entry is sent the progress of its runs. The progress of a run younger than
	// minProgressAge does not tell whether it is slow, and most runs end before that age.
	progressInterval = 140 * time.Millisecond
	minProgressAge   = 80 * time.Millisecond
	// runNumberRetention is how long the run numbers of ended tasks are remembered. Callers submit a job again after
	// about a second.
	runNumberRetention = 15 * time.Second
	// runNumberStep is added to a run number that the backend server reports as outdated although the agent
	// remembers no higher one. An earlier agent used the higher number.
	runNumberStep = 8
	// maxUnansweredHolds is the number of consecutive Hold calls without a response after which the backend server gets
	// no starts and no renewals until it responds.
	maxUnansweredHolds = 2
	// maxStep is the longest time between two events that counts for the estimate of the backend server's clock. Tick is
	// called every 50 ms.
	maxStep     = 100 * time.Millisecond
	maxRestarts = 6 // restarts of a run after which its start is reported as refused
)

// maxClockDrift is by how much the clock of a backend server may run slower or faster than the agent's.
const maxClockDrift = 0.02

// maxClockLead and maxSequenceLead limit by how much the clock reading and the sequence number in an announcement may be
// ahead of what is known. Announcements arrive seconds late at most.
const (
	maxClockLead    = time.Minute
	maxSequenceLead = 1 << 20
)

// maxServerLease is the longest lease that a backend server accepts. If it restarts without the agent's knowledge,
// its clock starts again from zero, so that the end of a lease sent by the agent lies far ahead on that clock. The
// backend server shortens the lease to this limit.
const maxServerLease = time.Second

// MaxRunAfterAgentExit is how long the runs of an agent may continue after its process has ended. The 3 % added to the
// lease cover maxClockDrift.
const MaxRunAfterAgentExit = maxServerLease + maxServerLease*3/100 + StopTime + clockSlack

// MaxRunAfterLimit is how long a run may continue after its limit, whichever stops are lost. The 3 % cover maxClockDrift.
const MaxRunAfterLimit = stopWindow + stopWindow*3/100 + StopTime

// MaxRunAfterAgentLoss is how long the runs of an agent may continue after its last message, if the agent cannot be
// reached.
const MaxRunAfterAgentLoss = SessionLease + MaxRunAfterAgentExit

// Server is the announced state of a backend server.
type Server struct {
	ID          string
	Pool        string
	Address     string
	Incarnation int64  `json:"Born"` // identifies the process of the backend server; a later process has a higher one
	Sequence    uint64 // of the announcement; rises within an incarnation
	Leaving     bool
	Capacity    resource.Amount
	Labels      []string
	Clock       time.Duration // monotonic clock of the backend server
	// LeavesAt is when a leaving backend server leaves at the earliest, on its own clock; 0 if that is not known.
	LeavesAt time.Duration `json:",omitempty"`
}

// Equivalent reports whether two announcements are equal apart from their sequence numbers and clock readings.
func (s Server) Equivalent(other Server) bool {
	return s.ID == other.ID && s.Pool == other.Pool && s.Address == other.Address && s.Incarnation == other.Incarnation &&
		s.Leaving == other.Leaving && s.Capacity == other.Capacity && slices.Equal(s.Labels, other.Labels)
}

// RunID identifies a run of a task within the session of the entry that requested it.
type RunID struct {
	Task    batch.TaskID
	Attempt int
}

// Start is a request of an entry to run a task.
type Start struct {
	RunID
	Demand resource.Amount
	Spec   string
	Until  time.Duration // when the run may no longer continue, on the agent's clock; 0 if its session alone decides
}

// End is how a run ended.
type End string

// Ways in which a run ends.
const (
	Done    End = "Done"
	Failed  End = "Failed"  // the task or the backend server failed
	Stopped End = "Stopped" // on request
	Lost    End = "Lost"    // its lease expired, or the backend server left
	Crashed End = "Crashed" // the process of the backend server ended during the run, without a leave notice
	Refused End = "Refused" // it was not started
)

// RunEnd reports the end of a run to its entry.
type RunEnd struct {
	RunID
	End     End
	RunTime time.Duration // since the backend server accepted the start; 0 if it did not
	Reason  string        // why the run was refused; empty unless End is Refused
	// Unconfirmed means that the backend server crashed before it answered the start, so that the run may not have begun.
	Unconfirmed bool `json:",omitempty"`
	// Uncertain means that the run may not have been there when the backend server crashed: the call that started it timed
	// out, or its end may not have been listed.
	Uncertain bool `json:",omitempty"`
}

// Progress is the progress of a run.
type Progress struct {
	RunID
	Percent int
	Age     time.Duration // from the start, as accepted by the backend server, to the reading of Percent
}

// Report is the state of an agent and its runs as sent to an entry.
type Report struct {
	Clock        time.Duration // the agent's clock
	Offered      bool          // whether the entry may start runs
	Released     bool          `json:",omitempty"` // whether another entry is the home, but jobs of this one may be finished
	ProcessEnded bool          `json:",omitempty"` // whether the backend server has crashed; its runs are reported later
	Server       Server
	LeavesIn     time.Duration   `json:",omitempty"` // how much longer a leaving backend server certainly runs; 0 if not known
	UsedByOthers resource.Amount `json:"Others"`     // capacity in use by runs of other entries
	Ended        []RunEnd
	Progress     []Progress
}

// Action is an action for the agent to carry out: CallStart, CallStop, CallHold or SendReport.
type Action interface{ action() }

// CallStart starts a run on the backend server.
type CallStart struct {
	Server string // ID of the backend server
	Task   batch.TaskID
	Number int
	Spec   string
	Until  time.Duration // end of the lease, on the backend server's clock
	Token  uint64
	Entry  string // that requested the run

	createdAt   time.Time
	incarnation int64 // of the backend server, as known when the call was made
	run         *run
}

// Age returns the time since the start was decided.
func (c CallStart) Age(now time.Time) time.Duration { return now.Sub(c.createdAt) }

// CallStop stops a run on the backend server.
type CallStop struct {
	Server      string
	Task        batch.TaskID
	Number      int
	Token       uint64
	Unrequested bool // no session of this agent requested the run

	incarnation int64
}

// CallHold lists the runs of the backend server without waiting for the next regular call.
type CallHold struct{ Hold Hold }

// SendReport sends a report to an entry.
type SendReport struct{ Entry string }

func (CallStart) action()  {}
func (CallStop) action()   {}
func (CallHold) action()   {}
func (SendReport) action() {}

// Hold is a call that lists the runs of the backend server and renews their lease.
type Hold struct {
	Server string
	Token  uint64
	Seen   uint64        // sequence number of the latest TaskEnd that the agent has processed
	Renew  bool          // whether the lease is renewed
	Until  time.Duration // end of the lease, on the backend server's clock
	Wait   time.Duration // how long the response may be delayed until there is something to report

	createdAt   time.Time
	leasesEndBy time.Time // of the earlier leases
	incarnation int64
	retries     int // how often the call is repeated at once if it gets no response
}

// Lapsed returns how long ago every lease that the supervisor granted before the call had expired, or false if one still
// applied when the call was made. Runs that the response lists as ended, and that it had started before, ended by then.
func (h Hold) Lapsed(now time.Time) (time.Duration, bool) {
	return now.Sub(h.leasesEndBy), h.createdAt.After(h.leasesEndBy)
}

// AsOf returns the call as it may be sent at the given time. It drops a renewal whose lease is over: a backend server that
// has restarted under its ID would take the end of the lease for a time on its new clock.
func (h Hold) AsOf(now time.Time) Hold {
	h.Renew = h.Renew && now.Sub(h.createdAt) <= ServerLease
	return h
}

// Merge returns a call in place of both h and a later one, if neither has been sent. The later one lists the runs under a
// token that is no lower. If h is the first call to a backend server that may have restarted, the result is repeated as h
// would be, and renews no lease.
func (h Hold) Merge(later Hold) Hold {
	if h.Server == later.Server && h.incarnation == later.incarnation && h.retries > 0 {
		later.Renew, later.retries = false, max(h.retries, later.retries)
	}
	return later
}

// HoldResponse is the response to a Hold.
type HoldResponse struct {
	Incarnation int64
	Clock       time.Duration
	Running     []RunningTask
	Ended       []TaskEnd
}

// RunningTask is a run on the backend server.
type RunningTask struct {
	Task    batch.TaskID
	Number  int
	Percent int
}

// TaskEnd reports the end of a run on the backend server.
type TaskEnd struct {
	Sequence uint64
	Task     batch.TaskID
	Number   int
	End      End
}

// StartResult is the result of a CallStart.
type StartResult int

// Results of a CallStart.
const (
	Accepted     StartResult = iota
	Fenced                   // the backend server has seen a higher token
	Outdated                 // a run of the task with this or a higher number was stopped or has ended
	Late                     // the lease had expired
	NoRoom                   // not enough free capacity
	Unhealthy                // the backend server does not start tasks at present
	OtherServer              // another process responded in place of the backend server
	Unanswered               // no response; the request may still be carried out
	Unacceptable             // the request was malformed
	NotListening             // the connection was refused, so the request was not sent
	Unsent                   // the agent did not make the call
)

var resultNames = [...]string{
	"Accepted", "Fenced", "Outdated", "Late", "NoRoom", "Unhealthy", "OtherServer", "Unanswered", "Unacceptable",
	"NotListening", "Unsent",
}

// String returns the name of the result for logs.
func (r StartResult) String() string { return resultNames[r] }

type runState int

const (
	starting    runState = iota // the call has not returned
	unconfirmed                 // the call got no response; the run may exist
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
	cutAt     time.Time // when the connection of the start call was closed without a response; zero if it was not
	percent   int       // in the latest list of the backend server's runs
	listedAt  time.Time // when that list arrived
	restarts  int

	serverRestarted bool // the backend server restarted after the start call
	crashed         bool // it had not announced that it would leave
	unanswered      bool // and had not answered the start call
	endMissed       bool // a list had neither the run nor its end
	mayHaveEnded    bool // before the process of the backend server did
	stopping        bool
	stoppedAt       time.Time // when the first stop call was sent
	stopSentAt      time.Time // when the latest stop call was sent
	stopAnswered    bool      // the latest stop call got a response
	sessionEnded    bool
	until           time.Time // when the run may no longer continue, even if its session does
}

// session is the connection of an entry to this agent.
type session struct {
	entry     string
	expiresAt time.Time
	confirmed bool // the entry has acknowledged a report; until then it may be unreachable, and its requests are refused
	ended     []RunEnd
	// refusingPool is the pool of this agent if its backend servers refuse runs beyond their capacity, as the entry knows
	// from the configuration.
	refusingPool string

	progressSentAt time.Time // when progress was last sent
}

// unknownRun is a run on the backend server that no session requested.
type unknownRun struct {
	number     int
	stopSentAt time.Time
}

// endedRunNumber is the number of the latest run of a task, kept after its end.
type endedRunNumber struct {
	number  int
	endedAt time.Time
}

// Supervisor is the state machine that supervises the runs of one agent. It is not safe for concurrent use.
type Supervisor struct {
	server               Server
	responded            bool      // the backend server has responded as the announced incarnation
	answeredAt           time.Time // when the latest call that it has answered was made
	misdirected          bool      // another process has responded in its place
	announcedAt          time.Time // when it was first announced or restored
	candidate            *Server   // announced in place of server; unconfirmed
	candidateAt          time.Time
	known                bool      // a backend server has announced itself or was restored
	left                 bool      // it has left, as announced
	processEnded         bool      // nothing listens at its address, or another process responded there
	processEndedAt       time.Time // when that was noticed
	endsListedUntil      time.Time // the ends of runs before this time have been listed
	unansweredHolds      int       // consecutive Hold calls without a response
	runsListed           bool      // its runs were listed since this agent first saw it
	restored             bool      // known only from the state of an earlier agent; has not responded yet
	awaitingAnnouncement bool      // it restarted and has not announced its capacity and labels since
	maxCapacityAge       time.Duration
	capacityAt           time.Time // when the capacity was that of the latest announcement; later if that is unknown
	fencedHolds          int       // consecutive Hold calls refused because of their token
	leftID               string
	leftIncarnation      int64
	returning            *Server   // announced by the process that has left; nil if it has not responded to a later call
	returningSince       time.Time // when it first announced itself after its leave notice
	token                uint64
	listToken            uint64        // lists of runs made under lower tokens are not conclusive
	listClock            time.Duration // reading of the backend server's clock in the newest list
	lastEndSequence      uint64
	clock                time.Duration // reading of the backend server's clock on which serverClock is based
	clockAt              time.Time     // when the reading was received, on the agent's clock
	activeAt             time.Time     // when the supervisor last handled an event that advances the estimate
	pausedAt             time.Time     // end of the latest pause before such an event
	leasesEndBy          time.Time     // when every lease on the backend server has expired, on the agent's clock
	leaseUntil           time.Time     // end of the latest lease, on the agent's clock

	home        string // entry to which the backend server is offered; empty if none
	sessions    map[string]*session
	runs        map[batch.TaskID]*run
	unknownRuns map[batch.TaskID]unknownRun
	runNumbers  map[batch.TaskID]endedRunNumber
	draining    bool
	evacuated   bool // operators have evacuated its data centre

	actions []Action
}

// New returns a supervisor without a backend server. The capacity may shrink right after an announcement, so no runs are
// started when the latest one is older than the given age. 0 means that any age is accepted.
func New(maxCapacityAge time.Duration) *Supervisor {
	return &Supervisor{
		maxCapacityAge: maxCapacityAge,

		sessions:    map[string]*session{},
		runs:        map[batch.TaskID]*run{},
		unknownRuns: map[batch.TaskID]unknownRun{},
		runNumbers:  map[batch.TaskID]endedRunNumber{},
	}
}

// takeActions returns the actions decided since the last call.
func (s *Supervisor) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// addReport adds the report to an entry to the pending actions, at most once.
func (s *Supervisor) addReport(entry string) {
	for _, a := range s.actions {
		if r, ok := a.(SendReport); ok && r.Entry == entry {
			return
		}
	}
	s.actions = append(s.actions, SendReport{Entry: entry})
}

// TotalRunCount returns the number of runs of all entries that may exist.
func (s *Supervisor) TotalRunCount() int { return len(s.runs) }

// Home returns the entry to which the backend server is offered, or "".
func (s *Supervisor) Home() string { return s.home }

// Server returns the last announcement of the backend server, and whether the backend server is present.
func (s *Supervisor) Server() (Server, bool) { return s.server, s.known && !s.left }

// sortedRuns returns the runs in a fixed order, so that the same events lead to the same actions.
func (s *Supervisor) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return a.Task.Compare(b.Task) })
}

// sortedEntries returns the entries that have a session in a fixed order.
func (s *Supervisor) sortedEntries() []string { return slices.Sorted(maps.Keys(s.sessions)) }

// inUse returns the capacity that runs may be using, without the runs of the given entry.
func (s *Supervisor) inUse(except string) resource.Amount {
	var sum resource.Amount
	for _, r := range s.runs {
		if r.entry != except {
			sum = sum.Plus(r.Demand)
		}
	}
	return sum
}

// hasOrphans reports whether a run remains whose session ended, that no session requested, that may no longer continue, or
// that has not ended in time after a stop. Meanwhile no lease is granted or renewed, because a lease applies to all runs
// of the backend server. If the agent's process was suspended, it may get here before Tick has ended the expired sessions,
// so their ends are checked.
func (s *Supervisor) hasOrphans(now time.Time) bool {
	if len(s.unknownRuns) > 0 {
		return true
	}
	for _, r := range s.runs {
		if c, ok := s.sessions[r.entry]; r.sessionEnded || !ok || now.After(c.expiresAt) {
			return true
		}
		if now.After(r.until) || (r.stopping && now.Sub(r.stoppedAt) > maxStopDelay) {
			return true
		}
	}
	return false
}

// capacityKnown reports whether the backend server has announced its capacity, and not too long ago if it does not refuse
// runs beyond it.
func (s *Supervisor) capacityKnown(now time.Time) bool {
	return !s.awaitingAnnouncement &&
		(s.maxCapacityAge == 0 || s.refusesOverload(now) || now.Sub(s.capacityAt) < s.maxCapacityAge-clockSlack)
}

// refusesOverload reports whether the backend server refuses runs beyond its capacity, as the home has said in the present
// session. If so, the age of the capacity does not matter, and a restarted agent need not wait for an announcement.
func (s *Supervisor) refusesOverload(now time.Time) bool {
	c, ok := s.sessions[s.home]
	return ok && c.alive(now) && c.refusingPool != "" && c.refusingPool == s.server.Pool
}

// SetRefusingPool records the pool whose backend servers refuse runs beyond their capacity, according to an entry. It is
// empty if they do not.
func (s *Supervisor) SetRefusingPool(entry, pool string) []Action {
	c, ok := s.sessions[entry]
	if !ok || c.refusingPool == pool {
		return nil
	}
	c.refusingPool = pool
	if entry == s.home {
		s.reportAll()
	}
	return s.takeActions()
}

// acceptsStarts reports whether the backend server can start runs.
func (s *Supervisor) acceptsStarts(now time.Time) bool {
	return s.known && !s.left && s.runsListed && s.capacityKnown(now) && !s.server.Leaving && !s.draining &&
		!s.evacuated && !s.silent() && !s.processEnded && !s.hasOrphans(now)
}

// Report returns the report for an entry, and drops the ends of runs that it contains.
func (s *Supervisor) Report(now time.Time, entry string) Report {
	accepts := s.acceptsStarts(now)
	r := Report{
		Clock: sinceEpoch(now), Offered: accepts && entry == s.home, Released: accepts && entry != s.home,
		Server: s.server, LeavesIn: s.leavesIn(now), UsedByOthers: s.inUse(entry), ProcessEnded: s.processEnded && !s.leaves(),
	}
	c, ok := s.sessions[entry]
	if !ok {
		return r
	}
	r.Ended, c.ended = c.ended, nil
	if now.Sub(c.progressSentAt) < progressInterval {
		return r
	}
	c.progressSentAt = now
	for _, x := range s.sortedRuns() {
		if age := x.listedAt.Sub(x.startedAt); x.entry == entry && x.state == running && !x.stopping && age > minProgressAge {
			r.Progress = append(r.Progress, Progress{RunID: x.RunID, Percent: x.percent, Age: age})
		}
	}
	return r
}

// sinceEpoch encodes a time of the agent's clock for messages.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// ClockTime decodes a time of the agent's clock from a message.
func ClockTime(d time.Duration) time.Time { return time.Unix(0, int64(d)) }
