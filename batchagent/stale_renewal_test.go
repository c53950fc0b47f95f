package batchagent_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/supervise"
)

// renewedServer is a backend server that lets its agent freeze between the decision to renew the lease and the call.
type renewedServer struct {
	silentServer
	began time.Time
	clock *countingClock

	mu    sync.Mutex
	armed bool
	stale int
}

func (s *renewedServer) Start(context.Context, supervise.CallStart) (supervise.StartResult, time.Duration) {
	return supervise.Accepted, s.clock.time().Sub(s.began)
}

func (s *renewedServer) Hold(_ context.Context, h supervise.Hold) (supervise.HoldResponse, error) {
	time.Sleep(h.Wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Renew && h.Until < s.clock.time().Sub(s.began) {
		s.stale++
	}
	if h.Renew && !s.armed {
		s.armed = true
		s.clock.freezeAfter(2)
	}
	return supervise.HoldResponse{Incarnation: 1, Clock: s.clock.time().Sub(s.began)}, nil
}

// countingClock jumps ahead by 3 s after a number of readings.
type countingClock struct {
	mu       sync.Mutex
	readings int
	offset   time.Duration
}

func (c *countingClock) freezeAfter(readings int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings = readings
}

func (c *countingClock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *countingClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := time.Now().Add(c.offset)
	if c.readings > 0 {
		if c.readings--; c.readings == 0 {
			c.offset = 3 * time.Second
		}
	}
	return t
}

// Guards against a renewal that an agent sends when it wakes: a backend server that has restarted under its ID takes the
// end of a lease on the earlier clock for one that lasts.
func TestRenewalIsNotSentAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &countingClock{}
		b := &renewedServer{began: time.Now().Add(-time.Minute), clock: clock}
		playAgent(t, &startingEntry{clock: &freezingClock{}, runs: 1}, b, clock.now)
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.armed || b.stale > 0 {
			t.Errorf("froze: %v; sent %d renewals whose lease was over, want none", b.armed, b.stale)
		}
	})
}
