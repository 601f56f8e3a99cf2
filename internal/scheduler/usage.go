package scheduler

import (
	"time"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// throttleInterval is the pause before an attempt is throttled again. Usage
	// reports lag behind a throttle.
	throttleInterval = 30 * time.Second
	// cpuToleranceDivisor is the part of the allocation, as 1/n, by which the
	// CPU use may exceed it, because reports are averages.
	cpuToleranceDivisor = 10
)

// applyUsage compares what attempts use with what they were allocated.
func (s *Scheduler) applyUsage(ev UsageReport) {
	for _, u := range ev.Tasks {
		t := s.liveTask(u.Attempt)
		if t == nil {
			continue
		}
		t.peakUse = maxResources(t.peakUse, u.Used)
		if t.isTerminating {
			continue
		}
		s.enforceCPU(t, u.Used.MilliCPU)
		s.enforceMemory(t, u.Used.MemoryMB)
	}
}

func (s *Scheduler) enforceCPU(t *task, used int64) {
	if used <= t.allocated.MilliCPU+t.allocated.MilliCPU/cpuToleranceDivisor {
		return
	}
	if t.throttledAt != 0 && s.now < t.throttledAt+throttleInterval {
		return
	}
	t.throttledAt = max(s.now, 1)
	s.actions = append(s.actions, Throttle{t.attempt(), t.allocated.MilliCPU, "uses more processor time than allocated"})
}

// enforceMemory gives an attempt the memory that it uses if the worker has it
// free. Otherwise the attempt is checkpointed and starts again with that size.
func (s *Scheduler) enforceMemory(t *task, used int64) {
	excess := used - t.allocated.MemoryMB
	if excess <= 0 {
		return
	}
	t.minSize.MemoryMB = max(t.minSize.MemoryMB, used)
	w := t.worker
	if excess <= w.available.MemoryMB {
		s.growAllocation(t, t.allocated.Add(structs.Resources{MemoryMB: excess}))
		return
	}
	if !t.isPreemptible() {
		return
	}
	reason := "uses more memory than allocated and the worker has none free"
	s.terminate(t, reason)
	if g := t.gang(); g != nil {
		s.terminateGang(t.job, g, reason)
	}
}

// growAllocation raises the allocation of an attempt to size. It is never
// lowered.
func (s *Scheduler) growAllocation(t *task, size structs.Resources) {
	w := t.worker
	increase := maxResources(t.allocated, size).Sub(t.allocated)
	if increase.IsZero() {
		return
	}
	w.countPreemptible(t, -1)
	w.used = w.used.Add(increase)
	t.job.team.used = t.job.team.used.Add(increase)
	if t.isTerminating {
		w.terminating = w.terminating.Add(increase)
		t.job.team.terminating = t.job.team.terminating.Add(increase)
	}
	t.allocated = t.allocated.Add(increase)
	w.countPreemptible(t, 1)
	s.cache.refreshWorker(w)
}

// learn adds the use and the run time of an attempt that ends to what is known
// about its class.
func (s *Scheduler) learn(t *task, result records.TaskResult) {
	if !t.hasStarted {
		return
	}
	c := t.job.class
	declared := t.spec().Resources
	if t.peakUse.MilliCPU > 0 && declared.MilliCPU > 0 {
		c.cpuRatios.add(float64(t.peakUse.MilliCPU) / float64(declared.MilliCPU))
	}
	if t.peakUse.MemoryMB > 0 && declared.MemoryMB > 0 {
		c.memoryRatios.add(float64(t.peakUse.MemoryMB) / float64(declared.MemoryMB))
	}
	if result != records.TaskSucceeded || t.isService() {
		return
	}
	runTime := s.now - t.startedAt
	if declaredRunTime := t.spec().RunTime; declaredRunTime > 0 {
		c.runTimeRatios.add(float64(runTime) / float64(declaredRunTime))
	} else {
		c.runSeconds.add(runTime.Seconds())
	}
}
