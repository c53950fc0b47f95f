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
	// speedWeight is the weight of one run in the moving average of the speed of a backend server. Run times vary by
	// half around their estimate, so that about twenty runs give a reliable value.
	speedWeight = 0.06
	// probeWeight is the weight of a probe in the speed and failure share of a degraded backend server, which gets
	// few runs.
	probeWeight = 0.4
	// maxSpeedSample bounds the effect of one run, as a natural logarithm. One run in thirty takes seven times as
	// long as the others, on any backend server.
	maxSpeedSample = 1.2
	// degradedFactor is the ratio of the slowdown to the usual one above which a backend server is degraded: it has a
	// fault, and no task that it runs can be in time.
	degradedFactor = 2.0
	// probeInterval is how often a degraded backend server gets one task as a probe, to find out whether it has
	// recovered.
	probeInterval = time.Second
	// maxProbeInterval bounds the interval between the probes of a backend server that keeps failing.
	maxProbeInterval = 4 * time.Second
	// quarantineFailures is the number of consecutive failures, each of a different job, that quarantines a backend
	// server.
	quarantineFailures = 3
	// failureWeight is the weight of one run in the failure share of a backend server.
	failureWeight = 0.15
	// maxFailureShare is the failure share above which a backend server is degraded.
	maxFailureShare = 0.25
	// failureCost is the weight of the failure share in the score of a backend server. retryCost is added to it for
	// a task that has failed before: most routes allow two runs.
	failureCost = 3
	retryCost   = 30
	// suspectCost is added to the score of a backend server that runs a suspect, which may crash it.
	suspectCost = 5
	// minCapacityShare is the least share of its cores that a failing backend server contributes to the capacity of its
	// pool, so that a pool in which all fail is not mistaken for one without backend servers.
	minCapacityShare = 0.1
	// slowProgressFactor is the ratio of projected to expected run times above which a backend server is slow.
	slowProgressFactor = 2.5
	// minProgressRunTime is the expected run time from which the progress of a run tells whether it is slow.
	minProgressRunTime = 120 * time.Millisecond
	// minProgressJobs is the number of jobs that must be running on a backend server before their progress counts:
	// the estimate of a single job may be far off.
	minProgressJobs = 4
	// A run hangs if it has made no progress for stallAge and for stallShare of its expected run time. A run that takes
	// ten times as long as expected makes some per cent of its progress in that time.
	stallAge   = 120 * time.Millisecond
	stallShare = 0.25
	// maxSlowdown bounds the slowdown, so that a backend server is used again after few probes when it has recovered.
	maxSlowdown = 8.0
	// slowStreak is the number of consecutive runs, each of a different job, that have to take slowProgressFactor times
	// as long as expected for a backend server to be slow. One run in thirty does on any backend server.
	slowStreak = 3
	// probeSlack is how long the job of a probe has to be able to wait: the probe may have to be restarted elsewhere. If
	// no such job comes within probeInterval, any job is used.
	probeSlack = 200 * time.Millisecond
	// maxRestarts limits how often the run of a task is restarted elsewhere.
	maxRestarts = 3
	// A run on a slow backend server is restarted elsewhere if its remaining time exceeds moveGain times the run time
	// of a new run plus moveCost.
	moveGain = 2
	moveCost = 100 * time.Millisecond
	// refusalBackoff is how long no starts are sent to an agent that refused one. The agent is stopping runs of an
	// earlier session, or its backend server is unhealthy; it would refuse again at once.
	refusalBackoff = 50 * time.Millisecond
	// sameServerBonus favours the backend server of the job's previous task. Tasks of a job on one backend server
	// need one message instead of several, and the loss of a backend server affects fewer jobs.
	sameServerBonus = 0.3
	// maxDegradedShare is the share of the usable backend servers above which degraded ones are used as well: the
	// work is then the likely cause.
	maxDegradedShare = 0.5
)

// server is the state of the backend server of an agent.
type server struct {
	agent         string
	connected     bool
	offered       bool
	released      bool // its agent has chosen another home, but accepts starts of this entry's jobs
	info          supervise.Server
	capacity      resource.Amount
	used          resource.Amount // by runs of this entry
	usedByOthers  resource.Amount // by runs of other entries
	reserved      resource.Amount // held for the tasks in reservedFor
	reservedFor   map[*task]resource.Amount
	lostRunsEndBy time.Time // when lost runs cannot exist any more
	runs          map[supervise.RunID]*task
	places        places
	suspects      int  // among the tasks of runs
	processEnded  bool // it has crashed, and its runs have not been reported as ended
	dataCentre    string
	evacuated     bool // gets no starts: its data centre is evacuated, or was until readmitAt has not come yet
	// sessionChangedAt is when the latest session with the agent began or ended.
	sessionChangedAt time.Time
	readmitAt        time.Time  // zero if its data centre is still evacuated
	leavesAt         time.Time  // when it leaves at the earliest, as announced; zero if it does not or that is not known
	clockDelay       leastDelay // between the agent's clock in its reports and this one

	backoffUntil time.Time // no start requests are sent before this time, after a refusal

	logSlowdown       float64 // natural logarithm of run times relative to other backend servers
	logSteadySlowdown float64 // the same over many more runs, which tells a slow backend server from a faulty one
	steadyRuns        int     // observed for it
	lastStart         time.Time

	failureShare        float64 // share of recent runs that failed, counting one failure per job
	consecutiveFailures int     // consecutive failures, each of a different job
	consecutiveSlowRuns int     // consecutive slow runs, each of a different job
	leastSlowRun        float64 // the least slow of them, as natural logarithm of its run time relative to the expected one
	lastFailedJob       batch.JobID
	lastSlowJob         batch.JobID
	quarantined         bool
	hangs               bool // its runs made no progress, and none has succeeded since
	reportedDegraded    bool // value of degraded in the latest HealthChanged
	probeDelay          time.Duration
	nextProbe           time.Time
}

func (s *server) usable() bool { return s.connected && s.offered && !s.evacuated }

// usableFor reports whether tasks of a job may be started on the backend server. If its agent has chosen another home,
// only jobs that cannot continue elsewhere are: those that have started, and those of an entry that is draining.
func (d *Dispatcher) usableFor(s *server, j *job) bool {
	return s.usable() || (s.connected && s.released && !s.evacuated && (j.started() || d.draining))
}

// free returns the free capacity that is not held for a moved task. It is negative while the room that is held is only
// about to become free.
func (s *server) free() resource.Amount {
	return s.capacity.Minus(s.used).Minus(s.usedByOthers).Minus(s.reserved)
}

// freeFor returns the free capacity for a task.
func (s *server) freeFor(t *task) resource.Amount { return s.free().Plus(s.reservedFor[t]) }

// slowdown returns the run times relative to other backend servers.
func (s *server) slowdown() float64 { return math.Exp(s.logSlowdown) }

// excluded reports whether the backend server contributes nothing to the capacity of its pool.
func (s *server) excluded() bool { return s.quarantined || s.hangs }

// degraded reports whether the backend server gets only probes.
func (s *server) degraded() bool {
	return s.excluded() || s.slowdown() > s.degradedSlowdown() || s.failureShare > maxFailureShare
}

// Connect handles a new session with an agent. Runs of an earlier session may continue until the agent offers its
// backend server again, but no longer than MaxRunAfterAgentLoss.
func (d *Dispatcher) Connect(now time.Time, agent string) []Action {
	s, ok := d.servers[agent]
	if !ok {
		s = &server{agent: agent, runs: map[supervise.RunID]*task{}, reservedFor: map[*task]resource.Amount{}}
		d.servers[agent] = s
		d.sortedServers = append(d.sortedServers, s)
		slices.SortFunc(d.sortedServers, func(a, b *server) int { return cmp.Compare(a.agent, b.agent) })
	}
	d.markLost(s, now.Add(supervise.MaxRunAfterAgentLoss))
	s.connected, s.offered, s.released, s.processEnded = true, false, false, false
	s.sessionChangedAt = now
	s.clockDelay = leastDelay{}
	d.setLeavesAt(s, time.Time{})
	s.releaseAll()
	return d.takeActions()
}

// Disconnect handles the end of a session. Its runs may continue until runsEndBy.
func (d *Dispatcher) Disconnect(now time.Time, agent string, runsEndBy time.Time) []Action {
	if s, ok := d.servers[agent]; ok && s.connected {
		s.connected, s.offered, s.released = false, false, false
		s.sessionChangedAt = now
		d.setLeavesAt(s, time.Time{})
		s.releaseAll()
		d.markLost(s, runsEndBy)
		d.updatePoolCapacity()
		d.place(now)
	}
	return d.takeActions()
}

// markLost marks the runs of an agent as lost. They may continue until runsEndBy.
func (d *Dispatcher) markLost(s *server, runsEndBy time.Time) {
	for _, t := range s.runs {
		if t.state == placed {
			t.state = lost
			t.release()
			s.lostRunsEndBy = runsEndBy
		}
	}
}

// HandleReport processes a report of an agent.
func (d *Dispatcher) HandleReport(now time.Time, agent string, r supervise.Report) []Action {
	s, ok := d.servers[agent]
	if !ok || !s.connected {
		return nil
	}
	d.blameCrash(now, s, r.Ended)
	for _, e := range r.Ended {
		d.runEnded(now, s, e)
	}
	if s.info.ID != r.Server.ID || s.info.Incarnation != r.Server.Incarnation {
		d.setLeavesAt(s, time.Time{})
		s.logSlowdown, s.failureShare, s.consecutiveFailures, s.consecutiveSlowRuns = 0, 0, 0, 0
		s.quarantined, s.hangs, s.probeDelay = false, false, 0
		s.logSteadySlowdown, s.steadyRuns = 0, 0
		s.releaseAll()
	}
	d.observeProgress(now, s, r.Progress)
	changed := s.offered != r.Offered || s.capacity != r.Server.Capacity
	s.offered, s.released, s.info = r.Offered, r.Released, r.Server
	s.processEnded = r.ProcessEnded
	s.capacity, s.usedByOthers = r.Server.Capacity, r.UsedByOthers
	d.observeLeaving(now, s, r)
	d.releaseUnfit(s)
	if changed {
		p := d.pool(s.info.Pool)
		before := p.cores
		d.updatePoolCapacity()
		d.noteArrival(now, p, before)
	}
	if r.Offered {
		// An agent offers its backend server only when no run of an earlier session remains there.
		d.endLostRuns(now, s)
	}
	d.place(now)
	d.moveLeaving(now)
	return d.takeActions()
}

// endLostRuns counts the lost runs of an agent as ended.
func (d *Dispatcher) endLostRuns(now time.Time, s *server) {
	for id, t := range s.runs {
		if t.state == lost {
			d.runEnded(now, s, supervise.RunEnd{RunID: id, End: supervise.Lost})
		}
	}
}

// skips tells why backend servers with free capacity were not chosen for a task.
type skips struct {
	constrained bool // because of the task's constraints
	lacksPlace  bool // only for lack of a place
}

// chooseServer returns the backend server for a task, or nil.
func (d *Dispatcher) chooseServer(now time.Time, j *job, st *step, t *task) (best *server, skipped skips) {
	if (t.suspect && !d.mayStartSuspect(j)) || (j.activeRuns > 0 && d.awaitsCrash(j)) {
		return nil, skips{constrained: true}
	}
	var bestScore float64
	degraded, usable := d.countDegraded()
	for _, s := range d.sortedServers {
		if !d.usableFor(s, j) || s.info.Pool != j.Pool || !st.Demand.Fits(s.freeFor(t)) ||
			now.Before(s.backoffUntil) {
			continue
		}
		if !mayRunOn(s, st, t, usable) {
			skipped.constrained = true
			continue
		}
		// A degraded backend server gets one task at a time, at intervals, to find out whether it has recovered. If
		// most are degraded, the work is the likely cause, and all are used.
		if s.degraded() && float64(degraded) <= maxDegradedShare*float64(usable) && !s.mayProbe(now, j) {
			continue
		}
		if s != t.reservedOn && s.needsSlack() && !d.fastEnough(now, j, st, s) && !s.mayMeasure(now, j) &&
			d.hasFastServer(j.Pool, st.Step, t.failedOn) {
			skipped.constrained = true
			continue
		}
		if !s.hasPlaceFor(t) {
			skipped.lacksPlace = true
			continue
		}
		score := d.score(s, st, t)
		if s == j.lastServer {
			score -= sameServerBonus
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best, skipped
}

// mayRunOn reports whether the constraints of a task allow a backend server, given how many are usable.
func mayRunOn(s *server, st *step, t *task, usable int) bool {
	// A task that has failed on or was moved from every backend server may use any of them again.
	avoid := len(t.failedOn)+len(t.movedFrom) < usable
	switch {
	case st.Label != "" && !slices.Contains(s.info.Labels, st.Label),
		avoid && (slices.Contains(t.failedOn, s) || slices.Contains(t.movedFrom, s)),
		st.MaxPerServer > 0 && tasksOn(st, s) >= st.MaxPerServer && t.reservedOn != s,
		t.suspect && s.suspects > 0:
		return false
	}
	return true
}

// mayProbe reports whether a task of the job may be the next probe of a degraded backend server.
func (s *server) mayProbe(now time.Time, j *job) bool {
	return !now.Before(s.nextProbe) && len(s.runs) == 0 &&
		(j.late || now.Add(probeSlack).Before(j.targetStart) || now.After(s.nextProbe.Add(probeInterval)))
}

// tasksOn returns the number of tasks of a step that may be running on a backend server, or for which it holds room.
func tasksOn(st *step, s *server) int {
	n := st.runsOn[s]
	for t := range s.reservedFor {
		if k := t.id.Index; k < len(st.tasks) && st.tasks[k] == t && t.server != s {
			n++
		}
	}
	return n
}

// countDegraded returns the numbers of degraded and of all usable backend servers.
func (d *Dispatcher) countDegraded() (degraded, usable int) {
	for _, s := range d.sortedServers {
		if !s.usable() {
			continue
		}
		usable++
		if s.degraded() {
			degraded++
		}
	}
	return degraded, usable
}

// score ranks the backend servers that have capacity for a task; the lowest is chosen. Faster ones come first, and
// among equally fast ones the less loaded, so that a loss affects few tasks.
func (d *Dispatcher) score(s *server, st *step, t *task) float64 {
	used := float64(s.capacity.Processor-s.freeFor(t).Processor) / float64(max(s.capacity.Processor, 1))
	score := s.slowdown() + used/4 + failureCost*s.failureShare
	if st.Rack != "" && !slices.Contains(s.info.Labels, st.Rack) {
		score++
	}
	switch {
	case t.suspect:
		score += float64(len(s.runs))
	case s.suspects > 0:
		score += suspectCost
	}
	switch {
	case t.failures > 0:
		score += retryCost * s.failureShare
	case s.degraded():
		score -= 10 // a degraded backend server that is due for a probe comes first
	}
	return score
}

// observeRunTime updates the speed of a backend server and the typical run time of a route after a successful run.
func (d *Dispatcher) observeRunTime(s *server, j *job, st *step, runTime time.Duration) {
	if st.Estimate <= 0 || runTime <= 0 {
		return
	}
	ratio := float64(runTime) / float64(st.Estimate)
	r := d.route(j.Route)
	if r.runs > 0 {
		sample := math.Log(ratio / r.runTimeRatio)
		s.countSlowRun(j, sample)
		sample = min(max(sample, -maxSpeedSample), maxSpeedSample)
		weight := speedWeight
		if s.degraded() {
			weight = probeWeight
		}
		s.logSlowdown += weight * (sample - s.logSlowdown)
		s.observeSteadySpeed(sample)
	}
	r.observeRun(ratio / s.slowdown())
	d.updatePoolCapacity()
}

// countSlowRun detects a backend server that has become slow from runs in a row that took much longer than expected. The
// run time is given as its natural logarithm relative to the expected one.
func (s *server) countSlowRun(j *job, runTime float64) {
	switch {
	case runTime < math.Log(slowProgressFactor*s.usualSlowdown()):
		s.consecutiveSlowRuns = 0
		return
	case s.consecutiveSlowRuns == 0:
		s.leastSlowRun = runTime
	case s.lastSlowJob == j.ID:
		return
	}
	s.lastSlowJob = j.ID
	s.consecutiveSlowRuns++
	s.leastSlowRun = min(s.leastSlowRun, runTime)
	if s.consecutiveSlowRuns >= slowStreak {
		s.slowBy(math.Exp(s.leastSlowRun))
	}
}

// slowBy raises the slowdown of a backend server.
func (s *server) slowBy(slowdown float64) {
	s.logSlowdown = max(s.logSlowdown, math.Log(min(slowdown, maxSlowdown)))
}

// observeProgress detects from the progress of its runs, long before they end, that a backend server hangs or is slow.
func (d *Dispatcher) observeProgress(now time.Time, s *server, progress []supervise.Progress) {
	stalled := d.stalledRuns(s, progress)
	if len(stalled) > 0 && len(stalled) == len(progress) {
		s.hangs = true
		s.nextProbe = now.Add(probeInterval)
		d.updatePoolCapacity()
	}
	d.moveStalledRuns(s, stalled)
	d.observeSlowProgress(now, s, progress)
	if s.degraded() {
		d.moveRuns(now, s, progress)
	}
}

// stalledRuns returns the progress of the runs that hang.
func (d *Dispatcher) stalledRuns(s *server, progress []supervise.Progress) []supervise.Progress {
	var stalled []supervise.Progress
	for _, p := range progress {
		t, ok := s.runs[p.RunID]
		if !ok {
			continue
		}
		j := d.jobs[t.id.Job]
		expected := d.route(j.Route).predictRunTime(j.steps[t.id.Step].Estimate)
		if p.Percent != t.percent {
			t.percent, t.progressAge = p.Percent, p.Age
		}
		if p.Age-t.progressAge >= max(stallAge, time.Duration(stallShare*float64(expected))) {
			stalled = append(stalled, p)
		}
	}
	return stalled
}

// observeSlowProgress compares the progress of the runs with their expected run times. All of these runs have to be
// slow: some runs take much longer on any backend server, and because they last longer, they are overrepresented among
// the runs in progress.
func (d *Dispatcher) observeSlowProgress(now time.Time, s *server, progress []supervise.Progress) {
	var ratios []float64
	jobs := map[*job]bool{}
	for _, p := range progress {
		t, ok := s.runs[p.RunID]
		if !ok {
			continue
		}
		j := d.jobs[t.id.Job]
		expected := d.route(j.Route).predictRunTime(j.steps[t.id.Step].Estimate)
		if expected < minProgressRunTime {
			continue // too short to tell
		}
		jobs[j] = true
		ratios = append(ratios, float64(projectRunTime(p))/float64(expected))
	}
	if len(jobs) < minProgressJobs {
		return
	}
	least := slices.Min(ratios)
	wasDegraded := s.degraded()
	switch {
	case least > slowProgressFactor*s.usualSlowdown():
		s.slowBy(least)
	case least < 1 && s.slowdown() > degradedFactor*s.usualSlowdown():
		s.logSlowdown = math.Log(least)
	default:
		return
	}
	d.updatePoolCapacity()
	if !wasDegraded {
		s.nextProbe = now.Add(probeInterval)
	}
}

// projectRunTime extrapolates the total run time from the progress so far.
func projectRunTime(p supervise.Progress) time.Duration {
	return time.Duration(float64(p.Age) * 100 / max(float64(p.Percent), 0.5))
}

// moveRuns stops the runs on a slow backend server that would end sooner if restarted on another one.
func (d *Dispatcher) moveRuns(now time.Time, s *server, progress []supervise.Progress) {
	if d.mostDegraded() {
		return
	}
	for _, p := range progress {
		t, ok := s.runs[p.RunID]
		if !ok {
			continue
		}
		j := d.jobs[t.id.Job]
		expected := d.route(j.Route).predictRunTime(j.steps[t.id.Step].Estimate)
		remaining := projectRunTime(p) - p.Age
		if remaining >= moveGain*expected+moveCost && !now.After(j.startDeadline) {
			d.moveRun(s, j, t, p.RunID)
		}
	}
}

// moveStalledRuns stops the runs that hang on a backend server, to restart them elsewhere, also if they will be late.
func (d *Dispatcher) moveStalledRuns(s *server, stalled []supervise.Progress) {
	if d.mostDegraded() {
		return
	}
	for _, p := range stalled {
		t := s.runs[p.RunID]
		d.moveRun(s, d.jobs[t.id.Job], t, p.RunID)
	}
}

func (d *Dispatcher) moveRun(s *server, j *job, t *task, id supervise.RunID) {
	if j.answered || t.stopping || len(t.movedFrom) >= maxRestarts {
		return
	}
	t.stopping = true
	t.movedFrom = append(t.movedFrom, s)
	d.addStop(s, id)
}

// mostDegraded reports whether so many of the backend servers are degraded that the work is the likely cause.
func (d *Dispatcher) mostDegraded() bool {
	degraded, usable := d.countDegraded()
	return float64(degraded) > maxDegradedShare*float64(usable)
}

// observeResult updates the failure share. The sample is 1 for a failure and 0 for a success.
func (s *server) observeResult(sample float64) {
	weight := failureWeight
	if s.degraded() {
		weight = probeWeight
	}
	s.failureShare += weight * (sample - s.failureShare)
}

// recordSuccess counts a successful run and ends the exclusion of the backend server.
func (d *Dispatcher) recordSuccess(now time.Time, s *server) {
	s.observeResult(0)
	s.consecutiveFailures, s.lastFailedJob, s.probeDelay = 0, "", 0
	if s.excluded() {
		s.quarantined, s.hangs = false, false
		// The next probe follows at the shortest interval.
		s.nextProbe = earlier(s.nextProbe, now.Add(probeInterval))
		d.updatePoolCapacity()
	}
}

// recordFailure counts a failure against a backend server, unless the task has failed elsewhere or the previous
// failure was of the same job.
func (d *Dispatcher) recordFailure(now time.Time, s *server, t *task) {
	if len(t.failedOn) > 0 || s.lastFailedJob == t.id.Job {
		return
	}
	s.lastFailedJob = t.id.Job
	s.observeResult(1)
	s.consecutiveFailures++
	if s.consecutiveFailures >= quarantineFailures || s.quarantined {
		s.quarantined = true
		s.probeDelay = min(max(2*s.probeDelay, probeInterval), maxProbeInterval)
		s.nextProbe = now.Add(s.probeDelay)
	}
	d.updatePoolCapacity()
}
