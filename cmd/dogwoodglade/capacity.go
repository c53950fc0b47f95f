package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"dogwoodglade/capacity"
)

const capacityUsage = `dogwoodglade bench capacity [--select PREFIX] [--repeats N] [--json]

Measures what the code costs per unit of state and per message: live heap, processor time and bytes on the
wire. Each measure runs at four sizes or more and prints a least-squares line with its R2 and its largest
residual. docs/CAPACITY.md multiplies the slopes by the target sizes. Messages are sent over loopback, and
their processor time covers sender and receiver.

EXAMPLES:
   dogwoodglade bench capacity
   dogwoodglade bench capacity --select message. --json
   dogwoodglade bench capacity --select allocator.grant --repeats 5
` + exitCodes

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure the cost of state and messages", UsageText: capacityUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "select", Usage: "run only the measures whose names start with `PREFIX`"},
			&cli.IntFlag{Name: "repeats", Value: 3, Usage: "runs at each size, of which the lowest result counts"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON with all points"},
		},
		OnUsageError: onUsageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			measures, err := capacity.Select(cmd.String("select"))
			if err != nil {
				return usageError("%s: %v", cmd.FullName(), err)
			}
			var slopes []capacity.Slope
			for _, m := range measures {
				measured, err := m.Slopes(cmd.Int("repeats"))
				if err != nil {
					return withExitCode(err)
				}
				slopes = append(slopes, measured...)
			}
			if cmd.Bool("json") {
				return capacity.WriteJSON(cmd.Root().Writer, slopes)
			}
			return capacity.WriteText(cmd.Root().Writer, slopes)
		},
	}
}
