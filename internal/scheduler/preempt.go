package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

const (
	// preemptionLeadTime is how long before its latest start work begins to preempt:
	// time for a checkpoint, a stop if that fails, and the start.
	preemptionLeadTime = 6 * time.Second
	// maxReclaimDelay is the longest wait before a team within its quota takes
	// back what it lent.
	maxReclaimDelay = 30 * time.Second
	// checkpointTimeout is how long a checkpoint may take before the attempt
	// is stopped.
	checkpointTimeout = 3 * time.Second
	// victimSearchInterval is the pause after a search for victims that found too few.
	victimSearchInterval = 200 * time.Millisecond
	// maxReservationsPerDecision bounds the claims that one decision makes for tasks that start
	// one by one.
	maxReservationsPerDecision = 16
	// maxPreemptionCandidates is the number of workers that are compared for a claim.
	maxPreemptionCandidates = 4
	// servicePreemptionCost and gangCost rate victims against a batch task, which costs
	// 1: a service starts again from nothing, a gang ends as a whole.
	servicePreemptionCost = 4
	gangPreemptionCost    = 1000
)

// preemptionRights is what an evaluation that does not fit may take from others.
type preemptionRights struct {
	eval *Evaluation
	// isNearStartDeadline means that the latest start is near, isWithinQuota that the team stays
	// isWithinQuota its quota, mayReclaim that it may take back what it lent.
	isNearStartDeadline, isWithinQuota, mayReclaim bool
}

func (e *Evaluation) reclaimAt() time.Duration {
	return e.waitingSince + min(maxReclaimDelay, e.job.class.startTarget()/2)
}

func (e *Evaluation) preemptAt() time.Duration {
	if e.job.class.isUrgent() {
		return e.waitingSince
	}
	return e.startDeadline - preemptionLeadTime
}

func (e *Evaluation) preemptionRights(now time.Duration) preemptionRights {
	within := !e.job.team.wouldExceedQuota(e.quotaDemand)
	return preemptionRights{
		eval:                e,
		isNearStartDeadline: now >= e.preemptAt(),
		isWithinQuota:       within,
		mayReclaim:          within && now >= e.reclaimAt(),
	}
}

// mayPreempt reports whether attempts of a kind may be told to end for e. Work with
// accelerators takes processors and memory of accelerator workers back from
// work without, so that no accelerator is stranded; the reverse is left to
// urgent work, because the two would take turns. So would teams above their
// quotas that preempt each other, and a gang above its quota, which others take
// back as a whole.
func (n *preemptionRights) mayPreempt(u preemptionKey) bool {
	own := n.eval.job
	if u.class.isUrgent() {
		return false
	}
	fair := n.isWithinQuota || u.team == own.team && (n.eval.gang == nil || own.class.isUrgent())
	switch {
	case n.eval.need.Accelerators > 0 && u.hasNoAccelerators && fair:
		return true
	case n.eval.need.Accelerators == 0 && !u.hasNoAccelerators && !own.class.isUrgent():
		return false
	case n.mayReclaim && u.usesBorrowedQuota && u.team != own.team && u.team.isBorrowing():
		return true
	case !n.isNearStartDeadline || !fair:
		return false
	}
	target := own.class.startTarget()
	return u.class.startTarget() >= minStartTargetRatio*target || u.isOverrun && u.class.startTarget() >= target
}

// preemptReserver claims capacity of work that is more patient, overruns or
// runs on lent quota.
type preemptReserver struct{}

func (preemptReserver) WakeAt(e *Evaluation) time.Duration {
	at := e.preemptAt()
	if !e.job.team.wouldExceedQuota(e.quotaDemand) {
		at = min(at, e.reclaimAt())
	}
	return at
}

func (preemptReserver) Reserve(s *Scheduler, e *Evaluation) bool {
	rights := e.preemptionRights(s.now)
	if !rights.isNearStartDeadline && !rights.mayReclaim && e.need.Accelerators == 0 {
		return false
	}
	if l := e.subqueue; l.hasFailedSearch && s.now < l.failedSearchAt+victimSearchInterval {
		return false
	}
	if s.reserveByPreemption(e) {
		return true
	}
	e.subqueue.hasFailedSearch = true
	e.subqueue.failedSearchAt = s.now
	return false
}

// reserveByPreemption claims capacity for the pending tasks of an evaluation.
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

// reserveForGang claims a place for each pending member, or for none.
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

// reserveFreeCapacity claims free capacity for a member of a gang.
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

// preemptForTask claims capacity of victims for a task.
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

// victimScope limits a search for victims.
type victimScope struct {
	// excludesAccelerators leaves out workers with accelerators, so that work without does
	// not strand them.
	excludesAccelerators bool
	// includesGangs includes members of includesGangs, which end as a whole.
	includesGangs bool
}

// victimScopes are searched in turn.
var victimScopes = []victimScope{{excludesAccelerators: true}, {}, {includesGangs: true}}

// findVictims looks for the worker on which the cheapest victims make room. It
// compares the first few workers on which the sums allow it, starting where
// the last search ended.
func (s *Scheduler) findVictims(rights *preemptionRights, need structs.Resources, scope victimScope) (*WorkerState, []*task) {
	var best *WorkerState
	var bestVictims []*task
	bestCost, seen := 0, 0
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
		seen++
		if seen == maxPreemptionCandidates {
			break
		}
	}
	return best, bestVictims
}

// mayFreeCapacity reports whether the room on a worker and the sums of what may be ended
// suffice for need.
func (w *WorkerState) mayFreeCapacity(rights *preemptionRights, need structs.Resources, scope victimScope) bool {
	if scope.excludesAccelerators && w.Capacity.Accelerators > 0 {
		return false
	}
	if !need.Fits(w.Capacity) || !w.isSchedulable() || w.drainedFor != nil && w.drainedFor != rights.eval || w.health.isQuarantined {
		return false
	}
	total := w.reservableCapacity()
	for i := range w.preemptible {
		if u := &w.preemptible[i]; (scope.includesGangs || !u.inGang) && rights.mayPreempt(u.preemptionKey) {
			total = total.Add(u.sum)
		}
	}
	return need.Fits(total)
}

// pickVictims picks attempts on w whose end makes room for need: those that overrun
// first, then batch, then the most patient, then the last started. It returns
// them with their cost, and whether they are enough.
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
	missing := need.Sub(w.reservableCapacity())
	var chosen []*task
	for _, t := range eligible {
		if missing.Fits(structs.Resources{}) {
			break
		}
		if reducesShortage(t.allocated, missing) {
			chosen = append(chosen, t)
			missing = missing.Sub(t.allocated)
		}
	}
	if !missing.Fits(structs.Resources{}) {
		return nil, 0, false
	}
	cost := 0
	chosen = slices.DeleteFunc(chosen, func(t *task) bool {
		spare := missing.Add(t.allocated)
		if spare.Fits(structs.Resources{}) {
			missing = spare
			return true
		}
		cost += 1 + t.preemptionCost()
		return false
	})
	return chosen, cost, true
}

// reducesShortage reports whether freeing alloc lowers a shortage.
func reducesShortage(alloc, missing structs.Resources) bool {
	return missing.MilliCPU > 0 && alloc.MilliCPU > 0 ||
		missing.MemoryMB > 0 && alloc.MemoryMB > 0 ||
		missing.Accelerators > 0 && alloc.Accelerators > 0
}

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
