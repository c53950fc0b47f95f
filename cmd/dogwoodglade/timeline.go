package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/event"
	"dogwoodglade/io/operator"
)

const timelineUsage = `dogwoodglade timeline --address ADDRESS... [options]

Collects the recent events of several processes, merges them in causal order and prints those that the
options select. A process that does not answer is reported and leaves a gap.

EXAMPLES:
   dogwoodglade timeline
   dogwoodglade timeline -a 10.1.0.1:7200 -a 10.1.0.2:7200 --customer atlas --key hold-17
   dogwoodglade timeline --customer atlas --key hold-17 --task 3 --format json
   dogwoodglade timeline --process entry-1 --since 5m
   dogwoodglade timeline --since 2026-03-01T10:00:00Z --until 2026-03-01T10:00:05Z
` + exitCodes

// timelineCommand prints the merged events of several processes.
func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "print the merged events of several processes", UsageText: timelineUsage,
		OnUsageError: onUsageError,
		Flags: []cli.Flag{
			addressFlag(), timeoutFlag(),
			&cli.StringFlag{Name: "customer", Usage: "only events of this customer's jobs"},
			&cli.StringFlag{Name: "key", Usage: "only events of the job with this key"},
			&cli.IntFlag{Name: "task", Value: -1, Usage: "only events of the task with this index", HideDefault: true},
			&cli.StringFlag{Name: "process", Usage: "only events of this process"},
			&cli.StringFlag{Name: "since", Usage: "only events since a time, or since a duration before now"},
			&cli.StringFlag{Name: "until", Usage: "only events until a time, or until a duration before now"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, or json with one event a line"},
		},
		Action: printTimeline,
	}
}

func printTimeline(ctx context.Context, cmd *cli.Command) error {
	formats := map[string]func(io.Writer, event.Event) error{"text": writeText, "json": writeJSON}
	write, ok := formats[cmd.String("format")]
	if !ok || cmd.Args().Present() {
		return usageError("%s: want no arguments and the format text or json", cmd.FullName())
	}
	filter, err := timelineFilter(cmd, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	records, failed := collectEvents(ctx, cmd.StringSlice("address"), filter)
	for _, e := range event.Merge(records...) {
		if err := write(cmd.Root().Writer, e); err != nil {
			return withExitCode(errors.Wrap(err, "print events"))
		}
	}
	return eachFailed(cmd, failed)
}

func timelineFilter(cmd *cli.Command, now time.Time) (event.Filter, error) {
	filter := event.Filter{
		Customer: cmd.String("customer"), Key: cmd.String("key"), Task: cmd.Int("task"), Process: cmd.String("process"),
	}
	for flag, target := range map[string]*time.Time{"since": &filter.Since, "until": &filter.Until} {
		text := cmd.String(flag)
		if text == "" {
			continue
		}
		if before, err := time.ParseDuration(text); err == nil {
			*target = now.Add(-before)
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return filter, usageError("--%s is %q; give a time such as 2006-01-02T15:04:05Z or a duration such as 5m", flag, text)
		}
		*target = at
	}
	return filter, nil
}

// collectEvents asks all processes at once. It returns the events of each process and the errors of those
// that did not answer.
func collectEvents(ctx context.Context, addresses []string, filter event.Filter) (records [][]event.Event, failed []error) {
	records = make([][]event.Event, len(addresses))
	failed = make([]error, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			_, events, err := operator.NewClient(address, direct).Events(ctx, filter)
			records[i], failed[i] = events, errors.Wrapf(err, "the events of %s are missing", address)
		})
	}
	calls.Wait()
	return records, failed
}

func writeJSON(w io.Writer, e event.Event) error { return json.NewEncoder(w).Encode(e) }

// writeText prints the fields of an event that apply, as name=value.
func writeText(w io.Writer, e event.Event) error {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %s %d %v", e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000000Z"), e.Process, e.Number, e.Number)
	field := func(name string, value any, applies bool) {
		if applies {
			fmt.Fprintf(&line, " %s=%v", name, value)
		}
	}
	field("Customer", e.Customer, e.Customer != "")
	field("Key", e.Key, e.Key != "")
	field("Task", e.Task, e.Task >= 0)
	field("Attempt", e.Attempt, e.Attempt > 0)
	field("Epoch", e.Epoch, e.Epoch != "")
	field("Peer", e.Peer, e.Peer != "")
	field("Route", e.Route, e.Route != "")
	field("State", fmt.Sprintf("%q", e.State), e.State != "")
	field("Version", e.Version, e.Version > 0)
	field("Count", e.Count, e.Count > 0)
	_, err := fmt.Fprintln(w, line.String())
	return err
}
