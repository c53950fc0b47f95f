package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"dogwoodglade/core/executor"
	"dogwoodglade/dev"
	"dogwoodglade/io/backend"
	"dogwoodglade/setting"
)

const backendUsage = `dogwoodglade backend [options]

Runs a sample backend server. A task's body is {"Text": TEXT, "RunMilliseconds": N, "Fail": BOOL}; the server
waits for N milliseconds and returns the text, or fails. A body that is not JSON is returned unchanged. On
SIGINT or SIGTERM the server sends the agent a leave notice, finishes its tasks and exits.

EXAMPLES:
   dogwoodglade backend
   dogwoodglade backend --id server-2 --pool samples --agent 127.0.0.1:7500 --slots 8
` + exitCodes

func backendCommand() *cli.Command {
	return &cli.Command{
		Name: "backend", Usage: "run a sample backend server", UsageText: backendUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Value: "server-1", Usage: "`ID` of the backend server"},
			&cli.StringFlag{Name: "pool", Value: dev.SamplePool, Usage: "`POOL` of the backend server"},
			&cli.StringFlag{Name: "agent", Value: setting.DefaultBackendAddress, Usage: "`ADDRESS` of the agent"},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on (default: a random loopback port)"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "maximum `NUMBER` of concurrent tasks"},
		},
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			_, stop, err := backend.NewServer(backend.ServerSettings{
				ID: cmd.String("id"), Pool: cmd.String("pool"), Agent: cmd.String("agent"),
				Listen: cmd.String("listen"), Slots: cmd.Int("slots"), Connections: executor.DefaultConnections,
				Run: dev.RunSample(cmd.String("id")),
			})
			if err != nil {
				return withExitCode(err)
			}
			defer stop()
			waitForSignal(ctx, nil)
			return nil
		},
	}
}
