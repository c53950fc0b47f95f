// Command soak runs the real programs of a site as separate processes on loopback, with a simulated platform. It
// injects faults from outside the processes, and checks the guarantees against what callers and backend servers
// observe.
//
// A plan of disturbances is drawn from a seed: processes are stopped, killed, paused and restarted by signals; links
// delay, block (in one direction or both), blackhole or reset connections; the store and backend servers misbehave; the
// configuration changes; callers submit bursts of jobs, cancel them or give up. Disturbances come in series and
// overlap. The same seed gives the same plan, but the exact order of events depends on the machine.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// options configure the run of one site.
type options struct {
	seed          uint64
	duration      time.Duration // of the plan
	entries       int
	agents        int
	overlapping   bool // the plan is that of newOverlappingPlan
	configuration bool // the plan is that of newConfigurationPlan
	restarts      bool // the plan has the disturbances of withRestarts
	lateOnWay     bool // late orders outlive the process that they were sent to
	binary        string
	logDirectory  string // where logs are saved after a violation
}

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "inject faults into a site of real processes and check its guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "`NUMBER` of sites at once"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "`TIME` in which a site is disturbed"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "`NUMBER` of entries of a site"},
			&cli.IntFlag{Name: "agents", Value: 5, Usage: "`NUMBER` of agents of a site, with a backend server each"},
			&cli.BoolFlag{
				Name: "overlapping", Usage: "break connections in waves beside slow processes, while callers leave and submit again",
			},
			&cli.BoolFlag{
				Name: "configuration", Usage: "change the configuration while the store turns some entries away",
			},
			&cli.BoolFlag{
				Name: "restarts", Usage: "restart backend servers under their ID, agents and entries at once",
			},
			&cli.BoolFlag{
				Name: "late-on-way", Usage: "deliver a late order to the backend server that has restarted under the ID meanwhile",
			},
			&cli.BoolFlag{Name: "regressions", Usage: "run the seeds of earlier violations instead"},
			&cli.StringFlag{Name: "binary", Usage: "program to run; by default it is built from these sources"},
			&cli.StringFlag{
				Name: "keep", Value: filepath.Join(os.TempDir(), "dogwoodglade-soak"),
				Usage: "`DIRECTORY` for the logs of runs with violations",
			},
		},
		Action: runSeeds,
	}
}

// violationError lists the seeds whose runs had violations or could not be completed.
type violationError struct{ seeds []uint64 }

// Error implements error.
func (e *violationError) Error() string {
	return fmt.Sprintf("guarantees violated or run not completed with seeds %v", e.seeds)
}

func runSeeds(ctx context.Context, cmd *cli.Command) error {
	o := options{
		duration: cmd.Duration("for"), entries: cmd.Int("entries"), agents: cmd.Int("agents"), binary: cmd.String("binary"),
		logDirectory: cmd.String("keep"), overlapping: cmd.Bool("overlapping"),
		configuration: cmd.Bool("configuration"), restarts: cmd.Bool("restarts"), lateOnWay: cmd.Bool("late-on-way"),
	}
	if o.binary == "" {
		binary, cleanUp, err := build(ctx)
		if err != nil {
			return err
		}
		defer cleanUp()
		o.binary = binary
	}
	var runs []options
	for i := range uint64(cmd.Int("seeds")) {
		o.seed = cmd.Uint64("seed") + i
		runs = append(runs, o)
	}
	if cmd.Bool("regressions") {
		runs = nil
		for _, r := range regressions {
			r.binary, r.logDirectory = o.binary, o.logDirectory
			runs = append(runs, r.options)
		}
	}
	return runAll(ctx, runs, max(cmd.Int("parallel"), 1), os.Stdout)
}

// runAll runs several sites, up to parallel of them at the same time.
func runAll(ctx context.Context, runs []options, parallel int, out io.Writer) error {
	var mu sync.Mutex // guards failedSeeds and out
	var failedSeeds []uint64
	var running sync.WaitGroup
	semaphore := make(chan struct{}, parallel)
	for _, o := range runs {
		semaphore <- struct{}{}
		running.Go(func() {
			text, ok := runSeed(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			_, _ = io.WriteString(out, text)
			if !ok {
				failedSeeds = append(failedSeeds, o.seed)
			}
			<-semaphore
		})
	}
	running.Wait()
	if len(failedSeeds) > 0 {
		return errors.WithStack(&violationError{seeds: failedSeeds})
	}
	return nil
}

// build compiles the program from the module of the working directory into a temporary directory.
func build(ctx context.Context) (binary string, cleanUp func(), err error) {
	directory, err := os.MkdirTemp("", "soak-build-")
	if err != nil {
		return "", nil, errors.Wrap(err, "build")
	}
	cleanUp = func() { _ = os.RemoveAll(directory) }
	binary = filepath.Join(directory, "dogwoodglade")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", binary, "dogwoodglade/cmd/dogwoodglade")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		cleanUp()
		return "", nil, errors.Wrap(err, "build")
	}
	return binary, cleanUp, nil
}

// runSeed runs a site and returns the report, and whether all guarantees held. If not, it saves the logs.
func runSeed(ctx context.Context, o options) (report string, ok bool) {
	var text strings.Builder
	directory, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return fmt.Sprintf("seed %d: %v\n", o.seed, err), false
	}
	defer func() { _ = os.RemoveAll(directory) }()
	count, violations, err := runSite(ctx, o, directory, &text)
	switch {
	case err != nil:
		fmt.Fprintf(&text, "seed %d: run not completed: %v\n", o.seed, err)
	case count == 0:
		fmt.Fprintf(&text, "seed %d: all guarantees held\n", o.seed)
		return text.String(), true
	default:
		fmt.Fprintf(&text, "seed %d: %d violations\n  %s\n", o.seed, count, strings.Join(violations, "\n  "))
	}
	saved := filepath.Join(o.logDirectory, fmt.Sprintf("seed-%d-%s", o.seed, time.Now().Format("150405")))
	if err := saveLogs(directory, saved); err != nil {
		fmt.Fprintf(&text, "seed %d: %v\n", o.seed, err)
	} else if err := os.WriteFile(filepath.Join(saved, "report.txt"), []byte(text.String()), 0o600); err != nil {
		fmt.Fprintf(&text, "seed %d: %v\n", o.seed, err)
	}
	fmt.Fprintf(&text, "seed %d: logs in %s\n", o.seed, saved)
	return text.String(), false
}

const (
	// warmUp is how long a site runs before it is disturbed.
	warmUp = 3 * time.Second
	// recoveryWindow is the period over which recovery is measured, and recoveredShare the share of the jobs submitted in
	// it that have to complete. The load is a third of the capacity of the backend servers.
	recoveryWindow = 2 * time.Second
	recoveredShare = 0.9
)

// runSite starts a site, executes its plan under load, and returns the violations.
func runSite(
	ctx context.Context, o options, directory string, text *strings.Builder,
) (count int, violations []string, err error) {
	s, cleanUp, err := newSite(o, directory)
	if err != nil {
		return 0, nil, err
	}
	defer cleanUp()
	draw := newPlan
	switch {
	case o.configuration:
		draw = newConfigurationPlan
	case o.overlapping:
		draw = newOverlappingPlan
	}
	plan := draw(o.seed, o.duration, s.targets())
	if o.restarts {
		plan = withRestarts(plan, o.seed, s.targets())
	}
	for _, d := range plan {
		fmt.Fprintf(text, "seed %d: %s\n", o.seed, d)
	}
	watchCtx, endWatch := context.WithCancel(ctx)
	loadCtx, endLoad := context.WithCancel(ctx)
	var watching, loading sync.WaitGroup
	watching.Go(func() { s.watchEntries(watchCtx) })
	wait(ctx, warmUp)
	c := &callers{checker: s.checker, pickEntry: s.pickEntry, behaviour: s.currentBehaviour}
	loading.Go(func() { c.run(loadCtx, o.seed, o.agents) })
	s.executePlan(ctx, plan)
	recovered := s.awaitRecovery(ctx)
	endLoad()
	loading.Wait()
	wait(ctx, cancelTimeout)
	endWatch()
	watching.Wait()
	count, violations = s.checker.Finish()
	effects, misses := s.checker.Summary()
	fmt.Fprintf(text, "seed %d: took effect: %v\nseed %d: least time before a run elsewhere: %v\n",
		o.seed, effects, o.seed, misses)
	fmt.Fprintf(text, "seed %d: recovered after %v; %v; %d store calls\n",
		o.seed, recovered, s.checker.eventCounts, s.store.Calls())
	if err := s.checker.SaveTraces(directory); err != nil {
		return count, violations, err
	}
	return count, violations, ctx.Err()
}

// awaitRecovery waits until callers are served again after the last disturbance, and returns how long that took. It
// reports a violation if that takes longer than recoveryTimeout.
func (s *testSite) awaitRecovery(ctx context.Context) time.Duration {
	start := time.Now()
	for ctx.Err() == nil {
		from := time.Now()
		wait(ctx, recoveryWindow)
		to := time.Now()
		wait(ctx, recoveryWindow) // for the responses
		submitted, completed := s.checker.CountServed(from, to)
		if float64(completed) >= recoveredShare*float64(submitted) && submitted > 0 {
			return from.Sub(start).Round(time.Millisecond)
		}
		if from.Sub(start) > recoveryTimeout {
			s.checker.ReportViolation("only %d of %d jobs completed %v after the last disturbance",
				completed, submitted, from.Sub(start))
			break
		}
	}
	return time.Since(start)
}
