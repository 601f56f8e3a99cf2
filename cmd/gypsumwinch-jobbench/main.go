// Command gypsumwinch-jobbench measures the scheduling policy of the job plane
// and compares it with baselines. It runs in virtual time and contacts no
// cluster. The work is done by package internal/policybench/jobs; read its Run
// first.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"gypsumwinch/internal/policybench/jobs"
)

// main exits with status 1 if the run fails or is interrupted. Missed targets
// are only reported.
func main() {
	options := jobs.DefaultOptions()
	generate := flag.Int("generate", 0, "write a new mix of this many tasks instead of measuring")
	flag.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the random choices")
	flag.IntVar(&options.Steps, "steps", options.Steps, "timed decisions for each size of cell")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, options, *generate); err != nil {
		fmt.Fprintln(os.Stderr, "gypsumwinch-jobbench:", err)
		os.Exit(1)
	}
}

// run writes a new mix of generate tasks to the standard output or, if generate
// is 0, the report.
func run(ctx context.Context, options jobs.Options, generate int) error {
	if generate > 0 {
		return jobs.Generate(os.Stdout, options.Seed, generate)
	}
	return jobs.Run(ctx, os.Stdout, options)
}
