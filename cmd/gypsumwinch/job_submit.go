package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/jobspec"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/uniqueid"
)

// jobSubmitCommand implements "gypsumwinch job submit".
type jobSubmitCommand struct {
	settings *settings
	id       string
}

// answerStatusCodes are the HTTP status codes of failed requests whose body is a
// callerapi.Answer.
var answerStatusCodes = []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// Name implements subcommands.Command.
func (*jobSubmitCommand) Name() string { return "submit" }

// Synopsis implements subcommands.Command.
func (*jobSubmitCommand) Synopsis() string { return "submit the job that a file describes" }

// Usage implements subcommands.Command.
func (*jobSubmitCommand) Usage() string {
	return "gypsumwinch job submit [flags] FILE\n" +
		"Submits the job in FILE (- for standard input). Exit code 3 means that the job\n" +
		"was not accepted. After exit code 5, run the same command with -id: a job is\n" +
		"accepted only once per id.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobSubmitCommand) SetFlags(f *flag.FlagSet) {
	c.settings.register(f)
	f.StringVar(&c.id, "id", "", "`id` of the job, a ULID (default: the id in the file, or a new one)")
}

// Execute submits the job in a file and prints the outcome. It prints the id
// of the job before sending it, so that the operator can repeat the call with
// the same id if the tool is interrupted. It implements subcommands.Command.
func (c *jobSubmitCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := exactArgs(f, "FILE")
	if err != nil {
		return reportError(err)
	}
	job, err := c.readJob(args[0])
	if err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	fmt.Fprintln(os.Stderr, "job", job.ID)
	var answer callerapi.Answer
	err = client.Do(ctx, http.MethodPost, "/v1/jobs", jobspec.Body(job), &answer, answerStatusCodes...)
	return reportError(c.settings.printAnswer(answer, mutationError(err), "accepted"))
}

// readJob reads and checks a job file. The job gets the id from -id, else from the
// file, else a new one. An invalid file is an error with exitRefused. Execute
// calls it before it connects.
func (c *jobSubmitCommand) readJob(file string) (*structs.Job, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	job, err := jobspec.ParseFile(file, data)
	if err != nil {
		return nil, &codedError{code: exitRefused, err: fmt.Errorf("nothing was sent, the file is faulty:\n%w", err)}
	}
	if c.id != "" {
		job.ID = c.id
	}
	if job.ID == "" {
		job.ID = uniqueid.New()
	}
	if _, err := ulid.ParseStrict(job.ID); err != nil {
		return nil, usagef("the job id must be a ULID, as gypsumwinch job id prints, is %q", job.ID)
	}
	return job, nil
}

// printAnswer prints the answer to a submission or a cancellation and returns an
// error with the exit code if the request was not carried out or its outcome is
// unknown. err is the error of the request, completedText the text for a request
// that was carried out. The commands "job submit" and "job cancel" call it.
func (s *settings) printAnswer(answer callerapi.Answer, err error, completedText string) error {
	if err != nil {
		return err
	}
	err = s.print(answer, func(w io.Writer) {
		statusText := string(answer.Status)
		if answer.Status == structs.StatusCompleted {
			statusText = completedText
		}
		fmt.Fprintf(w, "job %s: %s\n", answer.ID, statusText)
	})
	switch {
	case err != nil:
		return err
	case answer.Status == structs.StatusCompleted:
		return nil
	case answer.Status == structs.StatusNotRun:
		return codedErrorf(exitRefused, "not run: %s", answer.Reason)
	default:
		return codedErrorf(exitUnknown, "the outcome is unknown: %s", answer.Reason)
	}
}
