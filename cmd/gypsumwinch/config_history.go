package main

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// configHistoryCommand implements "gypsumwinch config history".
type configHistoryCommand struct {
	settings *settings
	id       string
	limit    int
}

// Name implements subcommands.Command.
func (*configHistoryCommand) Name() string { return "history" }

// Synopsis implements subcommands.Command.
func (*configHistoryCommand) Synopsis() string { return "list publications, newest first" }

// Usage implements subcommands.Command.
func (*configHistoryCommand) Usage() string {
	return "gypsumwinch config history [flags]\n" +
		"Lists accepted and refused publications. With -id, exit code 4 means that the\n" +
		"VM has not seen the publication on the log.\n"
}

// SetFlags implements subcommands.Command.
func (c *configHistoryCommand) SetFlags(f *flag.FlagSet) {
	c.settings.register(f)
	f.StringVar(&c.id, "id", "", "show the publication with this `id`")
	f.IntVar(&c.limit, "limit", operatorapi.DefaultList, "the most entries to show")
}

// Execute gets the publications that an entry VM has read from the log, or
// only the one given with -id, and prints them. It implements
// subcommands.Command.
func (c *configHistoryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactArgs(f); err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	history, err := client.ConfigHistory(ctx, operatorapi.HistoryQuery{ID: c.id, Limit: c.limit})
	if err != nil {
		return reportError(err)
	}
	if c.id != "" && len(history.Changes) == 0 {
		return reportError(codedErrorf(exitNotFound, "no publication %s on the log up to offset %d (log reachable: %s)",
			c.id, history.ReadThrough, yesNo(history.LogReachable)))
	}
	return reportError(c.settings.print(history, func(w io.Writer) {
		writeRow(w, "OFFSET", "STATUS", "BASE", "IN FORCE", "WHEN", "WHO", "WHY", "ID", "REASON")
		for _, ch := range history.Changes {
			writeRow(w, ch.Offset, ch.Status, formatVersion(ch.Base), formatVersion(ch.Version), formatTime(ch.When), ch.Who, ch.Why, ch.ID, ch.Reason)
		}
	}))
}
