package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

const (
	// speedWeight is the weight of one run in the speed of a backend server. Run times vary by half around
	// their estimate, so that about twenty runs make a reliable figure.
	speedWeight = 0.06
	// probeWeight is the weight of a probe in the speed of a slow backend server, which gets few.
	probeWeight = 0.4
	// maxSpeedSample bounds what one run says, on a logarithmic scale. One run in thirty takes seven times as
	// long as the others and says nothing about the backend server.
	maxSpeedSample = 1.2
	// slowFactor marks a backend server that is so slow that nothing it runs can be in time.
	slowFactor = 2.0
	// probeInterval is how often a slow or failing backend server gets one task, to learn whether it recovered.
	probeInterval = time.Second
	// maxQuarantine bounds the interval between the probes of a backend server that goes on failing.
	maxQuarantine = 4 * time.Second
	// suspectFailures quarantine a backend server: failures in a row, of different jobs.
	suspectFailures = 3
	// failureWeight is the weight of one run in the share of runs that fail on a backend server.
	failureWeight = 0.15
	// maxFailureShare marks a backend server that fails so much of its work that it gets only probes.
	maxFailureShare = 0.25
	// failureCost is the cost of the share of failures in the choice of a backend server, and retryCost in the choice
	// for a task that has failed once: most routes allow two runs.
	failureCost = 3
	retryCost   = 30
	// minSuccess is the least share of its cores that a failing backend server counts with, so that a pool of which all
	// fail is not taken as one without backend servers.
	minSuccess = 0.1
	// slowProgress marks a backend server by the progress of what it runs.
	slowProgress = 2.5
	// minExpected is the run time from which a run is seen in progress whether it is slow or not.
	minExpected = 120 * time.Millisecond
	// minProgressJobs have to run on a backend server before their progress says anything of it: the estimate of
	// one job may be far off.
	minProgressJobs = 4
	// A run is moved if the time that it still needs is moveGain times that of a new one, and moveCost.
	moveGain = 2
	moveCost = 100 * time.Millisecond
	// refusalRest is how long nothing is ordered from an agent that refused. It stops runs of an earlier session, or
	// its backend server is not well, and would refuse again at once.
	refusalRest = 50 * time.Millisecond
	// sameServer is the preference for the backend server of the job's previous task. Tasks of a job on one backend
	// server need one message instead of several, and the loss of a backend server hits fewer jobs.
	sameServer = 0.3
	// maxQuarantined is the share of the backend servers that may be quarantined or slow at once. If more look
	// bad, the cause is the work.
	maxQuarantined = 0.5
)

type server struct {
	agent     string
	connected bool
	offered   bool
	info      supervise.Server
	capacity  resource.Amount
	used      resource.Amount // by runs of this entry
	others    resource.Amount // by runs of other entries
	lostUntil time.Time       // when runs of the lost agent have ended
	runs      map[supervise.RunID]*taskRun

	restUntil time.Time // after a refusal

	slowness float64 // natural logarithm of run times against those of other servers

	failures    float64 // share of the latest runs that failed, of different jobs
	failing     int     // failures in a row, of different jobs
	lastFailure batch.JobID
	quarantined bool
	judgedBad   bool // as the entry was told
	quarantine  time.Duration
	probeAt     time.Time
}

func (s *server) usable() bool { return s.connected && s.offered }

func (s *server) free() resource.Amount { return s.capacity.Minus(s.used).Minus(s.others) }

func (s *server) factor() float64 { return math.Exp(s.slowness) }

// bad reports whether the backend server gets only probes.
func (s *server) bad() bool {
	return s.quarantined || s.factor() > slowFactor || s.failures > maxFailureShare
}

// Connect takes note of a new session with an agent. Runs of an earlier session may go on until the agent
// offers its backend server again, or until they must have ended.
func (d *Dispatcher) Connect(now time.Time, agent string) []Action {
	s, ok := d.servers[agent]
	if !ok {
		s = &server{agent: agent, runs: map[supervise.RunID]*taskRun{}}
		d.servers[agent] = s
		d.order = append(d.order, s)
		slices.SortFunc(d.order, func(a, b *server) int { return cmp.Compare(a.agent, b.agent) })
	}
	d.lose(s, now.Add(supervise.LostAfter))
	s.connected, s.offered = true, false
	return d.take()
}

// Disconnect takes note of the end of a session. Runs may go on until the given time.
func (d *Dispatcher) Disconnect(now time.Time, agent string, ended time.Time) []Action {
	if s, ok := d.servers[agent]; ok && s.connected {
		s.connected, s.offered = false, false
		d.lose(s, ended)
		d.measure()
		d.place(now)
	}
	return d.take()
}

// lose marks the runs at an agent as lost.
func (d *Dispatcher) lose(s *server, until time.Time) {
	for _, t := range s.runs {
		if t.state == placed {
			t.state = limbo
			s.lostUntil = until
		}
	}
}

// Report takes a report of an agent.
func (d *Dispatcher) Report(now time.Time, agent string, r supervise.Report) []Action {
	s, ok := d.servers[agent]
	if !ok || !s.connected {
		return nil
	}
	for _, e := range r.Ended {
		d.ended(now, s, e)
	}
	if r.Offered {
		// An agent offers its backend server only when nothing of an earlier session runs there.
		d.resolve(now, s)
	}
	if s.info.ID != r.Server.ID || s.info.Born != r.Server.Born {
		s.slowness, s.failures, s.failing, s.quarantined, s.quarantine = 0, 0, 0, false, 0
	}
	d.observe(now, s, r.Progress)
	changed := s.offered != r.Offered || s.capacity != r.Server.Capacity
	s.offered, s.info, s.capacity, s.others = r.Offered, r.Server, r.Server.Capacity, r.Others
	if changed {
		d.measure()
	}
	d.place(now)
	return d.take()
}

// resolve ends the lost runs at an agent.
func (d *Dispatcher) resolve(now time.Time, s *server) {
	for id, t := range s.runs {
		if t.state == limbo {
			d.ended(now, s, supervise.Ended{RunID: id, End: supervise.Lost})
		}
	}
}

// choose returns the backend server for a task, or nil. constrained reports whether servers with room were
// passed over because of what the step requires.
func (d *Dispatcher) choose(now time.Time, j *job, st *step, t *taskRun) (best *server, constrained bool) {
	var bestScore float64
	bad, usable := d.count()
	// A task that failed on every backend server may use any again.
	avoid := len(t.failedOn) < usable
	for _, s := range d.order {
		if !s.usable() || s.info.Pool != j.Pool || !st.Demand.Fits(s.free()) || now.Before(s.restUntil) {
			continue
		}
		if (st.Label != "" && !slices.Contains(s.info.Labels, st.Label)) ||
			(avoid && slices.Contains(t.failedOn, s)) ||
			(st.MaxPerServer > 0 && countOn(st, s) >= st.MaxPerServer) {
			constrained = true
			continue
		}
		// One task at a time, at intervals, tells whether a bad server has recovered. If most are bad, the cause is
		// the work, and all are used.
		if s.bad() && float64(bad) <= maxQuarantined*float64(usable) && (now.Before(s.probeAt) || len(s.runs) > 0) {
			continue
		}
		score := d.score(s, st, t)
		if s == j.last {
			score -= sameServer
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best, constrained
}

func countOn(st *step, s *server) int {
	n := 0
	for _, t := range st.tasks {
		if t.server == s && (t.state == placed || t.state == limbo) {
			n++
		}
	}
	return n
}

// count returns the numbers of bad and of all usable backend servers.
func (d *Dispatcher) count() (bad, usable int) {
	for _, s := range d.order {
		if !s.usable() {
			continue
		}
		usable++
		if s.bad() {
			bad++
		}
	}
	return bad, usable
}

// score orders the backend servers with room for a task: the lowest is taken. Faster ones go first; among
// equals the emptier one, so that a loss hits few tasks.
func (d *Dispatcher) score(s *server, st *step, t *taskRun) float64 {
	used := float64(s.capacity.Processor-s.free().Processor) / float64(max(s.capacity.Processor, 1))
	score := s.factor() + used/4 + failureCost*s.failures
	if st.Rack != "" && !slices.Contains(s.info.Labels, st.Rack) {
		score++
	}
	switch {
	case t.failures > 0:
		score += retryCost * s.failures
	case s.bad():
		score -= 10 // a probe is due
	}
	return score
}

// learn takes the run time of a task that succeeded into account.
func (d *Dispatcher) learn(s *server, j *job, st *step, runTime time.Duration) {
	if st.Estimate <= 0 || runTime <= 0 {
		return
	}
	ratio := float64(runTime) / float64(st.Estimate)
	r := d.route(j.Route)
	if r.runs > 0 {
		sample := math.Log(ratio / r.ratio)
		sample = min(max(sample, -maxSpeedSample), maxSpeedSample)
		weight := speedWeight
		if s.bad() {
			weight = probeWeight
		}
		s.slowness += weight * (sample - s.slowness)
	}
	r.observe(ratio / s.factor())
	d.measure()
}

// observe takes the progress of runs into account. It tells a slow backend server, or one on which everything
// stands still, long before its runs end. All that it runs has to be slow, because some runs take much longer
// everywhere, and those are in progress more often than others.
func (d *Dispatcher) observe(now time.Time, s *server, progress []supervise.Progress) {
	var ratios []float64
	jobs := map[*job]bool{}
	for _, p := range progress {
		t, ok := s.runs[p.RunID]
		if !ok {
			continue
		}
		j := d.jobs[t.id.Job]
		expected := d.route(j.Route).runTime(j.steps[t.id.Step].Estimate)
		if expected < minExpected {
			continue // only those that take long are seen
		}
		jobs[j] = true
		ratios = append(ratios, float64(projected(p))/float64(expected))
	}
	if len(jobs) < minProgressJobs {
		return
	}
	least := slices.Min(ratios)
	before := s.bad()
	switch {
	case least > slowProgress:
		s.slowness = max(s.slowness, math.Log(least))
	case least < 1 && s.factor() > slowFactor:
		s.slowness = math.Log(least)
	default:
		return
	}
	d.measure()
	if !before {
		s.probeAt = now.Add(probeInterval)
	}
	if s.bad() {
		d.moveRuns(now, s, progress)
	}
}

// projected is the run time of a run that goes on as it did.
func projected(p supervise.Progress) time.Duration {
	return time.Duration(float64(p.Age) * 100 / max(float64(p.Percent), 0.5))
}

// moveRuns stops the runs of a slow backend server that would end sooner if they began anew on another one.
func (d *Dispatcher) moveRuns(now time.Time, s *server, progress []supervise.Progress) {
	if bad, usable := d.count(); float64(bad) > maxQuarantined*float64(usable) {
		return
	}
	for _, p := range progress {
		t, ok := s.runs[p.RunID]
		if !ok || t.stopping || t.moved {
			continue
		}
		j := d.jobs[t.id.Job]
		expected := d.route(j.Route).runTime(j.steps[t.id.Step].Estimate)
		rest := projected(p) - p.Age
		if j.answered || rest < moveGain*expected+moveCost || now.Add(expected).After(j.limit.Add(expected)) {
			continue
		}
		t.stopping, t.moved = true, true
		d.orderStop(s, p.RunID)
	}
}

// observeFailure learns from a run: 1 is a failure.
func (s *server) observeFailure(sample float64) {
	weight := failureWeight
	if s.bad() {
		weight = probeWeight
	}
	s.failures += weight * (sample - s.failures)
}

// succeeded clears the suspicion against a backend server.
func (d *Dispatcher) succeeded(now time.Time, s *server) {
	s.observeFailure(0)
	s.failing, s.lastFailure = 0, ""
	if s.quarantined {
		s.quarantined, s.quarantine = false, 0
		// The next probe follows at the shortest interval.
		s.probeAt = earlier(s.probeAt, now.Add(probeInterval))
		d.measure()
	}
}

// failed counts a failure against a backend server, unless the task failed elsewhere too.
func (d *Dispatcher) failed(now time.Time, s *server, t *taskRun) {
	if len(t.failedOn) > 0 || s.lastFailure == t.id.Job {
		return
	}
	s.lastFailure = t.id.Job
	s.observeFailure(1)
	s.failing++
	if s.failing >= suspectFailures || s.quarantined {
		s.quarantined = true
		s.quarantine = min(max(2*s.quarantine, probeInterval), maxQuarantine)
		s.probeAt = now.Add(s.quarantine)
	}
	d.measure()
}
