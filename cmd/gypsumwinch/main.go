// Command gypsumwinch is the operators' command-line tool: it checks and publishes
// the configuration, submits, inspects and cancels jobs, shows the state of the
// cluster and reads the logs of the VMs. It decides nothing about jobs and keeps no
// state: requests go to an entry VM through package internal/operatorapi. Each
// command is a subcommands.Command in a file of its own, except for the log
// commands, which share log.go. Read first the type settings (the flags that the
// commands share), then exit.go (the exit codes) and one command, such as
// classCommand.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes one command line and returns the exit code. SIGINT and SIGTERM
// cancel the context of the command. Only main calls it.
func run(args []string) int {
	flags := flag.NewFlagSet("gypsumwinch", flag.ContinueOnError)
	settings := defaultSettings()
	settings.register(flags)
	commander := subcommands.NewCommander(flags, "gypsumwinch")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(&checkCommand{settings: settings}, "")
	commander.Register(newConfigGroup(settings), "")
	commander.Register(newJobGroup(settings), "")
	commander.Register(newLogGroup(settings), "")
	commander.Register(&classCommand{settings: settings}, "")
	commander.Register(&workerCommand{settings: settings}, "")
	commander.Register(&vmCommand{settings: settings}, "")
	commander.Register(&auditCommand{settings: settings}, "")
	commander.Register(&statusCommand{settings: settings}, "")
	commander.Register(&handoverCommand{settings: settings}, "")
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return int(exitOK)
		}
		return int(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}
