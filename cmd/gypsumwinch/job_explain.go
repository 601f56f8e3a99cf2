package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

type jobExplainCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*jobExplainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*jobExplainCommand) Synopsis() string { return "tell why tasks of a job wait" }

// Usage implements subcommands.Command.
func (*jobExplainCommand) Usage() string {
	return "gypsumwinch job explain [flags] ID\n" +
		"Tells per task group what keeps tasks from starting and whether any worker could\n" +
		"ever run them. Exit code 4 means that there is no such job.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobExplainCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute implements subcommands.Command.
func (c *jobExplainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	id, client, err := c.settings.jobClient(f)
	if err != nil {
		return finish(err)
	}
	why, err := client.ExplainJob(ctx, id)
	if err != nil {
		return finish(err)
	}
	return finish(c.settings.print(why, func(w io.Writer) {
		explanation(w, why)
	}))
}

func explanation(w io.Writer, why operatorapi.Explanation) {
	fmt.Fprintf(w, "job %s in %s: %s\n", why.Job, why.DataCentre, why.State)
	for _, g := range why.Groups {
		fmt.Fprintf(w, "group %s: %d pending, %d running, %d done\n", g.Name, g.Pending, g.Running, g.Done)
		if g.CanNeverRun {
			fmt.Fprintln(w, "  no worker can ever run a task of this group")
		}
		for _, reason := range g.Reasons {
			fmt.Fprintln(w, "  -", oneLine(reason))
		}
	}
	if len(why.Tasks) == 0 {
		return
	}
	row(w, "TASK", "ATTEMPT", "WORKER", "STATE")
	for _, t := range why.Tasks {
		row(w, t.Index, t.Attempt, orDash(t.Worker), t.State)
	}
}
