package allocator

import (
	"math"
	"time"

	"dogwoodglade/core/event"
)

const (
	// minConsecutiveFailures is the number of failures in a row that eject a server if no other server of the
	// pool fails.
	minConsecutiveFailures = 5
	// maxFalseEjectionChance is the highest accepted probability that a server which fails as often as the
	// others has enough failures in a row to be ejected. A burst of jobs that fail everywhere must not eject
	// servers.
	maxFalseEjectionChance = 1e-6
	// poolFailureLimit is the failure rate of the other servers above which a faulty server cannot be distinguished
	// from them.
	poolFailureLimit = 0.9

	// outcomeWeight is the weight of the latest outcome in the moving average of a server's failures.
	outcomeWeight = 0.03
	// minRateOutcomes is the number of outcomes needed before a server is ejected for its failure rate.
	minRateOutcomes = 100
	// maxExcessRate is the highest accepted excess of a server's failure rate over that of the others, as a share
	// of the others' success rate.
	maxExcessRate = 0.6

	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// ejectionResetTime is how long a restored server must stay healthy for its next ejection to be as short as the
	// first.
	ejectionResetTime = time.Minute
)

type healthState int

const (
	healthy healthState = iota
	ejected
	probing // may run one task, whose outcome decides whether the server is restored or ejected again
)

// health is the health of a backend server as seen from the outcomes of its tasks.
type health struct {
	state               healthState
	consecutiveFailures int
	outcomes            int
	failures            float64 // exponentially decayed number of failures
	weight              float64 // exponentially decayed number of outcomes
	ejections           int
	until               int64 // end of the ejection
	restoredAt          int64
	probe               *grant
}

func (h *health) failureRate() float64 {
	if h.weight == 0 {
		return 0
	}
	return h.failures / h.weight
}

func newEjectionHeap(position func(*server) *int) indexedHeap[*server] {
	return newHeap(
		func(x, y *server) bool {
			if x.health.until != y.health.until {
				return x.health.until < y.health.until
			}
			return x.id < y.id
		},
		position)
}

// recordOutcome updates the health of a server with the outcome of a task, and ejects or restores the server
// if needed. While a server is ejected or probing, only the outcome of the probe counts.
func (a *Allocator) recordOutcome(s *server, outcome Outcome, probe bool) {
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
	before := h.failureRate()
	h.weight = h.weight*(1-outcomeWeight) + 1
	h.failures *= 1 - outcomeWeight
	h.outcomes++
	if outcome == Errored {
		h.consecutiveFailures++
		h.failures++
	} else {
		h.consecutiveFailures = 0
	}
	a.failureRateSum += h.failureRate() - before
	if outcome == Errored && a.isOutlier(s) && a.ejectedCount() < a.ejectedLimit() {
		a.eject(s)
	}
}

// isOutlier reports whether a server fails much more often than the others. It compares with the mean over the
// other servers, not over their tasks: a server that fails its tasks immediately gets most of them.
func (a *Allocator) isOutlier(s *server) bool {
	h := &s.health
	others := 0.0
	if a.members > 1 {
		others = min(max((a.failureRateSum-h.failureRate())/float64(a.members-1), 0), 1)
	}
	if others > poolFailureLimit {
		return false
	}
	needed := minConsecutiveFailures
	if others > 0 {
		streak := math.Log(maxFalseEjectionChance) / math.Log(others)
		needed = max(needed, int(math.Ceil(streak)))
	}
	if h.consecutiveFailures >= needed {
		return true
	}
	return h.outcomes >= minRateOutcomes && h.failureRate()-others > maxExcessRate*(1-others)
}

// ejectedCount returns the number of members that are ejected or probing.
func (a *Allocator) ejectedCount() int { return a.ejected.len() + a.probing.len() }

func (a *Allocator) ejectedLimit() int { return int(float64(a.members) * *a.pool.MaxEjectedShare) }

// eject stops grants on a server for a time that doubles with each ejection.
func (a *Allocator) eject(s *server) {
	h := &s.health
	if h.state == healthy && a.now-h.restoredAt > int64(ejectionResetTime) {
		h.ejections = 0
	}
	duration := min(firstEjection<<min(h.ejections, 10), maxEjection)
	a.failureRateSum -= h.failureRate()
	*h = health{state: ejected, ejections: h.ejections + 1, until: addTime(a.now, duration)}
	a.recordServer(event.BackendEjected, s, duration.String())
	a.reindex(s)
}

// restore allows grants on all slots of a server again.
func (a *Allocator) restore(s *server) {
	s.health = health{ejections: s.health.ejections, restoredAt: a.now}
	a.recordServer(event.BackendRestored, s, "")
	a.reindex(s)
}

// startProbes lets each server whose ejection is over run one task.
func (a *Allocator) startProbes() {
	for a.ejected.len() > 0 && a.ejected.top().health.until <= a.now {
		s := a.ejected.top()
		s.health.state = probing
		a.reindex(s)
	}
}

// resetHealth discards the outcomes of a replaced incarnation. If the server was ejected, it must still pass a
// probe: a server that fails every task may also restart all the time.
func (a *Allocator) resetHealth(s *server) {
	a.failureRateSum -= s.health.failureRate()
	renewed := health{ejections: s.health.ejections, restoredAt: s.health.restoredAt}
	if s.health.state != healthy {
		renewed.state = probing
	}
	s.health = renewed
	a.reindex(s)
}

// limitEjected restores servers while more are ejected than the limit allows, probing ones first.
func (a *Allocator) limitEjected() {
	for a.ejectedCount() > a.ejectedLimit() {
		switch {
		case a.probing.len() > 0:
			a.restore(a.probing.top())
		case a.ejected.len() > 0:
			a.restore(a.ejected.top())
		default:
			return
		}
	}
}

// recomputeFailureRateSum removes the error that rounding and absent servers accumulate in the running sum.
func (a *Allocator) recomputeFailureRateSum() {
	a.failureRateSum = 0
	for _, s := range a.servers {
		if s.contribution.members > 0 {
			a.failureRateSum += s.health.failureRate()
		}
	}
}
