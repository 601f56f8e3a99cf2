package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// minDrainDelay is the shortest wait before workers are drained for work
	// that cannot start because of smaller work.
	minDrainDelay = 10 * time.Second
	// maxDrainingEvaluations bounds the evaluations for which workers are
	// drained at the same time. Only one of them is a gang, so that two never
	// hold a part each.
	maxDrainingEvaluations = 4
	// drainedWorkersDivisor limits the drained workers to this part, as 1/n, of
	// all workers, unless a single evaluation needs more.
	drainedWorkersDivisor = 4
	// drainRetryInterval is the pause after no worker could be drained.
	drainRetryInterval = time.Second
	// drainEvictionDelay is how long work on a drained worker may run on when
	// the evaluation is past its start deadline.
	drainEvictionDelay = 30 * time.Second
)

// drainReserver stops new work on some workers until a large task or a gang
// that has waited for long fits there.
type drainReserver struct{}

func (drainReserver) WakeAt(e *Evaluation) time.Duration {
	return max(e.job.acceptedAt+e.job.class.startTarget()/2, e.waitingSince+minDrainDelay)
}

func (d drainReserver) Reserve(s *Scheduler, e *Evaluation) bool {
	if len(e.drainedWorkers) > 0 {
		return false
	}
	if s.transferDrain(e) {
		return true
	}
	if s.now < d.WakeAt(e) || s.now < s.nextDrainAt || !s.mayDrain(e) {
		return false
	}
	workers := s.selectWorkersToDrain(e)
	if len(workers) == 0 {
		s.nextDrainAt = s.now + drainRetryInterval
		return false
	}
	e.drainingSince = s.now
	s.drainingEvals = append(s.drainingEvals, e)
	for _, w := range workers {
		s.startDrain(e, w)
	}
	return false
}

// transferDrain gives e, which is the head of its subqueue, the workers that
// are drained for another evaluation of the subqueue. Only the head is decided
// on, so the other evaluation could not use them.
func (s *Scheduler) transferDrain(e *Evaluation) bool {
	for i, o := range s.drainingEvals {
		if o.subqueue != e.subqueue {
			continue
		}
		s.drainingEvals[i] = e
		e.drainedWorkers, o.drainedWorkers = o.drainedWorkers, nil
		e.drainingSince = s.now
		for _, w := range e.drainedWorkers {
			w.drainedFor = e
		}
		return true
	}
	return false
}

// mayDrain reports whether the limits of concurrent drains allow one for e.
func (s *Scheduler) mayDrain(e *Evaluation) bool {
	if len(s.drainingEvals) >= maxDrainingEvaluations {
		return false
	}
	return e.gang == nil || !slices.ContainsFunc(s.drainingEvals, func(o *Evaluation) bool { return o.gang != nil })
}

func (s *Scheduler) startDrain(e *Evaluation, w *WorkerState) {
	w.drainedFor = e
	e.drainedWorkers = append(e.drainedWorkers, w)
	s.cache.refreshWorker(w)
}

// selectWorkersToDrain returns the workers with the most free capacity that
// hold e once everything that ends on them has ended. It returns none if too
// many workers are drained already.
func (s *Scheduler) selectWorkersToDrain(e *Evaluation) []*WorkerState {
	fitting := make([]*WorkerState, 0, len(s.cache.workerList))
	for _, w := range s.cache.workerList {
		if w.acceptsAllTasks() && !w.health.isQuarantined && e.need.Fits(w.drainableCapacity()) {
			fitting = append(fitting, w)
		}
	}
	freeShare := func(w *WorkerState) float64 {
		return float64(w.available.MilliCPU)*w.invCPU + float64(w.available.MemoryMB)*w.invMem
	}
	slices.SortStableFunc(fitting, func(a, b *WorkerState) int {
		return cmp.Compare(freeShare(b), freeShare(a))
	})
	n := 1
	if e.gang != nil {
		n = countWorkersToDrain(e, fitting)
	}
	drainedCount := 0
	for _, o := range s.drainingEvals {
		drainedCount += len(o.drainedWorkers)
	}
	if drainedCount > 0 && (drainedCount+n)*drainedWorkersDivisor > len(s.cache.workerList) {
		return nil
	}
	return fitting[:min(n, len(fitting))]
}

// countWorkersToDrain returns how many of the workers hold the gang. It is a
// lower bound if the members differ; evictFromDrainedWorkers adds workers then.
func countWorkersToDrain(e *Evaluation, workers []*WorkerState) int {
	remaining := len(e.pendingTasks)
	for i, w := range workers {
		remaining -= fitCount(e.need, w.drainableCapacity(), remaining)
		if remaining <= 0 {
			return i + 1
		}
	}
	return len(workers)
}

// fitCount returns how many times need fits into free, at most limit.
func fitCount(need, free structs.Resources, limit int) int {
	n := int64(limit)
	if need.MilliCPU > 0 {
		n = min(n, free.MilliCPU/need.MilliCPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return int(max(n, 0))
}

// drainableCapacity returns the capacity of a worker less what is reserved and
// what services hold, which do not end by themselves.
func (w *WorkerState) drainableCapacity() structs.Resources {
	free := w.Capacity.Sub(w.reserved)
	for _, t := range w.tasks {
		if t.isService() && !t.isTerminating {
			free = free.Sub(t.allocated)
		}
	}
	return free
}

// endDrain ends the drain of workers for e, so that they take all tasks again.
func (s *Scheduler) endDrain(e *Evaluation) {
	if len(e.drainedWorkers) == 0 {
		return
	}
	workers := e.drainedWorkers
	e.drainedWorkers = nil
	s.drainingEvals = slices.DeleteFunc(s.drainingEvals, func(o *Evaluation) bool { return o == e })
	for _, w := range workers {
		w.drainedFor = nil
		s.cache.refreshWorker(w)
		s.queue.onCapacityFreed(w)
	}
}

// evictFromDrainedWorkers terminates work on drained workers that runs on for
// long, and drains a further worker when the drained ones are idle and still do
// not suffice.
func (s *Scheduler) evictFromDrainedWorkers() {
	for _, e := range slices.Clone(s.drainingEvals) {
		if s.now < e.drainingSince+drainEvictionDelay || s.now < e.startDeadline {
			continue
		}
		isBusy := false
		for _, w := range e.drainedWorkers {
			for _, t := range slices.Clone(w.tasks) {
				switch {
				case t.isService():
				case t.isPreemptible() && t.gang() == nil && e.mayEvict(t):
					s.terminate(t, "evicted for job "+e.job.spec.ID+", which is past its start target")
					isBusy = true
				default:
					isBusy = true
				}
			}
		}
		if !isBusy {
			s.extendDrain(e)
		}
	}
}

// mayEvict reports whether a running task may be terminated for an evaluation
// that is past its start deadline and within the quota of its team: one that is
// no more urgent and comes later in the order of the queue. If others were
// terminated, the tasks would only take turns. Tasks without need of
// accelerators evict none that hold some.
func (e *Evaluation) mayEvict(t *task) bool {
	strandsAccelerators := e.need.Accelerators == 0 && t.allocated.Accelerators > 0
	if t.job == e.job || strandsAccelerators {
		return false
	}
	isWithinQuota := !e.job.team.wouldExceedQuota(e.quotaDemand)
	isLater := t.startDeadline > e.startDeadline || t.isOverrun
	return isWithinQuota && isLater && t.job.class.startTarget() >= e.job.class.startTarget()
}

// extendDrain drains one more worker for e.
func (s *Scheduler) extendDrain(e *Evaluation) {
	for _, w := range s.cache.workerList {
		if w.acceptsAllTasks() && !w.health.isQuarantined && e.need.Fits(w.drainableCapacity()) {
			s.startDrain(e, w)
			return
		}
	}
}
