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

// Plan is the decision on one evaluation.
type Plan struct {
	Placements []Placement
	// Blocked means that the evaluation, or the rest of it, does not fit.
	Blocked bool
	// Reason says why it does not fit.
	Reason string
}

// Schedule decides where the pending tasks of e run, at most limit of them
// unless e is a gang. It depends on the cache and e alone. The placements of
// the plan are allocated in the cache, so that the next decision takes them
// into account; the members of a gang are placed together or not at all.
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
func (c *Cache) mayHoldGang(e *Evaluation) bool {
	free := c.freeTotal
	for _, w := range e.drainedWorkers {
		free = free.Add(w.available)
	}
	var sum structs.Resources
	for _, i := range e.pendingTasks {
		sum = sum.Add(c.allocationFor(e.job, i))
	}
	return sum.Fits(free)
}

func (c *Cache) place(e *Evaluation, t *task, w *WorkerState, need structs.Resources, plan *Plan) {
	t.attempts++
	t.state = taskLive
	c.allocate(t, w, need)
	if e.liveByRack != nil {
		e.liveByRack[w.rack]++
	}
	plan.Placements = append(plan.Placements, Placement{t.attempt(), need})
}

func (c *Cache) undoPlacement(t *task) {
	c.release(t)
	t.attempts--
	t.state = taskQueued
}

// findWorker returns the best worker for a task, or nil. Workers drained for
// the evaluation come first.
func (c *Cache) findWorker(p *Policy, e *Evaluation, t *task, need structs.Resources) *WorkerState {
	r := PlacementRequest{
		Need: need, Urgent: e.job.class.isUrgent(), Service: e.isService, Late: e.isLate, AvoidWorker: t.avoidWorker,
		liveByRack: e.liveByRack, utilization: c.utilization(),
	}
	for _, w := range e.drainedWorkers {
		if w.isSchedulable() && need.Fits(w.available) {
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

// search retains the best of the workers that were considered.
type search struct {
	policy     *Policy
	request    *PlacementRequest
	best       *WorkerState
	bestScore  float64
	ratedCount int
}

// consider rates a worker and reports whether more workers should be
// considered.
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
// was found, or only the worker to avoid.
func (s *search) needsNextStage() bool {
	return s.best == nil || s.best.ID == s.request.AvoidWorker
}

// findSpreadWorker looks for a worker for a task of a service in some racks,
// starting where the last search ended.
func (c *Cache) findSpreadWorker(s *search) *WorkerState {
	n := min(maxSpreadRacks, len(c.racks))
	for i := range n {
		r := c.racks[(c.rackCursor+i)%len(c.racks)]
		for _, w := range r.workers {
			isUsable := w.acceptsAllTasks() && s.request.Need.Fits(w.available)
			if isUsable && (w.Capacity.Accelerators == 0 || s.request.Need.Accelerators > 0) {
				s.consider(w)
			}
		}
	}
	c.rackCursor += n
	return s.best
}

// waitReason says why an evaluation does not fit.
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
