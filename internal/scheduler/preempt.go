package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// preemptionLeadTime is how long before its start deadline work begins to
	// preempt: time for a checkpoint, a stop if that fails, and the start.
	preemptionLeadTime = 6 * time.Second
	// maxReclaimDelay is the longest wait before work of a team within its
	// quota reclaims borrowed capacity.
	maxReclaimDelay = 30 * time.Second
	// checkpointTimeout is how long a checkpoint may take before the attempt is
	// stopped.
	checkpointTimeout = 3 * time.Second
	// victimSearchInterval is the pause after a search for victims that found
	// too few.
	victimSearchInterval = 200 * time.Millisecond
	// maxReservationsPerDecision bounds the reservations that one decision
	// makes for tasks that start one by one.
	maxReservationsPerDecision = 16
	// maxPreemptionCandidates is the number of workers that are compared for a
	// reservation.
	maxPreemptionCandidates = 4
	// servicePreemptionCost and gangPreemptionCost rate victims against a batch
	// task, which costs 1: a service starts again without its state, a gang
	// ends as a whole.
	servicePreemptionCost = 4
	gangPreemptionCost    = 1000
)

// preemptionRights is what an evaluation that does not fit may preempt.
type preemptionRights struct {
	eval *Evaluation
	// isNearStartDeadline means that the start deadline is so near that the
	// evaluation may preempt, isWithinQuota that the team stays within its
	// quota, mayReclaim that the evaluation may reclaim borrowed capacity.
	isNearStartDeadline, isWithinQuota, mayReclaim bool
}

// reclaimAt returns the time from which on e may reclaim borrowed capacity. It
// is computed when e does not fit and when it is blocked, if the team stays
// within its quota.
func (e *Evaluation) reclaimAt() time.Duration {
	return e.waitingSince + min(maxReclaimDelay, e.job.class.startTarget()/2)
}

// preemptAt returns the time from which on e may preempt work that is less
// urgent: at once for urgent work, else shortly before its start deadline. It
// is computed when e does not fit and when it is blocked.
func (e *Evaluation) preemptAt() time.Duration {
	if e.job.class.isUrgent() {
		return e.waitingSince
	}
	return e.startDeadline - preemptionLeadTime
}

// preemptionRights returns what e may preempt at the time now. It is computed
// when e does not fit, and again for each task for which victims are searched.
func (e *Evaluation) preemptionRights(now time.Duration) preemptionRights {
	isWithinQuota := !e.job.team.wouldExceedQuota(e.quotaDemand)
	return preemptionRights{
		eval:                e,
		isNearStartDeadline: now >= e.preemptAt(),
		isWithinQuota:       isWithinQuota,
		mayReclaim:          isWithinQuota && now >= e.reclaimAt(),
	}
}

// mayPreempt reports whether attempts with a key may be terminated for the
// evaluation. A search for victims calls it for the sums of each worker and for
// the attempts on the workers that it compares.
//
// Work with accelerators preempts work without them on accelerator workers to
// get CPU and memory, so that no accelerator is stranded. The reverse is left
// to urgent work, because the two would preempt each other again and again. So
// would teams above their quotas, and so would a gang above its quota, which
// others reclaim as a whole. Beyond its quota a team therefore preempts only
// its own work, and only for single tasks or urgent gangs.
func (r *preemptionRights) mayPreempt(key preemptionKey) bool {
	ownJob := r.eval.job
	if key.class.isUrgent() {
		return false
	}
	respectsQuota := r.isWithinQuota || key.team == ownJob.team && (r.eval.gang == nil || ownJob.class.isUrgent())
	switch {
	case r.eval.need.Accelerators > 0 && key.hasNoAccelerators && respectsQuota:
		return true
	case r.eval.need.Accelerators == 0 && !key.hasNoAccelerators && !ownJob.class.isUrgent():
		return false
	case r.mayReclaim && key.usesBorrowedQuota && key.team != ownJob.team && key.team.isBorrowing():
		return true
	case !r.isNearStartDeadline || !respectsQuota:
		return false
	}
	ownTarget := ownJob.class.startTarget()
	return key.class.startTarget() >= minStartTargetRatio*ownTarget || key.isOverrun && key.class.startTarget() >= ownTarget
}

// preemptReserver reserves the capacity of work that is less urgent, overruns
// or uses borrowed capacity, and terminates that work.
type preemptReserver struct{}

// WakeAt returns the earliest time at which e may preempt or reclaim.
// blockSubqueue calls it when e is blocked.
func (preemptReserver) WakeAt(e *Evaluation) time.Duration {
	at := e.preemptAt()
	if !e.job.team.wouldExceedQuota(e.quotaDemand) {
		at = min(at, e.reclaimAt())
	}
	return at
}

// Reserve reserves capacity for e by preemption, if e may preempt now. It is
// called in a scheduling cycle when e does not fit, before workers are drained.
// After a search that found too few victims the subqueue is not searched for
// again before victimSearchInterval.
func (preemptReserver) Reserve(s *Scheduler, e *Evaluation) bool {
	rights := e.preemptionRights(s.now)
	if !rights.isNearStartDeadline && !rights.mayReclaim && e.need.Accelerators == 0 {
		return false
	}
	if sq := e.subqueue; sq.hasFailedSearch && s.now < sq.failedSearchAt+victimSearchInterval {
		return false
	}
	if s.reserveByPreemption(e) {
		return true
	}
	e.subqueue.hasFailedSearch = true
	e.subqueue.failedSearchAt = s.now
	return false
}

// reserveByPreemption reserves capacity for the pending tasks of an evaluation
// and requests the termination of the victims. It reports whether it needs no
// further capacity for this decision. preemptReserver.Reserve calls it.
func (s *Scheduler) reserveByPreemption(e *Evaluation) bool {
	if e.gang != nil {
		return s.reserveForGang(e)
	}
	for n := 0; len(e.pendingTasks) > 0 && n < maxReservationsPerDecision; n++ {
		if !s.preemptForTask(e, e.pendingTasks[0]) {
			return false
		}
		e.pendingTasks = e.pendingTasks[1:]
		s.terminateVictims(e)
	}
	return true
}

// reserveForGang reserves capacity for each pending member of a gang, or for
// none. reserveByPreemption calls it for a gang that does not fit.
func (s *Scheduler) reserveForGang(e *Evaluation) bool {
	for n, i := range e.pendingTasks {
		if s.reserveFreeCapacity(e, i) || s.preemptForTask(e, i) {
			continue
		}
		s.deselectVictims()
		for _, i := range e.pendingTasks[:n] {
			e.job.tasks[i].state = taskQueued
		}
		for len(e.reservations) > 0 {
			s.removeReservation(e.reservations[0])
		}
		return false
	}
	s.terminateVictims(e)
	e.pendingTasks = nil
	s.placeReserved(e)
	return true
}

// reserveFreeCapacity reserves free capacity for a member of a gang and reports
// whether there is any. reserveForGang calls it before it searches for victims
// for the member.
func (s *Scheduler) reserveFreeCapacity(e *Evaluation, index int32) bool {
	t := &e.job.tasks[index]
	need := s.cache.allocationFor(e.job, index)
	w := s.cache.findWorker(s.policy, e, t, need)
	if w == nil {
		return false
	}
	s.addReservation(e, index, w, need)
	return true
}

// preemptForTask selects victims, reserves their capacity for a task and
// reports whether it found enough. It is called for pending tasks of an
// evaluation that does not fit; the caller requests the termination of the
// victims or deselects them.
func (s *Scheduler) preemptForTask(e *Evaluation, index int32) bool {
	rights := e.preemptionRights(s.now)
	need := s.cache.allocationFor(e.job, index)
	for _, scope := range victimScopes {
		if scope.excludesAccelerators && need.Accelerators > 0 {
			continue
		}
		if w, victims := s.findVictims(&rights, need, scope); w != nil {
			s.selectVictims(victims)
			s.addReservation(e, index, w, need)
			return true
		}
	}
	return false
}

// victimScope limits one search for victims.
type victimScope struct {
	// excludesAccelerators leaves out workers with accelerators, so that work
	// without accelerators strands none.
	excludesAccelerators bool
	// includesGangs includes members of gangs, which end as a whole.
	includesGangs bool
}

// victimScopes are searched in this order.
var victimScopes = []victimScope{{excludesAccelerators: true}, {}, {includesGangs: true}}

// findVictims returns the worker on which the cheapest victims free enough
// capacity, and these victims. It compares the first few workers on which the
// sums allow it, starting where the last search ended. preemptForTask calls it
// for each scope until one has enough.
func (s *Scheduler) findVictims(rights *preemptionRights, need structs.Resources, scope victimScope) (*WorkerState, []*task) {
	var best *WorkerState
	var bestVictims []*task
	bestCost, compared := 0, 0
	list := s.cache.workerList
	start := s.cache.preemptCursor
	for i := range list {
		w := list[(start+i)%len(list)]
		if !w.mayFreeCapacity(rights, need, scope) {
			continue
		}
		victims, cost, enough := w.pickVictims(rights, need, scope)
		if enough && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
		s.cache.preemptCursor = start + i + 1
		compared++
		if compared == maxPreemptionCandidates {
			break
		}
	}
	return best, bestVictims
}

// mayFreeCapacity reports whether the reservable capacity of a worker and the
// sums of what may be preempted suffice for need. findVictims calls it for each
// worker, before it looks at single attempts.
func (w *WorkerState) mayFreeCapacity(rights *preemptionRights, need structs.Resources, scope victimScope) bool {
	if scope.excludesAccelerators && w.Capacity.Accelerators > 0 {
		return false
	}
	if !need.Fits(w.Capacity) || !w.isSchedulable() || w.drainedFor != nil && w.drainedFor != rights.eval || w.health.isQuarantined {
		return false
	}
	freeable := w.reservableCapacity()
	for i := range w.preemptible {
		if p := &w.preemptible[i]; (scope.includesGangs || !p.inGang) && rights.mayPreempt(p.preemptionKey) {
			freeable = freeable.Add(p.sum)
		}
	}
	return need.Fits(freeable)
}

// pickVictims returns attempts on w whose end frees enough capacity for need:
// those that overrun first, then batch, then those with the longest start
// target, then the last started. It returns them with their cost, and whether
// they are enough. findVictims calls it for each worker that it compares.
func (w *WorkerState) pickVictims(rights *preemptionRights, need structs.Resources, scope victimScope) ([]*task, int, bool) {
	var eligible []*task
	for _, t := range w.tasks {
		if t.isPreemptible() && (scope.includesGangs || t.gang() == nil) && t.job != rights.eval.job && rights.mayPreempt(t.preemptionKey()) {
			eligible = append(eligible, t)
		}
	}
	slices.SortFunc(eligible, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.preemptionCost(), b.preemptionCost()),
			cmp.Compare(b.job.class.startTarget(), a.job.class.startTarget()),
			cmp.Compare(b.startedAt, a.startedAt),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.index, b.index),
		)
	})
	shortage := need.Sub(w.reservableCapacity())
	var victims []*task
	for _, t := range eligible {
		if shortage.Fits(structs.Resources{}) {
			break
		}
		if reducesShortage(t.allocated, shortage) {
			victims = append(victims, t)
			shortage = shortage.Sub(t.allocated)
		}
	}
	if !shortage.Fits(structs.Resources{}) {
		return nil, 0, false
	}
	cost := 0
	victims = slices.DeleteFunc(victims, func(t *task) bool {
		shortageWithout := shortage.Add(t.allocated)
		if shortageWithout.Fits(structs.Resources{}) {
			shortage = shortageWithout
			return true
		}
		cost += 1 + t.preemptionCost()
		return false
	})
	return victims, cost, true
}

// reducesShortage reports whether freeing an allocation lowers a shortage.
// pickVictims skips attempts for which it does not.
func reducesShortage(freed, shortage structs.Resources) bool {
	return shortage.MilliCPU > 0 && freed.MilliCPU > 0 ||
		shortage.MemoryMB > 0 && freed.MemoryMB > 0 ||
		shortage.Accelerators > 0 && freed.Accelerators > 0
}

// preemptionCost rates the loss if the live attempt of a task is preempted.
// pickVictims orders attempts by it and sums it up for each worker.
func (t *task) preemptionCost() int {
	switch {
	case t.gang() != nil:
		return gangPreemptionCost
	case t.isOverrun:
		return 0
	case t.isService():
		return servicePreemptionCost
	}
	return 1
}
