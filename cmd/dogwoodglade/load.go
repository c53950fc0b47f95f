package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/invariant"
	"dogwoodglade/dev"
	"dogwoodglade/load"
)

const loadUsage = `dogwoodglade load (--dev | --entry ADDRESS...) [options]

Submits seeded load to entries over loopback HTTP and reports what callers see: answers by state and reason,
response time beyond the job's own longest task, answers in time, time to refusal and wrong answers. The
tasks are those of the sample backend server. With --dev, a site runs in the same process, and at the end its
timeline is checked against the guarantees. With --baseline, the same jobs first run on the backend servers of
that site without a dispatcher, round robin over their slots and without resubmissions.

EXAMPLES:
   # 20 jobs/s for 20 s on a new site, compared with round robin
   dogwoodglade load --dev --rate 20 --duration 20s --baseline

   # a burst of four times the rate in the middle
   dogwoodglade load --dev --agents 10 --rate 30 --burst 4x --burst-for 10s --duration 30s

   # two entries that run elsewhere on this host, with resubmissions and cancellations, as JSON
   dogwoodglade load --entry 127.0.0.1:7100 --entry 127.0.0.1:7200 --resubmit 0.05 --cancel 0.02 --format json

EXIT CODES:
   0 done, 1 wrong answer, violated guarantee or other failure, 2 usage, 4 no submission was answered`

// eventCapacityPerTask is the number of events that each process of the site can record per planned task.
const eventCapacityPerTask = 8

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "submit seeded load and report what callers see", UsageText: loadUsage,
		Flags: append(loadFlags(),
			&cli.StringSliceFlag{Name: "entry", Usage: "loopback `ADDRESS` at which an entry serves callers; may be repeated"},
			&cli.BoolFlag{Name: "dev", Usage: "start a site in this process, and stop it at the end"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "`NUMBER` of entries of the site of --dev"},
			&cli.IntFlag{Name: "agents", Value: 3, Usage: "`NUMBER` of agents of the site of --dev"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "`NUMBER` of slots of each backend server of --dev"},
			&cli.BoolFlag{Name: "baseline", Usage: "run the same jobs first without a dispatcher (only with --dev)"},
			&cli.StringFlag{Name: "format", Value: formatText, Usage: "text or json"},
		),
		OnUsageError: onUsageError, Action: runLoad,
	}
}

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds all random choices"},
		&cli.Float64Flag{Name: "rate", Value: 10, Usage: "`JOBS` per second"},
		&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "`TIME` during which jobs arrive"},
		&cli.StringFlag{Name: "tasks", Value: "1-10", Usage: "`RANGE` of the number of tasks of a job"},
		&cli.DurationFlag{Name: "run-min", Value: 50 * time.Millisecond, Usage: "shortest run `TIME` of a task"},
		&cli.DurationFlag{Name: "run-max", Value: time.Second, Usage: "longest run `TIME` of a task that is not long"},
		&cli.Float64Flag{Name: "long", Value: 0.02, Usage: "`SHARE` of long tasks, 0 to 1"},
		&cli.DurationFlag{Name: "long-min", Value: 2 * time.Second, Usage: "shortest run `TIME` of a long task"},
		&cli.DurationFlag{Name: "long-max", Value: 8 * time.Second, Usage: "longest run `TIME` of a long task"},
		&cli.StringFlag{Name: "burst", Value: "1x", Usage: "`FACTOR` of the rate during the burst, such as 4x"},
		&cli.DurationFlag{Name: "burst-for", Value: 10 * time.Second, Usage: "length of the burst as a `TIME`"},
		&cli.DurationFlag{
			Name: "burst-at", Value: 5 * time.Second, Usage: "start of the burst as a `TIME` from the first job",
		},
		&cli.Float64Flag{Name: "resubmit", Usage: "`SHARE` of jobs that are resubmitted while they run, 0 to 1"},
		&cli.Float64Flag{Name: "cancel", Usage: "`SHARE` of jobs that are cancelled while they run, 0 to 1"},
		&cli.DurationFlag{Name: "deadline", Value: 10 * time.Second, Usage: "`TIME` within which a job must be answered"},
		&cli.StringFlag{Name: "route", Value: dev.SampleRoute, Usage: "`ROUTE` of the jobs"},
		&cli.StringFlag{Name: "key-prefix", Usage: "`PREFIX` of the keys; by default a new one for each run"},
	}
}

func parseLoadSettings(cmd *cli.Command) (load.Settings, error) {
	s := load.Settings{
		Seed: cmd.Uint64("seed"), Rate: cmd.Float64("rate"), Duration: cmd.Duration("duration"),
		RunTimes:     load.Range{Min: cmd.Duration("run-min"), Max: cmd.Duration("run-max")},
		LongRunTimes: load.Range{Min: cmd.Duration("long-min"), Max: cmd.Duration("long-max")},
		LongShare:    cmd.Float64("long"), BurstStart: cmd.Duration("burst-at"), BurstDuration: cmd.Duration("burst-for"),
		ResubmitShare: cmd.Float64("resubmit"), CancelShare: cmd.Float64("cancel"), Deadline: cmd.Duration("deadline"),
		Route: cmd.String("route"), KeyPrefix: cmd.String("key-prefix"),
	}
	if s.KeyPrefix == "" {
		s.KeyPrefix = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	low, high, hasHigh := strings.Cut(cmd.String("tasks"), "-")
	if !hasHigh {
		high = low
	}
	var errLow, errHigh, errBurst error
	s.MinTasks, errLow = strconv.Atoi(low)
	s.MaxTasks, errHigh = strconv.Atoi(high)
	s.BurstFactor, errBurst = strconv.ParseFloat(strings.TrimSuffix(cmd.String("burst"), "x"), 64)
	switch {
	case errLow != nil || errHigh != nil:
		return s, usageError("%s: --tasks must be a number or a range such as 1-10", cmd.FullName())
	case errBurst != nil:
		return s, usageError("%s: --burst must be a factor such as 4x", cmd.FullName())
	}
	if err := s.Validate(); err != nil {
		return s, usageError("%s: %v", cmd.FullName(), err)
	}
	return s, nil
}

func checkLoadFlags(cmd *cli.Command) error {
	isDev, entries := cmd.Bool("dev"), cmd.StringSlice("entry")
	switch format := cmd.String("format"); {
	case format != formatText && format != formatJSON:
		return usageError("%s: --format must be text or json", cmd.FullName())
	case isDev == (len(entries) > 0):
		return usageError("%s: give either --dev or --entry", cmd.FullName())
	case cmd.Bool("baseline") && !isDev:
		return usageError("%s: --baseline requires --dev", cmd.FullName())
	}
	for _, name := range []string{"entries", "agents", "slots"} {
		if cmd.Int(name) < 1 || cmd.Int(name) > 160 {
			return usageError("%s: --%s must be 1 to 160", cmd.FullName(), name)
		}
	}
	return nil
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	if err := checkLoadFlags(cmd); err != nil {
		return err
	}
	s, err := parseLoadSettings(cmd)
	if err != nil {
		return err
	}
	// An interrupt ends the run early, and the site still stops gracefully.
	ctx, stopNotify := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stopNotify()
	context.AfterFunc(ctx, stopNotify) // a second interrupt ends the program at once
	result := &load.Result{Seed: s.Seed}
	if cmd.Bool("dev") {
		err = runOnNewSite(ctx, cmd, s, result)
	} else {
		err = submitToEntries(ctx, s, cmd.StringSlice("entry"), load.Plan(s), result)
	}
	if err != nil {
		return withExitCode(err)
	}
	if err := printLoadReport(cmd, result); err != nil {
		return err
	}
	if failures := result.Failures(); len(failures) > 0 {
		return &exitError{code: exitFailure, err: errors.Newf("load: %s", strings.Join(failures, ", "))}
	}
	if result.Run.Answered() == 0 {
		return &exitError{code: exitUnavailable, err: errors.New("load: no submission was answered")}
	}
	return nil
}

func submitToEntries(
	ctx context.Context, s load.Settings, addresses []string, jobs []load.Job, result *load.Result,
) error {
	target, cleanUp, err := load.NewEntries(addresses, nil)
	if err != nil {
		return usageError("%v", err)
	}
	defer cleanUp()
	result.Run = load.Run(ctx, s, jobs, target)
	return nil
}

// runOnNewSite starts a site, runs the load on it and checks the timeline of the site.
func runOnNewSite(ctx context.Context, cmd *cli.Command, s load.Settings, result *load.Result) error {
	jobs := load.Plan(s)
	tasks := 0
	for _, j := range jobs {
		tasks += len(j.RunTimes)
	}
	capacity := 20_000 + eventCapacityPerTask*tasks
	site, stopSite, err := dev.New(dev.Settings{
		Entries: cmd.Int("entries"), Agents: cmd.Int("agents"), Slots: cmd.Int("slots"),
		Seed: s.Seed, EventCapacity: capacity,
	})
	if err != nil {
		return err
	}
	err = submitToSite(ctx, cmd, s, site, jobs, result)
	stopSite()
	if err != nil {
		return err
	}
	events := site.Events()
	perProcess := map[string]int{}
	for _, e := range events {
		perProcess[e.Process]++
		if perProcess[e.Process] == capacity { // the recorder is full and may have evicted older events
			result.Evicted = append(result.Evicted, e.Process)
		}
	}
	result.Events = len(events)
	result.AddVerdicts(invariant.Check(events))
	return nil
}

func submitToSite(
	ctx context.Context, cmd *cli.Command, s load.Settings, site *dev.Site, jobs []load.Job, result *load.Result,
) error {
	if cmd.Bool("baseline") {
		var servers []string
		for _, b := range site.Servers {
			servers = append(servers, b.Process.Address())
		}
		target, cleanUp, err := load.NewDirect(servers, cmd.Int("slots"), nil)
		if err != nil {
			return err
		}
		result.Baseline = load.Run(ctx, s, jobs, target)
		cleanUp()
	}
	var entries []string
	for _, e := range site.Entries {
		entries = append(entries, e.Process.CallerAddress())
	}
	if err := submitToEntries(ctx, s, entries, jobs, result); err != nil {
		return err
	}
	if result.Baseline != nil {
		result.CompareToBaseline()
	}
	return nil
}

func printLoadReport(cmd *cli.Command, result *load.Result) error {
	text := result.Text()
	if cmd.String("format") == formatJSON {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode load report")
		}
		text = string(data) + "\n"
	}
	_, err := io.WriteString(cmd.Root().Writer, text)
	return errors.Wrap(err, "write load report")
}
