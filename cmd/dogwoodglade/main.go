// Command dogwoodglade dispatches sub-second tasks. See README.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

const usage = `dogwoodglade COMMAND [options]

EXAMPLES:
   dogwoodglade dev                  run a small site in one process, and print commands to try
   dogwoodglade dev --once           run a sample job on such a site, and print its answer
   dogwoodglade entry -f entry.yaml  run an entry
   dogwoodglade load --dev           submit load to such a site, and report what callers see
   dogwoodglade submit -r sample -c atlas -k key-1 hello world`

func rootCommand() *cli.Command {
	return &cli.Command{
		Name: "dogwoodglade", Usage: "dispatch sub-second tasks", UsageText: usage,
		Action: requireSubcommand, OnUsageError: onUsageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			devCommand(), entryCommand(), agentCommand(), platformCommand(), backendCommand(),
			submitCommand(), routeCommand(), poolCommand(), timelineCommand(), checkCommand(),
			benchCommand(), traceCommand(), loadCommand(), fleetCommand(),
		},
	}
}

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	os.Exit(execute(os.Args))
}

func execute(arguments []string) int {
	root := rootCommand()
	root.ErrWriter = os.Stderr
	err := root.Run(context.Background(), arguments)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(os.Stderr, "dogwoodglade:", err)
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return exitFailure
}
