package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/event"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/logs"
	"dogwoodglade/io/operator"
	"dogwoodglade/io/store"
	"dogwoodglade/setting"
)

const operatorAPITimeout = 15 * time.Second

// settingsFlag returns the flag for the settings file of a process.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "file", Aliases: []string{"f"},
		Usage: "YAML `FILE` with settings; without it, all settings have their defaults",
	}
}

// loadSettings loads the settings file that the command line names.
func loadSettings[S setting.Settings[S]](cmd *cli.Command) (S, error) {
	settings, err := setting.Load[S](cmd.String("file"))
	if err != nil {
		return settings, &exitError{code: exitUsage, err: err}
	}
	return settings, nil
}

// process holds the event recorder, metrics and logger that every process needs.
type process struct {
	recorder *event.Recorder
	metrics  metrics.Registry
	logger   zerolog.Logger
	limits   processLimits
}

// newProcess sets up what every process needs. The returned function writes the last log lines.
func newProcess(cmd *cli.Command, settings setting.Process) (p process, cleanUp func()) {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	setMemoryLimit(settings.MemoryBytes())
	writer, flush := logs.New(cmd.Root().ErrWriter)
	logger := zerolog.New(writer).Level(level).With().Timestamp().Str("Process", settings.Name).Logger()
	return process{
		recorder: event.NewRecorder(settings.Name, settings.EventCapacity, time.Now, newEventLogger(logger)),
		metrics:  metrics.NewRegistry(),
		logger:   logger,
		limits:   newProcessLimits(settings.MemoryBytes()),
	}, flush
}

// newPlatformClient returns a client of the platform's table service and object store.
func newPlatformClient(address string) store.Service {
	return store.NewClient(address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}})
}

// serveOperatorAPI serves the operator API until cleanUp is called.
func serveOperatorAPI(address string, config operator.Config) (cleanUp func(), err error) {
	listener, err := httpserver.Listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "serve operator API")
	}
	return operator.Serve(listener, config), nil
}

func serveHTTP(listener net.Listener, handler http.Handler) (cleanUp func()) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: operatorAPITimeout, ReadTimeout: operatorAPITimeout,
		WriteTimeout: 2 * operatorAPITimeout, IdleTimeout: time.Minute,
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
		running.Wait()
	}
}

// waitForSignal waits for SIGINT, SIGTERM or the end of the context. It calls reload, unless that is nil, on each
// SIGHUP. A further SIGTERM during the graceful stop is ignored; a further SIGINT ends the process at once.
func waitForSignal(ctx context.Context, reload func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	if reload != nil {
		signal.Notify(signals, syscall.SIGHUP)
	}
	defer signal.Reset(syscall.SIGINT)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			reload()
		}
	}
}
