package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/task"
	"dogwoodglade/internal/memnet"
)

// Guards against tasks that wait for a connection: they count as running, hold slots and cannot be cancelled.
func TestConcurrentTasksExceedIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 100
		network := memnet.New()
		server, stop, err := NewServer(ServerSettings{
			ID: "b", Pool: "p", Agent: "127.0.0.1:9", Slots: slots, Connections: slots,
			ListenFunc: network.Host("b").Listen, Dial: network.Host("b").Dial,
			Run: func(context.Context, Task) ([]byte, error) {
				time.Sleep(time.Second)
				return nil, nil
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		client, closeClient := NewClient(slots/2, network.Host("a").Dial)
		begin := time.Now()
		done := make(chan error)
		for i := range slots {
			start := task.Start{Attempt: task.AttemptID{Task: task.ID{Index: i}}}
			go func() {
				_, err := client.Run(t.Context(), server.Address(), start)
				done <- err
			}()
		}
		for range slots {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(begin); took != time.Second {
			t.Errorf("%d tasks of 1 s on %d slots took %v", slots, slots, took)
		}
		closeClient()
		stop()
		synctest.Wait()
	})
}
