package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// jobExplainCommand implements "gypsumwinch job explain".
type jobExplainCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*jobExplainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*jobExplainCommand) Synopsis() string { return "explain why tasks of a job wait" }

// Usage implements subcommands.Command.
func (*jobExplainCommand) Usage() string {
	return "gypsumwinch job explain [flags] ID\n" +
		"Shows per task group what keeps tasks from starting and whether any worker could\n" +
		"ever run them. Exit code 4 means that there is no such job.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobExplainCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute asks an entry VM why tasks of a job wait and prints the explanation.
// It implements subcommands.Command.
func (c *jobExplainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	id, client, err := c.settings.jobClient(f)
	if err != nil {
		return reportError(err)
	}
	explanation, err := client.ExplainJob(ctx, id)
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(explanation, func(w io.Writer) {
		writeExplanation(w, explanation)
	}))
}

// writeExplanation writes, per task group, the counts of its tasks and why they
// wait, and then a table of the tasks. Execute calls it for the table format.
func writeExplanation(w io.Writer, explanation operatorapi.Explanation) {
	fmt.Fprintf(w, "job %s in %s: %s\n", explanation.Job, explanation.DataCentre, explanation.State)
	for _, g := range explanation.Groups {
		fmt.Fprintf(w, "group %s: %d pending, %d running, %d done\n", g.Name, g.Pending, g.Running, g.Done)
		if g.CanNeverRun {
			fmt.Fprintln(w, "  no worker can ever run a task of this group")
		}
		for _, reason := range g.Reasons {
			fmt.Fprintln(w, "  -", oneLine(reason))
		}
	}
	if len(explanation.Tasks) == 0 {
		return
	}
	writeRow(w, "TASK", "ATTEMPT", "WORKER", "STATE")
	for _, t := range explanation.Tasks {
		writeRow(w, t.Index, t.Attempt, orDash(t.Worker), t.State)
	}
}
