package overload

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the time constant with which offered and refused jobs are forgotten.
	shareWindow = 3 * time.Second
	// leastOffered is the decayed number of offered jobs below which a route is forgotten.
	leastOffered = 0.01
	// priorJobs is the number of served jobs that each share starts with, so that a single refusal does not count as a
	// low share.
	priorJobs = 2
	// urgentWeight scales the share of refusals for jobs of the most urgent priority of a pool.
	urgentWeight = 0.35
	// sizeExponent makes refusals more likely for the larger jobs of a route: the fewer core-seconds a job needs, the
	// more callers the same processors serve.
	sizeExponent = 0.5
	// maxCredit bounds the number of displaced jobs that count as refusals of their route in advance.
	maxCredit = 5
	// maxRelativeSize limits the size of a job relative to the typical one of its route, and its inverse.
	maxRelativeSize = 4
	// sizeWeight is the weight of one job in the moving average of the size of a job.
	sizeWeight = 0.02
	// Neither a route nor a size of jobs may starve. A job is refused less, by protectedWeight, if the served share of its
	// route is below leastRouteShare of the pool's, or that of its size below leastSizeShare of its route's. It is
	// displaced only if its route is served no less than the pool, and its size at least displaceSizeShare.
	leastRouteShare   = 0.85
	leastSizeShare    = 0.6
	displaceSizeShare = 0.9
	protectedWeight   = 0.2
)

// sizeClass divides the jobs of a route by their work, so that the large ones are not refused too often.
type sizeClass int

const (
	common sizeClass = iota
	large
	largest
	sizeClasses
)

const (
	// A job is large if it needs more work than largeQuantile of the jobs of its route, and largest above
	// largestQuantile.
	largeQuantile   = 0.7
	largestQuantile = 0.9
	// quantileStep is the relative change of the estimate of a quantile with each job.
	quantileStep = 0.05
)

// quantile estimates a quantile of the sizes of jobs.
type quantile float64

// observe moves the estimate, so that the given part of the jobs stays below it.
func (q *quantile) observe(size, part float64) {
	if size <= float64(*q) {
		part--
	}
	*q *= quantile(math.Exp(quantileStep * part))
}

// Policy is what a pool has learned about its routes. It is not safe for concurrent use.
type Policy struct {
	rules      Rules
	routes     map[string]*route
	priorities []int // of the routes, increasing
	total      share
	sweptAt    time.Time // when routes were last forgotten
}

// route is what is known about the jobs of a route.
type route struct {
	priority       int
	size           float64  // typical core-seconds of a job
	large, largest quantile // of the sizes of its jobs
	remainder      float64  // sum of refusal shares that has not led to a refusal yet
	total          share
	sizes          [sizeClasses]share
}

// share counts jobs.
type share struct{ offered, lost decayed }

// served returns the share of the recent jobs that were not refused.
func (s *share) served(now time.Time) float64 {
	return 1 - s.lost.value(now)/(s.offered.value(now)+priorJobs)
}

// decayed is a sum that is forgotten with shareWindow.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, x float64) { d.sum, d.at = d.value(now)+x, now }

func (d *decayed) value(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/shareWindow.Seconds())
}

// New returns the policy of a pool.
func New() *Policy { return &Policy{rules: allRules, routes: map[string]*route{}} }

// SetRules sets the rules that the configuration in force calls for.
func (p *Policy) SetRules(r Rules) { p.rules = r }

// observe counts an arriving job.
func (p *Policy) observe(now time.Time, j Job) {
	p.forgetRoutes(now)
	r, known := p.routes[j.Route]
	if !known {
		r = &route{}
		p.routes[j.Route] = r
	}
	if !known || r.priority != j.Priority {
		r.priority = j.Priority
		p.rankPriorities()
	}
	r.learn(j.Size)
	for _, s := range p.sharesOf(r, j) {
		s.offered.add(now, 1)
	}
}

// forgetRoutes forgets the routes that have offered nothing for a while, so that the priorities of removed routes do not
// change the ranks of others.
func (p *Policy) forgetRoutes(now time.Time) {
	if now.Sub(p.sweptAt) < shareWindow {
		return
	}
	p.sweptAt = now
	before := len(p.routes)
	maps.DeleteFunc(p.routes, func(_ string, r *route) bool { return r.total.offered.value(now) < leastOffered })
	if len(p.routes) < before {
		p.rankPriorities()
	}
}

// learn learns from the size of a job.
func (r *route) learn(size float64) {
	if size <= 0 {
		return
	}
	if r.size == 0 {
		r.size, r.large, r.largest = size, quantile(size), quantile(size)
	}
	r.size += sizeWeight * (size - r.size)
	r.large.observe(size, largeQuantile)
	r.largest.observe(size, largestQuantile)
}

func (p *Policy) rankPriorities() {
	p.priorities = p.priorities[:0]
	for _, r := range p.routes {
		if !slices.Contains(p.priorities, r.priority) {
			p.priorities = append(p.priorities, r.priority)
		}
	}
	slices.Sort(p.priorities)
}

// lose counts a job that is refused.
func (p *Policy) lose(now time.Time, j Job) {
	if r, ok := p.routes[j.Route]; ok {
		for _, s := range p.sharesOf(r, j) {
			s.lost.add(now, 1)
		}
	}
}

// displace counts a waiting job that is displaced. Its route is unknown if it was accepted without a decision.
func (p *Policy) displace(now time.Time, j Job) {
	p.lose(now, j)
	if r, ok := p.routes[j.Route]; ok {
		r.credit()
	}
}

// sharesOf returns the shares in which a job is counted.
func (p *Policy) sharesOf(r *route, j Job) [3]*share {
	return [3]*share{&p.total, &r.total, &r.sizes[r.sizeOf(j.Size)]}
}

// rank returns the position of a priority among those of the pool's routes.
func (p *Policy) rank(priority int) int {
	rank, _ := slices.BinarySearch(p.priorities, priority)
	return rank
}

// IsMostUrgent reports whether a priority is the most urgent of several that the pool's routes have.
func (p *Policy) IsMostUrgent(priority int) bool {
	return len(p.priorities) > 1 && p.rank(priority) == 0
}

// urgency returns how much a core-second of a priority counts when jobs are displaced: the more urgent the priority, the
// more.
func (p *Policy) urgency(priority int) float64 { return 1 / float64(1+p.rank(priority)) }

// weight returns the factor by which the share of refusals applies to a job.
func (p *Policy) weight(now time.Time, j Job) float64 {
	r := p.routes[j.Route]
	weight := math.Pow(r.relativeSize(j.Size), sizeExponent)
	if j.Priority == 0 || p.IsMostUrgent(j.Priority) {
		weight *= urgentWeight
	}
	if p.isBelow(now, j, leastRouteShare, leastSizeShare) {
		weight = min(weight, 1) * protectedWeight
	}
	return weight
}

// isBelow reports whether the served share of a job's route is below the given part of the pool's, or that of its size
// below the given part of its route's.
func (p *Policy) isBelow(now time.Time, j Job, ofPool, ofRoute float64) bool {
	r, ok := p.routes[j.Route]
	if !ok {
		return false
	}
	served := r.total.served(now)
	return p.rules.GuardRoutes && served < ofPool*p.total.served(now) || r.sizes[r.sizeOf(j.Size)].served(now) < ofRoute*served
}

// collect adds the share of a job that is to be refused, and reports whether the shares add up to a refusal. They are
// summed up instead of drawn at random, so that no kind of job is refused several times in a row by chance.
func (r *route) collect(share float64) bool {
	r.remainder += min(share, 1)
	if r.remainder < 1 {
		return false
	}
	r.remainder--
	return true
}

// credit counts a displaced job as one of the refusals that the route's shares add up to.
func (r *route) credit() { r.remainder = max(r.remainder-1, -maxCredit) }

func (r *route) relativeSize(size float64) float64 {
	if r.size <= 0 {
		return 1
	}
	return min(max(size/r.size, 1/maxRelativeSize), maxRelativeSize)
}

func (r *route) sizeOf(size float64) sizeClass {
	switch {
	case size > float64(r.largest):
		return largest
	case size > float64(r.large):
		return large
	default:
		return common
	}
}
