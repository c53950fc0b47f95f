package main

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"dogwoodglade/batchagent"
	"dogwoodglade/batchentry"
	"dogwoodglade/core/event"
	"dogwoodglade/internal/boottime"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/logs"
	"dogwoodglade/platform"
)

const fleetUsage = `dogwoodglade fleet entry
dogwoodglade fleet agent

Runs an entry or an agent on the users' platform. The settings file is named by the variable
DOGWOODGLADE_SETTINGS; log lines go to standard output. On SIGTERM the process finishes its open work within
the stop timeout of the settings, and exits. On SIGHUP it reloads the settings and logs whether they changed;
the memory limit takes effect at once, addresses and other limits at the next start.
` + exitCodes

const (
	// memoryLimitShare is the share of the process's memory limit that is set as the soft limit of the Go runtime.
	// The rest is for stacks, kernel buffers that count towards the limit, and garbage that is not collected yet.
	memoryLimitShare = 0.7
	// outsideHeap is left below the process's memory limit in any case: about 10 MB of the program itself, and received
	// bytes of some hundred connections, which do not shrink with the limit.
	outsideHeap = 24 << 20
	// gcPercent is above the default of 100 to save processor time, since memory is plentiful.
	gcPercent = 400
	// minWeight is the lowest weight of an entry, also used if the settings do not give its share of a core.
	minWeight = 0.1
	// stopMargin is the part of the stop timeout that is reserved for writing responses and exiting.
	stopMargin = 800 * time.Millisecond
	// maxAnnouncement limits the body of an announcement of a backend server.
	maxAnnouncement = 64 << 10
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run a process on the users' platform", UsageText: fleetUsage,
		OnUsageError: onUsageError, Action: requireSubcommand,
		Commands: []*cli.Command{
			{
				Name: "entry", Usage: "run an entry", Action: runFleetEntry, OnUsageError: onUsageError,
				Flags: []cli.Flag{&cli.StringFlag{
					Name: "inner-listen",
					Usage: "`ADDRESS` to listen on for other processes, if it differs from the one they connect to, " +
						"as behind a port forwarder",
				}},
			},
			{Name: "agent", Usage: "run the agent of a backend server", Action: runFleetAgent, OnUsageError: onUsageError},
		},
	}
}

// fleetProcess holds what entries and agents on the platform have in common.
type fleetProcess struct {
	settings platform.Settings
	logger   zerolog.Logger
	metrics  metrics.Registry
	limits   clientLimits
	bodies   *httpserver.Bodies
	cleanUps []func()
}

func newFleetProcess() (*fleetProcess, error) {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	setMemoryLimit(settings.MemoryLimit)
	debug.SetGCPercent(gcPercent)
	writer, flush := logs.New(os.Stdout)
	f := &fleetProcess{
		settings: settings,
		logger:   zerolog.New(writer).With().Timestamp().Str("Process", settings.Name).Logger(),
		metrics:  metrics.NewRegistry(),
	}
	f.cleanUps = append(f.cleanUps, flush)
	f.limits = newClientLimits(settings.MemoryLimit, settings.Descriptors)
	f.bodies = httpserver.NewBodies(f.limits.bodyBytes, f.report, f.metrics)
	return f, f.serve("Metrics", settings.MetricsAddress, f.limits.ownConnections, metricsHandler(f.metrics))
}

// setMemoryLimit sets the soft limit of the Go runtime for a process with the given memory in bytes.
func setMemoryLimit(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(max(min(int64(memoryLimitShare*float64(memory)), memory-outsideHeap), memory/4))
	}
}

// cleanUp calls the clean-up functions in reverse order.
func (f *fleetProcess) cleanUp() {
	for i := len(f.cleanUps) - 1; i >= 0; i-- {
		f.cleanUps[i]()
	}
}

// serve serves HTTP on an address until cleanUp. It does nothing if the address is empty.
func (f *fleetProcess) serve(name, address string, connections int, handler http.Handler) error {
	_, err := f.startServer(name, address, connections, handler)
	return err
}

// startServer starts an HTTP server that cleanUp closes. It returns nil if the address is empty.
func (f *fleetProcess) startServer(
	name, address string, connections int, handler http.Handler,
) (*httpserver.Server, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	server, closeServer := httpserver.New(listener, httpserver.Options{
		Name: name, Handler: handler, MaxConnections: connections, Bodies: f.bodies,
		ConnContext: platform.WithConnection, Report: f.report, Metrics: f.metrics,
	})
	f.cleanUps = append(f.cleanUps, closeServer)
	return server, nil
}

// report logs an event of the limits on clients.
func (f *fleetProcess) report(number event.Number, listener string, count int) {
	f.logger.Warn().Int("Number", int(number)).Str("Event", number.String()).Str("Listener", listener).
		Int("Count", count).Send()
}

// metricsHandler returns a handler that writes all metrics as text.
func metricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
}

// reload loads the settings again, logs whether they changed and applies the memory limit.
func (f *fleetProcess) reload() {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		f.logger.Warn().Err(err).Msg("cannot reload settings; keeping the current ones")
		return
	}
	f.logger.Info().Bool("Changed", !settings.Equal(f.settings)).Msg("settings reloaded")
	setMemoryLimit(settings.MemoryLimit)
}

// stopContext returns a context that ends shortly before the platform kills the process.
func (f *fleetProcess) stopContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), max(f.settings.StopTimeout-stopMargin, time.Second))
}

func runFleetEntry(ctx context.Context, cmd *cli.Command) error {
	f, err := newFleetProcess()
	if err != nil {
		return err
	}
	defer f.cleanUp()
	e, closeEntry, err := batchentry.New(batchentry.Options{
		Name: f.settings.Name, Region: f.settings.Region, DataCentre: f.settings.DataCentre,
		Address: f.settings.InnerAddress, Weight: max(f.settings.ProcessorShare, minWeight), Seeds: f.settings.Seeds,
		Directory: platform.NewStore(f.settings.StoreAddress, f.metrics), Logger: f.logger, Metrics: f.metrics,
		Incoming: inner.NewIncoming(f.limits.incoming), Dial: platform.Dialer().DialContext, Now: boottime.Now,
		Listen: func(address string) (net.Listener, error) {
			return listenTCP(cmp.Or(cmd.String("inner-listen"), address))
		},
	})
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, closeEntry)
	callerServer, err := f.startServer(
		"Callers", f.settings.CallerAddress, f.limits.callerConnections, platform.CallerHandler(e, f.limits.openTasks),
	)
	if err != nil {
		return err
	}
	err = f.serve("Readiness", f.settings.ReadyAddress, f.limits.ownConnections, platform.ReadinessHandler(e))
	if err != nil {
		return err
	}
	waitForSignal(ctx, f.reload)
	stopCtx, cancel := f.stopContext()
	defer cancel()
	e.Stop(stopCtx)
	if callerServer != nil {
		// Stop has determined the outcome of every request; only the responses remain to be written.
		writeCtx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
		defer cancel()
		if err := callerServer.Shutdown(writeCtx); err != nil {
			f.logger.Warn().Err(err).Msg("caller requests were cut off at shutdown")
		}
	}
	return nil
}

func runFleetAgent(ctx context.Context, _ *cli.Command) error {
	f, err := newFleetProcess()
	if err != nil {
		return err
	}
	defer f.cleanUp()
	a, closeAgent := batchagent.New(batchagent.Options{
		Name: f.settings.Name, Region: f.settings.Region, DataCentre: f.settings.DataCentre, Seeds: f.settings.Seeds,
		Directory: platform.NewStore(f.settings.StoreAddress, f.metrics), Server: platform.NewServer(f.settings.ServerAddress),
		Logger: f.logger, Metrics: f.metrics, Incoming: inner.NewIncoming(f.limits.incoming),
		Dial: platform.Dialer().DialContext, Now: boottime.Now,
		MaxCapacityAge: f.settings.MaxCapacityAge,
	})
	f.cleanUps = append(f.cleanUps, closeAgent)
	announcements := httpserver.Buffered(maxAnnouncement, platform.AnnounceHandler(a))
	if err := f.serve("Backends", f.settings.AnnounceAddress, f.limits.ownConnections, announcements); err != nil {
		return err
	}
	waitForSignal(ctx, f.reload)
	stopCtx, cancel := f.stopContext()
	defer cancel()
	a.Stop(stopCtx)
	return nil
}
