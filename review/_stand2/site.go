package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	configuration "dogwoodglade/core/site"
	"dogwoodglade/platform/standin"
)

// Ports; as on the platform, they are the same on all machines.
const (
	frontPort   = 8161
	appPort     = 8165
	controlPort = 8166
	readyPort   = 8167
	innerPort   = 7720
	storePort   = 8169
	lockPort    = 7001
)

// Third octets of the loopback addresses of the site.
const (
	frontHosts = 1
	sideHosts  = 2
	storeHost  = 3
)

const (
	program = "target/dogwoodglade"
	queue   = "/jobs/"
	host    = "clients.example"
	service = "tidtaking"
)

// Bounds of the small deployments (SYSTEM.md).
const (
	contact = 3 * time.Second
)

// job limits of the route, far above what the cases need.
const routeTimeout = time.Minute

// site is a site of real processes on loopback.
type site struct {
	record    *record
	trouble   bool // whether the disruption is played
	octet     int
	lock      net.Listener
	directory string
	store     *standin.Store
	closers   []func()
	processes []*process
}

func newSite(r *record, trouble bool) (*site, error) {
	s := &site{record: r, trouble: trouble}
	for octet := 20; octet < 250 && s.lock == nil; octet++ {
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, lockPort)); err == nil {
			s.octet, s.lock = octet, lock
		}
	}
	if s.lock == nil {
		return nil, fmt.Errorf("no free range of loopback addresses")
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s.directory = directory
	store, closeStore, err := standin.NewStore(s.address(storeHost, 1, storePort), 1)
	if err != nil {
		return nil, err
	}
	s.store = store
	s.closers = append(s.closers, closeStore)
	return s, s.configure()
}

// configure writes the first configuration, before any process starts.
func (s *site) configure() error {
	r := clientRoute(queue)
	c := configuration.Configuration{Version: 3, Pools: []pool.Pool{pool.New(service)}, Routes: []configuration.Route{r}}
	c.Limits.BodyBytes = 262144
	return s.store.Configure(c)
}

func clientRoute(prefix string) configuration.Route {
	r := configuration.Route{
		Route: route.New("board-push", service), Host: host, PathPrefix: prefix, Priority: 1, Stretch: 1.6,
		Target: 60 * time.Millisecond,
	}
	r.Attempts, r.Deadline = 2, routeTimeout
	return r
}

func (s *site) close() {
	for _, p := range s.processes {
		p.kill()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
	_ = s.lock.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.directory)
		return
	}
	_ = os.RemoveAll(s.directory)
}

func (s *site) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, group, number)
}

func (s *site) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(group, number), port)
}

func (s *site) front(number int) string { return s.address(frontHosts, number, frontPort) }

var zones = []string{"vestland-a", "vestland-b", "vestland-c"}

// startFront starts the entry of a front machine.
func (s *site) startFront(number int) (*process, error) {
	name := fmt.Sprintf("front-%s-1", zones[number-1])
	listen := fmt.Sprintf("front = %q\nready = %q\ncontrol = %q\n", s.front(number),
		s.address(frontHosts, number, readyPort), s.address(frontHosts, number, controlPort))
	return s.start(name, "entry", number-1, s.ip(frontHosts, number), "", listen, 0.4, 284, `"front","control"`, "front")
}

// startSide starts the agent of a side machine.
func (s *site) startSide(number, zone int) (*process, error) {
	name := fmt.Sprintf("side-%s-%d", zones[zone], number)
	return s.start(name, "agent", zone, s.ip(sideHosts, number), s.address(sideHosts, number, appPort),
		fmt.Sprintf("control = %q\n", s.address(sideHosts, number, controlPort)), 0.24, 152, `"side"`, "side")
}

func (s *site) start(
	name, role string, zone int, ip, app, listen string, share float64, memory int, serves, class string,
) (*process, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%s]\nip = %q\nzone = %q\n", name, role, class,
		serves, ip, zones[zone])
	fmt.Fprintf(&b, "region = \"vestland\"\ninternal_ports = [%d,%d]\nseeds = [%q,%q]\nbootstrap = true\n", innerPort,
		innerPort+15, s.address(frontHosts, 1, controlPort), s.address(frontHosts, 2, controlPort))
	fmt.Fprintf(&b, "discovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = %d\norders = \"call\"\n", beat.Milliseconds())
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n")
	if app != "" {
		fmt.Fprintf(&b, "app = %q\n", app)
	}
	fmt.Fprintf(&b, "[zones]\nvestland-a = \"vestland\"\nvestland-b = \"vestland\"\nvestland-c = \"vestland\"\n[listen]\n%s",
		listen)
	fmt.Fprintf(&b, "[limits]\ncpu_share = %g\ncores = 1\nmemory_mb = %d\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 0\n",
		share, memory)
	fmt.Fprintf(&b, "[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\nconfig_apply_ms = 2000\n")
	fmt.Fprintf(&b, "hold_max_ms = 1000\nstop_ms = 50\ncancel_ms = 3000\nvisible_ms = 3000\nresend_ms = 1300\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\n",
		s.address(storeHost, 1, storePort))
	settings := filepath.Join(s.directory, name+".toml")
	if err := os.WriteFile(settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, settings: settings, role: role, log: filepath.Join(s.directory, name+".log")}
	s.processes = append(s.processes, p)
	s.record.add("%s: started (%s)", name, ip)
	return p, p.start()
}

// process is a process of the site. Only processes that were started here are signalled.
type process struct {
	name, role, settings, log string
	cmd                       *exec.Cmd
	done                      chan struct{}
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "fleet", p.role)
	cmd.Env = append(os.Environ(), "DOGWOODGLADE_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	if p.cmd != nil && p.done != nil {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}
