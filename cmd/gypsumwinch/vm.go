package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// vmCommand implements "gypsumwinch vm".
type vmCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*vmCommand) Name() string { return "vm" }

// Synopsis implements subcommands.Command.
func (*vmCommand) Synopsis() string { return "show the platform's list of VMs and their probes" }

// Usage implements subcommands.Command.
func (*vmCommand) Usage() string {
	return "gypsumwinch vm [flags] [ID...]\n" +
		"Shows all VMs or the named ones. Exit code 4 means that a named VM is not listed.\n"
}

// SetFlags implements subcommands.Command.
func (c *vmCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the platform's list of VMs from an entry VM and prints all or
// the named ones. It implements subcommands.Command.
func (c *vmCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ids, err := positionalArgs(f)
	if err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	vms, err := client.VMs(ctx)
	if err != nil {
		return reportError(err)
	}
	vms.VMs, err = selectByName(vms.VMs, ids, "VM", func(v operatorapi.VM) string { return v.ID })
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(vms, func(w io.Writer) {
		writeRow(w, "VM", "DATA CENTRE", "KIND", "STATE", "PROBE", "ADDR", "RACK", "SLOTS")
		for _, v := range vms.VMs {
			writeRow(w, v.ID, v.DataCentre, v.Kind, v.State, orDash(v.Probe), v.Addr, orDash(v.Rack), v.Slots)
		}
		fmt.Fprintf(w, "list read %s ago\n", formatDuration(vms.ListAge))
	}))
}

// orDash returns s, or "-" for an empty cell of a table.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
