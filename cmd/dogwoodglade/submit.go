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

Submits a job with one task for each BODY, waits for the whole answer and prints it as JSON. Each entry
address is tried in turn until one answers; the same key makes that a resubmission. With --new, the command
gets a ticket first, so that the job is served even during a recovery: give it only for a key that nobody has
submitted before. A resubmission of an earlier call must repeat its key and its ticket.

EXAMPLES:
   dogwoodglade submit -r sample -c atlas -k key-1 hello world
   dogwoodglade submit -r sample -c atlas -k key-2 -d 2s '{"Text":"hold","RunMilliseconds":50}'
   dogwoodglade submit -r sample -c atlas -k key-1 --lookup
   dogwoodglade submit -r sample -c atlas -k key-1 --cancel

EXIT CODES:
   0 complete, 1 failed, 2 usage, 3 not run, 4 outcome unknown or no entry answers`

// submitCommand submits a job and prints its answer.
func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "submit a job and print its answer", UsageText: submitUsage, ArgsUsage: "BODY...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Aliases: []string{"e"}, Value: []string{setting.DefaultCallerAddress},
				Usage: "`ADDRESS` of an entry for callers; may be repeated",
			},
			&cli.StringFlag{Name: "customer", Aliases: []string{"c"}, Required: true, Usage: "`CUSTOMER` of the job"},
			&cli.StringFlag{Name: "key", Aliases: []string{"k"}, Required: true, Usage: "`KEY` of the submission"},
			&cli.StringFlag{Name: "route", Aliases: []string{"r"}, Usage: "`ROUTE` of the job"},
			&cli.DurationFlag{Name: "deadline", Aliases: []string{"d"}, Usage: "longest `TIME` to wait for the answer"},
			&cli.BoolFlag{Name: "idempotent", Usage: "allow tasks to run again as the route says"},
			&cli.StringFlag{Name: "ticket", Usage: "`TICKET` of the first submission"},
			&cli.BoolFlag{Name: "new", Usage: "the key was never submitted before; get a ticket that says so"},
			&cli.BoolFlag{Name: "lookup", Usage: "print the state of the job instead"},
			&cli.BoolFlag{Name: "cancel", Usage: "cancel the job instead"},
		},
		OnUsageError: onUsageError, Action: runSubmit,
	}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	s, err := submissionOf(cmd)
	if err != nil {
		return err
	}
	var last error
	for _, address := range cmd.StringSlice("entry") {
		a, err := send(ctx, cmd, caller.NewClient(address, nil), &s)
		var refused *caller.RequestError
		if errors.As(err, &refused) {
			return &exitError{code: exitUsage, err: err}
		}
		if err == nil {
			return printAnswer(cmd, a)
		}
		last = err
	}
	return &exitError{code: exitUnavailable, err: last}
}

func submissionOf(cmd *cli.Command) (job.Submission, error) {
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

// send makes one try at an entry. A ticket that one entry issued stays with the submission, so that a later
// try at another entry is a resubmission.
func send(ctx context.Context, cmd *cli.Command, c *caller.Client, s *job.Submission) (job.Answer, error) {
	switch {
	case cmd.Bool("lookup"):
		return c.Lookup(ctx, s.ID)
	case cmd.Bool("cancel"):
		return c.Cancel(ctx, s.ID)
	}
	// Only whoever made the key knows that it is new. A ticket for a key that was submitted before would let a
	// new owner start its tasks a second time.
	if s.Ticket.IsZero() && cmd.Bool("new") {
		ticket, err := c.IssueTicket(ctx, s.ID)
		if err != nil {
			return job.Answer{}, err
		}
		s.Ticket = ticket
	}
	return c.Submit(ctx, *s)
}

// printedAnswer is the form in which the command prints an answer.
type printedAnswer struct {
	Customer   string
	Key        string
	State      job.State
	Reason     job.Reason    `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
	Results    []printedResult
	Ticket     string `json:",omitempty"`
}

type printedResult struct {
	Status int
	Body   string
}

func printAnswer(cmd *cli.Command, a job.Answer) error {
	printed := printedAnswer{
		Customer: a.ID.Customer, Key: a.ID.Key, State: a.State, Reason: a.Reason,
		RetryAfter: a.RetryAfter, Results: []printedResult{}, Ticket: a.Ticket.String(),
	}
	for _, r := range a.Results {
		printed.Results = append(printed.Results, printedResult{Status: r.Status, Body: string(r.Body)})
	}
	text, err := json.MarshalIndent(printed, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print answer")
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, string(text))
	return exitOf(a)
}

// AnswerError reports an answer that is not complete.
type AnswerError struct{ Answer job.Answer }

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("submit %s: %s %s", e.Answer.ID, e.Answer.State, e.Answer.Reason)
}

func exitOf(a job.Answer) error {
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
	return &exitError{code: code, err: &AnswerError{Answer: a}}
}
