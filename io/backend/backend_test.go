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

	"dogwoodglade/core/event"
	"dogwoodglade/core/executor"
	"dogwoodglade/core/task"
	"dogwoodglade/internal/memnet"
)

// fakeAgent keeps announcements as the agent does.
type fakeAgent struct {
	mu       sync.Mutex
	executor *executor.Executor
	heard    int
	left     []string
}

func newFakeAgent() *fakeAgent {
	return &fakeAgent{executor: executor.New("agent", func(event.Event) {})}
}

func (f *fakeAgent) Announce(a executor.Announcement) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard++
	_, err := f.executor.Announce(time.Now(), a)
	return err
}

func (f *fakeAgent) Leave(id, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = append(f.left, id)
}

// An announcement that is misread would send tasks to a wrong address, or more of them than there are slots.
func TestAnnouncements(t *testing.T) {
	const good = `{"ID":"b","Pool":"p","Address":"127.0.0.1:9","Slots":8,"Connections":64,"Incarnation":"5"}`
	with := func(old, replacement string) string { return strings.Replace(good, old, replacement, 1) }
	for name, test := range map[string]struct {
		path, body string
		status     int
		heard      int
	}{
		"announce":             {PathAnnounce, good, 204, 1},
		"heartbeat":            {PathHeartbeat, good, 204, 1},
		"newer incarnation":    {PathHeartbeat, with(`"5"`, `"10"`), 204, 1},
		"older incarnation":    {PathHeartbeat, with(`"5"`, `"4"`), 409, 1},
		"no incarnation":       {PathAnnounce, with(`"5"`, `""`), 400, 0},
		"bad ID":               {PathAnnounce, with(`"b"`, `"b/c"`), 400, 0},
		"no pool":              {PathAnnounce, with(`"p"`, `""`), 400, 0},
		"host name":            {PathAnnounce, with(`127.0.0.1:9`, `host:9`), 400, 0},
		"no port":              {PathAnnounce, with(`127.0.0.1:9`, `127.0.0.1`), 400, 0},
		"port too large":       {PathAnnounce, with(`127.0.0.1:9`, `127.0.0.1:65536`), 400, 0},
		"no slots":             {PathAnnounce, with(`8`, `0`), 400, 0},
		"too many slots":       {PathAnnounce, with(`8`, `1025`), 400, 0},
		"slots as text":        {PathAnnounce, with(`8`, `"8"`), 400, 0},
		"no connections":       {PathAnnounce, with(`64`, `0`), 400, 0},
		"too many connections": {PathAnnounce, with(`64`, `65537`), 400, 0},
		"unknown field":        {PathAnnounce, with(`"Slots"`, `"Extra":1,"Slots"`), 400, 0},
		"not JSON":             {PathAnnounce, `{`, 400, 0},
		"two values":           {PathAnnounce, good + good, 400, 0},
		"too large":            {PathAnnounce, with(`"b"`, `"`+strings.Repeat("b", maxAnnouncement)+`"`), 413, 0},
		"large trailer":        {PathAnnounce, good + strings.Repeat(" ", maxAnnouncement), 413, 0},
		"leave":                {PathLeave, `{"ID":"b","Incarnation":"5"}`, 204, 0},
		"leave without ID":     {PathLeave, `{"Incarnation":"5"}`, 400, 0},
		"leave without run":    {PathLeave, `{"ID":"b"}`, 400, 0},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent()
			h := Handler(agent)
			send := func(path, body string) *httptest.ResponseRecorder {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
				return w
			}
			send(PathAnnounce, good)
			w := send(test.path, test.body)
			left := test.path == PathLeave && test.status == 204
			if w.Code != test.status || agent.heard != 1+test.heard || left != slices.Equal(agent.left, []string{"b"}) {
				t.Errorf("got %d %s, heard %d, left %v", w.Code, w.Body, agent.heard, agent.left)
			}
		})
	}
}

func startOf(key string) task.Start {
	job := task.JobID{Customer: "atlas", Key: key}
	return task.Start{
		Attempt: task.AttemptID{Task: task.ID{Job: job, Index: 2}, Number: 3}, Body: []byte(key), Deadline: time.Second,
	}
}

const address = "127.0.0.1:7"

// listen serves backend connections with the function and returns a client of them.
func listen(t *testing.T, serve func(net.Listener)) *Client {
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

// An outcome that is reported wrongly loses a result, or has a task run again that may have run.
func TestRunReportsTheOutcome(t *testing.T) {
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
		"success":            {reply(201, "\x00\xff"), 201, nil},
		"failure":            {reply(500, "no"), 500, nil},
		"redirect":           {reply(307, ""), 307, nil},
		"redirect to GET":    {reply(303, ""), 303, nil},
		"largest result":     {reply(200, strings.Repeat("a", MaxResult)), 200, nil},
		"result too large":   {reply(200, strings.Repeat("a", MaxResult+1)), 0, new(*ResultError)},
		"dies before answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, new(*LostError)},
		"dies in its answer": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "a")
			panic(http.ErrAbortHandler)
		}, 0, new(*LostError)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var requests atomic.Int32
				server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					test.handler(w, r)
				})}
				defer func() { _ = server.Close() }()
				c := listen(t, func(l net.Listener) { _ = server.Serve(l) })
				result, err := c.Run(t.Context(), address, startOf("k"))
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

// A task that did not reach its backend server must be told from one that may have run.
func TestRunWithoutBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := listen(t, func(l net.Listener) { _ = l.Close() })
		synctest.Wait()
		_, err := c.Run(t.Context(), address, startOf("k"))
		var dial *DialError
		if !errors.As(err, &dial) {
			t.Errorf("got %v, want a DialError", err)
		}
	})
}

// A task that the transport sends again on a new connection would run twice.
func TestTaskIsNeverSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		c := listen(t, func(l net.Listener) {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				// Answers the first request of each connection, and breaks it in the second.
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
		if _, err := c.Run(t.Context(), address, startOf("first")); err != nil {
			t.Fatal(err)
		}
		_, err := c.Run(t.Context(), address, startOf("second"))
		var lost *LostError
		if !errors.As(err, &lost) || received.Load() != 2 {
			t.Errorf("got %v after %d requests, want a LostError after 2", err, received.Load())
		}
	})
}

// startServer starts a backend server with its agent.
func startServer(t *testing.T, run func(ctx context.Context, t Task) ([]byte, error)) (*fakeAgent, *Client, *Server, func()) {
	t.Helper()
	network, agent := memnet.New(), newFakeAgent()
	listener, err := network.Host("agent").Listen("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	closeAgent := Serve(listener, agent)
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

// A cancelled task that frees its slot before it has ended would run beside its successor.
func TestCancelledTaskHoldsItsRequestUntilItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cleanUpTime = 3 * time.Second
		_, c, s, stop := startServer(t, func(ctx context.Context, _ Task) ([]byte, error) {
			<-ctx.Done()
			time.Sleep(cleanUpTime)
			return nil, ctx.Err()
		})
		defer stop()
		begun := time.Now()
		go func() {
			time.Sleep(time.Second)
			if err := c.Cancel(t.Context(), s.Address(), startOf("k").Attempt); err != nil {
				t.Error(err)
			}
		}()
		result, err := c.Run(t.Context(), s.Address(), startOf("k"))
		if took := time.Since(begun); err != nil || result.Status != StatusCancelled || took != time.Second+cleanUpTime {
			t.Errorf("got %d, %v after %v", result.Status, err, took)
		}
	})
}

// A planned stop must interrupt no task, and say goodbye before it waits for them.
func TestServerLeavesGracefully(t *testing.T) {
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
			if agent.heard != 6 || len(agent.left) != 1 {
				t.Errorf("heard %d announcements and goodbyes of %v", agent.heard, agent.left)
			}
		}()
		result, err := c.Run(t.Context(), s.Address(), startOf("k"))
		if err != nil || result.Status != 200 || string(result.Body) != "k" {
			t.Errorf("got %+v, %v", result, err)
		}
		time.Sleep(time.Minute)
		if agent.heard != 6 {
			t.Errorf("%d announcements after the goodbye", agent.heard-6)
		}
	})
}
