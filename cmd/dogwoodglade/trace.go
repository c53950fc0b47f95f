package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/event"
	"dogwoodglade/core/trace"
)

const traceUsage = `dogwoodglade trace replay FILE --expect FILE

Checks a recorded timeline against expected outcomes. The trace has one event per line, as "dogwoodglade
timeline --format json" prints it; FILE may be - for standard input. The expected outcomes are YAML. A
guarantee under Promises that is not listed is expected to hold, and a count that is not listed is not checked:

   Promises: {P6: Broken}
   Answers: {Complete: 12, NotRun: 1}
   Events: {TaskStarted: 40}

EXAMPLES:
   dogwoodglade timeline -a 127.0.0.1:7200 --format json > site.trace
   dogwoodglade trace replay site.trace --expect site.yaml

EXIT CODES:
   0 the outcomes are as expected, 1 they differ, 2 usage or a file that cannot be read`

const (
	exitOutcomesDiffer = 1
	exitTraceUsage     = 2
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "check recorded timelines", UsageText: traceUsage,
		Commands: []*cli.Command{{
			Name: "replay", Usage: "check a recorded timeline against expected outcomes", UsageText: traceUsage,
			ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "expect", Usage: "YAML file with the expected outcomes", Required: true},
			},
			Action: replayTrace,
		}},
	}
}

func replayTrace(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("trace replay: give exactly one trace file", exitTraceUsage)
	}
	events, err := readTrace(cmd)
	if err != nil {
		return cli.Exit(err.Error(), exitTraceUsage)
	}
	data, err := os.ReadFile(cmd.String("expect"))
	if err != nil {
		return cli.Exit(errors.Wrap(err, "read expected outcomes").Error(), exitTraceUsage)
	}
	expectation, err := trace.ReadExpectation(data)
	if err != nil {
		return cli.Exit(err.Error(), exitTraceUsage)
	}
	differences := expectation.Diff(events)
	out := cmd.Root().Writer
	for _, d := range differences {
		if err := printDifference(out, d); err != nil {
			return errors.Wrap(err, "print differences")
		}
	}
	if len(differences) > 0 {
		message := fmt.Sprintf("trace replay: %d outcomes differ from the expected ones", len(differences))
		return cli.Exit(message, exitOutcomesDiffer)
	}
	_, err = fmt.Fprintf(out, "%d events, all outcomes as expected\n", len(events))
	return errors.Wrap(err, "print result")
}

func readTrace(cmd *cli.Command) (events []event.Event, err error) {
	name := cmd.Args().First()
	if name == "-" {
		return trace.Read(cmd.Root().Reader)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return trace.Read(file)
}

func printDifference(out io.Writer, d trace.Difference) error {
	if _, err := fmt.Fprintln(out, d); err != nil {
		return err
	}
	for _, v := range d.Violations {
		if _, err := fmt.Fprintf(out, "  %s\n", v.Reason); err != nil {
			return err
		}
		for _, e := range v.Events {
			_, err := fmt.Fprintf(out, "    %s %s %s %s/%s task %d attempt %d %s\n",
				e.Stamp.Time().UTC().Format(time.RFC3339Nano), e.Process, e.Number, e.Customer, e.Key,
				e.Task, e.Attempt, e.State)
			if err != nil {
				return err
			}
		}
	}
	return nil
}
