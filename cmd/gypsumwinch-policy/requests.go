package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"gypsumwinch/cmd/gypsumwinch-policy/requests"
)

// defaultTraceDir is relative to the root of the repository.
const defaultTraceDir = "testdata/requests"

// requestsCommand is the requests subcommand, which compares policies.
type requestsCommand struct {
	traceDir   string
	policyName string
	seed       uint64
}

// Name implements subcommands.Command.
func (*requestsCommand) Name() string { return "requests" }

// Synopsis returns a one-line description.
func (*requestsCommand) Synopsis() string {
	return "compare policies for requests on backend servers"
}

// Usage returns the help text.
func (*requestsCommand) Usage() string {
	return "requests [-dir DIR] [-seed N] [-policy NAME]:\n" +
		"  Runs every policy over the recorded traces and prints one table.\n"
}

// SetFlags defines the flags.
func (c *requestsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.traceDir, "dir", defaultTraceDir, "directory of the recorded traces")
	f.StringVar(&c.policyName, "policy", "", "run only the policy with this name")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the policies' random choices")
}

// Execute replays every recorded trace with every policy, or with the policy of
// the -policy flag, and prints the report.
func (c *requestsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	report := requests.Report{}
	for _, w := range requests.Workloads() {
		trace, err := requests.Load(c.traceDir, w)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		for _, p := range requests.Policies() {
			if c.policyName != "" && c.policyName != p.Name {
				continue
			}
			row, err := requests.Compare(trace, p, c.seed)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return subcommands.ExitFailure
			}
			report.Add(row)
		}
	}
	report.Print(os.Stdout)
	return subcommands.ExitSuccess
}

// recordCommand is the record-requests subcommand, which writes the traces.
type recordCommand struct {
	traceDir string
}

// Name implements subcommands.Command.
func (*recordCommand) Name() string { return "record-requests" }

// Synopsis returns a one-line description.
func (*recordCommand) Synopsis() string { return "write the recorded traces of requests anew" }

// Usage returns the help text.
func (*recordCommand) Usage() string {
	return "record-requests [-dir DIR]:\n  Generates the traces from their fixed seeds.\n"
}

// SetFlags defines the flags.
func (c *recordCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.traceDir, "dir", defaultTraceDir, "directory of the recorded traces")
}

// Execute generates the traces of all workloads and overwrites their files.
func (c *recordCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for _, w := range requests.Workloads() {
		if err := requests.Save(c.traceDir, requests.Generate(w)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}
