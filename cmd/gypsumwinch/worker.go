package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/yamldoc"
)

// workerCommand implements "gypsumwinch worker".
type workerCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*workerCommand) Name() string { return "worker" }

// Synopsis implements subcommands.Command.
func (*workerCommand) Synopsis() string { return "show workers, their use and their state" }

// Usage implements subcommands.Command.
func (*workerCommand) Usage() string {
	return "gypsumwinch worker [flags] [ID...]\n" +
		"Shows all workers or the named ones as the VM that answers sees them. Exit code 4\n" +
		"means that it knows no such worker.\n"
}

// SetFlags implements subcommands.Command.
func (c *workerCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the workers from an entry VM and prints all or the named ones.
// It implements subcommands.Command.
func (c *workerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ids, err := positionalArgs(f)
	if err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	workers, err := client.Workers(ctx)
	if err != nil {
		return reportError(err)
	}
	workers.Workers, err = selectByName(workers.Workers, ids, "worker", func(w operatorapi.Worker) string { return w.ID })
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(workers, func(w io.Writer) {
		writeRow(w, "WORKER", "DATA CENTRE", "RACK", "STATE", "TASKS", "FREE CORES", "FREE MEMORY", "FREE ACC", "LEASE", "REASON")
		for _, worker := range workers.Workers {
			writeRow(w, worker.ID, worker.DataCentre, worker.Rack, worker.State, worker.Tasks,
				yamldoc.FormatCores(worker.Free.MilliCPU)+"/"+yamldoc.FormatCores(worker.Capacity.MilliCPU),
				yamldoc.FormatMemory(worker.Free.MemoryMB)+"/"+yamldoc.FormatMemory(worker.Capacity.MemoryMB),
				fmt.Sprintf("%d/%d", worker.Free.Accelerators, worker.Capacity.Accelerators),
				formatDuration(worker.LeaseLeft), worker.Reason)
		}
	}))
}
