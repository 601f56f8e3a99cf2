package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"gypsumwinch/internal/uniqueid"
	"gypsumwinch/standin/caller"
	"gypsumwinch/standin/check"
)

// sendCommand is the send subcommand. It sends a trace to entry VMs and checks the
// answers.
type sendCommand struct {
	tracePath, entryAddrs, controlAddr string
	maxSends                           int
	timeout, jobTimeout                time.Duration
	speed                              float64
}

func (*sendCommand) Name() string     { return "send" }
func (*sendCommand) Synopsis() string { return "send a trace to running daemons and check the answers" }

// Usage implements subcommands.Command.
func (*sendCommand) Usage() string {
	return `gypsumwinch-trace send -trace FILE -entries ADDR,ADDR [-standins ADDR]
  Exits with 1 if an answer is wrong or missing, or, with -standins, if anything
  ran that was reported as not run, or ran twice that must not.
`
}

// SetFlags implements subcommands.Command.
func (c *sendCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.tracePath, "trace", "", "trace `file` to send")
	f.StringVar(&c.entryAddrs, "entries", "127.0.0.1:7000", "comma-separated `addresses` of entry VMs")
	f.StringVar(&c.controlAddr, "standins", "", "`address` of the stand-ins' control endpoint")
	f.IntVar(&c.maxSends, "tries", 10, "`number` of sends of one id at most")
	f.DurationVar(&c.timeout, "timeout", 2*time.Minute, "timeout of one send")
	f.DurationVar(&c.jobTimeout, "job-timeout", 2*time.Minute, "timeout for a job to finish")
	f.Float64Var(&c.speed, "speed", 1, "`factor` by which the trace is sent faster")
}

// Execute sends the trace, prints the results and the first maxPrintedProblems
// problems, and fails if there are any problems. It compares the answers with
// the runs that the stand-ins observed only if their address is given.
func (c *sendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.tracePath == "" || c.entryAddrs == "" || c.maxSends < 1 || c.speed <= 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	events, err := readTrace(c.tracePath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	s := &sender{
		caller: caller.New(strings.Split(c.entryAddrs, ","), c.maxSends, c.timeout),
		speed:  c.speed, jobTimeout: c.jobTimeout, results: newResults(),
	}
	s.run(ctx, events)
	s.results.print(os.Stdout)
	problems := s.results.problems
	if c.controlAddr != "" {
		problems = append(problems, checkRuns(ctx, c.controlAddr, s.results)...)
	}
	for i, p := range problems {
		if i == maxPrintedProblems {
			fmt.Printf("and %d more problems\n", len(problems)-i)
			break
		}
		fmt.Println("problem:", p)
	}
	if len(problems) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// maxPrintedProblems limits the problems that send prints one by one.
const maxPrintedProblems = 20

// sender sends the events of a trace at their times, divided by speed.
type sender struct {
	caller     *caller.Caller
	speed      float64
	jobTimeout time.Duration
	results    *results
}

// run sends all events and returns when each has its final result. When ctx is
// cancelled, the remaining events are sent at once and their sends are cancelled.
func (s *sender) run(ctx context.Context, events []Event) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		at := time.Duration(float64(e.at()) / s.speed)
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
		}
		wg.Go(func() {
			if e.Request != nil {
				s.sendRequest(ctx, e.Request)
				return
			}
			s.runJob(ctx, e.Job)
		})
	}
	wg.Wait()
}

// sendRequest sends a request under a new id and adds its result. run calls it
// for each request event of the trace.
func (s *sender) sendRequest(ctx context.Context, r *RequestEvent) {
	id := uniqueid.New()
	s.results.addRequest(s.caller.Request(ctx, id, r.Class, r.NonIdempotent, r.Payload))
}

// checkRuns compares the answers that callers received with the runs that the
// stand-ins observed, and returns the problems found. Execute calls it after the
// whole trace is sent.
func checkRuns(ctx context.Context, control string, r *results) []string {
	observation, err := check.NewClient(control).Observe(ctx)
	if err != nil {
		return []string{err.Error()}
	}
	problems := append(observation.Capacity(), observation.Overlaps()...)
	runs := observation.Runs()
	for _, s := range r.requests {
		if p := s.Check(runs[s.ID]); p != "" {
			problems = append(problems, p)
		}
	}
	return problems
}
