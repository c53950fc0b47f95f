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
	seed    uint64
	length  time.Duration // of the disturbances
	entries int
	agents  int
	binary  string
	keep    string // where logs of a broken promise are kept
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

// brokenError reports promises that were broken.
type brokenError struct{ seeds []uint64 }

// Error implements error.
func (e *brokenError) Error() string {
	return fmt.Sprintf("promises were broken with seeds %v", e.seeds)
}

func runSeeds(ctx context.Context, cmd *cli.Command) error {
	o := options{
		length: cmd.Duration("for"), entries: cmd.Int("entries"), agents: cmd.Int("agents"), binary: cmd.String("binary"),
		keep: cmd.String("keep"),
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
			r.binary, r.keep = o.binary, o.keep
			runs = append(runs, r.options)
		}
	}
	return runAll(ctx, runs, max(cmd.Int("parallel"), 1), os.Stdout)
}

// runAll plays several runs, so many at once.
func runAll(ctx context.Context, runs []options, parallel int, out io.Writer) error {
	var mu sync.Mutex // guards broken and out
	var broken []uint64
	var running sync.WaitGroup
	free := make(chan struct{}, parallel)
	for _, o := range runs {
		free <- struct{}{}
		running.Go(func() {
			text, ok := runSeed(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			_, _ = io.WriteString(out, text)
			if !ok {
				broken = append(broken, o.seed)
			}
			<-free
		})
	}
	running.Wait()
	if len(broken) > 0 {
		return errors.WithStack(&brokenError{seeds: broken})
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
	count, broken, err := play(ctx, o, directory, &text)
	switch {
	case err != nil:
		fmt.Fprintf(&text, "seed %d: not played: %v\n", o.seed, err)
	case count == 0:
		fmt.Fprintf(&text, "seed %d: all promises were kept\n", o.seed)
		return text.String(), true
	default:
		fmt.Fprintf(&text, "seed %d: %d broken\n  %s\n", o.seed, count, strings.Join(broken, "\n  "))
	}
	kept := filepath.Join(o.keep, fmt.Sprintf("seed-%d-%s", o.seed, time.Now().Format("150405")))
	if err := keepLogs(directory, kept); err != nil {
		fmt.Fprintf(&text, "seed %d: %v\n", o.seed, err)
	} else if err := os.WriteFile(filepath.Join(kept, "report.txt"), []byte(text.String()), 0o600); err != nil {
		fmt.Fprintf(&text, "seed %d: %v\n", o.seed, err)
	}
	fmt.Fprintf(&text, "seed %d: logs in %s\n", o.seed, kept)
	return text.String(), false
}

const (
	// warmUp is how long a site runs before it is disturbed.
	warmUp = 3 * time.Second
	// window is the span over which recovery is measured, and recoveredShare what has to be served in it. The load is
	// a third of what the backend servers can do.
	window         = 2 * time.Second
	recoveredShare = 0.9
)

// play runs a site through its plan, and returns the promises that were broken.
func play(ctx context.Context, o options, directory string, text *strings.Builder) (count int, broken []string, err error) {
	s, cleanUp, err := newSite(o, directory)
	if err != nil {
		return 0, nil, err
	}
	defer cleanUp()
	plan := newPlan(o.seed, o.length, s.targets())
	for _, d := range plan {
		fmt.Fprintf(text, "seed %d: %s\n", o.seed, d)
	}
	watchCtx, endWatch := context.WithCancel(ctx)
	loadCtx, endLoad := context.WithCancel(ctx)
	var watching, loading sync.WaitGroup
	watching.Go(func() { s.watch(watchCtx) })
	wait(ctx, warmUp)
	c := &callers{judge: s.judge, pick: s.pick, current: s.currentShares}
	loading.Go(func() { c.run(loadCtx, o.seed, o.agents) })
	s.perform(ctx, plan)
	recovered := s.awaitRecovery(ctx)
	endLoad()
	loading.Wait()
	wait(ctx, cancelTime)
	endWatch()
	watching.Wait()
	count, broken = s.judge.Close()
	fmt.Fprintf(text, "seed %d: recovered after %v; %v; %d calls of the store\n", o.seed, recovered, s.judge.counts, s.store.Calls())
	return count, broken, ctx.Err()
}

// awaitRecovery waits until callers are served after the last disturbance, and returns how long that took.
func (s *testSite) awaitRecovery(ctx context.Context) time.Duration {
	begun := time.Now()
	for ctx.Err() == nil {
		from := time.Now()
		wait(ctx, window)
		to := time.Now()
		wait(ctx, window) // for the answers
		asked, completed := s.judge.Served(from, to)
		if float64(completed) >= recoveredShare*float64(asked) && asked > 0 {
			return from.Sub(begun).Round(time.Millisecond)
		}
		if from.Sub(begun) > recoverTime {
			s.judge.Broke("%d of %d jobs were served %v after the last disturbance", completed, asked, from.Sub(begun))
			break
		}
	}
	return time.Since(begun)
}
