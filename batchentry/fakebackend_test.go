package batchentry_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodglade/batchagent"
	"dogwoodglade/core/batch"
	"dogwoodglade/core/supervise"
)

// backend is a fake backend server that runs each task for the duration in its spec.
type backend struct {
	mu        sync.Mutex
	name      string
	started   time.Time
	leaseEnd  time.Duration
	running   map[batch.TaskID]*taskRun
	ended     []supervise.TaskEnd
	starts    []batch.TaskID
	lastStart time.Time
	failTasks bool
	deadly    batch.JobID // a task of this job crashes it
	restarts  int64
	down      bool
	announce  func()
	loseHolds int // one in so many Hold calls gets no response; none if 0
	loseStops atomic.Bool
	holds     int
	endSignal chan struct{}
	overlaps  *overlapRecorder
}

type taskRun struct {
	number   int
	timer    *time.Timer
	started  time.Time
	duration time.Duration
}

func (r *taskRun) percent() int { return int(100 * time.Since(r.started) / r.duration) }

// overlapRecorder records tasks that have two runs at the same time.
type overlapRecorder struct {
	mu      sync.Mutex
	running map[batch.TaskID]string
	found   []string
}

func (l *overlapRecorder) begin(task batch.TaskID, on string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.running[task]; ok {
		l.found = append(l.found, fmt.Sprintf("%v on %s and %s", task, other, on))
	}
	l.running[task] = on
}

func (l *overlapRecorder) end(task batch.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, task)
}

func (b *backend) clock() time.Duration { return time.Since(b.started) }

func (b *backend) end(task batch.TaskID, how supervise.End) {
	r, ok := b.running[task]
	if !ok {
		return
	}
	r.timer.Stop()
	delete(b.running, task)
	b.overlaps.end(task)
	b.ended = append(b.ended, supervise.TaskEnd{
		Sequence: uint64(len(b.ended) + 1), Task: task, Number: r.number, End: how,
	})
	select {
	case b.endSignal <- struct{}{}:
	default:
	}
}

// expireLease ends all runs if the lease has expired. It is called at the start of each call and when a run's timer
// fires.
func (b *backend) expireLease() {
	if b.clock() <= b.leaseEnd {
		return
	}
	for task := range b.running {
		b.end(task, supervise.Lost)
	}
}

func (b *backend) Start(_ context.Context, c supervise.CallStart) (supervise.StartResult, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLease()
	switch {
	case b.down:
		return supervise.NotListening, 0
	case b.deadly == c.Task.Job:
		b.starts = append(b.starts, c.Task)
		b.crash()
		return supervise.Unanswered, 0
	}
	d, err := time.ParseDuration(c.Spec)
	if err != nil {
		return supervise.Unacceptable, b.clock()
	}
	how := supervise.Done
	if b.failTasks {
		how = supervise.Failed
	}
	b.leaseEnd = max(b.leaseEnd, c.Until)
	b.starts, b.lastStart = append(b.starts, c.Task), time.Now()
	b.overlaps.begin(c.Task, b.name)
	b.running[c.Task] = &taskRun{number: c.Number, started: time.Now(), duration: d, timer: time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.expireLease()
		b.end(c.Task, how)
	})}
	return supervise.Accepted, b.clock()
}

func (b *backend) Stop(ctx context.Context, c supervise.CallStop) (bool, time.Duration) {
	b.mu.Lock()
	if b.loseStops.Load() {
		b.mu.Unlock()
		<-ctx.Done()
		b.mu.Lock()
		defer b.mu.Unlock()
		return false, 0
	}
	defer b.mu.Unlock()
	b.end(c.Task, supervise.Stopped)
	return true, b.clock()
}

func (b *backend) Hold(ctx context.Context, h supervise.Hold) (supervise.HoldResponse, error) {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return supervise.HoldResponse{}, &batchagent.NotListeningError{Cause: net.ErrClosed}
	}
	b.holds++
	lost := b.loseHolds > 0 && b.holds%b.loseHolds == 0
	b.mu.Unlock()
	if lost {
		<-ctx.Done()
		return supervise.HoldResponse{}, ctx.Err()
	}
	if h.Wait > 0 {
		select {
		case <-b.endSignal:
		case <-time.After(h.Wait):
		case <-ctx.Done():
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLease()
	if h.Renew {
		b.leaseEnd = max(b.leaseEnd, h.Until)
	}
	response := supervise.HoldResponse{Incarnation: 1 + b.restarts, Clock: b.clock(), Ended: b.ended[min(int(h.Seen), len(b.ended)):]}
	for task, r := range b.running {
		response.Running = append(response.Running, supervise.RunningTask{Task: task, Number: r.number, Percent: r.percent()})
	}
	return response, nil
}
