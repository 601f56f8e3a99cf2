package scheduler

import (
	"fmt"
	"slices"

	"gypsumwinch/internal/structs"
)

const (
	// maxCandidates is the number of workers that are scored for one task.
	maxCandidates = 16
	// maxSpreadRacks is the number of racks that are searched for a task of a
	// service before the index is used.
	maxSpreadRacks = 16
)

// Plan is the result of a decision on one evaluation, or holds the placements
// of its tasks whose reservations are ready.
type Plan struct {
	Placements []Placement
	// Blocked means that the evaluation, or the rest of it, does not fit.
	Blocked bool
	// Reason is why it does not fit.
	Reason string
}

// Schedule decides where the pending tasks of e run, at most limit of them
// unless e is a gang. A scheduling cycle calls it for one evaluation after the
// other. The result depends only on the cache, the policy, e and limit. The placements of the plan are
// allocated in the cache, so that the next decision takes them into account;
// the members of a gang are placed together or not at all.
func Schedule(c *Cache, p *Policy, e *Evaluation, limit int, plan *Plan) {
	plan.Placements = plan.Placements[:0]
	plan.Blocked = false
	if e.gang != nil {
		scheduleGang(c, p, e, plan)
		return
	}
	for len(e.pendingTasks) > 0 && len(plan.Placements) < limit {
		t := &e.job.tasks[e.pendingTasks[0]]
		w := c.findWorker(p, e, t, e.need)
		if w == nil {
			plan.Blocked = true
			plan.Reason = c.waitReason(e)
			return
		}
		e.pendingTasks = e.pendingTasks[1:]
		c.place(e, t, w, e.need, plan)
	}
}

// scheduleGang is the part of Schedule for a gang: it places all pending
// members, or undoes the placements when one does not fit.
func scheduleGang(c *Cache, p *Policy, e *Evaluation, plan *Plan) {
	placed := 0
	if c.mayHoldGang(e) {
		for _, i := range e.pendingTasks {
			t := &e.job.tasks[i]
			need := c.allocationFor(e.job, i)
			w := c.findWorker(p, e, t, need)
			if w == nil {
				break
			}
			c.place(e, t, w, need, plan)
			placed++
		}
	}
	if placed == len(e.pendingTasks) {
		e.pendingTasks = nil
		return
	}
	for _, i := range slices.Backward(e.pendingTasks[:placed]) {
		c.undoPlacement(&e.job.tasks[i])
	}
	plan.Placements = plan.Placements[:0]
	plan.Blocked = true
	plan.Reason = c.waitReason(e)
}

// mayHoldGang rules out gangs that exceed the sum of the free capacity.
// scheduleGang calls it first, to avoid a search for each member.
func (c *Cache) mayHoldGang(e *Evaluation) bool {
	free := c.freeTotal
	for _, w := range e.drainedWorkers {
		free = free.Add(w.free)
	}
	var sum structs.Resources
	for _, i := range e.pendingTasks {
		sum = sum.Add(c.allocationFor(e.job, i))
	}
	return sum.Fits(free)
}

// place starts a new attempt of a task on w and adds it to the plan. It is
// called when a decision finds a worker, and when a reservation is ready.
func (c *Cache) place(e *Evaluation, t *task, w *WorkerState, need structs.Resources, plan *Plan) {
	t.attempts++
	t.state = taskLive
	c.allocate(t, w, need)
	if e.liveByRack != nil {
		e.liveByRack[w.rack]++
	}
	plan.Placements = append(plan.Placements, Placement{t.attempt(), need})
}

// undoPlacement reverses place. scheduleGang calls it for the members already
// placed when a further one does not fit.
func (c *Cache) undoPlacement(t *task) {
	c.release(t)
	t.attempts--
	t.state = taskQueued
}

// findWorker returns the best worker for a task, or nil. Workers drained for
// the evaluation come first. It is called for each task of a decision, and for
// the members of a gang for which capacity is reserved.
func (c *Cache) findWorker(p *Policy, e *Evaluation, t *task, need structs.Resources) *WorkerState {
	r := PlacementRequest{
		Need: need, Urgent: e.job.class.isUrgent(), Service: e.isService, Late: e.isLate, AvoidWorker: t.avoidWorker,
		liveByRack: e.liveByRack, utilization: c.utilization(),
	}
	for _, w := range e.drainedWorkers {
		if w.isSchedulable() && need.Fits(w.free) {
			return w
		}
	}
	candidates := search{policy: p, request: &r}
	if e.liveByRack != nil {
		if w := c.findSpreadWorker(&candidates); w != nil {
			return w
		}
	}
	c.index.visitFitting(need, candidates.consider, candidates.needsNextStage)
	return candidates.best
}

// search is one search for a worker; it holds the best of the workers that were
// considered.
type search struct {
	policy     *Policy
	request    *PlacementRequest
	best       *WorkerState
	bestScore  float64
	ratedCount int
}

// consider rates a worker that passes the filters, counts it, keeps it as the
// best if its score is the highest so far, and reports whether more workers
// should be considered. The search calls it for each worker with enough free capacity, at
// most maxCandidates of them from the index.
func (s *search) consider(w *WorkerState) bool {
	for _, f := range s.policy.Filters {
		if !f.Allows(s.request, w) {
			return true
		}
	}
	var score float64
	for _, sc := range s.policy.Scorers {
		score += sc.Score(s.request, w)
	}
	if s.best == nil || score > s.bestScore {
		s.best, s.bestScore = w, score
	}
	s.ratedCount++
	return s.ratedCount < maxCandidates
}

// needsNextStage reports whether the next stage of the index is needed: nothing
// was found, or only the worker to avoid. The index calls it after each stage.
func (s *search) needsNextStage() bool {
	return s.best == nil || s.best.ID == s.request.AvoidWorker
}

// findSpreadWorker returns the best worker for a task of a service in the next
// maxSpreadRacks racks, starting where the last search ended, or nil. The tasks
// of a service spread over racks, but the index orders workers by free capacity
// and a search there stops after maxCandidates workers, which may all be in the
// same rack. So this search considers all workers of several racks. It leaves
// workers with accelerators to tasks that need some.
//
// findWorker calls it for tasks of services that are not gangs. If it finds
// nothing, findWorker searches Cache.index, which also holds the workers with
// accelerators.
func (c *Cache) findSpreadWorker(s *search) *WorkerState {
	n := min(maxSpreadRacks, len(c.racks))
	for i := range n {
		r := c.racks[(c.rackCursor+i)%len(c.racks)]
		for _, w := range r.workers {
			isUsable := w.acceptsAllTasks() && s.request.Need.Fits(w.free)
			if isUsable && (w.Capacity.Accelerators == 0 || s.request.Need.Accelerators > 0) {
				s.consider(w)
			}
		}
	}
	c.rackCursor += n
	return s.best
}

// waitReason returns why an evaluation does not fit. It is called for the plan
// of a decision that is blocked, and for the status of a job.
func (c *Cache) waitReason(e *Evaluation) string {
	if e.gang != nil {
		return fmt.Sprintf("waits for capacity for %d tasks at once, %v each; free on all workers: %v",
			len(e.pendingTasks), e.need, c.freeTotal)
	}
	if e.job.team.wouldExceedQuota(e.quotaDemand) {
		return fmt.Sprintf("team %s is at its quota and no idle capacity can be lent for %v", e.job.team.name, e.need)
	}
	return fmt.Sprintf("waits for capacity: no worker has %v free; free on all workers: %v", e.need, c.freeTotal)
}
