package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/io/operator"
)

// Exit codes of the commands. A command that talks to several processes exits with the highest one.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4 // also if the outcome of an edit is unknown
)

const exitCodes = `
EXIT CODES:
   0 done, 1 failure, 2 usage, 3 conflict, 4 unavailable or outcome unknown`

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

var _ cli.ExitCoder = (*exitError)(nil)

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode implements cli.ExitCoder.
func (e *exitError) ExitCode() int { return e.code }

func usageError(format string, values ...any) error {
	return &exitError{code: exitUsage, err: errors.Newf(format, values...)}
}

// onUsageError returns a usage error for flags that cannot be parsed.
func onUsageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return usageError("%s: %v; see %s --help", cmd.FullName(), err, cmd.FullName())
}

// requireSubcommand is the action of a command that has only subcommands: it returns a usage error for a missing or
// unknown subcommand.
func requireSubcommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usageError("%s: unknown command %q; see %s --help", cmd.FullName(), name, cmd.FullName())
	}
	return usageError("%s: give a command; see %s --help", cmd.FullName(), cmd.FullName())
}

// withExitCode adds the exit code for the type of the error, unless it already has one.
func withExitCode(err error) error {
	var withCode *exitError
	var apiErr *operator.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &withCode):
		return err
	case !errors.As(err, &apiErr):
		return &exitError{code: exitFailure, err: err}
	}
	code := exitFailure
	switch apiErr.Type {
	case operator.Conflict:
		code = exitConflict
	case operator.Unavailable, operator.OutcomeUnknown, operator.Unreachable, "RateLimited", "StaleStore":
		code = exitUnavailable
	}
	return &exitError{code: code, err: err}
}

// combineErrors combines the errors of calls to several addresses, nil for each that succeeded, into one with the
// highest exit code. If there is more than one address, it also prints each error.
func combineErrors(cmd *cli.Command, errs []error) error {
	if len(errs) == 1 {
		return withExitCode(errs[0])
	}
	failed, code := 0, 0
	for _, err := range errs {
		var exit *exitError
		if errors.As(withExitCode(err), &exit) {
			failed++
			code = max(code, exit.code)
			_, _ = fmt.Fprintln(cmd.Root().ErrWriter, err)
		}
	}
	if failed == 0 {
		return nil
	}
	return &exitError{code: code, err: errors.Newf("%d of %d addresses failed", failed, len(errs))}
}
