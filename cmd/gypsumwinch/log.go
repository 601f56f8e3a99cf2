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

// newLogGroup returns the commands of "gypsumwinch log". run calls it.
func newLogGroup(s *settings) *commandGroup {
	return &commandGroup{
		name:     "log",
		synopsis: "explain jobs from the log lines of the VMs",
		commands: []subcommands.Command{
			&logExplainCommand{},
			&logSummaryCommand{settings: s},
		},
	}
}

// readLogs reads the log lines of files, or of standard input if none is named.
// A file that cannot be opened is an error with exitUsage. The log commands call
// it.
func readLogs(files []string) ([]logstory.Line, error) {
	if len(files) == 0 {
		return readLog("standard input", os.Stdin)
	}
	var all []logstory.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, &codedError{exitUsage, err}
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

// readLog reads one log and reports on standard error how many lines it skipped.
// readLogs calls it.
func readLog(name string, r io.Reader) ([]logstory.Line, error) {
	lines, skipped, err := logstory.Read(r)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines of the daemon\n", name, skipped)
	}
	return lines, eris.Wrap(err, name)
}

// logExplainCommand implements "gypsumwinch log explain".
type logExplainCommand struct{}

// Name implements subcommands.Command.
func (*logExplainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*logExplainCommand) Synopsis() string { return "show the history of a job, in order of time" }

// Usage implements subcommands.Command.
func (*logExplainCommand) Usage() string {
	return "gypsumwinch log explain ID [FILE...]\n" +
		"Reads the log lines of several VMs, from files or standard input, and prints\n" +
		"those about a job, with the changes of the cell's owner between them.\n"
}

// SetFlags implements subcommands.Command.
func (*logExplainCommand) SetFlags(*flag.FlagSet) {}

// Execute reads logs and prints the lines about a job, with the time since the
// first one, and the gaps in its history. It implements subcommands.Command.
func (c *logExplainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 {
		return reportError(&codedError{exitUsage, eris.New("log explain needs the id of a job, and may be given log files after it")})
	}
	id := f.Arg(0)
	lines, err := readLogs(f.Args()[1:])
	if err != nil {
		return reportError(err)
	}
	jobLines, gaps := logstory.Story(lines, id)
	if len(jobLines) == 0 {
		return reportError(&codedError{exitNotFound, eris.Errorf("no log line is about job %q", id)})
	}
	for _, l := range jobLines {
		fmt.Printf("%+9.3f s  %-22s %s %s %s\n", l.At.Sub(jobLines[0].At).Seconds(), l.VM, l.Message,
			strings.TrimPrefix(l.ID, id+"."), l.Text())
	}
	for _, g := range gaps {
		fmt.Println("gap: " + g)
	}
	return reportError(nil)
}

// logSummaryCommand implements "gypsumwinch log summary".
type logSummaryCommand struct{ settings *settings }

// Name implements subcommands.Command.
func (*logSummaryCommand) Name() string { return "summary" }

// Synopsis implements subcommands.Command.
func (*logSummaryCommand) Synopsis() string {
	return "count the outcomes of jobs and their causes per queue"
}

// Usage implements subcommands.Command.
func (*logSummaryCommand) Usage() string {
	return "gypsumwinch log summary [flags] [FILE...]\n" +
		"Reads the log lines of several VMs, from files or standard input.\n"
}

// SetFlags implements subcommands.Command.
func (c *logSummaryCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute reads logs and prints the outcomes of jobs per queue. It implements
// subcommands.Command.
func (c *logSummaryCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	lines, err := readLogs(f.Args())
	if err != nil {
		return reportError(err)
	}
	summary := logstory.Summarize(lines)
	return reportError(c.settings.print(summary, func(w io.Writer) {
		writeRow(w, "QUEUE", "ACCEPTED", "NOT RUN", "UNKNOWN", "COMPLETED", "GIVEN UP", "CANCELLED", "P50", "P99", "CAUSES")
		for _, s := range summary {
			writeRow(w, s.Queue, s.Accepted, s.NotRun, s.Unknown, s.Completed, s.GivenUp, s.Cancelled, s.P50, s.P99, causesText(s.Causes))
		}
	}))
}

// causesText lists the causes and their counts in a fixed order, for the summary
// table.
func causesText(causes map[string]int) string {
	var parts []string
	for cause, n := range causes {
		parts = append(parts, fmt.Sprintf("%s %d", cause, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
