package requests

import (
	"cmp"
	"compress/gzip"
	"encoding/csv"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Request is one recorded request.
type Request struct {
	At time.Duration
	// Class is the index in the workload's classes, VM the index of the entry
	// VM that the load balancer chose.
	Class, VM int
	// Run is the run time of the first attempt, Rerun of the others.
	Run, Rerun time.Duration
}

// Trace is a workload with its recorded requests in order of arrival.
type Trace struct {
	Workload
	Requests []Request
}

// Generate draws a trace from the workload's seed. Equal workloads give equal
// traces.
func Generate(w Workload) Trace {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed))
	var weights []float64
	for _, c := range w.Centres {
		weights = append(weights, c.VMs...)
	}
	t := Trace{Workload: w}
	for i, work := range w.Work {
		for at := time.Duration(0); ; {
			rate := work.PerSecond * demandFactor(work, at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= traceDuration {
				break
			}
			t.Requests = append(t.Requests, drawRequest(random, work, i, at, weights))
		}
	}
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return t
}

// drawRequest draws the run times and the entry VM of a request that arrives at a
// given time.
func drawRequest(random *rand.Rand, work Work, class int, at time.Duration, weights []float64) Request {
	run := drawRunTime(random, work)
	rerun := drawRunTime(random, work)
	if random.Float64() < stragglerFraction {
		run *= stragglerFactor
		if random.IntN(2) == 0 {
			rerun = run
		}
	}
	vm := 0
	for x := random.Float64(); vm < len(weights)-1 && x >= weights[vm]; vm++ {
		x -= weights[vm]
	}
	return Request{
		At:    at.Truncate(time.Microsecond),
		Class: class,
		VM:    vm,
		Run:   run.Truncate(time.Microsecond),
		Rerun: rerun.Truncate(time.Microsecond),
	}
}

func drawRunTime(random *rand.Rand, work Work) time.Duration {
	return time.Duration(float64(work.Median) * math.Exp(work.Sigma*random.NormFloat64()))
}

// demandFactor returns the factor on the base rate, from 1 to peakFactor.
func demandFactor(work Work, at time.Duration) float64 {
	if !work.HasPeak {
		return 1
	}
	rise := (at - peakStart).Seconds() / rampTime.Seconds()
	fall := (peakStart + rampTime + peakDuration + rampTime - at).Seconds() / rampTime.Seconds()
	return 1 + (peakFactor-1)*max(0, min(1, rise, fall))
}

// inPeak reports whether at lies in the peak, ramps included.
func inPeak(at time.Duration) bool {
	return at >= peakStart && at < peakStart+peakDuration+2*rampTime
}

func tracePath(dir string, w Workload) string {
	return filepath.Join(dir, w.Name+".csv.gz")
}

// Save writes the trace to dir as compressed CSV, times in microseconds.
func Save(dir string, t Trace) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create trace directory")
	}
	f, err := os.Create(tracePath(dir, t.Workload))
	if err != nil {
		return eris.Wrap(err, "create trace")
	}
	defer f.Close()
	z, err := gzip.NewWriterLevel(f, gzip.BestCompression)
	if err != nil {
		return eris.Wrap(err, "compress trace")
	}
	c := csv.NewWriter(z)
	for _, r := range t.Requests {
		fields := []string{}
		for _, n := range []int64{r.At.Microseconds(), int64(r.Class), int64(r.VM), r.Run.Microseconds(), r.Rerun.Microseconds()} {
			fields = append(fields, strconv.FormatInt(n, 10))
		}
		if err := c.Write(fields); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	c.Flush()
	if err := c.Error(); err != nil {
		return eris.Wrap(err, "write trace")
	}
	if err := z.Close(); err != nil {
		return eris.Wrap(err, "write trace")
	}
	return eris.Wrap(f.Close(), "write trace")
}

// Load reads the recorded trace of a workload from dir.
func Load(dir string, w Workload) (Trace, error) {
	f, err := os.Open(tracePath(dir, w))
	if err != nil {
		return Trace{}, eris.Wrap(err, "open trace")
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		return Trace{}, eris.Wrap(err, "read trace")
	}
	rows, err := csv.NewReader(z).ReadAll()
	if err != nil {
		return Trace{}, eris.Wrap(err, "read trace")
	}
	t := Trace{Workload: w}
	for i, row := range rows {
		var n [5]int64
		for j := range n {
			if n[j], err = strconv.ParseInt(row[j], 10, 64); err != nil {
				return Trace{}, eris.Wrap(err, fmt.Sprintf("trace row %d", i+1))
			}
		}
		t.Requests = append(t.Requests, Request{
			At:    time.Duration(n[0]) * time.Microsecond,
			Class: int(n[1]),
			VM:    int(n[2]),
			Run:   time.Duration(n[3]) * time.Microsecond,
			Rerun: time.Duration(n[4]) * time.Microsecond,
		})
	}
	return t, nil
}
