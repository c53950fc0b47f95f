package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/operator"
)

const routeUsage = `dogwoodglade route list|show|apply|delete [options]

A route maps a type of job to the pool that runs its tasks. Give one --address per region; an edit is applied
at each address and reported separately.

EXAMPLES:
   dogwoodglade route list
   dogwoodglade route show splits
   dogwoodglade route apply -f splits.yaml
   dogwoodglade route apply -f splits.yaml --expected-version 7
   dogwoodglade route delete splits --address 10.1.0.1:7200 --address 10.2.0.1:7200

Example of a row in a file (omitted columns have defaults; rows are separated by ---):
   Name: splits
   Pool: timing
   Attempts: 2
   Deadline: 5s
   MaxTasks: 160
   MaxBody: 65536
   Idempotent: true
` + exitCodes

func routeCommand() *cli.Command {
	return newTableCommand(tableCommand{
		name:      "route",
		usage:     "list, show, apply and delete routes",
		usageText: routeUsage,
		table:     table.Routes,
		list: func(ctx context.Context, c *operator.Client) (any, uint64, error) {
			rows, version, err := c.Routes(ctx)
			return rows, version, err
		},
		show: func(ctx context.Context, c *operator.Client, name string) (any, uint64, error) {
			row, version, err := c.Route(ctx, name)
			return row, version, err
		},
		printText: func(w io.Writer, rows any) {
			_, _ = fmt.Fprintln(w, "NAME\tPOOL\tATTEMPTS\tDEADLINE\tMAXTASKS\tMAXBODY\tIDEMPOTENT")
			for _, r := range rows.([]route.Route) {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%d\t%d\t%t\n",
					r.Name, r.Pool, r.Attempts, r.Deadline, r.MaxTasks, r.MaxBody, r.Idempotent)
			}
		},
	})
}
