package owner

import (
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// findUsableWorkers lists the workers that may get new tasks in this scheduling cycle. A
// new owner of a large cell has waited for few answers when thousands of steps wait;
// if each of them looked at all workers, a cycle would take longer than a lease.
// placeRankedSteps calls it; handling of an event may make a worker unusable before the next call.
func (m *Machine) findUsableWorkers() {
	m.usableWorkers = m.usableWorkers[:0]
	for _, w := range m.sortedWorkers {
		if m.isUsable(w) {
			m.usableWorkers = append(m.usableWorkers, w)
		}
	}
}

// objective returns the duration, counted from the job's submission, within
// which the job should finish. It is an estimate, not a point in time.
func (m *Machine) objective(j *job, q *cell.Queue) time.Duration {
	advice := time.Duration(0)
	if q.Advice != nil {
		advice = q.Advice.AnswerTime(queryWorkers)
	}
	path := criticalPath(j.def.Steps, func(i int) time.Duration { return m.owedRunTime(j, i) + advice })
	return q.Target + time.Duration(q.CriticalPathFactor*float64(path))
}

// criticalPath returns the largest sum of costs along the dependencies of
// the steps, at most maxPath. The estimates of a job's objective and remaining
// run time use it.
func criticalPath(steps []cell.Step, cost func(step int) time.Duration) time.Duration {
	finishTimes := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		for _, d := range steps[i].DependsOn {
			if int(d) < i {
				finishTimes[i] = max(finishTimes[i], finishTimes[d])
			}
		}
		finishTimes[i] = min(finishTimes[i]+cost(i), maxPath)
		longest = max(longest, finishTimes[i])
	}
	return longest
}

// expectedRunTime estimates the run time of a step: the learned one or, if run
// times are not learned, the mean of the caller's estimate, which is rough, and
// the mean run time of the queue, once that is known. owedRunTime and remainingStepTime call it for the steps of a job
// in each scheduling cycle in which a step of the job waits and is ranked.
func (m *Machine) expectedRunTime(j *job, step int) time.Duration {
	if m.learning.model != nil {
		return m.learnedRunTime(j, step)
	}
	estimate := j.def.Steps[step].Estimate
	if mean := m.statsFor(j.def.Queue.Name).meanRunTime; mean > 0 {
		return (estimate + mean) / 2
	}
	return estimate
}

// remainingRunTime estimates the critical path of the steps of an occurrence that are not done.
func (m *Machine) remainingRunTime(o *occurrence) time.Duration {
	return criticalPath(o.job.def.Steps, func(i int) time.Duration {
		if o.isStepDone[i] {
			return 0
		}
		return m.remainingStepTime(o, i)
	})
}

// isSuitable reports whether a worker may run a step, apart from capacity
// and advice. The scheduling cycle calls it for each worker that it
// considers for a run or an advice query.
func (m *Machine) isSuitable(w *worker, s *step, q *cell.Queue) bool {
	return w.info.Service == q.Service && m.isUsable(w) && w.info.HasLabel(s.def.Label) && !m.avoidsWorker(s, w)
}

// freeCapacity returns the capacity of a worker that no run uses.
func (w *worker) freeCapacity() structs.Resources {
	return w.info.Capacity.Sub(w.used)
}

// taskCapacity returns how many more tasks of a step fit on a worker.
func (m *Machine) taskCapacity(w *worker, s *step) int {
	return m.taskCapacityWithin(m.availableCapacity(w, s), w, s)
}

// taskCapacityWithin returns how many tasks of a step fit into a free amount
// of a worker, also regarding the worker's health and MaxPerWorker. It is
// called with all free capacity to place runs, and without the reserved part
// to select workers for advice queries.
func (m *Machine) taskCapacityWithin(free structs.Resources, w *worker, s *step) int {
	n := m.limitByHealth(w, s, countFitting(s.def.Charge(), free))
	if s.def.MaxPerWorker > 0 {
		n = min(n, s.def.MaxPerWorker-m.countRuns(s, w))
	}
	return max(n, 0)
}

// countFitting returns how many times need fits into free.
// taskCapacityWithin calls it.
func countFitting(need, free structs.Resources) int {
	n := int64(1 << 20)
	dimensions := [][2]int64{
		{need.MilliCPU, free.MilliCPU},
		{need.MemoryMB, free.MemoryMB},
		{need.Accelerators, free.Accelerators},
	}
	for _, d := range dimensions {
		if d[0] > 0 {
			n = min(n, max(d[1], 0)/d[0])
		}
	}
	return int(n)
}

// countRuns counts the open runs of a step on a worker. taskCapacityWithin
// calls it for steps with MaxPerWorker.
func (m *Machine) countRuns(s *step, w *worker) int {
	n := 0
	for _, r := range w.runList {
		if r.step == s {
			n++
		}
	}
	return n
}

// placeStep plans runs for the tasks of a step that have none, and queries
// advice for those that find no worker. continueCycle calls it for each waiting
// step.
func (m *Machine) placeStep(s *step, q *cell.Queue) {
	s.acceptsAllWorkers = m.mustAcceptAllWorkers(s, q)
	pending := m.pendingTasks(s)
	if len(pending) == 0 {
		isWaitingForLeases := m.prefetchAdvice(s, q)
		if s.openRuns == len(s.tasks)-s.doneTasks && !s.def.LongRunning && !isWaitingForLeases {
			delete(m.waitingSteps, s.id)
		}
		return
	}
	if pending = m.withinQuota(s, pending); len(pending) == 0 {
		return
	}
	if s.def.Gang {
		m.placeGang(s, q, pending)
		return
	}
	number := s.lastRunNumber + 1
	permitted := m.permittedWorkers(s, q)
	placed := 0
	for _, i := range pending {
		m.acceptWorkersFor(s, i)
		w := m.chooseWorker(s, q, permitted)
		if w == nil {
			break
		}
		m.planRun(s, i, number, w)
		placed++
	}
	if placed > 0 {
		m.finishPlanning(s, placed)
	}
	if remaining := len(pending) - placed; remaining > 0 && q.Advice != nil {
		m.queryWithinQuota(s, q, remaining)
	}
}

// pendingTasks returns the indexes of the tasks that may start now; of a
// gang, all tasks or none. placeStep calls it.
func (m *Machine) pendingTasks(s *step) []int {
	var out []int
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.isDone && t.run == nil && m.now.Mono >= t.notBefore {
			out = append(out, i)
		}
	}
	if s.def.Gang && (s.openRuns > 0 || len(out) < len(s.tasks)) {
		return nil
	}
	if s.def.LongRunning {
		s.sortByWaitingTime(out)
	}
	return out
}

// placeGang plans runs for all tasks of a gang, or for none. placeStep calls
// it instead of placing the tasks one by one.
func (m *Machine) placeGang(s *step, q *cell.Queue, pending []int) {
	permitted := m.permittedWorkers(s, q)
	if !m.gangFits(s, q, permitted, len(pending)) {
		if q.Advice != nil {
			m.queryWithinQuota(s, q, len(pending))
		}
		if m.mayHoldRoom(s, q) {
			m.holdRoom(s, q, len(pending))
		}
		return
	}
	m.alignGang(s, q, permitted, len(pending))
	number := s.lastRunNumber + 1
	for _, i := range pending {
		m.planRun(s, i, number, m.chooseWorker(s, q, permitted))
	}
	m.finishPlanning(s, len(pending))
}

// gangFits reports whether the permitted workers have capacity for need tasks of a
// step. placeGang calls it before it plans any run, prefetchAdvice before it queries.
func (m *Machine) gangFits(s *step, q *cell.Queue, permitted []*worker, need int) bool {
	fitting := 0
	for _, w := range permitted {
		if m.isSuitable(w, s, q) {
			fitting += m.taskCapacity(w, s)
		}
		if fitting >= need {
			return true
		}
	}
	return false
}

// permittedWorkers returns the workers on which advice permits a step to
// start now: those with a valid ticket, or all workers if the queue needs no
// advice. placeStep and placeGang call it.
func (m *Machine) permittedWorkers(s *step, q *cell.Queue) []*worker {
	if q.Advice == nil {
		return m.sortedWorkers
	}
	out := make([]*worker, 0, len(s.advice.tickets))
	for i := range s.advice.tickets {
		if t := &s.advice.tickets[i]; t.isValid(m.now.Mono) {
			out = append(out, t.worker)
		}
	}
	return out
}

// planRun adds a run and allocates its capacity. The start request is sent
// after the run is recorded. placeStep and placeGang call it for each task
// that they place.
func (m *Machine) planRun(s *step, index, number int, w *worker) *run {
	r := &run{
		id:              cell.TaskID{StepID: s.id, Index: index},
		number:          number,
		job:             s.job,
		step:            s,
		worker:          w,
		workerStartedAt: w.info.Born,
		allocated:       s.def.Charge(),
		phase:           phasePlanned,
		plannedAt:       m.now.Mono,
	}
	r.ticket, r.ticketExpiresAt = s.advice.validTicket(w, m.now.Mono)
	s.tasks[index].run = r
	s.lastRunNumber = number
	s.occurrence.markStarted()
	m.openRun(r)
	return r
}

// finishPlanning marks the job of newly planned runs as dirty, so that they
// are recorded and then started. placeStep and placeGang call it after they
// planned runs.
func (m *Machine) finishPlanning(s *step, planned int) {
	m.logDecision(s.id.String(), "tasks are planned", "tasks", planned, "run", s.lastRunNumber,
		"waited_ms", (m.now.Mono - s.readyAt).Milliseconds())
	s.advice.rounds = 0
	m.markDirty(s.job)
}

// chooseWorker returns the best of the permitted workers for a task, or nil.
// placeStep and placeGang call it for each task.
func (m *Machine) chooseWorker(s *step, q *cell.Queue, permitted []*worker) *worker {
	if m.isKnownNotToFit(s, q) {
		return nil
	}
	best := bestWorker{}
	for _, w := range permitted {
		m.consider(&best, w, s, q)
	}
	if best.worker == nil {
		m.rememberNotFitting(s, q)
	}
	return best.worker
}

// bestWorker is the worker with the lowest score so far.
type bestWorker struct {
	worker *worker
	score  float64
}

// consider replaces best by w if w is suitable, has capacity and scores
// lower. chooseWorker calls it for each permitted worker.
func (m *Machine) consider(best *bestWorker, w *worker, s *step, q *cell.Queue) {
	if !m.isSuitable(w, s, q) || m.taskCapacity(w, s) == 0 {
		return
	}
	score := m.scoreWorker(w, s)
	if best.worker == nil || score < best.score {
		best.worker, best.score = w, score
	}
}

// Weights of the score of a worker for a task; lower scores are better. The unit
// is the fraction of the worker's CPUs that would remain free.
const (
	// lastChoicePenalty is high enough that a suspect worker, or one on which the step
	// failed, is used only if there is no other.
	lastChoicePenalty = 10.0
	// remotePenalty keeps tasks in the rack of their data, since they take
	// longer elsewhere.
	remotePenalty = 3.0
)

// freeCPUFractionAfter returns the fraction of a worker's CPUs that remain
// free after need is taken. It is part of the score of a worker for a task
// and of its rank for advice queries.
func (m *Machine) freeCPUFractionAfter(w *worker, need structs.Resources) float64 {
	if w.info.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(w.freeCapacity().Sub(need).MilliCPU) / float64(w.info.Capacity.MilliCPU)
}

// scoreWorker rates a worker for a task by best fit, which keeps large
// amounts of free capacity for large tasks, and by the speed that the step
// prefers, where speeds are known to differ. consider calls it.
func (m *Machine) scoreWorker(w *worker, s *step) float64 {
	score := m.freeCPUFractionAfter(w, s.def.Charge()) + speedPenaltyOf(w, s.speedPreference)
	if m.isLastChoice(s, w) {
		score += lastChoicePenalty
	}
	if !s.def.Gang && m.usesHeld(w, s.def.Charge()) {
		score += heldPenalty
	}
	if s.def.DataRack != "" && s.def.DataRack != w.info.Rack() {
		score += remotePenalty
	}
	return score
}
