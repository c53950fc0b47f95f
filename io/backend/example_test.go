package backend_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/task"
	"dogwoodglade/io/backend"
)

// fakeAgent stands in for the host's agent and receives the address of the backend server.
type fakeAgent chan string

func (a fakeAgent) Announce(m executor.Announcement) error {
	select {
	case a <- m.Address:
	default:
	}
	return nil
}

func (a fakeAgent) Leave(string, string) {}

func ExampleNewServer() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	agent := make(fakeAgent, 1)
	report := func(event.Number, string, int) {}
	defer backend.Serve(listener, agent, report, metrics.NewRegistry())()
	_, stop, err := backend.NewServer(backend.ServerSettings{
		ID: "server-1", Pool: "samples", Agent: listener.Addr().String(), Slots: 8, Connections: 64,
		Run: func(_ context.Context, t backend.Task) ([]byte, error) { return bytes.ToUpper(t.Body), nil },
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()

	client, closeClient := backend.NewClient(64, nil)
	defer closeClient()
	result, err := client.Run(context.Background(), <-agent, task.Start{
		Attempt: task.AttemptID{
			Task: task.ID{Job: task.JobID{Customer: "atlas", Key: "hold-17"}}, Number: 1,
		},
		Deadline: 10 * time.Second,
		Body:     []byte("hold"),
	})
	fmt.Println(result.Status, string(result.Body), err)
	// Output: 200 HOLD <nil>
}
