package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
)

// versionLinePrefix starts the line in which "config get" records the version and
// from which "config publish" takes its base.
const versionLinePrefix = "# gypsumwinch version: "

// configGetCommand implements "gypsumwinch config get".
type configGetCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*configGetCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*configGetCommand) Synopsis() string { return "print the configuration in force" }

// Usage implements subcommands.Command.
func (*configGetCommand) Usage() string {
	return "gypsumwinch config get [flags]\n" +
		"Prints the YAML in force after a line with its version, from which config\n" +
		"publish takes its base. Exit code 4 means that there is no configuration.\n"
}

// SetFlags implements subcommands.Command.
func (c *configGetCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the configuration in force from an entry VM and prints it after
// a line with its version. It implements subcommands.Command.
func (c *configGetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactArgs(f); err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	config, err := client.Config(ctx)
	if err != nil {
		return reportError(err)
	}
	if config.Version < 0 {
		return reportError(codedErrorf(exitNotFound, "there is no configuration in force"))
	}
	return reportError(c.settings.print(config, func(w io.Writer) {
		fmt.Fprintf(w, "%s%d\n%s", versionLinePrefix, config.Version, removeVersionLines(config.YAML))
	}))
}

// removeVersionLines returns a configuration without its version lines and with a
// line end at its end. "config get" and "config publish" call it, so that a file
// that was read and published several times has only one version line.
func removeVersionLines(text string) string {
	var lines []string
	for _, line := range strings.SplitAfter(text, "\n") {
		if !strings.HasPrefix(line, versionLinePrefix) {
			lines = append(lines, line)
		}
	}
	text = strings.Join(lines, "")
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return text
}
