// Package dev runs a whole small site in one process: the stand-in of the platform, entries, agents and
// sample backend servers, which talk over loopback sockets as separate processes do.
//
// The dev command and end-to-end tests use it. Each part can be stopped or killed on its own.
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

// Names of the sample rows.
const (
	SampleRoute = "sample"
	SamplePool  = "samples"
)

const (
	eventCapacity = 20_000
	drainTimeout  = 30 * time.Second
	readyTimeout  = 10 * time.Second
	readyPoll     = 10 * time.Millisecond
	place         = "dev"
	platformName  = "platform"
)

// Settings are the sizes of a site.
type Settings struct {
	Entries       int
	Agents        int
	Slots         int // of each backend server
	Seed          uint64
	EventCapacity int                       // events that each process keeps
	CallerAddress string                    // of the first entry; a random port if empty
	Host          func(process string) Host // loopback sockets if nil
	Log           func(event.Event)
}

// Defaults returns a copy whose unset settings have their defaults.
func (s Settings) Defaults() Settings {
	setCount := func(n *int, value int) {
		if *n == 0 {
			*n = value
		}
	}
	setCount(&s.Entries, 2)
	setCount(&s.Agents, 3)
	setCount(&s.Slots, 8)
	setCount(&s.EventCapacity, eventCapacity)
	if s.Host == nil {
		s.Host = func(string) Host { return loopback{} }
	}
	if s.Log == nil {
		s.Log = func(event.Event) {}
	}
	return s
}

// Host opens the connections of one process. Tests on a paused clock bring hosts in memory.
type Host interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

type loopback struct{}

func (loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Site is a running site.
type Site struct {
	Platform        *store.Memory
	PlatformAddress string
	Entries         []*Part[*entry.Entry]
	Agents          []*Part[*agent.Agent]
	Servers         []*Part[*backend.Server]

	settings Settings

	transports []*http.Transport // to the platform
}

// Part is a process of the site.
type Part[T any] struct {
	Name     string
	Process  T
	Recorder *event.Recorder
	Metrics  metrics.Registry

	stop    func()
	abort   func()
	once    sync.Once
	stopped atomic.Bool
}

// Stopped reports whether the part was stopped or killed.
func (p *Part[T]) Stopped() bool { return p.stopped.Load() }

// Stop stops the part as a planned stop does.
func (p *Part[T]) Stop() {
	p.once.Do(func() {
		p.stopped.Store(true)
		p.stop()
	})
}

// Kill stops the part at once, as a failure of its host would.
func (p *Part[T]) Kill() {
	p.once.Do(func() {
		p.stopped.Store(true)
		p.abort()
		p.stop()
	})
}

// NotReadyError reports a site that did not become ready in time.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("start site: not ready after %v", e.Waited)
}

// New starts a site and waits until it is ready. The clean-up stops all parts gracefully.
func New(settings Settings) (*Site, func(), error) {
	s := &Site{settings: settings.Defaults()}
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
	if err := s.applySamples(); err != nil {
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

// service returns the platform's services as a process reaches them.
func (s *Site) service(process string) store.Service {
	transport := &http.Transport{DialContext: s.settings.Host(process).Dial}
	s.transports = append(s.transports, transport)
	return store.NewClient(s.PlatformAddress, &http.Client{Transport: transport})
}

func (s *Site) recorder(name string) *event.Recorder {
	return event.NewRecorder(name, s.settings.EventCapacity, time.Now, s.settings.Log)
}

// StartEntry starts one more entry.
func (s *Site) StartEntry() (*Part[*entry.Entry], error) {
	name := fmt.Sprintf("entry-%d", len(s.Entries)+1)
	host := s.settings.Host(name)
	p := &Part[*entry.Entry]{Name: name, Recorder: s.recorder(name), Metrics: metrics.NewRegistry()}
	callerAddress := "127.0.0.1:0"
	if len(s.Entries) == 0 && s.settings.CallerAddress != "" {
		callerAddress = s.settings.CallerAddress
	}
	process, stop, err := entry.New(entry.Options{
		Name: name, Region: place, DataCentre: place, Rack: place,
		InnerAddress: "127.0.0.1:0", CallerAddress: callerAddress,
		Peers: s.entryAddresses(), DrainTimeout: drainTimeout,
		Platform: s.service(name), Recorder: p.Recorder, Metrics: p.Metrics,
		Dial: host.Dial, Listen: host.Listen,
	})
	if err != nil {
		return nil, err
	}
	p.Process, p.stop, p.abort = process, stop, process.Abort
	s.Entries = append(s.Entries, p)
	return p, nil
}

// StartAgent starts one more agent.
func (s *Site) StartAgent() (*Part[*agent.Agent], error) {
	name := fmt.Sprintf("agent-%d", len(s.Agents)+1)
	host := s.settings.Host(name)
	p := &Part[*agent.Agent]{Name: name, Recorder: s.recorder(name), Metrics: metrics.NewRegistry()}
	process, stop, err := agent.New(agent.Options{
		Name: name, Region: place, DataCentre: place, Rack: place,
		Entries: s.entryAddresses(), BackendAddress: "127.0.0.1:0", DrainTimeout: drainTimeout,
		Platform: s.service(name), Recorder: p.Recorder, Metrics: p.Metrics,
		Dial: host.Dial, DialBackend: host.Dial, Listen: host.Listen,
	})
	if err != nil {
		return nil, err
	}
	p.Process, p.stop, p.abort = process, stop, process.Abort
	s.Agents = append(s.Agents, p)
	return p, nil
}

// StartServer starts one more sample backend server beside an agent.
func (s *Site) StartServer(agentAddress string) (*Part[*backend.Server], error) {
	name := fmt.Sprintf("server-%d", len(s.Servers)+1)
	return s.startServer(name, agentAddress, RunSample(name))
}

// StartFailingServer starts a backend server that fails every task at once.
func (s *Site) StartFailingServer(agentAddress string) (*Part[*backend.Server], error) {
	name := fmt.Sprintf("server-%d", len(s.Servers)+1)
	return s.startServer(name, agentAddress, func(_ context.Context, t backend.Task) ([]byte, error) {
		return nil, errors.WithStack(&FailedError{Task: t.Attempt.String()})
	})
}

func (s *Site) startServer(
	name, agentAddress string, run func(ctx context.Context, t backend.Task) ([]byte, error),
) (*Part[*backend.Server], error) {
	host := s.settings.Host(name)
	server, stop, err := backend.NewServer(backend.ServerSettings{
		ID: name, Pool: SamplePool, Agent: agentAddress,
		Slots: s.settings.Slots, Connections: 64, Run: run,
		ListenFunc: host.Listen, Dial: host.Dial,
	})
	if err != nil {
		return nil, err
	}
	p := &Part[*backend.Server]{Name: name, Process: server, stop: stop, abort: server.Kill}
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

// applySamples adds the sample route and pool to the tables.
func (s *Site) applySamples() error {
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
	until := time.Now().Add(readyTimeout)
	for !s.ready() {
		if time.Now().After(until) {
			return errors.WithStack(&NotReadyError{Waited: readyTimeout})
		}
		time.Sleep(readyPoll)
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

// Events returns the merged time line of all parts.
func (s *Site) Events() []event.Event {
	var records [][]event.Event
	for _, e := range s.Entries {
		records = append(records, e.Recorder.Events())
	}
	for _, a := range s.Agents {
		records = append(records, a.Recorder.Events())
	}
	return event.Merge(records...)
}
