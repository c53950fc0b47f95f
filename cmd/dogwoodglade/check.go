package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/table"
	"dogwoodglade/internal/strict"
	"dogwoodglade/io/operator"
	"dogwoodglade/setting"
)

const checkUsage = `dogwoodglade check KIND FILE...

Validates files and reports all errors at once, each with file, line, column and key. KIND is entry, agent
or platform for settings, routes or pools for the rows that "route apply" and "pool apply" take, or tables
for a file with the lists Routes and Pools, which are validated together. FILE may be - for standard input.
"check configuration" checks the operators' configuration of the users' platform.

EXAMPLES:
   dogwoodglade check entry entry.yaml
   dogwoodglade check tables tables.yaml
   dogwoodglade route show splits | dogwoodglade check routes -

EXIT CODES:
   0 no errors, 1 invalid content or a file that cannot be read, 2 usage`

var validators = map[string]func(file string, data []byte) error{
	"entry":    checkSettings[setting.Entry],
	"agent":    checkSettings[setting.Agent],
	"platform": checkSettings[setting.Platform],
	"routes":   func(file string, data []byte) error { return checkRows(table.Routes, file, data) },
	"pools":    func(file string, data []byte) error { return checkRows(table.Pools, file, data) },
	"tables": func(file string, data []byte) error {
		_, err := operator.DecodeTables(file, data)
		return err
	},
}

func checkSettings[S setting.Settings[S]](file string, data []byte) error {
	_, err := setting.Decode[S](file, data)
	return err
}

func checkRows(n table.Name, file string, data []byte) error {
	_, err := operator.DecodeRows(n, file, data)
	return err
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate settings and table files", UsageText: checkUsage, ArgsUsage: "KIND FILE...",
		OnUsageError: onUsageError, Commands: []*cli.Command{checkConfigurationCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			validate, ok := validators[cmd.Args().First()]
			if !ok || cmd.Args().Len() < 2 {
				return usageError("%s: give a kind (entry, agent, platform, routes, pools or tables) and files", cmd.FullName())
			}
			count := 0
			for _, file := range cmd.Args().Tail() {
				data, err := readInput(cmd, file)
				if err == nil {
					err = validate(file, data)
				}
				count += printErrors(cmd, err)
			}
			if count > 0 {
				return &exitError{code: exitFailure, err: errors.Newf("%d errors", count)}
			}
			return nil
		},
	}
}

// printErrors prints the errors of a file and returns their number.
func printErrors(cmd *cli.Command, err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, err)
	var invalid *strict.ValidationError
	if errors.As(err, &invalid) {
		return len(invalid.Diagnostics)
	}
	return 1
}
