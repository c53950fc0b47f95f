package main

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"dogwoodglade/batchagent"
	"dogwoodglade/batchentry"
	"dogwoodglade/internal/boottime"
	"dogwoodglade/io/logs"
	"dogwoodglade/platform"
)

const fleetUsage = `dogwoodglade fleet entry
dogwoodglade fleet agent

Runs an entry or an agent on the users' platform. The settings file is named by the variable
DOGWOODGLADE_SETTINGS; log lines go to standard output. On SIGTERM the process finishes its open work, at
most until the time that the settings give, and exits. On SIGHUP it reads the settings again and reports what
changed; addresses and limits take effect at the next start.
` + exitCodes

const (
	// memoryShare of the limit of the process is the collector's goal. The rest is for stacks, buffers of
	// the kernel that count, and what was not collected yet.
	memoryShare = 0.7
	// collectorPercent trades memory, of which there is plenty, for processor time.
	collectorPercent = 400
	// minWeight is the weight of an entry whose settings do not say what share of a core it has.
	minWeight = 0.1
	// stopMargin of the time to stop is left to end the process.
	stopMargin = 800 * time.Millisecond
	// headerTimeout and idleTimeout bound connections of callers. A caller may send on a connection that it
	// has not used for long, so idle ones are kept.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
)

// fleetCommand runs the processes of the users' platform.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run a process on the users' platform", UsageText: fleetUsage,
		OnUsageError: onUsageError, Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "entry", Usage: "run an entry", Action: runFleetEntry, OnUsageError: onUsageError,
				Flags: []cli.Flag{&cli.StringFlag{
					Name:  "inner-listen",
					Usage: "`ADDRESS` to listen on for other processes, if they reach it at another one, as behind a port forwarder",
				}},
			},
			{Name: "agent", Usage: "run the agent of a backend server", Action: runFleetAgent, OnUsageError: onUsageError},
		},
	}
}

// fleet is what the processes on the platform have in common.
type fleet struct {
	settings platform.Settings
	logger   zerolog.Logger
	metrics  metrics.Registry
	cleanUps []func()
}

func newFleet() (*fleet, error) {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	debug.SetGCPercent(collectorPercent)
	writer, flush := logs.New(os.Stdout)
	f := &fleet{
		settings: settings,
		logger:   zerolog.New(writer).With().Timestamp().Str("Process", settings.Name).Logger(),
		metrics:  metrics.NewRegistry(),
	}
	f.cleanUps = append(f.cleanUps, flush)
	return f, f.serve(settings.MetricsAddress, metricsHandler(f.metrics))
}

// cleanUp ends what was started, the latest first.
func (f *fleet) cleanUp() {
	for i := len(f.cleanUps) - 1; i >= 0; i-- {
		f.cleanUps[i]()
	}
}

// serve serves HTTP on an address.
func (f *fleet) serve(address string, handler http.Handler) error {
	_, err := f.server(address, handler)
	return err
}

func (f *fleet) server(address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := listenTCP(address)
	if err != nil {
		return nil, errors.Wrapf(err, "serve %s", address)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	f.cleanUps = append(f.cleanUps, func() {
		_ = server.Close()
		running.Wait()
	})
	return server, nil
}

// metricsHandler writes all metrics as text.
func metricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WriteOnce(registry, w)
	})
}

// reload reads the settings again, and reports whether they changed.
func (f *fleet) reload() {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		f.logger.Warn().Err(err).Msg("settings are kept")
		return
	}
	f.logger.Info().Bool("Changed", !settings.Equal(f.settings)).Msg("settings were read again")
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
}

// stopContext ends shortly before the platform kills the process.
func (f *fleet) stopContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), max(f.settings.StopTimeout-stopMargin, time.Second))
}

func runFleetEntry(ctx context.Context, cmd *cli.Command) error {
	f, err := newFleet()
	if err != nil {
		return err
	}
	defer f.cleanUp()
	e, closeEntry, err := batchentry.New(batchentry.Options{
		Name: f.settings.Name, Region: f.settings.Region, DataCentre: f.settings.DataCentre,
		Address: f.settings.InnerAddress, Weight: max(f.settings.ProcessorShare, minWeight), Seeds: f.settings.Seeds,
		Directory: platform.NewStore(f.settings.StoreAddress), Logger: f.logger, Metrics: f.metrics,
		Dial: platform.Dialer().DialContext, Now: boottime.Now,
		Listen: func(address string) (net.Listener, error) {
			return listenTCP(cmp.Or(cmd.String("inner-listen"), address))
		},
	})
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, closeEntry)
	callers, err := f.server(f.settings.CallerAddress, platform.CallerHandler(e))
	if err != nil {
		return err
	}
	if err := f.serve(f.settings.ReadyAddress, platform.ReadinessHandler(e)); err != nil {
		return err
	}
	untilSignal(ctx, f.reload)
	stopCtx, cancel := f.stopContext()
	defer cancel()
	e.Stop(stopCtx)
	if callers != nil {
		// All requests have been decided; what remains is to write their answers.
		writeCtx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
		defer cancel()
		if err := callers.Shutdown(writeCtx); err != nil {
			f.logger.Warn().Err(err).Msg("requests were cut off")
		}
	}
	return nil
}

func runFleetAgent(ctx context.Context, _ *cli.Command) error {
	f, err := newFleet()
	if err != nil {
		return err
	}
	defer f.cleanUp()
	a, closeAgent := batchagent.New(batchagent.Options{
		Name: f.settings.Name, Region: f.settings.Region, DataCentre: f.settings.DataCentre, Seeds: f.settings.Seeds,
		Directory: platform.NewStore(f.settings.StoreAddress), Server: platform.NewServer(f.settings.ServerAddress),
		Logger: f.logger, Metrics: f.metrics, Dial: platform.Dialer().DialContext, Now: boottime.Now,
	})
	f.cleanUps = append(f.cleanUps, closeAgent)
	if err := f.serve(f.settings.AnnounceAddress, platform.AnnounceHandler(a)); err != nil {
		return err
	}
	untilSignal(ctx, f.reload)
	stopCtx, cancel := f.stopContext()
	defer cancel()
	a.Stop(stopCtx)
	return nil
}
