package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/job"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
	"dogwoodglade/io/caller"
	"dogwoodglade/setting"
)

const submitUsage = `dogwoodglade submit [options] BODY...

Submits a job with one task for each BODY, waits for the complete answer and prints it as JSON. Each entry
address is tried in turn until one answers; since the key is the same, later tries are resubmissions. With
--new, the command gets a ticket first, so that the job is accepted even during a recovery: use it only for a
key that was never submitted before. A resubmission of an earlier call must repeat its key and its ticket.

EXAMPLES:
   dogwoodglade submit -r sample -c atlas -k key-1 hello world
   dogwoodglade submit -r sample -c atlas -k key-2 -d 2s '{"Text":"hold","RunMilliseconds":50}'
   dogwoodglade submit -r sample -c atlas -k key-1 --lookup
   dogwoodglade submit -r sample -c atlas -k key-1 --cancel

EXIT CODES:
   0 complete, 1 failed, 2 usage, 3 not run, 4 outcome unknown or no entry answered`

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submit a job and print its answer", UsageText: submitUsage, ArgsUsage: "BODY...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Aliases: []string{"e"}, Value: []string{setting.DefaultCallerAddress},
				Usage: "`ADDRESS` at which an entry serves callers; may be repeated",
			},
			&cli.StringFlag{Name: "customer", Aliases: []string{"c"}, Required: true, Usage: "`CUSTOMER` of the job"},
			&cli.StringFlag{Name: "key", Aliases: []string{"k"}, Required: true, Usage: "`KEY` of the submission"},
			&cli.StringFlag{Name: "route", Aliases: []string{"r"}, Usage: "`ROUTE` of the job"},
			&cli.DurationFlag{Name: "deadline", Aliases: []string{"d"}, Usage: "`TIME` limit for the answer"},
			&cli.BoolFlag{Name: "idempotent", Usage: "allow tasks to be retried as the route permits"},
			&cli.StringFlag{Name: "ticket", Usage: "`TICKET` of the first submission"},
			&cli.BoolFlag{Name: "new", Usage: "the key was never submitted before: get a ticket first"},
			&cli.BoolFlag{Name: "lookup", Usage: "print the state of the job instead of submitting it"},
			&cli.BoolFlag{Name: "cancel", Usage: "cancel the job instead of submitting it"},
		},
		OnUsageError: onUsageError, Action: runSubmit,
	}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	s, err := parseSubmission(cmd)
	if err != nil {
		return err
	}
	var lastErr error
	for _, address := range cmd.StringSlice("entry") {
		a, err := sendOnce(ctx, cmd, caller.NewClient(address, nil), &s)
		var requestErr *caller.RequestError
		if errors.As(err, &requestErr) {
			return &exitError{code: exitUsage, err: err}
		}
		if err == nil {
			return printAnswer(cmd, a)
		}
		lastErr = err
	}
	return &exitError{code: exitUnavailable, err: lastErr}
}

func parseSubmission(cmd *cli.Command) (job.Submission, error) {
	s := job.Submission{
		ID:       task.JobID{Customer: cmd.String("customer"), Key: cmd.String("key")},
		Route:    cmd.String("route"),
		Deadline: cmd.Duration("deadline"),
	}
	if cmd.IsSet("idempotent") {
		idempotent := cmd.Bool("idempotent")
		s.Idempotent = &idempotent
	}
	for _, body := range cmd.Args().Slice() {
		s.Bodies = append(s.Bodies, []byte(body))
	}
	if !cmd.Bool("lookup") && !cmd.Bool("cancel") && (len(s.Bodies) == 0 || s.Route == "") {
		return s, usageError("%s: give a --route and a body for each task", cmd.FullName())
	}
	ticket, err := shard.ParseTicket(cmd.String("ticket"))
	if err != nil {
		return s, &exitError{code: exitUsage, err: err}
	}
	s.Ticket = ticket
	return s, nil
}

// sendOnce sends the request to one entry. It stores a ticket that the entry issues in the submission, so that a
// later try at another entry is a resubmission with the same ticket.
func sendOnce(ctx context.Context, cmd *cli.Command, c *caller.Client, s *job.Submission) (job.Answer, error) {
	switch {
	case cmd.Bool("lookup"):
		return c.Lookup(ctx, s.ID)
	case cmd.Bool("cancel"):
		return c.Cancel(ctx, s.ID)
	}
	// Only the caller that chose the key knows that it is new. A ticket for a key that was submitted before would
	// let a new owner start its tasks a second time.
	if s.Ticket.IsZero() && cmd.Bool("new") {
		ticket, err := c.IssueTicket(ctx, s.ID)
		if err != nil {
			return job.Answer{}, err
		}
		s.Ticket = ticket
	}
	return c.Submit(ctx, *s)
}

// answerOutput is an answer as the command prints it in JSON.
type answerOutput struct {
	Customer   string
	Key        string
	State      job.State
	Reason     job.Reason    `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
	Results    []resultOutput
	Ticket     string `json:",omitempty"`
}

type resultOutput struct {
	Status int
	Body   string
}

func printAnswer(cmd *cli.Command, a job.Answer) error {
	output := answerOutput{
		Customer: a.ID.Customer, Key: a.ID.Key, State: a.State, Reason: a.Reason,
		RetryAfter: a.RetryAfter, Results: []resultOutput{}, Ticket: a.Ticket.String(),
	}
	for _, r := range a.Results {
		output.Results = append(output.Results, resultOutput{Status: r.Status, Body: string(r.Body)})
	}
	text, err := json.MarshalIndent(output, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print answer")
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, string(text))
	return answerExitError(a)
}

// IncompleteAnswerError reports an answer that is not complete.
type IncompleteAnswerError struct{ Answer job.Answer }

// Error implements error.
func (e *IncompleteAnswerError) Error() string {
	return fmt.Sprintf("submit %s: %s %s", e.Answer.ID, e.Answer.State, e.Answer.Reason)
}

// answerExitError returns nil for a complete or pending job, and otherwise an error with the exit code for its state.
func answerExitError(a job.Answer) error {
	code := 0
	switch a.State {
	case job.Complete, job.Pending:
		return nil
	case job.Failed:
		code = exitFailure
	case job.NotRun:
		code = exitConflict
	case job.OutcomeUnknown:
		code = exitUnavailable
	}
	return &exitError{code: code, err: &IncompleteAnswerError{Answer: a}}
}
