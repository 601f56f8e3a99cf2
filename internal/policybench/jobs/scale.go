package jobs

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

const (
	// scaleTasksPerWorker gives 39,000 running tasks on 1,300 workers.
	scaleTasksPerWorker = 30
	scaleGangSize       = 64
	scaleGangCount      = 500
	scaleCancelCount    = 10_000
	scaleTickCount      = 100
)

// scaleResult holds the times of events other than the addition of single jobs.
type scaleResult struct {
	tasks int
	// gangP99 is for a decision on a gang of scaleGangSize tasks.
	gangP99 time.Duration
	// tickP99 is for a Tick.
	tickP99 time.Duration
	// cancelP99 and cancelTotal are for scaleCancelCount cancellations of
	// waiting jobs.
	cancelP99, cancelTotal time.Duration
	// recoverTime is the time of a takeover with all tasks running.
	recoverTime time.Duration
}

// timeCalls calls f n times and returns the p99 and the sum of the durations.
func timeCalls(n int, f func(i int)) (p99, sum time.Duration) {
	h := hdrhistogram.New(1, maxRecordedNanos, 3)
	for i := range n {
		begin := time.Now()
		f(i)
		d := time.Since(begin)
		_ = h.RecordValue(int64(d))
		sum += d
	}
	return time.Duration(h.ValueAtQuantile(99)), sum
}

// measureScale times gangs, Ticks, cancellations and a takeover on workers that
// run scaleTasksPerWorker tasks each. writeScale calls it for each number of
// workers.
func measureScale(workers int, seed uint64) scaleResult {
	c := newChurn(workers, nil, seed)
	out := scaleResult{tasks: workers * scaleTasksPerWorker}
	small := structs.Resources{MilliCPU: 800, MemoryMB: 1600}
	inv := scheduler.Inventory{Config: benchmarkConfig(), Workers: cellWorkers(workers), Running: map[string][]structs.Attempt{}}
	for i := range workers {
		job := structs.Job{ID: fmt.Sprintf("base%d", i), Class: "report", Groups: []structs.TaskGroup{{
			Count: scaleTasksPerWorker, Resources: small, RunTime: time.Hour,
		}}}
		added := scheduler.JobAdded{Job: job}
		c.collectStarts(c.sched.Apply(0, added))
		inv.Jobs = append(inv.Jobs, added)
	}
	for _, a := range c.liveAttempts {
		inv.Running[a.Worker] = append(inv.Running[a.Worker], a)
	}
	out.gangP99 = c.measureGangs()
	out.tickP99, _ = timeCalls(scaleTickCount, func(int) {
		c.now += time.Second
		c.sched.Apply(c.now, scheduler.Tick{})
	})
	large := structs.Resources{MilliCPU: 30_000, MemoryMB: 60_000}
	for i := range scaleCancelCount {
		c.sched.Apply(c.now, scheduler.JobAdded{Job: structs.Job{ID: jobID(i), Class: "report", Groups: []structs.TaskGroup{{
			Count: 1, Resources: large, RunTime: time.Hour,
		}}}})
	}
	out.cancelP99, out.cancelTotal = timeCalls(scaleCancelCount, func(i int) {
		c.sched.Apply(c.now, scheduler.JobCancelled{Job: jobID(i)})
	})
	begin := time.Now()
	scheduler.Recover(0, inv)
	out.recoverTime = time.Since(begin)
	return out
}

// measureGangs returns the p99 of the decision on a gang. Each gang ends before
// the next one is added.
func (c *churn) measureGangs() time.Duration {
	h := hdrhistogram.New(1, maxRecordedNanos, 3)
	for i := range scaleGangCount {
		job := gangJob(i)
		c.liveAttempts = c.liveAttempts[:0]
		begin := time.Now()
		actions := c.sched.Apply(c.now, scheduler.JobAdded{Job: job})
		_ = h.RecordValue(int64(time.Since(begin)))
		c.collectStarts(actions)
		for _, a := range c.liveAttempts {
			c.sched.Apply(c.now, scheduler.TaskEnded{Attempt: a, Result: records.TaskSucceeded})
		}
	}
	return time.Duration(h.ValueAtQuantile(99))
}

// gangJob returns the i-th job with one gang of scaleGangSize tasks.
func gangJob(i int) structs.Job {
	return structs.Job{ID: fmt.Sprintf("gang%d", i), Class: "training", Groups: []structs.TaskGroup{{
		Count: scaleGangSize, Gang: true, Resources: structs.Resources{MilliCPU: 250, MemoryMB: 200}, RunTime: time.Hour,
	}}}
}

// writeScale writes the table of measureScale.
func writeScale(w io.Writer, o Options, _ []DeclaredTask) {
	fmt.Fprintf(w, "other events with %d tasks running on each worker: a gang of %d, a Tick, %d cancellations of waiting jobs, a takeover\n",
		scaleTasksPerWorker, scaleGangSize, scaleCancelCount)
	fmt.Fprintln(w, "workers\ttasks\tgang p99\ttick p99\tcancel p99\twave\ttakeover\tgang p99 <= 1 ms")
	for _, n := range o.Workers {
		s := measureScale(n, o.Seed)
		fmt.Fprintf(w, "%d\t%d\t%v\t%v\t%v\t%v\t%v\t%s\n", n, s.tasks, s.gangP99, s.tickP99, s.cancelP99,
			s.cancelTotal.Round(time.Microsecond), s.recoverTime.Round(time.Microsecond), verdict(s.gangP99 <= maxDecisionTime))
	}
}
