package jobs

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumwinch/internal/structs"
)

// The rise of demand of section 1.3 of the design page: urgent demand triples
// within 2 s, stays there for 20 s and falls back.
const (
	swingRise     = 2 * time.Second
	swingHold     = 20 * time.Second
	swingTail     = 10 * time.Second
	swingStep     = 100 * time.Millisecond
	swingFactor   = 3
	urgentRunTime = 5 * time.Second
	// urgentStartTarget is the start target of the urgent class.
	urgentStartTarget = 8 * time.Second
)

// urgentWait is the result of a temporary rise of urgent demand on a full cell.
type urgentWait struct {
	tasks, lateCount   int
	p50, p999, max     time.Duration
	checkpoints, stops int
	violations         []string
}

// measureUrgentWait fills the cell with patient work and adds urgent jobs of one
// core at a base rate per second that triples. A patient attempt ends one second
// after its checkpoint, but every tenth ignores the checkpoint and has to be
// stopped.
func measureUrgentWait(workers int, perSecond float64) urgentWait {
	cell := NewCell(benchmarkConfig())
	cell.Behaviour.IgnoresCheckpoint = func(a structs.Attempt) bool { return a.Task.Index%10 == 9 }
	for _, w := range cellWorkers(workers) {
		cell.AddWorker(w)
	}
	cores := int(totalCapacity(cellWorkers(workers)).MilliCPU / 1000)
	cell.Submit(structs.Job{ID: "patient", Class: "report", Groups: []structs.TaskGroup{{
		Count: cores, Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 2048}, RunTime: time.Hour,
	}}})
	cell.Advance(time.Second)
	var out urgentWait
	out.recordWaits(cell, submitSwing(cell, perSecond))
	return out
}

// submitSwing submits the urgent jobs of one rise and fall of demand and returns
// the submission time of each job. It then lets twice the start target pass.
func submitSwing(cell *Cell, perSecond float64) map[string]time.Duration {
	submitted := map[string]time.Duration{}
	begin := cell.Now()
	pendingJobs := 0.0
	for cell.Now()-begin < swingRise+swingHold+swingTail {
		factor := 1.0
		switch t := cell.Now() - begin; {
		case t < swingRise:
			factor += (swingFactor - 1) * float64(t) / float64(swingRise)
		case t < swingRise+swingHold:
			factor = swingFactor
		}
		for pendingJobs += perSecond * factor * swingStep.Seconds(); pendingJobs >= 1; pendingJobs-- {
			id := fmt.Sprintf("u%06d", len(submitted))
			submitted[id] = cell.Now()
			cell.Submit(structs.Job{ID: id, Class: "hotline", Groups: []structs.TaskGroup{{
				Count: 1, Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1024}, RunTime: urgentRunTime,
			}}})
		}
		cell.Advance(swingStep)
	}
	cell.Advance(2 * urgentStartTarget)
	return submitted
}

// recordWaits fills in the result. A task that has not started counts with its
// wait so far.
func (u *urgentWait) recordWaits(cell *Cell, submitted map[string]time.Duration) {
	waits := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	for id, at := range submitted {
		start, started := cell.FirstStart[structs.TaskID{Job: id}]
		wait := start - at
		if !started {
			wait = cell.Now() - at
		}
		_ = waits.RecordValue(wait.Milliseconds())
		if wait > urgentStartTarget {
			u.lateCount++
		}
	}
	quantile := func(q float64) time.Duration { return time.Duration(waits.ValueAtQuantile(q)) * time.Millisecond }
	u.tasks = len(submitted)
	u.p50, u.p999, u.max = quantile(50), quantile(99.9), quantile(100)
	u.checkpoints, u.stops = cell.Checkpoints, cell.Stops
	u.violations = cell.Violations
}
