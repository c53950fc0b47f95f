package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
	"dogwoodglade/platform/standin"
)

// storeSubject is the name of the store in the disturbance log.
const storeSubject = "store"

// Ports of the site. As on the platform, they are the same on all hosts.
const (
	callerPort   = 8161
	backendPort  = 8165
	announcePort = 8166
	readyPort    = 8167
	innerPort    = 7060
	storePort    = 7000
	lockPort     = 7001
)

// Groups of loopback addresses, used as the third octet. Each part of the site has its own group, and so have the links
// to it.
const (
	entryHosts = 1 + iota
	entryLinks
	agentHosts
	announceLinks
	backendHosts
	backendLinks
	storeLinks
	storeHosts
)

const (
	backendCores = 16
	memoryMB     = 152
	// enforcingShare is the share of the backend servers that reject runs beyond their capacity. The others start them,
	// and the checker reports a violation.
	enforcingShare = 0.5
	// maxClockDrift is the largest relative deviation of a backend server's clock rate, in either direction.
	maxClockDrift = 0.02
	// leaveDelay is how long a backend server continues after it begins to announce that it is leaving.
	leaveDelay = 2500 * time.Millisecond
	// versionRouteCount is the number of latest versions for which the configuration has a route that identifies the
	// version.
	versionRouteCount = 8
	// readinessInterval and maxReadinessFailures are the values of the platform's load balancer, which takes an entry out
	// of rotation after maxReadinessFailures consecutive failed checks.
	readinessInterval    = time.Second
	maxReadinessFailures = 2
)

// testSite is a site of real processes with a simulated platform.
type testSite struct {
	options      options
	octet        int // second octet of all loopback addresses
	checker      *checker
	disturbances *disturbanceLog
	store        *standin.Store
	entries      []string
	agents       []string
	processes    map[string]*process
	links        map[string]*link
	backends     map[string]*standin.Backend
	cleanUps     []func()

	mu             sync.Mutex // guards what follows
	behaviour      callerBehaviour
	version        uint64
	acknowledged   []writtenVersion // the latest versions, at most versionRouteCount of them
	missedChecks   map[string]int
	evacuations    map[string]int // of a data centre that last
	storeFaults    map[kind]standin.StoreFault
	backendFaults  map[string]map[kind]standin.BackendFault
	linkFaults     map[string]map[kind]linkFault
	capacityShares map[string]map[kind]float64 // share of the capacity that remains
}

// fullCapacity is the capacity of a backend server that has not shrunk.
var fullCapacity = resource.Amount{Processor: backendCores * 1000, Memory: 65536}

func storeLinkOf(process string) string { return process + "/store" }

// newSite starts a site. The clean-up function stops everything that was started.
func newSite(o options, directory string) (*testSite, func(), error) {
	disturbances := &disturbanceLog{}
	s := &testSite{
		options: o, disturbances: disturbances, checker: newChecker(disturbances),
		processes: map[string]*process{}, links: map[string]*link{},
		backends: map[string]*standin.Backend{}, missedChecks: map[string]int{}, evacuations: map[string]int{}, storeFaults: map[kind]standin.StoreFault{},
		backendFaults: map[string]map[kind]standin.BackendFault{}, linkFaults: map[string]map[kind]linkFault{},
		capacityShares: map[string]map[kind]float64{},
		behaviour:      callerBehaviour{rateFactor: 1},
	}
	cleanUp := func() {
		for i := len(s.cleanUps) - 1; i >= 0; i-- {
			s.cleanUps[i]()
		}
	}
	if err := s.start(directory); err != nil {
		cleanUp()
		return nil, nil, err
	}
	return s, cleanUp, nil
}

func (s *testSite) start(directory string) error {
	if err := s.reserveAddresses(); err != nil {
		return err
	}
	store, closeStore, err := standin.NewStore(s.address(storeHosts, 1, storePort), s.options.seed)
	if err != nil {
		return err
	}
	s.store = store
	s.cleanUps = append(s.cleanUps, closeStore)
	if err := s.configure(); err != nil {
		return err
	}
	r := rand.New(rand.NewPCG(s.options.seed, 6))
	for i := 1; i <= s.options.entries; i++ {
		if err := s.addEntry(directory, i); err != nil {
			return err
		}
	}
	for i := 1; i <= s.options.agents; i++ {
		if err := s.addAgent(directory, i, r); err != nil {
			return err
		}
	}
	return nil
}

// reserveAddresses reserves a range of loopback addresses that no other site uses. A listener on one of its addresses
// serves as the lock.
func (s *testSite) reserveAddresses() error {
	for octet := 20; octet < 250; octet++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, lockPort))
		if err != nil {
			continue
		}
		s.octet = octet
		s.cleanUps = append(s.cleanUps, func() { _ = lock.Close() })
		return nil
	}
	return errors.WithStack(&noAddressError{})
}

type noAddressError struct{}

// Error implements error.
func (*noAddressError) Error() string { return "no free range of loopback addresses for a site" }

func (s *testSite) host(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, group, number)
}

func (s *testSite) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", s.host(group, number), port)
}

// addLink starts a link that listens on address and forwards to target.
func (s *testSite) addLink(name, address, target string) error {
	l, cleanUp, err := newLink(address, target, s.options.seed)
	if err != nil {
		return err
	}
	s.links[name] = l
	s.cleanUps = append(s.cleanUps, cleanUp)
	return nil
}

func (s *testSite) addEntry(directory string, i int) error {
	name := fmt.Sprintf("entry-%d", i)
	storeAddress := s.address(storeLinks, i, storePort)
	for _, err := range []error{
		s.addLink(name+"/callers", s.address(entryLinks, i, callerPort), s.address(entryHosts, i, callerPort)),
		s.addLink(name+"/inner", s.address(entryLinks, i, innerPort), s.address(entryHosts, i, innerPort)),
		s.addLink(storeLinkOf(name), storeAddress, s.address(storeHosts, 1, storePort)),
	} {
		if err != nil {
			return err
		}
	}
	s.entries = append(s.entries, name)
	settings := standin.Settings{
		Name: name, DataCentre: s.dataCentre(i), IP: s.host(entryLinks, i), InnerPort: innerPort, Seeds: s.seeds(),
		CallerAddress: s.address(entryHosts, i, callerPort), ReadyAddress: s.address(entryHosts, i, readyPort),
		StoreAddress: storeAddress, MemoryMB: memoryMB, StopSeconds: int(stopTimeout / time.Second),
	}
	return s.addProcess(directory, name, settings, []string{
		"fleet", "entry", "--inner-listen", s.address(entryHosts, i, innerPort),
	})
}

func (s *testSite) addAgent(directory string, i int, r *rand.Rand) error {
	name := fmt.Sprintf("agent-%d", i)
	storeAddress := s.address(storeLinks, s.options.entries+i, storePort)
	for _, err := range []error{
		s.addLink(name+"/announce", s.address(announceLinks, i, announcePort), s.address(agentHosts, i, announcePort)),
		s.addLink(name+"/orders", s.address(backendLinks, i, backendPort), s.address(backendHosts, i, backendPort)),
		s.addLink(storeLinkOf(name), storeAddress, s.address(storeHosts, 1, storePort)),
	} {
		if err != nil {
			return err
		}
	}
	enforces := r.Float64() < enforcingShare
	s.checker.RecordCapacity(name, fullCapacity, time.Now())
	s.checker.RecordDataCentre(name, s.dataCentre(i))
	b, cleanUp, err := standin.NewBackend(standin.BackendOptions{
		Name: name, Pool: poolName, Address: s.address(backendHosts, i, backendPort),
		AnnounceAddress: s.address(announceLinks, i, announcePort), Capacity: fullCapacity, Labels: []string{"a", "r1-1"},
		ClockRate: 1 + maxClockDrift*(2*r.Float64()-1), EnforcesCapacity: enforces, Seed: s.options.seed + uint64(i),
		DelayedOnWay: s.options.lateOnWay,
		Events: standin.BackendEvents{
			RunStarted:        func(x standin.Run) { s.checker.RunStarted(x, enforces) },
			RunEnded:          s.checker.RunEnded,
			LeaveAcknowledged: s.checker.RecordLeaveNotice,
			Effect:            func(e standin.Effect) { s.checker.RecordEffect(string(e)) },
			Listening: func(listening bool) {
				if err := s.links[name+"/orders"].SetListening(listening); err != nil {
					s.checker.ReportViolation("%s: %v", name, err)
				}
			},
		},
	})
	if err != nil {
		return err
	}
	s.backends[name] = b
	s.cleanUps = append(s.cleanUps, cleanUp)
	s.agents = append(s.agents, name)
	settings := standin.Settings{
		Name: name, DataCentre: s.dataCentre(i), IP: s.host(agentHosts, i), InnerPort: innerPort, Seeds: s.seeds(),
		AnnounceAddress: s.address(agentHosts, i, announcePort), BackendAddress: s.address(backendLinks, i, backendPort),
		StoreAddress: storeAddress, MemoryMB: memoryMB, StopSeconds: int(stopTimeout / time.Second),
	}
	return s.addProcess(directory, name, settings, []string{"fleet", "agent"})
}

func (s *testSite) addProcess(directory, name string, settings standin.Settings, arguments []string) error {
	p := newProcess(directory, name, s.options.binary, arguments, func(detail string) {
		s.checker.ReportViolation("%s", detail)
	}, s.checker.RecordEffect)
	if err := settings.Save(p.settings); err != nil {
		return err
	}
	s.processes[name] = p
	s.cleanUps = append(s.cleanUps, p.Kill)
	return p.Start()
}

const dataCentres = 3

func (s *testSite) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func (s *testSite) seeds() []string {
	var seeds []string
	for i := 1; i <= min(s.options.entries, 3); i++ {
		seeds = append(seeds, s.host(entryLinks, i))
	}
	return seeds
}

// targets returns all targets that a plan may disturb.
func (s *testSite) targets() targets {
	t := targets{entries: s.entries, backends: s.agents, dataCentres: s.dataCentres()}
	t.processes = append(append(t.processes, s.entries...), s.agents...)
	for _, name := range s.entries {
		t.links = append(t.links, name+"/callers", name+"/inner", storeLinkOf(name))
	}
	for _, name := range s.agents {
		t.links = append(t.links, name+"/announce", name+"/orders", storeLinkOf(name))
	}
	return t
}

// configure writes the next version of the configuration. It contains an extra route for each of the
// latest versions, so that the routes known to an entry show which version it uses.
func (s *testSite) configure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := site.Configuration{Version: s.version + 1, Pools: []pool.Pool{pool.New(poolName)}, Routes: []site.Route{jobRoute}}
	c.Limits.BodyBytes = 1 << 18
	for v := c.Version; v > 0 && v+versionRouteCount > c.Version; v-- {
		c.Routes = append(c.Routes, versionRoute(v))
	}
	if err := s.store.Configure(c); err != nil {
		return err
	}
	s.version = c.Version
	s.acknowledged = append(s.acknowledged, writtenVersion{version: c.Version, at: time.Now()})
	s.acknowledged = s.acknowledged[max(0, len(s.acknowledged)-versionRouteCount):]
	return nil
}

func versionRoute(version uint64) site.Route {
	r := site.Route{
		Route: route.New(fmt.Sprintf("mark-%d", version), poolName), Host: "callers.example",
		PathPrefix: fmt.Sprintf("/mark-%d/", version), Stretch: 1,
	}
	r.Attempts, r.Deadline = 1, callerTimeout
	return r
}

// watchEntries performs the readiness checks of the load balancer, and checks which version of the configuration each
// entry uses.
func (s *testSite) watchEntries(ctx context.Context) {
	var running sync.WaitGroup
	for i, name := range s.entries {
		running.Go(func() {
			caller, cleanUp := standin.NewCaller()
			defer cleanUp()
			for ctx.Err() == nil {
				s.checkEntry(ctx, caller, name, i+1)
				wait(ctx, readinessInterval)
			}
		})
	}
	running.Wait()
}

func (s *testSite) checkEntry(ctx context.Context, caller *standin.Caller, name string, number int) {
	ctx, cancel := context.WithTimeout(ctx, readinessInterval)
	defer cancel()
	ready := caller.Ready(ctx, s.address(entryHosts, number, readyPort))
	s.mu.Lock()
	s.missedChecks[name]++
	if ready {
		s.missedChecks[name] = 0
	}
	version, acknowledged := s.version, slices.Clone(s.acknowledged)
	s.mu.Unlock()
	incarnation, running := s.processes[name].Running()
	if !running || !ready {
		return
	}
	sent := time.Now()
	shown := uint64(0)
	for v := version; v > 0 && v+versionRouteCount > version && shown == 0; v-- {
		has, answered := caller.HasRoute(ctx, s.address(entryHosts, number, callerPort), versionRoute(v))
		if !answered {
			return
		}
		if has {
			shown = v
		}
	}
	incarnationAfter, running := s.processes[name].Running()
	if running && incarnationAfter == incarnation {
		s.checker.RecordVersion(name, incarnation, shown, acknowledged, sent)
	}
}

// pickEntry draws a random entry that is in rotation, or any entry if none is.
func (s *testSite) pickEntry(r *rand.Rand) (name, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []int
	for i, name := range s.entries {
		if s.missedChecks[name] < maxReadinessFailures {
			ready = append(ready, i)
		}
	}
	i := r.IntN(len(s.entries))
	if len(ready) > 0 {
		i = ready[r.IntN(len(ready))]
	}
	return s.entries[i], s.address(entryLinks, i+1, callerPort)
}

func (s *testSite) currentBehaviour() callerBehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// saveLogs copies the logs and settings of all processes into a directory.
func saveLogs(from, to string) error {
	return errors.Wrap(os.CopyFS(to, os.DirFS(filepath.Clean(from))), "save logs")
}
