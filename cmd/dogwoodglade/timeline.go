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
options select. If a process does not respond, the error is printed and the events of that process are missing.

EXAMPLES:
   dogwoodglade timeline
   dogwoodglade timeline -a 10.1.0.1:7200 -a 10.1.0.2:7200 --customer atlas --key hold-17
   dogwoodglade timeline --customer atlas --key hold-17 --task 3 --format json
   dogwoodglade timeline --process entry-1 --since 5m
   dogwoodglade timeline --since 2026-03-01T10:00:00Z --until 2026-03-01T10:00:05Z
` + exitCodes

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
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, or json with one event per line"},
		},
		Action: printTimeline,
	}
}

func printTimeline(ctx context.Context, cmd *cli.Command) error {
	formats := map[string]func(io.Writer, event.Event) error{"text": writeEventText, "json": writeEventJSON}
	write, ok := formats[cmd.String("format")]
	if !ok || cmd.Args().Present() {
		return usageError("%s: takes no arguments, and --format must be text or json", cmd.FullName())
	}
	filter, err := timelineFilter(cmd, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	timelines, errs := collectEvents(ctx, cmd.StringSlice("address"), filter)
	for _, e := range event.Merge(timelines...) {
		if err := write(cmd.Root().Writer, e); err != nil {
			return withExitCode(errors.Wrap(err, "print events"))
		}
	}
	return combineErrors(cmd, errs)
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
		if ago, err := time.ParseDuration(text); err == nil {
			*target = now.Add(-ago)
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return filter, usageError("--%s is %q; give a time such as 2006-01-02T15:04:05Z or a duration such as 5m",
				flag, text)
		}
		*target = at
	}
	return filter, nil
}

// collectEvents requests the events of all processes concurrently. It returns the events and the error of each
// process, both in the order of the addresses.
func collectEvents(
	ctx context.Context, addresses []string, filter event.Filter,
) (timelines [][]event.Event, errs []error) {
	timelines = make([][]event.Event, len(addresses))
	errs = make([]error, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			_, events, err := operator.NewClient(address, directClient).Events(ctx, filter)
			timelines[i], errs[i] = events, errors.Wrapf(err, "collect events of %s", address)
		})
	}
	calls.Wait()
	return timelines, errs
}

func writeEventJSON(w io.Writer, e event.Event) error { return json.NewEncoder(w).Encode(e) }

// writeEventText prints an event as a line of text. Fields that do not apply are omitted, the others are name=value.
func writeEventText(w io.Writer, e event.Event) error {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %s %d %v",
		e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000000Z"), e.Process, e.Number, e.Number)
	writeField := func(name string, value any, set bool) {
		if set {
			fmt.Fprintf(&line, " %s=%v", name, value)
		}
	}
	writeField("Customer", e.Customer, e.Customer != "")
	writeField("Key", e.Key, e.Key != "")
	writeField("Task", e.Task, e.Task >= 0)
	writeField("Attempt", e.Attempt, e.Attempt > 0)
	writeField("Epoch", e.Epoch, e.Epoch != "")
	writeField("Peer", e.Peer, e.Peer != "")
	writeField("Route", e.Route, e.Route != "")
	writeField("State", fmt.Sprintf("%q", e.State), e.State != "")
	writeField("Version", e.Version, e.Version > 0)
	writeField("Count", e.Count, e.Count > 0)
	_, err := fmt.Fprintln(w, line.String())
	return err
}
