package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/site"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/platform"
)

const checkConfigurationUsage = `dogwoodglade check configuration [--in-force FILE] [--memory-mb N] FILE

Checks a configuration of the users' platform before it is written to the store, with what entries would make of it.
Prints one line for each finding: entries that are skipped or can never match, limits that contradict each other or
those of the processes, and other values that have no effect. With --in-force, also what would change. FILE may be
- for standard input.

EXAMPLES:
   dogwoodglade check configuration next.json
   dogwoodglade check configuration --in-force current.json next.json

EXIT CODES:
   0 no errors (there may be warnings), 1 errors, or a file that cannot be read, 2 usage`

func checkConfigurationCommand() *cli.Command {
	return &cli.Command{
		Name: "configuration", Usage: "check a configuration of the users' platform",
		UsageText: checkConfigurationUsage, ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "`FILE` with the configuration that it replaces"},
			&cli.Int64Flag{Name: "memory-mb", Value: defaultMemory >> 20, Usage: "memory of the smallest entry, in `MiB`"},
		},
		OnUsageError: onUsageError, Action: runCheckConfiguration,
	}
}

func runCheckConfiguration(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 || cmd.Int64("memory-mb") < 1 {
		return usageError("%s: give one file, and at least 1 MiB of memory", cmd.FullName())
	}
	process := site.RequestLimits{
		BodyBytes:   newClientLimits(cmd.Int64("memory-mb")<<20, 0).maxBody(),
		HeaderBytes: httpserver.MaxHeaderBytes, HeaderTimeout: httpserver.HeaderTimeout, IdleTimeout: httpserver.IdleTimeout,
	}
	candidate, findings, err := readConfiguration(cmd, cmd.Args().First(), process)
	if err != nil {
		return err
	}
	if file := cmd.String("in-force"); file != "" {
		current, _, err := readConfiguration(cmd, file, process)
		if err != nil {
			return err
		}
		if _, newer := current.Newer(candidate); !newer {
			findings = append(findings, site.Finding{
				Severity: site.Error, Entry: "version",
				Message: fmt.Sprintf("it is %d, and %d is in force; entries ignore the configuration", candidate.Version, current.Version),
			})
		}
		for _, d := range site.Differences(current, candidate) {
			_, _ = fmt.Fprintln(cmd.Root().Writer, d)
		}
	}
	count := 0
	for _, f := range findings {
		_, _ = fmt.Fprintln(cmd.Root().Writer, f)
		if f.Severity == site.Error {
			count++
		}
	}
	if count > 0 {
		return &exitError{code: exitFailure, err: errors.Newf("%d errors", count)}
	}
	return nil
}

func readConfiguration(
	cmd *cli.Command, file string, process site.RequestLimits,
) (site.Configuration, []site.Finding, error) {
	data, err := readInput(cmd, file)
	if err != nil {
		return site.Configuration{}, nil, &exitError{code: exitFailure, err: err}
	}
	c, findings, err := platform.CheckConfiguration(data, process)
	if err != nil {
		return c, nil, &exitError{code: exitFailure, err: errors.Wrapf(err, "%s", file)}
	}
	return c, findings, nil
}
