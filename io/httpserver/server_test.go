package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/internal/memnet"
	"dogwoodglade/io/httpserver"
)

// newServer starts a server whose handler echoes bodies of at most 64 KiB. Requests of /wait last until the client leaves.
func newServer(t *testing.T, connections int, bodyBytes int64, timeout time.Duration) (address string) {
	t.Helper()
	listener, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	report := func(event.Number, string, int) {}
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-r.Context().Done()
			return
		}
		if r.Method != http.MethodPost {
			_, _ = io.WriteString(w, "no body")
			return
		}
		data, release, err := httpserver.ReadBody(r, 64<<10, timeout)
		defer release()
		if err != nil {
			httpserver.WriteError(w, err)
			return
		}
		_, _ = w.Write(data)
	})
	_, cleanUp := httpserver.New(listener, httpserver.Options{
		Name: "Test", Handler: echo, MaxConnections: connections,
		Bodies: httpserver.NewBodies(bodyBytes, report, registry), Report: report, Metrics: registry,
	})
	t.Cleanup(cleanUp)
	return listener.Addr().String()
}

// send sends text on a new connection, which stays open until the end of the test.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	// The server may close the connection at any time.
	_, _ = io.WriteString(c, text)
	return c
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// readResponse returns the status of the next response, whether the server closes the connection after it, and its body.
func readResponse(t *testing.T, c net.Conn) (status int, closes bool, body string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, r.Close, string(data)
}

// Guards against bodies that are cut or mixed up where a buffer grows, and against a connection that is closed after an
// ordinary request.
func TestBodiesArriveWhole(t *testing.T) {
	address := newServer(t, 10, 1<<20, time.Minute)
	c := send(t, address, "")
	chunked := func(body string, chunk int) string {
		var b strings.Builder
		b.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(chunk, len(body))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return b.String() + "0\r\n\r\n"
	}
	for _, size := range []int{1, 8191, 8192, 8193, 40000, 65535, 65536} {
		body := strings.Repeat("0123456789abcde", size/15+1)[:size]
		for _, request := range []string{post(size, body), chunked(body, 100), chunked(body, 1<<20)} {
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			if status, closes, echoed := readResponse(t, c); status != http.StatusOK || closes || echoed != body {
				t.Fatalf("body of %d bytes: status %d, closes %v, %d bytes equal: %v", size, status, closes, len(echoed), echoed == body)
			}
		}
	}
}

// Guards against responses that wait for the rest of a body: refused bodies, and those that a handler does not read.
func TestResponseDoesNotWaitForBody(t *testing.T) {
	const tooMany = 64<<10 + 1
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"TooLarge":        {post(tooMany, "x"), http.StatusRequestEntityTooLarge},
		"TooLargeChunked": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", tooMany), http.StatusRequestEntityTooLarge},
		"Slow":            {post(10, "x"), http.StatusRequestTimeout},
		"SlowTrailer":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nTrai", http.StatusRequestTimeout},
		"Unread":          {strings.Replace(post(10, "x"), "POST", "GET", 1), http.StatusOK},
	} {
		address := newServer(t, 10, 1<<20, 50*time.Millisecond)
		if status, closes, _ := readResponse(t, send(t, address, c.text)); status != c.status || !closes {
			t.Errorf("%s: status %d, closes %v, want %d and true", name, status, closes, c.status)
		}
	}
}

// Guards against a stalled body that keeps the memory of others, and that is not told to its client as not run.
func TestStalledBodyIsRefused(t *testing.T) {
	address := newServer(t, 10, 64<<10, time.Minute)
	stalled := send(t, address, post(30<<10, strings.Repeat("x", 30<<10-1)))
	time.Sleep(20 * time.Millisecond) // an older body is refused first; any order would do for this test
	if status, _, _ := readResponse(t, send(t, address, post(30<<10, strings.Repeat("y", 30<<10)))); status != http.StatusOK {
		t.Errorf("status %d for the whole body, want 200", status)
	}
	if status, closes, _ := readResponse(t, stalled); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("status %d, closes %v for the stalled body, want 503 and true", status, closes)
	}
}

// Guards against clients that take all connections of a listener with unfinished requests.
func TestUnfinishedRequestsMakeRoom(t *testing.T) {
	address := newServer(t, 4, 1<<20, time.Minute)
	for range 4 {
		send(t, address, post(10, "x"))
	}
	for range 4 {
		send(t, address, "POST / HT")
	}
	if status, _, body := readResponse(t, send(t, address, post(1, "x"))); status != http.StatusOK || body != "x" {
		t.Errorf("status %d, body %q", status, body)
	}
}

// Guards against clients that take all connections of a listener by not reading their responses.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	address := newServer(t, 4, 1<<20, time.Minute)
	pipelined := strings.Repeat(post(32<<10, strings.Repeat("x", 32<<10)), 300)
	for range 4 {
		c := send(t, address, "")
		go func() { _, _ = io.WriteString(c, pipelined) }() // ends when the connection is closed
	}
	// All clients are blocked by then. Their writes time out after 10 s; a response counts as stalled after 1 s.
	time.Sleep(2 * time.Second)
	var err error
	for limit := time.Now().Add(4 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		if err = get(address); err == nil {
			return
		}
	}
	t.Errorf("no response beside clients that do not read: %v", err)
}

func get(address string) error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	r, err := client.Get("http://" + address)
	if err != nil {
		return err
	}
	return r.Body.Close()
}

// Guards against requests that hold all connections, so that further clients get no response.
func TestHeldConnectionsLeaveRoomForRefusals(t *testing.T) {
	const connections = 32
	address := newServer(t, connections, 1<<20, time.Minute)
	for range connections {
		send(t, address, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	time.Sleep(500 * time.Millisecond) // until the requests have arrived
	for _, request := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", post(1, "x")} {
		response, err := http.ReadResponse(bufio.NewReader(send(t, address, request)), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q, want 503 with a time", response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
}

// Guards against a body refused in its trailer whose client is not told that it may send the request again.
func TestStalledTrailerIsRefused(t *testing.T) {
	address := newServer(t, 10, 64<<10, time.Minute)
	stalled := send(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nTrai",
		30<<10, strings.Repeat("x", 30<<10)))
	time.Sleep(20 * time.Millisecond) // until it has arrived
	if status, _, _ := readResponse(t, send(t, address, post(30<<10, strings.Repeat("y", 30<<10)))); status != http.StatusOK {
		t.Errorf("status %d for the whole body, want 200", status)
	}
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 with a time", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// Guards against a connection that is reset after a refusal: a client that is still sending would take it for a broken
// connection, and lose the time to wait.
func TestRefusalReachesSendingClient(t *testing.T) {
	address := newServer(t, 8, 16<<10, 0)
	const piece = 16 << 10
	for name, test := range map[string]struct{ length, want int }{
		"too large": {200 << 10, http.StatusRequestEntityTooLarge}, "no memory": {60 << 10, http.StatusServiceUnavailable},
	} {
		tooSlow := 0
		for done := 0; done < 10; {
			c := send(t, address, post(test.length, strings.Repeat("a", 2*piece)))
			r := bufio.NewReader(c)
			if _, err := r.Peek(1); err != nil {
				t.Fatal(err)
			}
			refused := time.Now()
			var sendErr error
			for sent := 2 * piece; sent+piece < test.length && sendErr == nil; sent += piece {
				_, sendErr = io.WriteString(c, strings.Repeat("a", piece))
			}
			if time.Since(refused) > 200*time.Millisecond && tooSlow < 100 {
				// The server stops reading after 500 ms.
				tooSlow++
				continue
			}
			done++
			if sendErr != nil {
				t.Errorf("%s: send after the refusal: %v", name, sendErr)
			}
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.want || !response.Close {
				t.Errorf("%s: got status %d, connection closes: %v; want %d on a connection that closes",
					name, response.StatusCode, response.Close, test.want)
			}
			_ = response.Body.Close()
		}
	}
}

// slowListener accepts a connection some time after it was opened.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(5 * time.Millisecond)
	return c, err
}

// Guards against requests that are reset at a planned stop because their connections had not been accepted yet.
func TestShutdownServesPendingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		listener, err := network.Host("entry").Listen("entry:1")
		if err != nil {
			t.Fatal(err)
		}
		registry, report := metrics.NewRegistry(), func(event.Number, string, int) {}
		server, cleanUp := httpserver.New(slowListener{listener}, httpserver.Options{
			Name: "Test", MaxConnections: 100, Bodies: httpserver.NewBodies(1<<20, report, registry), Report: report,
			Metrics: registry, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		})
		defer cleanUp()
		const count = 6
		served := make(chan bool, count)
		for range count {
			go func() {
				c, err := network.Host("client").Dial(context.Background(), "tcp", "entry:1")
				if err != nil {
					served <- false
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				text, _ := io.ReadAll(c)
				served <- strings.HasSuffix(string(text), "served")
			}()
		}
		synctest.Wait()
		if err := server.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		for range count {
			if !<-served {
				t.Error("a request was not served, whose connection was open before the stop")
			}
		}
	})
}
