package main

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/event"
	"dogwoodglade/io/store"
	"dogwoodglade/setting"
)

const platformUsage = `dogwoodglade platform [-f FILE]

Runs an in-memory stand-in for the platform's table service and object store, for development and tests. It
accepts 500 writes and 2000 reads per second.

EXAMPLES:
   dogwoodglade platform
   dogwoodglade platform -f examples/platform.yaml --seed 7
   curl -X PUT -d '{"Down": true}' http://127.0.0.1:7400/v1/faults
` + exitCodes

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "run an in-memory stand-in for the platform, for development", UsageText: platformUsage,
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` for the random choice of lost responses"},
		},
		OnUsageError: onUsageError, Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	settings, err := loadSettings[setting.Platform](cmd)
	if err != nil {
		return err
	}
	p, flushLog := newProcess(cmd, settings.Process)
	defer flushLog()
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return withExitCode(errors.Wrap(err, "start platform stand-in"))
	}
	random := rand.New(rand.NewPCG(cmd.Uint64("seed"), 0))
	stop := serveHTTP(listener, store.Handler(store.NewMemory(store.DefaultLimits, random)))
	defer stop()
	p.recorder.Record(event.Event{Number: event.ProcessStarted, Task: -1})
	waitForSignal(ctx, nil)
	p.recorder.Record(event.Event{Number: event.ProcessStopped, Task: -1})
	return nil
}
