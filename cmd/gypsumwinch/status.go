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

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exactly(f); err != nil {
		return finish(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return finish(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return finish(err)
	}
	return finish(c.settings.print(status, func(w io.Writer) {
		statusTable(w, status)
		row(w, "")
		row(w, "CLASS", "WAITING", "RUNNING")
		for _, q := range status.Queues {
			row(w, q.Class, q.Waiting, q.Running)
		}
	}))
}

func statusTable(w io.Writer, s operatorapi.Status) {
	row(w, "VM", s.VM)
	row(w, "instance", s.Instance)
	row(w, "data centre", s.DataCentre)
	row(w, "configuration version", version(s.ConfigVersion))
	row(w, "log reachable", fmt.Sprintf("%s since %s", yesNo(s.LogReachable), clock(s.LogSince)))
	row(w, "owner of the data centre", ownerText(s.Owner))
	row(w, "cut off from other data centres", yesNo(s.IsIsolated))
	row(w, "draining", yesNo(s.Draining))
	row(w, "slots held", slotsText(s.SlotsHeld))
}

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

func slotsText(held map[string]int) string {
	servers := make([]string, 0, len(held))
	total := 0
	for server, n := range held {
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
		text += fmt.Sprintf("%s%s: %d", separator, server, held[server])
	}
	if len(servers) > 0 {
		text += ")"
	}
	return text
}
