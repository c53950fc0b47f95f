package main

import (
	"context"
	"encoding/json"
	"errors"
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

	"dogwoodglade/core/resource"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
	"dogwoodglade/platform/standin"
)

// Ports of the site. They are the same on all hosts, as on the platform.
const (
	frontPort   = 8161
	appPort     = 8165
	controlPort = 8166
	readyPort   = 8167
	innerPort   = 7720
	storePort   = 8169
	lockPort    = 8170
)

// Groups of loopback addresses, used as the third octet.
const (
	frontGroup = 1
	sideGroup  = 2
	otherGroup = 3
)

// Bounds of the deployment in the site file, which the settings and the checks use.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	cancelBound = 3 * time.Second
	recovery    = 12 * time.Second
	resend      = 1300 * time.Millisecond
)

const (
	poolName = "workers"
	hostName = "clients.example"
	cores    = 32
)

// errSetup reports that the case could not be run.
var errSetup = errors.New("the case could not be run")

// testSite is a small deployment: the real programs as processes, and stand-ins for the platform.
type testSite struct {
	octet     int
	directory string
	store     *standin.Store
	storeAddr string // where the programs reach the store
	replaces  bool   // fronts beyond the third replace the one of the first zone
	started   time.Time
	record    *os.File
	lock      net.Listener

	mu          sync.Mutex
	processes   []*process
	cleanUps    []func()
	starts      []standin.Run
	backends    map[int]*standin.Backend // by the number of the side
	announceVia string                   // where backend servers announce themselves, if not at the agent's address
	unguarded   bool                     // the backend servers start whatever they are told to start
	onStart     func(standin.Run)        // may be nil
	onEnd       func(standin.Run)        // may be nil
}

func newSite(recordPath string) (*testSite, error) {
	s := &testSite{started: time.Now(), backends: map[int]*standin.Backend{}}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s.record = f
	if s.directory, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for octet := 30; octet < 250; octet++ {
		if s.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, lockPort)); err == nil {
			s.octet = octet
			break
		}
	}
	if s.octet == 0 {
		return nil, fmt.Errorf("%w: no free loopback addresses", errSetup)
	}
	s.storeAddr = s.address(otherGroup, 1, storePort)
	store, stop, err := standin.NewStore(s.storeAddr, 1)
	if err != nil {
		return nil, err
	}
	s.store = store
	s.cleanUps = append(s.cleanUps, stop)
	return s, nil
}

// close ends all processes and stand-ins.
func (s *testSite) close() {
	for _, p := range s.processes {
		p.kill()
	}
	for _, f := range s.cleanUps {
		f()
	}
	if s.lock != nil {
		_ = s.lock.Close()
	}
	if target := os.Getenv("TRACE"); target != "" {
		// The logs of the programs are evidence of the cause. No verdict depends on them.
		_ = os.CopyFS(target, os.DirFS(s.directory))
	}
	_ = os.RemoveAll(s.directory)
	_ = s.record.Close()
}

func (s *testSite) host(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, group, number)
}

func (s *testSite) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.host(group, number), port)
}

// log writes a line to the record, with the seconds since the site began.
func (s *testSite) log(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
}

func (s *testSite) since(t time.Time) float64 { return t.Sub(s.started).Seconds() }

// process is one process of the project.
type process struct {
	name string
	role string
	file string // settings
	s    *testSite

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

const settingsText = `node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = true
loss_counts = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
app = %q
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = %.2f
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_stretch_ms = 5000
recovery_s = 12
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
resend_ms = 1300
[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 6.0
partition_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
`

// zoneOf returns the zone of a machine: the numbers go round the zones.
func zoneOf(number int) string { return "zone-" + string("abc"[(number-1)%3]) }

// frontZone returns the zone of a front. Those beyond the first three replace earlier ones in the first zone.
func (s *testSite) frontZone(number int) string {
	if number > 3 && s.replaces {
		return "zone-a"
	}
	return zoneOf(number)
}

// addFront starts an entry on a front machine. Its number selects its address.
func (s *testSite) addFront(number int, seeds []int) (*process, error) {
	p := &process{name: fmt.Sprintf("front-%s-%d", s.frontZone(number), number), role: "entry", s: s}
	return p, s.add(p, func(seedList string) string {
		return fmt.Sprintf(settingsText, p.name, "entry", "front", "front", s.host(frontGroup, number), s.frontZone(number), innerPort, innerPort+15,
			seedList, "", s.address(frontGroup, number, frontPort), s.address(frontGroup, number, readyPort), "", 0.4, 284,
			s.storeAddr)
	}, seeds)
}

// addSide starts an agent and the backend server beside it.
func (s *testSite) addSide(number int, seeds []int) (*process, error) {
	p := &process{name: fmt.Sprintf("side-%s-%d", zoneOf(number), number), role: "agent", s: s}
	announceAddress := s.address(sideGroup, number, controlPort)
	if s.announceVia != "" {
		announceAddress = s.announceVia
	}
	b, stop, err := standin.NewBackend(standin.BackendOptions{
		Name: p.name, Pool: poolName, Address: s.address(sideGroup, number, appPort),
		AnnounceAddress: announceAddress,
		Capacity:        resource.Amount{Processor: cores * 1000, Memory: 65536}, Labels: []string{"a", "r1-1"},
		ClockRate: 1, EnforcesCapacity: !s.unguarded, Seed: uint64(number),
		Events: standin.BackendEvents{
			RunStarted: func(r standin.Run) {
				s.log("server %s starts task %s run %d", r.Backend, r.Task, r.Number)
				s.mu.Lock()
				s.starts = append(s.starts, r)
				s.mu.Unlock()
				if s.onStart != nil {
					s.onStart(r)
				}
			},
			RunEnded: func(r standin.Run, how string) {
				s.log("server %s: task %s run %d ends: %s", r.Backend, r.Task, r.Number, how)
				if s.onEnd != nil {
					s.onEnd(r)
				}
			},
			Listening:         func(bool) {},
			LeaveAcknowledged: func(string, int64, time.Time) {},
		},
	})
	if err != nil {
		return nil, err
	}
	s.backends[number] = b
	s.cleanUps = append(s.cleanUps, stop)
	return p, s.add(p, func(seedList string) string {
		return fmt.Sprintf(settingsText, p.name, "agent", "side", "side", s.host(sideGroup, number), zoneOf(number), innerPort, innerPort+15,
			seedList, s.address(sideGroup, number, appPort), "", "", s.address(sideGroup, number, controlPort), 0.24, 152,
			s.storeAddr)
	}, seeds)
}

func (s *testSite) add(p *process, text func(seedList string) string, seeds []int) error {
	p.file = filepath.Join(s.directory, p.name+".toml")
	if err := p.writeSettings(text, seeds); err != nil {
		return err
	}
	s.processes = append(s.processes, p)
	return p.start()
}

func (p *process) writeSettings(text func(seedList string) string, seeds []int) error {
	var list []string
	for _, n := range seeds {
		list = append(list, fmt.Sprintf("%q", p.s.address(frontGroup, n, controlPort)))
	}
	return os.WriteFile(p.file, []byte(text(strings.Join(list, ","))), 0o600)
}

// setSeeds replaces the seeds in the settings, as the platform does when machines have changed.
func (p *process) setSeeds(seeds []int) error {
	data, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seeds = ") {
			var list []string
			for _, n := range seeds {
				list = append(list, fmt.Sprintf("%q", p.s.address(frontGroup, n, controlPort)))
			}
			lines[i] = "seeds = [" + strings.Join(list, ",") + "]"
		}
	}
	return os.WriteFile(p.file, []byte(strings.Join(lines, "\n")), 0o600)
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.s.directory, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/dogwoodglade", "fleet", p.role)
	cmd.Env = append(os.Environ(), "DOGWOODGLADE_SETTINGS="+p.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.done)
	return nil
}

func (p *process) signal(x syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(x)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.cmd = nil
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

// configure writes a version of the configuration as the operator does. The return of the call is the acknowledgement.
func (s *testSite) configure(version uint64, prefixes ...string) (ackedAt time.Time, err error) {
	c := site.Configuration{Version: version}
	c.Limits.BodyBytes = 1 << 18
	for _, prefix := range prefixes {
		r := site.Route{
			Route: route.New(prefix, poolName), Host: hostName, PathPrefix: "/" + prefix + "/", Stretch: 1.6,
			Target: 60 * time.Millisecond,
		}
		r.Attempts, r.Deadline = 2, 10*time.Second
		c.Routes = append(c.Routes, r)
	}
	c.Pools = append(c.Pools, poolOf())
	if err := s.store.Configure(c); err != nil {
		return time.Time{}, err
	}
	ackedAt = time.Now()
	s.log("operator: version %d acknowledged, with routes %s", version, strings.Join(prefixes, ", "))
	return ackedAt, nil
}

// client sends requests on connections of its own.
type client struct {
	s    *testSite
	http *http.Client
}

func (s *testSite) newClient() *client {
	return &client{s: s, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request to a front and returns the status, or 0 if there was no complete response.
func (c *client) send(ctx context.Context, method string, front int, path, body string, deadline time.Duration) (status int, answer string) {
	target := "http://" + c.s.address(frontGroup, front, frontPort) + path
	r, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.GetBody = nil
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Header.Set("X-Dogwoodglade-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.http.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// jobBody is a job with a sequence of steps of the given number of tasks, each of which takes the given time.
func jobBody(steps, count, cpu int, runTime time.Duration) string {
	type step struct {
		Count      int   `json:"count"`
		CPU        int   `json:"cpu"`
		MemMB      int   `json:"mem_mb"`
		EstimateMS int64 `json:"estimate_ms"`
		After      []int `json:"after,omitempty"`
	}
	b := struct {
		Spec       string `json:"spec"`
		BestEffort bool   `json:"best_effort"`
		Steps      []step `json:"steps"`
	}{Spec: standin.Workload{RunTime: runTime, Processor: cpu}.Encode(), BestEffort: true}
	for i := range steps {
		x := step{Count: count, CPU: cpu, MemMB: 64, EstimateMS: runTime.Milliseconds()}
		if i > 0 {
			x.After = []int{i - 1}
		}
		b.Steps = append(b.Steps, x)
	}
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// ready asks a front at its readiness address, as the platform does.
func (s *testSite) ready(front int) bool {
	c := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + s.address(frontGroup, front, readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all fronts are ready.
func (s *testSite) awaitReady(limit time.Duration, fronts ...int) error {
	end := time.Now().Add(limit)
	for _, f := range fronts {
		for !s.ready(f) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: front %d is not ready", errSetup, f)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// trouble reports whether the disruption is to be made.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
