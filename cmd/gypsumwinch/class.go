package main

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// classCommand implements "gypsumwinch class".
type classCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*classCommand) Name() string { return "class" }

// Synopsis implements subcommands.Command.
func (*classCommand) Synopsis() string { return "show classes, their targets and whether they are met" }

// Usage implements subcommands.Command.
func (*classCommand) Usage() string {
	return "gypsumwinch class [flags] [NAME...]\n" +
		"Shows all classes or the named ones as the VM that answers sees them. Exit code 4\n" +
		"means that a named class does not exist.\n"
}

// SetFlags implements subcommands.Command.
func (c *classCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the classes from an entry VM and prints all or the named ones.
// It implements subcommands.Command.
func (c *classCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	names, err := positionalArgs(f)
	if err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	classes, err := client.Classes(ctx)
	if err != nil {
		return reportError(err)
	}
	classes.Classes, err = selectByName(classes.Classes, names, "class", func(c operatorapi.Class) string { return c.Name })
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(classes, func(w io.Writer) {
		writeClassTable(w, classes.Classes)
	}))
}

// writeClassTable writes classes, their targets and their present state as a
// table. The commands class and handover call it.
func writeClassTable(w io.Writer, classes []operatorapi.Class) {
	writeRow(w, "CLASS", "KIND", "START", "FINISH", "ONCE", "TARGETS", "WAITING", "RUNNING", "WAIT P50", "WAIT P99", "RUN TIME", "REASON")
	for _, c := range classes {
		writeRow(w, c.Name, c.Kind, formatDuration(c.StartTarget), formatDuration(c.FinishTarget), yesNo(c.NonIdempotent), c.State,
			c.Waiting, c.Running, formatDuration(c.WaitP50), formatDuration(c.WaitP99), formatDuration(c.LearnedRunTime), c.Reason)
	}
}

// selectByName returns the items with the given names in that order, or all items
// if no name is given. An unknown name is an error with exitNotFound, in which
// what is the kind of item. The commands class, worker and vm call it.
func selectByName[T any](items []T, names []string, what string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return items, nil
	}
	var selected []T
	for _, name := range names {
		found := false
		for _, item := range items {
			if nameOf(item) == name {
				selected = append(selected, item)
				found = true
			}
		}
		if !found {
			return nil, codedErrorf(exitNotFound, "there is no %s %q; without a name, the command lists all", what, name)
		}
	}
	return selected, nil
}
