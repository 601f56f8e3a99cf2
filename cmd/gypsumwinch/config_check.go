package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"gypsumwinch/internal/clusterconfig"
)

// configCheckCommand implements "gypsumwinch config check".
type configCheckCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*configCheckCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*configCheckCommand) Synopsis() string { return "check a configuration file" }

// Usage implements subcommands.Command.
func (*configCheckCommand) Usage() string {
	return "gypsumwinch config check FILE\n" +
		"Reports all faults of the file with their lines. FILE is - for standard input.\n" +
		"Needs no connection. Exit code 3 means that the file is faulty.\n"
}

// SetFlags implements subcommands.Command.
func (c *configCheckCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute parses a configuration file and prints either all its faults or the
// numbers of its classes and teams. It makes no request. It implements
// subcommands.Command.
func (c *configCheckCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := exactArgs(f, "FILE")
	if err != nil {
		return reportError(err)
	}
	data, err := readFile(args[0])
	if err != nil {
		return reportError(err)
	}
	config, err := clusterconfig.Parse(args[0], data)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRefused
	}
	result := checkResult{File: args[0], Classes: len(config.Classes), Teams: len(config.Teams)}
	return reportError(c.settings.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d classes, %d teams\n", result.File, result.Classes, result.Teams)
	}))
}

// checkResult is the output of "config check" for a valid file.
type checkResult struct {
	File    string `json:"file"`
	Classes int    `json:"classes"`
	Teams   int    `json:"teams"`
}

// readFile reads a file, or standard input for "-". An unreadable file is a usage
// error. The commands with a FILE argument call it.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{err: err}
	}
	return data, nil
}
