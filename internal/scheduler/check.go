package scheduler

import (
	"fmt"

	"gypsumwinch/internal/structs"
)

// Check recomputes the sums that are updated incrementally and returns an error
// if one of them is wrong or a task is in a state that does not match its
// worker or evaluation. It takes time in proportion to all workers and tasks
// and is meant for tests and diagnostics.
func (s *Scheduler) Check() error {
	teamUsed := map[*team]structs.Resources{}
	teamTerminating := map[*team]structs.Resources{}
	var free, capacity structs.Resources
	for _, w := range s.cache.workerList {
		var sum, reserved, terminating structs.Resources
		preemptible := map[preemptionKey]structs.Resources{}
		for _, t := range w.tasks {
			sum = sum.Add(t.allocated)
			teamUsed[t.job.team] = teamUsed[t.job.team].Add(t.allocated)
			if t.isTerminating {
				terminating = terminating.Add(t.allocated)
				teamTerminating[t.job.team] = teamTerminating[t.job.team].Add(t.allocated)
			}
			if t.isPreemptible() {
				preemptible[t.preemptionKey()] = preemptible[t.preemptionKey()].Add(t.allocated)
			}
			if t.worker != w || t.state != taskLive {
				return fmt.Errorf("task %v is on worker %s in state %d", t.id(), w.ID, t.state)
			}
		}
		for _, o := range w.orphans {
			sum = sum.Add(o.size)
		}
		for _, r := range w.reservations {
			reserved = reserved.Add(r.need)
		}
		if sum != w.used || reserved != w.reserved || terminating != w.terminating {
			return fmt.Errorf("worker %s: used %v want %v, reserved %v want %v, terminating %v want %v",
				w.ID, w.used, sum, w.reserved, reserved, w.terminating, terminating)
		}
		for _, p := range w.preemptible {
			if preemptible[p.preemptionKey] != p.sum {
				return fmt.Errorf("worker %s: preemptible %v, want %v", w.ID, p.sum, preemptible[p.preemptionKey])
			}
			delete(preemptible, p.preemptionKey)
		}
		if len(preemptible) > 0 {
			return fmt.Errorf("worker %s: %d kinds of preemptible work are not counted", w.ID, len(preemptible))
		}
		if w.acceptsAllTasks() {
			free = free.Add(w.available)
			capacity = capacity.Add(w.Capacity)
		}
		if w.acceptsAllTasks() != (w.grid != nil) {
			return fmt.Errorf("worker %s: accepts tasks %v, indexed %v", w.ID, w.acceptsAllTasks(), w.grid != nil)
		}
	}
	if free != s.cache.freeTotal || capacity != s.cache.capacityTotal {
		return fmt.Errorf("free capacity is %v, want %v, of %v, want %v", s.cache.freeTotal, free, s.cache.capacityTotal, capacity)
	}
	for _, t := range s.teams {
		if teamUsed[t] != t.used || teamTerminating[t] != t.terminating {
			return fmt.Errorf("team %s: used %v want %v, terminating %v want %v", t.name, t.used, teamUsed[t], t.terminating, teamTerminating[t])
		}
	}
	return s.checkJobs()
}

// checkJobs checks the counters of the jobs, and that each waiting task is in
// exactly one evaluation.
func (s *Scheduler) checkJobs() error {
	for _, j := range s.jobs {
		var open, live int
		queued := map[int32]int{}
		for _, e := range j.evals {
			if e.subqueue == nil && len(e.reservations) == 0 {
				return fmt.Errorf("job %s has an evaluation outside of the queue", j.spec.ID)
			}
			for _, i := range e.pendingTasks {
				queued[i]++
			}
			for _, r := range e.reservations {
				queued[r.taskIndex]++
			}
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state != taskDone {
				open++
			}
			if t.state == taskLive {
				live++
			}
			isWaiting := t.state == taskQueued || t.state == taskReserved
			if isWaiting != (queued[int32(i)] == 1) || queued[int32(i)] > 1 {
				return fmt.Errorf("task %v in state %d is queued %d times", t.id(), t.state, queued[int32(i)])
			}
		}
		if open != j.openTasks || live != j.liveTasks {
			return fmt.Errorf("job %s: open %d want %d, live %d want %d", j.spec.ID, j.openTasks, open, j.liveTasks, live)
		}
	}
	return nil
}
