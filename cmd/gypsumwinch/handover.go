package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// handoverCommand implements "gypsumwinch handover".
type handoverCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*handoverCommand) Name() string { return "handover" }

// Synopsis implements subcommands.Command.
func (*handoverCommand) Synopsis() string {
	return "write the handover report for the next operator on duty"
}

// Usage implements subcommands.Command.
func (*handoverCommand) Usage() string {
	return "gypsumwinch handover [flags]\n" +
		"Writes the classes with their targets, whether these are met now, what changed\n" +
		"recently and by whom, what fails and what the system does about it.\n"
}

// SetFlags implements subcommands.Command.
func (c *handoverCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the data of the handover report from an entry VM and prints the
// report. It implements subcommands.Command.
func (c *handoverCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactArgs(f); err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	report, err := client.Handover(ctx)
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(report, func(w io.Writer) {
		writeHandover(w, report)
	}))
}

// writeHandover writes the handover report as text. Execute calls it for the table
// format.
func writeHandover(w io.Writer, report operatorapi.Handover) {
	s := report.Status
	fmt.Fprintf(w, "Handover report of %s, as seen from %s in %s.\n", formatTime(report.Time), s.VM, s.DataCentre)
	fmt.Fprintf(w, "Configuration version %s is in force. %s\n\n", formatVersion(s.ConfigVersion), targetSummary(report))
	writeSection(w, "Classes and their targets", func(w io.Writer) {
		writeClassTable(w, report.Classes)
	})
	writeSection(w, "What fails, and what the system does about it", func(w io.Writer) {
		if len(report.Failures) == 0 {
			fmt.Fprintln(w, "This VM knows of no failure.")
		}
		for _, f := range report.Failures {
			fmt.Fprintf(w, "- %s (since %s). The system: %s\n", f.What, formatTime(f.Since), f.Action)
		}
	})
	writeSection(w, "Recent changes", func(w io.Writer) {
		writeChanges(w, report.Changes)
	})
	writeSection(w, "State", func(w io.Writer) {
		writeStatusTable(w, s)
		writeRow(w, "workers that can run tasks", fmt.Sprintf("%d of %d", report.WorkersUp, report.WorkersAll))
	})
}

// targetSummary counts the classes that meet and miss their targets, for the head
// of the handover report.
func targetSummary(report operatorapi.Handover) string {
	met, missed, idle := 0, 0, 0
	for _, c := range report.Classes {
		switch c.State {
		case operatorapi.TargetMet:
			met++
		case operatorapi.TargetMissed:
			missed++
		default:
			idle++
		}
	}
	return fmt.Sprintf("%d classes meet their targets, %d miss them, %d have no recent work.", met, missed, idle)
}

// writeChanges writes one line per audit entry and, for an accepted change, the
// lines that it removed and added. writeHandover calls it.
func writeChanges(w io.Writer, changes []operatorapi.AuditEntry) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "The log holds no change.")
	}
	for _, e := range changes {
		outcome := fmt.Sprintf("accepted, version %s", formatVersion(e.Version))
		if !e.Accepted {
			outcome = "refused: " + oneLine(e.Reason)
		}
		fmt.Fprintf(w, "- %s, %s, %s: %s (%s)\n", formatTime(e.When), oneLine(e.Who), e.What, oneLine(e.Why), outcome)
		if !e.Accepted {
			continue
		}
		for _, line := range lineDiff(e.Before, e.After) {
			fmt.Fprintln(w, "    "+line)
		}
	}
}

// writeSection writes a heading and the output of body, whose table columns are
// aligned independently of other sections. writeHandover calls it.
func writeSection(w io.Writer, title string, body func(w io.Writer)) {
	fmt.Fprintf(w, "%s\n\n", title)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	body(table)
	table.Flush()
	fmt.Fprintln(w)
}
