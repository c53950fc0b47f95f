package allocator

import (
	"math"
	"time"

	"dogwoodglade/core/event"
)

const (
	// consecutiveFailures eject a server of a pool in which nothing else fails.
	consecutiveFailures = 5
	// chanceOfEjection is the greatest chance that as many consecutive failures occur on a server that
	// fails as often as the other servers. A burst of jobs that fail everywhere must not eject servers.
	chanceOfEjection = 1e-6
	// poolFailureLimit is the failure rate of the other servers above which nothing tells a server from
	// them.
	poolFailureLimit = 0.9

	// outcomeWeight is the weight of the latest outcome in the failure rate of a server.
	outcomeWeight = 0.03
	// rateOutcomes are needed before the failure rate of a server counts.
	rateOutcomes = 100
	// excessRate ejects a server: the part of the tasks that fail there beyond the rate of the others.
	excessRate = 0.6

	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// goodConduct is how long after its return a server's next ejection is as short as the first.
	goodConduct = time.Minute
)

type healthState int

const (
	healthy healthState = iota
	ejected
	probing // gets one task, whose outcome decides
)

// health is the judgement of a backend server by the outcomes of its tasks.
type health struct {
	state       healthState
	consecutive int
	outcomes    int
	failed      float64 // decayed number of failures
	weight      float64 // decayed number of outcomes
	ejections   int
	until       int64 // end of the ejection
	restoredAt  int64
	probe       *grant
}

func (h *health) rate() float64 {
	if h.weight == 0 {
		return 0
	}
	return h.failed / h.weight
}

func newEjectedHeap(at func(*server) *int) indexedHeap[*server] {
	return newHeap(
		func(x, y *server) bool {
			if x.health.until != y.health.until {
				return x.health.until < y.health.until
			}
			return x.id < y.id
		},
		at)
}

// judge takes the outcome of a task into account. Only the probe counts for an ejected server.
func (a *Allocator) judge(s *server, outcome Outcome, probe bool) {
	if !a.options.Ejection || (outcome != Succeeded && outcome != Errored) {
		return
	}
	h := &s.health
	if h.state != healthy {
		if h.state == probing && probe && outcome == Succeeded {
			a.restore(s)
		} else if h.state == probing && probe {
			a.eject(s)
		}
		return
	}
	before := h.rate()
	h.weight = h.weight*(1-outcomeWeight) + 1
	h.failed *= 1 - outcomeWeight
	h.outcomes++
	if outcome == Errored {
		h.consecutive++
		h.failed++
	} else {
		h.consecutive = 0
	}
	a.rateSum += h.rate() - before
	if outcome == Errored && a.failsMore(s) && a.ejectedCount() < a.ejectedLimit() {
		a.eject(s)
	}
}

// failsMore compares a server with the mean of the other servers, not of their tasks: a server that fails
// at once would get most of the tasks.
func (a *Allocator) failsMore(s *server) bool {
	h := &s.health
	others := 0.0
	if a.members > 1 {
		others = min(max((a.rateSum-h.rate())/float64(a.members-1), 0), 1)
	}
	if others > poolFailureLimit {
		return false
	}
	needed := consecutiveFailures
	if others > 0 {
		chance := math.Log(chanceOfEjection) / math.Log(others)
		needed = max(needed, int(math.Ceil(chance)))
	}
	if h.consecutive >= needed {
		return true
	}
	return h.outcomes >= rateOutcomes && h.rate()-others > excessRate*(1-others)
}

// ejectedCount is the number of present servers that are ejected or on probation.
func (a *Allocator) ejectedCount() int { return a.ejected.len() + a.probed.len() }

func (a *Allocator) ejectedLimit() int { return int(float64(a.members) * *a.pool.MaxEjectedShare) }

// eject takes a server out for a time that doubles with each ejection.
func (a *Allocator) eject(s *server) {
	h := &s.health
	if h.state == healthy && a.now-h.restoredAt > int64(goodConduct) {
		h.ejections = 0
	}
	duration := min(firstEjection<<min(h.ejections, 10), maxEjection)
	a.rateSum -= h.rate()
	*h = health{state: ejected, ejections: h.ejections + 1, until: addTime(a.now, duration)}
	a.recordServer(event.BackendEjected, s, duration.String())
	a.place(s)
}

// restore gives a server its full part of the work again.
func (a *Allocator) restore(s *server) {
	s.health = health{ejections: s.health.ejections, restoredAt: a.now}
	a.recordServer(event.BackendRestored, s, "")
	a.place(s)
}

// startProbes lets the servers whose ejection is over take one task each.
func (a *Allocator) startProbes() {
	for a.ejected.len() > 0 && a.ejected.top().health.until <= a.now {
		s := a.ejected.top()
		s.health.state = probing
		a.place(s)
	}
}

// renewHealth forgets the outcomes of a replaced incarnation, but not that it was ejected: a server that
// fails every task may restart all the time.
func (a *Allocator) renewHealth(s *server) {
	a.rateSum -= s.health.rate()
	renewed := health{ejections: s.health.ejections, restoredAt: s.health.restoredAt}
	if s.health.state != healthy {
		renewed.state = probing
	}
	s.health = renewed
	a.place(s)
}

// limitEjected restores servers when fewer may be ejected than are, those on probation first.
func (a *Allocator) limitEjected() {
	for a.ejectedCount() > a.ejectedLimit() {
		switch {
		case a.probed.len() > 0:
			a.restore(a.probed.top())
		case a.ejected.len() > 0:
			a.restore(a.ejected.top())
		default:
			return
		}
	}
}

// sumRates renews the sum of the failure rates, in which rounding errors and absent servers add up.
func (a *Allocator) sumRates() {
	a.rateSum = 0
	for _, s := range a.servers {
		if s.counted.members > 0 {
			a.rateSum += s.health.rate()
		}
	}
}
