package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/io/backend"
	"dogwoodglade/io/caller"
)

// Dial opens a connection. Tests with a fake clock provide their own.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// AddressError reports an address to which load must not be sent, because it may be on another host.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("submit load: %q is not a loopback IP address with a port", e.Address)
}

// checkLoopback returns an AddressError unless all addresses are loopback IP addresses with a port.
func checkLoopback(addresses []string) error {
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return errors.WithStack(&AddressError{Address: address})
		}
	}
	return nil
}

// Target runs jobs. It is implemented by Entries and Direct.
type Target interface {
	submit(ctx context.Context, index int, j Job) (job.Answer, error)
	cancel(ctx context.Context, index int, j Job)
}

// resubmitter is a target that accepts a job again while it runs. Direct does not implement it: without a
// dispatcher, nothing keeps running jobs that a resubmission could be matched with.
type resubmitter interface {
	resubmit(ctx context.Context, index int, j Job) (job.Answer, error)
}

// Entries submits jobs to entries in round-robin order.
type Entries struct{ clients []*caller.Client }

// NewEntries returns a target and a function that releases its resources. If dial is nil, the default dialler
// is used.
func NewEntries(addresses []string, dial Dial) (*Entries, func(), error) {
	if err := checkLoopback(addresses); err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: MaxOpen, IdleConnTimeout: time.Minute}
	e := &Entries{}
	for _, address := range addresses {
		e.clients = append(e.clients, caller.NewClient(address, &http.Client{Transport: transport}))
	}
	return e, transport.CloseIdleConnections, nil
}

func (e *Entries) client(index int) *caller.Client { return e.clients[index%len(e.clients)] }

func (e *Entries) submit(ctx context.Context, index int, j Job) (job.Answer, error) {
	return e.client(index).Submit(ctx, j.Submission)
}

func (e *Entries) resubmit(ctx context.Context, index int, j Job) (job.Answer, error) {
	return e.client(index+1).Submit(ctx, j.Submission)
}

// cancel ignores the response, because the submission receives the outcome.
func (e *Entries) cancel(ctx context.Context, index int, j Job) {
	_, _ = e.client(index+1).Cancel(ctx, j.Submission.ID)
}

// Direct is the baseline without a dispatcher. The caller assigns tasks to slots in round-robin order and sends
// each to the backend server of its slot when the earlier tasks of that slot have ended. At the deadline, waiting
// tasks are dropped and running tasks are cancelled.
type Direct struct {
	client *backend.Client
	slots  []*slot
	next   atomic.Uint64

	mu      sync.Mutex
	cancels map[task.JobID]context.CancelFunc
}

type slot struct {
	server string
	busy   chan struct{} // semaphore; blocked senders acquire it in the order of their arrival
}

// NewDirect returns a target for backend servers with the given number of slots each, and a function that releases
// its resources.
func NewDirect(servers []string, slots int, dial Dial) (*Direct, func(), error) {
	if err := checkLoopback(servers); err != nil {
		return nil, nil, err
	}
	client, cleanUp := backend.NewClient(2*slots, dial)
	d := &Direct{client: client, cancels: map[task.JobID]context.CancelFunc{}}
	for range slots {
		for _, server := range servers {
			d.slots = append(d.slots, &slot{server: server, busy: make(chan struct{}, 1)})
		}
	}
	return d, cleanUp, nil
}

func (d *Direct) submit(ctx context.Context, _ int, j Job) (job.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, j.Submission.Deadline)
	defer cancel()
	d.mu.Lock()
	d.cancels[j.Submission.ID] = cancel
	d.mu.Unlock()
	a := job.Answer{ID: j.Submission.ID, State: job.Complete, Results: make([]task.Result, len(j.RunTimes))}
	errs := make([]error, len(j.RunTimes))
	var group sync.WaitGroup
	for i := range j.RunTimes {
		s := d.slots[(d.next.Add(1)-1)%uint64(len(d.slots))]
		group.Go(func() { a.Results[i], errs[i] = d.run(ctx, s, j, i) })
	}
	group.Wait()
	d.mu.Lock()
	delete(d.cancels, j.Submission.ID)
	d.mu.Unlock()
	if ctx.Err() != nil {
		reason := job.ReasonCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = job.ReasonDeadlineExceeded
		}
		return job.Answer{ID: a.ID, State: job.Failed, Reason: reason}, nil
	}
	return a, errors.Join(errs...)
}

func (d *Direct) run(ctx context.Context, s *slot, j Job, index int) (task.Result, error) {
	select {
	case s.busy <- struct{}{}:
	case <-ctx.Done():
		return task.Result{}, ctx.Err()
	}
	defer func() { <-s.busy }()
	attempt := task.AttemptID{Task: task.ID{Job: j.Submission.ID, Index: index}, Number: 1}
	detached := context.WithoutCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = d.client.Cancel(detached, s.server, attempt) })
	defer stop()
	// Like an agent, the target keeps the slot occupied until the backend server has ended the request.
	return d.client.Run(detached, s.server, task.Start{
		Attempt: attempt, Deadline: j.Submission.Deadline, Body: j.Submission.Bodies[index],
	})
}

func (d *Direct) cancel(_ context.Context, _ int, j Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancels[j.Submission.ID]; cancel != nil {
		cancel()
	}
}
