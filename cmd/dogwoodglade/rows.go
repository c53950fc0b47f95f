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

// maxInputBytes limits what is read from standard input.
const maxInputBytes = 1 << 20

// directClient does not use the proxy that the environment may configure.
var directClient = &http.Client{Transport: &http.Transport{}}

// tableCommand describes the command of one table. The commands of routes and pools differ only in these fields.
type tableCommand struct {
	name      string
	usage     string
	usageText string
	table     table.Name
	list      func(ctx context.Context, c *operator.Client) (rows any, version uint64, err error)
	show      func(ctx context.Context, c *operator.Client, name string) (row any, version uint64, err error)
	printText func(w io.Writer, rows any)
}

func newTableCommand(t tableCommand) *cli.Command {
	listFormat := &cli.StringFlag{Name: "format", Value: "text", Usage: "text, yaml or json"}
	showFormat := &cli.StringFlag{Name: "format", Value: "yaml", Usage: "yaml or json"}
	editFlags := []cli.Flag{
		&cli.Uint64Flag{Name: "expected-version", Usage: "reject the edit unless the table has this version"},
		&cli.StringFlag{
			Name:  "edit-id",
			Usage: "ID of the edit; to retry an edit whose outcome is unknown, give its ID again (default: random)",
		},
	}
	fileFlag := &cli.StringFlag{
		Name: "file", Aliases: []string{"f"}, Required: true, Usage: "file with rows, or - for standard input",
	}
	return &cli.Command{
		Name: t.name, Usage: t.usage, UsageText: t.usageText, Action: requireSubcommand, OnUsageError: onUsageError,
		Commands: []*cli.Command{
			newTableSubcommand("list", "list all rows", "", t.listRows, listFormat),
			newTableSubcommand("show", "show one row", "NAME", t.showRow, showFormat),
			newTableSubcommand("apply", "add or replace the rows of a file", "", t.applyRows, append(editFlags, fileFlag)...),
			newTableSubcommand("delete", "delete a row", "NAME", t.deleteRow, editFlags...),
		},
	}
}

func newTableSubcommand(name, usage, arguments string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: arguments, OnUsageError: onUsageError,
		Flags: append([]cli.Flag{addressFlag(), timeoutFlag()}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			want := 0
			if arguments != "" {
				want = 1
			}
			if cmd.Args().Len() != want {
				return usageError("%s: got %d arguments, want %d; see %s --help", cmd.FullName(), cmd.Args().Len(), want,
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
		Usage: "operator API address of a process; may be repeated",
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "time limit for the whole command"}
}

// forEachAddress calls the operator API at each address, even if calls to other addresses fail.
func forEachAddress(cmd *cli.Command, call func(address string, c *operator.Client) error) error {
	var errs []error
	for _, address := range cmd.StringSlice("address") {
		err := call(address, operator.NewClient(address, directClient))
		errs = append(errs, errors.Wrap(err, address))
	}
	return combineErrors(cmd, errs)
}

func (t tableCommand) listRows(ctx context.Context, cmd *cli.Command) error {
	return forEachAddress(cmd, func(address string, c *operator.Client) error {
		rows, version, err := t.list(ctx, c)
		if err != nil {
			return err
		}
		return t.write(cmd, address, version, rows, cmd.String("format"))
	})
}

func (t tableCommand) showRow(ctx context.Context, cmd *cli.Command) error {
	return forEachAddress(cmd, func(address string, c *operator.Client) error {
		row, version, err := t.show(ctx, c, cmd.Args().First())
		if err != nil {
			return err
		}
		return t.write(cmd, address, version, row, cmd.String("format"))
	})
}

// write prints rows. Text and YAML output starts with a comment that gives the version of the table.
func (t tableCommand) write(cmd *cli.Command, address string, version uint64, rows any, format string) error {
	w := cmd.Root().Writer
	header := fmt.Sprintf("# %s version %d at %s\n", t.table, version, address)
	switch format {
	case "text":
		_, _ = io.WriteString(w, header)
		tabbed := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		t.printText(tabbed, rows)
		return errors.Wrap(tabbed.Flush(), "print rows")
	case "yaml":
		data, err := yaml.Marshal(rows)
		if err != nil {
			return errors.Wrap(err, "encode rows")
		}
		_, err = fmt.Fprintf(w, "%s%s", header, data)
		return errors.Wrap(err, "print rows")
	case "json":
		data, err := yaml.MarshalWithOptions(rows, yaml.JSON())
		if err != nil {
			return errors.Wrap(err, "encode rows")
		}
		_, err = w.Write(data)
		return errors.Wrap(err, "print rows")
	}
	return usageError("%s: unknown format %q", cmd.FullName(), format)
}

func (t tableCommand) applyRows(ctx context.Context, cmd *cli.Command) error {
	data, err := readInput(cmd, cmd.String("file"))
	if err != nil {
		return err
	}
	edits, err := operator.DecodeRows(t.table, cmd.String("file"), data)
	if err != nil {
		return err
	}
	if cmd.Uint64("expected-version") > 0 && len(edits) > 1 {
		return usageError("%s: --expected-version requires a file with exactly one row", cmd.FullName())
	}
	return t.applyEdits(ctx, cmd, edits)
}

func (t tableCommand) deleteRow(ctx context.Context, cmd *cli.Command) error {
	return t.applyEdits(ctx, cmd, []table.Edit{table.Delete("", t.table, cmd.Args().First())})
}

// applyEdits applies the edits in order at each address. After the first failed edit, it skips the rest at that
// address.
func (t tableCommand) applyEdits(ctx context.Context, cmd *cli.Command, edits []table.Edit) error {
	id := cmd.String("edit-id")
	if id == "" {
		id = rand.Text()
	}
	return forEachAddress(cmd, func(address string, c *operator.Client) error {
		for i, e := range edits {
			e.ID = id
			if len(edits) > 1 {
				e.ID = fmt.Sprintf("%s-%d", id, i+1)
			}
			accepted, err := c.Edit(ctx, e, cmd.Uint64("expected-version"))
			if err != nil {
				return errors.Wrapf(err, "%s %s (edit ID %s)", t.name, e.Row, e.ID)
			}
			_, _ = fmt.Fprintf(cmd.Root().Writer, "%s: %s %s accepted, version %d\n",
				address, t.name, accepted.Row, accepted.Version)
		}
		return nil
	})
}

// readInput reads a file, or standard input if the name is "-".
func readInput(cmd *cli.Command, file string) ([]byte, error) {
	if file != "-" {
		return setting.ReadFile(file)
	}
	data, err := io.ReadAll(io.LimitReader(cmd.Root().Reader, maxInputBytes+1))
	if err == nil && len(data) > maxInputBytes {
		err = errors.Newf("input is larger than %d bytes", maxInputBytes)
	}
	return data, errors.Wrap(err, "read standard input")
}
