// Command soak runs the real programs of a site on the users' platform as separate processes on loopback, disturbs
// them from outside, and checks the promises while it runs, by what callers and backend servers see.
//
// Everything that happens is drawn from a seed: processes that are stopped, killed, paused and restarted by signals;
// connections that a link delays, cuts one way or both, silences or resets; a store and backend servers that
// misbehave; changes of the configuration; bursts, cancellations and callers that give up. The disturbances come
// in series and overlap. A seed repeats the plan; the exact order of events depends on the machine.
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

// options are what a run needs.
type options struct {
	seed         uint64
	duration     time.Duration // of the disturbances
	entries      int
	agents       int
	binary       string
	logDirectory string // where logs of a broken promise are kept
}

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "disturb a site of real processes and check its promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "`NUMBER` of sites at once"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "`TIME` in which a site is disturbed"},
			&cli.IntFlag{Name: "entries", Value: 3, Usage: "`NUMBER` of entries of a site"},
			&cli.IntFlag{Name: "agents", Value: 5, Usage: "`NUMBER` of agents of a site, with a backend server each"},
			&cli.BoolFlag{Name: "regressions", Usage: "play the seeds that ever broke a promise instead"},
			&cli.StringFlag{Name: "binary", Usage: "program to run; by default it is built from these sources"},
			&cli.StringFlag{Name: "keep", Value: filepath.Join(os.TempDir(), "dogwoodglade-soak"), Usage: "`DIRECTORY` for the logs of a broken promise"},
		},
		Action: runSeeds,
	}
}

// violationError reports promises that were broken.
type violationError struct{ seeds []uint64 }

// Error implements error.
func (e *violationError) Error() string {
	return fmt.Sprintf("promises were broken with seeds %v", e.seeds)
}

func runSeeds(ctx context.Context, cmd *cli.Command) error {
	o := options{
		duration: cmd.Duration("for"), entries: cmd.Int("entries"), agents: cmd.Int("agents"), binary: cmd.String("binary"),
		logDirectory: cmd.String("keep"),
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

// runAll plays several runs, so many at once.
func runAll(ctx context.Context, runs []options, parallel int, out io.Writer) error {
	var mu sync.Mutex // guards broken and out
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

// build builds the program from the sources of the working directory.
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

// runSeed plays a seed and returns its report, and whether all promises were kept.
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
		fmt.Fprintf(&text, "seed %d: not played: %v\n", o.seed, err)
	case count == 0:
		fmt.Fprintf(&text, "seed %d: all promises were kept\n", o.seed)
		return text.String(), true
	default:
		fmt.Fprintf(&text, "seed %d: %d broken\n  %s\n", o.seed, count, strings.Join(violations, "\n  "))
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
	// recoveryWindow is the span over which recovery is measured, and recoveredShare what has to be served in it. The load is
	// a third of what the backend servers can do.
	recoveryWindow = 2 * time.Second
	recoveredShare = 0.9
)

// runSite runs a site through its plan, and returns the promises that were broken.
func runSite(ctx context.Context, o options, directory string, text *strings.Builder) (count int, violations []string, err error) {
	s, cleanUp, err := newSite(o, directory)
	if err != nil {
		return 0, nil, err
	}
	defer cleanUp()
	plan := newPlan(o.seed, o.duration, s.targets())
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
	fmt.Fprintf(text, "seed %d: recovered after %v; %v; %d calls of the store\n", o.seed, recovered, s.checker.eventCounts, s.store.Calls())
	return count, violations, ctx.Err()
}

// awaitRecovery waits until callers are served after the last disturbance, and returns how long that took.
func (s *testSite) awaitRecovery(ctx context.Context) time.Duration {
	start := time.Now()
	for ctx.Err() == nil {
		from := time.Now()
		wait(ctx, recoveryWindow)
		to := time.Now()
		wait(ctx, recoveryWindow) // for the answers
		submitted, completed := s.checker.CountServed(from, to)
		if float64(completed) >= recoveredShare*float64(submitted) && submitted > 0 {
			return from.Sub(start).Round(time.Millisecond)
		}
		if from.Sub(start) > recoveryTimeout {
			s.checker.ReportViolation("%d of %d jobs were served %v after the last disturbance", completed, submitted, from.Sub(start))
			break
		}
	}
	return time.Since(start)
}
