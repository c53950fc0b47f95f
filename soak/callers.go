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
	"dogwoodglade/internal/uniform"
	"dogwoodglade/platform/standin"
)

const (
	clientCount = 12
	// jobRate is the number of jobs per second and backend server, about a third of the capacity.
	jobRate = 6.0
	// callerTimeout is the deadline that callers set for a job. They wait for the response callerTimeoutSlack longer.
	callerTimeout      = 4 * time.Second
	callerTimeoutSlack = 3 * time.Second
	// resendDelay corresponds to resend_ms, the time that a caller waits before it resubmits a job without a known
	// outcome.
	resendDelay = 1300 * time.Millisecond
	maxSends    = 3
	// maxReturns is how often a caller leaves early before it waits for the response.
	maxReturns = 2
	// failingJobShare is the share of the jobs in which about half of the tasks fail on every run.
	failingJobShare = 0.02
	// meanEarlyDelay is the mean time until a caller that cancels or abandons its job does so.
	meanEarlyDelay = 300 * time.Millisecond
	// deadlyTimeout is how long the caller of a deadly job waits before it submits it to another entry.
	deadlyTimeout  = 1500 * time.Millisecond
	maxDeadlySends = 6
)

// jobRoute is the route of all jobs. It is part of every version of the configuration.
var jobRoute = func() site.Route {
	r := site.Route{
		Route: route.New("jobs", poolName), Host: "callers.example", PathPrefix: "/jobs/",
		Stretch: 1.6, Target: 60 * time.Millisecond,
	}
	r.Attempts, r.Deadline = maxAttempts, callerTimeout
	return r
}()

const poolName = "pool"

// callerBehaviour controls the load, and how many callers do not wait for their response.
type callerBehaviour struct {
	rateFactor   float64 // factor by which jobRate is multiplied
	cancelShare  float64 // share of the jobs that their caller cancels
	abandonShare float64 // share of the jobs whose caller disconnects early
	deadlyShare  float64 // share of the jobs that crash backend servers
	returnShare  float64 // share of the jobs whose caller disconnects early and submits the job again
}

// callers submit jobs to the entries, which are chosen as by the platform's load balancer.
type callers struct {
	checker   *checker
	pickEntry func(r *rand.Rand) (name, address string) // chooses an entry that is in rotation
	behaviour func() callerBehaviour
}

// run runs all clients until the context ends, and waits for the responses to their jobs.
func (c *callers) run(ctx context.Context, seed uint64, backends int) {
	var running sync.WaitGroup
	for i := range clientCount {
		running.Go(func() {
			c.runClient(ctx, rand.New(rand.NewPCG(seed, uint64(100+i))), i, jobRate*float64(backends)/clientCount)
		})
	}
	running.Wait()
}

// client is one caller. It uses the same entry until a response from it fails to arrive.
type client struct {
	*callers
	caller *standin.Caller

	mu            sync.Mutex // guards what follows
	random        *rand.Rand // chooses entries; jobs are drawn from another generator, in a single goroutine
	name, address string     // of its entry
}

// runClient submits jobs until the context ends, and waits for their responses.
func (c *callers) runClient(ctx context.Context, r *rand.Rand, number int, rate float64) {
	caller, cleanUp := standin.NewCaller()
	defer cleanUp()
	x := &client{callers: c, caller: caller, random: rand.New(rand.NewPCG(r.Uint64(), 7))}
	x.name, x.address = c.pickEntry(x.random)
	var open sync.WaitGroup
	defer open.Wait()
	for count := 0; ctx.Err() == nil; count++ {
		behaviour := c.behaviour()
		wait(ctx, time.Duration(r.ExpFloat64()/(rate*behaviour.rateFactor)*float64(time.Second)))
		j, w := newJob(r, fmt.Sprintf("%04x%012x", number, count))
		// delay is how long a caller waits before it cancels or abandons the job.
		delay := time.Duration(r.ExpFloat64() * float64(meanEarlyDelay))
		switch draw := r.Float64(); {
		case uniform.FromString(string(j.ID)+"/deadly") < behaviour.deadlyShare:
			w.Deadly = true
			j.Spec = w.Encode()
			open.Go(func() { x.submitDeadly(j, w) })
		case draw < behaviour.cancelShare:
			x.checker.RecordCancelRequest(j)
			open.Go(func() { x.cancel(j, delay) })
			open.Go(func() { x.send(j, w, j.Timeout+callerTimeoutSlack) })
		case draw < behaviour.cancelShare+behaviour.abandonShare:
			open.Go(func() { x.send(j, w, delay) })
		case draw < behaviour.cancelShare+behaviour.abandonShare+behaviour.returnShare:
			open.Go(func() {
				for range maxReturns {
					x.send(j, w, delay)
					entry, _ := x.entry()
					x.switchEntry(entry)
					time.Sleep(resendDelay)
				}
				x.submit(j, w)
			})
		default:
			open.Go(func() { x.submit(j, w) })
		}
	}
}

// submit sends a job, and resends it while its outcome is unknown, at most maxSends times in all.
func (x *client) submit(j batch.Job, w standin.Workload) {
	for range maxSends {
		outcome := x.send(j, w, j.Timeout+callerTimeoutSlack)
		if outcome != standin.NoResponse && outcome != standin.OutcomeUnknown {
			return
		}
		time.Sleep(resendDelay)
	}
}

// submitDeadly sends a job to one entry after the other until it is answered as failed.
func (x *client) submitDeadly(j batch.Job, w standin.Workload) {
	for range maxDeadlySends {
		if x.send(j, w, deadlyTimeout) == standin.Failed {
			return
		}
		entry, _ := x.entry()
		x.switchEntry(entry)
		time.Sleep(resendDelay)
	}
}

// send sends a job once, and waits up to limit for the response.
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

// switchEntry picks an entry anew if the client still uses the given one.
func (x *client) switchEntry(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.name == name {
		x.name, x.address = x.pickEntry(x.random)
	}
}

// cancel cancels a job after a delay, at the entry that the client uses when cancel is called.
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

// newJob draws a random job: many short tasks, a few long ones, a few of medium length, or two steps.
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
	j := batch.Job{
		ID: batch.JobID(id), Route: jobRoute.Name, Pool: poolName, Attempts: maxAttempts, Timeout: callerTimeout,
		Spec: w.Encode(),
	}
	for i, n := range counts {
		s := batch.Step{Count: n, Demand: resource.Amount{Processor: w.Processor}, Estimate: w.RunTime}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j, w
}
