package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/uniqueid"
)

// jobIDCommand implements "gypsumwinch job id".
type jobIDCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*jobIDCommand) Name() string { return "id" }

// Synopsis implements subcommands.Command.
func (*jobIDCommand) Synopsis() string { return "print a new id for a job or request" }

// Usage implements subcommands.Command.
func (*jobIDCommand) Usage() string {
	return "gypsumwinch job id\n" +
		"Prints a new ULID with the current time. Needs no connection.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobIDCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute prints a new ULID. It makes no request. It implements
// subcommands.Command.
func (c *jobIDCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactArgs(f); err != nil {
		return reportError(err)
	}
	id := struct {
		ID string `json:"id"`
	}{uniqueid.New()}
	return reportError(c.settings.print(id, func(w io.Writer) {
		fmt.Fprintln(w, id.ID)
	}))
}
