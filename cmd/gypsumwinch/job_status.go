package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/url"
	"sort"

	"github.com/google/subcommands"

	"gypsumwinch/internal/jobstate"
)

// jobStatusCommand implements "gypsumwinch job status".
type jobStatusCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*jobStatusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*jobStatusCommand) Synopsis() string { return "show the state of a job" }

// Usage implements subcommands.Command.
func (*jobStatusCommand) Usage() string {
	return "gypsumwinch job status [flags] ID\n" +
		"Shows the state of a job. Exit code 4 means that there is no such job.\n"
}

// SetFlags implements subcommands.Command.
func (c *jobStatusCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the state of a job from an entry VM and prints it. It
// implements subcommands.Command.
func (c *jobStatusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	id, client, err := c.settings.jobClient(f)
	if err != nil {
		return reportError(err)
	}
	var status jobstate.JobStatus
	err = client.Do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &status)
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(status, func(w io.Writer) {
		writeJobTable(w, status)
	}))
}

// writeJobTable writes the state of a job as a table with the number of tasks per
// state, in a fixed order. Execute calls it for the table format.
func writeJobTable(w io.Writer, s jobstate.JobStatus) {
	writeRow(w, "job", s.ID)
	writeRow(w, "team", s.Team)
	writeRow(w, "class", s.Class)
	writeRow(w, "data centre", s.DataCentre)
	writeRow(w, "submitted", formatTime(s.Submitted))
	writeRow(w, "finished", yesNo(s.Finished))
	writeRow(w, "cancelled", yesNo(s.Cancelled))
	if s.MovedTo != "" {
		writeRow(w, "moved to", s.MovedTo)
	}
	if s.Explanation != "" {
		writeRow(w, "why tasks wait", s.Explanation)
	}
	states := make([]string, 0, len(s.Counts))
	for state := range s.Counts {
		states = append(states, string(state))
	}
	sort.Strings(states)
	for _, state := range states {
		writeRow(w, "tasks "+state, s.Counts[jobstate.TaskState(state)])
	}
}
