// Command gypsumwinch-trace has two subcommands: record generates a trace of a
// user's load from a seed, send plays a trace against running daemons and checks
// every answer. It does not start daemons and does not capture live traffic.
// Read Event, the format of a trace line, first.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// main registers the subcommands and cancels the running one on an interrupt or
// SIGTERM.
func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&sendCommand{}, "")
	subcommands.Register(&recordCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
