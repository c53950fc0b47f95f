// Package dev runs a complete small site in one process: a stand-in for the platform, entries, agents and sample
// backend servers, which communicate over loopback sockets as separate processes do.
//
// The dev command and end-to-end tests use it. Each process of the site can be stopped or killed on its own.
package dev

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dogwoodglade/agent"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/entry"
	"dogwoodglade/io/backend"
	"dogwoodglade/io/store"
)

// Names of the sample route and pool that New adds to the tables.
const (
	SampleRoute = "sample"
	SamplePool  = "samples"
)

const (
	defaultEventCapacity = 20_000
	drainTimeout         = 30 * time.Second
	readyTimeout         = 10 * time.Second
	readyPollInterval    = 10 * time.Millisecond
	location             = "dev"
	platformName         = "platform"
)

// Settings configure a site. WithDefaults gives the defaults of unset fields.
type Settings struct {
	Entries       int
	Agents        int
	Slots         int // of each backend server
	Seed          uint64
	EventCapacity int                       // events that each process retains
	CallerAddress string                    // of the first entry; a random loopback port if empty
	Host          func(process string) Host // loopback sockets if nil
	Log           func(event.Event)
}

// WithDefaults returns a copy with unset settings replaced by their defaults.
func (s Settings) WithDefaults() Settings {
	setCount := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setCount(&s.Entries, 2)
	setCount(&s.Agents, 3)
	setCount(&s.Slots, 8)
	setCount(&s.EventCapacity, defaultEventCapacity)
	if s.Host == nil {
		s.Host = func(string) Host { return loopbackHost{} }
	}
	if s.Log == nil {
		s.Log = func(event.Event) {}
	}
	return s
}

// Host is the network interface of one process. Tests on a fake clock pass hosts of an in-memory network.
type Host interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

type loopbackHost struct{}

func (loopbackHost) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (loopbackHost) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Site is a running site.
type Site struct {
	Platform        *store.Memory
	PlatformAddress string
	Entries         []*SiteProcess[*entry.Entry]
	Agents          []*SiteProcess[*agent.Agent]
	Servers         []*SiteProcess[*backend.Server]

	settings Settings

	transports []*http.Transport // to the platform
}

// SiteProcess is an entry, agent or backend server of the site.
type SiteProcess[T any] struct {
	Name     string
	Process  T
	Recorder *event.Recorder
	Metrics  metrics.Registry

	stop    func()
	kill    func()
	once    sync.Once
	stopped atomic.Bool
}

// Stopped reports whether the process was stopped or killed.
func (p *SiteProcess[T]) Stopped() bool { return p.stopped.Load() }

// Stop stops the process gracefully.
func (p *SiteProcess[T]) Stop() {
	p.once.Do(func() {
		p.stopped.Store(true)
		p.stop()
	})
}

// Kill ends the process abruptly, as a crash of its host would.
func (p *SiteProcess[T]) Kill() {
	p.once.Do(func() {
		p.stopped.Store(true)
		p.kill()
		p.stop()
	})
}

// NotReadyError reports a site that did not become ready in time.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("start site: not ready after %v", e.Waited)
}

// New starts a site and waits until it is ready. The returned function stops all processes gracefully.
func New(settings Settings) (*Site, func(), error) {
	s := &Site{settings: settings.WithDefaults()}
	stopPlatform, err := s.startPlatform()
	if err != nil {
		return nil, nil, err
	}
	cleanUp := func() {
		s.stopAll()
		stopPlatform()
	}
	if err := s.startAll(); err != nil {
		cleanUp()
		return nil, nil, err
	}
	return s, cleanUp, nil
}

func (s *Site) startAll() error {
	for range s.settings.Entries {
		if _, err := s.StartEntry(); err != nil {
			return err
		}
	}
	if err := s.addSampleRows(); err != nil {
		return err
	}
	for range s.settings.Agents {
		a, err := s.StartAgent()
		if err != nil {
			return err
		}
		if _, err := s.StartServer(a.Process.Address()); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *Site) stopAll() {
	for _, e := range s.Entries {
		e.Stop()
	}
	for _, b := range s.Servers {
		b.Stop()
	}
	for _, a := range s.Agents {
		a.Stop()
	}
}

func (s *Site) startPlatform() (func(), error) {
	listener, err := s.settings.Host(platformName).Listen("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start platform stand-in")
	}
	random := mathrand.New(mathrand.NewPCG(s.settings.Seed, 0))
	s.Platform = store.NewMemory(store.DefaultLimits, random)
	s.PlatformAddress = listener.Addr().String()
	server := &http.Server{Handler: store.Handler(s.Platform), ReadHeaderTimeout: time.Second}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	return func() {
		for _, transport := range s.transports {
			transport.CloseIdleConnections()
		}
		_ = server.Close()
		running.Wait()
	}, nil
}

// newPlatformClient returns a client of the platform that connects from the host of the process.
func (s *Site) newPlatformClient(process string) store.Service {
	transport := &http.Transport{DialContext: s.settings.Host(process).Dial}
	s.transports = append(s.transports, transport)
	return store.NewClient(s.PlatformAddress, &http.Client{Transport: transport})
}

func (s *Site) newRecorder(name string) *event.Recorder {
	return event.NewRecorder(name, s.settings.EventCapacity, time.Now, s.settings.Log)
}

// StartEntry adds an entry to the site.
func (s *Site) StartEntry() (*SiteProcess[*entry.Entry], error) {
	name := fmt.Sprintf("entry-%d", len(s.Entries)+1)
	host := s.settings.Host(name)
	p := &SiteProcess[*entry.Entry]{Name: name, Recorder: s.newRecorder(name), Metrics: metrics.NewRegistry()}
	callerAddress := "127.0.0.1:0"
	if len(s.Entries) == 0 && s.settings.CallerAddress != "" {
		callerAddress = s.settings.CallerAddress
	}
	process, stop, err := entry.New(entry.Options{
		Name: name, Region: location, DataCentre: location, Rack: location,
		InnerAddress: "127.0.0.1:0", CallerAddress: callerAddress,
		Peers: s.entryAddresses(), DrainTimeout: drainTimeout,
		Platform: s.newPlatformClient(name), Recorder: p.Recorder, Metrics: p.Metrics,
		Dial: host.Dial, Listen: host.Listen,
	})
	if err != nil {
		return nil, err
	}
	p.Process, p.stop, p.kill = process, stop, process.Abort
	s.Entries = append(s.Entries, p)
	return p, nil
}

// StartAgent adds an agent to the site.
func (s *Site) StartAgent() (*SiteProcess[*agent.Agent], error) {
	name := fmt.Sprintf("agent-%d", len(s.Agents)+1)
	host := s.settings.Host(name)
	p := &SiteProcess[*agent.Agent]{Name: name, Recorder: s.newRecorder(name), Metrics: metrics.NewRegistry()}
	process, stop, err := agent.New(agent.Options{
		Name: name, Region: location, DataCentre: location, Rack: location,
		Entries: s.entryAddresses(), BackendAddress: "127.0.0.1:0", DrainTimeout: drainTimeout,
		Platform: s.newPlatformClient(name), Recorder: p.Recorder, Metrics: p.Metrics,
		Dial: host.Dial, DialBackend: host.Dial, Listen: host.Listen,
	})
	if err != nil {
		return nil, err
	}
	p.Process, p.stop, p.kill = process, stop, process.Abort
	s.Agents = append(s.Agents, p)
	return p, nil
}

// StartServer adds a sample backend server that registers at the agent with the address.
func (s *Site) StartServer(agentAddress string) (*SiteProcess[*backend.Server], error) {
	name := fmt.Sprintf("server-%d", len(s.Servers)+1)
	return s.startServer(name, agentAddress, RunSample(name))
}

// StartFailingServer adds a backend server that fails every task immediately.
func (s *Site) StartFailingServer(agentAddress string) (*SiteProcess[*backend.Server], error) {
	name := fmt.Sprintf("server-%d", len(s.Servers)+1)
	return s.startServer(name, agentAddress, func(_ context.Context, t backend.Task) ([]byte, error) {
		return nil, errors.WithStack(&SimulatedFailureError{Task: t.Attempt.String()})
	})
}

func (s *Site) startServer(
	name, agentAddress string, run func(ctx context.Context, t backend.Task) ([]byte, error),
) (*SiteProcess[*backend.Server], error) {
	host := s.settings.Host(name)
	server, stop, err := backend.NewServer(backend.ServerSettings{
		ID: name, Pool: SamplePool, Agent: agentAddress,
		Slots: s.settings.Slots, Connections: 64, Run: run,
		ListenFunc: host.Listen, Dial: host.Dial,
	})
	if err != nil {
		return nil, err
	}
	p := &SiteProcess[*backend.Server]{Name: name, Process: server, stop: stop, kill: server.Kill}
	s.Servers = append(s.Servers, p)
	return p, nil
}

func (s *Site) entryAddresses() []string {
	var addresses []string
	for _, e := range s.Entries {
		addresses = append(addresses, e.Process.InnerAddress())
	}
	return addresses
}

// addSampleRows adds the sample pool and route to the tables.
func (s *Site) addSampleRows() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	tables := s.Entries[0].Process.Tables()
	for _, e := range []table.Edit{
		table.SetPool("dev-pool", pool.New(SamplePool)),
		table.SetRoute("dev-route", route.New(SampleRoute, SamplePool)),
	} {
		if _, err := tables.Edit(ctx, e, 0); err != nil {
			return errors.Wrap(err, "add sample rows")
		}
	}
	return nil
}

func (s *Site) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for !s.ready() {
		if time.Now().After(deadline) {
			return errors.WithStack(&NotReadyError{Waited: readyTimeout})
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

func (s *Site) ready() bool {
	for _, e := range s.Entries {
		if !e.Process.Ready() || !e.Process.Serving(SamplePool, s.settings.Agents*s.settings.Slots) {
			return false
		}
	}
	return true
}

// Events returns the merged timeline of all entries and agents.
func (s *Site) Events() []event.Event {
	var timelines [][]event.Event
	for _, e := range s.Entries {
		timelines = append(timelines, e.Recorder.Events())
	}
	for _, a := range s.Agents {
		timelines = append(timelines, a.Recorder.Events())
	}
	return event.Merge(timelines...)
}
