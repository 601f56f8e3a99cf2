package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sort"

	"github.com/google/subcommands"

	"gypsumwinch/internal/operatorapi"
)

// statusCommand implements "gypsumwinch status".
type statusCommand struct {
	settings *settings
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show the state of the entry VM that answers" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "gypsumwinch status [flags]\n" +
		"Shows configuration version, log, owner of the data centre, slots and queues.\n"
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.settings.register(f) }

// Execute gets the status of an entry VM and prints it. It implements
// subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactArgs(f); err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return reportError(err)
	}
	return reportError(c.settings.print(status, func(w io.Writer) {
		writeStatusTable(w, status)
		writeRow(w, "")
		writeRow(w, "CLASS", "WAITING", "RUNNING")
		for _, q := range status.Queues {
			writeRow(w, q.Class, q.Waiting, q.Running)
		}
	}))
}

// writeStatusTable writes the state of an entry VM as a table, without its queues.
// The commands status and handover call it.
func writeStatusTable(w io.Writer, s operatorapi.Status) {
	writeRow(w, "VM", s.VM)
	writeRow(w, "instance", s.Instance)
	writeRow(w, "data centre", s.DataCentre)
	writeRow(w, "configuration version", formatVersion(s.ConfigVersion))
	writeRow(w, "log reachable", fmt.Sprintf("%s since %s", yesNo(s.LogReachable), formatTime(s.LogSince)))
	writeRow(w, "owner of the data centre", ownerText(s.Owner))
	writeRow(w, "cut off from other data centres", yesNo(s.IsIsolated))
	writeRow(w, "draining", yesNo(s.Draining))
	writeRow(w, "slots held", slotsText(s.SlotsHeld))
}

// ownerText describes the owner of the data centre: its VM, its term, whether it is
// the VM that answers and whether its ownership is limited. writeStatusTable
// calls it.
func ownerText(o operatorapi.Owner) string {
	name := o.VM
	if name == "" {
		name = o.Instance // starts with the name of the VM
	}
	if name == "" {
		return "none known"
	}
	text := fmt.Sprintf("%s, term %d", name, o.Term)
	if o.Self {
		text += ", this VM"
	}
	if o.Limited {
		text += ", limited"
	}
	return text
}

// slotsText formats the slots that a VM holds: the total and, in a fixed order,
// the number per backend server. writeStatusTable calls it.
func slotsText(slotsHeld map[string]int) string {
	servers := make([]string, 0, len(slotsHeld))
	total := 0
	for server, n := range slotsHeld {
		servers = append(servers, server)
		total += n
	}
	sort.Strings(servers)
	text := fmt.Sprint(total)
	for i, server := range servers {
		separator := " ("
		if i > 0 {
			separator = ", "
		}
		text += fmt.Sprintf("%s%s: %d", separator, server, slotsHeld[server])
	}
	if len(servers) > 0 {
		text += ")"
	}
	return text
}
