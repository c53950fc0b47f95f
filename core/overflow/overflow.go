// Package overflow decides which entry dispatches a batch job: the one that received it from its caller, or another
// one with more free capacity.
//
// Each entry places tasks only on the backend servers whose agents chose it as their home. Traffic and backend
// servers are spread unevenly over the entries, so an entry forwards jobs that it cannot start at once. It knows the
// load of its peers from their reports, which are a fraction of a second old, and takes into account what it has
// forwarded since. The load of a lost peer is dropped. The package is called by batchentry.
package overflow

import (
	"maps"
	"math"
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/overload"
	"dogwoodglade/core/resource"
	"dogwoodglade/internal/uniform"
)

const (
	// forwardCost is the least gain in waiting time for which a job is forwarded. It covers the round trip to the peer
	// and the age of its report.
	forwardCost = 25 * time.Millisecond
	// degradedWait is added to the predicted wait at an entry whose backend servers are all degraded and get only
	// probes. A job is better off in the queue of another entry, and most jobs can wait that long.
	degradedWait = 300 * time.Millisecond
	// maxReportAge is the age beyond which a report is ignored. Reports are sent every 100 ms. A job that is forwarded to
	// an entry that has lost power is answered as Unknown, and its caller has lost the time until it submits it again.
	maxReportAge = 250 * time.Millisecond
	// queueShare is the weight, as a share of its cores, with which a peer without free capacity is drawn if nothing
	// waits there. It falls by a factor of e for each queueScale of predicted wait. Reports are old compared with the
	// time in which queues change: at the crest of a load, all entries together would fill the peer with the shortest
	// queue before its next report.
	queueShare = 0.3
	queueScale = 150 * time.Millisecond
	// partialWeight is the factor on the weight of a peer that has too little free capacity to start the whole job.
	partialWeight = 0.5
)

// peer is the last reported load of another entry, updated with the jobs forwarded to it since.
type peer struct {
	load       dispatch.Load
	reportedAt time.Time
}

// Peers holds the load of the other entries as known to one entry. It is not safe for concurrent use.
type Peers struct {
	byName map[string]*peer
	names  []string // of the peers that have backend servers, sorted
}

// New returns Peers without any reports.
func New() *Peers { return &Peers{byName: map[string]*peer{}} }

// RecordReport records the load of a peer.
func (p *Peers) RecordReport(now time.Time, name string, l dispatch.Load) {
	l.Pools = maps.Clone(l.Pools)
	if l.Pools == nil {
		l.Pools = map[string]dispatch.PoolLoad{}
	}
	p.byName[name] = &peer{load: l, reportedAt: now}
	i, listed := slices.BinarySearch(p.names, name)
	switch dispatches := l.Total().Cores > 0; {
	case dispatches && !listed:
		p.names = slices.Insert(p.names, i, name)
	case !dispatches && listed:
		p.names = slices.Delete(p.names, i, i+1)
	}
}

// Remove removes the load of a peer.
func (p *Peers) Remove(name string) {
	delete(p.byName, name)
	if i, listed := slices.BinarySearch(p.names, name); listed {
		p.names = slices.Delete(p.names, i, i+1)
	}
}

// Dispatchers returns the number of peers that dispatch to backend servers. Without any, no job can be passed on, and no
// entry has to choose between this one and another.
func (p *Peers) Dispatchers() int { return len(p.names) }

// demand is what a job needs.
type demand struct {
	job           batch.Job
	pool          string
	initialDemand resource.Amount // of the steps without dependencies
	largestTask   resource.Amount // largest amount of each resource in any task
	work          float64         // core-seconds of all steps, by their estimates
}

func demandOf(j batch.Job) demand {
	need := demand{job: j, pool: j.Pool}
	for _, s := range j.Steps {
		need.largestTask.Processor = max(need.largestTask.Processor, s.Demand.Processor)
		need.largestTask.Memory = max(need.largestTask.Memory, s.Demand.Memory)
		need.largestTask.Accelerators = max(need.largestTask.Accelerators, s.Demand.Accelerators)
		if len(s.After) == 0 {
			need.initialDemand = need.initialDemand.Plus(s.Demand.Times(s.Count))
		}
		need.work += s.Estimate.Seconds() * float64(s.Demand.Processor*s.Count) / 1000
	}
	return need
}

// canStartNow reports whether the initial steps of a job can start at an entry without waiting.
func canStartNow(all dispatch.Load, need demand) bool {
	l := all.Pools[need.pool]
	return l.Queued <= 0 && need.initialDemand.Fits(l.FreeFor(need.job)) && need.largestTask.Fits(l.Largest)
}

// predictWait predicts how long a job waits at an entry.
func predictWait(all dispatch.Load, need demand) time.Duration {
	l := all.Pools[need.pool]
	if l.Arrival > 0 && !all.Draining {
		return l.Arrival
	}
	if all.Draining || l.Cores <= 0 || !need.largestTask.Fits(l.Largest) {
		return overload.NoServerWait
	}
	if !l.Healthy {
		return l.PredictedWait() + degradedWait
	}
	return l.PredictedWait()
}

// Choose decides about a job that cannot start at once at this entry, whose load is local. It returns the peer to which
// the job is forwarded, or "" if this entry keeps it.
func (p *Peers) Choose(now time.Time, local dispatch.Load, j batch.Job) string {
	need := demandOf(j)
	best, ok := p.draw(now, j.ID, need, weight)
	if !ok {
		return ""
	}
	if load := p.byName[best].load; !canStartNow(load, need) &&
		predictWait(local, need) <= predictWait(load, need)+forwardCost {
		// The job waits here no longer than there, but it may start at once elsewhere.
		best, _ = p.ChooseWithCapacity(now, j)
		return best
	}
	p.countForwarded(best, need)
	return best
}

// ChooseWithCapacity returns a peer that can start the job at once, if there is one.
func (p *Peers) ChooseWithCapacity(now time.Time, j batch.Job) (string, bool) {
	need := demandOf(j)
	best, ok := p.draw(now, j.ID, need, capacityWeight)
	if ok {
		p.countForwarded(best, need)
	}
	return best, ok
}

// weight returns the weight with which a peer is drawn for a job, in cores: its free capacity, and a part of the cores
// that fall free.
func weight(all dispatch.Load, need demand) float64 {
	wait := predictWait(all, need)
	if wait >= overload.NoServerWait {
		return 0
	}
	l := all.Pools[need.pool]
	w := queueShare * l.Cores * math.Exp(-float64(wait)/float64(queueScale))
	if l.Queued <= 0 {
		w += float64(l.FreeFor(need.job).Processor) / 1000
	}
	if !canStartNow(all, need) {
		w *= partialWeight
	}
	return w
}

// capacityWeight returns the free capacity of a peer that can start a job at once, in cores, and otherwise 0.
func capacityWeight(all dispatch.Load, need demand) float64 {
	if !canStartNow(all, need) {
		return 0
	}
	return float64(max(all.Pools[need.pool].FreeFor(need.job).Processor, 1)) / 1000
}

// draw chooses among the peers with a positive weight, other than the excepted ones, with a probability proportional to
// it. If all entries chose the peer with the highest weight, together they would overload it before its next report.
// The choice depends only on the job ID and the peers.
func (p *Peers) draw(
	now time.Time, id batch.JobID, need demand, weight func(dispatch.Load, demand) float64, except ...string,
) (best string, ok bool) {
	var bestScore float64
	for _, name := range p.names {
		x := p.byName[name]
		if !x.usable(now) || slices.Contains(except, name) {
			continue
		}
		w := weight(x.load, need)
		if w <= 0 {
			continue
		}
		if score := exponentialHash(id, name) / w; !ok || score < bestScore {
			best, bestScore, ok = name, score, true
		}
	}
	return best, ok
}

// exponentialHash maps a job and a peer to an exponentially distributed number. If the numbers of the peers are
// divided by weights, each peer has the lowest with a probability proportional to its weight.
func exponentialHash(id batch.JobID, name string) float64 {
	return -math.Log(uniform.FromString(string(id) + "\x00" + name))
}

// usable reports whether the peer accepts jobs and its report is recent enough.
func (x *peer) usable(now time.Time) bool {
	return now.Sub(x.reportedAt) <= maxReportAge && !x.load.Draining
}

// MarkFull records that a peer refused a job of a pool although its report showed free capacity.
func (p *Peers) MarkFull(name, pool string) {
	if x, ok := p.byName[name]; ok {
		l := x.load.Pools[pool]
		l.Free, l.FreeSlow = resource.Amount{}, resource.Amount{}
		x.load.Pools[pool] = l
	}
}

// countForwarded adds a forwarded job to the recorded load of a peer, whose report does not include it yet. The record
// may be modified because RecordReport has cloned it.
func (p *Peers) countForwarded(name string, need demand) {
	all := p.byName[name].load
	l := all.Pools[need.pool]
	if canStartNow(all, need) {
		l = l.Without(need.initialDemand)
	} else {
		l.Queued += need.work
	}
	all.Pools[need.pool] = l
}
