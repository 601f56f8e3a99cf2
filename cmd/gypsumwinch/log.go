package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/logstory"
)

func newLogGroup(s *settings) *group {
	return &group{
		name:     "log",
		synopsis: "explain jobs from the log lines of the VMs",
		commands: []subcommands.Command{
			&logExplainCommand{},
			&logSummaryCommand{settings: s},
		},
	}
}

// readLogs reads files, or standard input if none is named.
func readLogs(files []string) ([]logstory.Line, error) {
	if len(files) == 0 {
		return readLog("standard input", os.Stdin)
	}
	var all []logstory.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, &exitErr{exitUsage, err}
		}
		lines, err := readLog(name, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads one log and says what it passed over.
func readLog(name string, r io.Reader) ([]logstory.Line, error) {
	lines, foreign, err := logstory.Read(r)
	if foreign > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines are not the daemon's\n", name, foreign)
	}
	return lines, eris.Wrap(err, name)
}

type logExplainCommand struct{}

// Name implements subcommands.Command.
func (*logExplainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*logExplainCommand) Synopsis() string { return "tell the story of a job, in order of time" }

// Usage implements subcommands.Command.
func (*logExplainCommand) Usage() string {
	return "gypsumwinch log explain ID [FILE...]\n" +
		"Reads the log lines of several VMs, from files or standard input, and prints\n" +
		"those about a job, with the changes of the cell's owner between them.\n"
}

// SetFlags implements subcommands.Command.
func (*logExplainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *logExplainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 {
		return finish(&exitErr{exitUsage, eris.New("explain takes the id of a job and log files")})
	}
	id := f.Arg(0)
	lines, err := readLogs(f.Args()[1:])
	if err != nil {
		return finish(err)
	}
	story, gaps := logstory.Story(lines, id)
	if len(story) == 0 {
		return finish(&exitErr{exitNotFound, eris.Errorf("no line is about job %q", id)})
	}
	for _, l := range story {
		fmt.Printf("%+9.3f s  %-22s %s %s %s\n", l.At.Sub(story[0].At).Seconds(), l.VM, l.Message,
			strings.TrimPrefix(l.ID, id+"."), l.Text())
	}
	for _, g := range gaps {
		fmt.Println("gap: " + g)
	}
	return finish(nil)
}

type logSummaryCommand struct{ settings *settings }

// Name implements subcommands.Command.
func (*logSummaryCommand) Name() string { return "summary" }

// Synopsis implements subcommands.Command.
func (*logSummaryCommand) Synopsis() string { return "count by queue what became of jobs, and why" }

// Usage implements subcommands.Command.
func (*logSummaryCommand) Usage() string {
	return "gypsumwinch log summary [flags] [FILE...]\n" +
		"Reads the log lines of several VMs, from files or standard input.\n"
}

// SetFlags implements subcommands.Command.
func (c *logSummaryCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute implements subcommands.Command.
func (c *logSummaryCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	lines, err := readLogs(f.Args())
	if err != nil {
		return finish(err)
	}
	summary := logstory.Summarize(lines)
	return finish(c.settings.print(summary, func(w io.Writer) {
		row(w, "QUEUE", "ACCEPTED", "NOT RUN", "UNKNOWN", "COMPLETED", "GIVEN UP", "CANCELLED", "P50", "P99", "CAUSES")
		for _, s := range summary {
			row(w, s.Queue, s.Accepted, s.NotRun, s.Unknown, s.Completed, s.GivenUp, s.Cancelled, s.P50, s.P99, causesText(s.Causes))
		}
	}))
}

// causesText lists counts in a fixed order.
func causesText(causes map[string]int) string {
	var parts []string
	for cause, n := range causes {
		parts = append(parts, fmt.Sprintf("%s %d", cause, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
