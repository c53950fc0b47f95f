package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
	"dogwoodglade/core/trace"
	"dogwoodglade/dev"
	"dogwoodglade/io/caller"
	"dogwoodglade/io/operator"
	"dogwoodglade/setting"
)

const devUsage = `dogwoodglade dev [options]

Runs a complete small site in one process over loopback: a stand-in for the platform, two entries, three
agents and a sample backend server beside each agent. No configuration is needed. Faults of the platform can
be injected over HTTP at the address that the command prints. With --once, it submits a sample job, prints
the complete answer, stops gracefully and exits.

EXAMPLES:
   dogwoodglade dev
   dogwoodglade dev --once
   dogwoodglade dev --once --tasks 20 --run 50ms --trace run.trace
   dogwoodglade dev --entries 3 --agents 10

EXIT CODES:
   0 done, 1 failed, 2 usage, 3 not run, 4 outcome unknown`

const defaultSampleTasks = 5

func devCommand() *cli.Command {
	return &cli.Command{
		Name: "dev", Usage: "run a complete small site in one process", UsageText: devUsage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "submit a sample job, print its answer and stop"},
			&cli.IntFlag{Name: "tasks", Value: defaultSampleTasks, Usage: "`NUMBER` of tasks of the sample job"},
			&cli.DurationFlag{Name: "run", Value: 100 * time.Millisecond, Usage: "run `TIME` of a sample task"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "`NUMBER` of entries"},
			&cli.IntFlag{Name: "agents", Value: 3, Usage: "`NUMBER` of agents"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "`NUMBER` of slots of each backend server"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` for the random choice of lost platform responses"},
			&cli.StringFlag{Name: "trace", Usage: "write the timeline to `FILE` at the end, for the trace command"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
		},
		OnUsageError: onUsageError, Action: runDev,
	}
}

func runDev(ctx context.Context, cmd *cli.Command) error {
	level, err := zerolog.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return usageError("%s: --log-level: %v", cmd.FullName(), err)
	}
	for _, name := range []string{"tasks", "entries", "agents", "slots"} {
		if cmd.Int(name) < 1 || cmd.Int(name) > 160 {
			return usageError("%s: --%s must be 1 to 160", cmd.FullName(), name)
		}
	}
	logger := zerolog.New(cmd.Root().ErrWriter).Level(level).With().Timestamp().Logger()
	settings := dev.Settings{
		Entries: cmd.Int("entries"), Agents: cmd.Int("agents"), Slots: cmd.Int("slots"),
		Seed: cmd.Uint64("seed"), Log: newEventLogger(logger),
	}
	if !cmd.Bool("once") {
		settings.CallerAddress = setting.DefaultCallerAddress
	}
	site, stop, err := dev.New(settings)
	if err != nil {
		return withExitCode(err)
	}
	if cmd.Bool("once") {
		err = submitSample(ctx, cmd, site)
	} else {
		err = serveUntilSignal(ctx, cmd, site)
	}
	stop()
	if file := cmd.String("trace"); file != "" {
		err = errors.CombineErrors(err, writeTrace(file, site.Events()))
	}
	return err
}

// writeTrace writes a timeline to a file that the trace command can read.
func writeTrace(name string, events []event.Event) (err error) {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write trace")
	}
	defer func() { err = errors.CombineErrors(err, errors.Wrap(file.Close(), "write trace")) }()
	return errors.Wrap(trace.Write(file, events), "write trace")
}

func submitSample(ctx context.Context, cmd *cli.Command, site *dev.Site) error {
	s := job.Submission{
		ID:    task.JobID{Customer: "sample", Key: fmt.Sprintf("dev-%d", time.Now().UnixNano())},
		Route: dev.SampleRoute,
	}
	for i := range cmd.Int("tasks") {
		body := fmt.Sprintf(`{"Text":"task %d","RunMilliseconds":%d}`, i, cmd.Duration("run").Milliseconds())
		s.Bodies = append(s.Bodies, []byte(body))
	}
	a, err := caller.NewClient(site.Entries[0].Process.CallerAddress(), nil).Submit(ctx, s)
	if err != nil {
		return withExitCode(err)
	}
	return printAnswer(cmd, a)
}

func serveUntilSignal(ctx context.Context, cmd *cli.Command, site *dev.Site) error {
	addresses, stop, err := serveOperatorAPIs(site)
	if err != nil {
		return withExitCode(err)
	}
	defer stop()
	_, _ = fmt.Fprintf(cmd.Root().Writer, `Running a site of %d entries and %d agents. Caller API: %s, operator API: %s.
Commands to try:
  dogwoodglade submit -r %s -c atlas -k key-1 hello world
  dogwoodglade route list
  dogwoodglade pool show %s
  dogwoodglade timeline --address %s
  curl -X PUT -d '{"Down": true}' http://%s/v1/faults
Press Ctrl-C to stop.
`, len(site.Entries), len(site.Agents), site.Entries[0].Process.CallerAddress(), setting.DefaultOperatorAddress,
		dev.SampleRoute, dev.SamplePool, strings.Join(addresses, " --address "), site.PlatformAddress)
	waitForSignal(ctx, nil)
	return nil
}

// serveOperatorAPIs serves the operator API of each process of the site and returns the addresses.
func serveOperatorAPIs(site *dev.Site) (addresses []string, cleanUp func(), err error) {
	var stops []func()
	cleanUp = func() {
		for _, stop := range stops {
			stop()
		}
	}
	serve := func(address string, config operator.Config) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "serve operator API")
		}
		stops = append(stops, operator.Serve(listener, config))
		addresses = append(addresses, listener.Addr().String())
		return nil
	}
	address := setting.DefaultOperatorAddress
	for _, e := range site.Entries {
		err = errors.CombineErrors(err, serve(address, operator.Config{
			Process: e.Name, Tables: e.Process.Tables(), Recorder: e.Recorder, Metrics: e.Metrics,
			NotReadyReasons: e.Process.NotReadyReasons,
		}))
		address = "127.0.0.1:0"
	}
	for _, a := range site.Agents {
		err = errors.CombineErrors(err, serve(address, operator.Config{
			Process: a.Name, Recorder: a.Recorder, Metrics: a.Metrics, NotReadyReasons: a.Process.NotReadyReasons,
		}))
	}
	if err != nil {
		cleanUp()
	}
	return addresses, cleanUp, err
}
