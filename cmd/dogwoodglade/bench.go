package main

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/bench"
)

const benchUsage = `Measures the state machines in simulated time against an ideal queue and baselines.
The same seed and settings give the same report. A missed target does not change the exit status.

Examples:

  # everything: both sites, all measures
  dogwoodglade bench

  # response times at the site with the longer delays, with another seed
  dogwoodglade bench --seed 7 --site trappelop --measure response

  # two measures as JSON, with shorter traces
  dogwoodglade bench --measure crest --measure blocking --duration 3m --format json`

// Output formats of the bench and load reports.
const (
	formatText = "text"
	formatJSON = "json"
)

// formatError reports an unknown value of the flag --format.
type formatError struct{ format string }

// Error implements error.
func (e *formatError) Error() string { return "format bench report: unknown format " + e.format }

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure the state machines in simulated time",
		Description: benchUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds all random choices"},
			&cli.StringFlag{Name: "site", Value: bench.AllSites, Usage: "trappelop, atlas or all"},
			&cli.StringSliceFlag{
				Name: "measure", Value: bench.Measures(),
				Usage: "one of " + strings.Join(bench.Measures(), ", ") + "; may be repeated",
			},
			&cli.DurationFlag{
				Name: "duration", Value: bench.DefaultDuration, Usage: "simulated time that each steady load lasts",
			},
			&cli.IntFlag{
				Name: "repetitions", Value: bench.DefaultRepetitions, Usage: "number of traces of each burst",
			},
			&cli.StringFlag{Name: "format", Value: formatText, Usage: "text or json"},
		},
		OnUsageError: onUsageError,
		Action:       runBench,
		Commands:     []*cli.Command{capacityCommand()},
	}
}

func runBench(_ context.Context, cmd *cli.Command) error {
	format := cmd.String("format")
	if format != formatText && format != formatJSON {
		return &formatError{format: format}
	}
	report, err := bench.Run(bench.Settings{
		Seed: cmd.Uint64("seed"), Site: cmd.String("site"), Measures: cmd.StringSlice("measure"),
		Duration: cmd.Duration("duration"), Repetitions: cmd.Int("repetitions"),
	})
	if err != nil {
		return err
	}
	text := report.Text()
	if format == formatJSON {
		data, err := report.JSON()
		if err != nil {
			return err
		}
		text = string(data) + "\n"
	}
	_, err = io.WriteString(cmd.Root().Writer, text)
	return errors.Wrap(err, "write bench report")
}
