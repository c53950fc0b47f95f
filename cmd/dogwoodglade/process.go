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
	"dogwoodglade/io/operator"
	"dogwoodglade/io/store"
	"dogwoodglade/setting"
)

const operatorTimeout = 15 * time.Second

// settingsFlag names the settings file of a process.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "file", Aliases: []string{"f"}, Usage: "settings `FILE` in YAML; without it, the defaults apply",
	}
}

// loadSettings loads the settings that the command line names.
func loadSettings[S setting.Settings[S]](cmd *cli.Command) (S, error) {
	settings, err := setting.Load[S](cmd.String("file"))
	if err != nil {
		return settings, &exitError{code: exitUsage, err: err}
	}
	return settings, nil
}

// process holds what every process of the program has.
type process struct {
	recorder *event.Recorder
	metrics  metrics.Registry
	logger   zerolog.Logger
}

func newProcess(cmd *cli.Command, settings setting.Process) process {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	logger := zerolog.New(cmd.Root().ErrWriter).Level(level).With().Timestamp().Str("Process", settings.Name).Logger()
	return process{
		recorder: event.NewRecorder(settings.Name, settings.EventCapacity, time.Now, logEvents(logger)),
		metrics:  metrics.NewRegistry(),
		logger:   logger,
	}
}

// newPlatform returns the client of the platform's services.
func newPlatform(address string) store.Service {
	return store.NewClient(address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}})
}

// serveOperators serves operators until the returned function is called.
func serveOperators(address string, config operator.Config) (cleanUp func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "serve operators")
	}
	return serveHTTP(listener, operator.Handler(config)), nil
}

func serveHTTP(listener net.Listener, handler http.Handler) (cleanUp func()) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: operatorTimeout, ReadTimeout: operatorTimeout,
		WriteTimeout: 2 * operatorTimeout, IdleTimeout: time.Minute,
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

// untilSignal waits for an interrupt or a termination signal, and calls reload, if there is one, at each hang-up. A
// termination signal that comes again while the process finishes its open work changes nothing; a second interrupt
// ends it at once.
func untilSignal(ctx context.Context, reload func()) {
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
