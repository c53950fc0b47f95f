package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/task"
	"dogwoodglade/internal/memnet"
)

// fakeAgent passes announcements to an executor, as the agent does, and records the calls.
type fakeAgent struct {
	mu            sync.Mutex
	executor      *executor.Executor
	announcements int
	leaveNotices  []string
}

func newFakeAgent() *fakeAgent {
	return &fakeAgent{executor: executor.New("agent", func(event.Event) {})}
}

func (f *fakeAgent) Announce(a executor.Announcement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcements++
	_, err := f.executor.Announce(time.Now(), a)
	return err
}

func (f *fakeAgent) Leave(id, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaveNotices = append(f.leaveNotices, id)
}

// Guards against invalid announcements that are accepted: tasks would go to a wrong address, or exceed the slots.
func TestAnnouncements(t *testing.T) {
	const valid = `{"ID":"b","Pool":"p","Address":"127.0.0.1:9","Slots":8,"Connections":64,"Incarnation":"5"}`
	with := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }
	for name, test := range map[string]struct {
		path, body    string
		status        int
		announcements int
	}{
		"announce":                  {PathAnnounce, valid, 204, 1},
		"heartbeat":                 {PathHeartbeat, valid, 204, 1},
		"newer incarnation":         {PathHeartbeat, with(`"5"`, `"10"`), 204, 1},
		"older incarnation":         {PathHeartbeat, with(`"5"`, `"4"`), 409, 1},
		"no incarnation":            {PathAnnounce, with(`"5"`, `""`), 400, 0},
		"invalid ID":                {PathAnnounce, with(`"b"`, `"b/c"`), 400, 0},
		"no pool":                   {PathAnnounce, with(`"p"`, `""`), 400, 0},
		"host name":                 {PathAnnounce, with(`127.0.0.1:9`, `host:9`), 400, 0},
		"no port":                   {PathAnnounce, with(`127.0.0.1:9`, `127.0.0.1`), 400, 0},
		"port too large":            {PathAnnounce, with(`127.0.0.1:9`, `127.0.0.1:65536`), 400, 0},
		"no slots":                  {PathAnnounce, with(`8`, `0`), 400, 0},
		"too many slots":            {PathAnnounce, with(`8`, `1025`), 400, 0},
		"slots as text":             {PathAnnounce, with(`8`, `"8"`), 400, 0},
		"no connections":            {PathAnnounce, with(`64`, `0`), 400, 0},
		"too many connections":      {PathAnnounce, with(`64`, `65537`), 400, 0},
		"unknown field":             {PathAnnounce, with(`"Slots"`, `"Extra":1,"Slots"`), 400, 0},
		"not JSON":                  {PathAnnounce, `{`, 400, 0},
		"two values":                {PathAnnounce, valid + valid, 400, 0},
		"too large":                 {PathAnnounce, with(`"b"`, `"`+strings.Repeat("b", maxAnnouncementBytes)+`"`), 413, 0},
		"large trailer":             {PathAnnounce, valid + strings.Repeat(" ", maxAnnouncementBytes), 413, 0},
		"leave":                     {PathLeave, `{"ID":"b","Incarnation":"5"}`, 204, 0},
		"leave without ID":          {PathLeave, `{"Incarnation":"5"}`, 400, 0},
		"leave without incarnation": {PathLeave, `{"ID":"b"}`, 400, 0},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent()
			h := Handler(agent)
			send := func(path, body string) *httptest.ResponseRecorder {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
				return w
			}
			send(PathAnnounce, valid)
			w := send(test.path, test.body)
			left := test.path == PathLeave && test.status == 204
			if w.Code != test.status || agent.announcements != 1+test.announcements ||
				left != slices.Equal(agent.leaveNotices, []string{"b"}) {
				t.Errorf("got %d %s, %d announcements, leave notices %v", w.Code, w.Body, agent.announcements, agent.leaveNotices)
			}
		})
	}
}

func newStart(key string) task.Start {
	job := task.JobID{Customer: "atlas", Key: key}
	return task.Start{
		Attempt: task.AttemptID{Task: task.ID{Job: job, Index: 2}, Number: 3}, Body: []byte(key), Deadline: time.Second,
	}
}

const address = "127.0.0.1:7"

// newTestClient calls serve with a listener on the address and returns a client that connects to it.
func newTestClient(t *testing.T, serve func(net.Listener)) *Client {
	t.Helper()
	network := memnet.New()
	listener, err := network.Host("backend").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	go serve(listener)
	client, closeClient := NewClient(64, network.Host("agent").Dial)
	t.Cleanup(func() {
		closeClient()
		_ = listener.Close()
		synctest.Wait()
	})
	return client
}

// Guards against wrong outcomes: a result would be lost, or a task that may have run would run again.
func TestRunOutcome(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			got, _ := io.ReadAll(r.Body)
			if string(got) != "k" || r.Header.Get(HeaderCustomer) != "atlas" || r.Header.Get(HeaderKey) != "k" ||
				r.Header.Get(HeaderTask) != "2" || r.Header.Get(HeaderAttempt) != "3" || r.Header.Get(HeaderDeadline) != "1000" {
				status = http.StatusTeapot
			}
			w.Header().Set("Location", "/again")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		status  int
		want    any
	}{
		"success":          {reply(201, "\x00\xff"), 201, nil},
		"failure":          {reply(500, "no"), 500, nil},
		"redirect":         {reply(307, ""), 307, nil},
		"redirect to GET":  {reply(303, ""), 303, nil},
		"largest result":   {reply(200, strings.Repeat("a", MaxResultBytes)), 200, nil},
		"result too large": {reply(200, strings.Repeat("a", MaxResultBytes+1)), 0, new(*ResultTooLargeError)},
		"crash before response": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, 0, new(*ConnectionLostError)},
		"crash during response": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "a")
			panic(http.ErrAbortHandler)
		}, 0, new(*ConnectionLostError)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requests atomic.Int32
				server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					test.handler(w, r)
				})}
				defer func() { _ = server.Close() }()
				c := newTestClient(t, func(l net.Listener) { _ = server.Serve(l) })
				result, err := c.Run(t.Context(), address, newStart("k"))
				if result.Status != test.status || (test.want == nil) != (err == nil) ||
					test.want != nil && !errors.As(err, test.want) {
					t.Errorf("got %d, %v", result.Status, err)
				}
				if n := requests.Load(); n != 1 {
					t.Errorf("%d requests, want 1", n)
				}
			})
		})
	}
}

// Checks that a task that did not reach its backend server is distinguished from one that may have run.
func TestRunWithUnreachableBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, func(l net.Listener) { _ = l.Close() })
		synctest.Wait()
		_, err := c.Run(t.Context(), address, newStart("k"))
		var dial *DialError
		if !errors.As(err, &dial) {
			t.Errorf("got %v, want a DialError", err)
		}
	})
}

// Guards against a transport that sends a task again on a new connection after the old one broke: the task would
// run twice.
func TestTaskIsNotResentOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		c := newTestClient(t, func(l net.Listener) {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				// Responds to the first request of each connection and closes it after the second.
				go func() {
					defer func() { _ = conn.Close() }()
					r := bufio.NewReader(conn)
					for i := range 2 {
						request, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, request.Body)
						received.Add(1)
						if i == 0 {
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						}
					}
				}()
			}
		})
		if _, err := c.Run(t.Context(), address, newStart("first")); err != nil {
			t.Fatal(err)
		}
		_, err := c.Run(t.Context(), address, newStart("second"))
		var lost *ConnectionLostError
		if !errors.As(err, &lost) || received.Load() != 2 {
			t.Errorf("got %v after %d requests, want a ConnectionLostError after 2", err, received.Load())
		}
	})
}

// startServer starts an agent and a backend server. It returns the agent, a client and the server with the
// function that shuts it down.
func startServer(
	t *testing.T, run func(ctx context.Context, t Task) ([]byte, error),
) (*fakeAgent, *Client, *Server, func()) {
	t.Helper()
	network, agent := memnet.New(), newFakeAgent()
	listener, err := network.Host("agent").Listen("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	closeAgent := Serve(listener, agent, func(event.Number, string, int) {}, metrics.NewRegistry())
	host := network.Host("backend")
	s, cleanUp, err := NewServer(ServerSettings{
		ID: "b", Pool: "p", Agent: "127.0.0.1:1", Slots: 8, Connections: 64, Run: run,
		ListenFunc: host.Listen, Dial: host.Dial,
	})
	if err != nil {
		t.Fatal(err)
	}
	client, closeClient := NewClient(64, network.Host("agent").Dial)
	t.Cleanup(func() {
		closeClient()
		closeAgent()
		synctest.Wait()
	})
	return agent, client, s, cleanUp
}

// Guards against a cancelled task that frees its slot before it has ended: the next task would run at the same time.
func TestRunReturnsWhenCancelledTaskEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cleanUpTime = 3 * time.Second
		_, c, s, stop := startServer(t, func(ctx context.Context, _ Task) ([]byte, error) {
			<-ctx.Done()
			time.Sleep(cleanUpTime)
			return nil, ctx.Err()
		})
		defer stop()
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			if err := c.Cancel(t.Context(), s.Address(), newStart("k").Attempt); err != nil {
				t.Error(err)
			}
		}()
		result, err := c.Run(t.Context(), s.Address(), newStart("k"))
		if took := time.Since(start); err != nil || result.Status != StatusCancelled || took != time.Second+cleanUpTime {
			t.Errorf("got %d, %v after %v", result.Status, err, took)
		}
	})
}

// Checks that a shutdown interrupts no task, and sends the leave notice before it waits for the tasks.
func TestGracefulShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent, c, s, stop := startServer(t, func(ctx context.Context, t Task) ([]byte, error) {
			time.Sleep(10 * time.Second)
			return t.Body, ctx.Err()
		})
		go func() {
			time.Sleep(5500 * time.Millisecond)
			stop()
		}()
		go func() {
			time.Sleep(5600 * time.Millisecond)
			agent.mu.Lock()
			defer agent.mu.Unlock()
			if agent.announcements != 6 || len(agent.leaveNotices) != 1 {
				t.Errorf("got %d announcements and leave notices of %v", agent.announcements, agent.leaveNotices)
			}
		}()
		result, err := c.Run(t.Context(), s.Address(), newStart("k"))
		if err != nil || result.Status != 200 || string(result.Body) != "k" {
			t.Errorf("got %+v, %v", result, err)
		}
		time.Sleep(time.Minute)
		if agent.announcements != 6 {
			t.Errorf("%d announcements after the leave notice", agent.announcements-6)
		}
	})
}
