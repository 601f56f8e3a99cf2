// Command gypsumwinch-policy compares scheduling policies over recorded traces on
// a virtual clock. It does not talk to running daemons. Read package requests
// first.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// main runs the subcommand given on the command line.
func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&requestsCommand{}, "")
	subcommands.Register(&recordCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
