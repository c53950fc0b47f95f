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

// Server is a backend server that runs tasks with a Go function and announces itself to its agent. Programs in
// other languages can use any HTTP server that serves the same paths and sends the same announcements.
type Server struct {
	settings        ServerSettings
	http            http.Server
	client          *http.Client
	address         string
	ownAnnouncement announcement
	wg              sync.WaitGroup
	stop            context.CancelFunc

	mu      sync.Mutex
	cancels map[task.AttemptID]context.CancelCauseFunc // of the running tasks
}

// ServerSettings configure a backend server.
type ServerSettings struct {
	ID          string
	Pool        string
	Agent       string // address on which the agent serves Handler
	Listen      string // address to serve tasks on; if empty, a free port of 127.0.0.1
	Slots       int    // maximum number of concurrent tasks
	Connections int    // maximum number of concurrent requests from the agent
	Run         func(ctx context.Context, t Task) (body []byte, err error)

	// ListenFunc and Dial, if set, replace the functions of package net, for tests.
	ListenFunc func(address string) (net.Listener, error)
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
}

// Task is a task that a backend server received.
type Task struct {
	Attempt  task.AttemptID
	Deadline time.Duration // remaining time when the agent sent the task
	Body     []byte
}

// AnnounceError reports that the agent rejected an announcement or leave notice.
type AnnounceError struct {
	Agent   string
	Status  int
	Message string
}

// Error implements error.
func (e *AnnounceError) Error() string {
	return fmt.Sprintf("announce to agent at %s: status %d: %s", e.Agent, e.Status, e.Message)
}

// maxTaskBodyBytes limits the body of a task.
const maxTaskBodyBytes = 1 << 20

// NewServer starts a backend server. The returned function shuts it down: it sends a leave notice to the agent and
// waits for the running tasks.
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
	s.ownAnnouncement = announcement{
		ID: settings.ID, Pool: settings.Pool, Address: s.address,
		Slots: settings.Slots, Connections: settings.Connections, Incarnation: newIncarnation(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathTask, s.handleTask)
	mux.HandleFunc("POST "+PathCancel, s.handleCancel)
	s.http.Handler = mux
	s.http.ReadHeaderTimeout = 5 * time.Second
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	s.wg.Go(func() { s.sendHeartbeats(ctx) })
	return s, s.shutDown, nil
}

// newIncarnation returns an ID of this run of the backend server. IDs sort by start time, so that the agent can
// tell a newer run from an older one.
func newIncarnation() string {
	return fmt.Sprintf("%016x-%s", time.Now().UnixNano(), rand.Text()[:8])
}

// Address returns the address on which the server serves tasks.
func (s *Server) Address() string { return s.address }

// Kill stops the server at once and without a leave notice, as a crash would. It is meant for tests.
func (s *Server) Kill() {
	s.stop()
	_ = s.http.Close()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

func (s *Server) shutDown() {
	s.stop()
	notice := leaveRequest{ID: s.ownAnnouncement.ID, Incarnation: s.ownAnnouncement.Incarnation}
	_ = s.post(context.Background(), PathLeave, notice)
	_ = s.http.Shutdown(context.Background())
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

// sendHeartbeats sends the announcement, which is also the heartbeat, at every HeartbeatInterval until the context
// ends. After a failure it retries sooner, because the agent may not have started yet.
func (s *Server) sendHeartbeats(ctx context.Context) {
	for {
		wait := HeartbeatInterval
		if s.post(ctx, PathAnnounce, s.ownAnnouncement) != nil {
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
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxAnnouncementBytes))
		return errors.WithStack(&AnnounceError{
			Agent: s.settings.Agent, Status: response.StatusCode, Message: string(message),
		})
	}
	return nil
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	t, err := parseTask(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "MalformedTask", err)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	s.setCancel(t.Attempt, cancel)
	defer s.setCancel(t.Attempt, nil)
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

// CancelledError is the cancellation cause of the context of a task that the agent cancelled.
type CancelledError struct{ Attempt task.AttemptID }

// Error implements error.
func (e *CancelledError) Error() string { return "run " + e.Attempt.String() + ": cancelled" }

// setCancel stores the cancel function of a running task, or removes it if cancel is nil.
func (s *Server) setCancel(a task.AttemptID, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel == nil {
		delete(s.cancels, a)
		return
	}
	s.cancels[a] = cancel
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := parseAttempt(r.Header)
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

func parseTask(w http.ResponseWriter, r *http.Request) (Task, error) {
	attempt, err := parseAttempt(r.Header)
	if err != nil {
		return Task{}, err
	}
	deadline, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil {
		return Task{}, errors.Wrapf(err, "read %s", HeaderDeadline)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTaskBodyBytes))
	if err != nil {
		return Task{}, errors.Wrap(err, "read task body")
	}
	return Task{
		Attempt:  attempt,
		Deadline: time.Duration(deadline) * time.Millisecond,
		Body:     body,
	}, nil
}

func parseAttempt(header http.Header) (task.AttemptID, error) {
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
