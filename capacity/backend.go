package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"dogwoodglade/io/backend"
)

func backendMeasures() []Measure {
	return []Measure{{
		Name: "backend.run", Unit: "task with a body and a result of 1 KiB; agent to backend server over HTTP and back",
		Sizes: []int{250, 500, 1000, 2000}, Run: runBackend,
	}}
}

// runBackend runs tasks sequentially on a backend server that returns their bodies.
func runBackend(n int) (Cost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	echoBody := func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil { // read the whole request before the response, as HTTP/1 requires
			_, _ = w.Write(body)
		}
	}
	server := &http.Server{Handler: http.HandlerFunc(echoBody), ReadHeaderTimeout: messageTimeout}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	var m meter
	client, closeClient := backend.NewClient(1, m.dial((&net.Dialer{}).DialContext))
	defer func() {
		closeClient()
		_ = server.Close()
		running.Wait()
	}()
	var failed error
	cpu, err := measureCPU(func() { failed = runTasksOn(client, listener.Addr().String(), n) })
	if failed != nil {
		return nil, failed
	}
	return Cost{WireBytes: float64(m.total()), CPUMicroseconds: cpu}, err
}

func runTasksOn(client *backend.Client, address string, n int) error {
	for i := range n {
		s := withBody(newStart("race-2028-00001234", i%tasksPerJob, 1), bodyBytes)
		result, err := client.Run(context.Background(), address, s)
		if err != nil {
			return err
		}
		if len(result.Body) != bodyBytes {
			return &CountError{What: "bytes of the result", Got: len(result.Body), Want: bodyBytes}
		}
	}
	return nil
}
