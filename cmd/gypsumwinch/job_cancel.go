package main

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"gypsumwinch/internal/callerapi"
)

// jobCancelCommand implements "gypsumwinch job cancel".
type jobCancelCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*jobCancelCommand) Name() string { return "cancel" }

// Synopsis implements subcommands.Command.
func (*jobCancelCommand) Synopsis() string { return "cancel a job" }

// Usage implements subcommands.Command.
func (*jobCancelCommand) Usage() string {
	return "gypsumwinch job cancel [flags] ID\n" +
		"Cancels a job. Repeating a cancellation is safe. Exit code 5 means that it is\n" +
		"unknown whether the cancellation takes effect.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobCancelCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute asks an entry VM to cancel a job and prints the outcome. It
// implements subcommands.Command.
func (c *jobCancelCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	id, client, err := c.settings.jobClient(f)
	if err != nil {
		return reportError(err)
	}
	var answer callerapi.Answer
	err = client.Do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &answer, answerStatusCodes...)
	return reportError(c.settings.printAnswer(answer, mutationError(err), "cancelled"))
}
