package backend

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/task"
)

// Server is a backend server that announces itself to its agent. It is a building block for programs
// written in Go; any HTTP server that sends the same announcements will do.
type Server struct {
	settings ServerSettings
	http     http.Server
	client   *http.Client
	address  string
	self     announcement
	running  sync.WaitGroup
	stop     context.CancelFunc

	mu      sync.Mutex
	cancels map[task.AttemptID]context.CancelCauseFunc // of running tasks
}

// ServerSettings describe a backend server.
type ServerSettings struct {
	ID          string
	Pool        string
	Agent       string // address of the agent's interface for backend servers
	Listen      string // address to serve on; a random loopback port if empty
	Slots       int    // tasks that run at once
	Connections int
	Run         func(ctx context.Context, t Task) (body []byte, err error)

	// ListenFunc and Dial replace the network if they are set.
	ListenFunc func(address string) (net.Listener, error)
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
}

// Task is a task as a backend server sees it.
type Task struct {
	Attempt  task.AttemptID
	Deadline time.Duration // time left when the agent sent the task
	Body     []byte
}

// AnnounceError reports an announcement that the agent refused.
type AnnounceError struct {
	Agent   string
	Status  int
	Message string
}

// Error implements error.
func (e *AnnounceError) Error() string {
	return fmt.Sprintf("announce to agent at %s: status %d: %s", e.Agent, e.Status, e.Message)
}

// maxTaskBody is the bound on the body of a task, in bytes.
const maxTaskBody = 1 << 20

// NewServer starts a backend server. The clean-up announces that the server leaves, waits until its tasks
// have ended, and stops it.
func NewServer(settings ServerSettings) (*Server, func(), error) {
	if settings.Listen == "" {
		settings.Listen = "127.0.0.1:0"
	}
	if settings.ListenFunc == nil {
		settings.ListenFunc = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	listener, err := settings.ListenFunc(settings.Listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "start backend server %s", settings.ID)
	}
	ctx, stop := context.WithCancel(context.Background())
	transport := &http.Transport{DialContext: settings.Dial}
	s := &Server{
		settings: settings,
		client:   &http.Client{Timeout: HeartbeatInterval, Transport: transport},
		address:  listener.Addr().String(),
		stop:     stop,
		cancels:  map[task.AttemptID]context.CancelCauseFunc{},
	}
	s.self = announcement{
		ID: settings.ID, Pool: settings.Pool, Address: s.address,
		Slots: settings.Slots, Connections: settings.Connections, Incarnation: newIncarnation(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathTask, s.handleTask)
	mux.HandleFunc("POST "+PathCancel, s.handleCancel)
	s.http.Handler = mux
	s.http.ReadHeaderTimeout = 5 * time.Second
	s.running.Go(func() { _ = s.http.Serve(listener) })
	s.running.Go(func() { s.announce(ctx) })
	return s, s.cleanUp, nil
}

// newIncarnation orders the runs of a backend server by the time of their start.
func newIncarnation() string {
	return fmt.Sprintf("%016x-%s", time.Now().UnixNano(), rand.Text()[:8])
}

// Address returns the address on which the server receives tasks.
func (s *Server) Address() string { return s.address }

// Kill stops the server at once and without a goodbye, for tests of failures.
func (s *Server) Kill() {
	s.stop()
	_ = s.http.Close()
	s.running.Wait()
	s.client.CloseIdleConnections()
}

func (s *Server) cleanUp() {
	s.stop()
	_ = s.post(context.Background(), PathLeave, leave{ID: s.self.ID, Incarnation: s.self.Incarnation})
	_ = s.http.Shutdown(context.Background())
	s.running.Wait()
	s.client.CloseIdleConnections()
}

// announce repeats the announcement, which is also the heartbeat, until the context ends. A failure is
// repeated: the agent may not have started yet.
func (s *Server) announce(ctx context.Context) {
	for {
		wait := HeartbeatInterval
		if s.post(ctx, PathAnnounce, s.self) != nil {
			wait = HeartbeatInterval / 4
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (s *Server) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.Agent+path,
		bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxAnnouncement))
		return errors.WithStack(&AnnounceError{
			Agent: s.settings.Agent, Status: response.StatusCode, Message: string(message),
		})
	}
	return nil
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	t, err := readTask(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "MalformedTask", err)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	s.track(t.Attempt, cancel)
	defer s.track(t.Attempt, nil)
	body, err := s.settings.Run(ctx, t)
	var cancelled *CancelledError
	if err != nil && errors.As(context.Cause(ctx), &cancelled) {
		writeError(w, StatusCancelled, "TaskCancelled", cancelled)
		return
	}
	if err != nil {
		writeError(w, http.StatusInternalServerError, "TaskFailed", err)
		return
	}
	_, _ = w.Write(body)
}

// CancelledError is the cause of the context of a task that was cancelled.
type CancelledError struct{ Attempt task.AttemptID }

// Error implements error.
func (e *CancelledError) Error() string { return "run " + e.Attempt.String() + ": cancelled" }

// track remembers how to cancel a running task, or forgets it.
func (s *Server) track(a task.AttemptID, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel == nil {
		delete(s.cancels, a)
		return
	}
	s.cancels[a] = cancel
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := readAttempt(r.Header)
	if err != nil {
		writeError(w, http.StatusBadRequest, "MalformedTask", err)
		return
	}
	s.mu.Lock()
	cancel := s.cancels[attempt]
	s.mu.Unlock()
	if cancel != nil {
		cancel(&CancelledError{Attempt: attempt})
	}
	w.WriteHeader(http.StatusNoContent)
}

func readTask(w http.ResponseWriter, r *http.Request) (Task, error) {
	attempt, err := readAttempt(r.Header)
	if err != nil {
		return Task{}, err
	}
	deadline, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return Task{}, errors.Wrapf(err, "read %s", HeaderDeadline)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTaskBody))
	if err != nil {
		return Task{}, errors.Wrap(err, "read task body")
	}
	return Task{
		Attempt:  attempt,
		Deadline: time.Duration(deadline) * time.Millisecond,
		Body:     body,
	}, nil
}

func readAttempt(header http.Header) (task.AttemptID, error) {
	index, err := strconv.Atoi(header.Get(HeaderTask))
	if err != nil {
		return task.AttemptID{}, errors.Wrapf(err, "read %s", HeaderTask)
	}
	number, err := strconv.Atoi(header.Get(HeaderAttempt))
	if err != nil {
		return task.AttemptID{}, errors.Wrapf(err, "read %s", HeaderAttempt)
	}
	job := task.JobID{Customer: header.Get(HeaderCustomer), Key: header.Get(HeaderKey)}
	return task.AttemptID{Task: task.ID{Job: job, Index: index}, Number: number}, nil
}
