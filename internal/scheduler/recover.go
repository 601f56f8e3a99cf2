package scheduler

import (
	"maps"
	"slices"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
)

// Recovery is what a new owner has to do after Recover, before it sends events
// to its scheduler.
type Recovery struct {
	// Actions are the first actions. Attempts that should not run are stopped.
	Actions []Action
	// Lost holds attempts that are live on the jobs stream and missing on a
	// worker that answered. Write their end, as lost unless the worker lists
	// them as finished, then report it as TaskEnded.
	Lost []structs.Attempt
	// Unrecorded holds attempts that run and were adopted although their start
	// is not on the jobs stream. Write their start records.
	Unrecorded []structs.Attempt
}

// Recover returns a scheduler that continues from the recovered state, and runs
// its first scheduling cycle. Attempts that run are adopted. A new owner calls
// it once, after a takeover, when it has read the jobs stream.
//
// The owner then writes the start records of the attempts in Unrecorded to the
// jobs stream, carries out Actions, and ends the attempts in Lost: it writes
// their end records and reports them as TaskEnded.
func Recover(now time.Duration, recovered Inventory) (*Scheduler, Recovery) {
	s := New(recovered.Config)
	s.now = now
	s.cache.now = now
	s.withheldTasks = recovered.Withheld
	for _, w := range recovered.Workers {
		s.setWorker(w)
	}
	for _, j := range recovered.Jobs {
		s.addJob(j)
	}
	for _, id := range recovered.Cancelled {
		s.cancelJob(id)
	}
	var r Recovery
	for _, id := range slices.Sorted(maps.Keys(recovered.Running)) {
		r.Unrecorded = append(r.Unrecorded, s.reconcile(id, recovered.Running[id], recovered.Allocated)...)
		r.Lost = append(r.Lost, s.missingAttempts(id, recovered.Running[id])...)
	}
	s.scheduleReady()
	r.Actions = s.takeActions()
	return s, r
}

// Jobs returns the jobs of the stream that are not finished, and the ids of
// those among them that are cancelled. The age of a job is counted to the time
// at. A new owner calls it for the recovered state that it passes to Recover.
func Jobs(state *jobstate.State, at time.Time) (jobs []JobAdded, cancelled []string) {
	for _, id := range state.OpenJobs() {
		spec, _ := state.Job(id)
		status, _ := state.Status(id)
		added := JobAdded{
			Job: spec, Age: max(at.Sub(spec.AcceptedAt), 0), Budget: state.Budget(id),
			Tasks: make([]TaskProgress, len(status.Tasks)),
		}
		for i, t := range status.Tasks {
			added.Tasks[i] = TaskProgress{
				Attempts: t.Attempt, Failures: t.Failures, LiveWorker: t.Worker,
				Done: t.State != jobstate.Pending && t.State != jobstate.Running,
			}
		}
		jobs = append(jobs, added)
		if status.Cancelled {
			cancelled = append(cancelled, id)
		}
	}
	return jobs, cancelled
}

// missingAttempts returns the live attempts of a worker that it does not run.
// Recover calls it for each worker that has answered.
func (s *Scheduler) missingAttempts(worker string, running []structs.Attempt) []structs.Attempt {
	w := s.cache.workers[worker]
	if w == nil {
		return nil
	}
	isRunning := map[structs.Attempt]bool{}
	for _, a := range running {
		isRunning[a] = true
	}
	var lost []structs.Attempt
	for _, t := range w.tasks {
		if a := t.attempt(); !isRunning[a] {
			lost = append(lost, a)
		}
	}
	return lost
}

// reconcile compares what a worker runs with what should run there. It runs on
// WorkerInventory, and after a takeover for each worker that has answered. It
// returns the adopted attempts.
//
// An attempt later than those on the jobs stream is adopted: a former owner may
// start tasks during an outage of the log and record them later. Other attempts
// that should not run are stopped, and their tasks wait until that is done.
func (s *Scheduler) reconcile(worker string, running []structs.Attempt, allocated map[structs.Attempt]structs.Resources) []structs.Attempt {
	var adopted []structs.Attempt
	w := s.ensureWorker(worker)
	for _, a := range running {
		a.Worker = worker
		if t := s.liveTask(a); t != nil {
			s.growAllocation(t, allocated[a])
			continue
		}
		t := s.taskByID(a.Task)
		isWaiting := t != nil && t.state != taskLive && t.state != taskDone
		if isWaiting && !t.job.isCancelled && t.orphanCount == 0 && a.Number > int(t.attempts) {
			s.dequeueJob(t.job)
			s.cancelRetryDelay(t)
			t.attempts = int32(a.Number)
			s.adoptAttempt(t, w)
			s.growAllocation(t, allocated[a])
			s.admitJob(t.job)
			adopted = append(adopted, a)
			continue
		}
		s.addOrphan(w, a, t, allocated[a])
	}
	s.cache.refreshWorker(w)
	return adopted
}

// addOrphan stops an attempt that should not run. Its capacity counts as used
// until it has ended. reconcile calls it for attempts that it does not adopt.
func (s *Scheduler) addOrphan(w *WorkerState, a structs.Attempt, t *task, size structs.Resources) {
	if _, exists := w.orphans[a]; exists {
		return
	}
	if w.orphans == nil {
		w.orphans = map[structs.Attempt]orphan{}
	}
	o := orphan{task: t}
	if t != nil {
		size = maxResources(size, t.spec().Resources)
	}
	o.size = size
	w.used = w.used.Add(size)
	if size.IsZero() {
		w.unsizedOrphans++
	}
	if t != nil {
		t.orphanCount++
		s.dequeueJob(t.job)
		s.admitJob(t.job)
	}
	w.orphans[a] = o
	s.actions = append(s.actions, Stop{a, "attempt is not live on the jobs stream"})
}

// orphanEnded handles TaskEnded for an attempt that is not live: if it is an
// orphan, its capacity becomes free and its task may be queued. Other attempts
// are ignored.
func (s *Scheduler) orphanEnded(a structs.Attempt) {
	w := s.cache.workers[a.Worker]
	if w == nil {
		return
	}
	o, exists := w.orphans[a]
	if !exists {
		return
	}
	delete(w.orphans, a)
	w.used = w.used.Sub(o.size)
	if o.size.IsZero() {
		w.unsizedOrphans--
	}
	if o.task != nil {
		o.task.orphanCount--
		if o.task.state == taskIdle {
			s.enqueueTask(o.task)
		}
	}
	s.cache.refreshWorker(w)
	s.placeReservedOn(w)
	s.queue.onCapacityFreed(w)
}
