package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/standin/control"
)

// The shape of a trace: demand triples within rampTime from peakStart on and
// falls back within rampTime from peakEnd on.
const (
	traceLength = 20 * time.Second
	peakStart   = 6 * time.Second
	peakEnd     = 14 * time.Second
	rampTime    = 2 * time.Second
	peakFactor  = 3
)

// classLoad is the load of one request class outside the peak.
type classLoad struct {
	class         string
	nonIdempotent bool
	perSecond     float64
	runTime       time.Duration
	answerBytes   int
	// stragglerFraction is the share of requests that run stragglerFactor times
	// longer than the others.
	stragglerFraction float64
	stragglerFactor   float64
}

// userLoad is what the trace of one user contains: requests drawn at random by
// class, and jobs at fixed times.
type userLoad struct {
	classes []classLoad
	jobs    []Event
}

// userLoads maps the values of the -user flag to their loads.
var userLoads = map[string]userLoad{
	"drukserwis": {
		classes: []classLoad{
			{class: "hotline-lookup", perSecond: 15, runTime: 80 * time.Millisecond, answerBytes: 2_000},
			{class: "vibration-analysis", perSecond: 15, runTime: 150 * time.Millisecond, answerBytes: 20_000, stragglerFraction: 0.01, stragglerFactor: 100},
			{class: "part-matching", nonIdempotent: true, perSecond: 5, runTime: 200 * time.Millisecond, answerBytes: 1_000},
		},
		jobs: []Event{
			jobEvent(1*time.Second, "diagnostics", "spectrum-training", group("shards", 6, 4, "8GiB", 3*time.Second, true)),
			jobEvent(5*time.Second, "hotline", "residue-review", group("index", 8, 1, "1GiB", 1500*time.Millisecond, false)),
			jobEvent(9*time.Second, "diagnostics", "residue-review", group("spectra", 20, 2, "2GiB", 800*time.Millisecond, false)),
		},
	},
	"desai": {
		classes: []classLoad{
			{class: "label-check", perSecond: 20, runTime: 60 * time.Millisecond, answerBytes: 500},
			{class: "report-build", perSecond: 3, runTime: 1200 * time.Millisecond, answerBytes: 100_000, stragglerFraction: 0.01, stragglerFactor: 10},
			{class: "lot-tracing", nonIdempotent: true, perSecond: 4, runTime: 200 * time.Millisecond, answerBytes: 4_000},
			{class: "audit-bundle", perSecond: 2, runTime: 300 * time.Millisecond, answerBytes: 10_000},
		},
		jobs: []Event{
			jobEvent(1*time.Second, "laboratory", "residue-review", group("samples", 24, 2, "4GiB", time.Second, false)),
			jobEvent(4*time.Second, "certification", "residue-review",
				group("calibrate", 4, 8, "8GiB", 2*time.Second, true), group("review", 10, 1, "1GiB", time.Second, false)),
			jobEvent(10*time.Second, "laboratory", "residue-review", group("recheck", 12, 4, "2GiB", 1200*time.Millisecond, false)),
		},
	},
}

// jobEvent returns the event that submits a job at a time of the trace.
func jobEvent(at time.Duration, team, class string, groups ...callerapi.GroupBody) Event {
	return Event{AtMS: at.Milliseconds(), Job: &JobEvent{Team: team, Class: class, Groups: groups}}
}

// group returns a task group whose declared run time is also the run time that
// its payload sets for the stand-in worker.
func group(name string, count int, cpu float64, memory string, runTime time.Duration, gang bool) callerapi.GroupBody {
	return callerapi.GroupBody{
		Name: name, Count: count, CPU: cpu, Memory: memory, Gang: gang, RunTime: runTime.String(),
		Payload: fmt.Appendf(nil, `{"run_ms":%d}`, runTime.Milliseconds()),
	}
}

// demandFactor returns the factor, from 1 to peakFactor, by which the load at a
// time of the trace exceeds the load outside the peak.
func demandFactor(at time.Duration) float64 {
	rise := float64(at-peakStart) / float64(rampTime)
	fall := float64(peakEnd-at) / float64(rampTime)
	return 1 + (peakFactor-1)*min(max(min(rise, fall+1), 0), 1)
}

// drawRequests draws the requests of a class as a Poisson process whose rate
// follows demandFactor, with log-normal run times. Candidates are drawn at the
// peak rate and thinned. Execute calls it for each class of the user.
func (c *classLoad) drawRequests(random *rand.Rand) []Event {
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (c.perSecond * peakFactor) * float64(time.Second))
		if at >= traceLength {
			return events
		}
		if random.Float64()*peakFactor > demandFactor(at) {
			continue
		}
		runTime := float64(c.runTime.Milliseconds()) * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < c.stragglerFraction {
			runTime *= c.stragglerFactor
		}
		payload, err := json.Marshal(control.Payload{
			RunMS: int64(runTime), Size: c.answerBytes, Key: fmt.Sprintf("%s-%d", c.class, len(events)),
		})
		if err != nil {
			panic(err) // Payload holds numbers and strings only.
		}
		events = append(events, Event{AtMS: at.Milliseconds(), Request: &RequestEvent{
			Class: c.class, NonIdempotent: c.nonIdempotent, Payload: payload,
		}})
	}
}

// recordCommand is the record subcommand. It writes a generated trace to a file.
type recordCommand struct {
	user, outPath string
	seed          uint64
}

func (*recordCommand) Name() string     { return "record" }
func (*recordCommand) Synopsis() string { return "record a trace of a user's load" }
func (*recordCommand) Usage() string {
	return "gypsumwinch-trace record -user drukserwis|desai -out FILE [-seed N]\n"
}

// SetFlags implements subcommands.Command.
func (c *recordCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.user, "user", "drukserwis", "`user` whose load is recorded")
	f.StringVar(&c.outPath, "out", "", "trace `file` to write")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random numbers")
}

// Execute draws the requests of the user's classes, merges them with the jobs by
// time and writes the trace. Equal flags give an equal trace.
func (c *recordCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	user, ok := userLoads[c.user]
	if !ok || c.outPath == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	random := rand.New(rand.NewPCG(c.seed, 0))
	events := slices.Clone(user.jobs)
	for _, class := range user.classes {
		events = append(events, class.drawRequests(random)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.AtMS - b.AtMS) })
	if err := writeTrace(c.outPath, events); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
