// Command gypsumwinch-capacity measures the costs behind docs/CAPACITY.md on
// this machine. It uses at most two cores and contacts no deployment. The work is
// done by package internal/capacity; read type step first.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	"gypsumwinch/internal/capacity"
)

// step is one group of measurements, which -only selects by name.
type step struct {
	name string
	run  func(io.Writer, capacity.Target) error
}

// steps lists all groups in the order in which they run.
var steps = []step{
	{"records", capacity.Records},
	{"polls", capacity.Polls},
	{"appends", capacity.Appends},
	{"audit", capacity.AuditRead},
	{"vms", capacity.VMList},
	{"peers", capacity.Peers},
	{"leases", capacity.Leases},
	{"jobs", capacity.Jobs},
	{"view", capacity.View},
	{"rebuild", capacity.Rebuild},
	{"requests", capacity.Requests},
	{"changes", capacity.Changes},
	{"cluster-8", capacity.Cluster(0)},
	{"cluster-28", capacity.Cluster(1)},
	{"cluster-56", capacity.Cluster(2)},
	{"handover", capacity.Handover},
	{"crash", capacity.Crash},
}

// main runs the selected steps in order and exits with status 1 at the first that
// fails.
func main() {
	names := make([]string, len(steps))
	for i, s := range steps {
		names[i] = s.name
	}
	only := flag.String("only", "", "comma-separated measurements to run, of "+strings.Join(names, ", ")+"; empty means all")
	profile := flag.String("profile", "", "file for a profile of the processor time")
	flag.Parse()
	if *profile != "" {
		f, err := os.Create(*profile)
		if err == nil {
			err = pprof.StartCPUProfile(f)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "gypsumwinch-capacity: profile:", err)
			os.Exit(1)
		}
		defer pprof.StopCPUProfile()
	}
	runtime.GOMAXPROCS(2)
	for _, s := range steps {
		if *only != "" && !strings.Contains(","+*only+",", ","+s.name+",") {
			continue
		}
		start := time.Now()
		if err := s.run(os.Stdout, capacity.DefaultTarget()); err != nil {
			fmt.Fprintf(os.Stderr, "gypsumwinch-capacity: %s: %v\n", s.name, err)
			os.Exit(1)
		}
		fmt.Fprintf(os.Stderr, "%s took %v\n", s.name, time.Since(start).Round(time.Millisecond))
	}
}
