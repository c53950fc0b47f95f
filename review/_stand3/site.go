package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
	"dogwoodglade/platform/standin"
)

// Ports of the site. They are the same on all hosts, as on the platform; each host has a loopback address of its own.
const (
	callerPort   = 8161
	backendPort  = 8165
	announcePort = 8166
	readyPort    = 8167
	innerPort    = 7060
	storePort    = 7000
	lockPort     = 7001
)

// Groups of loopback addresses: the third octet.
const (
	entryHosts = 1 + iota
	agentHosts
	backendHosts
	storeHosts
)

// Bounds of the small deployments (SYSTEM.md).
const (
	cancelBound = 3 * time.Second
	poolName    = "desk"
	zones       = 3
)

var jobRoute = func() site.Route {
	r := site.Route{Route: route.New("jobs", poolName), Host: "desk.example", PathPrefix: "/jobs/", Stretch: 1.6}
	r.Attempts, r.Deadline, r.Target = 2, 20*time.Second, 100*time.Millisecond
	return r
}()

// testSite is a site of the deploy file's programs on loopback addresses, with stand-ins of the platform.
type testSite struct {
	program, directory string
	octet              int
	record             *recorder
	store              *standin.Store
	backends           map[string]*standin.Backend
	processes          map[string]*process
	cleanUps           []func()

	mu   sync.Mutex
	runs []run
}

// run is a run of a task, as the backend server saw it.
type run struct {
	standin.Run
	endedAt time.Time
	outcome string
}

func (s *testSite) close() {
	for i := len(s.cleanUps) - 1; i >= 0; i-- {
		s.cleanUps[i]()
	}
}

func (s *testSite) host(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, group, number)
}

func (s *testSite) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.host(group, number), port)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// reserve takes a range of loopback addresses that no other site uses. A listener is the lock.
func (s *testSite) reserve() error {
	for octet := 150; octet < 250; octet++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, lockPort))
		if err == nil {
			s.octet = octet
			s.cleanUps = append(s.cleanUps, func() { _ = lock.Close() })
			return nil
		}
	}
	return fmt.Errorf("no free range of loopback addresses")
}

// startStore starts the store, in which the operators have written a configuration.
func (s *testSite) startStore() error {
	store, closeStore, err := standin.NewStore(s.address(storeHosts, 1, storePort), 1)
	if err != nil {
		return err
	}
	s.store = store
	s.cleanUps = append(s.cleanUps, closeStore)
	c := site.Configuration{Version: 3, Pools: []pool.Pool{pool.New(poolName)}, Routes: []site.Route{jobRoute}}
	c.Limits.BodyBytes = 1 << 18
	return store.Configure(c)
}

// entrySettings returns the settings of an entry on a front machine. Others reach it at ip.
func (s *testSite) entrySettings(name, ip string, number int, seeds []string) settings {
	return settings{
		name: name, role: "entry", class: "front", zone: zoneOf(number), ip: ip, seeds: seeds,
		front: s.address(entryHosts, number, callerPort), ready: s.address(entryHosts, number, readyPort),
		control: s.address(entryHosts, number, announcePort), store: s.address(storeHosts, 1, storePort),
		cpuShare: 0.4, memoryMB: 284, maxFDs: 4100,
	}
}

// addAgent starts a backend server and the agent beside it.
func (s *testSite) addAgent(i int, seeds []string) error {
	name := fmt.Sprintf("agent-%d", i)
	b, closeBackend, err := standin.NewBackend(standin.BackendOptions{
		Name: name, Pool: poolName, Address: s.address(backendHosts, i, backendPort),
		AnnounceAddress: s.address(agentHosts, i, announcePort), Capacity: resource.Amount{Processor: 16000, Memory: 65536},
		Labels: []string{"a", "r1-1"}, ClockRate: 1, EnforcesCapacity: true, Seed: uint64(i),
		Events: standin.BackendEvents{
			RunStarted:        s.runStarted,
			RunEnded:          s.runEnded,
			Listening:         func(bool) {},
			LeaveAcknowledged: func(string, int64, time.Time) {},
		},
	})
	if err != nil {
		return err
	}
	s.backends[name] = b
	s.cleanUps = append(s.cleanUps, closeBackend)
	return s.run(settings{
		name: name, role: "agent", class: "side", zone: zoneOf(i), ip: s.host(agentHosts, i), seeds: seeds,
		app: s.address(backendHosts, i, backendPort), control: s.address(agentHosts, i, announcePort),
		store: s.address(storeHosts, 1, storePort), cpuShare: 0.24, memoryMB: 152, maxFDs: 4096,
	}, "fleet", "agent")
}

// process is a program of the deploy file that the case has started.
type process struct {
	settings  settings
	arguments []string
	cmd       *exec.Cmd
}

// run starts a program of the deploy file.
func (s *testSite) run(x settings, arguments ...string) error {
	if err := x.save(filepath.Join(s.directory, x.name+".toml")); err != nil {
		return err
	}
	p := &process{settings: x, arguments: arguments}
	s.processes[x.name] = p
	s.cleanUps = append(s.cleanUps, func() { s.kill(p) })
	return s.startProcess(p)
}

func (s *testSite) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.directory, p.settings.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.program, p.arguments...)
	cmd.Env = append(os.Environ(), "DOGWOODGLADE_SETTINGS="+filepath.Join(s.directory, p.settings.name+".toml"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// kill ends a process that the case has started, if it runs.
func (s *testSite) kill(p *process) {
	if p.cmd != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

func (s *testSite) runStarted(r standin.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{Run: r})
	s.record.add("%s starts %s.0.%d.%d run %d", r.Backend, r.Task.Job, r.Task.Step, r.Task.Index, r.Number)
}

func (s *testSite) runEnded(r standin.Run, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.runs {
		if x := &s.runs[i]; x.Task == r.Task && x.Number == r.Number && x.Backend == r.Backend && x.Incarnation == r.Incarnation && x.outcome == "" {
			x.endedAt, x.outcome = r.At, outcome
		}
	}
	s.record.add("%s ends %s.0.%d.%d run %d: %s", r.Backend, r.Task.Job, r.Task.Step, r.Task.Index, r.Number, outcome)
}

func (s *testSite) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// request sends one request of a client to an entry and waits for the answer.
func (s *testSite) request(entry int, method, id, body string, deadline time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.address(entryHosts, entry, callerPort)+jobRoute.PathPrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = jobRoute.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Dogwoodglade-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// ready asks an entry at its ready address.
func (s *testSite) ready(entry int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.address(entryHosts, entry, readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// recorder writes what was sent, answered and run to record.txt at the end: a write to the disk would hold up the stand-ins.
type recorder struct {
	mu      sync.Mutex
	begin   time.Time
	written bytes.Buffer
	path    string
}

func (r *recorder) add(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written.WriteString(line)
}

// save writes the record and returns it.
func (r *recorder) save() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.TrimSpace(r.written.String()), os.WriteFile(r.path, r.written.Bytes(), 0o644)
}
