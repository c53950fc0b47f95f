package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/table"
	"dogwoodglade/io/operator"
)

const poolUsage = `dogwoodglade pool list|show|apply|delete [options]

A pool describes a group of backend servers and how its slots are shared. Give one --address per region; an
edit is applied at each address and reported separately. A pool that a route uses cannot be deleted.

EXAMPLES:
   dogwoodglade pool list
   dogwoodglade pool show timing
   dogwoodglade pool apply -f timing.yaml
   dogwoodglade pool apply -f timing.yaml --expected-version 3
   dogwoodglade pool delete timing

Example of a row in a file (omitted columns have defaults; rows are separated by ---):
   Name: timing
   ReservedSlots: 0.2
   LongThreshold: 1500ms
   LongMaxWait: 5s
   QueueLimit: 10000
   Shares: {trappelop: 3, atlas: 1}
   Quotas: {atlas: 100}
` + exitCodes

func poolCommand() *cli.Command {
	return newTableCommand(tableCommand{
		name:      "pool",
		usage:     "list, show, apply and delete pools",
		usageText: poolUsage,
		table:     table.Pools,
		list: func(ctx context.Context, c *operator.Client) (any, uint64, error) {
			rows, version, err := c.Pools(ctx)
			return rows, version, err
		},
		show: func(ctx context.Context, c *operator.Client, name string) (any, uint64, error) {
			row, version, err := c.Pool(ctx, name)
			return row, version, err
		},
		printText: func(w io.Writer, rows any) {
			_, _ = fmt.Fprintln(w, "NAME\tSLOTS\tRESERVED\tLONGTHRESHOLD\tLONGMAXWAIT\tQUEUELIMIT\tSHARES\tQUOTAS")
			for _, p := range rows.([]pool.Pool) {
				_, _ = fmt.Fprintf(w, "%s\t%d\t%g\t%v\t%v\t%d\t%d\t%d\n", p.Name, p.Slots, *p.WithDefaults().ReservedSlots,
					p.LongThreshold, p.LongMaxWait, p.QueueLimit, len(p.Shares), len(p.Quotas))
			}
		},
	})
}
