package batchagent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/supervise"
)

// slowServer takes 30 ms for a start. Its client has eight connections, and a call waits for a free one.
type slowServer struct {
	listeningServer
	connections chan struct{}
	unsent      int
}

func (s *slowServer) Start(ctx context.Context, c supervise.CallStart) (supervise.StartResult, time.Duration) {
	select {
	case s.connections <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unsent++
		return supervise.Unanswered, 0
	}
	time.Sleep(30 * time.Millisecond)
	<-s.connections
	return s.listeningServer.Start(ctx, c)
}

// Guards against starts that time out before they are sent, because others are under way: they would count as carried
// out, and each raises the token and makes the agent list the runs.
func TestManyStartsDoNotTimeOutUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &startingEntry{runs: 40}
		b := &slowServer{
			listeningServer: listeningServer{began: time.Now().Add(-time.Minute)}, connections: make(chan struct{}, 8),
		}
		playAgent(t, e, b, time.Now)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.starts < e.runs || b.unsent > 0 {
			t.Errorf("%d of %d starts arrived, %d timed out before they were sent", b.starts, e.runs, b.unsent)
		}
	})
}
