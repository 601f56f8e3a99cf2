package scheduler

import (
	"fmt"

	"gypsumwinch/internal/structs"
)

// Check recomputes the sums that are kept incrementally and returns an error if
// one of them is wrong or a worker is over-committed. It costs time in
// proportion to all workers and tasks and is meant for tests and diagnostics.
func (s *Scheduler) Check() error {
	used := map[*team]structs.Resources{}
	ending := map[*team]structs.Resources{}
	var free, capacity structs.Resources
	for _, w := range s.cache.workerList {
		var sum, claimed, leaving structs.Resources
		uses := map[preemptionKey]structs.Resources{}
		for _, t := range w.tasks {
			sum = sum.Add(t.allocated)
			used[t.job.team] = used[t.job.team].Add(t.allocated)
			if t.isTerminating {
				leaving = leaving.Add(t.allocated)
				ending[t.job.team] = ending[t.job.team].Add(t.allocated)
			}
			if t.isPreemptible() {
				uses[t.preemptionKey()] = uses[t.preemptionKey()].Add(t.allocated)
			}
			if t.worker != w || t.state != taskLive {
				return fmt.Errorf("task %v is on worker %s in state %d", t.id(), w.ID, t.state)
			}
		}
		for _, o := range w.orphans {
			sum = sum.Add(o.size)
		}
		for _, c := range w.reservations {
			claimed = claimed.Add(c.need)
		}
		if sum != w.used || claimed != w.reserved || leaving != w.terminating {
			return fmt.Errorf("worker %s: used %v want %v, claimed %v want %v, ending %v want %v",
				w.ID, w.used, sum, w.reserved, claimed, w.terminating, leaving)
		}
		for _, u := range w.preemptible {
			if uses[u.preemptionKey] != u.sum {
				return fmt.Errorf("worker %s: preemptible %v, want %v", w.ID, u.sum, uses[u.preemptionKey])
			}
			delete(uses, u.preemptionKey)
		}
		if len(uses) > 0 {
			return fmt.Errorf("worker %s: %d kinds of preemptible work are not counted", w.ID, len(uses))
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
		if used[t] != t.used || ending[t] != t.terminating {
			return fmt.Errorf("team %s: used %v want %v, ending %v want %v", t.name, t.used, used[t], t.terminating, ending[t])
		}
	}
	return s.checkJobs()
}

// checkJobs checks the counters of the jobs and that each waiting task is
// waited for.
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
			for _, c := range e.reservations {
				queued[c.taskIndex]++
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
			waits := t.state == taskQueued || t.state == taskReserved
			if waits != (queued[int32(i)] == 1) || queued[int32(i)] > 1 {
				return fmt.Errorf("task %v in state %d is queued %d times", t.id(), t.state, queued[int32(i)])
			}
		}
		if open != j.openTasks || live != j.liveTasks {
			return fmt.Errorf("job %s: open %d want %d, live %d want %d", j.spec.ID, j.openTasks, open, j.liveTasks, live)
		}
	}
	return nil
}
