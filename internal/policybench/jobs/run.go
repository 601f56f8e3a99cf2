package jobs

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"
)

// Targets of section 1.3 of the design page.
const (
	minPackingFraction     = 0.95
	maxDecisionTime        = time.Millisecond
	minPlacementsPerSecond = 10_000
	maxCostSlope           = 1.0
)

// Options are the parameters of a benchmark run.
type Options struct {
	// Seed seeds the random choices.
	Seed uint64
	// Workers are the numbers of workers for which decisions are timed. The
	// first and last give the slope. It must not be empty.
	Workers []int
	// Steps is the number of timed decisions for each number of workers.
	Steps int
}

// DefaultOptions returns the options of a full run.
func DefaultOptions() Options {
	return Options{Seed: 1, Workers: []int{50, 400, 1300}, Steps: 200_000}
}

// Run benchmarks the policy and the baselines and writes tables to w. Each
// target of the design page is reported as met or MISSED; a missed target is not
// an error. Run checks ctx only between tables.
func Run(ctx context.Context, w io.Writer, o Options) error {
	mix, err := Mix()
	if err != nil {
		return err
	}
	for _, section := range []func(io.Writer, Options, []DeclaredTask){writePacking, writeSpeed, writeFullCell, writeScale, writeUrgent} {
		if err := ctx.Err(); err != nil {
			return err
		}
		table := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
		section(table, o, mix)
		if err := table.Flush(); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		fmt.Fprintln(w)
	}
	return nil
}

// verdict returns the table cell that reports whether a target was met.
func verdict(met bool) string {
	if met {
		return "met"
	}
	return "MISSED"
}

// packingWorkers is the number of workers for the packing rows, and packingListLength the
// number of tasks of the fixed list.
const (
	packingWorkers    = 50
	packingListLength = 2000
)

// writePacking writes the table that compares how densely the policies pack the
// mix.
func writePacking(w io.Writer, o Options, mix []DeclaredTask) {
	workers := cellWorkers(packingWorkers)
	bound := prefixBoundMilliCPU(mix, workers)
	list := mix[:min(packingListLength, len(mix))]
	least := workersLowerBound(list)
	fmt.Fprintf(w, "packing, %d workers of 32 cores and 64 GB, mix of %d tasks; bounds: %.1f cores, %d machines for %d tasks\n",
		packingWorkers, len(mix), float64(bound)/1000, least, len(list))
	fmt.Fprintln(w, "policy\tcores at first miss\tof bound\tmachines\tbound/machines\tstranded accelerators\tfree accelerators\t>= 95 %")
	for _, p := range policies {
		build := func(n int) placer { return p.build(cellWorkers(n), o.Seed) }
		cores := milliCPUAtFirstMiss(build(packingWorkers), mix)
		needed := workersNeeded(list, build)
		full := build(packingWorkers)
		stranded, free := strandedAccelerators(full, mix)
		share := float64(cores) / float64(bound)
		ratio := float64(least) / float64(needed)
		fmt.Fprintf(w, "%s\t%.1f\t%.1f %%\t%d\t%.1f %%\t%d\t%d\t%s\n", p.name, float64(cores)/1000, 100*share,
			needed, 100*ratio, stranded, free, verdict(share >= minPackingFraction && ratio >= minPackingFraction && stranded == 0))
	}
}

// fillFraction is the fraction of the processors in use while decisions are
// timed.
const fillFraction = 0.85

// writeSpeed writes the table of decision times and how the cost per placement
// grows with the number of workers.
func writeSpeed(w io.Writer, o Options, mix []DeclaredTask) {
	fmt.Fprintf(w, "decisions at %.0f %% of the processors in use, %d for each size\n", 100*fillFraction, o.Steps)
	fmt.Fprintln(w, "workers\tplacements/s\tp50\tp99\tmax\tp99 <= 1 ms\t>= 10,000/s")
	costs := make([]float64, len(o.Workers))
	for i, n := range o.Workers {
		s := measureSpeed(n, fillFraction, mix, o.Steps, o.Seed)
		costs[i] = 1 / s.perSecond
		rate := "-"
		if n == packingWorkers {
			rate = verdict(s.perSecond >= minPlacementsPerSecond)
		}
		fmt.Fprintf(w, "%d\t%.0f\t%v\t%v\t%v\t%s\t%s\n", n, s.perSecond, s.p50, s.p99, s.max, verdict(s.p99 <= maxDecisionTime), rate)
	}
	last := len(o.Workers) - 1
	slope := math.Log(costs[last]/costs[0]) / math.Log(float64(o.Workers[last])/float64(o.Workers[0]))
	fmt.Fprintf(w, "slope of the cost per placement over workers (log-log): %.2f, below 1: %s\n", slope, verdict(slope < maxCostSlope))
}

// fullCellJobs is the number of jobs added to a full cell.
const fullCellJobs = 4000

// writeFullCell writes the table of decision times on a cell without free
// capacity.
func writeFullCell(w io.Writer, o Options, mix []DeclaredTask) {
	fmt.Fprintf(w, "decisions on a full cell, %d jobs, a quarter of them urgent and preempting\n", fullCellJobs)
	fmt.Fprintln(w, "workers\tp50\tp99\tmax\tp99 <= 1 ms")
	for _, n := range o.Workers {
		s := measureFullCell(n, mix, fullCellJobs, o.Seed)
		fmt.Fprintf(w, "%d\t%v\t%v\t%v\t%s\n", n, s.p50, s.p99, s.max, verdict(s.p99 <= maxDecisionTime))
	}
}

// writeUrgent writes the table of start waits of urgent tasks during a rise of
// demand. At most one task in 1,000 may be late.
func writeUrgent(w io.Writer, _ Options, _ []DeclaredTask) {
	fmt.Fprintln(w, "urgent tasks on a cell full of patient work, demand triples for 20 s (virtual time; checkpoints take 1 s, a tenth hangs)")
	fmt.Fprintln(w, "workers\turgent/s\ttasks\tp50\tp99.9\tmax\tlate\tcheckpoints\tstops\tbroken invariants\t99.9 % within 8 s")
	for _, rate := range []float64{20, 60, 90} {
		u := measureUrgentWait(packingWorkers, rate)
		met := u.lateCount*1000 <= u.tasks && len(u.violations) == 0
		fmt.Fprintf(w, "%d\t%.0f to %.0f\t%d\t%v\t%v\t%v\t%d\t%d\t%d\t%d\t%s\n", packingWorkers, rate, swingFactor*rate,
			u.tasks, u.p50, u.p999, u.max, u.lateCount, u.checkpoints, u.stops, len(u.violations), verdict(met))
	}
}
