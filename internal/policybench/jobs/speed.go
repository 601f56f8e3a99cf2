package jobs

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// churn keeps a scheduler at a constant load: each step ends a random task and
// adds one drawn from the mix.
type churn struct {
	sched        *scheduler.Scheduler
	mix          []DeclaredTask
	rng          *rand.Rand
	now          time.Duration
	liveAttempts []structs.Attempt
	jobCount     int
	// decisionTimes holds the duration in nanoseconds of each event that adds a
	// job.
	decisionTimes *hdrhistogram.Histogram
	placedCount   int
}

// maxRecordedNanos is the upper limit of the histograms of decision times, in
// nanoseconds.
const maxRecordedNanos = int64(10 * time.Second)

// newChurn returns a scheduler of idle workers. The mix may be nil if no task is
// drawn.
func newChurn(workers int, mix []DeclaredTask, seed uint64) *churn {
	c := &churn{
		sched: scheduler.New(benchmarkConfig()), mix: mix, rng: rand.New(rand.NewPCG(seed, seed)),
		decisionTimes: hdrhistogram.New(1, maxRecordedNanos, 3),
	}
	for _, w := range cellWorkers(workers) {
		c.sched.Apply(0, scheduler.WorkerUp{Worker: w})
	}
	return c
}

// fill adds tasks until their total reaches the given share of the processors of
// the workers.
func (c *churn) fill(workers int, share float64) {
	goal := int64(share * float64(totalCapacity(cellWorkers(workers)).MilliCPU))
	for used := int64(0); used < goal; {
		d := c.drawTask()
		c.addJob(d)
		used += d.Resources.MilliCPU
	}
}

func (c *churn) drawTask() DeclaredTask { return c.mix[c.rng.IntN(len(c.mix))] }

// addJob adds the task as a job of its own and times the decision.
func (c *churn) addJob(d DeclaredTask) {
	job := d.job(jobID(c.jobCount))
	c.jobCount++
	begin := time.Now()
	actions := c.sched.Apply(c.now, scheduler.JobAdded{Job: job})
	_ = c.decisionTimes.RecordValue(int64(time.Since(begin)))
	c.collectStarts(actions)
}

// collectStarts adds the attempts that the actions start to the live ones.
func (c *churn) collectStarts(actions []scheduler.Action) {
	for _, a := range actions {
		start, ok := a.(scheduler.Start)
		if !ok {
			continue
		}
		for _, p := range start.Placements {
			c.liveAttempts = append(c.liveAttempts, p.Attempt)
			c.placedCount++
		}
	}
}

// step ends one random task and adds a new one, with a Tick after every 1,000th
// job.
func (c *churn) step() {
	c.now += time.Millisecond
	i := c.rng.IntN(len(c.liveAttempts))
	ended := c.liveAttempts[i]
	c.liveAttempts[i] = c.liveAttempts[len(c.liveAttempts)-1]
	c.liveAttempts = c.liveAttempts[:len(c.liveAttempts)-1]
	c.collectStarts(c.sched.Apply(c.now, scheduler.TaskEnded{Attempt: ended, Result: records.TaskSucceeded}))
	c.addJob(c.drawTask())
	if c.jobCount%1000 == 0 {
		c.collectStarts(c.sched.Apply(c.now, scheduler.Tick{}))
	}
}

// decisionSpeed is the result of timing decisions.
type decisionSpeed struct {
	perSecond     float64
	p50, p99, max time.Duration
}

// measureSpeed times steps at the given share of processors in use, after a
// warm-up of a tenth of the steps. The time per placement includes the events
// that end tasks.
func measureSpeed(workers int, share float64, mix []DeclaredTask, steps int, seed uint64) decisionSpeed {
	c := newChurn(workers, mix, seed)
	c.fill(workers, share)
	for range steps / 10 {
		c.step()
	}
	c.decisionTimes.Reset()
	before := c.placedCount
	begin := time.Now()
	for range steps {
		c.step()
	}
	elapsed := time.Since(begin)
	return decisionSpeed{
		perSecond: float64(c.placedCount-before) / elapsed.Seconds(),
		p50:       time.Duration(c.decisionTimes.ValueAtQuantile(50)),
		p99:       time.Duration(c.decisionTimes.ValueAtQuantile(99)),
		max:       time.Duration(c.decisionTimes.Max()),
	}
}

// measureFullCell times decisions on jobs that are added to a cell without free
// capacity: patient jobs, which wait, and urgent ones, a quarter, which preempt.
func measureFullCell(workers int, mix []DeclaredTask, jobs int, seed uint64) decisionSpeed {
	c := newChurn(workers, mix, seed)
	patient := DeclaredTask{Class: "report", Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 2048}, RunTime: time.Hour}
	for range workers * 33 {
		c.addJob(patient)
	}
	c.decisionTimes.Reset()
	for i := range jobs {
		d := c.drawTask()
		if i%4 == 0 {
			d = DeclaredTask{Class: "hotline", Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1024}, RunTime: time.Second}
		}
		c.addJob(d)
	}
	return decisionSpeed{
		p50: time.Duration(c.decisionTimes.ValueAtQuantile(50)),
		p99: time.Duration(c.decisionTimes.ValueAtQuantile(99)),
		max: time.Duration(c.decisionTimes.Max()),
	}
}
