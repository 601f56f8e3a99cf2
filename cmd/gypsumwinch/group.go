package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// commandGroup is a command with subcommands, such as "gypsumwinch config".
type commandGroup struct {
	name, synopsis string
	commands       []subcommands.Command
}

// newConfigGroup returns the commands of "gypsumwinch config". run calls it.
func newConfigGroup(s *settings) *commandGroup {
	return &commandGroup{
		name:     "config",
		synopsis: "check, publish and read the configuration",
		commands: []subcommands.Command{
			&configCheckCommand{settings: s},
			&configPublishCommand{settings: s},
			&configGetCommand{settings: s},
			&configHistoryCommand{settings: s},
		},
	}
}

// newJobGroup returns the commands of "gypsumwinch job". run calls it.
func newJobGroup(s *settings) *commandGroup {
	return &commandGroup{
		name:     "job",
		synopsis: "submit, follow and cancel jobs",
		commands: []subcommands.Command{
			&jobIDCommand{settings: s},
			&jobSubmitCommand{settings: s},
			&jobStatusCommand{settings: s},
			&jobCancelCommand{settings: s},
			&jobExplainCommand{settings: s},
		},
	}
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command. It lists the subcommands.
func (g *commandGroup) Usage() string {
	usage := fmt.Sprintf("gypsumwinch %s <command>: %s\n", g.name, g.synopsis)
	for _, c := range g.commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return usage
}

// SetFlags implements subcommands.Command.
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand that the first argument names. It implements
// subcommands.Command.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet("gypsumwinch "+g.name, flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "gypsumwinch "+g.name)
	commander.Register(commander.HelpCommand(), "help")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	if err := flags.Parse(f.Args()); err != nil {
		return exitUsage
	}
	return commander.Execute(ctx, args...)
}
