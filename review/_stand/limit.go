package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"sync"
	"time"

	"dogwoodglade/core/resource"
)

const (
	// writeDelay is by how much the store carries out a write late. The site file's kinds say 1 to 6 s.
	writeDelay = 5 * time.Second
	// beat is heartbeat_ms. Writes may be lost for 2 of them, within the for_s = 4.5 of the site file's platform_lost.
	beat    = 1500 * time.Millisecond
	taskCPU = 3100
)

// lateStore stands before the store. While it is armed, it carries out the next write late and does not answer it.
type lateStore struct {
	s     *testSite
	proxy *httputil.ReverseProxy
	http  *http.Client
	base  string

	mu    sync.Mutex
	armed bool
	late  int
}

func newLateStore(s *testSite, address, target string) (*lateStore, error) {
	base := &url.URL{Scheme: "http", Host: target}
	l := &lateStore{s: s, proxy: httputil.NewSingleHostReverseProxy(base), http: &http.Client{}, base: base.String()}
	l.proxy.ErrorLog = log.New(io.Discard, "", 0)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: l}
	go func() { _ = server.Serve(listener) }()
	s.cleanUps = append(s.cleanUps, func() { _ = server.Close() })
	return l, nil
}

// ServeHTTP implements http.Handler.
func (l *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		l.proxy.ServeHTTP(w, r)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.mu.Lock()
	late := l.armed
	if late {
		l.armed = false
		l.late++
	}
	l.mu.Unlock()
	if !late {
		l.s.log("store: write %s", data)
		r.Body = io.NopCloser(bytes.NewReader(data))
		l.proxy.ServeHTTP(w, r)
		return
	}
	l.s.log("store: write without an answer, carried out %v later: %s", writeDelay, data)
	path := r.URL.Path
	time.AfterFunc(writeDelay, func() {
		response, err := l.http.Post(l.base+path, "application/json", bytes.NewReader(data))
		if err == nil {
			_ = response.Body.Close()
		}
		l.s.log("store: the late write was carried out")
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (l *lateStore) setArmed(armed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = armed
}

// room is what a backend server that does not guard its capacity sees of it.
type room struct {
	mu        sync.Mutex
	used      int // thousandths of a core, with what is being stopped
	limit     int
	countedAt time.Time // when the limit counts
	over      []string
}

// playLimit shrinks a backend server while one write of its agent to the store is carried out late, and restarts the
// agent some seconds after that. With TROUBLE=kill, the write is not late, to show what the restart alone does.
func playLimit(s *testSite) (broken bool, err error) {
	fronts := []int{1, 2, 3}
	store := s.storeAddr
	s.storeAddr = s.address(otherGroup, 2, storePort)
	l, err := newLateStore(s, s.storeAddr, store)
	if err != nil {
		return false, err
	}
	if _, err := s.configure(1, "jobs"); err != nil {
		return false, err
	}
	for _, f := range fronts {
		if _, err := s.addFront(f, fronts); err != nil {
			return false, err
		}
	}
	x := &room{limit: cores * 1000}
	s.watchRoom(x)
	agent, err := s.addSide(1, fronts)
	if err != nil {
		return false, err
	}
	server := s.backends[1]
	setRoom := func(cpu int) {
		x.mu.Lock()
		if cpu < x.limit {
			x.countedAt = time.Now().Add(contact + beat)
		}
		x.limit = cpu
		x.mu.Unlock()
		server.SetCapacity(resource.Amount{Processor: cpu, Memory: 65536})
		s.log("server: its capacity is %d", cpu)
	}
	if err := s.awaitReady(10*time.Second, fronts...); err != nil {
		return false, err
	}
	ctx, end := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() { s.press(ctx, fronts) })
	defer load.Wait()
	defer end()
	time.Sleep(contact + 2*time.Second)

	lateWrite := trouble() && os.Getenv("TROUBLE") != "kill"
	if lateWrite {
		l.setArmed(true)
	}
	setRoom(30_000)
	time.Sleep(2 * beat)
	l.setArmed(false) // later writes are answered
	setRoom(8_000)
	time.Sleep(writeDelay + contact + 2*beat)
	if trouble() {
		if lateWrite && l.late == 0 {
			return false, fmt.Errorf("%w: the agent did not write", errSetup)
		}
		agent.kill()
		s.log("the agent is killed")
		time.Sleep(300 * time.Millisecond)
		if err := agent.start(); err != nil {
			return false, err
		}
		s.log("the agent is started again")
	}
	time.Sleep(6 * time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	s.log("LIMIT: %d starts brought the server over its capacity: %v", len(x.over), x.over)
	return len(x.over) > 0, nil
}

// press sends more jobs than the server has room for, and keeps to what it is told when it is refused.
func (s *testSite) press(ctx context.Context, fronts []int) {
	c := s.newClient()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", 0x1000+n)
		front := fronts[n%len(fronts)]
		open.Go(func() {
			sending, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			status, _ := c.send(sending, http.MethodPost, front, "/jobs/"+id, jobBody(1, 2, taskCPU, 400*time.Millisecond), 3*time.Second)
			s.log("client: POST %s to front %d is answered %d", id, front, status)
		})
		time.Sleep(60 * time.Millisecond)
	}
}
