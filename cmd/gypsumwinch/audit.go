package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// auditCommand implements "gypsumwinch audit".
type auditCommand struct {
	settings *settings
	limit    int
	diff     bool
}

// Name implements subcommands.Command.
func (*auditCommand) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*auditCommand) Synopsis() string { return "show the audit trail, newest first" }

// Usage implements subcommands.Command.
func (*auditCommand) Usage() string {
	return "gypsumwinch audit [flags]\n" +
		"Shows who changed what, when and why, including refused changes.\n"
}

// SetFlags implements subcommands.Command.
func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	c.settings.register(f)
	f.IntVar(&c.limit, "limit", operatorapi.DefaultList, "the most entries to show")
	f.BoolVar(&c.diff, "diff", false, "show the lines that each change removes and adds")
}

// Execute gets the audit trail from an entry VM and prints it, with -diff
// followed by the changed lines of each entry. It implements
// subcommands.Command.
func (c *auditCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactArgs(f); err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	trail, err := client.Audit(ctx, c.limit)
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(trail, func(w io.Writer) {
		if !c.diff {
			writeAuditTable(w, trail.Entries)
			return
		}
		for _, e := range trail.Entries {
			writeAuditTable(w, []operatorapi.AuditEntry{e})
			for _, line := range lineDiff(e.Before, e.After) {
				fmt.Fprintln(w, "    "+line)
			}
		}
	}))
}

// writeAuditTable writes audit entries as a table with a heading. Execute calls it
// for all entries, or with -diff once per entry.
func writeAuditTable(w io.Writer, entries []operatorapi.AuditEntry) {
	writeRow(w, "WHEN", "WHO", "WHAT", "ACCEPTED", "IN FORCE", "WHY", "ID", "REASON")
	for _, e := range entries {
		writeRow(w, formatTime(e.When), e.Who, e.What, yesNo(e.Accepted), formatVersion(e.Version), e.Why, e.ID, e.Reason)
	}
}

// maxDiffLines bounds the time and memory of lineDiff, which grow with the square
// of the number of lines.
const maxDiffLines = 4000

// lineDiff returns the lines that a change removed, prefixed with "- ", and added,
// prefixed with "+ ", by longest common subsequence. The commands audit and
// handover call it for the configuration before and after a change.
func lineDiff(before, after string) []string {
	a, b := splitLines(before), splitLines(after)
	if len(a) > maxDiffLines || len(b) > maxDiffLines {
		return []string{"(too many lines to compare; see the full texts with -o json)"}
	}
	lcsLength := make([][]int32, len(a)+1)
	for i := range lcsLength {
		lcsLength[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lcsLength[i][j] = lcsLength[i+1][j+1] + 1
			} else {
				lcsLength[i][j] = max(lcsLength[i+1][j], lcsLength[i][j+1])
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && lcsLength[i+1][j] >= lcsLength[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// splitLines returns the lines of a text without their line ends; an empty text
// has none.
func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}
