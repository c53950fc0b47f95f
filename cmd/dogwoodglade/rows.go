package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/table"
	"dogwoodglade/io/operator"
	"dogwoodglade/setting"
)

// maxInput bounds the rows read from standard input, in bytes.
const maxInput = 1 << 20

// direct connects to the processes without a proxy.
var direct = &http.Client{Transport: &http.Transport{}}

// rowKind is what differs between the commands of the two tables.
type rowKind struct {
	command string
	usage   string
	text    string
	table   table.Name
	list    func(ctx context.Context, c *operator.Client) (rows any, version uint64, err error)
	show    func(ctx context.Context, c *operator.Client, name string) (row any, version uint64, err error)
	print   func(w io.Writer, rows any)
}

func rowsCommand(k rowKind) *cli.Command {
	format := &cli.StringFlag{Name: "format", Value: "text", Usage: "text, yaml or json"}
	edit := []cli.Flag{
		&cli.Uint64Flag{Name: "expected-version", Usage: "refuse the edit unless the table has this version"},
		&cli.StringFlag{Name: "edit-id", Usage: "ID of the edit, to repeat one whose outcome is unknown (default: random)"},
	}
	file := &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "file with rows, or - for standard input"}
	return &cli.Command{
		Name: k.command, Usage: k.usage, UsageText: k.text, Action: unknownCommand, OnUsageError: onUsageError,
		Commands: []*cli.Command{
			subcommand("list", "list all rows", "", k.listRows, format),
			subcommand("show", "show one row", "NAME", k.showRow, &cli.StringFlag{Name: "format", Value: "yaml", Usage: "yaml or json"}),
			subcommand("apply", "add or replace the rows of a file", "", k.applyRows, append(edit, file)...),
			subcommand("delete", "delete a row", "NAME", k.deleteRow, edit...),
		},
	}
}

func subcommand(name, usage, arguments string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: arguments, OnUsageError: onUsageError,
		Flags: append([]cli.Flag{addressFlag(), timeoutFlag()}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			wanted := 0
			if arguments != "" {
				wanted = 1
			}
			if cmd.Args().Len() != wanted {
				return usageError("%s: got %d arguments, want %d; see %s --help", cmd.FullName(), cmd.Args().Len(), wanted,
					cmd.FullName())
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
			defer cancel()
			return withExitCode(action(ctx, cmd))
		},
	}
}

func addressFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "address", Aliases: []string{"a"}, Value: []string{setting.DefaultOperatorAddress},
		Usage: "operators' address of a process; may be repeated",
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "longest time for the whole command"}
}

// eachAddress calls the process at each address, whether or not another one failed.
func eachAddress(cmd *cli.Command, call func(address string, c *operator.Client) error) error {
	var errs []error
	for _, address := range cmd.StringSlice("address") {
		err := call(address, operator.NewClient(address, direct))
		errs = append(errs, errors.Wrap(err, address))
	}
	return eachFailed(cmd, errs)
}

func (k rowKind) listRows(ctx context.Context, cmd *cli.Command) error {
	return eachAddress(cmd, func(address string, c *operator.Client) error {
		rows, version, err := k.list(ctx, c)
		if err != nil {
			return err
		}
		return k.write(cmd, address, version, rows, cmd.String("format"))
	})
}

func (k rowKind) showRow(ctx context.Context, cmd *cli.Command) error {
	return eachAddress(cmd, func(address string, c *operator.Client) error {
		row, version, err := k.show(ctx, c, cmd.Args().First())
		if err != nil {
			return err
		}
		return k.write(cmd, address, version, row, cmd.String("format"))
	})
}

// write prints rows. Text and YAML start with a comment that names the version.
func (k rowKind) write(cmd *cli.Command, address string, version uint64, rows any, format string) error {
	w := cmd.Root().Writer
	comment := fmt.Sprintf("# %s version %d at %s\n", k.table, version, address)
	switch format {
	case "text":
		_, _ = io.WriteString(w, comment)
		tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		k.print(tab, rows)
		return errors.Wrap(tab.Flush(), "print rows")
	case "yaml":
		data, err := yaml.Marshal(rows)
		if err != nil {
			return errors.Wrap(err, "encode rows")
		}
		_, err = fmt.Fprintf(w, "%s%s", comment, data)
		return errors.Wrap(err, "print rows")
	case "json":
		data, err := yaml.MarshalWithOptions(rows, yaml.JSON())
		if err != nil {
			return errors.Wrap(err, "encode rows")
		}
		_, err = w.Write(data)
		return errors.Wrap(err, "print rows")
	}
	return usageError("%s: there is no format %q", cmd.FullName(), format)
}

func (k rowKind) applyRows(ctx context.Context, cmd *cli.Command) error {
	data, err := readInput(cmd, cmd.String("file"))
	if err != nil {
		return err
	}
	edits, err := operator.DecodeRows(k.table, cmd.String("file"), data)
	if err != nil {
		return err
	}
	if cmd.Uint64("expected-version") > 0 && len(edits) > 1 {
		return usageError("%s: --expected-version needs a file with one row", cmd.FullName())
	}
	return k.edit(ctx, cmd, edits)
}

func (k rowKind) deleteRow(ctx context.Context, cmd *cli.Command) error {
	return k.edit(ctx, cmd, []table.Edit{table.Delete("", k.table, cmd.Args().First())})
}

// edit makes the edits at each address, and stops at an address after the first that fails.
func (k rowKind) edit(ctx context.Context, cmd *cli.Command, edits []table.Edit) error {
	id := cmd.String("edit-id")
	if id == "" {
		id = rand.Text()
	}
	return eachAddress(cmd, func(address string, c *operator.Client) error {
		for i, e := range edits {
			e.ID = id
			if len(edits) > 1 {
				e.ID = fmt.Sprintf("%s-%d", id, i+1)
			}
			accepted, err := c.Edit(ctx, e, cmd.Uint64("expected-version"))
			if err != nil {
				return errors.Wrapf(err, "%s %s (edit ID %s)", k.command, e.Row, e.ID)
			}
			_, _ = fmt.Fprintf(cmd.Root().Writer, "%s: %s %s accepted, version %d\n", address, k.command, accepted.Row, accepted.Version)
		}
		return nil
	})
}

// readInput reads a file, or standard input if the name is "-".
func readInput(cmd *cli.Command, file string) ([]byte, error) {
	if file != "-" {
		return setting.ReadFile(file)
	}
	data, err := io.ReadAll(io.LimitReader(cmd.Root().Reader, maxInput+1))
	if err == nil && len(data) > maxInput {
		err = errors.Newf("over %d bytes", maxInput)
	}
	return data, errors.Wrap(err, "read standard input")
}
