package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
	"dogwoodglade/platform/standin"
)

const (
	clientCount = 12
	// jobRate is the number of jobs a second for each backend server. It is about a third of what they can do.
	jobRate = 6.0
	// callerTimeout is how long callers wait for an answer, and patienceSlack what they allow beyond it.
	callerTimeout      = 4 * time.Second
	callerTimeoutSlack = 3 * time.Second
	// resendDelay is resend_ms: how long a caller waits before it sends a job again whose answer did not come.
	resendDelay = 1300 * time.Millisecond
	maxSends    = 3
	// failingJobShare of the jobs have a task that fails always.
	failingJobShare = 0.02
	// meanEarlyDelay is the mean time after which a job is cancelled or given up, of those that are.
	meanEarlyDelay = 300 * time.Millisecond
)

// jobRoute is the route of all jobs. The operators never remove it.
var jobRoute = func() site.Route {
	r := site.Route{
		Route: route.New("jobs", poolName), Host: "callers.example", PathPrefix: "/jobs/", Stretch: 1.6, Target: 60 * time.Millisecond,
	}
	r.Attempts, r.Deadline = maxAttempts, callerTimeout
	return r
}()

const poolName = "pool"

// callerBehaviour are what callers do beside waiting for their answers.
type callerBehaviour struct {
	rateFactor   float64 // factor on the rate of jobs
	cancelShare  float64
	abandonShare float64
}

// callers submit jobs at the entries as the platform's load balancer spreads them.
type callers struct {
	checker   *checker
	pickEntry func(r *rand.Rand) (name, address string) // an entry in rotation
	behaviour func() callerBehaviour
}

// run submits jobs until the context ends, and waits for their answers.
func (c *callers) run(ctx context.Context, seed uint64, backends int) {
	var running sync.WaitGroup
	for i := range clientCount {
		running.Go(func() {
			c.runClient(ctx, rand.New(rand.NewPCG(seed, uint64(100+i))), i, jobRate*float64(backends)/clientCount)
		})
	}
	running.Wait()
}

// client is one caller. It stays with its entry until that one fails it.
type client struct {
	*callers
	caller *standin.Caller

	mu            sync.Mutex // guards what follows
	random        *rand.Rand // for the choice of entries; jobs are drawn from another one, by one goroutine
	name, address string     // of its entry
}

// runClient submits jobs until the context ends, and waits for their answers.
func (c *callers) runClient(ctx context.Context, r *rand.Rand, number int, rate float64) {
	caller, cleanUp := standin.NewCaller()
	defer cleanUp()
	x := &client{callers: c, caller: caller, random: rand.New(rand.NewPCG(r.Uint64(), 7))}
	x.name, x.address = c.pickEntry(x.random)
	var open sync.WaitGroup
	defer open.Wait()
	for count := 0; ctx.Err() == nil; count++ {
		s := c.behaviour()
		wait(ctx, time.Duration(r.ExpFloat64()/(rate*s.rateFactor)*float64(time.Second)))
		j, w := newJob(r, fmt.Sprintf("%04x%012x", number, count))
		// A caller that gives up, or cancels, does so after this time.
		delay := time.Duration(r.ExpFloat64() * float64(meanEarlyDelay))
		switch draw := r.Float64(); {
		case draw < s.cancelShare:
			x.checker.RecordCancelRequest(j)
			open.Go(func() { x.cancel(j, delay) })
			open.Go(func() { x.send(j, w, j.Timeout+callerTimeoutSlack) })
		case draw < s.cancelShare+s.abandonShare:
			open.Go(func() { x.send(j, w, delay) })
		default:
			open.Go(func() { x.submit(j, w) })
		}
	}
}

// submit sends a job, and again if no answer came.
func (x *client) submit(j batch.Job, w standin.Workload) {
	for range maxSends {
		if a := x.send(j, w, j.Timeout+callerTimeoutSlack); a != standin.NoResponse && a != standin.OutcomeUnknown {
			return
		}
		time.Sleep(resendDelay)
	}
}

// send sends a job once, and waits for its answer for a time.
func (x *client) send(j batch.Job, w standin.Workload, limit time.Duration) standin.Outcome {
	entry, address := x.entry()
	recordOutcome := x.checker.RecordSubmission(j, w, entry)
	ctx, end := context.WithTimeout(context.Background(), limit)
	defer end()
	outcome, detail := x.caller.Submit(ctx, address, jobRoute, j)
	gaveUp := outcome == standin.NoResponse && limit < j.Timeout && ctx.Err() != nil
	recordOutcome(outcome, detail, gaveUp)
	if outcome == standin.NoResponse && !gaveUp {
		x.switchEntry(entry)
	}
	return outcome
}

func (x *client) entry() (name, address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.name, x.address
}

// switchEntry chooses another entry if the client is still with the given one.
func (x *client) switchEntry(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.name == name {
		x.name, x.address = x.pickEntry(x.random)
	}
}

// cancel cancels a job at the entry where it was submitted.
func (x *client) cancel(j batch.Job, after time.Duration) {
	_, address := x.entry()
	time.Sleep(after)
	ctx, end := context.WithTimeout(context.Background(), callerTimeout)
	defer end()
	if x.caller.Cancel(ctx, address, jobRoute, j.ID) {
		x.checker.RecordCancellation(j.ID)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// newJob draws a job: short and wide, long and narrow, or with two steps.
func newJob(r *rand.Rand, id string) (batch.Job, standin.Workload) {
	w := standin.Workload{Processor: 800 + r.IntN(1500)}
	var counts []int
	switch r.IntN(4) {
	case 0:
		w.RunTime, counts = time.Duration(30+r.IntN(60))*time.Millisecond, []int{4 + r.IntN(8)}
	case 1:
		w.RunTime, counts = time.Duration(300+r.IntN(700))*time.Millisecond, []int{1 + r.IntN(3)}
	case 2:
		w.RunTime, counts = time.Duration(80+r.IntN(150))*time.Millisecond, []int{1 + r.IntN(3)}
	default:
		w.RunTime, counts = time.Duration(50+r.IntN(100))*time.Millisecond, []int{1 + r.IntN(3), 1 + r.IntN(2)}
	}
	if r.Float64() < failingJobShare {
		w.FailingShare = 0.5
	}
	j := batch.Job{ID: batch.JobID(id), Route: jobRoute.Name, Pool: poolName, Attempts: maxAttempts, Timeout: callerTimeout, Spec: w.Encode()}
	for i, n := range counts {
		s := batch.Step{Count: n, Demand: resource.Amount{Processor: w.Processor}, Estimate: w.RunTime}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j, w
}
